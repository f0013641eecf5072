"""Tests of how long an entry instance uses its state without a leader."""

from __future__ import annotations

import pytest

from yuccapitch.catalogue import routes
from yuccapitch.control import state_leases
from yuccapitch.gateway.front import routing_state

LIMIT_S = 3.0
TABLE = routes.RouteTable(routes.Revision(1), [], [], routes.CallerLimits())


@pytest.fixture
def state() -> routing_state.RoutingState:
    return routing_state.RoutingState(
        TABLE,
        confirmed_at=100.0,
        max_age_s=routing_state.max_state_age_s(LIMIT_S),
    )


def test_is_confirmed_lasts_as_long_as_the_lease(state):
    assert state.is_confirmed(100.0 + state_leases.LEASE_DURATION_S)
    assert not state.is_confirmed(100.1 + state_leases.LEASE_DURATION_S)


def test_is_usable_ends_before_an_order_has_to_be_in_force(state):
    # The earliest acknowledgement of an order that this instance does not know of.
    acknowledged_at = 100.0 + state_leases.LEASE_DURATION_S
    assert state.is_usable(acknowledged_at + 0.9 * LIMIT_S)
    assert not state.is_usable(acknowledged_at + LIMIT_S)


def test_is_usable_requires_routes():
    assert not routing_state.RoutingState(confirmed_at=100.0).is_usable(100.0)
