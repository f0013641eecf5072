"""Share of a region's requests that is sent to other regions.

The share changes slowly, so that clients and caches can adapt. A sudden change would
put the full load of the moved requests on endpoints without their objects in the cache.
"""

from __future__ import annotations

import dataclasses
import math

# Utilization of the local slots up to which no request is sent to other regions.
LOCAL_UTILIZATION_TARGET = 0.7
# Limits the change between consecutive windows of 2 s to 0.1. The usual limit is 0.15;
# the remaining third is left for random variation of the measured share.
MAX_SHARE_CHANGE_PER_S = 0.05
# Time constant of the exponentially weighted demand.
DEMAND_WINDOW_S = 3.0
# Fraction of the requests that may use fallback endpoints, in remote regions instead of
# the local one or vice versa, if none of the preferred ones is selected.
OVERFLOW_SHARE = 0.04
# Maximum number of such requests in one burst.
OVERFLOW_BURST = 3.0


class Demand:
    """Smoothed number of slots that the requests of one service occupy."""

    def __init__(self, now: float) -> None:
        self._slot_seconds = 0.0
        self._updated_at = now
        self._started_at = now

    def add(self, duration_s: float, now: float) -> None:
        """Record a request that is expected to occupy a slot for ``duration_s``."""
        self._decay(now)
        self._slot_seconds += duration_s

    def required_slots(self, now: float) -> float:
        """Return the number of slots that the recent requests require."""
        self._decay(now)
        # The exponentially weighted sum covers less than the full window at first.
        age_s = max(0.1, now - self._started_at)
        covered_s = DEMAND_WINDOW_S * (1.0 - math.exp(-age_s / DEMAND_WINDOW_S))
        return self._slot_seconds / covered_s

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._slot_seconds *= math.exp(-elapsed_s / DEMAND_WINDOW_S)


class Spillover:
    """Share of the requests of one service that other regions serve."""

    def __init__(self, now: float) -> None:
        self.share = 0.0
        self._updated_at = now
        self._is_initialized = False
        self._overflow_tokens = OVERFLOW_BURST

    def update(
        self, demand_slots: float, local_slots: float, remote_slots: float, now: float
    ) -> None:
        """Move the share towards the target for the current demand."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        target = target_share(demand_slots, local_slots, remote_slots)
        if not local_slots or not remote_slots:
            # Only one side has slots. Keep the share until both have some again.
            return
        if not self._is_initialized:
            # All caches are cold and the demand is unknown, so use all slots equally.
            self._is_initialized = True
            self.share = remote_slots / (local_slots + remote_slots)
            return
        step = MAX_SHARE_CHANGE_PER_S * elapsed_s
        self.share += min(step, max(-step, target - self.share))

    def restore(self, share: float, now: float) -> None:
        """Continue with the share of a previous dispatcher."""
        self.share = share
        self._is_initialized = True
        self._updated_at = now

    def try_acquire_overflow(self) -> bool:
        """Take an overflow token and return whether one was left."""
        if self._overflow_tokens < 1.0:
            return False
        self._overflow_tokens -= 1.0
        return True

    def count(self) -> None:
        """Record a request, which adds to the overflow allowance."""
        self._overflow_tokens = min(
            OVERFLOW_BURST, self._overflow_tokens + OVERFLOW_SHARE
        )


@dataclasses.dataclass
class ServiceTraffic:
    """Demand and regional distribution of the requests of one service."""

    demand: Demand
    spillover: Spillover


def target_share(demand_slots: float, local_slots: float, remote_slots: float) -> float:
    """Return the share that keeps the local region at its target utilization."""
    if not remote_slots:
        return 0.0
    if not local_slots:
        return 1.0
    excess = demand_slots - LOCAL_UTILIZATION_TARGET * local_slots
    if excess <= 0 or demand_slots <= 0:
        return 0.0
    return min(excess / demand_slots, remote_slots / (local_slots + remote_slots))
