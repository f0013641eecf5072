"""Growing allowances for regions and endpoints whose caches are cold."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Hashable

RAMP_FLOOR = 0.1
RAMP_DURATION_S = 30.0
COLD_AFTER_S = 60.0


@dataclasses.dataclass(frozen=True)
class Warmth:
    """When load began after a cold spell, and when it was last seen."""

    started_at: float
    last_load_at: float


def after_load(warmth: Warmth | None, now: float) -> Warmth:
    """Notes load; a ramp starts anew after a time without any."""
    if warmth is None or now - warmth.last_load_at > COLD_AFTER_S:
        return Warmth(now, now)
    return Warmth(warmth.started_at, max(now, warmth.last_load_at))


def fraction(
    warmth: Warmth | None,
    now: float,
    floor: float = RAMP_FLOOR,
    duration_s: float = RAMP_DURATION_S,
) -> float:
    """Part of the full allowance, from the floor to 1 over the duration."""
    if warmth is None or now - warmth.last_load_at > COLD_AFTER_S:
        return floor
    elapsed_s = max(0.0, now - warmth.started_at)
    return min(1.0, floor + (1.0 - floor) * elapsed_s / duration_s)


def allowance(
    warmth: Warmth | None,
    full: int,
    now: float,
    floor: float = RAMP_FLOOR,
    duration_s: float = RAMP_DURATION_S,
) -> int:
    """Units allowed of a full share; at least one, or the ramp could not start."""
    units = math.floor(full * fraction(warmth, now, floor, duration_s))
    return min(full, max(1, units))


@dataclasses.dataclass
class _Restored:
    last_load_at: float
    is_lost: bool = False
    ramp_from: float | None = None
    credit: float = 0.0


class RestoredRamps:
    """Ramps of places that came back after a loss with cold caches."""

    def __init__(self) -> None:
        self._restored_by_place: dict[Hashable, _Restored] = {}

    def lose(self, place: Hashable, now: float) -> None:
        """Note that a place cannot serve."""
        restored = self._restored_by_place.setdefault(place, _Restored(now))
        restored.is_lost = True

    def takes(self, place: Hashable, now: float) -> bool:
        """Whether a place that can serve should take the next request."""
        restored = self._restored_by_place.setdefault(place, _Restored(now))
        if restored.is_lost:
            restored.is_lost = False
            # A short loss leaves the caches warm.
            if now - restored.last_load_at > COLD_AFTER_S:
                restored.ramp_from = now
        restored.last_load_at = now
        if restored.ramp_from is None:
            return True
        part = fraction(Warmth(restored.ramp_from, now), now)
        if part >= 1.0:
            restored.ramp_from = None
            return True
        restored.credit += part
        if restored.credit < 1.0:
            return False
        restored.credit -= 1.0
        return True
