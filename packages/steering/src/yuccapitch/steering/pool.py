"""Slot pool at its owner: grants slots to local and forwarded requests."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable, Mapping

import result

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import endpoint_choice, health, queue, shed_limits, slots

MIN_RETRY_AFTER_S = 0.1


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """A request for a slot of the pool."""

    request_id: str
    holder: ids.InstanceId
    patience: model.Patience
    route: str
    deadline: float
    preemptible: bool = False
    avoided: frozenset[ids.EndpointId] = frozenset()
    """Endpoints that must not serve the request."""
    avoided_until_by_id: Mapping[ids.EndpointId, float] = dataclasses.field(
        default_factory=dict
    )
    """Endpoints that may serve the request only from a time on."""

    def avoided_at(self, now: float) -> frozenset[ids.EndpointId]:
        """Return the endpoints that must not serve the request now."""
        return self.avoided | {
            endpoint_id
            for endpoint_id, until in self.avoided_until_by_id.items()
            if now < until
        }


@dataclasses.dataclass(frozen=True)
class Granted:
    """Decision that the holder may send the request to the endpoint now."""

    request: SlotRequest
    hold: slots.Hold


@dataclasses.dataclass(frozen=True)
class Refused:
    """Decision that the request gets no slot; it was not sent (`not-run`)."""

    request: SlotRequest
    reason: queue.ShedReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Preempted:
    """Decision that the holder must cancel the exchange and request a slot again."""

    request: SlotRequest
    hold: slots.Hold


Decision = Granted | Refused | Preempted


class SlotPool:
    """Slots, request queue and endpoint selection of a pool of endpoints.

    Methods return the decisions to deliver to the holders, in order.
    """

    def __init__(
        self,
        table: slots.SlotTable,
        view: health.HealthView,
        rng: random.Random,
        policy: str = endpoint_choice.DEFAULT_POLICY,
    ) -> None:
        self.table = table
        self.view = view
        self.policy = policy
        self.shed_limits = shed_limits.ShedLimits()
        self._rng = rng
        self._queue = queue.RequestQueue(0)
        self._median_slowness = 1.0
        self._closed_ids: frozenset[ids.EndpointId] = frozenset()
        self._requests_by_id: dict[str, SlotRequest] = {}
        self._granted_by_number: dict[int, tuple[SlotRequest, queue.QueuedRequest]] = {}
        self._numbers_by_request_id: dict[str, int] = {}

    def set_closed_endpoints(self, endpoint_ids: Iterable[ids.EndpointId]) -> None:
        """Set the endpoints that get no new requests (leaving, drained)."""
        self._closed_ids = frozenset(endpoint_ids)

    def own_endpoint(
        self,
        endpoint_id: ids.EndpointId,
        slots_: int,
        quarantines: tuple[slots.Quarantine, ...],
        now: float,
    ) -> tuple[Decision, ...]:
        """Take ownership of an endpoint, or change its number of slots."""
        self.table.add_endpoint(endpoint_id, slots_, quarantines)
        return self.tick(now)

    def release_endpoint(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> tuple[slots.Quarantine, ...]:
        """Release ownership of an endpoint; return the quarantines for its next owner.

        Requests in flight continue, and their releases have no effect here. If no
        endpoint is left, the next tick refuses the queued requests.
        """
        self._reclaim(now)
        for hold in self.table.holds:
            if hold.endpoint_id == endpoint_id:
                self._finish_hold(hold)
        return self.table.remove_endpoint(endpoint_id, now)

    @property
    def is_open(self) -> bool:
        """Whether any endpoint takes new requests, perhaps after a quarantine."""
        return bool(self._open_ids())

    @property
    def running(self) -> int:
        """Number of requests that were granted a slot and have not released it."""
        return len(self._granted_by_number)

    def waiting_count(self, patience: model.Patience) -> int:
        """Return the number of queued requests of a class."""
        return self._queue.waiting_count(patience)

    def waiting_requests(self, patience: model.Patience) -> tuple[SlotRequest, ...]:
        """Return the queued requests of a class in order."""
        requests = self._requests_by_id.values()
        return tuple(r for r in requests if r.patience is patience)

    def free(self, now: float) -> int:
        """Return the number of free slots at endpoints that take new requests."""
        self._reclaim(now)
        return sum(self._free_slots(e, now) for e in self._open_ids())

    def usable_slots(self) -> int:
        """Return the last count of slots at endpoints that take new requests."""
        return self._queue.slots

    def avoids_all(self, request: SlotRequest, now: float) -> bool:
        """Return whether the request may use none of the endpoints now."""
        return request.avoided_at(now).issuperset(self._open_ids())

    def request_slot(self, request: SlotRequest, now: float) -> tuple[Decision, ...]:
        """Queue a request, grant free slots and preempt patient work if needed."""
        self._reclaim(now)
        self._update_slot_count(now)
        if self.avoids_all(request, now):
            return (self._refusal(request, queue.ShedReason.NO_ENDPOINT),)
        usable_at = self._usable_at(request, now)
        if usable_at > now and usable_at >= request.deadline:
            wait_s = max(MIN_RETRY_AFTER_S, usable_at - now)
            return (Refused(request, queue.ShedReason.NO_ENDPOINT, wait_s),)
        offered = self._offer(request, now)
        if isinstance(offered, result.Err):
            return (self._refusal(request, offered.err_value.reason),)
        decisions: list[Decision] = self._refuse_shed(offered.ok_value)
        decisions += self._grant_waiting(now)
        return tuple(decisions + self._preempt())

    def grant_from_other_queue(
        self, request: SlotRequest, now: float
    ) -> tuple[Decision, ...]:
        """Grant a free slot to a request that waits in the queue of another pool.

        Without a grant the request is not queued here. Requests that wait in this
        pool go first.
        """
        self._reclaim(now)
        self._update_slot_count(now)
        # A full queue would evict a request for one that does not stay in it.
        is_full = len(self._queue) >= self._queue.max_waiting
        if is_full or self.waiting_count(request.patience):
            return ()
        if self.avoids_all(request, now):
            return ()
        if isinstance(self._offer(request, now), result.Err):
            return ()
        decisions = self._grant_waiting(now)
        if self._queue.remove(request.request_id):
            del self._requests_by_id[request.request_id]
        return tuple(decisions)

    def release(
        self,
        term: int,
        number: int,
        outcome: health.ExchangeOutcome | None,
        service_s: float,
        now: float,
    ) -> tuple[Decision, ...]:
        """Release a slot; `outcome` is None if it gives no information on health."""
        self._reclaim(now)
        hold = self.table.release(term, number)
        if hold is not None:
            request = self._finish_hold(hold)
            if outcome is not None and request is not None:
                self.view.observe_exchange(
                    hold.endpoint_id, outcome, request.route, service_s, now
                )
            if outcome is health.ExchangeOutcome.SHED:
                held = self.table.held(hold.endpoint_id)
                self.shed_limits.record(hold.endpoint_id, held, now)
        return tuple(self._grant_waiting(now))

    def cancel(self, request_id: str, now: float) -> tuple[Decision, ...]:
        """Remove a request from the queue if it still waits."""
        self._reclaim(now)
        if self._queue.remove(request_id):
            del self._requests_by_id[request_id]
        return tuple(self._grant_waiting(now))

    def pop_waiting(self) -> tuple[SlotRequest, ...]:
        """Remove and return the queued requests, for a pool that gets another owner."""
        requests = tuple(self._requests_by_id.values())
        self._requests_by_id.clear()
        for request in requests:
            self._queue.remove(request.request_id)
        return requests

    def tick(self, now: float) -> tuple[Decision, ...]:
        """Reclaim slots, drop expired requests and grant free slots.

        Must be called several times a second.
        """
        self._reclaim(now)
        self._update_slot_count(now)
        self._median_slowness = self.view.median_slowness(self._open_ids(), now)
        decisions: list[Decision] = self._refuse_shed(self._queue.drop_expired(now))
        if not self._open_ids():
            # No endpoint of this pool can serve the requests, but another pool may.
            decisions += self._refuse_shed(self._queue.clear())
        return tuple(decisions + self._grant_waiting(now))

    def _open_ids(self) -> list[ids.EndpointId]:
        return [e for e in self.table.endpoint_ids if e not in self._closed_ids]

    def _usable_at(self, request: SlotRequest, now: float) -> float:
        """Return when a slot that the request may use is outside quarantine."""
        return min(
            self.table.usable_at(endpoint_id, now)
            for endpoint_id in self._open_ids()
            if endpoint_id not in request.avoided
        )

    def _offer(
        self, request: SlotRequest, now: float
    ) -> result.Result[tuple[queue.Shed, ...], queue.Shed]:
        queued = queue.QueuedRequest(
            request.request_id,
            request.patience,
            request.deadline,
            self._expected_service_s(request),
            request.preemptible,
        )
        offered = self._queue.offer(queued, now)
        if isinstance(offered, result.Ok):
            self._requests_by_id[request.request_id] = request
        return offered

    def _expected_service_s(self, request: SlotRequest) -> float:
        return self.view.typical_service_s(request.route) * self._median_slowness

    def _free_slots(self, endpoint_id: ids.EndpointId, now: float) -> int:
        slots_ = self.table.slots(endpoint_id)
        withheld = slots_ - self.shed_limits.limit(endpoint_id, slots_, now)
        return max(0, self.table.free(endpoint_id, now) - withheld)

    def _reclaim(self, now: float) -> None:
        # Called before other methods of the table: they reclaim expired holds as well,
        # but do not return them, and the requests would stay recorded as running.
        for hold in self.table.reclaim(now):
            self._finish_hold(hold)

    def _update_slot_count(self, now: float) -> None:
        self._queue.slots = sum(
            self.table.usable_slots(endpoint_id, now)
            for endpoint_id in self._open_ids()
        )

    def _grant_waiting(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while (granted := self._grant_next(now)) is not None:
            decisions.append(granted)
        return decisions

    def _grant_next(self, now: float) -> Granted | None:
        for queued in self._queue.startable_requests(now):
            request = self._requests_by_id[queued.request_id]
            hold = self._acquire(request, queued, now)
            if hold is None:
                continue
            self._queue.start(queued)
            del self._requests_by_id[request.request_id]
            self._granted_by_number[hold.number] = (request, queued)
            self._numbers_by_request_id[request.request_id] = hold.number
            return Granted(request, hold)
        return None

    def _acquire(
        self, request: SlotRequest, queued: queue.QueuedRequest, now: float
    ) -> slots.Hold | None:
        endpoint_ids = self._open_ids()
        free_by_id = {e: self._free_slots(e, now) for e in endpoint_ids}
        if not any(free > 0 for free in free_by_id.values()):
            return None
        estimates_by_id = self.view.relative_estimates(endpoint_ids, now)
        candidates = [
            endpoint_choice.Candidate(
                endpoint_id,
                self.table.slots(endpoint_id),
                free_by_id[endpoint_id],
                estimates_by_id[endpoint_id].slowness,
                estimates_by_id[endpoint_id].doubtful,
            )
            for endpoint_id in endpoint_ids
        ]
        profile = endpoint_choice.RequestProfile(
            request.patience,
            queued.expected_service_s,
            self._queue.expected_wait_s(request.patience, queued.expected_service_s),
            request.avoided_at(now),
        )
        chosen = endpoint_choice.choose(candidates, profile, self._rng, self.policy)
        if chosen is None:
            return None
        acquired = self.table.acquire(chosen, request.holder, request.deadline, now)
        return acquired.ok_value if isinstance(acquired, result.Ok) else None

    def _preempt(self) -> list[Decision]:
        queued = self._queue.preempt()
        if queued is None:
            return []
        number = self._numbers_by_request_id[queued.request_id]
        hold = self.table.hold(number)
        if hold is None:
            return []
        return [Preempted(self._granted_by_number[number][0], hold)]

    def _finish_hold(self, hold: slots.Hold) -> SlotRequest | None:
        started = self._granted_by_number.pop(hold.number, None)
        if started is None:
            return None
        request, queued = started
        self._numbers_by_request_id.pop(request.request_id, None)
        self._queue.finish(queued)
        return request

    def _refuse_shed(self, sheds: Iterable[queue.Shed]) -> list[Decision]:
        return [
            self._refusal(self._requests_by_id.pop(shed.request_id), shed.reason)
            for shed in sheds
        ]

    def _refusal(self, request: SlotRequest, reason: queue.ShedReason) -> Refused:
        wait_s = self._queue.expected_wait_s(
            request.patience, self._expected_service_s(request)
        )
        return Refused(request, reason, max(MIN_RETRY_AFTER_S, wait_s))
