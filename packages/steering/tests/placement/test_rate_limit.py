"""Placement at endpoints that name a limit of their request rate."""

from __future__ import annotations

import builders
import hypothesis
import pytest
from hypothesis import strategies

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import model, request_rate_limiter, table

ANSWERED = model.Outcome.ANSWERED
UNLIMITED = model.RateLimitReport(None)
STEP_S = 0.02
# Window in which the platform counts requests to an endpoint, and what it tolerates.
WINDOW_S = 4.0
TOLERATED_FACTOR, TOLERATED_REQUESTS = 1.5, 5
E1, E2 = ids.EndpointId("e1"), ids.EndpointId("e2")


def limit(rate_per_s: float) -> model.RateLimitReport:
    return model.RateLimitReport(rate_per_s)


def make_limited(rate_per_s: float, *others: str, **changes: object):
    """Return a dispatcher to which e1 has named a limit at second 0."""
    endpoints = [
        builders.endpoint(name, slots=9, **changes) for name in ("e1", *others)
    ]
    dispatcher = builders.make_dispatcher(*endpoints)
    dispatcher.observe_rate_limit(E1, limit(rate_per_s), 0.0, 0.0)
    return dispatcher


def run_load(dispatchers, duration_s: float, rate_per_s: float) -> list[float]:
    """Send requests through the dispatchers in turn; return when e1 got one."""
    sent_at, open_grants, number, now = [], [], 0, 0.0
    while now < duration_s:
        now += STEP_S
        for item in [g for g in open_grants if g[2] <= now]:
            open_grants.remove(item)
            dispatcher, granted, _ = item
            decided = dispatcher.release(granted.attempt_id, ANSWERED, None, None, now)
            record(decided, dispatcher, now, sent_at, open_grants)
        for dispatcher in dispatchers:
            record(dispatcher.tick(now), dispatcher, now, sent_at, open_grants)
        while number < rate_per_s * now:
            dispatcher = dispatchers[number % len(dispatchers)]
            decision = dispatcher.place(builders.request(number, now=now), now)
            record([decision], dispatcher, now, sent_at, open_grants)
            number += 1
    return sent_at


def record(decisions, dispatcher, now, sent_at, open_grants) -> None:
    for decision in decisions:
        if isinstance(decision, model.Granted):
            open_grants.append((dispatcher, decision, now + 0.2))
            if decision.endpoint.endpoint_id == E1:
                sent_at.append(now)


def largest_window(sent_at: list[float]) -> int:
    return max(
        (sum(start <= at < start + WINDOW_S for at in sent_at) for start in sent_at),
        default=0,
    )


# Guards against an endpoint in need that gets what its slots take.
@pytest.mark.parametrize("rate_per_s", [0.0, 0.3, 1.1, 5.2, 20.0])
def test_limited_endpoint_gets_no_more_than_its_limit_in_any_window(rate_per_s):
    dispatcher = make_limited(rate_per_s)
    sent_at = run_load([dispatcher], 20.0, 40.0)
    used_rate = max(rate_per_s, request_rate_limiter.MIN_RATE_PER_S)
    assert largest_window(sent_at) <= used_rate * WINDOW_S + 1
    assert len(sent_at) >= 0.8 * used_rate * 20.0 - 1


def test_limited_endpoint_gets_no_burst_after_a_pause():
    dispatcher = make_limited(5.0)
    placed = [dispatcher.place(builders.request(n, now=9.0), 9.0) for n in range(3)]
    assert sum(isinstance(decision, model.Granted) for decision in placed) == 1


def test_requests_beyond_the_limit_go_to_other_endpoints():
    dispatcher = make_limited(1.0, "e2")
    decisions = [dispatcher.place(builders.request(n, now=0.5), 0.5) for n in range(9)]
    assert {d.endpoint.endpoint_id for d in decisions} == {E2}


def test_request_does_not_wait_for_a_limited_endpoint_that_caches_its_object():
    dispatcher = make_limited(1.0, "e2")
    dispatcher.record_warm_object(E1, "read/7", 0.0)
    decision = dispatcher.place(builders.request(1, "7", now=0.1), 0.1)
    assert isinstance(decision, model.Granted)
    assert decision.endpoint.endpoint_id == E2


# Guards against requests that are held until their deadline although the limit leaves
# no place in time.
def test_requests_are_refused_at_once_if_the_limit_leaves_no_place_in_time():
    dispatcher = make_limited(0.0)
    dispatcher.table.states_by_id[E1].observe_duration(0.2, 0.2)
    decision = dispatcher.place(builders.request(1, now=0.1), 0.1)
    assert isinstance(decision, model.Refused)
    assert "rate limited 1" in decision.detail


def test_limit_ends_with_the_response_to_a_later_request_that_names_none():
    dispatcher = make_limited(1.0)
    early = model.AttemptId("early")
    state = dispatcher.table.states_by_id[E1]
    state.observe_rate_limit(limit(1.0), 2.0, 3.0)
    # The response to a request that was sent before the limit was named last.
    state.observe_rate_limit(UNLIMITED, 2.5, 3.5)
    assert state.rate_limit_per_s == 1.0
    granted = dispatcher.place(builders.request(1, now=9.0, attempt_id=early), 9.0)
    assert isinstance(granted, model.Granted)
    dispatcher.release(early, ANSWERED, None, None, 9.2, UNLIMITED)
    assert state.rate_limit_per_s is None


def test_limit_is_forgotten_when_the_endpoint_starts_again_under_its_id():
    dispatcher = make_limited(1.0)
    restarted = builders.endpoint("e1", incarnation=5)
    services = {builders.SERVICE: builders.service()}
    dispatcher.table.update([restarted], services, frozenset(), 5.0)
    assert dispatcher.table.states_by_id[E1].rate_limit_per_s is None


def test_limit_that_changes_applies_to_the_next_request():
    dispatcher = make_limited(0.5)
    state = dispatcher.table.states_by_id[E1]
    state.observe_rate_limit(limit(10.0), 0.0, 0.1)
    assert len(run_load([dispatcher], 4.0, 40.0)) >= 30
    state.observe_rate_limit(limit(0.5), 4.0, 4.0)
    placed = [
        dispatcher.place(builders.request(n, now=5.0), 5.0) for n in range(99, 103)
    ]
    assert not any(isinstance(decision, model.Granted) for decision in placed)


def test_dispatchers_of_all_regions_together_keep_to_the_limit():
    names = ("e1", "e2", "e3")
    regions = [builders.SOUTH, builders.NORTH, ids.RegionId("east")]
    endpoints = [
        builders.endpoint(name, region, slots=9)
        for name, region in zip(names, regions, strict=True)
    ]
    tables = []
    for region in regions:
        created = table.EndpointTable(region)
        services = {builders.SERVICE: builders.service()}
        created.update(endpoints, services, frozenset(), 0.0)
        tables.append(created)
    for name in names:
        shares = [t.states_by_id[ids.EndpointId(name)].rate_share for t in tables]
        assert sum(shares) == pytest.approx(1.0)
        assert min(shares) > 0.0


def test_entries_that_place_by_themselves_share_the_limit():
    dispatchers = builders.share_endpoints([make_limited(4.0) for _ in range(4)])
    sent_at = run_load(dispatchers, 20.0, 60.0)
    allowed = TOLERATED_FACTOR * 4.0 * WINDOW_S + TOLERATED_REQUESTS
    assert largest_window(sent_at) <= allowed


def test_new_dispatcher_keeps_to_the_limits_of_the_former_one():
    former, successor = make_limited(1.0, "e2"), builders.make_dispatcher(
        builders.endpoint("e1", slots=9), builders.endpoint("e2", slots=9)
    )
    successor.estimates.restore_rate_limits(former.estimates.summary(5.0), 5.0)
    assert successor.table.states_by_id[E1].rate_limit_per_s == 1.0
    assert successor.table.states_by_id[E2].rate_limit_per_s is None


# Guards against a limit that is lost because it was passed on before the first list.
def test_dispatcher_keeps_to_limits_that_it_learns_before_its_first_list():
    former, successor = make_limited(1.0), builders.make_dispatcher()
    successor.estimates.restore_rate_limits(former.estimates.summary(5.0), 5.0)
    services = {builders.SERVICE: builders.service()}
    endpoints = [builders.endpoint("e1", slots=9)]
    successor.table.update(endpoints, services, frozenset(), 5.1)
    assert successor.table.states_by_id[E1].rate_limit_per_s == 1.0


@hypothesis.given(
    changes=strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 3.0),
            strategies.none() | strategies.floats(0.0, 50.0),
        ),
        max_size=30,
    )
)
def test_limiter_never_exceeds_the_highest_rate_of_a_window(changes):
    limiter = request_rate_limiter.RequestRateLimiter(5.0, 0.0)
    now, highest, sent_at = 0.0, 5.0, []
    for pause_s, rate in changes:
        for _ in range(int(pause_s / STEP_S)):
            now += STEP_S
            if limiter.may_send(now):
                limiter.record_send(now, 1.0)
                sent_at.append(now)
        if rate is not None:
            limiter.update(rate, now)
            highest = max(highest, rate)
    for start in sent_at:
        count = sum(start <= at < start + WINDOW_S for at in sent_at)
        assert count <= highest * WINDOW_S + 1
