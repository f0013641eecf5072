"""Formatting of logged events as lines of key=value pairs."""

from __future__ import annotations

import datetime
import enum
import json
import re
import typing
from collections.abc import Mapping

from yuccapitch.protocol import events

_UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9_.:/@+,%\[\]-]+")
_INVALID_KEY_CHARACTER = re.compile(r"[^A-Za-z0-9_.-]")
_ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})


def format_line(message: Mapping[str, typing.Any], instance_id: str) -> str:
    """Return an eliot message as one line of key=value pairs."""
    moment = datetime.datetime.fromtimestamp(message["timestamp"], datetime.UTC)
    pairs: dict[str, object] = {
        "time": moment.isoformat(timespec="milliseconds").replace("+00:00", "Z"),
        "level": event_level(message).name.lower(),
        "event": message.get("message_type", "eliot.action"),
        "instance": instance_id,
    }
    for key, value in message.items():
        if key not in _ELIOT_FIELDS:
            # An event's field must not replace one of the pairs of every line.
            pairs[f"field_{key}" if key in pairs else key] = value
    return " ".join(
        f"{_INVALID_KEY_CHARACTER.sub('_', key)}={_value_text(value)}"
        for key, value in pairs.items()
    )


def event_level(message: Mapping[str, typing.Any]) -> events.Level:
    """Return the declared level of an event."""
    name = message.get("message_type", "")
    declared = events.EVENTS_BY_NAME.get(name)
    # An undeclared event, such as a failure inside eliot, is logged as an error so
    # that no level filter drops it.
    return declared.level if declared else events.Level.ERROR


def _value_text(value: object) -> str:
    if isinstance(value, enum.Enum):
        value = value.value
    if isinstance(value, bool) or value is None:
        return json.dumps(value)
    text = value if isinstance(value, str) else str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    return json.dumps(text)
