"""Non-blocking log destination with bounded rate and buffer."""

from __future__ import annotations

import collections
import contextlib
import os
import time
import typing
from collections.abc import Iterator, Mapping

import eliot

from yuccapitch.node.routed import line_writer
from yuccapitch.protocol import events

# Rate limit of each event name, with bursts of twice as many lines.
LINES_PER_S = 40.0
# Lower rate limit for events of successful requests: under load, their lines are
# dropped before those of failures.
ROUTINE_LINES_PER_S = 15.0
ROUTINE_EVENTS = frozenset({"request.answered", "request.placed"})


class BoundedLog:
    """Log destination that drops and counts the lines above its limits."""

    def __init__(
        self,
        writer: line_writer.LineWriter,
        format_line: typing.Callable[[Mapping[str, typing.Any]], str],
        min_level: events.Level,
    ) -> None:
        self._writer = writer
        self._format_line = format_line
        self._min_level = min_level
        self._tokens_by_event: dict[str, tuple[float, float]] = {}
        self._dropped_by_event: collections.Counter[str] = collections.Counter()
        self.max_last_writes_s = line_writer.LAST_WRITES_S
        """Longest wait, at the end, for a disk that takes the last lines."""

    @property
    def is_failing(self) -> bool:
        """Whether the last write has failed."""
        return self._writer.is_failing

    @property
    def lost_lines(self) -> int:
        """Number of lines that could not be written since the start."""
        return self._writer.lost_lines

    def __call__(self, message: Mapping[str, typing.Any]) -> None:
        """Write one event unless its level is too low or a limit is exceeded."""
        name = message.get("message_type", "")
        declared = events.EVENTS_BY_NAME.get(name)
        if declared is not None and declared.level < self._min_level:
            return
        if not self._may_write(name, time.monotonic()):
            self._dropped_by_event[name] += 1
            return
        self._append(self._format_line(message))

    def report_dropped(self) -> None:
        """Log the number of lost lines and retry writing the buffer."""
        dropped, self._dropped_by_event = self._dropped_by_event, collections.Counter()
        for name, count in dropped.items():
            events.event("log.dropped", dropped_event=name, lines=count)
        self._writer.flush()
        failure = self._writer.take_failure()
        if failure is not None:
            events.event(
                "log.write-failed", errno=failure.error_name, lines=failure.lost_lines
            )

    def close(self) -> None:
        """Write the last lines, with a bounded wait."""
        self.report_dropped()
        self._writer.close(self.max_last_writes_s)

    def _may_write(self, name: str, now: float) -> bool:
        """Take a token from the token bucket of an event; return whether it had one."""
        rate = ROUTINE_LINES_PER_S if name in ROUTINE_EVENTS else LINES_PER_S
        tokens, updated_at = self._tokens_by_event.get(name, (2 * rate, now))
        tokens = min(2 * rate, tokens + (now - updated_at) * rate)
        has_token = tokens >= 1.0
        self._tokens_by_event[name] = (tokens - has_token, now)
        return has_token

    def _append(self, line: str) -> None:
        # A line that can't be encoded is logged in part rather than not at all.
        content = line.encode(errors="backslashreplace") + b"\n"
        if self._writer.append(content):
            self._writer.flush()
        elif not self._writer.is_failing:
            # The lines that exceed the buffer are counted together for all events.
            self._dropped_by_event["pending"] += 1


@contextlib.contextmanager
def write_to(
    descriptor: int | None,
    format_line: typing.Callable[[Mapping[str, typing.Any]], str],
    min_level: events.Level,
) -> Iterator[BoundedLog]:
    """Write events to a file descriptor inside the context."""
    log = BoundedLog(line_writer.create(descriptor), format_line, min_level)
    with _non_blocking(descriptor):
        eliot.add_destinations(log)
        try:
            yield log
        finally:
            log.close()
            eliot.remove_destination(log)


@contextlib.contextmanager
def _non_blocking(descriptor: int | None) -> Iterator[None]:
    is_changed = _set_blocking(descriptor, False)
    try:
        yield
    finally:
        if is_changed:
            _set_blocking(descriptor, True)


def _set_blocking(descriptor: int | None, is_blocking: bool) -> bool:
    """Set the mode of a descriptor; return False if it is closed."""
    if descriptor is None:
        return False
    try:
        os.set_blocking(descriptor, is_blocking)
    except OSError:
        return False
    return True
