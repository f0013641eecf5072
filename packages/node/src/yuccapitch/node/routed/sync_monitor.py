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
        self._lacks_space = False

    def observe(self, duration_s: float) -> None:
        """Record how long a write took, with its syncs."""
        if self._lacks_space:
            self._lacks_space = False
            events.event("log.space-found")
        self.last_s = duration_s
        self.longest_s = max(self.longest_s, duration_s)
        if duration_s >= SLOW_SYNC_S:
            events.event("log.sync-slow", duration_ms=round(1000 * duration_s))

    def on_no_space(self, error: OSError) -> None:
        """Log that a write finds no space, once until one succeeds."""
        if not self._lacks_space:
            self._lacks_space = True
            events.event("log.no-space", error=str(error))
