"""The checker of lease histories detects each kind of violation."""

from __future__ import annotations

from tests import in_force_history
from tests.in_force_history import EntryResponse, InForceReport

IN_FORCE = [InForceReport(1, 1.0), InForceReport(2, 3.0)]


def test_older_version_is_valid_until_the_next_is_in_force() -> None:
    responses = [
        EntryResponse("e", 1, 1.5),
        EntryResponse("f", 2, 2.0),
        EntryResponse("e", 1, 2.9),
    ]
    assert in_force_history.find_violations(IN_FORCE, responses) == []


def test_stale_response_is_a_violation() -> None:
    violations = in_force_history.find_violations(
        IN_FORCE, [EntryResponse("e", 1, 3.1)]
    )
    assert violations and "2 is in force" in violations[0]


def test_version_regression_is_a_violation() -> None:
    violations = in_force_history.find_violations(
        [], [EntryResponse("e", 2, 1.0), EntryResponse("e", 1, 2.0)]
    )
    assert violations and "went back from 2" in violations[0]
