"""Bounds the retries of one service to a part of its requests."""

from __future__ import annotations

BUDGET_RATIO = 0.1
"""Retries allowed for each first attempt."""
BUDGET_BURST = 10.0


class RetryBudget:
    """Token bucket of one service: first attempts fill it, retries spend it."""

    def __init__(
        self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_BURST
    ) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def record_first_attempt(self) -> None:
        """Add a first attempt's part of a retry."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take the token of one retry, if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
