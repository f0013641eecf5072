"""The leader's record of the states that entry instances may act on.

An entry instance acts on a state of the leader under a lease, which starts for the
instance when it sends a poll and for the leader when it answers, so that it ends at
the instance first (Gray and Cheriton, "Leases", SOSP 1989). An order is in force once
no instance holds a lease on an older state.
"""

from __future__ import annotations

from yuccapitch.steering import clock_drift

# Tolerates one lost poll at the usual poll interval, and is short enough that an order
# is acknowledged within seconds although an instance is suspended.
LEASE_DURATION_S = 2.5

NO_STATE_INDEX = 0
"""Index of the state before the first order; requests cannot be served by it."""


class StateLeases:
    """Expiry of the leases of all entry instances, by the index of the state."""

    def __init__(self) -> None:
        """Create a record without leases."""
        self._expiries_by_holder_id: dict[str, dict[int, float]] = {}
        self._earlier_leases_expire_at = float("-inf")

    def begin_leadership(self, state_index: int, now: float) -> None:
        """Start anew for a new leader that has applied ``state_index``.

        Its predecessor's leases are unknown, so that any instance may act on an older
        state until the last of them has expired.
        """
        self._expiries_by_holder_id.clear()
        self._earlier_leases_expire_at = float("-inf")
        if state_index > NO_STATE_INDEX:
            self._earlier_leases_expire_at = now + _leader_lease_s()

    def grant(
        self, holder_id: str, applied_index: int, current_index: int, now: float
    ) -> None:
        """Grant a lease on the current state to an instance that is sent it.

        A lease on an older state is not renewed, but lasts until it expires or the
        instance reports that it has applied a newer state.
        """
        self.record_applied(holder_id, applied_index)
        expiries = self._expiries_by_holder_id.setdefault(holder_id, {})
        expiries[current_index] = now + _leader_lease_s()

    def record_applied(self, holder_id: str, applied_index: int) -> None:
        """Replace an instance's leases on older states by one on the applied state."""
        expiries = self._expiries_by_holder_id.get(holder_id, {})
        for index in [index for index in expiries if index < applied_index]:
            expires_at = max(expiries.pop(index), expiries.get(applied_index, 0.0))
            expiries[applied_index] = expires_at

    def expire(self, now: float) -> None:
        """Remove the leases that have expired."""
        for holder_id, expiries in list(self._expiries_by_holder_id.items()):
            for index in [i for i, expires_at in expiries.items() if expires_at <= now]:
                del expiries[index]
            if not expiries:
                del self._expiries_by_holder_id[holder_id]

    def holders_behind(self, state_index: int, now: float) -> list[str]:
        """Return the instances with a lease on a state older than ``state_index``."""
        return [
            holder_id
            for holder_id, expiries in self._expiries_by_holder_id.items()
            if _older_expiry(expiries, state_index) > now
        ]

    def in_force_at(self, state_index: int, now: float) -> float:
        """Return when the last lease on an older state expires, or ``now`` if none."""
        older = [
            _older_expiry(expiries, state_index)
            for expiries in self._expiries_by_holder_id.values()
        ]
        return max([now, self._earlier_leases_expire_at, *older])


def _leader_lease_s() -> float:
    return LEASE_DURATION_S * clock_drift.CLOCK_DRIFT_FACTOR


def _older_expiry(expiries: dict[int, float], state_index: int) -> float:
    older = (
        expires_at
        for index, expires_at in expiries.items()
        if NO_STATE_INDEX < index < state_index
    )
    return max(older, default=float("-inf"))
