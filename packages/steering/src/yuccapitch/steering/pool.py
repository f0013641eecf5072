"""The owner's side of a pool: grants its slots to requests, own and forwarded."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

import result

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import endpoint_choice, health, queue, shed_limits, slots

MIN_RETRY_AFTER_S = 0.1


@dataclasses.dataclass(frozen=True)
class Ask:
    """A request that needs a slot of the pool."""

    request_id: str
    holder: ids.InstanceId
    patience: model.Patience
    route: str
    deadline: float
    recallable: bool = False
    avoided: frozenset[ids.EndpointId] = frozenset()


@dataclasses.dataclass(frozen=True)
class Granted:
    """The holder may send the request to the endpoint now."""

    ask: Ask
    hold: slots.Hold


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request gets no slot; it has not been sent (`not-run`)."""

    ask: Ask
    reason: queue.ShedReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Recalled:
    """The holder is to cancel the exchange, release the slot and ask again."""

    ask: Ask
    hold: slots.Hold


Decision = Granted | Refused | Recalled


class SlotPool:
    """Slots, queue and endpoint choice of endpoints that are owned together.

    Each method returns what is to be told to the holders, in order.
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
        self._queue = queue.ClassQueue(0)
        self._ordinary_slowness = 1.0
        self._closed_ids: frozenset[ids.EndpointId] = frozenset()
        self._asks_by_id: dict[str, Ask] = {}
        self._started_by_number: dict[int, tuple[Ask, queue.Waiting]] = {}
        self._numbers_by_request_id: dict[str, int] = {}

    def close_endpoints(self, endpoint_ids: Iterable[ids.EndpointId]) -> None:
        """Set the endpoints that get no new work (leaving, drained)."""
        self._closed_ids = frozenset(endpoint_ids)

    def take_over(
        self,
        endpoint_id: ids.EndpointId,
        slots_: int,
        quarantines: tuple[slots.Quarantine, ...],
        now: float,
    ) -> tuple[Decision, ...]:
        """Own an endpoint from now on, or change its number of slots."""
        self.table.add_endpoint(endpoint_id, slots_, quarantines)
        return self.tick(now)

    def give_up(
        self, endpoint_id: ids.EndpointId, now: float
    ) -> tuple[slots.Quarantine, ...]:
        """Stop owning an endpoint; return what its next owner must quarantine.

        Requests in flight go on; their releases will have no effect here. The next
        tick refuses what waits if no endpoint is left.
        """
        self._reclaim(now)
        for hold in self.table.holds:
            if hold.endpoint_id == endpoint_id:
                self._finish(hold)
        return self.table.remove_endpoint(endpoint_id, now)

    @property
    def running(self) -> int:
        """Requests that were granted a slot and have not released it."""
        return len(self._started_by_number)

    def waiting(self, patience: model.Patience) -> int:
        """Return how many requests of a class wait."""
        return self._queue.waiting(patience)

    def free(self, now: float) -> int:
        """Return the free slots of the endpoints that take new work."""
        self._reclaim(now)
        return sum(self._free(e, now) for e in self._open_ids())

    def usable_slots(self) -> int:
        """Return the slots of the endpoints that take new work, as last counted."""
        return self._queue.slots

    def ask(self, ask: Ask, now: float) -> tuple[Decision, ...]:
        """Take in a request."""
        self._reclaim(now)
        self._count_slots(now)
        if ask.avoided.issuperset(self._open_ids()):
            return (self._refused(ask, queue.ShedReason.NO_ENDPOINT),)
        waiting = queue.Waiting(
            ask.request_id,
            ask.patience,
            ask.deadline,
            self._expected_service_s(ask),
            ask.recallable,
        )
        offered = self._queue.offer(waiting, now)
        if isinstance(offered, result.Err):
            return (self._refused(ask, offered.err_value.reason),)
        self._asks_by_id[ask.request_id] = ask
        decisions: list[Decision] = self._sheds(offered.ok_value)
        decisions += self._start(now)
        return tuple(decisions + self._recalls())

    def release(
        self,
        term: int,
        number: int,
        end: health.ExchangeEnd | None,
        service_s: float,
        now: float,
    ) -> tuple[Decision, ...]:
        """Take back a slot; `end` is none if the exchange told nothing."""
        self._reclaim(now)
        hold = self.table.release(term, number)
        if hold is not None:
            ask = self._finish(hold)
            if end is not None and ask is not None:
                self.view.observe_exchange(
                    hold.endpoint_id, end, ask.route, service_s, now
                )
            if end is health.ExchangeEnd.SHED:
                held = self.table.held(hold.endpoint_id)
                self.shed_limits.record(hold.endpoint_id, held, now)
        return tuple(self._start(now))

    def cancel(self, request_id: str, now: float) -> tuple[Decision, ...]:
        """Withdraw a request that may still be waiting."""
        self._reclaim(now)
        if self._queue.remove(request_id):
            del self._asks_by_id[request_id]
        return tuple(self._start(now))

    def take_waiting(self) -> tuple[Ask, ...]:
        """Empty the queue of a pool that is given up."""
        asks = tuple(self._asks_by_id.values())
        self._asks_by_id.clear()
        for ask in asks:
            self._queue.remove(ask.request_id)
        return asks

    def tick(self, now: float) -> tuple[Decision, ...]:
        """Do what the passing of time calls for; to be called some times a second."""
        self._reclaim(now)
        self._count_slots(now)
        self._ordinary_slowness = self.view.ordinary_slowness(self._open_ids(), now)
        decisions: list[Decision] = self._sheds(self._queue.drop_expired(now))
        if not self._open_ids():
            # Another pool may serve them; nothing here will.
            decisions += self._sheds(self._queue.clear())
        return tuple(decisions + self._start(now))

    def _open_ids(self) -> list[ids.EndpointId]:
        return [e for e in self.table.endpoint_ids if e not in self._closed_ids]

    def _expected_service_s(self, ask: Ask) -> float:
        return self.view.typical_service_s(ask.route) * self._ordinary_slowness

    def _free(self, endpoint_id: ids.EndpointId, now: float) -> int:
        slots_ = self.table.slots(endpoint_id)
        withheld = slots_ - self.shed_limits.limit(endpoint_id, slots_, now)
        return max(0, self.table.free(endpoint_id, now) - withheld)

    def _reclaim(self, now: float) -> None:
        # The table would also reclaim by itself, but tells only its caller.
        for hold in self.table.reclaim(now):
            self._finish(hold)

    def _count_slots(self, now: float) -> None:
        self._queue.slots = sum(
            self.table.usable_slots(endpoint_id, now)
            for endpoint_id in self._open_ids()
        )

    def _start(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while (granted := self._start_one(now)) is not None:
            decisions.append(granted)
        return decisions

    def _start_one(self, now: float) -> Granted | None:
        for waiting in self._queue.next_requests(now):
            ask = self._asks_by_id[waiting.request_id]
            hold = self._acquire(ask, waiting, now)
            if hold is None:
                continue
            self._queue.start(waiting)
            del self._asks_by_id[ask.request_id]
            self._started_by_number[hold.number] = (ask, waiting)
            self._numbers_by_request_id[ask.request_id] = hold.number
            return Granted(ask, hold)
        return None

    def _acquire(
        self, ask: Ask, waiting: queue.Waiting, now: float
    ) -> slots.Hold | None:
        endpoint_ids = self._open_ids()
        free_by_id = {e: self._free(e, now) for e in endpoint_ids}
        if not any(free > 0 for free in free_by_id.values()):
            return None
        standings_by_id = self.view.standings(endpoint_ids, now)
        candidates = [
            endpoint_choice.Candidate(
                endpoint_id,
                self.table.slots(endpoint_id),
                free_by_id[endpoint_id],
                standings_by_id[endpoint_id].slowness,
                standings_by_id[endpoint_id].doubtful,
            )
            for endpoint_id in endpoint_ids
        ]
        need = endpoint_choice.Need(
            ask.patience,
            waiting.expected_service_s,
            self._queue.expected_wait_s(ask.patience, waiting.expected_service_s),
            ask.avoided,
        )
        chosen = endpoint_choice.choose(candidates, need, self._rng, self.policy)
        if chosen is None:
            return None
        acquired = self.table.acquire(chosen, ask.holder, ask.deadline, now)
        return acquired.ok_value if isinstance(acquired, result.Ok) else None

    def _recalls(self) -> list[Decision]:
        waiting = self._queue.recall()
        if waiting is None:
            return []
        number = self._numbers_by_request_id[waiting.request_id]
        hold = self.table.hold(number)
        if hold is None:
            return []
        return [Recalled(self._started_by_number[number][0], hold)]

    def _finish(self, hold: slots.Hold) -> Ask | None:
        started = self._started_by_number.pop(hold.number, None)
        if started is None:
            return None
        ask, waiting = started
        self._numbers_by_request_id.pop(ask.request_id, None)
        self._queue.finish(waiting)
        return ask

    def _sheds(self, sheds: Iterable[queue.Shed]) -> list[Decision]:
        return [
            self._refused(self._asks_by_id.pop(shed.request_id), shed.reason)
            for shed in sheds
        ]

    def _refused(self, ask: Ask, reason: queue.ShedReason) -> Refused:
        wait_s = self._queue.expected_wait_s(
            ask.patience, self._expected_service_s(ask)
        )
        return Refused(ask, reason, max(MIN_RETRY_AFTER_S, wait_s))
