"""The checker of catalogue histories detects each kind of violation."""

from __future__ import annotations

import pytest

from tests import register_history
from tests.register_history import History, Read, Record, Write

RECORDS = {1: Record("a", 10), 2: Record("b", 20)}


def valid_history() -> History:
    """Return a history where b wins against c, and c and a are retried."""
    return History(
        [
            Write("a", 0, 10, 1.0, 2.0, "accepted", 1),
            Write("b", 1, 20, 3.0),
            Write("c", 1, 30, 3.1, 5.0, "conflict", 2, "b"),
            Write("b", 1, 20, 4.0, 6.0, "accepted", 2),
            Write("c", 1, 30, 7.0, 8.0, "conflict", 2, "b"),
            Write("a", 0, 10, 9.0, 9.5, "accepted", 1),
        ],
        [Read("r", 1, 10, 2.5, 2.6), Read("r", 2, 20, 6.5, 6.6)],
    )


def test_valid_history_has_no_violations() -> None:
    assert register_history.find_violations(valid_history(), RECORDS) == []


INVALID_OPERATIONS = {
    "lost change": (
        Write("d", 2, 40, 9.0, 9.1, "accepted", 3),
        "accepted as 3, committed as None",
    ),
    "two winners": (
        Write("d", 1, 40, 4.5, 9.1, "accepted", 2),
        "accepted as 2, committed as None",
    ),
    "second outcome": (
        Write("a", 0, 10, 9.6, 9.7, "conflict", 2, "b"),
        "retry of a returned",
    ),
    "refused yet committed": (
        Write("b", 1, 20, 9.0, 9.1, "refused"),
        "not accepted, but committed as 2",
    ),
    "wrong winner": (
        Write("d", 1, 40, 9.0, 9.1, "conflict", 2, "c"),
        "conflict reports another winner",
    ),
    "stale conflict": (
        Write("d", 0, 40, 9.0, 9.1, "conflict", 1, "a"),
        "went back from 2",
    ),
    "stale read": (Read("s", 1, 10, 6.7, 6.8), "went back from 2"),
    "early read": (Read("s", 2, 20, 2.7, 2.8), "read before it was written"),
    "uncommitted read": (
        Read("s", 2, 99, 6.7, 6.8),
        "read a value that was not committed",
    ),
}


@pytest.mark.parametrize(
    ("operation", "expected"), INVALID_OPERATIONS.values(), ids=INVALID_OPERATIONS
)
def test_invalid_operation_is_a_violation(
    operation: Write | Read, expected: str
) -> None:
    history = valid_history()
    if isinstance(operation, Write):
        history.writes.append(operation)
    else:
        history.reads.append(operation)
    violations = register_history.find_violations(history, RECORDS)
    assert any(expected in violation for violation in violations), violations


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        ({1: Record("a", 10), 3: Record("b", 20)}, "versions have gaps"),
        ({**RECORDS, 3: Record("b", 20)}, "b is committed more than once"),
    ],
)
def test_invalid_versions_are_a_violation(
    records: dict[int, Record], expected: str
) -> None:
    violations = register_history.find_violations(valid_history(), records)
    assert any(expected in violation for violation in violations), violations
