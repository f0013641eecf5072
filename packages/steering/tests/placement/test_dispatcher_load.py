"""Work of a dispatcher for each request while a region is overloaded.

The pattern is a burst at a service with hundreds of endpoints: all slots are in use and
hundreds of requests wait. What a dispatcher does then must not grow with both numbers,
or it falls behind just when everybody waits for it.
"""

from __future__ import annotations

import builders
import hypothesis
import pytest
from hypothesis import strategies

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import (
    endpoint_state,
    model,
    request_queue,
    table,
)

ENDPOINTS = 150
WAITING = 300


@pytest.fixture
def overloaded():
    """Return a dispatcher without a free slot, and the grants that it has made."""
    dispatcher = builders.make_dispatcher(
        *(builders.endpoint(f"e{n}", slots=1) for n in range(ENDPOINTS))
    )
    granted = [dispatcher.place(builders.request(n), 0.0) for n in range(ENDPOINTS)]
    for number in range(ENDPOINTS, ENDPOINTS + WAITING):
        request = builders.request(number, key=str(number), objective_at=90.0)
        assert dispatcher.place(request, 0.0) is None
    assert all(isinstance(g, model.Granted) for g in granted)
    return dispatcher, granted


@pytest.fixture
def calls(monkeypatch):
    """Count the calls that look at one endpoint."""
    counts = {"is_usable": 0, "availability": 0}

    def count(owner, name):
        original = getattr(owner, name)

        def counting(*args, **kwargs):
            counts[name] += 1
            return original(*args, **kwargs)

        monkeypatch.setattr(owner, name, counting)

    count(table.EndpointTable, "is_usable")
    count(endpoint_state.EndpointState, "availability")
    return counts


def test_release_looks_at_the_released_endpoint_only(overloaded, calls):
    dispatcher, granted = overloaded
    for grant in granted[:20]:
        decided = dispatcher.release(
            grant.attempt_id, model.Outcome.ANSWERED, None, None, 0.1
        )
        assert [d.endpoint.endpoint_id for d in decided] == [grant.endpoint.endpoint_id]
    assert calls["is_usable"] == 0
    assert calls["availability"] <= 3 * 20


def test_tick_without_free_slots_looks_at_each_endpoint_once(overloaded, calls):
    dispatcher, _ = overloaded
    dispatcher.tick(0.0)
    calls.update(availability=0, is_usable=0)
    assert not dispatcher.tick(0.05)
    assert calls["availability"] <= ENDPOINTS
    assert calls["is_usable"] == 0


# Guards against lists of eligible endpoints that are kept too long.
def test_eligible_follows_announcements_lists_and_evacuations():
    endpoints = [builders.endpoint(f"e{n}") for n in range(3)]
    dispatcher = builders.make_dispatcher(*endpoints)
    services = {builders.SERVICE: builders.service()}
    request = builders.request(1)

    def eligible_ids():
        return set(dispatcher.table.eligible(request).endpoint_ids)

    assert eligible_ids() == {"e0", "e1", "e2"}
    dispatcher.record_leaving(ids.EndpointId("e0"))
    assert eligible_ids() == {"e1", "e2"}
    dispatcher.table.update(endpoints[1:2], services, frozenset(), 1.0)
    assert eligible_ids() == {"e1"}
    evacuated = frozenset((endpoints[1].failure_domain,))
    dispatcher.table.update(endpoints[1:2], services, evacuated, 2.0)
    assert eligible_ids() == set()


def test_limit_follows_round_trips_and_the_share_of_the_slots():
    remote = builders.endpoint("e1", region=builders.SOUTH, slots=10)
    endpoints = (remote, builders.endpoint("e2"))
    dispatcher, other = (builders.make_dispatcher(*endpoints) for _ in range(2))
    state = dispatcher.table.states_by_id[remote.endpoint_id]
    assert dispatcher.table.limit(state) == 11
    dispatcher.table.observe_round_trip(builders.SOUTH, 0.3)
    assert dispatcher.table.limit(state) == 13
    other.table.observe_round_trip(builders.SOUTH, 0.3)
    builders.share_endpoints([dispatcher, other])
    limits = [
        placer.table.limit(placer.table.states_by_id[remote.endpoint_id])
        for placer in (dispatcher, other)
    ]
    assert limits == [6, 6]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2), strategies.booleans(), strategies.floats(0.1, 9)
        )
    ),
    strategies.sets(strategies.integers(0, 20)),
)
@hypothesis.settings(deadline=None)
def test_expected_wait_is_the_work_of_those_ahead(queued, removed):
    queue = request_queue.RequestQueue()
    kept = []
    for number, (rank, is_late, duration_s) in enumerate(queued):
        request = builders.request(number, rank=rank)
        scope = request_queue.RegionScope.ANY
        queue.add(
            request_queue.QueuedRequest(request, is_late, duration_s, 9.0, 0.0, scope)
        )
        if number in removed:
            assert queue.remove(request.attempt_id)
        else:
            kept.append((is_late, rank, duration_s))
    for is_late in (False, True):
        for rank in range(3):
            work_s = sum(d for late, r, d in kept if (late, r) <= (is_late, rank))
            expected_s = pytest.approx((work_s + 0.5) / 4)
            assert queue.expected_wait_s(rank, is_late, 4, 0.5) == expected_s
