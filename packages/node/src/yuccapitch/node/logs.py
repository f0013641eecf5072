"""Log destination that writes each event as one line of key=value pairs."""

from __future__ import annotations

import contextlib
import io
import typing
from collections.abc import Iterator, Mapping

import eliot

from yuccapitch.node import log_lines, log_writer, settings_table
from yuccapitch.protocol import events

event = events.event
format_line = log_lines.format_line

_WRITE_FAILED = "log.write-failed"

_LEVELS_BY_SETTING = {
    settings_table.LogLevel.DEBUG: events.Level.DEBUG,
    settings_table.LogLevel.INFO: events.Level.INFO,
    settings_table.LogLevel.WARNING: events.Level.WARNING,
    settings_table.LogLevel.ERROR: events.Level.ERROR,
}


@contextlib.contextmanager
def write_to(
    descriptor: int | None, instance_id: str, min_level: settings_table.LogLevel
) -> Iterator[log_writer.LogWriter]:
    """Write events of at least this level to the descriptor inside the context."""
    min_event_level = _LEVELS_BY_SETTING[min_level]
    writer = log_writer.LogWriter(descriptor)

    def write(message: Mapping[str, typing.Any]) -> None:
        if log_lines.event_level(message) >= min_event_level:
            writer.write(format_line(message, instance_id) + "\n")
            is_report = message.get("message_type") == _WRITE_FAILED
            if writer.is_writable and not is_report:
                _report_losses(writer)

    eliot.add_destinations(write)
    try:
        # Libraries and the interpreter itself must not wait for the reader either.
        with contextlib.redirect_stderr(typing.cast(typing.TextIO, _Text(writer))):
            yield writer
    finally:
        eliot.remove_destination(write)
        writer.close()


class _Text(io.TextIOBase):
    """Standard error whose text goes to the log as it is."""

    def __init__(self, writer: log_writer.LogWriter) -> None:
        super().__init__()
        self._writer = writer

    def writable(self) -> bool:
        """Return that text can be written."""
        return True

    def write(self, text: str) -> int:
        """Write text, which may be a part of a line."""
        self._writer.write(text)
        return len(text)


def _report_losses(writer: log_writer.LogWriter) -> None:
    losses = writer.take_unreported()
    for reason in {**losses.failed_writes_by_reason, **losses.lost_lines_by_reason}:
        events.event(
            "log.write-failed",
            reason=reason,
            writes=losses.failed_writes_by_reason[reason],
            lost_lines=losses.lost_lines_by_reason[reason],
        )
