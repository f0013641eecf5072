"""Dispatcher of one region: grants slots, with a short ranked queue per service."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Sequence

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import (
    cache_capacity,
    eligibility,
    endpoint_selector,
    endpoint_state,
    estimates,
    hashing,
    model,
    request_queue,
    table,
)

# Fraction of the time until its latest start during which a queued request waits for an
# endpoint that caches its object.
WARM_WAIT_FRACTION = 0.7
# Bodies beyond the usual initial congestion window need additional round trips.
LARGE_BODY_BYTES = 14_000
# Lowest spillover position of a request with a large body. Such requests prefer other
# regions only if the spillover share exceeds it.
LARGE_BODY_MIN_POSITION = 0.7
# Queued requests that are considered when slots become free.
MAX_SCANNED_REQUESTS = 16
# Maximum queue length of a service as a multiple of its slots.
MAX_QUEUE_PER_SLOT = 4
MIN_RETRY_AFTER_S = 0.1
# Interval between the small steps by which the spillover share changes.
SPILLOVER_UPDATE_INTERVAL_S = 0.1
# Time after the deadline of a request at which its unreleased slot is reclaimed.
GRANT_TIMEOUT_MARGIN_S = 1.0
MAX_RETRY_AFTER_S = 5.0


# A warm endpoint that is in one of these states is not waited for.
_NOT_WORTH_WAITING = frozenset(
    (
        endpoint_state.Availability.LIMITED,
        endpoint_state.Availability.NOT_SHARED,
    )
)


@dataclasses.dataclass(slots=True)
class _ActiveGrant:
    request: model.PlacementRequest
    state: endpoint_state.EndpointState
    prediction: cache_capacity.CachePrediction
    granted_at: float


class Dispatcher:
    """Grants slots, queues requests and refuses those that would start too late."""

    def __init__(
        self,
        region_id: ids.RegionId,
        domain_of_entry: Callable[[ids.InstanceId], ids.FailureDomainId | None],
        rng: random.Random,
    ) -> None:
        """Create a dispatcher of ``region_id`` without endpoints."""
        self._rng = rng
        self._table = table.EndpointTable(region_id)
        self.estimates = estimates.PlacementEstimates(self._table)
        self._selector = endpoint_selector.EndpointSelector(
            self._table, self.estimates.durations, domain_of_entry
        )
        self._queues_by_service_id: dict[ids.ServiceId, request_queue.RequestQueue] = {}
        self._grants_by_attempt_id: dict[model.AttemptId, _ActiveGrant] = {}
        self._spillover_update_at = float("-inf")
        self.unreachable_count = 0
        """Requests that did not reach an endpoint, after which it counts as cold."""

    @property
    def table(self) -> table.EndpointTable:
        """Endpoints available to this dispatcher."""
        return self._table

    def place(
        self, request: model.PlacementRequest, now: float
    ) -> model.Granted | model.Refused | None:
        """Return a grant or a refusal, or None if the request is queued."""
        self.estimates.count(request, now)
        eligible = self._table.eligible(request)
        if not eligible.all:
            return self._refuse(
                request,
                model.RefusalReason.NO_ENDPOINT,
                self._table.no_endpoint_retry_s(),
            )
        preferred, fallback = self._partition_by_preference(request, eligible, now)
        selected = self._selector.select(request, preferred, now, accepts_cold=False)
        spillover_state = self.estimates.traffic(request.service_id, now).spillover
        if selected is None and fallback and spillover_state.try_acquire_overflow():
            selected = self._selector.select(request, fallback, now, accepts_cold=False)
        if selected is not None:
            return self._grant(request, selected, now)
        if self._table.is_left_to_others(preferred, now):
            # The others may be closed for now, and still serve the request in time.
            preferred = eligible.all
            if self._table.is_left_to_others(preferred, now):
                return self._refuse_unshared(request)
        return self._enqueue(request, preferred, now)

    def release(
        self,
        attempt_id: model.AttemptId,
        outcome: model.Outcome,
        load: model.Load | None,
        connect_s: float | None,
        now: float,
        rate_limit: model.RateLimitReport | None = None,
        is_leaving: bool = False,
    ) -> Sequence[model.Decision]:
        """Release a slot and return the decisions for queued requests.

        ``is_leaving`` is whether the response announced that the endpoint is leaving.
        """
        grant = self._grants_by_attempt_id.pop(attempt_id, None)
        if grant is None:
            return ()
        state, request = grant.state, grant.request
        duration_s = now - grant.granted_at
        round_trip_s = self._table.round_trip_s(state.endpoint.region_id)
        if outcome is model.Outcome.UNREACHABLE:
            self.unreachable_count += 1
        if outcome is model.Outcome.ANSWERED:
            processing_s = max(0.0, duration_s - round_trip_s)
            self.estimates.observe(
                request.route_id, state, grant.prediction, processing_s, now
            )
        if connect_s is not None:
            self._table.observe_round_trip(state.endpoint.region_id, connect_s)
        state.end(request.object_id, outcome, grant.prediction.is_warm, now)
        if load is not None:
            state.observe_load(load, now)
        if rate_limit is not None:
            state.observe_rate_limit(rate_limit, grant.granted_at, now)
        if is_leaving:
            self._table.notices.record_leaving(state.endpoint)
        return self._assign_free_slots(state, now)

    def restore_grant(
        self,
        request: model.PlacementRequest,
        endpoint: model.Endpoint,
        granted_at: float,
    ) -> model.Granted | None:
        """Restore a slot that a previous dispatcher granted."""
        state = self._table.states_by_id.get(endpoint.endpoint_id)
        if state is None or request.attempt_id in self._grants_by_attempt_id:
            return None
        prediction = state.begin(request.object_id, granted_at)
        self._grants_by_attempt_id[request.attempt_id] = _ActiveGrant(
            request, state, prediction, granted_at
        )
        return model.Granted(request.attempt_id, state.endpoint)

    def warm_objects(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> list[tuple[str, float]]:
        """Return the objects that an endpoint caches, with the time of their use."""
        state = self._table.states_by_id.get(endpoint_id)
        return [] if state is None else state.warm_objects(now)

    def record_warm_object(
        self, endpoint_id: ids.EndpointId, warm_object_id: str, used_at: float
    ) -> None:
        """Record an object that a request of a previous dispatcher left in a cache."""
        state = self._table.states_by_id.get(endpoint_id)
        if state is not None:
            state.record_warm_object(warm_object_id, used_at)

    def observe_rate_limit(
        self,
        endpoint_id: ids.EndpointId,
        report: model.RateLimitReport,
        sent_at: float,
        now: float,
    ) -> None:
        """Apply what a response says of a limit to a request of another dispatcher."""
        state = self._table.states_by_id.get(endpoint_id)
        if state is not None:
            state.observe_rate_limit(report, sent_at, now)

    def record_leaving(self, endpoint_id: ids.EndpointId) -> None:
        """Grant no more places at an endpoint that has announced its leaving."""
        state = self._table.states_by_id.get(endpoint_id)
        if state is not None:
            self._table.notices.record_leaving(state.endpoint)

    def cancel(self, attempt_id: model.AttemptId) -> None:
        """Remove a queued request."""
        for queue in self._queues_by_service_id.values():
            if queue.remove(attempt_id):
                return

    def remove_entry(
        self, entry_id: ids.InstanceId, now: float
    ) -> Sequence[model.Decision]:
        """Release the slots and queued requests of an entry instance that is gone."""
        for queue in self._queues_by_service_id.values():
            queue.remove_requests_of(entry_id)
        granted_attempt_ids = [
            attempt_id
            for attempt_id, grant in self._grants_by_attempt_id.items()
            if grant.request.entry_id == entry_id
        ]
        decisions: list[model.Decision] = []
        for attempt_id in granted_attempt_ids:
            decisions += self.release(
                attempt_id, model.Outcome.ABANDONED, None, None, now
            )
        return decisions

    def tick(self, now: float) -> Sequence[model.Decision]:
        """Expire grants and queued requests, place others and update the spillover."""
        decisions: list[model.Decision] = []
        decisions += self._release_expired_grants(now)
        for service_id, queue in self._queues_by_service_id.items():
            for item in queue.expired(now):
                queue.remove(item.request.attempt_id)
                decisions.append(
                    self._refuse(item.request, model.RefusalReason.EXPIRED, 0.0)
                )
            decisions += self._place_queued(queue, now)
        if now >= self._spillover_update_at:
            self._spillover_update_at = now + SPILLOVER_UPDATE_INTERVAL_S
            self.estimates.update_spillover(now)
        return decisions

    @property
    def is_busy(self) -> bool:
        """Whether any request is queued or holds a slot."""
        return bool(self._grants_by_attempt_id) or self.waiting_count() > 0

    def waiting_count(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self._queues_by_service_id.values())

    def waiting_attempt_ids(self) -> set[model.AttemptId]:
        """Return the ids of the queued requests."""
        queues = self._queues_by_service_id.values()
        return set().union(*(queue.attempt_ids() for queue in queues))

    def granted_count(self) -> int:
        """Return the number of slots in use."""
        return len(self._grants_by_attempt_id)

    def rate_limited_count(self) -> int:
        """Return the number of endpoints that name a limit of their request rate."""
        return sum(
            state.rate_limit_per_s is not None
            for state in self._table.states_by_id.values()
        )

    def _partition_by_preference(
        self,
        request: model.PlacementRequest,
        eligible: eligibility.EligibleEndpoints,
        now: float,
    ) -> tuple[list[endpoint_state.EndpointState], list[endpoint_state.EndpointState]]:
        local, remote = eligible.local, eligible.remote
        if not local or not remote:
            return eligible.all, []
        if not self._table.usable_slots(local, now):
            return remote, local
        if not self._table.usable_slots(remote, now):
            return local, remote
        share = self.estimates.traffic(request.service_id, now).spillover.share
        if self._spillover_position(request) < share:
            return remote, local
        return local, remote

    def _spillover_position(self, request: model.PlacementRequest) -> float:
        """Return a value from 0 to 1 that is the same for all requests of an object.

        Requests below the spillover share prefer other regions. An object is therefore
        cached on one side only, and few objects move when the share changes.
        """
        position = self._rng.random()
        if request.key:
            position = hashing.hash32(request.object_id) / hashing.MAX_HASH
        if request.body_bytes > LARGE_BODY_BYTES:
            # Sending it takes several round trips, so other requests spill over first.
            position = (
                LARGE_BODY_MIN_POSITION + (1.0 - LARGE_BODY_MIN_POSITION) * position
            )
        return position

    def _grant(
        self,
        request: model.PlacementRequest,
        state: endpoint_state.EndpointState,
        now: float,
    ) -> model.Granted:
        prediction = state.begin(request.object_id, now)
        state.record_send(now)
        self._grants_by_attempt_id[request.attempt_id] = _ActiveGrant(
            request, state, prediction, now
        )
        return model.Granted(
            request.attempt_id, state.endpoint, is_cold=state.is_cold(now)
        )

    def _enqueue(
        self,
        request: model.PlacementRequest,
        states: list[endpoint_state.EndpointState],
        now: float,
    ) -> model.Refused | None:
        queue = self._queue(request.service_id)
        warm_s = self.estimates.durations.warm_s(request.route_id)
        mean_s = self.estimates.durations.mean_s(request.route_id)
        # Without any, an endpoint that is closed now may serve the request later.
        slots = self._table.usable_slots(states, now) or 1.0
        latest_start_at = (
            request.objective_at - endpoint_selector.RESPONSE_MARGIN_S - warm_s
        )
        is_late = now > latest_start_at
        if is_late:
            # The latency objective is missed and a late response has little value, so
            # wait only if it is expected within half of the time to the deadline.
            latest_start_at = now + (request.deadline_at - now) / 2 - warm_s
        wait_s = queue.expected_wait_s(request.rank, is_late, slots, mean_s)
        if now + wait_s > latest_start_at:
            retry_after_s = queue.expected_wait_s(request.rank, True, slots, mean_s)
            reason = model.RefusalReason.LATE
            return self._refuse(request, reason, retry_after_s + mean_s)
        if len(queue) >= MAX_QUEUE_PER_SLOT * slots:
            reason = model.RefusalReason.QUEUE_FULL
            return self._refuse(request, reason, wait_s + mean_s)
        is_warm_anywhere = any(
            state.is_warm(request.object_id, now)
            and self._table.availability(state, now) not in _NOT_WORTH_WAITING
            for state in states
        )
        accepts_cold_at = now
        if is_warm_anywhere:
            accepts_cold_at = min(
                latest_start_at, now + WARM_WAIT_FRACTION * (latest_start_at - now)
            )
        queue.add(
            request_queue.QueuedRequest(
                request,
                is_late,
                mean_s,
                latest_start_at,
                accepts_cold_at,
                self._region_scope(states),
            )
        )
        return None

    def _region_scope(
        self, states: list[endpoint_state.EndpointState]
    ) -> request_queue.RegionScope:
        """Return the regions in which the endpoints are."""
        regions = {state.endpoint.region_id for state in states}
        if regions == {self._table.region_id}:
            return request_queue.RegionScope.LOCAL_REGION
        if self._table.region_id in regions:
            return request_queue.RegionScope.ANY
        return request_queue.RegionScope.REMOTE_REGIONS

    def _eligible_endpoints(
        self, item: request_queue.QueuedRequest
    ) -> list[endpoint_state.EndpointState]:
        """Return the endpoints that may serve a queued request."""
        eligible = self._table.eligible(item.request)
        if item.region_scope is request_queue.RegionScope.ANY:
            return eligible.all
        is_local = item.region_scope is request_queue.RegionScope.LOCAL_REGION
        # If all endpoints of that scope left after the request was queued, use any.
        return (eligible.local if is_local else eligible.remote) or eligible.all

    def _may_serve(
        self,
        state: endpoint_state.EndpointState,
        item: request_queue.QueuedRequest,
    ) -> bool:
        """Return whether an endpoint is among those that may serve a request."""
        eligible = self._table.eligible(item.request)
        if state.endpoint.endpoint_id not in eligible.endpoint_ids:
            return False
        if item.region_scope is request_queue.RegionScope.ANY:
            return True
        is_local = item.region_scope is request_queue.RegionScope.LOCAL_REGION
        is_in_scope = (state.endpoint.region_id == self._table.region_id) is is_local
        return is_in_scope or not (eligible.local if is_local else eligible.remote)

    def _assign_free_slots(
        self, state: endpoint_state.EndpointState, now: float
    ) -> Sequence[model.Decision]:
        """Grant the free slots of an endpoint to queued requests."""
        queue = self._queues_by_service_id.get(state.endpoint.service_id)
        if queue is None or not len(queue):
            return ()
        decisions: list[model.Decision] = []
        while self._table.availability(state, now) is endpoint_state.Availability.FREE:
            item = self._next_request(queue, state, now)
            if item is None:
                break
            queue.remove(item.request.attempt_id)
            decisions.append(self._grant(item.request, state, now))
        return decisions

    def _next_request(
        self,
        queue: request_queue.RequestQueue,
        state: endpoint_state.EndpointState,
        now: float,
    ) -> request_queue.QueuedRequest | None:
        """Return the queued request to start at a free endpoint, if any.

        Of equally urgent requests, those without a key or with a cached object precede
        the others.
        """
        cold_candidate: request_queue.QueuedRequest | None = None
        for item in queue.first(MAX_SCANNED_REQUESTS):
            if cold_candidate is not None and item.order != cold_candidate.order:
                break
            if not self._may_serve(state, item):
                continue
            if not item.request.key or state.is_warm(item.request.object_id, now):
                return item
            if cold_candidate is None and now >= item.accepts_cold_at:
                cold_candidate = item
        return cold_candidate

    def _place_queued(
        self, queue: request_queue.RequestQueue, now: float
    ) -> Sequence[model.Decision]:
        """Decide the most urgent requests that can start now or never can."""
        decisions: list[model.Decision] = []
        has_free_endpoint: dict[ids.ServiceId, bool] = {}
        for item in queue.first(MAX_SCANNED_REQUESTS):
            accepts_cold = now >= item.accepts_cold_at
            eligible = self._eligible_endpoints(item)
            if not eligible:
                # The last one has left since the request was queued.
                queue.remove(item.request.attempt_id)
                reason = model.RefusalReason.NO_ENDPOINT
                delay_s = self._table.no_endpoint_retry_s()
                decisions.append(self._refuse(item.request, reason, delay_s))
                continue
            service_id = item.request.service_id
            if service_id not in has_free_endpoint:
                has_free_endpoint[service_id] = self._table.has_free(service_id, now)
            if not has_free_endpoint[service_id]:
                if self._table.is_left_to_others(eligible, now):
                    queue.remove(item.request.attempt_id)
                    decisions.append(self._refuse_unshared(item.request))
                continue
            state = self._selector.select(item.request, eligible, now, accepts_cold)
            if state is None:
                continue
            queue.remove(item.request.attempt_id)
            decisions.append(self._grant(item.request, state, now))
        return decisions

    def _release_expired_grants(self, now: float) -> Sequence[model.Decision]:
        # A grant expires if the entry instance is gone or its release message was lost.
        expired_attempt_ids = [
            attempt_id
            for attempt_id, grant in self._grants_by_attempt_id.items()
            if now > grant.request.deadline_at + GRANT_TIMEOUT_MARGIN_S
        ]
        decisions: list[model.Decision] = []
        for attempt_id in expired_attempt_ids:
            decisions += self.release(
                attempt_id, model.Outcome.ABANDONED, None, None, now
            )
        return decisions

    def _refuse_unshared(self, request: model.PlacementRequest) -> model.Refused:
        reason = model.RefusalReason.LATE
        return self._refuse(request, reason, table.NOT_SHARED_RETRY_S)

    def _refuse(
        self,
        request: model.PlacementRequest,
        reason: model.RefusalReason,
        retry_after_s: float,
    ) -> model.Refused:
        # Jitter keeps requests that are refused together from retrying together.
        jitter = 1.0 + 0.5 * self._rng.random()
        delay_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s) * jitter)
        return model.Refused(
            request.attempt_id, reason, delay_s, self._describe(request)
        )

    def _describe(self, request: model.PlacementRequest) -> str:
        states = self._table.eligible(request).all
        in_flight = sum(state.in_flight for state in states)
        slots = sum(self._table.limit(state) for state in states)
        waiting_count = len(self._queue(request.service_id))
        mean_ms = round(self.estimates.durations.mean_s(request.route_id) * 1000)
        limited_count = sum(state.rate_limit_per_s is not None for state in states)
        limited = f", rate limited {limited_count}" if limited_count else ""
        return (
            f"endpoints {len(states)}, in use {in_flight}/{slots},"
            f" waiting {waiting_count}, mean {mean_ms} ms, rank {request.rank}{limited}"
        )

    def _queue(self, service_id: ids.ServiceId) -> request_queue.RequestQueue:
        return self._queues_by_service_id.setdefault(
            service_id, request_queue.RequestQueue()
        )
