from __future__ import annotations

import errno
import logging
import os
import pathlib
import re
import sys
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from yuccapitch.node import log_writer, logs, settings_table
from yuccapitch.protocol import events

POLL_INTERVAL_S = 0.01
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


@pytest.fixture
def path(tmp_path: pathlib.Path) -> pathlib.Path:
    """Return the path of a log."""
    return tmp_path / "log"


@pytest.fixture
def writer(path: pathlib.Path) -> Iterator[log_writer.LogWriter]:
    """Yield the writer of a log."""
    with path.open("wb") as file:
        writer = log_writer.LogWriter(file.fileno())
        yield writer
        writer.close()


def wait_until(check: Callable[[], bool]) -> None:
    """Wait until the writer's thread has made a check true."""
    while not check():
        time.sleep(POLL_INTERVAL_S)


# Guards against an error of the log that ends the instance.
@pytest.mark.parametrize("error", ERRORS, ids=errno.errorcode.get)
def test_writer_counts_lines_that_cannot_be_written(
    writes: FailingWrites, writer: log_writer.LogWriter, error: int
) -> None:
    writes.error = error
    writer.write("one\ntwo\n")
    writer.close()
    name = errno.errorcode[error]
    assert writer.losses.lost_lines_by_reason == {name: 2}
    assert writer.losses.failed_writes_by_reason[name] >= 1


def test_writer_counts_lines_without_a_standard_error() -> None:
    writer = log_writer.LogWriter(None)
    writer.write("one\n")
    writer.close()
    assert writer.losses.lost_lines_by_reason == {log_writer.CLOSED: 1}


def test_writer_keeps_lines_until_the_disk_has_room(
    writes: FailingWrites,
    writer: log_writer.LogWriter,
    path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(log_writer, "RETRY_INTERVAL_S", POLL_INTERVAL_S)
    writes.error = errno.ENOSPC
    writer.write("one\n")
    wait_until(lambda: not writer.is_writable)
    writer.write("two\n")
    writes.error = None
    wait_until(lambda: writer.is_writable)
    writer.close()
    assert path.read_bytes() == b"one\ntwo\n"
    assert not writer.losses.lost_lines_by_reason


def test_writer_drops_and_counts_what_exceeds_its_buffer(
    writes: FailingWrites, writer: log_writer.LogWriter
) -> None:
    writes.error = errno.ENOSPC
    line = "x" * (log_writer.MAX_PENDING_BYTES - 1) + "\n"
    writer.write(line)
    writer.write("one\n")
    assert writer.losses.lost_lines_by_reason == {log_writer.BUFFER_FULL: 1}


# Guards against an event loop that waits for a hung disk or for the reader of a pipe.
def test_writer_neither_waits_for_a_write_nor_for_the_last_one(
    path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    released = threading.Event()

    def wait(descriptor: int, data: bytes) -> int:
        released.wait()
        return len(data)

    monkeypatch.setattr(log_writer.os, "write", wait)
    monkeypatch.setattr(log_writer, "CLOSE_LIMIT_S", 0.0)
    writer = log_writer.LogWriter(0)
    writer.write("one\n")
    writer.close()
    writer.write("two\n")
    assert writer.losses.lost_lines_by_reason == {log_writer.CLOSED: 2}
    released.set()


# Guards against lines lost because another process made the shared pipe non-blocking.
def test_writer_waits_for_the_reader_of_a_non_blocking_pipe() -> None:
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    lines = "".join(f"line {number}\n" for number in range(50_000))
    writer = log_writer.LogWriter(write_end)
    writer.write(lines)
    received = b""
    while len(received) < len(lines):
        received += os.read(read_end, log_writer.MAX_WRITE_BYTES)
    writer.close()
    os.close(read_end)
    os.close(write_end)
    assert received.decode() == lines
    assert not writer.losses.lost_lines_by_reason


def test_write_to_reports_losses_once_the_log_is_written(
    writes: FailingWrites, path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(log_writer, "RETRY_INTERVAL_S", POLL_INTERVAL_S)
    with path.open("wb") as file:
        with logs.write_to(
            file.fileno(), "entry-1", settings_table.LogLevel.INFO
        ) as writer:
            writes.error = errno.ENOSPC
            events.event("process.started")
            wait_until(lambda: not writer.is_writable)
            writes.error = None
            wait_until(lambda: writer.is_writable)
            events.event("process.stopped")
            events.event("process.stopped")
    names = re.findall(r"event=([\w.-]+)", path.read_text())
    assert names == [
        "process.started",
        "process.stopped",
        "log.write-failed",
        "process.stopped",
    ]
    assert re.search(r"reason=ENOSPC writes=\d+ lost_lines=0\n", path.read_text())


def test_write_to_takes_what_others_write_to_the_standard_error(
    path: pathlib.Path,
) -> None:
    with path.open("wb") as file:
        with logs.write_to(file.fileno(), "entry-1", settings_table.LogLevel.INFO):
            # The handler of libraries for which nothing is configured.
            assert logging.lastResort is not None
            record = {"msg": "one", "levelno": logging.ERROR}
            logging.lastResort.handle(logging.makeLogRecord(record))
            print("two", file=sys.stderr)
    assert path.read_text() == "one\ntwo\n"
