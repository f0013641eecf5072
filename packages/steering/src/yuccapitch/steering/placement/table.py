"""The endpoints that a region's dispatcher may use, with their state."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from yuccapitch.catalogue import ids, routes
from yuccapitch.steering.placement import cache_capacity, endpoint_state, model

# Assumed round trip to another region before one was measured.
DEFAULT_ROUND_TRIP_S = 0.1
# Time until endpoints are there: of a list that was not read yet, and of a service that
# has none now.
FIRST_LIST_RETRY_S = 0.3
NO_ENDPOINT_RETRY_S = 1.0
# Slots used beyond the own ones, as a part of them, while requests are on the way.
MAX_IN_TRANSIT_RATIO = 0.5

States = list[endpoint_state.EndpointState]


class EndpointTable:
    """Knows which endpoints may serve a request and how many slots they have."""

    def __init__(self, region_id: ids.RegionId, capacity_share: float) -> None:
        """Serve a region with ``capacity_share`` of the slots and rates."""
        self.region_id = region_id
        self.capacity_share = capacity_share
        self.states_by_id: dict[ids.EndpointId, endpoint_state.EndpointState] = {}
        self._states_by_service_id: dict[ids.ServiceId, States] = {}
        self._capacities_by_service_id: dict[
            ids.ServiceId, cache_capacity.CacheCapacity
        ] = {}
        self._evacuated_domains: frozenset[ids.FailureDomainId] = frozenset()
        self._round_trip_s_by_region_id: dict[ids.RegionId, float] = {region_id: 0.0}
        self._has_endpoints = False

    def update(
        self,
        endpoints: Iterable[model.Endpoint],
        services_by_id: dict[ids.ServiceId, routes.RoutedService],
        evacuated_domains: frozenset[ids.FailureDomainId],
        now: float,
    ) -> list[ids.EndpointId]:
        """Take in the endpoints, the services and the evacuations in force.

        Returns the endpoints that serve another region from now on.
        """
        reassigned: list[ids.EndpointId] = []
        returned = self._evacuated_domains - evacuated_domains
        self._evacuated_domains = evacuated_domains
        former = self.states_by_id
        self.states_by_id = {}
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
                capacity = self.cache_capacity(endpoint.service_id)
                state = endpoint_state.EndpointState(endpoint, service, capacity, now)
                if self._has_endpoints:
                    state.untried_since = now
                    state.mark_cold(now, service.cold_duration_s, self.capacity_share)
            elif endpoint.failure_domain in returned:
                state.mark_cold(now, service.cold_duration_s, self.capacity_share)
            elif self._is_reassigned(state.endpoint, endpoint):
                reassigned.append(endpoint.endpoint_id)
            state.update(endpoint, service)
            self.states_by_id[endpoint.endpoint_id] = state
            group = self._states_by_service_id.setdefault(endpoint.service_id, [])
            group.append(state)
        self._has_endpoints = self._has_endpoints or bool(self.states_by_id)
        return reassigned

    def cache_capacity(self, service_id: ids.ServiceId) -> cache_capacity.CacheCapacity:
        """Return how many objects an endpoint of the service keeps."""
        return self._capacities_by_service_id.setdefault(
            service_id, cache_capacity.CacheCapacity()
        )

    def eligible(self, request: model.PlacementRequest) -> States:
        """Return the endpoints that may serve a request."""
        homes = request.home_region_ids
        usable = [
            state
            for state in self._states_by_service_id.get(request.service_id, ())
            if self.is_usable(state.endpoint)
            and state.endpoint.endpoint_id not in request.excluded_endpoint_ids
            and (not homes or state.endpoint.region_id in homes)
        ]
        serving = [
            state
            for state in usable
            if state.endpoint.serving_region_id == self.region_id
        ]
        # Without one of its own, for instance where the homes are elsewhere, a region
        # shares what others use.
        return serving or usable

    def no_endpoint_retry_s(self) -> float:
        """Return when to ask again where no endpoint may serve a request."""
        return NO_ENDPOINT_RETRY_S if self._has_endpoints else FIRST_LIST_RETRY_S

    def is_usable(self, endpoint: model.Endpoint) -> bool:
        """Tell whether an endpoint is neither leaving nor evacuated."""
        return (
            not endpoint.is_leaving
            and endpoint.failure_domain not in self._evacuated_domains
        )

    def usable_slots(
        self, states: Iterable[endpoint_state.EndpointState], now: float
    ) -> int:
        """Return the slots of those that are not closed."""
        return sum(
            self.limit(state)
            for state in states
            if state.availability(now, 1 << 30)
            is not endpoint_state.Availability.CLOSED
        )

    def local_and_remote_slots(
        self, service_id: ids.ServiceId, now: float
    ) -> tuple[int, int]:
        """Return the region's slots, in the region and elsewhere."""
        own, other = 0, 0
        for state in self._states_by_service_id.get(service_id, ()):
            endpoint = state.endpoint
            if (
                endpoint.serving_region_id != self.region_id
                or not self.is_usable(endpoint)
                or state.availability(now, 1 << 30)
                is endpoint_state.Availability.CLOSED
            ):
                continue
            if endpoint.region_id == self.region_id:
                own += endpoint.slots
            else:
                other += endpoint.slots
        return own, other

    def limit(self, state: endpoint_state.EndpointState) -> int:
        """Return how many requests an endpoint may have at a time."""
        slots = state.endpoint.slots * self.capacity_share
        round_trip_s = self.round_trip_s(state.endpoint.region_id)
        if round_trip_s > 0:
            slots *= 1.0 + min(MAX_IN_TRANSIT_RATIO, round_trip_s)
        return max(1, int(slots))

    def median_failure_rate(self, service_id: ids.ServiceId) -> float:
        """Return the share of failures at an ordinary endpoint of a service."""
        shares = [
            state.failure_rate
            for state in self._states_by_service_id.get(service_id, ())
            if state.endpoint.serving_region_id == self.region_id
        ]
        return statistics.median_low(shares) if shares else 0.0

    def availability(
        self, state: endpoint_state.EndpointState, now: float
    ) -> endpoint_state.Availability:
        """Tell whether a request may be sent to an endpoint now."""
        median_rate = self.median_failure_rate(state.endpoint.service_id)
        return state.availability(now, self.limit(state), median_rate)

    def observe_round_trip(self, region_id: ids.RegionId, connect_s: float) -> None:
        """Take in how long a new connection to a region took."""
        if region_id == self.region_id:
            return
        known = self._round_trip_s_by_region_id.get(region_id)
        # The shortest time is the way; longer ones also hold waits.
        shortest = connect_s if known is None else min(known, connect_s)
        self._round_trip_s_by_region_id[region_id] = shortest

    def round_trip_s(self, region_id: ids.RegionId) -> float:
        """Return the round trip to a region."""
        return self._round_trip_s_by_region_id.get(region_id, DEFAULT_ROUND_TRIP_S)

    def _is_reassigned(self, former: model.Endpoint, endpoint: model.Endpoint) -> bool:
        was_own = former.serving_region_id == self.region_id
        return was_own and endpoint.serving_region_id != self.region_id
