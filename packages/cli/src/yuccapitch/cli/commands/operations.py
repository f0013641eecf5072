"""The commands `status` and `lookup`."""

from __future__ import annotations

import json
from typing import Any, ClassVar

import result
from cleo import helpers
from cleo.io.inputs import argument as cleo_argument

from yuccapitch.catalogue import api
from yuccapitch.cli import client, reports
from yuccapitch.cli.commands import base


@base.register
class StatusCommand(base.ServerCommand):
    """Shows the control instances, the version and lagging instances."""

    name = "status"
    description = "Show the control instances, the version and lagging instances."

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Fetch the status from the leader, or from any instance without one."""
        status = await operator.status()
        return status.map(_status_report)


@base.register
class LookupCommand(base.ServerCommand):
    """Looks up the entry instances that a client of a service should use."""

    name = "lookup"
    description = "Look up the entry instances that a client should use."
    arguments: ClassVar[list[cleo_argument.Argument]] = [
        helpers.argument("service", "The service."),
        helpers.argument(
            "client", "IP address of the client; default: your own.", optional=True
        ),
    ]

    async def run_with_client(self, operator: client.OperatorClient) -> base.Outcome:
        """Send the same lookup as a client of the service."""
        query = {"service": self.argument("service")}
        if self.argument("client"):
            query["client"] = self.argument("client")
        response = await operator.get_bytes("/v1/entries", query)
        return response.and_then(_lookup_report)


def _status_report(status: api.StatusBody) -> reports.Report:
    lines = [
        f"asked instance: {status.instance_id} ({status.consensus_role})",
        f"leader: {status.leader or 'unknown'}, term {status.term}",
        f"version: {status.version} {status.digest[:12]}",
    ]
    in_force = status.in_force
    if in_force is None:
        lines.append("in force everywhere: unknown (no leader responded)")
    elif in_force.everywhere:
        lines.append("in force everywhere: yes")
    else:
        lines.append(f"in force everywhere: no; lagging: {', '.join(in_force.lagging)}")
    if status.members:
        member_rows = [
            (
                member.instance_id,
                "yes" if member.voter else "no",
                "-" if member.match_index is None else member.match_index,
                member.address,
            )
            for member in status.members
        ]
        headings = ("CONTROL INSTANCE", "VOTES", "LOG INDEX", "ADDRESS")
        lines += ["", reports.table(headings, member_rows)]
    if status.holders:
        holder_rows = [
            (holder.instance_id, holder.version, holder.lease_left_ms)
            for holder in status.holders
        ]
        holder_headings = ("ENTRY INSTANCE", "VERSION", "LEASE LEFT (MS)")
        lines += ["", reports.table(holder_headings, holder_rows)]
    return reports.Report("\n".join(lines), status.model_dump(mode="json"))


def _lookup_report(
    body: bytes,
) -> result.Result[reports.Report, reports.CommandError]:
    try:
        data = json.loads(body)
        entries = data["entries"]
        columns = list(dict.fromkeys(key for entry in entries for key in entry))
        rows = [[entry.get(column, "") for column in columns] for entry in entries]
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError):
        return result.Err(
            reports.usage_error(
                "the response is not a lookup response",
                "check that --server is the HTTP address of an entry instance",
            )
        )
    lines = [f"{key}: {value}" for key, value in _top_level_fields(data)]
    if rows:
        lines += ["", reports.table([column.upper() for column in columns], rows)]
    return result.Ok(reports.Report("\n".join(lines), data))


def _top_level_fields(data: dict[str, Any]) -> list[tuple[str, Any]]:
    return [(key, value) for key, value in data.items() if key != "entries"]
