"""Limits of one endpoint while the instances of a region place by themselves."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterable, Mapping

import builders
import pytest

from yuccapitch.catalogue import ids, routes
from yuccapitch.steering.placement import apportionment, dispatcher, model

COLD = ids.EndpointId("cold")
ANSWERED = model.Outcome.ANSWERED
COLD_RATE_PER_S = 2.5
SERVICES = {builders.SERVICE: builders.service(COLD_RATE_PER_S)}
START, STEP_S = 10.0, 0.01
# Requests in one second that platforms tolerate in relation to the rate, and beyond it.
TOLERATED_FACTOR, TOLERATED_REQUESTS = 1.5, 5
# Instances of a small region, a middle one and the largest one.
INSTANCE_COUNTS = [1, 2, 8, 60]


class Region:
    """Dispatchers that serve one stream of requests each; endpoints answer at once."""

    def __init__(self, *dispatchers: dispatcher.Dispatcher) -> None:
        self.dispatchers = dispatchers
        self.now = START
        self.sent_at: list[float] = []
        """Times of the requests to the observed endpoint."""
        self.refusals: list[tuple[float, model.Refused]] = []
        """Refusals, each after the time that the request has waited."""
        self._requested_at: dict[model.AttemptId, float] = {}
        self._open: collections.deque[tuple[float, int, model.Granted]]
        self._open = collections.deque()
        self._number = 0

    def run(self, duration_s: float, outcome: model.Outcome = ANSWERED) -> None:
        """Let each dispatcher get a request at each step."""
        ends_at = self.now + duration_s
        while self.now < ends_at:
            for index, placer in enumerate(self.dispatchers):
                self._number += 1
                request = builders.request(self._number, now=self.now)
                self._requested_at[request.attempt_id] = self.now
                self._record(index, [placer.place(request, self.now)])
                self._record(index, placer.tick(self.now))
            self._answer(outcome)
            self.now += STEP_S

    def _answer(self, outcome: model.Outcome) -> None:
        while self._open and self._open[0][0] <= self.now:
            _, index, granted = self._open.popleft()
            is_observed = granted.endpoint.endpoint_id == COLD
            decided = self.dispatchers[index].release(
                granted.attempt_id,
                outcome if is_observed else ANSWERED,
                None,
                None,
                self.now,
            )
            self._record(index, decided)

    def _record(self, index: int, decisions: Iterable[model.Decision | None]) -> None:
        for decision in decisions:
            if isinstance(decision, model.Granted):
                self._open.append((self.now + 0.1, index, decision))
                if decision.endpoint.endpoint_id == COLD:
                    self.sent_at.append(self.now)
            elif isinstance(decision, model.Refused):
                waited_s = self.now - self._requested_at[decision.attempt_id]
                self.refusals.append((waited_s, decision))


def endpoint(name: str = COLD, **changes: object) -> model.Endpoint:
    return builders.endpoint(name, **{"slots": 5, **changes})


def update(
    placer: dispatcher.Dispatcher, *endpoints: model.Endpoint, now: float = START
) -> None:
    placer.table.update(endpoints, SERVICES, frozenset(), now)


def add_new(placer: dispatcher.Dispatcher) -> None:
    update(placer, endpoint("other", is_leaving=True))
    update(placer, endpoint("other", is_leaving=True), endpoint())


def add_listed_cold(placer: dispatcher.Dispatcher) -> None:
    update(placer, endpoint(cold_left_s=3.0))


def add_reinstated(placer: dispatcher.Dispatcher) -> None:
    domains = frozenset((endpoint().failure_domain,))
    placer.table.update([endpoint()], SERVICES, domains, START)
    update(placer, endpoint())


def add_unreachable(placer: dispatcher.Dispatcher) -> None:
    update(placer, endpoint(), now=START - 1.0)
    request = builders.request(-1, now=START - 1.0)
    # A place that the region's dispatcher had granted before.
    granted = placer.restore_grant(request, endpoint(), START - 1.0)
    assert granted is not None
    unreachable = model.Outcome.UNREACHABLE
    placer.release(granted.attempt_id, unreachable, None, None, START - 0.6)


WAYS_TO_BE_COLD = [add_new, add_listed_cold, add_reinstated, add_unreachable]


def make_region(count: int, prepare: Callable[[dispatcher.Dispatcher], None]):
    """Return a region whose instances all place by themselves."""
    placers = [builders.make_dispatcher() for _ in range(count)]
    builders.share_endpoints(placers)
    for placer in placers:
        prepare(placer)
    return Region(*placers)


def largest_second(sent_at: list[float]) -> int:
    return max(
        (sum(start <= at < start + 1.0 for at in sent_at) for start in sent_at),
        default=0,
    )


# Guards against shares below one request that are rounded up: sixty instances sent
# sixty to two hundred and forty requests to a cold endpoint within a second.
@pytest.mark.parametrize("count", INSTANCE_COUNTS)
@pytest.mark.parametrize("prepare", WAYS_TO_BE_COLD)
def test_cold_endpoint_gets_no_more_than_its_rate_from_all_instances(count, prepare):
    region = make_region(count, prepare)
    region.run(2.3)
    assert largest_second(region.sent_at) <= COLD_RATE_PER_S + 1
    assert region.sent_at


# Guards against instances that place by themselves on top of a dispatcher that goes on
# with the whole rate for the others.
@pytest.mark.parametrize("count", INSTANCE_COUNTS)
@pytest.mark.parametrize("prepare", WAYS_TO_BE_COLD)
def test_cold_endpoint_bears_a_dispatcher_beside_those_that_place_alone(count, prepare):
    alone = make_region(count, prepare)
    dispatching = builders.make_dispatcher()
    prepare(dispatching)
    region = Region(*alone.dispatchers, dispatching)
    region.run(2.3)
    allowed = TOLERATED_FACTOR * COLD_RATE_PER_S + TOLERATED_REQUESTS
    assert largest_second(region.sent_at) <= allowed


# Guards against a limiter that keeps the share of the moment at which it was created.
def test_cold_endpoint_gets_its_rate_after_the_dispatcher_of_all_is_lost():
    placers = [builders.make_dispatcher() for _ in range(60)]
    for placer in placers:
        add_listed_cold(placer)
    builders.share_endpoints(placers)
    region = Region(*placers)
    region.run(2.3)
    assert largest_second(region.sent_at) <= COLD_RATE_PER_S + 1


def test_instance_that_becomes_the_dispatcher_uses_the_whole_rate():
    region = make_region(60, add_listed_cold)
    last = max(
        region.dispatchers,
        key=lambda placer: placer.table.states_by_id[COLD].share.rank,
    )
    last.table.set_apportionment(None, START)
    alone = Region(last)
    alone.run(2.9)
    assert (
        0.7 * COLD_RATE_PER_S * 2.9 <= len(alone.sent_at) <= 2 + COLD_RATE_PER_S * 2.9
    )


# Guards against requests that wait for an endpoint that only other instances use.
def test_request_is_refused_at_once_if_others_use_the_only_endpoint():
    region = make_region(60, add_listed_cold)
    region.run(0.5)
    assert region.sent_at
    at_once = [refused for waited_s, refused in region.refusals if waited_s == 0.0]
    assert len(at_once) >= 59 * 50
    assert min(refused.retry_after_s for refused in at_once) >= 0.1


def test_request_finds_another_endpoint_if_others_use_the_cold_one():
    def prepare(placer: dispatcher.Dispatcher) -> None:
        cold, warm = endpoint(cold_left_s=3.0), endpoint("warm", slots=300)
        update(placer, cold, warm)

    region = make_region(60, prepare)
    region.run(0.05)
    assert not region.refusals


def test_queued_request_is_refused_once_others_use_the_only_endpoint():
    region = make_region(60, lambda placer: update(placer, endpoint(slots=60)))
    last = max(
        region.dispatchers,
        key=lambda placer: placer.table.states_by_id[COLD].share.rank,
    )
    first, second = (builders.request(number, now=START) for number in (1, 2))
    assert isinstance(last.place(first, START), model.Granted)
    assert last.place(second, START) is None
    unreachable = model.Outcome.UNREACHABLE
    last.release(first.attempt_id, unreachable, None, None, START + 0.1)
    refused = list(last.tick(START + 0.1))
    assert [decision.attempt_id for decision in refused] == [second.attempt_id]
    assert isinstance(refused[0], model.Refused)
    assert refused[0].retry_after_s >= 1.0


# Guards against as many first requests as instances at an endpoint in need.
@pytest.mark.parametrize("count", INSTANCE_COUNTS)
@pytest.mark.parametrize("rate_per_s", [0.5, 2.0, 6.0, 20.0])
def test_limited_endpoint_gets_no_more_than_its_limit_from_all_instances(
    count, rate_per_s
):
    def prepare(placer: dispatcher.Dispatcher) -> None:
        update(placer, endpoint(slots=60))
        report = model.RateLimitReport(rate_per_s)
        placer.observe_rate_limit(COLD, report, START, START)

    alone = make_region(count, prepare)
    dispatching = builders.make_dispatcher()
    prepare(dispatching)
    region = Region(*alone.dispatchers, dispatching)
    region.run(6.0)
    window_s = 4.0
    most = max(
        sum(start <= at < start + window_s for at in region.sent_at)
        for start in region.sent_at
    )
    assert most <= TOLERATED_FACTOR * rate_per_s * window_s + TOLERATED_REQUESTS


# Guards against a failing endpoint that each instance probes by itself.
def test_failing_endpoint_gets_one_request_at_a_time_from_all_instances():
    def prepare(placer: dispatcher.Dispatcher) -> None:
        others = [endpoint(f"warm-{number}", slots=300) for number in range(2)]
        update(placer, endpoint(), *others)
        placer.table.states_by_id[COLD].restore_health(1.0, 0.9)

    region = make_region(60, prepare)
    # All others are so slow that requests prefer the failing one.
    for placer in region.dispatchers:
        for state in placer.table.states_by_id.values():
            if state.endpoint.endpoint_id != COLD:
                state.restore_health(20.0, 0.0)
    region.run(1.0, outcome=model.Outcome.FAILED)
    assert 1 <= largest_second(region.sent_at) <= 2


# Guards against shares below one slot that are rounded up: sixty instances had sixty
# requests at an endpoint of five slots.
@pytest.mark.parametrize("count", INSTANCE_COUNTS)
def test_endpoint_gets_no_more_requests_at_a_time_than_it_has_slots(count):
    region = make_region(count, lambda placer: update(placer, endpoint(slots=5)))
    granted = [
        placer.place(builders.request(number, now=START), START)
        for placer in region.dispatchers
        for number in range(9)
    ]
    assert sum(isinstance(decision, model.Granted) for decision in granted) == 5


def test_request_is_refused_at_once_if_others_use_all_slots():
    region = make_region(60, lambda placer: update(placer, endpoint(slots=5)))
    decisions = [
        placer.place(builders.request(1, now=START), START)
        for placer in region.dispatchers
    ]
    refused = [d for d in decisions if isinstance(d, model.Refused)]
    assert len(refused) == 55
    assert min(decision.retry_after_s for decision in refused) >= 1.0


def make_successor(*endpoints: model.Endpoint, listed_first: bool):
    """Return a dispatcher that was told by its predecessor of an unreachable one."""
    former, successor = (builders.make_dispatcher() for _ in range(2))
    add_unreachable(former)
    if listed_first:
        update(successor, *endpoints)
    successor.estimates.restore(former.estimates.summary(START), START)
    if not listed_first:
        update(successor, *endpoints)
    return successor


# Guards against a dispatcher that begins with a list without warm-up times, and takes
# an endpoint for warm that its predecessor knew as cold.
@pytest.mark.parametrize("listed_first", [True, False])
def test_new_dispatcher_spares_the_cold_endpoints_of_the_former_one(listed_first):
    region = Region(make_successor(endpoint(), listed_first=listed_first))
    region.run(2.3)
    assert 1 <= largest_second(region.sent_at) <= 2 + COLD_RATE_PER_S


def test_new_dispatcher_sends_all_to_endpoints_that_have_started_since():
    successor = make_successor(endpoint(incarnation=1), listed_first=True)
    assert not successor.table.states_by_id[COLD].is_cold(START)


def test_summary_of_an_earlier_release_names_no_cold_endpoints():
    former, successor = (builders.make_dispatcher() for _ in range(2))
    for placer in (former, successor):
        update(placer, endpoint())
    former.table.states_by_id[COLD].mark_cold(START, 3.0)
    summary = dataclasses.replace(former.estimates.summary(START), warming_up=None)
    successor.estimates.restore(summary, START)
    assert not successor.table.states_by_id[COLD].is_cold(START)


# Guards against an instance that never uses an endpoint again: it saw it fail, and only
# others probe whether it has recovered.
def test_instance_learns_from_the_dispatcher_that_an_endpoint_has_recovered():
    dispatching, *placers = [builders.make_dispatcher() for _ in range(3)]
    for placer in (dispatching, *placers):
        update(placer, endpoint(), endpoint("other"))
    builders.share_endpoints(placers)
    last = max(placers, key=lambda p: p.table.states_by_id[COLD].share.rank)
    state = last.table.states_by_id[COLD]
    state.restore_health(1.0, 0.9)
    assert last.table.is_left_to_others([state], START)
    last.estimates.restore(dispatching.estimates.summary(START), START)
    assert not last.table.is_left_to_others([state], START)


def make_regions(
    count: int, services: Mapping[ids.ServiceId, routes.RoutedService] = SERVICES
) -> tuple[Region, dispatcher.Dispatcher]:
    """Return the dispatchers of regions that all need one region's cold endpoint."""
    region_ids = [ids.RegionId(f"region-{number}") for number in range(count)]
    others = [
        endpoint(f"e-{region_id}", region=region_id, is_leaving=True)
        for region_id in region_ids
    ]
    placers = [builders.make_dispatcher(region=region_id) for region_id in region_ids]
    for placer in placers:
        endpoints = [endpoint(region=region_ids[0], cold_left_s=3.0), *others]
        placer.table.update(endpoints, services, frozenset(), START)
    return Region(*placers), placers[0]


# Guards against as many times the rate of a cold endpoint as regions whose requests
# have their home where it is.
@pytest.mark.parametrize("count", [1, 2, 3, 18])
def test_cold_endpoint_gets_no_more_than_tolerated_from_all_regions(count):
    region, _ = make_regions(count)
    region.run(2.3)
    allowed = TOLERATED_FACTOR * COLD_RATE_PER_S + TOLERATED_REQUESTS
    assert largest_second(region.sent_at) <= allowed


# Guards against a region that uses the whole rate beside the one of the endpoint: twice
# a low rate is within what is tolerated, but twice a higher one isn't.
@pytest.mark.parametrize("count", [2, 6, 18])
def test_cold_endpoint_of_a_high_rate_gets_no_more_than_tolerated(count):
    rate_per_s = 8 * COLD_RATE_PER_S
    services = {builders.SERVICE: builders.service(rate_per_s)}
    regions, _ = make_regions(count, services)
    regions.run(2.3)
    allowed = TOLERATED_FACTOR * rate_per_s + TOLERATED_REQUESTS
    assert rate_per_s < largest_second(regions.sent_at) <= allowed


def test_region_of_a_cold_endpoint_uses_its_whole_rate():
    _, serving = make_regions(18)
    alone = Region(serving)
    alone.run(2.3)
    assert len(alone.sent_at) >= 0.8 * COLD_RATE_PER_S * 2.3


# Guards against requests that are refused at once, though an endpoint of their region
# is about to be tried again, because other instances use those that are lent to it.
def test_request_waits_for_an_own_endpoint_while_others_are_left_to_others():
    placer = builders.share_endpoints(
        [builders.make_dispatcher() for _ in range(2)], START
    )[0]
    own_id, *peer_ids = builders.instance_ids(2)
    names = [f"endpoint-{number}" for number in range(100)]
    ranks_by_name = {
        name: apportionment.rank(ids.EndpointId(name), own_id, peer_ids)
        for name in names
    }
    own_name = next(name for name in names if ranks_by_name[name] == 0)
    lent_name = next(name for name in names if ranks_by_name[name] == 1)
    lent = endpoint(
        lent_name, region=builders.SOUTH, serving=builders.NORTH, cold_left_s=3.0
    )
    update(placer, endpoint(own_name), lent)
    granted = placer.place(builders.request(1, now=START), START)
    assert isinstance(granted, model.Granted)
    assert granted.endpoint.endpoint_id == own_name
    unreachable = model.Outcome.UNREACHABLE
    placer.release(granted.attempt_id, unreachable, None, None, START)
    assert placer.place(builders.request(2, now=START), START) is None
    (decision,) = placer.tick(START + 0.6)
    assert isinstance(decision, model.Granted)
    assert decision.endpoint.endpoint_id == own_name
