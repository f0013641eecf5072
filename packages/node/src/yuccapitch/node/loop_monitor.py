"""Detection of an event loop that runs late, and of steps of the time of day.

A loop is late because of a long step of its own or because the machine gives the
process no processor. Whatever arrives meanwhile waits in the kernel.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time

from yuccapitch.protocol import events

CHECK_INTERVAL_S = 0.25
MIN_LOGGED_LAG_S = 0.2
# Least step of the time of day that is logged; smaller ones correct a drift.
MIN_LOGGED_STEP_S = 0.2
# Number of checks that the recent lag covers: ten seconds or more.
RECENT_CHECKS = 40


class RecentLag:
    """The largest lag of the last checks, and when the last one was."""

    def __init__(self, now: float) -> None:
        """Create a record without checks; ``now`` is the time since boot."""
        self.checked_at = now
        self._lags_s: collections.deque[float] = collections.deque(maxlen=RECENT_CHECKS)

    @property
    def max_s(self) -> float:
        """The largest lag, in seconds; 0 without any check."""
        return max(self._lags_s, default=0.0)

    def record(self, lag_s: float, now: float) -> None:
        """Add the lag of one check, made at a time since boot."""
        self.checked_at = now
        self._lags_s.append(lag_s)


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """The time of day and the time since boot, read in the same moment."""

    time_of_day_s: float
    boot_time_s: float

    @property
    def offset_s(self) -> float:
        """The time of day at which the machine was booted."""
        return self.time_of_day_s - self.boot_time_s


async def run(recent_lag: RecentLag | None = None) -> None:
    """Check periodically, until cancelled, how late the loop is and the clocks."""
    loop = asyncio.get_running_loop()
    clocks = read_clocks()
    recent_lag = recent_lag or RecentLag(clocks.boot_time_s)
    while True:
        due_at = loop.time() + CHECK_INTERVAL_S
        await asyncio.sleep(CHECK_INTERVAL_S)
        now = loop.time()
        last_clocks, clocks = clocks, read_clocks()
        recent_lag.record(now - due_at, clocks.boot_time_s)
        report_lag(due_at, now)
        report_step(last_clocks, clocks)


def signal_delay_s(age_s: float) -> float:
    """Return by how much a signal was late at most, 0 if the loop ran in time.

    ``age_s`` is the time since the last check, after which the signal came.
    """
    return age_s if age_s >= CHECK_INTERVAL_S + MIN_LOGGED_LAG_S else 0.0


def report_lag(due_at: float, now: float) -> None:
    """Log a long time, in seconds, between when a timer was due and when it ran."""
    lag_s = now - due_at
    if lag_s >= MIN_LOGGED_LAG_S:
        events.event("process.stalled", lag_ms=round(lag_s * 1000))


def report_step(last: ClockReading, current: ClockReading) -> None:
    """Log a step of the time of day between two readings."""
    step_s = current.offset_s - last.offset_s
    if abs(step_s) >= MIN_LOGGED_STEP_S:
        events.event("process.clock-stepped", step_ms=round(step_s * 1000))


def read_clocks() -> ClockReading:
    """Read both clocks."""
    started_at = time.clock_gettime(time.CLOCK_BOOTTIME)
    while True:
        time_of_day = time.time()
        ended_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        # A process that is suspended between the calls reads them again.
        if ended_at - started_at < MIN_LOGGED_STEP_S / 2:
            return ClockReading(time_of_day, ended_at)
        started_at = ended_at
