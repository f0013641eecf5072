"""Checks that no entry uses a version older than one in force everywhere."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True)
class InForceReport:
    """A version that the control plane reported to be in force everywhere."""

    version: int
    reported_at: float


@dataclasses.dataclass(frozen=True)
class EntryResponse:
    """A response that an entry sent under its lease."""

    entry: str
    version: int
    started_at: float


def find_violations(
    in_force: Sequence[InForceReport], responses: Sequence[EntryResponse]
) -> list[str]:
    """Return every response with a stale version and every regression of an entry."""
    violations = []
    reports = sorted(in_force, key=lambda item: item.reported_at)
    position, newest_in_force = 0, 0
    latest_by_entry: dict[str, int] = {}
    for response in sorted(responses, key=lambda item: item.started_at):
        while (
            position < len(reports)
            and reports[position].reported_at < response.started_at
        ):
            newest_in_force = max(newest_in_force, reports[position].version)
            position += 1
        if response.version < newest_in_force:
            violations.append(
                f"stale response; {newest_in_force} is in force everywhere: {response}"
            )
        latest = latest_by_entry.get(response.entry, 0)
        if response.version < latest:
            violations.append(f"version went back from {latest}: {response}")
        latest_by_entry[response.entry] = max(latest, response.version)
    return violations
