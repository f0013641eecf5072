"""Placement by the dispatcher of the region, with a local fallback.

One instance of a region dispatches for all of them, so that a single queue knows every
slot in use. If it does not answer, each entry instance uses its share of the slots.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
from collections.abc import Callable, Iterable

import result

from yuccapitch.catalogue import ids
from yuccapitch.control import leader_polling
from yuccapitch.gateway.front import headers, place_returns, place_service
from yuccapitch.protocol import (
    events,
    link as inner_link,
    peers as inner_peers,
    place_messages as messages,
)
from yuccapitch.steering.placement import dispatcher, model

# A dispatcher replies immediately; this allows for the round trip inside a region and
# for a short delay of a busy dispatcher.
REPLY_TIMEOUT_S = 0.15
# Time for which a dispatcher that did not reply gets no queries.
DISPATCHER_RETRY_DELAY_S = 1.0

# Interval at which the dispatcher is asked for the decisions on requests that wait. A
# decision is a one-way message, which is lost with the link that it is sent on.
WAIT_CHECK_INTERVAL_S = 0.5

# Number of recently used warm objects that an entry instance remembers, to send them to
# a new dispatcher; a region has a few hundred.
MAX_WARM_OBJECTS = 256

_REASONS_BY_VALUE = {reason.value: reason for reason in model.RefusalReason}


class _Undecided(enum.Enum):
    """Reason why a dispatcher made no decision on a request."""

    NO_DISPATCHER = "the dispatcher is lost"
    FORGOTTEN = "the dispatcher doesn't have the request"


@dataclasses.dataclass(slots=True)
class _Waiter:
    """Request on which a dispatcher has to decide."""

    future: asyncio.Future[model.Decision | _Undecided]
    is_queued: bool = False
    """Whether the dispatcher has said that it has queued the request."""


@dataclasses.dataclass(slots=True)
class _HeldPlace:
    request: model.PlacementRequest
    granted: model.Granted
    dispatcher_id: ids.InstanceId | None
    """None if the local dispatcher granted the place."""
    granted_at: float


class RegionPlacer:
    """``Placer`` that uses the region's dispatcher, which may be this instance."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        links: inner_peers.Peers,
        local_dispatcher: dispatcher.Dispatcher,
        find_endpoint: Callable[[ids.EndpointId], model.Endpoint | None],
        clock: Callable[[], float],
        link_bits_per_s: float = float("inf"),
    ) -> None:
        """Create a placer; a slow link, ``link_bits_per_s``, extends reply timeouts."""
        self._instance_id = instance_id
        self._links = links
        self._local_dispatcher = local_dispatcher
        self._service = place_service.PlaceService(
            instance_id, links, local_dispatcher, find_endpoint, clock
        )
        self._local = self._service.local
        self._returns = place_returns.PlaceReturns(links, lambda: self.dispatcher_id)
        self._find_endpoint = find_endpoint
        self._clock = clock
        link_delay_s = leader_polling.link_queueing_delay_s(link_bits_per_s)
        self._reply_timeout_s = REPLY_TIMEOUT_S + link_delay_s
        self._dispatcher_suspended_until = float("-inf")
        self._unsynced_dispatcher_id: ids.InstanceId | None = None
        self._held_by_attempt_id: dict[model.AttemptId, _HeldPlace] = {}
        self._waiters_by_attempt_id: dict[model.AttemptId, _Waiter] = {}
        self._last_used_by_warm_object: collections.OrderedDict[
            tuple[str, ids.EndpointId], float
        ] = collections.OrderedDict()
        links.handle(messages.PlaceGrant, self._on_decision)
        links.handle(messages.PlaceRefusal, self._on_decision)

    @property
    def dispatcher_id(self) -> ids.InstanceId | None:
        """Instance that dispatches for the region."""
        return self._service.dispatcher_id

    def set_dispatcher(self, dispatcher_id: ids.InstanceId | None) -> None:
        """Switch to another dispatcher and report the held places to it."""
        if dispatcher_id == self.dispatcher_id:
            return
        events.event(
            "place.dispatcher-changed",
            dispatcher=dispatcher_id,
            former=self.dispatcher_id,
            held=len(self._held_by_attempt_id),
        )
        self._service.dispatcher_id = dispatcher_id
        self._dispatcher_suspended_until = float("-inf")
        self._returns.clear()
        self._fail_waiters()
        if dispatcher_id is None:
            return
        for held in self._held_by_attempt_id.values():
            if held.dispatcher_id is None:
                # Granted by the local dispatcher, which also releases it.
                continue
            held.dispatcher_id = dispatcher_id
            if dispatcher_id == self._instance_id:
                held.dispatcher_id = None
                self._local_dispatcher.restore_grant(
                    held.request, held.granted.endpoint, held.granted_at
                )
        self._sync_dispatcher(dispatcher_id)

    def mark_link_lost(self, peer_id: str) -> None:
        """Suspend the use of the dispatcher if the lost link led to it."""
        if peer_id == self.dispatcher_id:
            self._returns.mark_link_lost(self._clock())
            self._suspend_dispatcher("link lost")

    def mark_accepted_link_lost(self, peer_id: str) -> None:
        """Give places back again if they went on a link that the dispatcher opened.

        Whether the dispatcher can be reached depends on the outgoing link only.
        """
        if peer_id == self.dispatcher_id:
            self._returns.mark_link_lost(self._clock())

    async def place(
        self, request: model.PlacementRequest
    ) -> model.Granted | model.Refused:
        """Return a granted place or a refusal; waits while the request is queued."""
        while (dispatcher_id := self._remote_dispatcher_id()) is not None:
            decision = await self._request_place(dispatcher_id, request)
            if decision is _Undecided.FORGOTTEN:
                continue
            if isinstance(decision, _Undecided):
                break
            return self._record_place(request, decision, dispatcher_id)
        return self._record_place(request, await self._local.place(request), None)

    async def check_waiting(self) -> None:
        """Ask the dispatcher for lost decisions on the requests that still wait.

        Places that were given back on a lost link are given back again.
        """
        self._returns.retry(self._is_at_dispatcher, self._clock())
        dispatcher_id = self._remote_dispatcher_id()
        waiters_by_attempt_id = {
            attempt_id: waiter
            for attempt_id, waiter in self._waiters_by_attempt_id.items()
            if waiter.is_queued
        }
        if dispatcher_id is None or not waiters_by_attempt_id:
            return
        message = messages.WaitingPlaces(tuple(waiters_by_attempt_id))
        reply = await self._links.request(dispatcher_id, message, self._reply_timeout_s)
        if isinstance(reply, result.Err):
            # An instance of a version without this message is not lost.
            if reply.err_value.code is not inner_link.LinkErrorCode.REMOTE:
                self._suspend_dispatcher(reply.err_value.code.value)
            return
        status: messages.WaitingPlacesStatus = reply.ok_value
        for grant in status.grants:
            self._on_decision(dispatcher_id, grant)
        for unknown_id in status.unknown_attempt_ids:
            # Only the request that was asked about: another attempt may wait by now.
            waiter = waiters_by_attempt_id.get(model.AttemptId(unknown_id))
            if waiter is not None and not waiter.future.done():
                waiter.future.set_result(_Undecided.FORGOTTEN)

    def _remote_dispatcher_id(self) -> ids.InstanceId | None:
        """Return the dispatcher to ask; None if this instance places by itself."""
        if self.dispatcher_id == self._instance_id:
            return None
        if self._clock() < self._dispatcher_suspended_until:
            return None
        return self.dispatcher_id

    def release(
        self,
        granted: model.Granted,
        outcome: model.Outcome,
        load: model.Load | None,
        connect_s: float | None,
        rate_limit: model.RateLimitReport | None = None,
        is_leaving: bool = False,
    ) -> None:
        """Release a place at the dispatcher that granted it."""
        held = self._held_by_attempt_id.pop(granted.attempt_id, None)
        if held is not None and outcome is model.Outcome.ANSWERED:
            self._record_warm_object(held)
        if held is None or held.dispatcher_id is None:
            self._local.release(
                granted, outcome, load, connect_s, rate_limit, is_leaving
            )
            return
        if rate_limit is not None:
            # The local dispatcher keeps to it if the region's dispatcher fails.
            self._local_dispatcher.observe_rate_limit(
                granted.endpoint.endpoint_id, rate_limit, held.granted_at, self._clock()
            )
        connect_ms = (
            -1 if connect_s is None else place_service.to_milliseconds(connect_s)
        )
        reported = load or model.Load(-1, -1, -1)
        message = messages.PlaceRelease(
            granted.attempt_id,
            outcome.value,
            connect_ms,
            reported.running,
            reported.waiting,
            reported.slots,
            place_service.encode_rate_limit(rate_limit),
            is_leaving,
        )
        self._returns.send(held.dispatcher_id, message, self._clock())

    def set_peers(self, peer_ids: Iterable[ids.InstanceId]) -> None:
        """Set the other entry instances of the region."""
        self._service.set_peers(peer_ids)

    def send_warm_objects(
        self, endpoint_ids: Iterable[ids.EndpointId], dispatcher_id: ids.InstanceId
    ) -> None:
        """Send the warm objects of reassigned endpoints to their new dispatcher."""
        self._service.send_warm_objects(endpoint_ids, dispatcher_id)

    @property
    def needs_tick(self) -> bool:
        """Whether the local dispatcher has periodic work to do."""
        return self._service.is_dispatcher or self._local_dispatcher.is_busy

    def tick(self) -> None:
        """Run the periodic work of the local dispatcher if it has any."""
        if self.needs_tick:
            self._service.tick()

    def remove_entry(self, entry_id: ids.InstanceId) -> None:
        """Release the places of an entry instance that is gone."""
        self._service.remove_entry(entry_id)

    def _record_warm_object(self, held: _HeldPlace) -> None:
        object_id = held.request.object_id
        if not object_id:
            return
        warm_object = (object_id, held.granted.endpoint.endpoint_id)
        self._last_used_by_warm_object[warm_object] = self._clock()
        # The local dispatcher uses the warm objects if the region's dispatcher fails.
        self._local_dispatcher.record_warm_object(
            warm_object[1], object_id, self._clock()
        )
        self._last_used_by_warm_object.move_to_end(warm_object)
        while len(self._last_used_by_warm_object) > MAX_WARM_OBJECTS:
            self._last_used_by_warm_object.popitem(last=False)

    def _sync_dispatcher(self, dispatcher_id: ids.InstanceId) -> None:
        """Send the held places and the warm objects to a new dispatcher."""
        self._unsynced_dispatcher_id = None
        now = self._clock()
        message = messages.WarmObjects(
            tuple(
                messages.WarmObject(
                    object_id, endpoint_id, place_service.to_milliseconds(now - used_at)
                )
                for (
                    object_id,
                    endpoint_id,
                ), used_at in self._last_used_by_warm_object.items()
            )
        )
        if dispatcher_id == self._instance_id:
            for warm in message.objects:
                self._service.record_warm_object(warm)
            return
        if not self._links.send(dispatcher_id, message):
            # The link is still being opened. The first reply of the dispatcher shows
            # that it is open, and then everything is sent again.
            self._unsynced_dispatcher_id = dispatcher_id
            return
        estimates = self._local_dispatcher.estimates
        summary = estimates.summary(now)
        if not estimates.is_empty or summary.rate_limits or summary.warming_up:
            self._links.send(dispatcher_id, summary)
        for held in self._held_by_attempt_id.values():
            if held.dispatcher_id == dispatcher_id:
                self._links.send(dispatcher_id, self._encode_held_place(held))

    def _record_place(
        self,
        request: model.PlacementRequest,
        decision: model.Granted | model.Refused,
        dispatcher_id: ids.InstanceId | None,
    ) -> model.Granted | model.Refused:
        if isinstance(decision, model.Granted):
            self._held_by_attempt_id[decision.attempt_id] = _HeldPlace(
                request, decision, dispatcher_id, self._clock()
            )
        return decision

    async def _request_place(
        self, dispatcher_id: ids.InstanceId, request: model.PlacementRequest
    ) -> model.Decision | _Undecided:
        """Return the dispatcher's decision, or why there was none."""
        waiter = _Waiter(asyncio.get_running_loop().create_future())
        # Registered before the query is sent, because the decision may arrive before
        # the PlaceWait reply.
        self._waiters_by_attempt_id[request.attempt_id] = waiter
        query = place_service.encode_query(request, self._clock())
        decision: model.Decision | _Undecided = _Undecided.NO_DISPATCHER
        try:
            reply = await self._links.request(
                dispatcher_id, query, self._reply_timeout_s
            )
            if isinstance(reply, result.Err):
                self._suspend_dispatcher(reply.err_value.code.value)
                return decision
            if self._unsynced_dispatcher_id == dispatcher_id:
                self._sync_dispatcher(dispatcher_id)
            if isinstance(reply.ok_value, messages.DispatcherNotReady):
                self._suspend_dispatcher("dispatcher lacks the routing state to decide")
                return decision
            if isinstance(reply.ok_value, messages.PlaceWait):
                waiter.is_queued = True
                decision = await waiter.future
            else:
                decision = self._decode(reply.ok_value)
            if _is_for_other_service(decision, request):
                decision = _Undecided.NO_DISPATCHER
            return decision
        finally:
            self._waiters_by_attempt_id.pop(request.attempt_id, None)
            if isinstance(decision, _Undecided):
                cancel = messages.PlaceCancel(request.attempt_id)
                self._returns.send(dispatcher_id, cancel, self._clock())

    def _decode(self, message: object) -> model.Decision | _Undecided:
        match message:
            case messages.PlaceGrant(attempt_id, endpoint_id):
                endpoint = self._find_endpoint(ids.EndpointId(endpoint_id))
                if endpoint is None or not self._local_dispatcher.table.is_usable(
                    endpoint
                ):
                    # A dispatcher that is cut off from the leader may grant places at
                    # endpoints that this instance knows to be unusable.
                    return _Undecided.NO_DISPATCHER
                return model.Granted(model.AttemptId(attempt_id), endpoint)
            case messages.PlaceRefusal(attempt_id, reason, retry_after_ms, detail):
                return model.Refused(
                    model.AttemptId(attempt_id),
                    _REASONS_BY_VALUE.get(reason, model.RefusalReason.LATE),
                    retry_after_ms / headers.MS_PER_S,
                    detail,
                )
            case _:
                return _Undecided.NO_DISPATCHER

    def _suspend_dispatcher(self, reason: str) -> None:
        now = self._clock()
        if now >= self._dispatcher_suspended_until:
            events.event(
                "place.dispatcher-lost", dispatcher=self.dispatcher_id, reason=reason
            )
        self._dispatcher_suspended_until = now + DISPATCHER_RETRY_DELAY_S
        self._fail_waiters()

    def _fail_waiters(self) -> None:
        for waiter in self._waiters_by_attempt_id.values():
            if not waiter.future.done():
                waiter.future.set_result(_Undecided.NO_DISPATCHER)

    def _on_decision(
        self, peer_id: str, message: messages.PlaceGrant | messages.PlaceRefusal
    ) -> None:
        attempt_id = model.AttemptId(message.attempt_id)
        waiter = self._waiters_by_attempt_id.get(attempt_id)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_result(self._decode(message))
        elif isinstance(message, messages.PlaceGrant) and not self._is_granted(
            waiter, attempt_id, peer_id
        ):
            # The request no longer waits for this dispatcher.
            self._links.send(peer_id, messages.PlaceCancel(attempt_id))

    def _is_granted(
        self, waiter: _Waiter | None, attempt_id: model.AttemptId, peer_id: str
    ) -> bool:
        """Whether a grant was received before and is in use."""
        if waiter is not None:
            is_decided = not waiter.future.cancelled()
            return is_decided and isinstance(waiter.future.result(), model.Granted)
        held = self._held_by_attempt_id.get(attempt_id)
        return held is not None and held.dispatcher_id == peer_id

    def _is_at_dispatcher(self, attempt_id: model.AttemptId) -> bool:
        """Whether a request waits for the region's dispatcher or has its place."""
        held = self._held_by_attempt_id.get(attempt_id)
        if held is not None:
            return held.dispatcher_id is not None
        return attempt_id in self._waiters_by_attempt_id

    def _encode_held_place(self, held: _HeldPlace) -> messages.HeldPlace:
        now = self._clock()
        return messages.HeldPlace(
            place_service.encode_query(held.request, now),
            held.granted.endpoint.endpoint_id,
            place_service.to_milliseconds(now - held.granted_at),
        )


def _is_for_other_service(
    decision: model.Decision | _Undecided, request: model.PlacementRequest
) -> bool:
    """Whether a place is at an endpoint that doesn't serve the request's service."""
    if not isinstance(decision, model.Granted):
        return False
    return decision.endpoint.service_id != request.service_id
