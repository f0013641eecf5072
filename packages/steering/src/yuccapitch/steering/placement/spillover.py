"""Which part of a region's requests goes to other regions; it changes slowly.

Callers and caches follow a slow change; a sudden one would land whole on cold caches.
"""

from __future__ import annotations

import dataclasses
import math

# Use of the own region's slots up to which nothing is sent elsewhere.
LOCAL_UTILIZATION_TARGET = 0.7
# Fastest change of the share. Over two windows of 2 s each it moves by 0.1 at most,
# which leaves a third of the usual bound of 0.15 for chance.
MAX_SHARE_CHANGE_PER_S = 0.05
# Time over which the demand is smoothed.
DEMAND_WINDOW_S = 3.0
# Part of the requests that may go to the other side when their own has no room.
OVERFLOW_SHARE = 0.04
OVERFLOW_BURST = 3.0


class Demand:
    """Slots that the requests of one service keep busy, smoothed."""

    def __init__(self, now: float) -> None:
        self._slot_seconds = 0.0
        self._updated_at = now
        self._started_at = now

    def add(self, duration_s: float, now: float) -> None:
        """Count a request that keeps a slot for this long."""
        self._decay(now)
        self._slot_seconds += duration_s

    def required_slots(self, now: float) -> float:
        """Return the number of slots that are needed."""
        self._decay(now)
        # Before a whole window has passed, the sum covers only a part of one.
        age_s = max(0.1, now - self._started_at)
        covered_s = DEMAND_WINDOW_S * (1.0 - math.exp(-age_s / DEMAND_WINDOW_S))
        return self._slot_seconds / covered_s

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._slot_seconds *= math.exp(-elapsed_s / DEMAND_WINDOW_S)


class Spillover:
    """Share of one service's requests that other regions serve."""

    def __init__(self, now: float) -> None:
        self.share = 0.0
        self._updated_at = now
        self._is_initialized = False
        self._overflow_tokens = OVERFLOW_BURST

    def update(
        self, demand_slots: float, local_slots: int, remote_slots: int, now: float
    ) -> None:
        """Move the share towards what the demand asks for."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        target = target_share(demand_slots, local_slots, remote_slots)
        if not local_slots or not remote_slots:
            # There is no choice now; the share is kept for when there is again.
            return
        if not self._is_initialized:
            # All caches are cold and the demand is unknown: every slot is needed.
            self._is_initialized = True
            self.share = remote_slots / (local_slots + remote_slots)
            return
        step = MAX_SHARE_CHANGE_PER_S * elapsed_s
        self.share += min(step, max(-step, target - self.share))

    def restore(self, share: float, now: float) -> None:
        """Go on from the share of a former dispatcher."""
        self.share = share
        self._is_initialized = True
        self._updated_at = now

    def try_acquire_overflow(self) -> bool:
        """Take one of the few requests that may go to the other side."""
        if self._overflow_tokens < 1.0:
            return False
        self._overflow_tokens -= 1.0
        return True

    def count(self) -> None:
        """Count a request of the service."""
        self._overflow_tokens = min(
            OVERFLOW_BURST, self._overflow_tokens + OVERFLOW_SHARE
        )


@dataclasses.dataclass
class ServiceTraffic:
    """The requests of one service: what they need and where they go."""

    demand: Demand
    spillover: Spillover


def target_share(demand_slots: float, local_slots: int, remote_slots: int) -> float:
    """Return the share that leaves the own region at its use."""
    if not remote_slots:
        return 0.0
    if not local_slots:
        return 1.0
    excess = demand_slots - LOCAL_UTILIZATION_TARGET * local_slots
    if excess <= 0 or demand_slots <= 0:
        return 0.0
    return min(excess / demand_slots, remote_slots / (local_slots + remote_slots))
