"""The command `explain`."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable, Iterator
from typing import ClassVar

import result
from cleo import helpers
from cleo.io.inputs import argument as cleo_argument

from yuccapitch.cli import explanation, reports
from yuccapitch.cli.commands import base


@base.register
class ExplainCommand(base.BaseCommand):
    """Traces one request through the logs of many processes."""

    name = "explain"
    description = "Trace one request through log files."
    arguments: ClassVar[list[cleo_argument.Argument]] = [
        helpers.argument("request", "Request id, as sent by the client."),
        helpers.argument("logs", "Log files of one or more instances.", multiple=True),
    ]

    def run_command(self) -> base.Outcome:
        """Read the log files and trace the request."""
        request_id: str = self.argument("request")
        try:
            trace = explanation.explain(request_id, _read_lines(self.argument("logs")))
        except OSError as error:
            return result.Err(reports.usage_error(f"cannot read a log: {error}"))
        if not trace.request_lines:
            message = (
                f"no log line contains request {request_id}; check the id, and that"
                " the logs cover the time of the request and all entry instances"
            )
            return result.Err(reports.usage_error(message))
        return result.Ok(reports.Report(_format_trace(trace), _trace_to_data(trace)))


def _read_lines(paths: Iterable[str]) -> Iterator[str]:
    for path in paths:
        with pathlib.Path(path).open(encoding="utf-8", errors="replace") as file:
            yield from file


def _format_trace(trace: explanation.Explanation) -> str:
    parts = ["request:"]
    parts += [f"  {line.text()}" for line in trace.request_lines]
    if trace.state_lines:
        parts.append("state of the instances:")
        parts += [f"  {line.text()}" for line in trace.state_lines]
    if trace.endpoint_lines:
        parts.append("events of the endpoints:")
        parts += [f"  {line.text()}" for line in trace.endpoint_lines]
    if trace.dropped_count:
        parts.append(
            f"note: {trace.dropped_count} lines were dropped to limit the log volume"
        )
    if trace.unreadable_count:
        parts.append(f"note: {trace.unreadable_count} lines could not be parsed")
    return "\n".join(parts)


def _trace_to_data(trace: explanation.Explanation) -> dict[str, object]:
    return {
        "request": [line.fields for line in trace.request_lines],
        "beliefs": [line.fields for line in trace.state_lines],
        "endpoints": [line.fields for line in trace.endpoint_lines],
        "dropped": trace.dropped_count,
        "unreadable": trace.unreadable_count,
    }
