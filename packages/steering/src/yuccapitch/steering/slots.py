"""Table of endpoint slots at their owner, with the holder and expiry of each."""

from __future__ import annotations

import dataclasses
import enum
import heapq

import result

from yuccapitch.catalogue import ids

RELEASE_GRACE_S = 0.25
"""Time after its deadline during which a request may still occupy an endpoint."""


class SlotRefusal(enum.Enum):
    """Reason for not granting a slot."""

    NO_FREE_SLOT = "no-free-slot"
    NOT_OWNER = "not-owner"
    LEASE_LAPSED = "lease-lapsed"
    DEADLINE_PASSED = "deadline-passed"


@dataclasses.dataclass(frozen=True)
class Hold:
    """One slot of an endpoint, held for one request."""

    term: int
    number: int
    endpoint_id: ids.EndpointId
    holder: ids.InstanceId
    work_deadline: float
    """Deadline passed on to the endpoint, at which the exchange is closed."""
    reclaim_at: float
    """Time at which the owner reclaims the slot if no release has arrived."""


@dataclasses.dataclass(frozen=True)
class Quarantine:
    """Slots that requests of an earlier owner may still occupy."""

    slots: int
    until: float


class SlotTable:
    """Slots of the endpoints that one entry instance owns under a lease.

    `term` must differ between two ownerships by the same instance, so that a release
    from the first cannot free a slot of the second.
    """

    def __init__(self, *, term: int, lease_until: float, longest_deadline_s: float):
        self.term = term
        self.lease_until = lease_until
        self.longest_deadline_s = longest_deadline_s
        self._last_number = 0
        self._endpoints_by_id: dict[ids.EndpointId, _EndpointSlots] = {}
        self._holds_by_number: dict[int, Hold] = {}
        self._reclaim_heap: list[tuple[float, int]] = []

    @property
    def endpoint_ids(self) -> tuple[ids.EndpointId, ...]:
        """Endpoints whose slots this table grants."""
        return tuple(self._endpoints_by_id)

    @property
    def holds(self) -> tuple[Hold, ...]:
        """All slots currently held."""
        return tuple(self._holds_by_number.values())

    def renew(self, lease_until: float) -> None:
        """Extend the ownership lease; an outdated renewal has no effect."""
        self.lease_until = max(self.lease_until, lease_until)

    def add_endpoint(
        self,
        endpoint_id: ids.EndpointId,
        slots: int,
        quarantines: tuple[Quarantine, ...] = (),
    ) -> None:
        """Add an endpoint, or change its number of slots."""
        known = self._endpoints_by_id.get(endpoint_id)
        if known is None:
            known = self._endpoints_by_id[endpoint_id] = _EndpointSlots(slots)
        known.slots = slots
        known.quarantines = [*known.quarantines, *quarantines]

    def remove_endpoint(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> tuple[Quarantine, ...]:
        """Remove an endpoint; return the quarantines for its next owner.

        Quarantines inherited from an earlier owner are passed on.
        """
        endpoint = self._endpoints_by_id.pop(endpoint_id, None)
        if endpoint is None:
            return ()
        holds = [h for h in self.holds if h.endpoint_id == endpoint_id]
        for hold in holds:
            del self._holds_by_number[hold.number]
        held = [Quarantine(1, hold.reclaim_at) for hold in holds]
        inherited = [q for q in endpoint.quarantines if q.until > now]
        return tuple(held + inherited)

    def free(self, endpoint_id: ids.EndpointId, now: float) -> int:
        """Return the number of slots of the endpoint that may be acquired now."""
        if now >= self.lease_until:
            return 0
        self.reclaim(now)
        endpoint = self._endpoints_by_id.get(endpoint_id)
        return 0 if endpoint is None else endpoint.free(now)

    def slots(self, endpoint_id: ids.EndpointId) -> int:
        """Return the declared number of slots of an owned endpoint."""
        endpoint = self._endpoints_by_id.get(endpoint_id)
        return 0 if endpoint is None else endpoint.slots

    def held(self, endpoint_id: ids.EndpointId) -> int:
        """Return the number of held slots of an owned endpoint."""
        endpoint = self._endpoints_by_id.get(endpoint_id)
        return 0 if endpoint is None else endpoint.held

    def usable_slots(self, endpoint_id: ids.EndpointId, now: float) -> int:
        """Return the number of slots of an owned endpoint outside quarantine."""
        endpoint = self._endpoints_by_id.get(endpoint_id)
        return 0 if endpoint is None else endpoint.usable(now)

    def usable_at(self, endpoint_id: ids.EndpointId, now: float) -> float:
        """Return `now`, or when a slot of an owned endpoint leaves quarantine."""
        return self._endpoints_by_id[endpoint_id].usable_at(now)

    def hold(self, number: int) -> Hold | None:
        """Return the hold with the number, or None if the slot is no longer held."""
        return self._holds_by_number.get(number)

    def acquire(
        self,
        endpoint_id: ids.EndpointId,
        holder: ids.InstanceId,
        deadline: float,
        now: float,
    ) -> result.Result[Hold, SlotRefusal]:
        """Acquire a slot for one request."""
        if now >= self.lease_until:
            return result.Err(SlotRefusal.LEASE_LAPSED)
        if deadline <= now:
            return result.Err(SlotRefusal.DEADLINE_PASSED)
        endpoint = self._endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return result.Err(SlotRefusal.NOT_OWNER)
        self.reclaim(now)
        if endpoint.free(now) <= 0:
            return result.Err(SlotRefusal.NO_FREE_SLOT)
        # If this owner is lost, the next one quarantines its slots for the longest
        # deadline after the lease, so no request may run longer than that.
        work_deadline = min(deadline, now + self.longest_deadline_s)
        self._last_number += 1
        hold = Hold(
            self.term,
            self._last_number,
            endpoint_id,
            holder,
            work_deadline,
            work_deadline + RELEASE_GRACE_S,
        )
        endpoint.held += 1
        self._holds_by_number[hold.number] = hold
        heapq.heappush(self._reclaim_heap, (hold.reclaim_at, hold.number))
        return result.Ok(hold)

    def release(self, term: int, number: int) -> Hold | None:
        """Release a slot; a duplicate release or one of another term has no effect."""
        if term != self.term:
            return None
        hold = self._holds_by_number.pop(number, None)
        if hold is not None and hold.endpoint_id in self._endpoints_by_id:
            self._endpoints_by_id[hold.endpoint_id].held -= 1
        return hold

    def reclaim(self, now: float) -> tuple[Hold, ...]:
        """Reclaim slots whose release message must have been lost."""
        reclaimed = []
        while self._reclaim_heap and self._reclaim_heap[0][0] <= now:
            _, number = heapq.heappop(self._reclaim_heap)
            hold = self.release(self.term, number)
            if hold is not None:
                reclaimed.append(hold)
        return tuple(reclaimed)


def quarantines_after_owner_loss(
    slots: int, *, lease_end: float, longest_deadline_s: float
) -> tuple[Quarantine, ...]:
    """Return the quarantines of an endpoint whose owner was lost.

    Any of its slots may hold a request with the longest deadline of the service.
    """
    until = lease_end + longest_deadline_s + RELEASE_GRACE_S
    return (Quarantine(slots, until),)


def connection_share(connections: int, declared_instances: int) -> int:
    """Return the number of connections that each instance of a region may open.

    Dividing by the declared instances instead of the live ones keeps the sum within
    the endpoint's limit without agreement on which instances are live.
    """
    return connections // max(1, declared_instances)


@dataclasses.dataclass
class _EndpointSlots:
    slots: int
    held: int = 0
    quarantines: list[Quarantine] = dataclasses.field(default_factory=list)

    def usable(self, now: float) -> int:
        if self.quarantines:
            self.quarantines = [q for q in self.quarantines if q.until > now]
        return self._outside_quarantine(now)

    def usable_at(self, now: float) -> float:
        if self.usable(now) or not self.quarantines:
            return now
        ends = sorted(quarantine.until for quarantine in self.quarantines)
        return next((end for end in ends if self._outside_quarantine(end)), ends[-1])

    def free(self, now: float) -> int:
        return self.usable(now) - self.held

    def _outside_quarantine(self, at: float) -> int:
        return max(
            0, self.slots - sum(q.slots for q in self.quarantines if q.until > at)
        )
