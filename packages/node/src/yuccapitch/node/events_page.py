"""Prints docs/reference/events.md: `python -m yuccapitch.node.events_page`."""

from __future__ import annotations

from yuccapitch.protocol import events

_HEAD = """\
# Logged events

Written by `python -m yuccapitch.node.events_page` from the registry in code.

Each event is one line of `key=value` pairs on standard error. Every line begins with
`time` (UTC), `level`, `event` and `instance`; the event's own fields follow. A value
with other characters than letters, digits and `_.:/@+,%[]-` is written as a JSON
string, so a line never breaks. Names are stable.

| event | level | meaning |
| --- | --- | --- |
"""


def text() -> str:
    """Return the page."""
    declared = sorted(events.EVENTS_BY_NAME.values(), key=lambda event: event.name)
    return _HEAD + "".join(
        f"| `{event.name}` | {event.level.name.lower()} | {event.meaning} |\n"
        for event in declared
    )


if __name__ == "__main__":
    print(text(), end="")
