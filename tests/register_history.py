"""Checks that a concurrent history of the catalogue is linearizable.

The catalogue must behave as a single versioned register.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence

NEVER = float("inf")


@dataclasses.dataclass
class Write:
    """One attempt to send a change, answered or not."""

    change_id: str
    base_version: int
    value: int
    started_at: float
    ended_at: float = NEVER
    outcome: str = "unknown"
    version: int = 0
    """The accepted version, or the current one reported by a conflict."""
    winner: str | None = None


@dataclasses.dataclass
class Read:
    """One successful read of the current version."""

    reader: str
    version: int
    value: int
    started_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True)
class Record:
    """A version as the catalogue lists it after the run."""

    change_id: str
    value: int


@dataclasses.dataclass
class History:
    """The operations of operators and readers."""

    writes: list[Write] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)


def find_violations(
    history: History, records_by_version: Mapping[int, Record]
) -> list[str]:
    """Return every violation of the semantics of a single register."""
    return [
        *_version_violations(records_by_version),
        *_write_violations(history.writes, records_by_version),
        *_read_violations(history, records_by_version),
        *_order_violations(history),
    ]


def _version_violations(records_by_version: Mapping[int, Record]) -> list[str]:
    violations = []
    if sorted(records_by_version) != list(range(1, len(records_by_version) + 1)):
        violations.append(f"versions have gaps: {sorted(records_by_version)}")
    change_ids = [record.change_id for record in records_by_version.values()]
    violations += [
        f"{change_id} is committed more than once"
        for change_id in set(change_ids)
        if change_ids.count(change_id) > 1
    ]
    return violations


def _write_violations(
    writes: Sequence[Write], records_by_version: Mapping[int, Record]
) -> list[str]:
    violations = []
    versions_by_change = {
        record.change_id: version for version, record in records_by_version.items()
    }
    first_outcomes: dict[str, tuple[str, int, str | None]] = {}
    for write in writes:
        if write.outcome == "unknown":
            continue
        result = (write.outcome, write.version, write.winner)
        first_result = first_outcomes.setdefault(write.change_id, result)
        if first_result != result:
            violations.append(
                f"retry of {write.change_id} returned {result} after {first_result}"
            )
        committed = versions_by_change.get(write.change_id)
        if write.outcome == "accepted":
            if committed != write.version or write.version != write.base_version + 1:
                violations.append(
                    f"accepted as {write.version}, committed as {committed}: {write}"
                )
        elif committed is not None:
            violations.append(f"not accepted, but committed as {committed}: {write}")
        elif write.outcome == "conflict":
            winner = records_by_version.get(write.base_version + 1)
            if winner is None or winner.change_id != write.winner:
                violations.append(
                    f"conflict reports another winner than {winner}: {write}"
                )
    return violations


def _read_violations(
    history: History, records_by_version: Mapping[int, Record]
) -> list[str]:
    violations = []
    first_sent_by_change: dict[str, float] = {}
    for write in history.writes:
        start = first_sent_by_change.get(write.change_id, NEVER)
        first_sent_by_change[write.change_id] = min(start, write.started_at)
    for read in history.reads:
        record = records_by_version.get(read.version)
        if record is None or record.value != read.value:
            violations.append(f"read a value that was not committed, {record}: {read}")
        elif first_sent_by_change.get(record.change_id, -NEVER) > read.ended_at:
            violations.append(f"read before it was written: {read}")
    return violations


def _order_violations(history: History) -> list[str]:
    """Compare each operation with the latest version known before it started."""
    operations = sorted(
        [
            (write.started_at, write.ended_at, write.version, write)
            for write in history.writes
            # A retry returns the first outcome of its change, which may be old.
            if write.outcome != "unknown" and _is_first(write, history.writes)
        ]
        + [
            (read.started_at, read.ended_at, read.version, read)
            for read in history.reads
        ],
        key=lambda item: item[0],
    )
    ends = sorted((ended, version) for _, ended, version, _ in operations)
    violations, latest_version, position = [], 0, 0
    for start, _, version, operation in operations:
        while position < len(ends) and ends[position][0] < start:
            latest_version = max(latest_version, ends[position][1])
            position += 1
        if version < latest_version:
            violations.append(f"version went back from {latest_version}: {operation}")
    return violations


def _is_first(write: Write, writes: Sequence[Write]) -> bool:
    return not any(
        other.change_id == write.change_id and other.started_at < write.started_at
        for other in writes
    )
