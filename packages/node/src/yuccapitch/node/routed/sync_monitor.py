"""Durations of the writes to the disk of the replicated log."""

from __future__ import annotations

from yuccapitch.protocol import events

# An election or a change takes several writes, so that slower ones are felt by callers.
SLOW_SYNC_S = 0.1


class SyncMonitor:
    """Keeps the last and the longest duration; logs the slow writes."""

    def __init__(self) -> None:
        self.last_s = 0.0
        self.longest_s = 0.0

    def observe(self, duration_s: float) -> None:
        """Record how long a write took, with its syncs."""
        self.last_s = duration_s
        self.longest_s = max(self.longest_s, duration_s)
        if duration_s >= SLOW_SYNC_S:
            events.event("log.sync-slow", duration_ms=round(1000 * duration_s))
