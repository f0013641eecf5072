"""Checks that no entry acts on an older version than one in force everywhere."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True)
class InForceReport:
    """A version that the control plane told to be in force everywhere."""

    version: int
    reported_at: float


@dataclasses.dataclass(frozen=True)
class EntryResponse:
    """An answer that an entry gave under its lease."""

    entry: str
    version: int
    started_at: float


def find_violations(
    in_force: Sequence[InForceReport], responses: Sequence[EntryResponse]
) -> list[str]:
    """Return every answer on too old a version and every step back of an entry."""
    found = []
    told = sorted(in_force, key=lambda item: item.reported_at)
    position, known = 0, 0
    latest_by_entry: dict[str, int] = {}
    for answer in sorted(responses, key=lambda item: item.started_at):
        while position < len(told) and told[position].reported_at < answer.started_at:
            known = max(known, told[position].version)
            position += 1
        if answer.version < known:
            found.append(f"acted although {known} is in force everywhere: {answer}")
        latest = latest_by_entry.get(answer.entry, 0)
        if answer.version < latest:
            found.append(f"acted before on {latest}: {answer}")
        latest_by_entry[answer.entry] = max(latest, answer.version)
    return found
