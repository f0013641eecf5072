"""Which pool of a region a request asks for a slot, by late counts of the peers."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from yuccapitch.catalogue import ids
from yuccapitch.steering import owners

COUNT_FRESH_S = 1.0
UNKNOWN_LOAD_PENALTY_S = 0.02


@dataclasses.dataclass(frozen=True)
class PoolView:
    """A pool of the asked service, as seen by the instance that has the request."""

    pool: owners.Pool
    owner: ids.InstanceId
    distance_s: float
    """One-way time to the owner; zero for an own pool."""
    slots: int
    free: int
    waiting: int
    counted_at: float
    asked_since: int = 0
    """Own asks since the count that have not been released."""


def choose_pool(
    views: Sequence[PoolView], service_s: float, now: float
) -> PoolView | None:
    """Return the pool with the shortest expected time to a slot."""
    usable = [view for view in views if view.slots > 0]
    if not usable:
        return None
    return min(usable, key=lambda v: (_expected_s(v, service_s, now), v.pool))


def _expected_s(view: PoolView, service_s: float, now: float) -> float:
    expected_s = 2 * view.distance_s
    if view.distance_s > 0 and now - view.counted_at >= COUNT_FRESH_S:
        return expected_s + UNKNOWN_LOAD_PENALTY_S
    backlog = view.waiting + view.asked_since + 1 - view.free
    return expected_s + max(0, backlog) * service_s / view.slots
