"""Estimates that a dispatcher derives from the requests that it places."""

from __future__ import annotations

import functools

from yuccapitch.catalogue import ids
from yuccapitch.protocol import place_messages
from yuccapitch.steering.placement import (
    cache_capacity,
    durations,
    endpoint_state,
    model,
    spillover,
    table,
)

# Every endpoint with a cache is assumed to hold at least this many objects.
MIN_CACHED_OBJECTS = 4
MS_PER_S = 1000


class PlacementEstimates:
    """Request durations, demand, spillover and endpoint health."""

    def __init__(self, endpoints: table.EndpointTable) -> None:
        self._table = endpoints
        self._traffic_by_service_id: dict[ids.ServiceId, spillover.ServiceTraffic] = {}
        self.durations = durations.DurationEstimates()

    @property
    def is_empty(self) -> bool:
        """Whether no request has been measured yet."""
        return not self.durations.has_observations

    def traffic(
        self, service_id: ids.ServiceId, now: float
    ) -> spillover.ServiceTraffic:
        """Return the demand and regional distribution of a service."""
        traffic = self._traffic_by_service_id.get(service_id)
        if traffic is None:
            traffic = spillover.ServiceTraffic(
                spillover.Demand(now), spillover.Spillover(0.0)
            )
            self._traffic_by_service_id[service_id] = traffic
        return traffic

    def count(self, request: model.PlacementRequest, now: float) -> None:
        """Add a request to the demand and the overflow allowance of its service."""
        traffic = self.traffic(request.service_id, now)
        traffic.demand.add(self.durations.mean_s(request.route_id), now)
        traffic.spillover.count()

    def demands(self, now: float) -> dict[ids.ServiceId, float]:
        """Return the number of slots that the requests of each service require."""
        return {
            service_id: traffic.demand.required_slots(now)
            for service_id, traffic in self._traffic_by_service_id.items()
        }

    def update_spillover(self, now: float) -> None:
        """Move the spillover of each service towards its target."""
        for service_id, traffic in self._traffic_by_service_id.items():
            local_slots, remote_slots = self._table.local_and_remote_slots(
                service_id, now
            )
            traffic.spillover.update(
                traffic.demand.required_slots(now), local_slots, remote_slots, now
            )

    def observe(
        self,
        route_id: ids.RouteId,
        state: endpoint_state.EndpointState,
        prediction: cache_capacity.CachePrediction,
        duration_s: float,
        now: float,
    ) -> None:
        """Record how long an endpoint processed a request."""
        duration_estimates = self.durations
        normalized_s = duration_s / max(1.0, state.slowness)
        was_cache_hit = duration_estimates.was_cache_hit(
            route_id, prediction, normalized_s
        )
        if duration_estimates.has_route(route_id):
            # A recently used object must be cached, so a long duration means a slow
            # endpoint rather than a cache miss.
            is_warm = prediction.is_warm and (
                was_cache_hit or prediction.reuse_distance < MIN_CACHED_OBJECTS
            )
            expected_s = (
                duration_estimates.warm_s(route_id)
                if is_warm
                else duration_estimates.cold_s(route_id)
            )
            state.observe_duration(expected_s, duration_s)
        if state.is_cold(now):
            # Durations during the warm-up are not typical of the route.
            return
        # At a slow endpoint, hits and misses are hard to tell apart by duration.
        if state.slowness < endpoint_state.UNHEALTHY_SLOWNESS:
            state.capacity.observe(prediction, was_cache_hit)
        # Corrected for slowness: a slow endpoint must not raise the route's estimate.
        duration_estimates.observe(route_id, prediction, was_cache_hit, normalized_s)

    def summary(self, now: float) -> place_messages.DispatcherSummary:
        """Return the estimates for the next dispatcher."""
        return place_messages.DispatcherSummary(
            self.durations.summary(),
            tuple(
                place_messages.ServiceSummary(
                    service_id,
                    traffic.spillover.share,
                    self._table.cache_capacity(service_id).objects,
                )
                for service_id, traffic in self._traffic_by_service_id.items()
            ),
            tuple(
                place_messages.EndpointHealth(
                    endpoint_id, state.slowness, state.failure_rate
                )
                for endpoint_id, state in self._table.states_by_id.items()
                if state.is_unhealthy()
            ),
            tuple(
                place_messages.EndpointRateLimit(endpoint_id, state.rate_limit_per_s)
                for endpoint_id, state in self._table.states_by_id.items()
                if state.rate_limit_per_s is not None
            ),
            tuple(
                place_messages.EndpointWarmUp(
                    endpoint_id,
                    state.endpoint.incarnation,
                    round((state.cold_until - now) * MS_PER_S),
                )
                for endpoint_id, state in self._table.states_by_id.items()
                if state.is_cold(now)
            ),
        )

    def restore_rate_limits(
        self, summary: place_messages.DispatcherSummary, now: float
    ) -> None:
        """Keep to the limits that endpoints have named to another instance."""
        for limit in summary.rate_limits or ():
            self._table.restore(
                ids.EndpointId(limit.endpoint_id),
                functools.partial(_restore_rate_limit, limit, now),
            )

    def restore_warm_ups(
        self, summary: place_messages.DispatcherSummary, now: float
    ) -> None:
        """Spare the endpoints that another instance takes to be warming up."""
        for warm_up in summary.warming_up or ():
            self._table.restore(
                ids.EndpointId(warm_up.endpoint_id),
                functools.partial(_restore_warm_up, warm_up, now),
            )

    def restore(self, summary: place_messages.DispatcherSummary, now: float) -> None:
        """Continue with the estimates of another dispatcher."""
        self.restore_rate_limits(summary, now)
        self.restore_warm_ups(summary, now)
        self.durations.restore(summary.durations)
        for service in summary.services:
            service_id = ids.ServiceId(service.service_id)
            self.traffic(service_id, now).spillover.restore(
                service.spillover_fraction, now
            )
            self._table.cache_capacity(service_id).objects = service.cache_capacity
        listed_ids = {
            ids.EndpointId(health.endpoint_id) for health in summary.unhealthy
        }
        for endpoint_id, state in self._table.states_by_id.items():
            if endpoint_id not in listed_ids and state.is_unhealthy():
                # It has recovered since, and may never be probed by this instance.
                state.restore_health(1.0, 0.0)
        for health in summary.unhealthy:
            self._table.restore(
                ids.EndpointId(health.endpoint_id),
                functools.partial(_restore_health, health),
            )


def _restore_rate_limit(
    limit: place_messages.EndpointRateLimit,
    now: float,
    state: endpoint_state.EndpointState,
) -> None:
    if state.rate_limit_per_s is None:
        report = model.RateLimitReport(limit.rate_per_s)
        state.observe_rate_limit(report, now, now)


def _restore_health(
    health: place_messages.EndpointHealth, state: endpoint_state.EndpointState
) -> None:
    state.restore_health(health.slowness, health.failure_rate)


def _restore_warm_up(
    warm_up: place_messages.EndpointWarmUp,
    now: float,
    state: endpoint_state.EndpointState,
) -> None:
    if state.endpoint.incarnation == warm_up.incarnation:
        state.restore_warm_up(now + warm_up.left_ms / MS_PER_S, now)
