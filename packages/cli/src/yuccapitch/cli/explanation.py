"""Traces one request through the log lines of many processes."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Iterable

# Events about the routes, endpoints, dispatcher and leader that an instance uses. The
# last event of each kind before the end of a request shows what the instance used.
STATE_EVENTS = (
    "routes.applied",
    "endpoints.applied",
    "place.dispatcher-changed",
    "place.dispatcher-lost",
    "follow.leader-found",
    "follow.leader-lost",
)
_FIELD_PATTERN = re.compile(r'([A-Za-z0-9_.-]+)=("(?:[^"\\]|\\.)*"|\S*)')
_COMMON_FIELDS = frozenset(("time", "level", "event", "instance"))


@dataclasses.dataclass(frozen=True)
class Line:
    """One event logged by one instance."""

    time: str
    instance: str
    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """Return the event as one line of text."""
        pairs = " ".join(
            f"{key}={value}"
            for key, value in self.fields.items()
            if key not in _COMMON_FIELDS
        )
        return f"{self.time} {self.instance} {self.event} {pairs}".rstrip()


@dataclasses.dataclass(frozen=True)
class Explanation:
    """The trace of one request, sorted by time."""

    request_lines: list[Line]
    state_lines: list[Line]
    """The `STATE_EVENTS` that were in effect when the request ended."""
    endpoint_lines: list[Line]
    """Events about the endpoints that the request was sent to."""
    unreadable_count: int
    dropped_count: int
    """Lines that the involved instances dropped to limit their log volume."""


def parse(text: str) -> Line | None:
    """Parse a log line; return None if it is not a complete event.

    Text before the line's time, such as the prefix of a log collector, is ignored.
    """
    fields = {key: _unquote(value) for key, value in _FIELD_PATTERN.findall(text)}
    if any(name not in fields for name in ("time", "event", "instance")):
        return None
    return Line(fields["time"], fields["instance"], fields["event"], fields)


def explain(request_id: str, texts: Iterable[str]) -> Explanation:
    """Collect the events of a request and those that explain its decisions."""
    lines: list[Line] = []
    unreadable = 0
    for text in texts:
        line = parse(text)
        if line is not None:
            lines.append(line)
        elif "event=" in text:
            unreadable += 1
    lines.sort(key=lambda line: line.time)
    matching_lines = [
        line for line in lines if line.fields.get("request") == request_id
    ]
    instances = {line.instance for line in matching_lines}
    endpoints = {
        line.fields["endpoint"] for line in matching_lines if "endpoint" in line.fields
    }
    ended_at = matching_lines[-1].time if matching_lines else ""
    return Explanation(
        matching_lines,
        _latest_state_lines(lines, instances, ended_at),
        [
            line
            for line in lines
            if line.event.startswith("endpoint.")
            and line.fields.get("endpoint") in endpoints
        ],
        unreadable,
        sum(
            int(line.fields.get("lines", "0"))
            for line in lines
            if line.event == "log.dropped" and line.instance in instances
        ),
    )


def _latest_state_lines(
    lines: Iterable[Line], instances: set[str], ended_at: str
) -> list[Line]:
    latest: dict[tuple[str, str], Line] = {}
    for line in lines:
        is_state_event = line.event in STATE_EVENTS and line.instance in instances
        if is_state_event and line.time <= ended_at:
            latest[line.instance, line.event] = line
    return sorted(latest.values(), key=lambda line: (line.instance, line.time))


def _unquote(value: str) -> str:
    if len(value) >= 2 and value[0] == value[-1] == '"':
        return value[1:-1]
    return value
