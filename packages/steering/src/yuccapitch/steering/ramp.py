"""Slow start for regions and endpoints whose caches are cold."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Hashable

MIN_RAMP_FRACTION = 0.1
RAMP_DURATION_S = 30.0
COLD_AFTER_IDLE_S = 60.0


@dataclasses.dataclass(frozen=True)
class RampState:
    """Times of the first load after a cold period and of the last load."""

    started_at: float
    last_load_at: float


def record_load(ramp_state: RampState | None, now: float) -> RampState:
    """Record load; the ramp restarts after a period without load."""
    if ramp_state is None or now - ramp_state.last_load_at > COLD_AFTER_IDLE_S:
        return RampState(now, now)
    return RampState(ramp_state.started_at, max(now, ramp_state.last_load_at))


def fraction(
    ramp_state: RampState | None,
    now: float,
    min_fraction: float = MIN_RAMP_FRACTION,
    duration_s: float = RAMP_DURATION_S,
) -> float:
    """Return the allowed fraction, which grows to 1 over the duration."""
    if ramp_state is None or now - ramp_state.last_load_at > COLD_AFTER_IDLE_S:
        return min_fraction
    elapsed_s = max(0.0, now - ramp_state.started_at)
    return min(1.0, min_fraction + (1.0 - min_fraction) * elapsed_s / duration_s)


def allowance(
    ramp_state: RampState | None,
    full: int,
    now: float,
    min_fraction: float = MIN_RAMP_FRACTION,
    duration_s: float = RAMP_DURATION_S,
) -> int:
    """Return the allowed units of a full share.

    At least one unit is allowed; otherwise the ramp would never start.
    """
    units = math.floor(full * fraction(ramp_state, now, min_fraction, duration_s))
    return min(full, max(1, units))


@dataclasses.dataclass
class _RecoveryState:
    last_load_at: float
    is_unavailable: bool = False
    ramp_started_at: float | None = None
    credit: float = 0.0


class RecoveryRamps:
    """Slow start of locations that recover from an outage with cold caches.

    A key identifies a location, such as a service in a region.
    """

    def __init__(self) -> None:
        self._states_by_key: dict[Hashable, _RecoveryState] = {}

    def mark_unavailable(self, key: Hashable, now: float) -> None:
        """Record that the location cannot serve requests."""
        state = self._states_by_key.setdefault(key, _RecoveryState(now))
        state.is_unavailable = True

    def should_admit(self, key: Hashable, now: float) -> bool:
        """Return whether the available location should serve the next request."""
        state = self._states_by_key.setdefault(key, _RecoveryState(now))
        if state.is_unavailable:
            state.is_unavailable = False
            # Caches stay warm over a short outage.
            if now - state.last_load_at > COLD_AFTER_IDLE_S:
                state.ramp_started_at = now
        state.last_load_at = now
        if state.ramp_started_at is None:
            return True
        admitted_fraction = fraction(RampState(state.ramp_started_at, now), now)
        if admitted_fraction >= 1.0:
            state.ramp_started_at = None
            return True
        state.credit += admitted_fraction
        if state.credit < 1.0:
            return False
        state.credit -= 1.0
        return True
