"""Selection of an endpoint by cache warmth, latency, health and load."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import (
    durations,
    endpoint_state,
    hashing,
    model,
    table,
)

# Slot utilization of the candidate endpoints from which a request waits for a busy warm
# endpoint. At a cold one it would occupy a scarce slot for longer.
HIGH_UTILIZATION = 0.75
# Added to the cost of endpoints in another failure domain than the entry instance, so
# that those in the same domain are preferred if equally warm.
CROSS_DOMAIN_PENALTY_S = 0.004
# Time after joining at which an endpoint without any request gets a trial request.
TRIAL_DELAY_S = 1.0
# Multiplies the expected duration at an endpoint that is still warming up.
COLD_COST_FACTOR = 2.0
# Minimum time to the deadline as a fraction of the expected duration at an endpoint.
MIN_TIME_LEFT_RATIO = 0.9
# Reserved for the response to travel back to the client within the latency objective.
RESPONSE_MARGIN_S = 0.01


class EndpointSelector:
    """Selects the eligible endpoint with the lowest cost."""

    def __init__(
        self,
        endpoints: table.EndpointTable,
        duration_estimates: durations.DurationEstimates,
        domain_of_entry: Callable[[ids.InstanceId], ids.FailureDomainId | None],
    ) -> None:
        self._table = endpoints
        self._durations = duration_estimates
        self._domain_of_entry = domain_of_entry

    def select(
        self,
        request: model.PlacementRequest,
        states: Iterable[endpoint_state.EndpointState],
        now: float,
        accepts_cold: bool,
    ) -> endpoint_state.EndpointState | None:
        """Return the best endpoint, or None if none is free or waiting is better.

        Without ``accepts_cold``, the request may wait for a busy warm endpoint.
        """
        best: endpoint_state.EndpointState | None = None
        best_cost = (0.0, 0.0)
        best_is_warm = False
        is_warm_endpoint_busy = False
        used_slots, total_slots = 0, 0.0
        median_rate = self._table.median_failure_rate(request.service_id)
        object_id = request.object_id
        can_finish = self._finish_checker(request, now)
        for state in states:
            limit = self._table.limit(state)
            availability = state.availability(now, limit, median_rate)
            if availability is endpoint_state.Availability.FREE and _is_due_for_trial(
                state, now
            ):
                return state
            is_warm = state.is_warm(object_id, now)
            if not can_finish(state.endpoint.region_id, is_warm):
                continue
            used_slots += state.in_flight
            total_slots += self._table.usable_limit(state, limit)
            if availability is endpoint_state.Availability.FREE:
                cost = self._cost(request, state, is_warm, now)
                if best is None or cost < best_cost:
                    best, best_cost, best_is_warm = state, cost, is_warm
            elif availability is endpoint_state.Availability.BUSY:
                is_warm_endpoint_busy = is_warm_endpoint_busy or is_warm
        if best is None or best_is_warm or accepts_cold or not is_warm_endpoint_busy:
            return best
        # A request at a cold endpoint occupies its slot for longer, which delays other
        # requests, and it often misses the latency objective.
        warm_s = self._durations.warm_s(request.route_id)
        cold_s = self._durations.cold_s(request.route_id)
        may_wait = now + warm_s < request.objective_at - RESPONSE_MARGIN_S
        is_highly_utilized = used_slots >= HIGH_UTILIZATION * total_slots
        would_miss_objective = now + cold_s > request.objective_at - RESPONSE_MARGIN_S
        if (
            may_wait
            and cold_s > warm_s
            and (is_highly_utilized or would_miss_objective)
        ):
            return None
        return best

    def _finish_checker(
        self, request: model.PlacementRequest, now: float
    ) -> Callable[[ids.RegionId, bool], bool]:
        """Return whether a response is likely before the deadline.

        The returned function takes the region of an endpoint and whether it caches the
        object. Its answers are the same for all endpoints alike in both.
        """
        warm_s = self._durations.warm_s(request.route_id)
        cold_s = self._durations.cold_s(request.route_id)
        answers: dict[tuple[ids.RegionId, bool], bool] = {}

        def can_finish(region_id: ids.RegionId, is_warm: bool) -> bool:
            key = (region_id, is_warm)
            answer = answers.get(key)
            if answer is None:
                # Durations vary, so a request may finish sooner than expected. With
                # less than this fraction left, the work would most likely be wasted.
                needed_s = MIN_TIME_LEFT_RATIO * (warm_s if is_warm else cold_s)
                round_trip_s = self._table.round_trip_s(region_id)
                answer = now + needed_s + round_trip_s < request.deadline_at
                answers[key] = answer
            return answer

        return can_finish

    def _cost(
        self,
        request: model.PlacementRequest,
        state: endpoint_state.EndpointState,
        is_warm: bool,
        now: float,
    ) -> tuple[float, float]:
        """Return the cost of an endpoint as a sort key.

        The first element is the expected time to the response in seconds. It is
        rounded, so that the second one decides between similar endpoints: their
        utilization, or a hash if the object is not cached there.
        """
        estimates = self._durations
        duration_s = (
            estimates.warm_s(request.route_id)
            if is_warm
            else estimates.cold_s(request.route_id)
        )
        slowness = max(1.0, state.slowness) * (1.0 + state.failure_rate)
        if state.is_cold(now):
            slowness *= COLD_COST_FACTOR
        cost_s = duration_s * slowness + self._table.round_trip_s(
            state.endpoint.region_id
        )
        domain = self._domain_of_entry(request.entry_id)
        if domain is not None and domain != state.endpoint.failure_domain:
            cost_s += CROSS_DOMAIN_PENALTY_S
        if is_warm or not request.key:
            return round(cost_s, 2), state.in_flight / max(1, state.endpoint.slots)
        # Rendezvous hashing: every dispatcher places a new object on the same endpoint.
        text = f"{request.object_id}/{state.endpoint.endpoint_id}"
        return round(cost_s, 1), float(hashing.hash32(text))


def _is_due_for_trial(state: endpoint_state.EndpointState, now: float) -> bool:
    # The selection could prefer warm endpoints forever. A trial request lets the
    # dispatcher measure the new endpoint.
    joined_at = state.untried_since
    return joined_at is not None and now - joined_at > TRIAL_DELAY_S
