"""Tests of when a stopping instance learns that every lease holder knows of it."""

from __future__ import annotations

import pytest

from tests import lease_requests
from yuccapitch.catalogue import state as catalogue_state
from yuccapitch.control import leases
from yuccapitch.protocol import node_messages

LEASE_S = 4.0


class TermHarness:
    """Leases of a term after those of earlier terms expired, and renewals in it."""

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
def term() -> TermHarness:
    state = catalogue_state.CatalogueState(allow_unsigned=True)
    return TermHarness(leases.TermLeases(1, state, 0.0, LEASE_S))


def test_stop_is_not_known_before_others_acknowledge_it(term: TermHarness) -> None:
    old = term.renew("other", 0).live_sequence
    assert not term.renew("own", 0, is_stopping=True).is_stop_propagated
    term.renew("other", old)
    assert not term.renew("own", 0, is_stopping=True).is_stop_propagated


def test_stop_is_known_once_others_acknowledged_it(term: TermHarness) -> None:
    term.renew("other", 0)
    stopping = term.renew("own", 0, is_stopping=True).live_sequence
    term.renew("other", stopping)
    assert term.renew("own", 0, is_stopping=True).is_stop_propagated


def test_stop_is_known_once_leases_of_unresponsive_holders_expired(
    term: TermHarness,
) -> None:
    term.renew("other", 0)
    term.renew("own", 0, is_stopping=True)
    term.now += LEASE_S * 1.1
    assert term.renew("own", 0, is_stopping=True).is_stop_propagated
