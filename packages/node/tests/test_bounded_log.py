"""Tests of the log of routed instances: bounded volume and no waiting for a reader."""

from __future__ import annotations

import os
import select

import pytest

from yuccapitch.node.routed import bounded_log
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
