"""Detection of an event loop that runs late.

A loop is late because of a long step of its own or because the machine gives the
process no processor. Whatever arrives meanwhile waits in the kernel.
"""

from __future__ import annotations

import asyncio
import collections

from yuccapitch.protocol import events

CHECK_INTERVAL_S = 0.25
MIN_LOGGED_LAG_S = 0.2
# Number of checks that the recent lag covers: ten seconds or more.
RECENT_CHECKS = 40


class RecentLag:
    """The largest lag of the last checks."""

    def __init__(self) -> None:
        self._lags_s: collections.deque[float] = collections.deque(maxlen=RECENT_CHECKS)

    @property
    def max_s(self) -> float:
        """The largest lag, in seconds; 0 without any check."""
        return max(self._lags_s, default=0.0)

    def record(self, lag_s: float) -> None:
        """Add the lag of one check."""
        self._lags_s.append(lag_s)


async def run(recent_lag: RecentLag | None = None) -> None:
    """Check periodically, until cancelled, by how much the loop is late."""
    recent_lag = recent_lag or RecentLag()
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + CHECK_INTERVAL_S
        await asyncio.sleep(CHECK_INTERVAL_S)
        now = loop.time()
        recent_lag.record(now - due_at)
        report_lag(due_at, now)


def report_lag(due_at: float, now: float) -> None:
    """Log a long time, in seconds, between when a timer was due and when it ran."""
    lag_s = now - due_at
    if lag_s >= MIN_LOGGED_LAG_S:
        events.event("process.stalled", lag_ms=round(lag_s * 1000))
