"""Checks a concurrent history of the catalogue as that of one versioned register."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence

NEVER = float("inf")


@dataclasses.dataclass
class Write:
    """One sending of a change, answered or not."""

    change_id: str
    base_version: int
    value: int
    started_at: float
    ended_at: float = NEVER
    outcome: str = "unknown"
    version: int = 0
    """The version accepted, or the current one that a conflict names."""
    winner: str | None = None


@dataclasses.dataclass
class Read:
    """One answered read of the current version."""

    reader: str
    version: int
    value: int
    started_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True)
class Record:
    """A version as the catalogue tells of it in the end."""

    change_id: str
    value: int


@dataclasses.dataclass
class History:
    """What operators and readers saw."""

    writes: list[Write] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)


def find_violations(
    history: History, records_by_version: Mapping[int, Record]
) -> list[str]:
    """Return every way in which the history is not that of one register."""
    return [
        *_version_violations(records_by_version),
        *_write_violations(history.writes, records_by_version),
        *_read_violations(history, records_by_version),
        *_order_violations(history),
    ]


def _version_violations(records_by_version: Mapping[int, Record]) -> list[str]:
    found = []
    if sorted(records_by_version) != list(range(1, len(records_by_version) + 1)):
        found.append(f"versions have gaps: {sorted(records_by_version)}")
    change_ids = [record.change_id for record in records_by_version.values()]
    found += [
        f"{change_id} won more than once"
        for change_id in set(change_ids)
        if change_ids.count(change_id) > 1
    ]
    return found


def _write_violations(
    writes: Sequence[Write], records_by_version: Mapping[int, Record]
) -> list[str]:
    found = []
    versions_by_change = {
        record.change_id: version for version, record in records_by_version.items()
    }
    first_outcomes: dict[str, tuple[str, int, str | None]] = {}
    for write in writes:
        if write.outcome == "unknown":
            continue
        seen = (write.outcome, write.version, write.winner)
        first = first_outcomes.setdefault(write.change_id, seen)
        if first != seen:
            found.append(f"resent {write.change_id} got {seen} after {first}")
        kept = versions_by_change.get(write.change_id)
        if write.outcome == "accepted":
            if kept != write.version or write.version != write.base_version + 1:
                found.append(f"accepted as {write.version}, kept as {kept}: {write}")
        elif kept is not None:
            found.append(f"not accepted, but kept as {kept}: {write}")
        elif write.outcome == "conflict":
            winner = records_by_version.get(write.base_version + 1)
            if winner is None or winner.change_id != write.winner:
                found.append(f"told of another winner than {winner}: {write}")
    return found


def _read_violations(
    history: History, records_by_version: Mapping[int, Record]
) -> list[str]:
    found = []
    first_sent_by_change: dict[str, float] = {}
    for write in history.writes:
        began = first_sent_by_change.get(write.change_id, NEVER)
        first_sent_by_change[write.change_id] = min(began, write.started_at)
    for read in history.reads:
        record = records_by_version.get(read.version)
        if record is None or record.value != read.value:
            found.append(f"read what is not kept, {record}: {read}")
        elif first_sent_by_change.get(record.change_id, -NEVER) > read.ended_at:
            found.append(f"read before it was written: {read}")
    return found


def _order_violations(history: History) -> list[str]:
    """Compare each operation with the latest version known before it began."""
    points = sorted(
        [
            (write.started_at, write.ended_at, write.version, write)
            for write in history.writes
            # A resent change learns its first outcome, which may be old.
            if write.outcome != "unknown" and _is_first(write, history.writes)
        ]
        + [
            (read.started_at, read.ended_at, read.version, read)
            for read in history.reads
        ],
        key=lambda point: point[0],
    )
    ends = sorted((ended, version) for _, ended, version, _ in points)
    found, known, position = [], 0, 0
    for began, _, version, operation in points:
        while position < len(ends) and ends[position][0] < began:
            known = max(known, ends[position][1])
            position += 1
        if version < known:
            found.append(f"went back from {known}: {operation}")
    return found


def _is_first(write: Write, writes: Sequence[Write]) -> bool:
    return not any(
        other.change_id == write.change_id and other.started_at < write.started_at
        for other in writes
    )
