"""What a dispatcher learns from the requests that it places."""

from __future__ import annotations

from yuccapitch.catalogue import ids
from yuccapitch.protocol import place_messages
from yuccapitch.steering.placement import (
    durations,
    endpoint_state,
    model,
    spill,
    table,
    warm_capacity,
)

# Objects that every endpoint with a cache keeps.
SURE_DEPTH = 4


class Learned:
    """Durations, demand, the share sent elsewhere and the health of endpoints."""

    def __init__(self, endpoints: table.EndpointTable) -> None:
        self._table = endpoints
        self._flows_by_service_id: dict[ids.ServiceId, spill.Flow] = {}
        self.durations = durations.Durations()

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of the time that requests take."""
        return not self.durations.has_learned

    def flow(self, service_id: ids.ServiceId, now: float) -> spill.Flow:
        """Return the requests of a service: what they need and where they go."""
        flow = self._flows_by_service_id.get(service_id)
        if flow is None:
            flow = spill.Flow(spill.Demand(now), spill.Spill(0.0))
            self._flows_by_service_id[service_id] = flow
        return flow

    def count(self, request: model.PlaceRequest, now: float) -> None:
        """Count a request that needs a place."""
        flow = self.flow(request.service_id, now)
        flow.demand.add(self.durations.mean_s(request.route_id), now)
        flow.spill.count()

    def demands(self, now: float) -> dict[ids.ServiceId, float]:
        """Return the slots that each service's requests need."""
        return {
            service_id: flow.demand.busy_slots(now)
            for service_id, flow in self._flows_by_service_id.items()
        }

    def update_spill(self, now: float) -> None:
        """Move the shares sent elsewhere towards what the demand asks for."""
        for service_id, flow in self._flows_by_service_id.items():
            own, other = self._table.serving_slots(service_id, now)
            flow.spill.update(flow.demand.busy_slots(now), own, other, now)

    def observe(
        self,
        route_id: ids.RouteId,
        state: endpoint_state.EndpointState,
        visit: warm_capacity.Visit,
        duration_s: float,
        now: float,
    ) -> None:
        """Take in how long an endpoint worked on a request."""
        known = self.durations
        usual_s = duration_s / max(1.0, state.slowness)
        had_object = known.had_object(route_id, visit, usual_s)
        if known.is_known(route_id):
            # An object used just before is there: what takes longer is slow.
            is_warm = visit.is_warm and (had_object or visit.depth < SURE_DEPTH)
            expected_s = known.warm_s(route_id) if is_warm else known.cold_s(route_id)
            state.observe_duration(expected_s, duration_s)
        if state.is_cold(now):
            return
        if state.slowness < endpoint_state.UNHEALTHY_SLOWNESS:
            state.capacity.observe(visit, had_object)
        # A slow endpoint must not raise what counts as usual.
        known.observe(route_id, visit, had_object, usual_s)

    def summary(self) -> place_messages.DispatcherSummary:
        """Return what was learned, for whoever dispatches next."""
        return place_messages.DispatcherSummary(
            self.durations.summary(),
            tuple(
                place_messages.ServiceSummary(
                    service_id,
                    flow.spill.share,
                    self._table.warm_capacity(service_id).objects,
                )
                for service_id, flow in self._flows_by_service_id.items()
            ),
            tuple(
                place_messages.EndpointHealth(
                    endpoint_id, state.slowness, state.failure_share
                )
                for endpoint_id, state in self._table.states_by_id.items()
                if state.is_unhealthy()
            ),
        )

    def adopt(self, summary: place_messages.DispatcherSummary, now: float) -> None:
        """Go on from what another dispatcher learned."""
        self.durations.adopt(summary.durations)
        for service in summary.services:
            service_id = ids.ServiceId(service.service_id)
            self.flow(service_id, now).spill.adopt(service.spill_share, now)
            self._table.warm_capacity(service_id).objects = service.warm_objects
        for health in summary.unhealthy:
            state = self._table.states_by_id.get(ids.EndpointId(health.endpoint_id))
            if state is not None:
                state.adopt_health(health.slowness, health.failure_share)
