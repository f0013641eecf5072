"""Selection of the pool for a request, based on delayed counts of the owners."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import owners

COUNTS_TTL_S = 1.0
UNKNOWN_LOAD_PENALTY_S = 0.02
OWNER_SILENCE_S = 1.2
"""Silence after which an owner is used only if there is no other."""


@dataclasses.dataclass(frozen=True)
class PoolView:
    """A pool of the requested service as known to the instance with the request."""

    pool: owners.Pool
    owner: ids.InstanceId
    distance_s: float
    """One-way network delay to the owner; zero for a local pool."""
    slots: int
    free: int
    waiting_impatient: int
    waiting_patient: int
    counted_at: float
    """Time at which the owner took these counts, by the clock of this instance."""
    heard_at: float
    """Time of the last message from the owner."""
    outstanding: int = 0
    """Requests forwarded by this instance that have not ended."""
    is_open: bool = True
    """Whether the pool takes requests; assumed of a pool of another owner."""


def choose_pool(
    views: Sequence[PoolView],
    patience: model.Patience,
    service_s: float,
    now: float,
) -> PoolView | None:
    """Return the pool with the shortest expected time to a slot.

    A pool without usable slots is used only if there is no other: its owner knows
    whether slots are usable again, or when they will be, and refuses the request at
    once if it can't be served in time.

    Pools of other regions may be included if the request is allowed to leave its
    region. Their distance makes them the last resort.
    """
    usable = [view for view in views if view.slots > 0]
    usable = usable or [view for view in views if view.is_open]
    responsive = [
        v for v in usable if v.distance_s <= 0 or now - v.heard_at < OWNER_SILENCE_S
    ]
    if not usable:
        return None
    # If all owners are silent, avoid those whose link is known to be broken.
    connected = [view for view in usable if view.heard_at > float("-inf")]
    return min(
        responsive or connected or usable,
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
    return expected_s + max(0, backlog) * service_s / max(1, view.slots)
