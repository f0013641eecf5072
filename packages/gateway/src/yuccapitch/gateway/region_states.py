"""What an entry knows of each region for one service."""

from __future__ import annotations

from collections.abc import Callable

from yuccapitch.catalogue import ids
from yuccapitch.gateway import config_view
from yuccapitch.steering import shifts


def region_states(
    view: config_view.ConfigView,
    service: ids.ServiceId,
    takes_work: Callable[[ids.EndpointId], bool],
) -> dict[ids.RegionId, shifts.RegionState]:
    """Return every region's state; the entry's own share of it is not looked at."""
    drained = shifts.drained_regions(view.declaration.drains_by_id)
    return {
        region: shifts.RegionState(
            frozenset(
                endpoint.owner
                for endpoint_id, endpoint in view.endpoints(service, region).items()
                if takes_work(endpoint_id)
            ),
            has_capacity=True,
            drained=region in drained,
        )
        for region in view.declaration.regions_by_id
    }
