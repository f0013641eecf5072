"""Routing states of the regions for one service, as seen by an entry instance."""

from __future__ import annotations

from collections.abc import Callable

from yuccapitch.catalogue import ids
from yuccapitch.gateway import config_view
from yuccapitch.steering import shifts


def compute_region_states(
    view: config_view.ConfigView,
    service: ids.ServiceId,
    accepts_requests: Callable[[ids.EndpointId], bool],
) -> dict[ids.RegionId, shifts.RegionState]:
    """Return every region's state, without regard to the entry's shares."""
    drained = shifts.drained_regions(view.declaration.drains_by_id)
    return {
        region: shifts.RegionState(
            frozenset(
                endpoint.owner
                for endpoint_id, endpoint in view.endpoints(service, region).items()
                if accepts_requests(endpoint_id)
            ),
            has_capacity=True,
            drained=region in drained,
        )
        for region in view.declaration.regions_by_id
    }


class RegionStateCache:
    """Caches the region states until an endpoint or the configuration changes."""

    def __init__(self, accepts_requests: Callable[[ids.EndpointId], bool]) -> None:
        self._accepts_requests = accepts_requests
        self._version: ids.Version | None = None
        self._states_by_service: dict[
            ids.ServiceId, dict[ids.RegionId, shifts.RegionState]
        ] = {}

    def get(
        self, view: config_view.ConfigView, service: ids.ServiceId
    ) -> dict[ids.RegionId, shifts.RegionState]:
        """Return every region's state for a service."""
        if view.version != self._version:
            self.invalidate()
            self._version = view.version
        states = self._states_by_service.get(service)
        if states is None:
            states = compute_region_states(view, service, self._accepts_requests)
            self._states_by_service[service] = states
        return states

    def invalidate(self) -> None:
        """Discard the states when an endpoint starts or stops accepting requests."""
        self._states_by_service.clear()
