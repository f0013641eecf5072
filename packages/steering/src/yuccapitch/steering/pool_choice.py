"""Which pool of a region a request asks for a slot, by late counts of the peers."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import owners

COUNTS_TTL_S = 1.0
UNKNOWN_LOAD_PENALTY_S = 0.02
OWNER_SILENCE_S = 1.2
"""Silence after which an owner is asked only if there is no other."""


@dataclasses.dataclass(frozen=True)
class PoolView:
    """A pool of the asked service, as seen by the instance that has the request."""

    pool: owners.Pool
    owner: ids.InstanceId
    distance_s: float
    """One-way time to the owner; zero for an own pool."""
    slots: int
    free: int
    waiting_impatient: int
    waiting_patient: int
    counted_at: float
    """When the owner took these counts, in the clock of this instance."""
    heard_at: float
    """When anything last arrived from the owner."""
    outstanding: int = 0
    """Own requests sent there and not yet answered."""


def choose_pool(
    views: Sequence[PoolView],
    patience: model.Patience,
    service_s: float,
    now: float,
) -> PoolView | None:
    """Return the pool with the shortest expected time to a slot.

    Views of other regions may be among those given, where the request is allowed
    to leave its region; their distance then makes them the last resort.
    """
    usable = [view for view in views if view.slots > 0]
    heard = [
        v for v in usable if v.distance_s <= 0 or now - v.heard_at < OWNER_SILENCE_S
    ]
    if not usable:
        return None
    # Where all are late, one whose link broke is still the worse bet.
    linked = [view for view in usable if view.heard_at > float("-inf")]
    return min(
        heard or linked or usable,
        key=lambda v: (_expected_wait_s(v, patience, service_s, now), v.pool),
    )


def _expected_wait_s(
    view: PoolView, patience: model.Patience, service_s: float, now: float
) -> float:
    expected_s = 2 * view.distance_s
    if view.distance_s > 0 and now - view.counted_at >= COUNTS_TTL_S:
        return expected_s + UNKNOWN_LOAD_PENALTY_S
    waiting = view.waiting_impatient
    if patience is model.Patience.PATIENT:
        waiting += view.waiting_patient
    backlog = waiting + view.outstanding + 1 - view.free
    return expected_s + max(0, backlog) * service_s / view.slots
