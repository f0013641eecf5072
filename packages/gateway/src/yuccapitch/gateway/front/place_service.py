"""Server side of the place messages between entry instances and their dispatcher.

A place is a slot at an endpoint that the region's dispatcher grants to one request.
A warm object is one that an endpoint has served recently and is expected to cache.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from yuccapitch.catalogue import ids
from yuccapitch.gateway.front import headers, placers
from yuccapitch.protocol import peers as inner_peers, place_messages as messages
from yuccapitch.steering.placement import dispatcher, model

# Interval at which the dispatcher sends a summary of its estimates to the other entry
# instances, so that the next dispatcher can restore them.
SUMMARY_INTERVAL_S = 2.0

# Least interval between summaries. They are sent early if an endpoint was unreachable:
# the next dispatcher would take it for warm.
MIN_SUMMARY_INTERVAL_S = 0.5

# Time after which an unsent message to another region's dispatcher is outdated and
# dropped.
UNSENT_MESSAGE_TTL_S = 3.0

_OUTCOMES_BY_VALUE = {outcome.value: outcome for outcome in model.Outcome}


@dataclasses.dataclass(frozen=True)
class _UnsentMessage:
    dispatcher_id: ids.InstanceId
    message: messages.WarmObjects
    since: float


class PlaceService:
    """Handler of the place messages at the instance that dispatches for a region."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        links: inner_peers.Peers,
        local_dispatcher: dispatcher.Dispatcher,
        find_endpoint: Callable[[ids.EndpointId], model.Endpoint | None],
        clock: Callable[[], float],
        can_decide: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create a service that answers queries with ``local_dispatcher``.

        ``can_decide`` returns whether the dispatcher has the routing state it needs;
        queries are answered with ``DispatcherNotReady`` otherwise.
        """
        self._instance_id = instance_id
        self._links = links
        self._local_dispatcher = local_dispatcher
        self._find_endpoint = find_endpoint
        self._clock = clock
        self._can_decide = can_decide
        self._granted_by_attempt_id: dict[model.AttemptId, model.Granted] = {}
        self._peer_ids: frozenset[ids.InstanceId] = frozenset()
        self._unsent: list[_UnsentMessage] = []
        self._summary_due_at = clock() + SUMMARY_INTERVAL_S
        self._summary_sent_at = float("-inf")
        self._reported_unreachable_count = 0
        self.local = placers.LocalPlacer(local_dispatcher, clock)
        self.dispatcher_id: ids.InstanceId | None = None
        """Instance that dispatches for the region."""
        links.handle(messages.PlaceQuery, self._on_query)
        links.handle(messages.WaitingPlaces, self._on_waiting_places)
        links.handle(messages.PlaceRelease, self._on_release)
        links.handle(messages.PlaceCancel, self._on_cancel)
        links.handle(messages.HeldPlace, self._on_held_place)
        links.handle(messages.WarmObjects, self._on_warm_objects)
        links.handle(messages.DispatcherSummary, self._on_summary)

    @property
    def is_dispatcher(self) -> bool:
        """Whether this instance dispatches for its region."""
        return self.dispatcher_id == self._instance_id

    def set_peers(self, peer_ids: Iterable[ids.InstanceId]) -> None:
        """Set the instances that may send queries or become the dispatcher."""
        self._peer_ids = frozenset(peer_ids) - {self._instance_id}

    def send_warm_objects(
        self, endpoint_ids: Iterable[ids.EndpointId], dispatcher_id: ids.InstanceId
    ) -> None:
        """Send the warm objects of reassigned endpoints to their new dispatcher."""
        if not self.is_dispatcher or dispatcher_id == self._instance_id:
            return
        now = self._clock()
        objects = tuple(
            messages.WarmObject(object_id, endpoint_id, to_milliseconds(now - used_at))
            for endpoint_id in endpoint_ids
            for object_id, used_at in self._local_dispatcher.warm_objects(
                endpoint_id, now
            )
        )
        if objects:
            unsent = _UnsentMessage(dispatcher_id, messages.WarmObjects(objects), now)
            self._unsent.append(unsent)
            self._retry_unsent(now)

    def tick(self) -> None:
        """Run the periodic work: dispatcher, unsent messages and summaries."""
        self.local.tick()
        now = self._clock()
        if self._unsent:
            self._retry_unsent(now)
        unreachable_count = self._local_dispatcher.unreachable_count
        is_news = unreachable_count != self._reported_unreachable_count
        next_at = self._summary_sent_at + MIN_SUMMARY_INTERVAL_S
        if now >= self._summary_due_at or (is_news and now >= next_at):
            self._summary_due_at = now + SUMMARY_INTERVAL_S
            self._summary_sent_at = now
            self._reported_unreachable_count = unreachable_count
            if self.is_dispatcher:
                self._send_summary()

    def remove_entry(self, entry_id: ids.InstanceId) -> None:
        """Release the places of an entry instance that is gone."""
        self.local.deliver(self._local_dispatcher.remove_entry(entry_id, self._clock()))

    def record_warm_object(self, warm: messages.WarmObject) -> None:
        """Record that an endpoint has served an object."""
        self._local_dispatcher.record_warm_object(
            ids.EndpointId(warm.endpoint_id),
            warm.object_id,
            self._clock() - warm.age_ms / headers.MS_PER_S,
        )

    def _retry_unsent(self, now: float) -> None:
        # A send without an open link fails and opens the link; the next tick retries.
        self._unsent = [
            unsent
            for unsent in self._unsent
            if now - unsent.since < UNSENT_MESSAGE_TTL_S
            and not self._links.send(unsent.dispatcher_id, unsent.message)
        ]

    def _send_summary(self) -> None:
        summary = self._local_dispatcher.estimates.summary(self._clock())
        for peer_id in self._peer_ids:
            # Sending also opens the link over which queued requests get their grants.
            self._links.send(peer_id, summary)

    def _on_query(
        self, peer_id: str, query: messages.PlaceQuery
    ) -> (
        messages.PlaceGrant
        | messages.PlaceRefusal
        | messages.PlaceWait
        | messages.DispatcherNotReady
    ):
        if not self._can_decide():
            return messages.DispatcherNotReady(query.attempt_id)
        now = self._clock()
        request = decode_query(query, ids.InstanceId(peer_id), now)
        decision = self._local_dispatcher.place(request, now)
        if decision is not None:
            self.local.log_cold_grant(decision)
            return self._encode(decision)
        self.local.add_decision_callback(
            request.attempt_id, lambda decided: self._send_decision(peer_id, decided)
        )
        return messages.PlaceWait(query.attempt_id)

    def _on_waiting_places(
        self, peer_id: str, message: messages.WaitingPlaces
    ) -> messages.WaitingPlacesStatus:
        granted = self._granted_by_attempt_id
        attempt_ids = [
            model.AttemptId(attempt_id) for attempt_id in message.attempt_ids
        ]
        waiting_ids = self._local_dispatcher.waiting_attempt_ids()
        return messages.WaitingPlacesStatus(
            tuple(
                messages.PlaceGrant(
                    attempt_id, granted[attempt_id].endpoint.endpoint_id
                )
                for attempt_id in attempt_ids
                if attempt_id in granted
            ),
            tuple(
                attempt_id
                for attempt_id in attempt_ids
                if attempt_id not in granted and attempt_id not in waiting_ids
            ),
        )

    def _on_release(self, peer_id: str, message: messages.PlaceRelease) -> None:
        granted = self._granted_by_attempt_id.pop(
            model.AttemptId(message.attempt_id), None
        )
        if granted is None:
            return
        outcome = _OUTCOMES_BY_VALUE.get(message.outcome, model.Outcome.ABANDONED)
        load = None
        if message.running >= 0:
            load = model.Load(message.running, message.waiting, message.slots)
        connect_s = message.connect_ms / headers.MS_PER_S
        self.local.release(
            granted,
            outcome,
            load,
            connect_s if message.connect_ms >= 0 else None,
            _decode_rate_limit(message.rate_limit),
            message.is_leaving,
        )

    def _on_cancel(self, peer_id: str, message: messages.PlaceCancel) -> None:
        attempt_id = model.AttemptId(message.attempt_id)
        granted = self._granted_by_attempt_id.pop(attempt_id, None)
        if granted is not None:
            self.local.release(granted, model.Outcome.ABANDONED, None, None)
            return
        self.local.remove_decision_callback(attempt_id)
        self._local_dispatcher.cancel(attempt_id)

    def _on_held_place(self, peer_id: str, message: messages.HeldPlace) -> None:
        endpoint = self._find_endpoint(ids.EndpointId(message.endpoint_id))
        if endpoint is None:
            return
        now = self._clock()
        request = decode_query(message.query, ids.InstanceId(peer_id), now)
        granted = self._local_dispatcher.restore_grant(
            request, endpoint, now - message.held_ms / headers.MS_PER_S
        )
        if granted is not None:
            self._granted_by_attempt_id[request.attempt_id] = granted

    def _on_warm_objects(self, peer_id: str, message: messages.WarmObjects) -> None:
        for warm in message.objects:
            self.record_warm_object(warm)

    def _on_summary(self, peer_id: str, message: messages.DispatcherSummary) -> None:
        # A dispatcher without estimates, as after its start, also accepts the summaries
        # that other instances have received from the previous dispatcher.
        estimates = self._local_dispatcher.estimates
        is_new = estimates.is_empty
        now = self._clock()
        if peer_id == self.dispatcher_id or (is_new and self.is_dispatcher):
            estimates.restore(message, now)
            return
        # An endpoint may have named its limit to one of the entry instances only.
        estimates.restore_rate_limits(message, now)
        if is_new:
            # The sender may know sooner that this instance is the next dispatcher.
            estimates.restore_warm_ups(message, now)

    def _send_decision(self, peer_id: str, decision: model.Decision) -> None:
        if not self._links.send(peer_id, self._encode(decision)):
            # The entry instance can't use a place that it is not told about.
            self._on_cancel(peer_id, messages.PlaceCancel(decision.attempt_id))

    def _encode(
        self, decision: model.Decision
    ) -> messages.PlaceGrant | messages.PlaceRefusal:
        if isinstance(decision, model.Granted):
            self._granted_by_attempt_id[decision.attempt_id] = decision
            return messages.PlaceGrant(
                decision.attempt_id, decision.endpoint.endpoint_id
            )
        return messages.PlaceRefusal(
            decision.attempt_id,
            decision.reason.value,
            to_milliseconds(decision.retry_after_s),
            decision.detail,
        )


def encode_query(request: model.PlacementRequest, now: float) -> messages.PlaceQuery:
    """Encode a placement request, with times relative to ``now``."""
    return messages.PlaceQuery(
        request.attempt_id,
        request.service_id,
        request.route_id,
        request.key,
        request.rank,
        tuple(sorted(request.home_region_ids)),
        to_milliseconds(request.objective_at - now),
        to_milliseconds(request.deadline_at - now),
        tuple(sorted(request.excluded_endpoint_ids)),
        request.body_bytes,
    )


def decode_query(
    query: messages.PlaceQuery, entry_id: ids.InstanceId, now: float
) -> model.PlacementRequest:
    """Decode a message received at ``now`` into a placement request."""
    return model.PlacementRequest(
        model.AttemptId(query.attempt_id),
        entry_id,
        ids.ServiceId(query.service_id),
        ids.RouteId(query.route_id),
        query.key,
        query.rank,
        frozenset(ids.RegionId(region) for region in query.home_region_ids),
        now + query.objective_in_ms / headers.MS_PER_S,
        now + query.deadline_in_ms / headers.MS_PER_S,
        frozenset(ids.EndpointId(endpoint) for endpoint in query.excluded_endpoint_ids),
        query.body_bytes,
    )


def encode_rate_limit(
    report: model.RateLimitReport | None,
) -> messages.RateLimitReport | None:
    """Encode what a response says of a limit."""
    if report is None:
        return None
    rate_per_s = report.rate_per_s
    return messages.RateLimitReport(
        messages.NO_RATE_LIMIT if rate_per_s is None else rate_per_s
    )


def to_milliseconds(duration_s: float) -> int:
    """Convert seconds to the whole milliseconds that messages use."""
    return round(duration_s * headers.MS_PER_S)


def _decode_rate_limit(
    message: messages.RateLimitReport | None,
) -> model.RateLimitReport | None:
    if message is None:
        return None
    has_limit = message.rate_per_s != messages.NO_RATE_LIMIT
    return model.RateLimitReport(message.rate_per_s if has_limit else None)
