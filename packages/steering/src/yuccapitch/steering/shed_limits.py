"""Lowers how many requests may be in flight at an endpoint that sheds early."""

from __future__ import annotations

from yuccapitch.catalogue import ids

RECOVERY_INTERVAL_S = 1.0
"""Time after which one more request than before may be in flight."""


class ShedLimits:
    """Requests that each endpoint lately accepted at once."""

    def __init__(self, recovery_s: float = RECOVERY_INTERVAL_S) -> None:
        self.recovery_s = recovery_s
        self._sheds_by_id: dict[ids.EndpointId, tuple[int, float]] = {}

    def record(self, endpoint_id: ids.EndpointId, held: int, now: float) -> None:
        """Record a shed while `held` other requests were in flight."""
        self._sheds_by_id[endpoint_id] = (max(1, held), now)

    def limit(self, endpoint_id: ids.EndpointId, slots: int, now: float) -> int:
        """Return how many requests may be in flight now."""
        shed = self._sheds_by_id.get(endpoint_id)
        if shed is None:
            return slots
        held, shed_at = shed
        limit = held + int((now - shed_at) / self.recovery_s)
        if limit >= slots:
            del self._sheds_by_id[endpoint_id]
        return min(slots, limit)
