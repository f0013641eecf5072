"""Pacing of the requests to an endpoint that has named a limit of their rate."""

from __future__ import annotations

# Lower limits, also zero, are treated as this one. The few requests show whether the
# endpoint still names its limit.
MIN_RATE_PER_S = 0.2


class RequestRateLimiter:
    """Spaces requests evenly, so that none are sent in a burst.

    This is the generic cell rate algorithm (ITU-T I.371) without a burst tolerance.
    """

    def __init__(self, rate_per_s: float, named_at: float) -> None:
        """Limit to ``rate_per_s`` requests per second, named at ``named_at``."""
        self._interval_s = 1.0 / max(MIN_RATE_PER_S, rate_per_s)
        self._named_at = named_at
        # The request that was answered with the limit counts towards it.
        self._next_send_at = named_at + self._interval_s

    @property
    def rate_per_s(self) -> float:
        """The limit of all instances together, in requests per second."""
        return 1.0 / self._interval_s

    def update(self, rate_per_s: float, named_at: float) -> None:
        """Apply the limit of a later response."""
        former_s = self._interval_s
        self._interval_s = 1.0 / max(MIN_RATE_PER_S, rate_per_s)
        self._named_at = max(self._named_at, named_at)
        # Keeps the place of the next request within a higher or lower rate.
        self._next_send_at += self._interval_s - former_s

    def ends_before(self, sent_at: float) -> bool:
        """Return whether a request sent then was sent after the limit was last named.

        Responses to earlier requests may name none because they were generated before.
        """
        return sent_at > self._named_at

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return now >= self._next_send_at

    def record_send(self, now: float, share: float) -> None:
        """Record a request; other instances may use what ``share`` leaves."""
        self._next_send_at = max(now, self._next_send_at) + self._interval_s / share
