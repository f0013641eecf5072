"""Limit of the retries of a service to a fraction of its requests."""

from __future__ import annotations

BUDGET_RATIO = 0.1
"""Number of retries that each first attempt adds to the budget."""
BUDGET_BURST = 10.0


class RetryBudget:
    """Token bucket of one service: first attempts add to it, retries take from it."""

    def __init__(
        self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_BURST
    ) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def record_first_attempt(self) -> None:
        """Add the tokens of a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take the token of one retry; return false if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
