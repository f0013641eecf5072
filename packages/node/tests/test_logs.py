"""Tests of the log lines and the event registry."""

from __future__ import annotations

import ast
import pathlib
import tempfile
from collections.abc import Iterator

import hypothesis
import hypothesis.strategies as st

from yuccapitch.node import events_page, logs, settings_table
from yuccapitch.protocol import events

ROOT = pathlib.Path(__file__).parents[3]


def log_lines(min_level: settings_table.LogLevel) -> list[str]:
    with tempfile.TemporaryFile() as file:
        with logs.write_to(file.fileno(), "entry-1", min_level):
            log_events()
        events.event("process.stopped")
        file.seek(0)
        return file.read().decode().splitlines()


def log_events() -> None:
    events.event("entry.lease-renewed", version=3)
    events.event("change.refused", reason="reason on\ntwo lines", level="x", who=None)


def test_write_to_writes_one_line_per_event() -> None:
    renewed, refused = log_lines(settings_table.LogLevel.DEBUG)
    head, _, fields = renewed.partition(" instance=entry-1 ")
    assert head.startswith("time=2") and head.endswith("event=entry.lease-renewed")
    assert fields == "version=3"
    assert "level=warning event=change.refused" in refused
    assert refused.endswith(r'reason="reason on\ntwo lines" field_level=x who=null')


def test_write_to_filters_by_level() -> None:
    (line,) = log_lines(settings_table.LogLevel.INFO)
    assert "change.refused" in line


@hypothesis.given(st.dictionaries(st.text(), st.text() | st.integers() | st.none()))
def test_format_line_returns_one_line(fields: dict[str, object]) -> None:
    message = {**fields, "timestamp": 0.0, "message_type": "process.started"}
    line = logs.format_line(message, "entry-1")
    assert len(line.splitlines()) == 1
    assert line.isprintable() and line.isascii()


def test_events_logged_are_declared() -> None:
    names = [
        name
        for source in ("packages/*/src", "platform/src")
        for path in ROOT.glob(f"{source}/**/*.py")
        for name in logged_event_names(path)
    ]
    assert set(names) <= set(events.EVENTS_BY_NAME)


def logged_event_names(path: pathlib.Path) -> Iterator[str]:
    """Yield the names passed to `events.event` or `logs.event` in a file."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
            continue
        if ast.unparse(node.func) in ("events.event", "logs.event"):
            assert isinstance(node.args[0], ast.Constant), f"{path}:{node.lineno}"
            yield node.args[0].value


def test_events_page_is_up_to_date() -> None:
    page = ROOT / "docs" / "reference" / "events.md"
    assert page.read_text() == events_page.text()
