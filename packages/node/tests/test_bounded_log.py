"""Tests of the log of routed instances: bounded volume and no waiting for a reader."""

from __future__ import annotations

import errno
import os
import select
import threading
import time
from unittest import mock

import pytest

from yuccapitch.node.routed import bounded_log, line_writer
from yuccapitch.protocol import events


def format_line(message) -> str:
    return f"{message['message_type']} {message.get('number', '')}"


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def read_lines(read_end: int) -> list[str]:
    chunks = []
    while True:
        try:
            chunk = os.read(read_end, 1 << 16)
        except BlockingIOError:
            return b"".join(chunks).decode().splitlines()
        chunks.append(chunk)


def test_write_to_limits_the_rate_of_an_event_and_counts_dropped_lines(pipe):
    read_end, write_end = pipe
    with bounded_log.write_to(write_end, format_line, events.Level.DEBUG) as log:
        for number in range(500):
            events.event("request.failed", number=number)
        log.report_dropped()
        lines = read_lines(read_end)
    failed = [line for line in lines if line.startswith("request.failed")]
    # The initial burst is twice the rate limit of 40 lines per second.
    assert 80 <= len(failed) < 500
    assert any(line.startswith("log.dropped") for line in lines)


def test_write_to_keeps_failures_where_routine_lines_are_dropped(pipe):
    read_end, write_end = pipe
    with bounded_log.write_to(write_end, format_line, events.Level.DEBUG):
        for number in range(200):
            events.event("request.answered", number=number)
        events.event("request.failed", number=1)
        lines = read_lines(read_end)
    assert "request.failed 1" in lines
    assert len(lines) < 200


def test_write_to_does_not_wait_for_a_stalled_reader(pipe):
    read_end, write_end = pipe
    with bounded_log.write_to(write_end, format_line, events.Level.DEBUG) as log:
        # Each event name is used once, so only the limit of buffered bytes applies.
        for number in range(20_000):
            log({"message_type": f"event-{number}", "number": "x" * 100})
        assert read_lines(read_end)


def test_write_to_drops_events_below_the_level(pipe):
    read_end, write_end = pipe
    with bounded_log.write_to(write_end, format_line, events.Level.WARNING):
        events.event("request.answered")
        events.event("caller.refused")
        assert read_lines(read_end) == ["caller.refused "]


# Guards against an instance that ends because the reader of its log has ended.
def test_report_dropped_survives_a_reader_that_is_gone():
    read_end, write_end = os.pipe()
    os.close(read_end)
    try:
        with bounded_log.write_to(write_end, format_line, events.Level.DEBUG) as log:
            events.event("process.started")
            log.report_dropped()
    finally:
        os.close(write_end)


# Guards against a stop that leaves no line in the log, because its reader was slow for
# a moment and nothing was written after that.
def test_write_to_writes_what_is_buffered_at_its_end(pipe):
    read_end, write_end = pipe
    with bounded_log.write_to(write_end, format_line, events.Level.DEBUG):
        with pytest.raises(BlockingIOError):
            while True:
                os.write(write_end, b"x" * select.PIPE_BUF)
        events.event("process.stopped")
        read_lines(read_end)
    assert "process.stopped " in read_lines(read_end)


class FailingWrites:
    """Writes of the log's descriptor, which fail while there is an error."""

    def __init__(self, descriptor: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.descriptor = descriptor
        self.error: int | None = None
        self._write = os.write
        monkeypatch.setattr(line_writer.os, "write", self.write)

    def write(self, descriptor: int, data: bytes) -> int:
        if descriptor != self.descriptor:
            return self._write(descriptor, data)
        if self.error is not None:
            raise OSError(self.error, os.strerror(self.error))
        return self._write(descriptor, data)


@pytest.fixture
def failing_writes(pipe, monkeypatch):
    monkeypatch.setattr(line_writer, "RETRY_INTERVAL_S", 0.0)
    return FailingWrites(pipe[1], monkeypatch)


# Guards against an instance that ends over the requests in progress because its log
# can't be written, such as to a full disk.
@pytest.mark.parametrize(
    "code", [errno.ENOSPC, errno.EIO, errno.EFBIG, errno.EDQUOT, errno.EBADF]
)
def test_report_dropped_survives_writes_that_fail(pipe, failing_writes, code):
    read_end, write_end = pipe
    with bounded_log.write_to(write_end, format_line, events.Level.DEBUG) as log:
        failing_writes.error = code
        events.event("request.failed", number=1)
        log.report_dropped()
        events.event("request.failed", number=2)
        failing_writes.error = None
        events.event("request.failed", number=3)
        log.report_dropped()
        lines = read_lines(read_end)
    assert lines[:3] == [f"request.failed {number}" for number in (1, 2, 3)]
    assert [line.split()[0] for line in lines[3:]] == ["log.write-failed"]


def test_write_to_counts_the_lines_that_a_failing_log_loses(
    pipe, failing_writes, logged, monkeypatch
):
    read_end, write_end = pipe
    monkeypatch.setattr(line_writer, "MAX_PENDING_BYTES", 100)
    with bounded_log.write_to(write_end, format_line, events.Level.DEBUG) as log:
        failing_writes.error = errno.ENOSPC
        for number in range(20):
            events.event("request.failed", number=number)
        failing_writes.error = None
        log.report_dropped()
        log.report_dropped()
        written = [n for n in read_lines(read_end) if n.startswith("request.failed")]
        assert log.lost_lines == 20 - len(written)
    [failure] = [m for m in logged if m["message_type"] == "log.write-failed"]
    assert (failure["errno"], failure["lines"]) == ("ENOSPC", 20 - len(written))
    assert len(written) < 20


# Guards against a torn line that is joined to the next one after a full disk.
def test_write_to_completes_a_line_that_was_written_in_part(pipe, failing_writes):
    read_end, write_end = pipe
    with bounded_log.write_to(write_end, format_line, events.Level.DEBUG) as log:
        with pytest.MonkeyPatch.context() as context:

            def write_some(descriptor: int, data: bytes) -> int:
                count = failing_writes.write(descriptor, bytes(data[:5]))
                failing_writes.error = errno.ENOSPC
                return count

            context.setattr(line_writer.os, "write", write_some)
            events.event("request.failed", number=1)
            log.report_dropped()
        failing_writes.error = None
        events.event("request.failed", number=2)
        log.report_dropped()
        lines = read_lines(read_end)
    assert lines[:2] == ["request.failed 1", "request.failed 2"]


# Guards against an instance that ends within seconds of a full disk of its log.
def test_report_dropped_survives_a_full_device():
    descriptor = os.open("/dev/full", os.O_WRONLY)
    try:
        with bounded_log.write_to(descriptor, format_line, events.Level.DEBUG) as log:
            events.event("process.started")
            log.report_dropped()
            assert log.is_failing
    finally:
        os.close(descriptor)


# Guards against an instance that can't start or stop without standard output.
@pytest.mark.parametrize("closes_first", [True, False])
def test_write_to_survives_a_closed_descriptor(closes_first):
    read_end, descriptor = os.pipe()
    os.close(read_end)
    if closes_first:
        os.close(descriptor)
    with bounded_log.write_to(descriptor, format_line, events.Level.DEBUG) as log:
        if not closes_first:
            os.close(descriptor)
        events.event("process.started")
        log.report_dropped()


# Guards against an event loop that waits for a slow disk: a regular file ignores the
# non-blocking mode.
def test_write_to_does_not_wait_for_the_disk(tmp_path, monkeypatch):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    write, writers = os.write, []

    def record_writer(target: int, data: bytes) -> int:
        if target == descriptor:
            writers.append(threading.current_thread())
        return write(target, data)

    monkeypatch.setattr(line_writer.os, "write", record_writer)
    try:
        with bounded_log.write_to(descriptor, format_line, events.Level.DEBUG):
            events.event("process.started")
            events.event("process.stopped")
    finally:
        os.close(descriptor)
    lines = (tmp_path / "log").read_text().splitlines()
    assert lines == ["process.started ", "process.stopped "]
    assert writers and threading.current_thread() not in writers


# Guards against an event that is not logged, or an error in what logs it, because of
# one field.
def test_write_to_survives_a_line_that_cannot_be_encoded(pipe):
    read_end, write_end = pipe
    with bounded_log.write_to(write_end, format_line, events.Level.DEBUG):
        events.event("request.failed", number="\udc80")
        events.event("request.failed", number=2)
        lines = read_lines(read_end)
    assert lines == ["request.failed \\udc80", "request.failed 2"]


# Guards against an instance that waits for a disk which takes no bytes, while it serves
# and at its end.
def test_write_to_ends_beside_a_disk_that_hangs(tmp_path, monkeypatch):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    write, is_released = os.write, threading.Event()

    def hang(target: int, data: bytes) -> int:
        if target == descriptor:
            is_released.wait()
        return write(target, data)

    monkeypatch.setattr(line_writer.os, "write", hang)
    with bounded_log.write_to(descriptor, format_line, events.Level.DEBUG) as log:
        for number in range(5_000):
            log({"message_type": f"event-{number}", "number": "x" * 100})
        assert log.lost_lines > 0
    # The thread still waits, and ends with the process.
    assert (tmp_path / "log").read_bytes() == b""
    is_released.set()
    log._writer._thread.join()
    os.close(descriptor)
    assert (tmp_path / "log").read_text().startswith("event-0 ")


# Guards against a process that stands still for its log: a finalizer may log at any
# allocation, also at one made while the log holds its lock.
def test_line_writer_survives_a_line_of_a_finalizer(pipe, monkeypatch):
    writer = line_writer.LineWriter(pipe[1])

    class FinalizingFailure(line_writer.WriteFailure):
        def __init__(self, *args):
            super().__init__(*args)
            writer.append(b"finalized\n")

    def fail_and_recover():
        failing = mock.Mock(side_effect=OSError(errno.ENOSPC, "full"))
        with monkeypatch.context() as patch:
            patch.setattr(writer, "_write", failing)
            writer.append(b"first\n")
            writer.flush()
        writer.close()
        return writer.take_failure()

    monkeypatch.setattr(line_writer, "WriteFailure", FinalizingFailure)
    thread = threading.Thread(target=fail_and_recover, daemon=True)
    thread.start()
    thread.join(5.0)
    assert not thread.is_alive()
    writer.flush()
    assert read_lines(pipe[0]) == ["first", "finalized"]


# Guards against a stop whose last lines are lost because a disk is slow for a moment.
def test_write_to_waits_for_the_last_lines_as_long_as_allowed(tmp_path, monkeypatch):
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    write = os.write

    def write_slowly(target: int, data: bytes) -> int:
        if target == descriptor:
            time.sleep(3 * line_writer.LAST_WRITES_S)
        return write(target, data)

    monkeypatch.setattr(line_writer.os, "write", write_slowly)
    with bounded_log.write_to(descriptor, format_line, events.Level.DEBUG) as log:
        log.max_last_writes_s = 60.0
        events.event("process.stopped")
    os.close(descriptor)
    assert (tmp_path / "log").read_text() == "process.stopped \n"
