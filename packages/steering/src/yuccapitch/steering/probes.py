"""Schedule of probes, limited to endpoints without other health information."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import xxhash

from yuccapitch.catalogue import ids

PROBE_COST_S = 0.006
PROBE_BUDGET = 0.01
"""Fraction of one slot's time that probes of an endpoint may use."""
NEW_ENDPOINT_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class ProbeTarget:
    """An endpoint owned by this instance that may need a probe."""

    endpoint_id: ids.EndpointId
    interval_s: float
    heard_at: float | None
    """Time of the last response, shed or load report from the endpoint."""
    probed_at: float | None
    doubtful: bool = False


def due_probes(
    targets: Sequence[ProbeTarget], now: float
) -> tuple[ids.EndpointId, ...]:
    """Return the endpoints to probe now.

    Only the owner of an endpoint's slots probes it, and only without other recent
    health information: an endpoint in use needs no probe.
    """
    return tuple(t.endpoint_id for t in targets if now >= next_probe_at(t))


def next_probe_at(target: ProbeTarget) -> float:
    """Return the time of the next probe unless the endpoint is heard from earlier."""
    shortest_s = PROBE_COST_S / PROBE_BUDGET
    interval_s = max(shortest_s, target.interval_s)
    if target.heard_at is None or target.doubtful:
        interval_s = max(shortest_s, min(interval_s, NEW_ENDPOINT_INTERVAL_S))
        if target.probed_at is None:
            return float("-inf")
        return target.probed_at + interval_s
    last = max(target.heard_at, target.probed_at or float("-inf"))
    # Spread the probes of one owner over time.
    return last + interval_s * (1.0 + 0.1 * _phase(target.endpoint_id))


def _phase(endpoint_id: ids.EndpointId) -> float:
    return xxhash.xxh32_intdigest(endpoint_id.encode()) / 2.0**32
