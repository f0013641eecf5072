"""Declared resources whose limits are shared by many instances."""

from __future__ import annotations

import dataclasses
import enum
import math
import typing

from yuccapitch.catalogue import ids, model

ResourceId = typing.NewType("ResourceId", str)

RATE_WINDOW_S = 1.0
ARRIVAL_JITTER_S = 0.15
"""Variation of the delay from admission to arrival, including new connections."""
BYTES_WINDOW_S = 0.25
MAX_IN_FLIGHT_LINGER_S = 5.0
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000


class LimiterKind(enum.Enum):
    """The kind of units that a resource limits."""

    CONCURRENCY = "concurrency"
    RATE = "rate"
    BYTES = "bytes"


@dataclasses.dataclass(frozen=True)
class Resource:
    """A limit in integer units: requests in flight, or requests or bytes per window."""

    resource_id: ResourceId
    kind: LimiterKind
    limit: int
    window_s: float = 0.0
    """Time during which past use of a reduced share still counts."""
    linger_s: float = 0.0
    """Time during which use of an expired share still counts."""


def region_resource_id(region_id: ids.RegionId) -> ResourceId:
    """Return the ID of a region's capacity."""
    return ResourceId(f"region:{region_id}")


def shift_resource_id(shift_id: ids.ShiftId) -> ResourceId:
    """Return the ID of a shift's cap."""
    return ResourceId(f"shift:{shift_id}")


def link_resource_id(link_id: ids.LinkId) -> ResourceId:
    """Return the ID of a link's throughput."""
    return ResourceId(f"link:{link_id}")


def resources_by_id(
    declaration: model.Declaration,
) -> dict[ResourceId, Resource]:
    """Return all shared limits of a declaration."""
    linger_s = _in_flight_linger_s(declaration)
    resources = [
        Resource(
            region_resource_id(region_id),
            LimiterKind.CONCURRENCY,
            region.capacity,
            linger_s=linger_s,
        )
        for region_id, region in declaration.regions_by_id.items()
    ]
    for shift_id, shift in declaration.shifts_by_id.items():
        resources.append(_shift_resource(shift_id, shift.cap_per_s))
    for link_id, link in declaration.links_by_id.items():
        resources.append(_link_resource(link_id, link.mbit_per_s))
    return {resource.resource_id: resource for resource in resources}


def _in_flight_linger_s(declaration: model.Declaration) -> float:
    deadlines_s = [
        route.limits.deadline_ms / 1000 for route in declaration.routes_by_id.values()
    ]
    return min(MAX_IN_FLIGHT_LINGER_S, max(deadlines_s, default=0.0))


def _shift_resource(shift_id: ids.ShiftId, cap_per_s: float) -> Resource:
    # Limits are whole units, so the window of a cap below one request per second is
    # extended until it admits one request.
    cap_window_s = RATE_WINDOW_S if cap_per_s >= 1 else 1 / cap_per_s
    # The cap applies to arrivals. Varying delays can bring them closer together than
    # the admissions were.
    window_s = cap_window_s + ARRIVAL_JITTER_S
    return Resource(
        shift_resource_id(shift_id),
        LimiterKind.RATE,
        math.floor(cap_per_s * cap_window_s + 1e-9),
        window_s=window_s,
        linger_s=window_s,
    )


def _link_resource(link_id: ids.LinkId, mbit_per_s: float) -> Resource:
    bytes_per_s = mbit_per_s * BITS_PER_MBIT / BITS_PER_BYTE
    return Resource(
        link_resource_id(link_id),
        LimiterKind.BYTES,
        math.floor(bytes_per_s * BYTES_WINDOW_S),
        window_s=BYTES_WINDOW_S,
        linger_s=BYTES_WINDOW_S,
    )
