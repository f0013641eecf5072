"""Tests of when the leader reports a stop as propagated to all lease holders."""

from __future__ import annotations

import pytest

from tests import lease_requests
from yuccapitch.catalogue import state as catalogue_state
from yuccapitch.control import leases
from yuccapitch.protocol import node_messages

LEASE_S = 4.0


class TermHarness:
    """Leases of one term; the clock starts after those of earlier terms expired."""

    def __init__(self, term: leases.TermLeases) -> None:
        self.leases = term
        self.now = 100.0
        self.sequence = 0

    def renew(
        self, name: str, live_sequence: int, is_stopping: bool = False
    ) -> node_messages.LeaseGrant:
        self.sequence += 1
        request = lease_requests.lease_request(
            name,
            self.sequence,
            "hanoi-1",
            live_sequence=live_sequence,
            is_stopping=is_stopping,
        )
        return self.leases.renew(request, self.now).unwrap()


@pytest.fixture
def harness() -> TermHarness:
    state = catalogue_state.CatalogueState(allow_unsigned=True)
    return TermHarness(leases.TermLeases(1, state, 0.0, LEASE_S))


def test_stop_is_not_propagated_before_others_acknowledge_it(
    harness: TermHarness,
) -> None:
    former_sequence = harness.renew("other", 0).live_sequence
    assert not harness.renew("own", 0, is_stopping=True).is_stop_propagated
    harness.renew("other", former_sequence)
    assert not harness.renew("own", 0, is_stopping=True).is_stop_propagated


def test_stop_is_propagated_once_others_acknowledged_it(harness: TermHarness) -> None:
    harness.renew("other", 0)
    stopping_sequence = harness.renew("own", 0, is_stopping=True).live_sequence
    harness.renew("other", stopping_sequence)
    assert harness.renew("own", 0, is_stopping=True).is_stop_propagated


def test_stop_is_propagated_once_leases_of_unresponsive_holders_expired(
    harness: TermHarness,
) -> None:
    harness.renew("other", 0)
    harness.renew("own", 0, is_stopping=True)
    harness.now += LEASE_S * 1.1
    assert harness.renew("own", 0, is_stopping=True).is_stop_propagated
