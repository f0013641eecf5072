"""Detection of an event loop that runs late.

A loop is late because of a long step of its own or because the machine gives the
process no processor. Whatever arrives meanwhile waits in the kernel.
"""

from __future__ import annotations

import asyncio

from yuccapitch.protocol import events

CHECK_INTERVAL_S = 0.25
MIN_LOGGED_LAG_S = 0.2


async def run() -> None:
    """Check periodically, until cancelled, by how much the loop is late."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + CHECK_INTERVAL_S
        await asyncio.sleep(CHECK_INTERVAL_S)
        report_lag(due_at, loop.time())


def report_lag(due_at: float, now: float) -> None:
    """Log a long time, in seconds, between when a timer was due and when it ran."""
    lag_s = now - due_at
    if lag_s >= MIN_LOGGED_LAG_S:
        events.event("process.stalled", lag_ms=round(lag_s * 1000))
