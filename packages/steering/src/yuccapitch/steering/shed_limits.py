"""Concurrency limits of endpoints that shed requests below their slot count."""

from __future__ import annotations

from yuccapitch.catalogue import ids

RECOVERY_INTERVAL_S = 1.0
"""Time after which the limit grows by one request."""


class ShedLimits:
    """Concurrency limit of each endpoint, by the sheds that it reported recently."""

    def __init__(self, recovery_s: float = RECOVERY_INTERVAL_S) -> None:
        self.recovery_s = recovery_s
        self._sheds_by_id: dict[ids.EndpointId, tuple[int, float]] = {}

    def record(self, endpoint_id: ids.EndpointId, held: int, now: float) -> None:
        """Record that a request was shed while `held` others were in flight."""
        self._sheds_by_id[endpoint_id] = (max(1, held), now)

    def limit(self, endpoint_id: ids.EndpointId, slots: int, now: float) -> int:
        """Return the number of requests that may be in flight now."""
        shed = self._sheds_by_id.get(endpoint_id)
        if shed is None:
            return slots
        held, shed_at = shed
        limit = held + int((now - shed_at) / self.recovery_s)
        if limit >= slots:
            del self._sheds_by_id[endpoint_id]
        return min(slots, limit)
