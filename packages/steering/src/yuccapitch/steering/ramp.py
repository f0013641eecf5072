"""Growing allowances for regions and endpoints whose caches are cold."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Hashable

MIN_RAMP_FRACTION = 0.1
RAMP_DURATION_S = 30.0
COLD_AFTER_IDLE_S = 60.0


@dataclasses.dataclass(frozen=True)
class RampState:
    """When load began after a cold spell, and when it was last seen."""

    started_at: float
    last_load_at: float


def record_load(warmth: RampState | None, now: float) -> RampState:
    """Notes load; a ramp starts anew after a time without any."""
    if warmth is None or now - warmth.last_load_at > COLD_AFTER_IDLE_S:
        return RampState(now, now)
    return RampState(warmth.started_at, max(now, warmth.last_load_at))


def fraction(
    warmth: RampState | None,
    now: float,
    floor: float = MIN_RAMP_FRACTION,
    duration_s: float = RAMP_DURATION_S,
) -> float:
    """Part of the full allowance, from the floor to 1 over the duration."""
    if warmth is None or now - warmth.last_load_at > COLD_AFTER_IDLE_S:
        return floor
    elapsed_s = max(0.0, now - warmth.started_at)
    return min(1.0, floor + (1.0 - floor) * elapsed_s / duration_s)


def allowance(
    warmth: RampState | None,
    full: int,
    now: float,
    floor: float = MIN_RAMP_FRACTION,
    duration_s: float = RAMP_DURATION_S,
) -> int:
    """Units allowed of a full share; at least one, or the ramp could not start."""
    units = math.floor(full * fraction(warmth, now, floor, duration_s))
    return min(full, max(1, units))


@dataclasses.dataclass
class _RecoveryState:
    last_load_at: float
    is_unavailable: bool = False
    ramp_started_at: float | None = None
    credit: float = 0.0


class RecoveryRamps:
    """Ramps of places that came back after a loss with cold caches."""

    def __init__(self) -> None:
        self._states_by_place: dict[Hashable, _RecoveryState] = {}

    def mark_unavailable(self, place: Hashable, now: float) -> None:
        """Note that a place cannot serve."""
        restored = self._states_by_place.setdefault(place, _RecoveryState(now))
        restored.is_unavailable = True

    def should_admit(self, place: Hashable, now: float) -> bool:
        """Whether a place that can serve should take the next request."""
        restored = self._states_by_place.setdefault(place, _RecoveryState(now))
        if restored.is_unavailable:
            restored.is_unavailable = False
            # A short loss leaves the caches warm.
            if now - restored.last_load_at > COLD_AFTER_IDLE_S:
                restored.ramp_started_at = now
        restored.last_load_at = now
        if restored.ramp_started_at is None:
            return True
        part = fraction(RampState(restored.ramp_started_at, now), now)
        if part >= 1.0:
            restored.ramp_started_at = None
            return True
        restored.credit += part
        if restored.credit < 1.0:
            return False
        restored.credit -= 1.0
        return True
