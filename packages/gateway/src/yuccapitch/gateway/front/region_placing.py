"""Gets places from the dispatcher of the region, or does without it.

One entry instance of a region dispatches for all of them, so that one queue knows every
slot in use. Where it does not answer, each instance uses its part of the slots.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable

import result

from yuccapitch.catalogue import ids
from yuccapitch.gateway.front import headers, placing
from yuccapitch.protocol import (
    events,
    peers as inner_peers,
    place_messages as messages,
)
from yuccapitch.steering.placement import dispatcher, model

# A dispatcher answers at once; this covers the way inside a region and a busy moment.
ANSWER_TIMEOUT_S = 0.15
# Time for which a dispatcher that did not answer is not asked.
AVOIDANCE_S = 1.0

# Time between two summaries for whoever dispatches next.
SUMMARY_INTERVAL_S = 2.0
# Objects that an entry remembers for a new dispatcher; a region has some hundreds.
MAX_WARM_OBJECTS = 256

_OUTCOMES_BY_VALUE = {outcome.value: outcome for outcome in model.Outcome}
_REASONS_BY_VALUE = {reason.value: reason for reason in model.RefusalReason}


@dataclasses.dataclass(slots=True)
class _Held:
    request: model.PlaceRequest
    granted: model.Granted
    dispatcher_id: ids.InstanceId | None
    """None if the own dispatcher granted it."""
    granted_at: float


class RegionPlacer:
    """A ``Placer`` that asks the region's dispatcher, and is one where chosen."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        links: inner_peers.Peers,
        own: dispatcher.Dispatcher,
        find_endpoint: Callable[[ids.EndpointId], model.Endpoint | None],
        clock: Callable[[], float],
    ) -> None:
        self._instance_id = instance_id
        self._links = links
        self._own = own
        self._local = placing.LocalPlacer(own, clock)
        self._find_endpoint = find_endpoint
        self._clock = clock
        self._dispatcher_id: ids.InstanceId | None = None
        self._avoided_until = float("-inf")
        self._untold_dispatcher_id: ids.InstanceId | None = None
        self._held_by_attempt_id: dict[model.AttemptId, _Held] = {}
        self._waits_by_attempt_id: dict[
            model.AttemptId, asyncio.Future[model.Decision | None]
        ] = {}
        self._used_at_by_warm: collections.OrderedDict[
            tuple[str, ids.EndpointId], float
        ] = collections.OrderedDict()
        self._served_grants: dict[model.AttemptId, model.Granted] = {}
        self._peer_ids: frozenset[ids.InstanceId] = frozenset()
        self._summary_due_at = clock() + SUMMARY_INTERVAL_S
        links.handle(messages.PlaceQuery, self._on_query)
        links.handle(messages.PlaceRelease, self._on_release)
        links.handle(messages.PlaceCancel, self._on_cancel)
        links.handle(messages.PlaceHeld, self._on_held)
        links.handle(messages.WarmObjects, self._on_warm_objects)
        links.handle(messages.DispatcherSummary, self._on_summary)
        links.handle(messages.PlaceGrant, self._on_decision)
        links.handle(messages.PlaceRefusal, self._on_decision)

    @property
    def is_dispatcher(self) -> bool:
        """Whether this instance dispatches for its region."""
        return self._dispatcher_id == self._instance_id

    def set_dispatcher(self, dispatcher_id: ids.InstanceId | None) -> None:
        """Use another dispatcher, and tell it of the places held."""
        if dispatcher_id == self._dispatcher_id:
            return
        events.event(
            "place.dispatcher-changed",
            dispatcher=dispatcher_id,
            former=self._dispatcher_id,
            held=len(self._held_by_attempt_id),
        )
        self._dispatcher_id = dispatcher_id
        self._avoided_until = float("-inf")
        self._fail_waits()
        if dispatcher_id is None:
            return
        for held in self._held_by_attempt_id.values():
            if held.dispatcher_id is None:
                continue
            held.dispatcher_id = dispatcher_id
            if dispatcher_id == self._instance_id:
                held.dispatcher_id = None
                self._own.adopt(held.request, held.granted.endpoint, held.granted_at)
        self._introduce(dispatcher_id)

    def lose(self, peer_id: str) -> None:
        """Do without the dispatcher for now if the link to it is lost."""
        if peer_id == self._dispatcher_id:
            self._avoid("the link is lost")

    async def place(self, request: model.PlaceRequest) -> model.Granted | model.Refused:
        """Return a place, once there is one, or a refusal."""
        dispatcher_id = self._dispatcher_id
        is_remote = dispatcher_id not in (None, self._instance_id)
        if is_remote and self._clock() >= self._avoided_until:
            assert dispatcher_id is not None
            decision = await self._ask(dispatcher_id, request)
            if decision is not None:
                return self._hold(request, decision, dispatcher_id)
        return self._hold(request, await self._local.place(request), None)

    def release(
        self,
        granted: model.Granted,
        outcome: model.Outcome,
        load: model.Load | None,
        connect_s: float | None,
    ) -> None:
        """Give a place back to whoever granted it."""
        held = self._held_by_attempt_id.pop(granted.attempt_id, None)
        if held is not None and outcome is model.Outcome.ANSWERED:
            self._remember_warm(held)
        if held is None or held.dispatcher_id is None:
            self._local.release(granted, outcome, load, connect_s)
            return
        connect_ms = -1 if connect_s is None else _ms(connect_s)
        reported = load or model.Load(-1, -1, -1)
        message = messages.PlaceRelease(
            granted.attempt_id,
            outcome.value,
            connect_ms,
            reported.running,
            reported.waiting,
            reported.slots,
        )
        self._links.send(held.dispatcher_id, message)

    def set_peers(self, peer_ids: Iterable[ids.InstanceId]) -> None:
        """Take in the other entry instances of the region."""
        self._peer_ids = frozenset(peer_ids) - {self._instance_id}

    def tick(self) -> None:
        """Let the own dispatcher act on the passing of time."""
        self._local.tick()
        now = self._clock()
        if now >= self._summary_due_at:
            self._summary_due_at = now + SUMMARY_INTERVAL_S
            if self.is_dispatcher:
                self._tell_summary()

    def forget_entry(self, entry_id: ids.InstanceId) -> None:
        """Free what an entry instance that is gone held."""
        self._local.settle(self._own.forget_entry(entry_id, self._clock()))

    def _tell_summary(self) -> None:
        summary = self._own.summary()
        for peer_id in self._peer_ids:
            # Without a link the peer has asked nothing; it begins anew if chosen.
            self._links.send(peer_id, summary)

    def _on_summary(self, peer_id: str, message: messages.DispatcherSummary) -> None:
        if peer_id == self._dispatcher_id:
            self._own.adopt_summary(message, self._clock())

    def _remember_warm(self, held: _Held) -> None:
        object_id = held.request.object_id
        if not object_id:
            return
        warm = (object_id, held.granted.endpoint.endpoint_id)
        self._used_at_by_warm[warm] = self._clock()
        self._used_at_by_warm.move_to_end(warm)
        while len(self._used_at_by_warm) > MAX_WARM_OBJECTS:
            self._used_at_by_warm.popitem(last=False)

    def _introduce(self, dispatcher_id: ids.InstanceId) -> None:
        """Tell a new dispatcher of the places held and of objects at endpoints."""
        self._untold_dispatcher_id = None
        now = self._clock()
        message = messages.WarmObjects(
            tuple(
                messages.WarmObject(object_id, endpoint_id, _ms(now - used_at))
                for (object_id, endpoint_id), used_at in self._used_at_by_warm.items()
            )
        )
        if dispatcher_id == self._instance_id:
            self._on_warm_objects(dispatcher_id, message)
            return
        if not self._links.send(dispatcher_id, message):
            # The link is being opened; the answer to a first query shows that it is.
            self._untold_dispatcher_id = dispatcher_id
            return
        for held in self._held_by_attempt_id.values():
            if held.dispatcher_id == dispatcher_id:
                self._links.send(dispatcher_id, self._held_message(held))

    def _hold(
        self,
        request: model.PlaceRequest,
        decision: model.Granted | model.Refused,
        dispatcher_id: ids.InstanceId | None,
    ) -> model.Granted | model.Refused:
        if isinstance(decision, model.Granted):
            self._held_by_attempt_id[decision.attempt_id] = _Held(
                request, decision, dispatcher_id, self._clock()
            )
        return decision

    async def _ask(
        self, dispatcher_id: ids.InstanceId, request: model.PlaceRequest
    ) -> model.Granted | model.Refused | None:
        """Return the dispatcher's decision; None if it gave none."""
        future: asyncio.Future[model.Decision | None]
        future = asyncio.get_running_loop().create_future()
        # A decision may overtake the answer that the request waits.
        self._waits_by_attempt_id[request.attempt_id] = future
        query = _query(request, self._clock())
        is_settled = False
        try:
            reply = await self._links.request(dispatcher_id, query, ANSWER_TIMEOUT_S)
            if isinstance(reply, result.Err):
                self._avoid(reply.err_value.fault.value)
                return None
            if self._untold_dispatcher_id == dispatcher_id:
                self._introduce(dispatcher_id)
            if isinstance(reply.ok_value, messages.PlaceWait):
                decision = await future
            else:
                decision = self._decode(reply.ok_value)
            is_settled = decision is not None
            return decision
        finally:
            self._waits_by_attempt_id.pop(request.attempt_id, None)
            if not is_settled:
                cancel = messages.PlaceCancel(request.attempt_id)
                self._links.send(dispatcher_id, cancel)

    def _decode(self, message: object) -> model.Granted | model.Refused | None:
        match message:
            case messages.PlaceGrant(attempt_id, endpoint_id):
                endpoint = self._find_endpoint(ids.EndpointId(endpoint_id))
                if endpoint is None:
                    return None
                return model.Granted(model.AttemptId(attempt_id), endpoint)
            case messages.PlaceRefusal(attempt_id, reason, retry_after_ms, detail):
                return model.Refused(
                    model.AttemptId(attempt_id),
                    _REASONS_BY_VALUE.get(reason, model.RefusalReason.LATE),
                    retry_after_ms / headers.MS_PER_S,
                    detail,
                )
            case _:
                return None

    def _avoid(self, reason: str) -> None:
        now = self._clock()
        if now >= self._avoided_until:
            events.event(
                "place.dispatcher-lost", dispatcher=self._dispatcher_id, reason=reason
            )
        self._avoided_until = now + AVOIDANCE_S
        self._fail_waits()

    def _fail_waits(self) -> None:
        for future in self._waits_by_attempt_id.values():
            if not future.done():
                future.set_result(None)

    def _on_decision(
        self, peer_id: str, message: messages.PlaceGrant | messages.PlaceRefusal
    ) -> None:
        attempt_id = model.AttemptId(message.attempt_id)
        future = self._waits_by_attempt_id.get(attempt_id)
        if future is not None and not future.done():
            future.set_result(self._decode(message))
        elif isinstance(message, messages.PlaceGrant):
            self._links.send(peer_id, messages.PlaceCancel(attempt_id))

    # The dispatcher's side.

    def _on_query(
        self, peer_id: str, query: messages.PlaceQuery
    ) -> messages.PlaceGrant | messages.PlaceRefusal | messages.PlaceWait:
        request = _request(query, ids.InstanceId(peer_id), self._clock())
        decision = self._own.place(request, self._clock())
        if decision is not None:
            return self._encode(decision)
        self._local.watch(
            request.attempt_id, lambda decided: self._tell(peer_id, decided)
        )
        return messages.PlaceWait(query.attempt_id)

    def _on_release(self, peer_id: str, message: messages.PlaceRelease) -> None:
        granted = self._served_grants.pop(model.AttemptId(message.attempt_id), None)
        if granted is None:
            return
        outcome = _OUTCOMES_BY_VALUE.get(message.outcome, model.Outcome.ABANDONED)
        load = None
        if message.running >= 0:
            load = model.Load(message.running, message.waiting, message.slots)
        connect_s = message.connect_ms / headers.MS_PER_S
        self._local.release(
            granted, outcome, load, connect_s if message.connect_ms >= 0 else None
        )

    def _on_cancel(self, peer_id: str, message: messages.PlaceCancel) -> None:
        attempt_id = model.AttemptId(message.attempt_id)
        granted = self._served_grants.pop(attempt_id, None)
        if granted is not None:
            self._local.release(granted, model.Outcome.ABANDONED, None, None)
            return
        self._local.unwatch(attempt_id)
        self._own.cancel(attempt_id)

    def _on_held(self, peer_id: str, message: messages.PlaceHeld) -> None:
        endpoint = self._find_endpoint(ids.EndpointId(message.endpoint_id))
        if endpoint is None:
            return
        now = self._clock()
        request = _request(message.query, ids.InstanceId(peer_id), now)
        granted = self._own.adopt(
            request, endpoint, now - message.held_ms / headers.MS_PER_S
        )
        if granted is not None:
            self._served_grants[request.attempt_id] = granted

    def _on_warm_objects(self, peer_id: str, message: messages.WarmObjects) -> None:
        now = self._clock()
        for warm in message.objects:
            self._own.note_warm(
                ids.EndpointId(warm.endpoint_id),
                warm.object_id,
                now - warm.age_ms / headers.MS_PER_S,
            )

    def _tell(self, peer_id: str, decision: model.Decision) -> None:
        if not self._links.send(peer_id, self._encode(decision)):
            self._on_cancel(peer_id, messages.PlaceCancel(decision.attempt_id))

    def _encode(
        self, decision: model.Decision
    ) -> messages.PlaceGrant | messages.PlaceRefusal:
        if isinstance(decision, model.Granted):
            self._served_grants[decision.attempt_id] = decision
            return messages.PlaceGrant(
                decision.attempt_id, decision.endpoint.endpoint_id
            )
        return messages.PlaceRefusal(
            decision.attempt_id,
            decision.reason.value,
            _ms(decision.retry_after_s),
            decision.detail,
        )

    def _held_message(self, held: _Held) -> messages.PlaceHeld:
        now = self._clock()
        return messages.PlaceHeld(
            _query(held.request, now),
            held.granted.endpoint.endpoint_id,
            _ms(now - held.granted_at),
        )


def _query(request: model.PlaceRequest, now: float) -> messages.PlaceQuery:
    return messages.PlaceQuery(
        request.attempt_id,
        request.service_id,
        request.route_id,
        request.key,
        request.rank,
        tuple(sorted(request.home_region_ids)),
        _ms(request.objective_at - now),
        _ms(request.deadline_at - now),
        tuple(sorted(request.avoided)),
        request.body_bytes,
    )


def _request(
    query: messages.PlaceQuery, entry_id: ids.InstanceId, now: float
) -> model.PlaceRequest:
    return model.PlaceRequest(
        model.AttemptId(query.attempt_id),
        entry_id,
        ids.ServiceId(query.service_id),
        ids.RouteId(query.route_id),
        query.key,
        query.rank,
        frozenset(ids.RegionId(region) for region in query.home_region_ids),
        now + query.objective_in_ms / headers.MS_PER_S,
        now + query.deadline_in_ms / headers.MS_PER_S,
        frozenset(ids.EndpointId(endpoint) for endpoint in query.avoided),
        query.body_bytes,
    )


def _ms(duration_s: float) -> int:
    return round(duration_s * headers.MS_PER_S)
