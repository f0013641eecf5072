"""Tests of tracing one request through log lines."""

from __future__ import annotations

import pytest

from yuccapitch.cli import explanation, main

LINES = [
    "time=2026-01-01T00:00:01.000Z level=info event=routes.applied instance=e1"
    ' revision=7 index=3 evacuated="[]"',
    "time=2026-01-01T00:00:02.000Z level=info event=routes.applied instance=e2"
    " revision=6 index=2",
    "12.5 e1 time=2026-01-01T00:00:03.000Z level=debug event=request.placed"
    " instance=e1 request=q1 endpoint=i-1 waited_ms=4",
    "time=2026-01-01T00:00:04.000Z level=info event=endpoint.leaving instance=c1"
    " endpoint=i-1",
    "time=2026-01-01T00:00:05.000Z level=debug event=request.refused instance=e1"
    ' request=q1 reason="no place is expected in time"',
    "time=2026-01-01T00:00:06.000Z level=info event=routes.applied instance=e1"
    " revision=8 index=4",
    "time=2026-01-01T00:00:07.000Z level=info event=log.dropped instance=e1 lines=9",
    "time=2026-01-01T00:00:08.000Z level=info event=requ",
]


def test_explain_sorts_request_lines_by_time():
    found = explanation.explain("q1", reversed(LINES))
    events = [line.event for line in found.request_lines]
    assert events == ["request.placed", "request.refused"]
    assert found.request_lines[1].fields["reason"] == "no place is expected in time"


def test_explain_reports_instance_state_at_decision_time():
    found = explanation.explain("q1", LINES)
    assert [line.fields["revision"] for line in found.state_lines] == ["7"]


def test_explain_reports_endpoint_events():
    found = explanation.explain("q1", LINES)
    assert [line.event for line in found.endpoint_lines] == ["endpoint.leaving"]


def test_explain_counts_dropped_and_unreadable_lines():
    found = explanation.explain("q1", LINES)
    assert (found.dropped_count, found.unreadable_count) == (9, 1)


@pytest.mark.parametrize(("request_id", "code"), [("q1", 0), ("unknown", 2)])
def test_explain_command_reports_request_or_usage_error(
    tmp_path, capsys, request_id, code
):
    path = tmp_path / "log"
    path.write_text("\n".join(LINES))
    assert main.run(["explain", request_id, str(path)]) == code
    output = capsys.readouterr()
    assert "request.refused" in output.out or "check the id" in output.err
