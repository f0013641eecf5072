"""Endpoints available to the dispatcher of a region, with their state."""

from __future__ import annotations

import collections
import statistics
from collections.abc import Callable, Iterable

from yuccapitch.catalogue import ids, routes
from yuccapitch.steering.placement import (
    apportionment,
    cache_capacity,
    eligibility,
    endpoint_notices,
    endpoint_state,
    model,
)

# Round trip to another region before the first measurement.
DEFAULT_ROUND_TRIP_S = 0.1
# Retry delay until the first endpoint list has been read.
FIRST_LIST_RETRY_S = 0.3
# Retry delay for a service that currently has no endpoint.
NO_ENDPOINT_RETRY_S = 1.0
# Retry delay for a service whose endpoints are all left to other instances, until the
# region's dispatcher replies again.
NOT_SHARED_RETRY_S = 1.0
# Maximum number of extra requests in flight to another region, relative to the slots.
MAX_IN_TRANSIT_RATIO = 0.5

# Fraction of an endpoint's rate limit that the regions divide to which the endpoint is
# not assigned, and of its request rate while it is cold. They use it only for requests
# that no endpoint of their own may serve.
OTHER_REGIONS_RATE_SHARE = 0.2
# Shares of endpoints that are kept, with those that have left the list.
MAX_CACHED_SHARES = 20_000

# What is kept of the summaries that arrive before the first list.
MAX_RESTORATIONS = 4096

Restoration = Callable[[endpoint_state.EndpointState], None]

_UNUSABLE = frozenset(
    (
        endpoint_state.Availability.CLOSED,
        endpoint_state.Availability.NOT_SHARED,
    )
)


class EndpointTable:
    """Endpoints by service, with eligibility, slot limits and round trips."""

    def __init__(self, region_id: ids.RegionId) -> None:
        """Create a table without endpoints, which uses the whole of their limits."""
        self.region_id = region_id
        self._apportionment: apportionment.Apportionment | None = None
        self.notices = endpoint_notices.EndpointNotices()
        self.states_by_id: dict[ids.EndpointId, endpoint_state.EndpointState] = {}
        self._states_by_service_id: dict[ids.ServiceId, eligibility.States] = {}
        self._capacities_by_service_id: dict[
            ids.ServiceId, cache_capacity.CacheCapacity
        ] = {}
        self._evacuated_domains: frozenset[ids.FailureDomainId] = frozenset()
        self._round_trip_s_by_region_id: dict[ids.RegionId, float] = {region_id: 0.0}
        self._region_ids: frozenset[ids.RegionId] = frozenset((region_id,))
        # Kept as lists change far more often than regions.
        self._cold_shares_by_endpoint: dict[
            tuple[ids.EndpointId, ids.RegionId], apportionment.Share
        ] = {}
        self._has_endpoints = False
        # What is known of endpoints before the first list names them.
        self._restorations: collections.deque[tuple[ids.EndpointId, Restoration]]
        self._restorations = collections.deque(maxlen=MAX_RESTORATIONS)
        # Kept until endpoints change: requests are hundreds of times as frequent.
        self._eligible_by_scope: dict[
            tuple[ids.ServiceId, frozenset[ids.RegionId]], eligibility.EligibleEndpoints
        ] = {}
        self._eligible_version = -1
        self._limits: dict[tuple[int, ids.RegionId], int] = {}

    def set_apportionment(
        self, shares: apportionment.Apportionment | None, now: float
    ) -> None:
        """Share the limits of endpoints; None if this instance uses the whole."""
        if shares == self._apportionment:
            return
        self._apportionment = shares
        for state in self.states_by_id.values():
            state.renew_share(now)

    def update(
        self,
        endpoints: Iterable[model.Endpoint],
        services_by_id: dict[ids.ServiceId, routes.RoutedService],
        evacuated_domains: frozenset[ids.FailureDomainId],
        now: float,
    ) -> list[ids.EndpointId]:
        """Apply the current endpoints, services and evacuations.

        Returns the endpoints that were reassigned from this region to another one.
        """
        endpoints = list(endpoints)
        self.notices.update(endpoints)
        reassigned: list[ids.EndpointId] = []
        reinstated_domains = self._evacuated_domains - evacuated_domains
        self._evacuated_domains = evacuated_domains
        previous_states_by_id = self.states_by_id
        self.states_by_id = {}
        self._states_by_service_id = {}
        for endpoint in endpoints:
            service = services_by_id.get(endpoint.service_id)
            if service is None:
                continue
            state = previous_states_by_id.get(endpoint.endpoint_id)
            is_new = (
                state is None
                or state.endpoint.incarnation != endpoint.incarnation
                or state.endpoint.service_id != endpoint.service_id
            )
            if state is None or is_new:
                capacity = self.cache_capacity(endpoint.service_id)
                state = endpoint_state.EndpointState(
                    endpoint, service, capacity, now, self._find_share
                )
                if self._has_endpoints:
                    state.untried_since = now
                    state.mark_cold(now, service.cold_duration_s)
            elif endpoint.failure_domain in reinstated_domains:
                state.mark_cold(now, service.cold_duration_s)
            elif self._is_reassigned(state.endpoint, endpoint):
                reassigned.append(endpoint.endpoint_id)
            state.update(endpoint, service, now)
            self.states_by_id[endpoint.endpoint_id] = state
            service_states = self._states_by_service_id.setdefault(
                endpoint.service_id, []
            )
            service_states.append(state)
        region_ids = frozenset(
            (
                self.region_id,
                *(state.endpoint.region_id for state in self.states_by_id.values()),
            )
        )
        if region_ids != self._region_ids:
            self._region_ids = region_ids
            self._cold_shares_by_endpoint.clear()
        for state in self.states_by_id.values():
            rate_fraction = self._region_rate_fraction(state)
            state.set_region_shares(rate_fraction, self._region_cold_share(state), now)
        if self.states_by_id:
            self._has_endpoints = True
            for endpoint_id, apply in self._restorations:
                self.restore(endpoint_id, apply)
            self._restorations.clear()
        self._eligible_by_scope.clear()
        return reassigned

    def restore(self, endpoint_id: ids.EndpointId, apply: Restoration) -> None:
        """Apply what another instance knows of an endpoint.

        A dispatcher may be told of it before it has its first list.
        """
        state = self.states_by_id.get(endpoint_id)
        if state is not None:
            apply(state)
        elif not self._has_endpoints:
            self._restorations.append((endpoint_id, apply))

    def cache_capacity(self, service_id: ids.ServiceId) -> cache_capacity.CacheCapacity:
        """Return the estimated cache capacity of the endpoints of a service."""
        return self._capacities_by_service_id.setdefault(
            service_id, cache_capacity.CacheCapacity()
        )

    def eligible(
        self, request: model.PlacementRequest
    ) -> eligibility.EligibleEndpoints:
        """Return the endpoints that may serve a request."""
        if request.excluded_endpoint_ids:
            return self._find_eligible(
                request.service_id,
                request.home_region_ids,
                request.excluded_endpoint_ids,
            )
        if self._eligible_version != self.notices.leaving_version:
            self._eligible_version = self.notices.leaving_version
            self._eligible_by_scope.clear()
        scope = (request.service_id, request.home_region_ids)
        eligible = self._eligible_by_scope.get(scope)
        if eligible is None:
            eligible = self._find_eligible(*scope, frozenset())
            self._eligible_by_scope[scope] = eligible
        return eligible

    def no_endpoint_retry_s(self) -> float:
        """Return the retry delay for a request that has no eligible endpoint."""
        return NO_ENDPOINT_RETRY_S if self._has_endpoints else FIRST_LIST_RETRY_S

    def is_usable(self, endpoint: model.Endpoint) -> bool:
        """Return whether an endpoint is neither leaving nor evacuated."""
        return (
            not endpoint.is_leaving
            and not self.notices.is_leaving(endpoint)
            and endpoint.failure_domain not in self._evacuated_domains
        )

    def usable_slots(
        self, states: Iterable[endpoint_state.EndpointState], now: float
    ) -> float:
        """Return the slots that requests can use at endpoints that are not closed."""
        return sum(
            self.usable_limit(state, self.limit(state))
            for state in states
            # A limit that is never reached: busy endpoints count as well.
            if state.availability(now, 1 << 30) not in _UNUSABLE
        )

    def local_and_remote_slots(
        self, service_id: ids.ServiceId, now: float
    ) -> tuple[float, float]:
        """Return the slots assigned to this region, locally and in other regions."""
        local_slots, remote_slots = 0.0, 0.0
        for state in self._states_by_service_id.get(service_id, ()):
            endpoint = state.endpoint
            if (
                endpoint.serving_region_id != self.region_id
                or not self.is_usable(endpoint)
                # A limit that is never reached: busy endpoints count as well.
                or state.availability(now, 1 << 30) in _UNUSABLE
            ):
                continue
            slots = self.usable_limit(state, endpoint.slots)
            if endpoint.region_id == self.region_id:
                local_slots += slots
            else:
                remote_slots += slots
        return local_slots, remote_slots

    def limit(self, state: endpoint_state.EndpointState) -> int:
        """Return how many requests of this instance an endpoint may have in flight.

        It is 0 if other instances use all slots of the endpoint.
        """
        endpoint = state.endpoint
        key = (endpoint.slots, endpoint.region_id)
        limit = self._limits.get(key)
        if limit is None:
            limit = self._limits[key] = self._find_limit(*key)
        return state.share.of_count(limit)

    def _find_limit(self, slots: float, region_id: ids.RegionId) -> int:
        """Return how many requests of all instances may be in flight."""
        round_trip_s = self.round_trip_s(region_id)
        if round_trip_s > 0:
            # A request in transit does not occupy a slot yet. The number of extra
            # requests per slot is the round trip in seconds, as if each request took
            # about 1 s.
            slots *= 1.0 + min(MAX_IN_TRANSIT_RATIO, round_trip_s)
        return max(1, int(slots))

    def usable_limit(self, state: endpoint_state.EndpointState, limit: int) -> float:
        """Return how many of ``limit`` requests an endpoint's rate limit allows."""
        if state.rate_limit_per_s is None:
            return limit
        return state.usable_slots(limit)

    def median_failure_rate(self, service_id: ids.ServiceId) -> float:
        """Return the median failure rate of the endpoints of a service."""
        failure_rates = [
            state.failure_rate
            for state in self._states_by_service_id.get(service_id, ())
            if state.endpoint.serving_region_id == self.region_id
        ]
        return statistics.median_low(failure_rates) if failure_rates else 0.0

    def has_free(self, service_id: ids.ServiceId, now: float) -> bool:
        """Return whether any endpoint of a service may get a request now."""
        median_rate = self.median_failure_rate(service_id)
        free = endpoint_state.Availability.FREE
        return any(
            state.availability(now, self.limit(state), median_rate) is free
            for state in self._states_by_service_id.get(service_id, ())
        )

    def availability(
        self, state: endpoint_state.EndpointState, now: float
    ) -> endpoint_state.Availability:
        """Return whether a request may be sent to an endpoint now."""
        median_rate = self.median_failure_rate(state.endpoint.service_id)
        return state.availability(now, self.limit(state), median_rate)

    def observe_round_trip(self, region_id: ids.RegionId, connect_s: float) -> None:
        """Record how long it took to connect to a region."""
        if region_id == self.region_id:
            return
        shortest_known_s = self._round_trip_s_by_region_id.get(region_id)
        # The shortest time is the network round trip; longer ones include queueing.
        shortest_s = (
            connect_s if shortest_known_s is None else min(shortest_known_s, connect_s)
        )
        self._round_trip_s_by_region_id[region_id] = shortest_s
        self._limits.clear()

    def round_trip_s(self, region_id: ids.RegionId) -> float:
        """Return the round-trip time to a region."""
        return self._round_trip_s_by_region_id.get(region_id, DEFAULT_ROUND_TRIP_S)

    def is_left_to_others(
        self, states: Iterable[endpoint_state.EndpointState], now: float
    ) -> bool:
        """Return whether other instances use all of these endpoints, and not this."""
        states = list(states)
        if any(state.is_first_user for state in states):
            return False
        not_shared = endpoint_state.Availability.NOT_SHARED
        return all(self.availability(state, now) is not_shared for state in states)

    def _find_share(self, endpoint_id: ids.EndpointId) -> apportionment.Share:
        if self._apportionment is None:
            return apportionment.WHOLE
        return self._apportionment.share(endpoint_id)

    def _region_rate_fraction(self, state: endpoint_state.EndpointState) -> float:
        """Return the fraction of an endpoint's rate limit that this region may use.

        The dispatchers of all regions may send to an endpoint, without knowing of the
        requests of each other.
        """
        other_regions = len(self._region_ids) - 1
        if not other_regions:
            return 1.0
        if state.endpoint.serving_region_id == self.region_id:
            return 1.0 - OTHER_REGIONS_RATE_SHARE
        return OTHER_REGIONS_RATE_SHARE / other_regions

    def _region_cold_share(
        self, state: endpoint_state.EndpointState
    ) -> apportionment.Share:
        """Return the part of an endpoint's cold request rate that this region uses.

        The region to which the endpoint is assigned uses the whole, which leaves room
        for the little that the first ranked of the others use.
        """
        endpoint = state.endpoint
        if endpoint.serving_region_id == self.region_id:
            return apportionment.WHOLE
        key = (endpoint.endpoint_id, endpoint.serving_region_id)
        share = self._cold_shares_by_endpoint.get(key)
        if share is None:
            if len(self._cold_shares_by_endpoint) > MAX_CACHED_SHARES:
                self._cold_shares_by_endpoint.clear()
            other_region_ids = self._region_ids - {endpoint.serving_region_id}
            share = self._cold_shares_by_endpoint[key] = apportionment.Share(
                apportionment.rank(
                    endpoint.endpoint_id, self.region_id, other_region_ids
                ),
                len(other_region_ids),
                OTHER_REGIONS_RATE_SHARE,
            )
        return share

    def _find_eligible(
        self,
        service_id: ids.ServiceId,
        home_region_ids: frozenset[ids.RegionId],
        excluded_ids: frozenset[ids.EndpointId],
    ) -> eligibility.EligibleEndpoints:
        usable = [
            state
            for state in self._states_by_service_id.get(service_id, ())
            if self.is_usable(state.endpoint)
            and state.endpoint.endpoint_id not in excluded_ids
            and (not home_region_ids or state.endpoint.region_id in home_region_ids)
        ]
        serving = [
            state
            for state in usable
            if state.endpoint.serving_region_id == self.region_id
        ]
        # If no eligible endpoint is assigned to this region, for example because the
        # home regions are remote, the region shares those of other regions.
        states = serving or usable
        local = [s for s in states if s.endpoint.region_id == self.region_id]
        remote = [s for s in states if s.endpoint.region_id != self.region_id]
        endpoint_ids = frozenset(s.endpoint.endpoint_id for s in states)
        return eligibility.EligibleEndpoints(states, local, remote, endpoint_ids)

    def _is_reassigned(
        self, previous: model.Endpoint, endpoint: model.Endpoint
    ) -> bool:
        was_assigned_here = previous.serving_region_id == self.region_id
        return was_assigned_here and endpoint.serving_region_id != self.region_id
