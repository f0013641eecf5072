from __future__ import annotations

import errno
import os
import pathlib
from collections.abc import Callable

import pytest

from yuccapitch.node import log_writer, logs, settings_table
from yuccapitch.protocol import events

ERRORS = [errno.ENOSPC, errno.EIO, errno.EFBIG, errno.EDQUOT, errno.EBADF, errno.EPIPE]


class FailingWrites:
    """Replacement of `os.write` that raises an error while it has one."""

    def __init__(self, write: Callable[[int, bytes], int]) -> None:
        self.error: int | None = None
        self._write = write

    def __call__(self, descriptor: int, data: bytes) -> int:
        if self.error is not None:
            raise OSError(self.error, os.strerror(self.error))
        return self._write(descriptor, data)


@pytest.fixture
def writes(monkeypatch: pytest.MonkeyPatch) -> FailingWrites:
    failing = FailingWrites(os.write)
    monkeypatch.setattr(log_writer.os, "write", failing)
    return failing


@pytest.mark.parametrize("error", ERRORS, ids=errno.errorcode.get)
def test_writer_counts_lines_that_cannot_be_written(
    writes: FailingWrites, tmp_path: pathlib.Path, error: int
) -> None:
    writes.error = error
    with (tmp_path / "log").open("wb") as file:
        writer = log_writer.LogWriter(file.fileno())
        writer.write("one\ntwo\n")
    name = errno.errorcode[error]
    assert writer.losses.lost_lines_by_reason == {name: 2}
    assert writer.losses.failed_writes_by_reason == {name: 1}


def test_writer_counts_lines_without_a_standard_error() -> None:
    writer = log_writer.LogWriter(None)
    writer.write("one\n")
    assert writer.losses.lost_lines_by_reason == {log_writer.CLOSED: 1}


def test_write_to_reports_losses_once_the_log_is_written(
    writes: FailingWrites, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "log"
    with path.open("wb") as file:
        with logs.write_to(file.fileno(), "entry-1", settings_table.LogLevel.INFO):
            writes.error = errno.ENOSPC
            events.event("process.started")
            events.event("process.stopping")
            writes.error = None
            events.event("process.stopped")
            events.event("process.stopped")
    lines = path.read_text().splitlines()
    assert len(lines) == 3
    assert lines[1].endswith(
        "event=log.write-failed instance=entry-1 reason=ENOSPC writes=2 lost_lines=2"
    )
