"""explain."""

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
    """Shows the way of one request through the logs of many processes."""

    name = "explain"
    description = "Show the way of one request through log files."
    arguments: ClassVar[list[cleo_argument.Argument]] = [
        helpers.argument("request", "Id of the request, as its caller sent it."),
        helpers.argument("logs", "Log files of any instances.", multiple=True),
    ]

    def run_command(self) -> base.Outcome:
        """Read the files and join what they say."""
        request_id: str = self.argument("request")
        try:
            found = explanation.explain(request_id, _lines(self.argument("logs")))
        except OSError as error:
            return result.Err(reports.usage_error(f"cannot read a log: {error}"))
        if not found.request_lines:
            message = (
                f"no line names the request {request_id}; check the id, and that the"
                " logs are those of the time and of all entry instances"
            )
            return result.Err(reports.usage_error(message))
        return result.Ok(reports.Report(_text(found), _data(found)))


def _lines(paths: Iterable[str]) -> Iterator[str]:
    for path in paths:
        with pathlib.Path(path).open(encoding="utf-8", errors="replace") as file:
            yield from file


def _text(found: explanation.Explanation) -> str:
    parts = ["request:"]
    parts += [f"  {line.text()}" for line in found.request_lines]
    if found.state_lines:
        parts.append("what the instances acted on:")
        parts += [f"  {line.text()}" for line in found.state_lines]
    if found.endpoint_lines:
        parts.append("what was learnt of the endpoints:")
        parts += [f"  {line.text()}" for line in found.endpoint_lines]
    if found.dropped_count:
        parts.append(
            f"note: {found.dropped_count} lines were left out to bound the logs"
        )
    if found.unreadable_count:
        parts.append(f"note: {found.unreadable_count} lines could not be read")
    return "\n".join(parts)


def _data(found: explanation.Explanation) -> dict[str, object]:
    return {
        "request": [line.fields for line in found.request_lines],
        "beliefs": [line.fields for line in found.state_lines],
        "endpoints": [line.fields for line in found.endpoint_lines],
        "dropped": found.dropped_count,
        "unreadable": found.unreadable_count,
    }
