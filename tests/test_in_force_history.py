"""The checker of leases finds each kind of fault."""

from __future__ import annotations

from tests import in_force_history
from tests.in_force_history import Acted, InForce

IN_FORCE = [InForce(1, 1.0), InForce(2, 3.0)]


def test_faults_none_while_an_older_version_is_in_force() -> None:
    acted = [Acted("e", 1, 1.5), Acted("f", 2, 2.0), Acted("e", 1, 2.9)]
    assert in_force_history.faults(IN_FORCE, acted) == []


def test_faults_finds_a_lease_on_an_older_version() -> None:
    found = in_force_history.faults(IN_FORCE, [Acted("e", 1, 3.1)])
    assert found and "2 is in force" in found[0]


def test_faults_finds_an_entry_that_goes_back() -> None:
    found = in_force_history.faults([], [Acted("e", 2, 1.0), Acted("e", 1, 2.0)])
    assert found and "acted before on 2" in found[0]
