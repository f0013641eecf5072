"""Durations that both roles share."""

from __future__ import annotations

from yuccapitch.protocol import link as inner_link

# Polls and log messages show that a peer is there; the heartbeat is for idle links.
LINK_TIMING = inner_link.LinkTiming(heartbeat_interval_s=1.0, timeout_s=2.5)
# Time between two looks at what waits for a place; well below any objective.
TICK_INTERVAL_S = 0.02
# The same where another instance dispatches: only the loss of that one gives work.
IDLE_TICK_INTERVAL_S = 0.1
