"""Bound on the drift of clocks that measure leases on different instances."""

from __future__ import annotations

MAX_CLOCK_DRIFT = 0.01
CLOCK_DRIFT_FACTOR = (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
"""Largest ratio between the rates of two clocks that drift within the bound."""
