"""The checker of leases finds each kind of fault."""

from __future__ import annotations

from tests import in_force_history
from tests.in_force_history import EntryResponse, InForceReport

IN_FORCE = [InForceReport(1, 1.0), InForceReport(2, 3.0)]


def test_faults_none_while_an_older_version_is_in_force() -> None:
    responses = [
        EntryResponse("e", 1, 1.5),
        EntryResponse("f", 2, 2.0),
        EntryResponse("e", 1, 2.9),
    ]
    assert in_force_history.find_violations(IN_FORCE, responses) == []


def test_faults_finds_a_lease_on_an_older_version() -> None:
    found = in_force_history.find_violations(IN_FORCE, [EntryResponse("e", 1, 3.1)])
    assert found and "2 is in force" in found[0]


def test_faults_finds_an_entry_that_goes_back() -> None:
    found = in_force_history.find_violations(
        [], [EntryResponse("e", 2, 1.0), EntryResponse("e", 1, 2.0)]
    )
    assert found and "acted before on 2" in found[0]
