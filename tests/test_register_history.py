"""The checker of catalogue histories finds each kind of fault."""

from __future__ import annotations

import pytest

from tests import register_history
from tests.register_history import History, Read, Record, Write

RECORDS = {1: Record("a", 10), 2: Record("b", 20)}


def good() -> History:
    """Return a history in which b overtakes c, and c and a are sent again."""
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


def test_faults_none_in_a_good_history() -> None:
    assert register_history.find_violations(good(), RECORDS) == []


BAD = {
    "lost change": (
        Write("d", 2, 40, 9.0, 9.1, "accepted", 3),
        "accepted as 3, kept as None",
    ),
    "two winners": (
        Write("d", 1, 40, 4.5, 9.1, "accepted", 2),
        "accepted as 2, kept as None",
    ),
    "second outcome": (
        Write("a", 0, 10, 9.6, 9.7, "conflict", 2, "b"),
        "resent a got",
    ),
    "refused yet kept": (
        Write("b", 1, 20, 9.0, 9.1, "refused"),
        "not accepted, but kept as 2",
    ),
    "wrong winner": (
        Write("d", 1, 40, 9.0, 9.1, "conflict", 2, "c"),
        "told of another winner",
    ),
    "stale conflict": (
        Write("d", 0, 40, 9.0, 9.1, "conflict", 1, "a"),
        "went back from 2",
    ),
    "stale read": (Read("s", 1, 10, 6.7, 6.8), "went back from 2"),
    "early read": (Read("s", 2, 20, 2.7, 2.8), "read before it was written"),
    "foreign read": (Read("s", 2, 99, 6.7, 6.8), "read what is not kept"),
}


@pytest.mark.parametrize(("operation", "expected"), BAD.values(), ids=BAD)
def test_faults_finds(operation: Write | Read, expected: str) -> None:
    history = good()
    if isinstance(operation, Write):
        history.writes.append(operation)
    else:
        history.reads.append(operation)
    found = register_history.find_violations(history, RECORDS)
    assert any(expected in fault for fault in found), found


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        ({1: Record("a", 10), 3: Record("b", 20)}, "versions have gaps"),
        ({**RECORDS, 3: Record("b", 20)}, "b won more than once"),
    ],
)
def test_faults_finds_bad_versions(records: dict[int, Record], expected: str) -> None:
    found = register_history.find_violations(good(), records)
    assert any(expected in fault for fault in found), found
