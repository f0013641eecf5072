"""Rate limit of requests to an endpoint that is warming up."""

from __future__ import annotations

# Requests that may be sent to a cold endpoint in one burst.
BURST_REQUESTS = 2.0
# Fraction of the permitted rate that is used, so that network jitter does not push the
# arrival rate above it.
RATE_UTILIZATION = 0.9


class ColdStartLimiter:
    """Token bucket that limits the request rate of one cold endpoint."""

    def __init__(self, rate_per_s: float, share: float, now: float) -> None:
        """Limit to ``share`` of ``rate_per_s``; other dispatchers may use the rest.

        Without a share, no request may be sent.
        """
        self._permitted_rate_per_s = rate_per_s
        self._tokens = 0.0
        self._updated_at = now
        self._set_share(share)
        self._tokens = min(1.0, self._burst)

    def update(self, share: float, now: float) -> None:
        """Limit to another share from now on; a higher one gives no burst."""
        self._refill(now)
        self._set_share(share)

    def has_token(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        self._refill(now)
        return self._tokens >= 1.0

    def acquire(self, now: float) -> None:
        """Take a token for a request that is sent."""
        self._refill(now)
        self._tokens -= 1.0

    def _set_share(self, share: float) -> None:
        self._rate_per_s = self._permitted_rate_per_s * share * RATE_UTILIZATION
        self._burst = max(1.0, BURST_REQUESTS * share) if share > 0 else 0.0
        self._tokens = min(self._tokens, self._burst)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate_per_s)
