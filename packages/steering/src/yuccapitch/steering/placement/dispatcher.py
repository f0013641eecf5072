"""Places the requests of one region: a short queue a service, in order of rank."""

from __future__ import annotations

import dataclasses
import random
import statistics
from collections.abc import Callable, Iterable, Sequence

import xxhash

from yuccapitch.catalogue import ids, routes
from yuccapitch.steering.placement import (
    durations,
    endpoint_state,
    model,
    spill,
    waiting,
)

# Use of a service's slots from which a request rather waits for an endpoint that knows
# its object than takes a slot for the longer time that a cold one needs.
PRESSURE = 0.75
# Part of the time that a request can wait for which it waits for such an endpoint.
WAIT_SHARE = 0.7
# Cost of a failure domain change, as time; equal warmth prefers the own domain.
DOMAIN_CHANGE_S = 0.004
# Assumed round trip to another region before one was measured.
OTHER_REGION_S = 0.1
# Time after which an endpoint that joined and got nothing gets one request.
TRIAL_AFTER_S = 1.0
MAX_HASH = 1 << 32
# Bodies beyond the usual first window of a connection, which take more round trips.
LARGE_BODY_BYTES = 14_000
# Share sent to other regions beyond which large bodies go there too.
LARGE_BODY_POSITION = 0.7
# Requests taken into account when an endpoint has a free slot.
SCAN_LENGTH = 16
# Slowness of a cold endpoint.
COLD_SLOWNESS = 2.0
# Longest queue of a service as a multiple of its slots.
MAX_QUEUE_PER_SLOT = 4
# Part of the usual duration that must be left before the deadline.
LEAST_TIME_SHARE = 0.9
# Time kept back from the objective for the way to the caller.
RETURN_S = 0.01
MIN_RETRY_AFTER_S = 0.1
# Time after a request's deadline at which its slot is taken to be free.
OVERDUE_S = 1.0
MAX_RETRY_AFTER_S = 5.0
# Slots lent beyond the endpoint's own while requests are on their way to it.
MAX_TRANSIT_FACTOR = 0.5


@dataclasses.dataclass(slots=True)
class _Grant:
    request: model.PlaceRequest
    state: endpoint_state.EndpointState
    is_warm: bool
    granted_at: float


class Dispatcher:
    """Grants slots, keeps what must wait, refuses what would come too late."""

    def __init__(
        self,
        region_id: ids.RegionId,
        domain_of_entry: Callable[[ids.InstanceId], ids.FailureDomainId | None],
        rng: random.Random,
        capacity_share: float = 1.0,
    ) -> None:
        """Serve a region; ``capacity_share`` of the slots may be used."""
        self._region_id = region_id
        self._domain_of_entry = domain_of_entry
        self._rng = rng
        self._capacity_share = capacity_share
        self._durations = durations.Durations()
        self._states_by_id: dict[ids.EndpointId, endpoint_state.EndpointState] = {}
        self._states_by_service_id: dict[
            ids.ServiceId, list[endpoint_state.EndpointState]
        ] = {}
        self._evacuated_domains: frozenset[ids.FailureDomainId] = frozenset()
        self._queues_by_service_id: dict[ids.ServiceId, waiting.Queue] = {}
        self._grants_by_attempt_id: dict[model.AttemptId, _Grant] = {}
        self._demands_by_service_id: dict[ids.ServiceId, spill.Demand] = {}
        self._spills_by_service_id: dict[ids.ServiceId, spill.Spill] = {}
        self._transit_s_by_region_id: dict[ids.RegionId, float] = {region_id: 0.0}
        self._has_endpoints = False

    @property
    def capacity_share(self) -> float:
        """Part of each endpoint's slots and rates that is used here."""
        return self._capacity_share

    def set_capacity_share(self, share: float) -> None:
        """Use another part of the slots."""
        self._capacity_share = share

    def update(
        self,
        endpoints: Iterable[model.Endpoint],
        services_by_id: dict[ids.ServiceId, routes.RoutedService],
        evacuated_domains: frozenset[ids.FailureDomainId],
        now: float,
    ) -> None:
        """Take in the endpoints, the services and the evacuations in force."""
        returned = self._evacuated_domains - evacuated_domains
        self._evacuated_domains = evacuated_domains
        former = self._states_by_id
        self._states_by_id = {}
        self._states_by_service_id = {}
        for endpoint in endpoints:
            service = services_by_id.get(endpoint.service_id)
            if service is None:
                continue
            state = former.get(endpoint.endpoint_id)
            is_new = (
                state is None
                or state.endpoint.incarnation != endpoint.incarnation
                or state.endpoint.service_id != endpoint.service_id
            )
            if state is None or is_new:
                state = endpoint_state.EndpointState(endpoint, service, now)
                if self._has_endpoints:
                    state.untried_since = now
                    state.chill(now, service.cold_duration_s, self._capacity_share)
            elif endpoint.failure_domain in returned:
                state.chill(now, service.cold_duration_s, self._capacity_share)
            state.update(endpoint, service)
            self._states_by_id[endpoint.endpoint_id] = state
            group = self._states_by_service_id.setdefault(endpoint.service_id, [])
            group.append(state)
        self._has_endpoints = self._has_endpoints or bool(self._states_by_id)

    def place(
        self, request: model.PlaceRequest, now: float
    ) -> model.Granted | model.Refused | None:
        """Grant a place or refuse one; None if the request waits."""
        self._count_demand(request, now)
        allowed = self._allowed(request)
        if not allowed:
            return self._refuse(request, model.RefusalReason.NO_ENDPOINT, 1.0)
        preferred, others = self._sides(request, allowed, now)
        found = self._choose(request, preferred, now, takes_cold=False)
        if found is None and others and self._spill(request.service_id).may_overflow():
            found = self._choose(request, others, now, takes_cold=False)
        if found is not None:
            return self._grant(request, found, now)
        return self._enqueue(request, preferred, now)

    def release(
        self,
        attempt_id: model.AttemptId,
        outcome: model.Outcome,
        load: model.Load | None,
        connect_s: float | None,
        now: float,
    ) -> Sequence[model.Decision]:
        """Take in the end of a send; return what is decided for those that wait."""
        grant = self._grants_by_attempt_id.pop(attempt_id, None)
        if grant is None:
            return ()
        state, request = grant.state, grant.request
        duration_s = now - grant.granted_at
        transit_s = self._transit_s(state.endpoint.region_id)
        if outcome is model.Outcome.ANSWERED:
            self._observe_duration(grant, max(0.0, duration_s - transit_s), now)
        if connect_s is not None:
            self._observe_transit(state.endpoint.region_id, connect_s)
        state.end(object_id(request), outcome, grant.is_warm, now)
        if load is not None:
            state.observe_load(load, now)
        return self._offer(state, now)

    def adopt(
        self, request: model.PlaceRequest, endpoint: model.Endpoint, granted_at: float
    ) -> model.Granted | None:
        """Count a place that a former dispatcher granted."""
        state = self._states_by_id.get(endpoint.endpoint_id)
        if state is None or request.attempt_id in self._grants_by_attempt_id:
            return None
        is_warm = state.begin(object_id(request), granted_at)
        self._grants_by_attempt_id[request.attempt_id] = _Grant(
            request, state, is_warm, granted_at
        )
        return model.Granted(request.attempt_id, state.endpoint)

    def note_warm(
        self, endpoint_id: ids.EndpointId, warm_object_id: str, used_at: float
    ) -> None:
        """Take in what a former dispatcher's requests left at an endpoint."""
        state = self._states_by_id.get(endpoint_id)
        if state is not None:
            state.note_warm(warm_object_id, used_at)

    def cancel(self, attempt_id: model.AttemptId) -> None:
        """Forget a request that waits."""
        for queue in self._queues_by_service_id.values():
            if queue.remove(attempt_id):
                return

    def forget_entry(
        self, entry_id: ids.InstanceId, now: float
    ) -> Sequence[model.Decision]:
        """Free what an entry instance that is gone held and waited for."""
        for queue in self._queues_by_service_id.values():
            queue.remove_entry(entry_id)
        held = [
            attempt_id
            for attempt_id, grant in self._grants_by_attempt_id.items()
            if grant.request.entry_id == entry_id
        ]
        decisions: list[model.Decision] = []
        for attempt_id in held:
            decisions += self.release(
                attempt_id, model.Outcome.ABANDONED, None, None, now
            )
        return decisions

    def tick(self, now: float) -> Sequence[model.Decision]:
        """Act on the passing of time: expire, and place what waits."""
        decisions: list[model.Decision] = []
        decisions += self._release_overdue(now)
        for service_id, queue in self._queues_by_service_id.items():
            for item in queue.expired(now):
                queue.remove(item.request.attempt_id)
                decisions.append(
                    self._refuse(item.request, model.RefusalReason.EXPIRED, 0.0)
                )
            decisions += self._place_waiting(queue, now)
        for service_id in self._demands_by_service_id:
            self._update_spill(service_id, now)
        return decisions

    def demands(self, now: float) -> dict[ids.ServiceId, float]:
        """Return the slots that each service's requests need."""
        return {
            service_id: demand.busy_slots(now)
            for service_id, demand in self._demands_by_service_id.items()
        }

    def waiting_count(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(queue) for queue in self._queues_by_service_id.values())

    def granted_count(self) -> int:
        """Return the number of slots in use."""
        return len(self._grants_by_attempt_id)

    def _allowed(
        self, request: model.PlaceRequest
    ) -> list[endpoint_state.EndpointState]:
        homes = request.home_region_ids
        usable = [
            state
            for state in self._states_by_service_id.get(request.service_id, ())
            if not state.endpoint.is_leaving
            and state.endpoint.failure_domain not in self._evacuated_domains
            and state.endpoint.endpoint_id not in request.avoided
            and (not homes or state.endpoint.region_id in homes)
        ]
        serving = [
            state
            for state in usable
            if state.endpoint.serving_region_id == self._region_id
        ]
        # Without one of its own, for instance where the homes are elsewhere, a region
        # shares what others use.
        return serving or usable

    def _sides(
        self,
        request: model.PlaceRequest,
        allowed: list[endpoint_state.EndpointState],
        now: float,
    ) -> tuple[list[endpoint_state.EndpointState], list[endpoint_state.EndpointState]]:
        own = [s for s in allowed if s.endpoint.region_id == self._region_id]
        other = [s for s in allowed if s.endpoint.region_id != self._region_id]
        if not own or not other:
            return allowed, []
        if not self._open_slots(own, now):
            return other, own
        if not self._open_slots(other, now):
            return own, other
        if self._position(request) < self._spill(request.service_id).share:
            return other, own
        return own, other

    def _position(self, request: model.PlaceRequest) -> float:
        """Return where a request stands between 0 and 1, the same for one object.

        So an object is warm on one side only, and few move when the share does.
        """
        position = self._rng.random()
        if request.key:
            position = _hash(object_id(request)) / MAX_HASH
        if request.body_bytes > LARGE_BODY_BYTES:
            # It takes several round trips to send, so that others go before it.
            position = LARGE_BODY_POSITION + (1.0 - LARGE_BODY_POSITION) * position
        return position

    def _choose(
        self,
        request: model.PlaceRequest,
        states: Iterable[endpoint_state.EndpointState],
        now: float,
        takes_cold: bool,
    ) -> endpoint_state.EndpointState | None:
        best: endpoint_state.EndpointState | None = None
        best_cost = (0.0, 0.0)
        best_is_warm = False
        warm_is_busy = False
        used, total = 0, 0
        ordinary = self._ordinary_failure_share(request.service_id)
        for state in states:
            limit = self._limit(state)
            if _is_due_for_trial(state, now):
                availability = state.availability(now, limit, ordinary)
                if availability is endpoint_state.Availability.FREE:
                    return state
            if not self._can_finish(request, state, now):
                continue
            used, total = used + state.in_flight, total + limit
            is_warm = state.is_warm(object_id(request), now)
            availability = state.availability(now, limit, ordinary)
            if availability is endpoint_state.Availability.FREE:
                cost = self._cost(request, state, is_warm, now)
                if best is None or cost < best_cost:
                    best, best_cost, best_is_warm = state, cost, is_warm
            elif availability is endpoint_state.Availability.BUSY:
                warm_is_busy = warm_is_busy or is_warm
        if best is None or best_is_warm or takes_cold or not warm_is_busy:
            return best
        # The longer time at a cold endpoint is taken from other requests, and often it
        # is too long for the objective.
        warm_s = self._durations.warm_s(request.route_id)
        cold_s = self._durations.cold_s(request.route_id)
        may_wait = now + warm_s < request.objective_at - RETURN_S
        is_pressed = used >= PRESSURE * total
        is_cold_late = now + cold_s > request.objective_at - RETURN_S
        if may_wait and cold_s > warm_s and (is_pressed or is_cold_late):
            return None
        return best

    def _can_finish(
        self,
        request: model.PlaceRequest,
        state: endpoint_state.EndpointState,
        now: float,
    ) -> bool:
        """Tell whether an answer is likely before the deadline."""
        known = self._durations
        is_warm = state.is_warm(object_id(request), now)
        if is_warm:
            duration_s = known.warm_s(request.route_id)
        else:
            duration_s = known.cold_s(request.route_id)
        transit_s = self._transit_s(state.endpoint.region_id)
        # What takes longer than usual may still end; less time would be spent in vain.
        return now + LEAST_TIME_SHARE * duration_s + transit_s < request.deadline_at

    def _cost(
        self,
        request: model.PlaceRequest,
        state: endpoint_state.EndpointState,
        is_warm: bool,
        now: float,
    ) -> tuple[float, float]:
        known = self._durations
        duration_s = (
            known.warm_s(request.route_id)
            if is_warm
            else known.cold_s(request.route_id)
        )
        slowness = max(1.0, state.slowness) * (1.0 + state.failure_share)
        if state.is_cold(now):
            slowness *= COLD_SLOWNESS
        cost_s = duration_s * slowness + self._transit_s(state.endpoint.region_id)
        domain = self._domain_of_entry(request.entry_id)
        if domain is not None and domain != state.endpoint.failure_domain:
            cost_s += DOMAIN_CHANGE_S
        if is_warm or not request.key:
            return round(cost_s, 2), state.in_flight / max(1, state.endpoint.slots)
        # Rendezvous hashing: an object begins at the same endpoints everywhere.
        text = f"{object_id(request)}/{state.endpoint.endpoint_id}"
        return round(cost_s, 1), float(_hash(text))

    def _limit(self, state: endpoint_state.EndpointState) -> int:
        slots = state.endpoint.slots * self._capacity_share
        transit_s = self._transit_s(state.endpoint.region_id)
        if transit_s > 0:
            slots *= 1.0 + min(MAX_TRANSIT_FACTOR, transit_s)
        return max(1, int(slots))

    def _grant(
        self,
        request: model.PlaceRequest,
        state: endpoint_state.EndpointState,
        now: float,
    ) -> model.Granted:
        is_warm = state.begin(object_id(request), now)
        self._grants_by_attempt_id[request.attempt_id] = _Grant(
            request, state, is_warm, now
        )
        return model.Granted(request.attempt_id, state.endpoint)

    def _enqueue(
        self,
        request: model.PlaceRequest,
        states: list[endpoint_state.EndpointState],
        now: float,
    ) -> model.Refused | None:
        queue = self._queue(request.service_id)
        warm_s = self._durations.warm_s(request.route_id)
        mean_s = self._durations.mean_s(request.route_id)
        slots = max(1, self._open_slots(states, now))
        last_start = request.objective_at - RETURN_S - warm_s
        is_late = now > last_start
        if is_late:
            # Worth little, so that it waits only for half of the time that is left.
            last_start = now + (request.deadline_at - now) / 2 - warm_s
        wait_s = queue.expected_wait_s(request.rank, is_late, slots, mean_s)
        if now + wait_s > last_start:
            retry_after_s = queue.expected_wait_s(request.rank, True, slots, mean_s)
            reason = model.RefusalReason.LATE
            return self._refuse(request, reason, retry_after_s + mean_s)
        if len(queue) >= MAX_QUEUE_PER_SLOT * slots:
            reason = model.RefusalReason.QUEUE_FULL
            return self._refuse(request, reason, wait_s + mean_s)
        is_known = any(state.is_warm(object_id(request), now) for state in states)
        takes_cold_at = now
        if is_known:
            takes_cold_at = min(last_start, now + WAIT_SHARE * (last_start - now))
        queue.add(
            waiting.Item(
                request, is_late, mean_s, last_start, takes_cold_at, self._side(states)
            )
        )
        return None

    def _open_slots(
        self, states: list[endpoint_state.EndpointState], now: float
    ) -> int:
        return sum(
            self._limit(state)
            for state in states
            if state.availability(now, 1 << 30)
            is not endpoint_state.Availability.CLOSED
        )

    def _side(self, states: list[endpoint_state.EndpointState]) -> waiting.Side:
        regions = {state.endpoint.region_id for state in states}
        if regions == {self._region_id}:
            return waiting.Side.OWN_REGION
        if self._region_id in regions:
            return waiting.Side.ANY
        return waiting.Side.OTHER_REGIONS

    def _open_to(self, item: waiting.Item) -> list[endpoint_state.EndpointState]:
        """Return the endpoints that may serve a request that waits."""
        allowed = self._allowed(item.request)
        if item.side is waiting.Side.ANY:
            return allowed
        is_own = item.side is waiting.Side.OWN_REGION
        chosen = [
            state
            for state in allowed
            if (state.endpoint.region_id == self._region_id) is is_own
        ]
        # The endpoints of that side may all have left since.
        return chosen or allowed

    def _offer(
        self, state: endpoint_state.EndpointState, now: float
    ) -> Sequence[model.Decision]:
        """Give a slot that came free to one of those that wait."""
        queue = self._queues_by_service_id.get(state.endpoint.service_id)
        if queue is None or not len(queue):
            return ()
        decisions: list[model.Decision] = []
        while (
            state.availability(
                now,
                self._limit(state),
                self._ordinary_failure_share(state.endpoint.service_id),
            )
            is endpoint_state.Availability.FREE
        ):
            item = self._pick(queue, state, now)
            if item is None:
                break
            queue.remove(item.request.attempt_id)
            decisions.append(self._grant(item.request, state, now))
        return decisions

    def _pick(
        self, queue: waiting.Queue, state: endpoint_state.EndpointState, now: float
    ) -> waiting.Item | None:
        first: waiting.Item | None = None
        for item in queue.first(SCAN_LENGTH):
            if first is not None and item.order != first.order:
                break
            if state not in self._open_to(item):
                continue
            if not item.request.key or state.is_warm(object_id(item.request), now):
                return item
            if first is None and now >= item.takes_cold_at:
                first = item
        return first

    def _place_waiting(
        self, queue: waiting.Queue, now: float
    ) -> Sequence[model.Decision]:
        decisions: list[model.Decision] = []
        for item in queue.first(SCAN_LENGTH):
            takes_cold = now >= item.takes_cold_at
            state = self._choose(item.request, self._open_to(item), now, takes_cold)
            if state is None:
                continue
            queue.remove(item.request.attempt_id)
            decisions.append(self._grant(item.request, state, now))
        return decisions

    def _release_overdue(self, now: float) -> Sequence[model.Decision]:
        # Their entry instance is gone, or its message was lost.
        overdue = [
            attempt_id
            for attempt_id, grant in self._grants_by_attempt_id.items()
            if now > grant.request.deadline_at + OVERDUE_S
        ]
        decisions: list[model.Decision] = []
        for attempt_id in overdue:
            decisions += self.release(
                attempt_id, model.Outcome.ABANDONED, None, None, now
            )
        return decisions

    def _refuse(
        self,
        request: model.PlaceRequest,
        reason: model.RefusalReason,
        retry_after_s: float,
    ) -> model.Refused:
        # Spread, so that those refused together do not come back together.
        spread = 1.0 + 0.5 * self._rng.random()
        delay_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s) * spread)
        return model.Refused(
            request.attempt_id, reason, delay_s, self._describe(request)
        )

    def _describe(self, request: model.PlaceRequest) -> str:
        states = self._allowed(request)
        in_flight = sum(state.in_flight for state in states)
        slots = sum(self._limit(state) for state in states)
        waiting_count = len(self._queue(request.service_id))
        mean_ms = round(self._durations.mean_s(request.route_id) * 1000)
        return (
            f"endpoints {len(states)}, in use {in_flight}/{slots},"
            f" waiting {waiting_count}, mean {mean_ms} ms, rank {request.rank}"
        )

    def _ordinary_failure_share(self, service_id: ids.ServiceId) -> float:
        shares = [
            state.failure_share
            for state in self._states_by_service_id.get(service_id, ())
            if state.endpoint.serving_region_id == self._region_id
        ]
        return statistics.median_low(shares) if shares else 0.0

    def _count_demand(self, request: model.PlaceRequest, now: float) -> None:
        service_id = request.service_id
        demand = self._demands_by_service_id.get(service_id)
        if demand is None:
            demand = self._demands_by_service_id[service_id] = spill.Demand(now)
        demand.add(self._durations.mean_s(request.route_id), now)
        self._spill(service_id).count()

    def _update_spill(self, service_id: ids.ServiceId, now: float) -> None:
        own, other = 0, 0
        for state in self._states_by_service_id.get(service_id, ()):
            endpoint = state.endpoint
            if (
                endpoint.serving_region_id != self._region_id
                or endpoint.is_leaving
                or endpoint.failure_domain in self._evacuated_domains
                or state.availability(now, 1 << 30)
                is endpoint_state.Availability.CLOSED
            ):
                continue
            if endpoint.region_id == self._region_id:
                own += endpoint.slots
            else:
                other += endpoint.slots
        demand = self._demands_by_service_id[service_id].busy_slots(now)
        self._spill(service_id).update(demand, own, other, now)

    def _spill(self, service_id: ids.ServiceId) -> spill.Spill:
        found = self._spills_by_service_id.get(service_id)
        if found is None:
            found = self._spills_by_service_id[service_id] = spill.Spill(0.0)
        return found

    def _queue(self, service_id: ids.ServiceId) -> waiting.Queue:
        return self._queues_by_service_id.setdefault(service_id, waiting.Queue())

    def _observe_duration(self, grant: _Grant, duration_s: float, now: float) -> None:
        route_id, state = grant.request.route_id, grant.state
        known = self._durations
        if known.is_known(route_id, grant.is_warm):
            expected_s = (
                known.warm_s(route_id) if grant.is_warm else known.cold_s(route_id)
            )
            state.observe_duration(expected_s, duration_s)
        if state.is_cold(now):
            return
        # A slow endpoint must not raise what counts as usual.
        known.observe(route_id, grant.is_warm, duration_s / max(1.0, state.slowness))

    def _observe_transit(self, region_id: ids.RegionId, connect_s: float) -> None:
        if region_id == self._region_id:
            return
        known = self._transit_s_by_region_id.get(region_id)
        # The shortest time is the way; longer ones also hold waits.
        shortest = connect_s if known is None else min(known, connect_s)
        self._transit_s_by_region_id[region_id] = shortest

    def _transit_s(self, region_id: ids.RegionId) -> float:
        return self._transit_s_by_region_id.get(region_id, OTHER_REGION_S)


def _is_due_for_trial(state: endpoint_state.EndpointState, now: float) -> bool:
    # Warm endpoints would go on being preferred; one request makes a new one known.
    since = state.untried_since
    return since is not None and now - since > TRIAL_AFTER_S


def _hash(text: str) -> int:
    digest: int = xxhash.xxh32_intdigest(text.encode())
    return digest


def object_id(request: model.PlaceRequest) -> str:
    """Return the name of the object a request is about; empty if unknown."""
    return f"{request.route_id}/{request.key}" if request.key else ""
