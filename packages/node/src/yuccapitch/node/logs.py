"""Log destination that writes each event as one line of key=value pairs."""

from __future__ import annotations

import contextlib
import typing
from collections.abc import Iterator, Mapping

import eliot

from yuccapitch.node import log_lines, settings_table
from yuccapitch.protocol import events

event = events.event
format_line = log_lines.format_line

_LEVELS_BY_SETTING = {
    settings_table.LogLevel.DEBUG: events.Level.DEBUG,
    settings_table.LogLevel.INFO: events.Level.INFO,
    settings_table.LogLevel.WARNING: events.Level.WARNING,
    settings_table.LogLevel.ERROR: events.Level.ERROR,
}


@contextlib.contextmanager
def write_to(
    stream: typing.TextIO, instance_id: str, min_level: settings_table.LogLevel
) -> Iterator[None]:
    """Write events of at least this level to the stream inside the context."""
    min_event_level = _LEVELS_BY_SETTING[min_level]

    def write(message: Mapping[str, typing.Any]) -> None:
        if log_lines.event_level(message) >= min_event_level:
            stream.write(format_line(message, instance_id) + "\n")
            stream.flush()

    eliot.add_destinations(write)
    try:
        yield
    finally:
        eliot.remove_destination(write)
