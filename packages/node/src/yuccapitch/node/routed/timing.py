"""Timing constants of both roles."""

from __future__ import annotations

from yuccapitch.protocol import link as inner_link

# Polls and log messages already show that a peer is alive; heartbeats cover idle links.
LINK_TIMING = inner_link.LinkTiming(heartbeat_interval_s=1.0, timeout_s=2.5)
# Interval of checks for requests that wait for a place, well below any latency
# objective.
TICK_INTERVAL_S = 0.02
# Interval of these checks while another instance is the region's dispatcher. There is
# nothing to do until that dispatcher is lost.
IDLE_TICK_INTERVAL_S = 0.1
# Part of the grace period in which the process ends, which takes longer on a busy
# machine.
EXIT_MARGIN_S = 0.2
