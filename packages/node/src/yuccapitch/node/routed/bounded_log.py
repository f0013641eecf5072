"""Non-blocking log destination with bounded rate and buffer."""

from __future__ import annotations

import collections
import contextlib
import errno
import os
import time
import typing
from collections.abc import Iterator, Mapping

import eliot

from yuccapitch.protocol import events

# Rate limit of each event name, with bursts of twice as many lines.
LINES_PER_S = 40.0
# Maximum buffered output while the reader is not reading.
MAX_PENDING_BYTES = 256 * 1024
# Lower rate limit for events of successful requests: under load, their lines are
# dropped before those of failures.
ROUTINE_LINES_PER_S = 15.0
ROUTINE_EVENTS = frozenset({"request.answered", "request.placed"})


class BoundedLog:
    """Log destination that drops and counts the lines above its limits."""

    def __init__(
        self,
        descriptor: int,
        format_line: typing.Callable[[Mapping[str, typing.Any]], str],
        min_level: events.Level,
    ) -> None:
        self._descriptor = descriptor
        self._format_line = format_line
        self._min_level = min_level
        self._tokens_by_event: dict[str, tuple[float, float]] = {}
        self._dropped_by_event: collections.Counter[str] = collections.Counter()
        self._pending = bytearray()
        self._write_error: OSError | None = None
        self._failed_lines = 0
        self.lost_lines = 0
        """Number of lines that could not be written since the start."""

    @property
    def is_failing(self) -> bool:
        """Whether the last write has failed."""
        return self._write_error is not None

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
        """Log the number of dropped lines and retry writing the buffer."""
        dropped, self._dropped_by_event = self._dropped_by_event, collections.Counter()
        for name, count in dropped.items():
            events.event("log.dropped", dropped_event=name, lines=count)
        self._flush()

    def _may_write(self, name: str, now: float) -> bool:
        """Take a token from the token bucket of an event; return whether it had one."""
        rate = ROUTINE_LINES_PER_S if name in ROUTINE_EVENTS else LINES_PER_S
        tokens, updated_at = self._tokens_by_event.get(name, (2 * rate, now))
        tokens = min(2 * rate, tokens + (now - updated_at) * rate)
        has_token = tokens >= 1.0
        self._tokens_by_event[name] = (tokens - has_token, now)
        return has_token

    def _append(self, line: str) -> None:
        if len(self._pending) > MAX_PENDING_BYTES:
            # The lines that exceed the buffer are counted together for all events.
            self.lost_lines += 1
            if self._write_error is None:
                self._dropped_by_event["pending"] += 1
            else:
                self._failed_lines += 1
            return
        self._pending += line.encode() + b"\n"
        self._flush()

    def _flush(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                # The reader is slow; the next line or report retries the write.
                return
            except BrokenPipeError:
                # The reader is gone, and there is no other log to report it in.
                self.lost_lines += self._pending.count(b"\n")
                self._pending.clear()
                return
            except OSError as error:
                self._write_error = error
                raise
            del self._pending[:written]
            self._report_recovery()

    def _report_recovery(self) -> None:
        error, self._write_error = self._write_error, None
        if error is None:
            return
        lines, self._failed_lines = self._failed_lines, 0
        name = errno.errorcode.get(error.errno or 0, "unknown")
        events.event("log.write-failed", errno=name, lines=lines)


@contextlib.contextmanager
def write_to(
    descriptor: int,
    format_line: typing.Callable[[Mapping[str, typing.Any]], str],
    min_level: events.Level,
) -> Iterator[BoundedLog]:
    """Write events to a file descriptor inside the context."""
    os.set_blocking(descriptor, False)
    log = BoundedLog(descriptor, format_line, min_level)
    eliot.add_destinations(log)
    try:
        yield log
    finally:
        log.report_dropped()
        eliot.remove_destination(log)
        os.set_blocking(descriptor, True)
