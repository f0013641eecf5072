"""Tests of placement by the region's dispatcher over in-memory links."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest
import result

from yuccapitch.catalogue import ids, routes
from yuccapitch.gateway.front import region_placer
from yuccapitch.protocol import (
    events,
    link as inner_link,
    place_messages as messages,
)
from yuccapitch.steering.placement import (
    apportionment,
    cache_capacity,
    dispatcher,
    model,
)

NORTH = ids.RegionId("north")
SERVICE = ids.ServiceId("orders")
A, B, C = (ids.InstanceId(f"10.0.0.{n}:7000") for n in (1, 2, 3))


def endpoint(name: str) -> model.Endpoint:
    return model.Endpoint(
        ids.EndpointId(name), SERVICE, "h", 80, ids.FailureDomainId("north-a"), NORTH,
        1, False, 0.0, 0, NORTH,
    )  # fmt: skip


class Network:
    """Links between instances; those in ``silent`` neither reply nor receive.

    A request takes one cycle of the event loop; the tests wait for several.
    """

    def __init__(self) -> None:
        self.handlers_by_id: dict[str, dict[type, object]] = {}
        self.silent: set[str] = set()
        self.loses_decisions = False
        """Whether decisions on queued requests are lost on their way."""
        self.loses_returns = False
        """Whether places that are given back are lost on their way."""
        self.loses_replies = False
        """Whether the replies to requests are lost on their way."""

    def links(self, instance_id: str) -> Links:
        return Links(self, instance_id)


class Links:
    def __init__(self, network: Network, instance_id: str) -> None:
        self._network, self._instance_id = network, instance_id
        network.handlers_by_id[instance_id] = {}

    def handle(self, message_type, handler) -> None:
        self._network.handlers_by_id[self._instance_id][message_type] = handler

    def send(self, peer_id, message) -> bool:
        if peer_id in self._network.silent:
            return False
        is_decision = type(message) in (messages.PlaceGrant, messages.PlaceRefusal)
        if is_decision and self._network.loses_decisions:
            return True
        is_return = type(message) in (messages.PlaceRelease, messages.PlaceCancel)
        if is_return and self._network.loses_returns:
            return True
        self._network.handlers_by_id[peer_id][type(message)](self._instance_id, message)
        return True

    async def request(self, peer_id, message, timeout_s):
        await asyncio.sleep(0)
        if peer_id in self._network.silent:
            return result.Err(inner_link.LinkError(inner_link.LinkErrorCode.TIMEOUT))
        handler = self._network.handlers_by_id[peer_id][type(message)]
        reply = handler(self._instance_id, message)
        if self._network.loses_replies:
            return result.Err(inner_link.LinkError(inner_link.LinkErrorCode.CLOSED))
        return result.Ok(reply)


class Region:
    """Entry instances that share the endpoints of one region."""

    def __init__(self, *endpoint_ids: str) -> None:
        self.network = Network()
        self.endpoints = {ids.EndpointId(n): endpoint(n) for n in endpoint_ids}
        self.placers = {entry_id: self._placer(entry_id) for entry_id in (A, B, C)}

    def use_dispatcher(self, dispatcher_id: ids.InstanceId) -> None:
        for placer in self.placers.values():
            placer.set_dispatcher(dispatcher_id)

    def _placer(self, entry_id: ids.InstanceId) -> region_placer.RegionPlacer:
        clock = asyncio.get_running_loop().time
        local_dispatcher = dispatcher.Dispatcher(
            NORTH, lambda entry: None, random.Random(1)
        )
        service = routes.RoutedService(SERVICE, "/health", 9, 0.0, 0.0)
        local_dispatcher.table.update(
            self.endpoints.values(), {SERVICE: service}, frozenset(), clock()
        )
        return region_placer.RegionPlacer(
            entry_id,
            self.network.links(entry_id),
            local_dispatcher,
            self.endpoints.get,
            clock,
        )


def request(name: str, entry_id: ids.InstanceId) -> model.PlacementRequest:
    now = asyncio.get_running_loop().time()
    return model.PlacementRequest(
        model.AttemptId(name), entry_id, SERVICE, ids.RouteId("r"), "7", 1,
        frozenset(), now + 30.0, now + 60.0,
    )  # fmt: skip


def place(region: Region, entry_id: ids.InstanceId, name: str):
    return region.placers[entry_id].place(request(name, entry_id))


async def test_place_shares_the_slots_among_all_entry_instances():
    region = Region("e1", "e2")
    region.use_dispatcher(A)
    granted = [await place(region, entry, f"{entry}") for entry in (A, B)]
    assert {g.endpoint.endpoint_id for g in granted} == {"e1", "e2"}
    third = asyncio.create_task(place(region, C, "third"))
    for _ in range(5):
        await asyncio.sleep(0)
    assert not third.done()
    placer = region.placers[B]
    placer.release(granted[1], model.Outcome.ANSWERED, None, None)
    assert (await third).endpoint == granted[1].endpoint


async def test_cancelled_place_releases_its_queue_position():
    region = Region("e1")
    region.use_dispatcher(A)
    held = await place(region, A, "held")
    waiting = asyncio.create_task(place(region, B, "waiting"))
    for _ in range(5):
        await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    region.placers[A].release(held, model.Outcome.ANSWERED, None, None)
    assert isinstance(await place(region, C, "next"), model.Granted)


async def test_place_falls_back_if_the_dispatcher_does_not_reply():
    region = Region("e1")
    region.use_dispatcher(A)
    region.network.silent.add(A)
    assert isinstance(await place(region, B, "b"), model.Granted)


async def test_place_falls_back_if_the_link_is_lost_while_it_waits():
    region = Region("e1")
    region.use_dispatcher(A)
    await place(region, A, "held")
    waiting = asyncio.create_task(place(region, B, "waiting"))
    for _ in range(5):
        await asyncio.sleep(0)
    region.placers[B].mark_link_lost(A)
    assert isinstance(await waiting, model.Granted)


async def wait_in_queue(region: Region, name: str) -> asyncio.Task[model.Decision]:
    waiting = asyncio.create_task(place(region, B, name))
    for _ in range(5):
        await asyncio.sleep(0)
    assert not waiting.done()
    return waiting


# Guards against a request that waits to its deadline for a grant that was lost with
# the link on which it was sent.
async def test_check_waiting_receives_a_grant_that_was_lost():
    region = Region("e1")
    region.use_dispatcher(A)
    held = await place(region, A, "held")
    waiting = await wait_in_queue(region, "waiting")
    region.network.loses_decisions = True
    region.placers[A].release(held, model.Outcome.ANSWERED, None, None)
    await region.placers[B].check_waiting()
    granted = await waiting
    assert isinstance(granted, model.Granted)
    assert region.placers[A]._local_dispatcher.granted_count() == 1
    region.placers[B].release(granted, model.Outcome.ANSWERED, None, None)
    assert region.placers[A]._local_dispatcher.granted_count() == 0


async def test_check_waiting_asks_again_for_a_request_that_is_not_known():
    region = Region("e1")
    region.use_dispatcher(A)
    held = await place(region, A, "held")
    waiting = await wait_in_queue(region, "waiting")
    region.placers[A]._local_dispatcher.cancel(model.AttemptId("waiting"))
    await region.placers[B].check_waiting()
    for _ in range(5):
        await asyncio.sleep(0)
    region.placers[A].release(held, model.Outcome.ANSWERED, None, None)
    assert isinstance(await waiting, model.Granted)


async def test_check_waiting_leaves_a_queued_request_in_its_place():
    region = Region("e1")
    region.use_dispatcher(A)
    await place(region, A, "held")
    waiting = await wait_in_queue(region, "waiting")
    await region.placers[B].check_waiting()
    await asyncio.sleep(0)
    assert not waiting.done()
    assert region.placers[A]._local_dispatcher.waiting_count() == 1
    waiting.cancel()


async def test_check_waiting_notices_a_dispatcher_that_does_not_reply():
    region = Region("e1")
    region.use_dispatcher(A)
    await place(region, A, "held")
    waiting = await wait_in_queue(region, "waiting")
    region.network.silent.add(A)
    await region.placers[B].check_waiting()
    assert isinstance(await waiting, model.Granted)


def granted_count(region: Region) -> int:
    """Return the number of places that A, the dispatcher, has granted."""
    return region.placers[A]._local_dispatcher.granted_count()


def release(region: Region, granted: model.Granted) -> None:
    region.placers[B].release(granted, model.Outcome.ANSWERED, None, None)


# Guards against a place that stays taken until the deadline of its request, because its
# release lay unread at the dispatcher when the link was closed.
async def test_check_waiting_repeats_a_release_that_was_lost_with_a_link():
    region = Region("e1")
    region.use_dispatcher(A)
    granted = await place(region, B, "b")
    region.network.loses_returns = True
    release(region, granted)
    region.network.loses_returns = False
    await region.placers[B].check_waiting()
    assert granted_count(region) == 1
    region.placers[B].mark_link_lost(A)
    await region.placers[B].check_waiting()
    assert granted_count(region) == 0


# Guards against the same for a release that was sent on a link that the dispatcher had
# opened, and against a dispatcher that goes unused although the link to it works.
async def test_check_waiting_repeats_a_release_that_was_lost_with_an_accepted_link():
    region = Region("e1")
    region.use_dispatcher(A)
    granted = await place(region, B, "b")
    region.network.loses_returns = True
    release(region, granted)
    region.network.loses_returns = False
    waiting = await wait_in_queue(region, "waiting")
    region.placers[B].mark_accepted_link_lost(C)
    await region.placers[B].check_waiting()
    assert not waiting.done()
    region.placers[B].mark_accepted_link_lost(A)
    await region.placers[B].check_waiting()
    assert (await waiting).endpoint == granted.endpoint
    assert granted_count(region) == 1


async def test_check_waiting_repeats_a_release_that_had_no_link():
    region = Region("e1")
    region.use_dispatcher(A)
    granted = await place(region, B, "b")
    region.network.silent.add(A)
    release(region, granted)
    await region.placers[B].check_waiting()
    region.network.silent.clear()
    assert granted_count(region) == 1
    await region.placers[B].check_waiting()
    assert granted_count(region) == 0


# Guards against a place that is granted to a request which has gone elsewhere, because
# both the grant and its cancellation were lost with a link.
async def test_check_waiting_cancels_a_grant_that_was_never_received():
    region = Region("e1", "e2")
    region.use_dispatcher(A)
    region.network.loses_replies = region.network.loses_returns = True
    assert isinstance(await place(region, B, "b"), model.Granted)
    region.network.loses_replies = region.network.loses_returns = False
    assert granted_count(region) == 1
    region.placers[B].mark_link_lost(A)
    await region.placers[B].check_waiting()
    assert granted_count(region) == 0


async def test_check_waiting_keeps_the_place_of_a_request_that_was_queued_again():
    region = Region("e1")
    region.use_dispatcher(A)
    held = await place(region, A, "held")
    waiting = await wait_in_queue(region, "waiting")
    region.placers[A]._local_dispatcher.cancel(model.AttemptId("waiting"))
    await region.placers[B].check_waiting()
    for _ in range(5):
        await asyncio.sleep(0)
    region.placers[A].release(held, model.Outcome.ANSWERED, None, None)
    await waiting
    region.placers[B].mark_link_lost(A)
    await region.placers[B].check_waiting()
    assert granted_count(region) == 1


async def test_set_dispatcher_forgets_the_places_returned_to_the_former_one():
    region = Region("e1")
    region.use_dispatcher(A)
    granted = await place(region, B, "b")
    region.network.silent.add(A)
    release(region, granted)
    region.placers[B].set_dispatcher(C)
    region.network.silent.clear()
    await region.placers[B].check_waiting()
    assert granted_count(region) == 1


# Guards against a request sent to an endpoint of another service, by a grant for
# another request with the same id.
async def test_place_rejects_a_grant_at_an_endpoint_of_another_service():
    region = Region("e1", "other")
    other_id = ids.EndpointId("other")
    region.endpoints[other_id] = dataclasses.replace(
        region.endpoints[other_id], service_id=ids.ServiceId("photos")
    )
    region.use_dispatcher(A)
    for name in ("held", "held too"):
        await place(region, A, name)
    waiting = await wait_in_queue(region, "waiting")
    grant = messages.PlaceGrant("waiting", "other")
    region.network.handlers_by_id[B][messages.PlaceGrant](A, grant)
    assert (await waiting).endpoint.service_id == SERVICE


# Guards against a grant that is given back although the request uses it.
async def test_grant_that_arrives_twice_is_used_once():
    region = Region("e1")
    region.use_dispatcher(A)
    held = await place(region, A, "held")
    waiting = await wait_in_queue(region, "waiting")
    region.placers[A].release(held, model.Outcome.ANSWERED, None, None)
    again = messages.PlaceGrant("waiting", "e1")
    region.network.handlers_by_id[B][messages.PlaceGrant](A, again)
    assert isinstance(await waiting, model.Granted)
    region.network.handlers_by_id[B][messages.PlaceGrant](A, again)
    assert region.placers[A]._local_dispatcher.granted_count() == 1


@pytest.mark.parametrize("is_reachable", [True, False])
async def test_set_dispatcher_reports_held_places_to_the_new_one(is_reachable):
    region = Region("e1")
    region.use_dispatcher(A)
    held = await place(region, B, "held")
    if not is_reachable:
        region.network.silent.add(C)
    region.use_dispatcher(C)
    region.network.silent.discard(C)
    waiting = asyncio.create_task(place(region, B, "waiting"))
    for _ in range(8):
        await asyncio.sleep(0)
    if is_reachable:
        assert not waiting.done()
        region.placers[B].release(held, model.Outcome.ANSWERED, None, None)
    assert isinstance(await waiting, model.Granted)


async def test_set_dispatcher_sends_warm_objects_to_the_new_one():
    region = Region(*(f"e{n}" for n in range(9)))
    region.use_dispatcher(A)
    first = await place(region, B, "first")
    region.placers[B].release(first, model.Outcome.ANSWERED, None, None)
    region.use_dispatcher(C)
    state = region.placers[C]._local_dispatcher.table.states_by_id[
        first.endpoint.endpoint_id
    ]
    now = asyncio.get_running_loop().time()
    assert state.is_warm("r/7", now)


async def test_new_dispatcher_restores_estimates_from_the_last_summary():
    # During a rolling restart the dispatchers of a region stop one after the other.
    # Without the summary, each new one would start with no estimates.
    region = Region("e1", "e2", "e3")
    region.use_dispatcher(A)
    for placer in region.placers.values():
        placer.set_peers([A, B, C])
    local_dispatcher = region.placers[A]._local_dispatcher
    local_dispatcher.estimates.durations.observe(
        ids.RouteId("r"), cache_capacity.CachePrediction(True), True, 0.8
    )
    local_dispatcher.estimates.traffic(SERVICE, 0.0).spillover.restore(0.4, 0.0)
    local_dispatcher.table.states_by_id[ids.EndpointId("e2")].restore_health(4.0, 0.0)
    region.placers[A]._service._summary_due_at = 0.0
    region.placers[A].tick()
    region.use_dispatcher(C)
    successor = region.placers[C]._local_dispatcher
    assert successor.estimates.durations.warm_s(ids.RouteId("r")) == 0.8
    assert successor.estimates.traffic(SERVICE, 0.0).spillover.share == 0.4
    assert successor.table.states_by_id[ids.EndpointId("e2")].slowness == 4.0


# Guards against a dispatcher that is lost before it has passed on that an endpoint was
# unreachable: the next one would send it requests as if it were warm.
async def test_dispatcher_tells_at_once_of_an_unreachable_endpoint():
    region = Region("e1", "e2")
    region.use_dispatcher(A)
    for placer in region.placers.values():
        placer.set_peers([A, B, C])
    now = asyncio.get_running_loop().time()
    granted = await place(region, A, "a")
    endpoint_id = granted.endpoint.endpoint_id
    service = routes.RoutedService(SERVICE, "/health", 9, 3.0, 2.5)
    local_dispatcher = region.placers[A]._local_dispatcher
    local_dispatcher.table.update(
        region.endpoints.values(), {SERVICE: service}, frozenset(), now
    )
    unreachable = model.Outcome.UNREACHABLE
    region.placers[A].release(granted, unreachable, None, None)
    region.placers[A].tick()
    for entry_id in (B, C):
        table = region.placers[entry_id]._local_dispatcher.table
        assert table.states_by_id[endpoint_id].is_cold(now + 2.9)


# Guards against a log of cold places that names the share of slots, of which the first
# ranked instances use none or all of the rate.
async def test_place_at_a_cold_endpoint_is_logged_with_the_share_of_its_rate(
    monkeypatch,
):
    region = Region("e1")
    region.use_dispatcher(A)
    now = asyncio.get_running_loop().time()
    local_dispatcher = region.placers[A]._local_dispatcher
    service = routes.RoutedService(SERVICE, "/health", 9, 3.0, 2.5)
    local_dispatcher.table.update(
        region.endpoints.values(), {SERVICE: service}, frozenset(), now
    )
    shares = apportionment.Apportionment(A, [A])
    local_dispatcher.table.set_apportionment(shares, now)
    local_dispatcher.table.states_by_id[ids.EndpointId("e1")].mark_cold(now, 3.0)
    logged = []
    monkeypatch.setattr(events, "event", lambda name, **f: logged.append((name, f)))
    await place(region, A, "a")
    [fields] = [fields for name, fields in logged if name == "place.granted-cold"]
    assert fields["share"] == apportionment.SELF_PLACED_RATE_FRACTION


async def test_instance_passes_on_the_cold_endpoints_that_it_was_told_of():
    region = Region("e1")
    region.use_dispatcher(A)
    now = asyncio.get_running_loop().time()
    state_b, state_c = (
        region.placers[i]._local_dispatcher.table.states_by_id[ids.EndpointId("e1")]
        for i in (B, C)
    )
    state_b.restore_warm_up(now + 3.0, now)
    region.use_dispatcher(C)
    assert state_c.is_cold(now + 2.9)


async def test_summary_from_a_non_dispatcher_is_ignored():
    region = Region("e1")
    region.use_dispatcher(A)
    region.placers[B].set_peers([A, B, C])
    region.placers[B]._local_dispatcher.estimates.durations.observe(
        ids.RouteId("r"), cache_capacity.CachePrediction(True), True, 0.8
    )
    region.placers[B]._service._send_summary()
    assert not region.placers[C]._local_dispatcher.estimates.durations.has_route(
        ids.RouteId("r")
    )


async def test_place_falls_back_if_the_dispatcher_lacks_routing_state():
    # A control instance that has just started has no routes and no endpoints.
    region = Region("e1")
    region.use_dispatcher(A)
    region.placers[A]._service._can_decide = lambda: False
    assert isinstance(await place(region, B, "b"), model.Granted)


async def test_place_rejects_a_grant_at_a_leaving_endpoint():
    # A dispatcher that is cut off from the leader may not know that the endpoint is
    # leaving.
    region = Region("e1", "e2")
    region.use_dispatcher(A)
    first = await place(region, B, "first")
    region.placers[B].release(first, model.Outcome.ANSWERED, None, None)
    leaving = first.endpoint.endpoint_id
    known_endpoints = dict(region.endpoints)
    known_endpoints[leaving] = dataclasses.replace(
        known_endpoints[leaving], is_leaving=True
    )
    placer = region.placers[B]
    placer._find_endpoint = known_endpoints.get
    service = routes.RoutedService(SERVICE, "/health", 9, 0.0, 0.0)
    placer._local_dispatcher.table.update(
        known_endpoints.values(), {SERVICE: service}, frozenset(), 0.0
    )
    again = await place(region, B, "again")
    assert again.endpoint.endpoint_id != leaving
    assert region.placers[A]._local_dispatcher.granted_count() == 0


async def test_local_fallback_uses_warm_objects_of_earlier_grants():
    region = Region(*(f"e{n}" for n in range(9)))
    region.use_dispatcher(A)
    first = await place(region, B, "first")
    region.placers[B].release(first, model.Outcome.ANSWERED, None, None)
    region.network.silent.add(A)
    again = await place(region, B, "again")
    assert again.endpoint == first.endpoint


async def test_reply_timeout_covers_uploads_on_a_slow_link():
    # 60 KB take 0.2 s at 2.45 Mbit/s. A dispatcher whose reply is queued behind them
    # must not count as lost.
    region = Region("e1")
    region.use_dispatcher(A)
    timeouts: list[float] = []
    links = region.network.links(B)
    original_request = links.request

    async def record_timeout(peer_id, message, timeout_s):
        timeouts.append(timeout_s)
        return await original_request(peer_id, message, timeout_s)

    links.request = record_timeout
    clock = asyncio.get_running_loop().time
    for bits_per_s in (float("inf"), 2_450_000.0):
        placer = region_placer.RegionPlacer(
            B,
            links,
            region.placers[B]._local_dispatcher,
            region.endpoints.get,
            clock,
            bits_per_s,
        )
        placer.set_dispatcher(A)
        granted = await placer.place(request(f"at {bits_per_s}", B))
        placer.release(granted, model.Outcome.ANSWERED, None, None)
    assert timeouts[0] < 0.2
    assert 0.5 < timeouts[1] < 0.8


async def test_set_dispatcher_sends_estimates_to_one_that_has_just_started():
    # After all control instances were killed, they start again without estimates. The
    # entry instances still have those of the last summary.
    region = Region("e1")
    warm = cache_capacity.CachePrediction(True)
    region.placers[B]._local_dispatcher.estimates.durations.observe(
        ids.RouteId("r"), warm, True, 0.8
    )
    region.use_dispatcher(A)
    assert (
        region.placers[A]._local_dispatcher.estimates.durations.warm_s(ids.RouteId("r"))
        == 0.8
    )


async def test_send_warm_objects_informs_the_dispatcher_of_the_other_region():
    # If a region short of slots is assigned an endpoint of another region, its
    # dispatcher must know the warm objects of that endpoint.
    region = Region("e1")
    region.placers[A].set_dispatcher(A)
    region.placers[C].set_dispatcher(C)
    granted = await place(region, A, "first")
    region.placers[A].release(granted, model.Outcome.ANSWERED, None, None)
    region.network.silent.add(C)
    region.placers[A].send_warm_objects([granted.endpoint.endpoint_id], C)
    region.network.silent.discard(C)
    region.placers[A].tick()
    state = region.placers[C]._local_dispatcher.table.states_by_id[
        granted.endpoint.endpoint_id
    ]
    assert state.is_warm("r/7", asyncio.get_running_loop().time())


async def test_tick_does_nothing_on_an_idle_non_dispatcher():
    # Sixty entry instances that check all endpoints 50 times a second use whole CPU
    # cores.
    region = Region("e1")
    region.use_dispatcher(A)
    ticked: list[str] = []
    for entry_id, placer in region.placers.items():
        placer._local_dispatcher.tick = (
            lambda now, entry_id=entry_id: ticked.append(entry_id) or ()
        )
    for placer in region.placers.values():
        placer.tick()
    assert ticked == [A]
    region.network.silent.add(A)
    await place(region, B, "without a dispatcher")
    region.placers[B].tick()
    assert ticked == [A, B]


async def test_send_warm_objects_does_nothing_on_a_non_dispatcher():
    region = Region("e1")
    region.use_dispatcher(A)
    granted = await place(region, B, "first")
    region.placers[B].release(granted, model.Outcome.ANSWERED, None, None)
    region.placers[B].send_warm_objects([granted.endpoint.endpoint_id], C)
    state = region.placers[C]._local_dispatcher.table.states_by_id[
        granted.endpoint.endpoint_id
    ]
    assert not state.is_warm("r/7", asyncio.get_running_loop().time())


LIMIT = model.RateLimitReport(0.5)


def rate_limit(region: Region, entry_id: ids.InstanceId, name: str) -> float | None:
    local_dispatcher = region.placers[entry_id]._local_dispatcher
    return local_dispatcher.table.states_by_id[ids.EndpointId(name)].rate_limit_per_s


async def place_limited(region: Region, entry_id: ids.InstanceId) -> None:
    granted = await place(region, entry_id, f"limited-{entry_id}")
    outcome = model.Outcome.ANSWERED
    region.placers[entry_id].release(granted, outcome, None, None, LIMIT)


async def test_release_tells_the_dispatcher_of_a_rate_limit():
    region = Region("e1")
    region.use_dispatcher(A)
    await place_limited(region, B)
    assert rate_limit(region, A, "e1") == 0.5


# Guards against an instance that sends any number of requests to a limited endpoint
# once its dispatcher is lost.
async def test_entry_without_dispatcher_keeps_to_the_limit_that_it_was_told():
    region = Region("e1")
    region.use_dispatcher(A)
    await place_limited(region, B)
    region.network.silent.add(A)
    waiting = asyncio.ensure_future(place(region, B, "next"))
    for _ in range(10):
        await asyncio.sleep(0)
    assert rate_limit(region, B, "e1") == 0.5
    assert not waiting.done()
    waiting.cancel()


async def test_new_dispatcher_is_told_of_the_rate_limits():
    region = Region("e1")
    region.use_dispatcher(A)
    await place_limited(region, B)
    assert rate_limit(region, C, "e1") is None
    region.use_dispatcher(C)
    assert rate_limit(region, C, "e1") == 0.5


async def test_limit_of_a_response_without_one_ends_at_the_dispatcher():
    region = Region("e1")
    region.use_dispatcher(A)
    await place_limited(region, B)
    state = region.placers[A]._local_dispatcher.table.states_by_id[ids.EndpointId("e1")]
    state._rate_limiter._next_send_at = 0.0
    granted = await place(region, B, "later")
    unlimited = model.RateLimitReport(None)
    outcome = model.Outcome.ANSWERED
    region.placers[B].release(granted, outcome, None, None, unlimited)
    assert rate_limit(region, A, "e1") is None
    assert rate_limit(region, B, "e1") is None


async def test_release_tells_the_dispatcher_of_a_leaving_endpoint():
    region = Region("e1", "e2")
    region.use_dispatcher(A)
    granted = await place(region, B, "first")
    region.placers[B].release(
        granted, model.Outcome.ANSWERED, None, None, is_leaving=True
    )
    other = await place(region, C, "second")
    assert other.endpoint.endpoint_id != granted.endpoint.endpoint_id
    table = region.placers[A]._local_dispatcher.table
    assert not table.is_usable(granted.endpoint)
