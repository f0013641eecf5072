"""Chooses the endpoint of a request: warm, near, quick and not too busy."""

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

# Use of a service's slots from which a request rather waits for an endpoint that knows
# its object than takes a slot for the longer time that a cold one needs.
HIGH_UTILIZATION = 0.75
# Cost of a failure domain change, as time; equal warmth prefers the own domain.
CROSS_DOMAIN_PENALTY_S = 0.004
# Time after which an endpoint that joined and got nothing gets one request.
TRIAL_DELAY_S = 1.0
# Slowness of a cold endpoint.
COLD_COST_FACTOR = 2.0
# Part of the usual duration that must be left before the deadline.
MIN_TIME_LEFT_RATIO = 0.9
# Time kept back from the objective for the way to the caller.
RESPONSE_MARGIN_S = 0.01


class EndpointSelector:
    """Weighs the endpoints that may serve a request."""

    def __init__(
        self,
        endpoints: table.EndpointTable,
        known: durations.DurationEstimates,
        domain_of_entry: Callable[[ids.InstanceId], ids.FailureDomainId | None],
    ) -> None:
        self._table = endpoints
        self._durations = known
        self._domain_of_entry = domain_of_entry

    def select(
        self,
        request: model.PlacementRequest,
        states: Iterable[endpoint_state.EndpointState],
        now: float,
        accepts_cold: bool,
    ) -> endpoint_state.EndpointState | None:
        """Return the best endpoint; None if there is none, or waiting is better."""
        best: endpoint_state.EndpointState | None = None
        best_cost = (0.0, 0.0)
        best_is_warm = False
        is_warm_endpoint_busy = False
        used, total = 0, 0
        median_rate = self._table.median_failure_rate(request.service_id)
        for state in states:
            limit = self._table.limit(state)
            if _is_due_for_trial(state, now):
                availability = state.availability(now, limit, median_rate)
                if availability is endpoint_state.Availability.FREE:
                    return state
            if not self._can_finish(request, state, now):
                continue
            used, total = used + state.in_flight, total + limit
            is_warm = state.is_warm(request.object_id, now)
            availability = state.availability(now, limit, median_rate)
            if availability is endpoint_state.Availability.FREE:
                cost = self._cost(request, state, is_warm, now)
                if best is None or cost < best_cost:
                    best, best_cost, best_is_warm = state, cost, is_warm
            elif availability is endpoint_state.Availability.BUSY:
                is_warm_endpoint_busy = is_warm_endpoint_busy or is_warm
        if best is None or best_is_warm or accepts_cold or not is_warm_endpoint_busy:
            return best
        # The longer time at a cold endpoint is taken from other requests, and often it
        # is too long for the objective.
        warm_s = self._durations.warm_s(request.route_id)
        cold_s = self._durations.cold_s(request.route_id)
        may_wait = now + warm_s < request.objective_at - RESPONSE_MARGIN_S
        is_highly_utilized = used >= HIGH_UTILIZATION * total
        would_miss_objective = now + cold_s > request.objective_at - RESPONSE_MARGIN_S
        if (
            may_wait
            and cold_s > warm_s
            and (is_highly_utilized or would_miss_objective)
        ):
            return None
        return best

    def _can_finish(
        self,
        request: model.PlacementRequest,
        state: endpoint_state.EndpointState,
        now: float,
    ) -> bool:
        """Tell whether an answer is likely before the deadline."""
        known = self._durations
        is_warm = state.is_warm(request.object_id, now)
        if is_warm:
            duration_s = known.warm_s(request.route_id)
        else:
            duration_s = known.cold_s(request.route_id)
        round_trip_s = self._table.round_trip_s(state.endpoint.region_id)
        # What takes longer than usual may still end; less time would be spent in vain.
        return (
            now + MIN_TIME_LEFT_RATIO * duration_s + round_trip_s < request.deadline_at
        )

    def _cost(
        self,
        request: model.PlacementRequest,
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
        # Rendezvous hashing: an object begins at the same endpoints everywhere.
        text = f"{request.object_id}/{state.endpoint.endpoint_id}"
        return round(cost_s, 1), float(hashing.hash32(text))


def _is_due_for_trial(state: endpoint_state.EndpointState, now: float) -> bool:
    # Warm endpoints would go on being preferred; one request makes a new one known.
    since = state.untried_since
    return since is not None and now - since > TRIAL_DELAY_S
