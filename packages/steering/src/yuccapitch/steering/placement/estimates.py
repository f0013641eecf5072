"""What a dispatcher learns from the requests that it places."""

from __future__ import annotations

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

# Objects that every endpoint with a cache keeps.
MIN_CACHED_OBJECTS = 4


class PlacementEstimates:
    """Durations, demand, the share sent elsewhere and the health of endpoints."""

    def __init__(self, endpoints: table.EndpointTable) -> None:
        self._table = endpoints
        self._traffic_by_service_id: dict[ids.ServiceId, spillover.ServiceTraffic] = {}
        self.durations = durations.DurationEstimates()

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of the time that requests take."""
        return not self.durations.has_observations

    def traffic(
        self, service_id: ids.ServiceId, now: float
    ) -> spillover.ServiceTraffic:
        """Return the requests of a service: what they need and where they go."""
        traffic = self._traffic_by_service_id.get(service_id)
        if traffic is None:
            traffic = spillover.ServiceTraffic(
                spillover.Demand(now), spillover.Spillover(0.0)
            )
            self._traffic_by_service_id[service_id] = traffic
        return traffic

    def count(self, request: model.PlacementRequest, now: float) -> None:
        """Count a request that needs a place."""
        traffic = self.traffic(request.service_id, now)
        traffic.demand.add(self.durations.mean_s(request.route_id), now)
        traffic.spillover.count()

    def demands(self, now: float) -> dict[ids.ServiceId, float]:
        """Return the slots that each service's requests need."""
        return {
            service_id: traffic.demand.required_slots(now)
            for service_id, traffic in self._traffic_by_service_id.items()
        }

    def update_spillover(self, now: float) -> None:
        """Move the shares sent elsewhere towards what the demand asks for."""
        for service_id, traffic in self._traffic_by_service_id.items():
            own, other = self._table.local_and_remote_slots(service_id, now)
            traffic.spillover.update(
                traffic.demand.required_slots(now), own, other, now
            )

    def observe(
        self,
        route_id: ids.RouteId,
        state: endpoint_state.EndpointState,
        prediction: cache_capacity.CachePrediction,
        duration_s: float,
        now: float,
    ) -> None:
        """Take in how long an endpoint worked on a request."""
        known = self.durations
        usual_s = duration_s / max(1.0, state.slowness)
        was_cache_hit = known.was_cache_hit(route_id, prediction, usual_s)
        if known.has_route(route_id):
            # An object used just before is there: what takes longer is slow.
            is_warm = prediction.is_warm and (
                was_cache_hit or prediction.reuse_distance < MIN_CACHED_OBJECTS
            )
            expected_s = known.warm_s(route_id) if is_warm else known.cold_s(route_id)
            state.observe_duration(expected_s, duration_s)
        if state.is_cold(now):
            return
        if state.slowness < endpoint_state.UNHEALTHY_SLOWNESS:
            state.capacity.observe(prediction, was_cache_hit)
        # A slow endpoint must not raise what counts as usual.
        known.observe(route_id, prediction, was_cache_hit, usual_s)

    def summary(self) -> place_messages.DispatcherSummary:
        """Return what was learned, for whoever dispatches next."""
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
        )

    def restore(self, summary: place_messages.DispatcherSummary, now: float) -> None:
        """Go on from what another dispatcher learned."""
        self.durations.restore(summary.durations)
        for service in summary.services:
            service_id = ids.ServiceId(service.service_id)
            self.traffic(service_id, now).spillover.restore(service.spill_share, now)
            self._table.cache_capacity(service_id).objects = service.warm_objects
        for health in summary.unhealthy:
            state = self._table.states_by_id.get(ids.EndpointId(health.endpoint_id))
            if state is not None:
                state.restore_health(health.slowness, health.failure_share)
