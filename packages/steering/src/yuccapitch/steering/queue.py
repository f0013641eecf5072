"""Queue of requests for slots, ordered by class.

Impatient work goes first. Requests that would miss their deadline are refused.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

import result

from yuccapitch.catalogue import model

RESERVED_FRACTION = 0.25
"""Fraction of the slots reserved for impatient work; patient work may borrow them."""
MIN_PATIENT_SHARE = 1 / 16
"""Share of slot time guaranteed to waiting patient work."""
SERVICE_TIME_MARGIN = 4.0
"""Multiple of the expected service time that must remain after the wait."""
MAX_MARGIN_FRACTION = 0.5
"""Largest fraction of the time to the deadline that the service time margin may use."""
MAX_WAITING = 1024


class ShedReason(enum.Enum):
    """Reason for refusing a request before it is sent; each means `not-run`."""

    WAIT_PASSES_DEADLINE = "wait-passes-deadline"
    QUEUE_FULL = "queue-full"
    EXPIRED = "expired"
    NO_ENDPOINT = "no-endpoint"
    EVICTED = "evicted-by-impatient-work"
    POOL_MOVED = "pool-moved"
    """The pool has a new owner."""


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request waiting for a slot or granted one."""

    request_id: str
    patience: model.Patience
    deadline: float
    expected_service_s: float
    preemptible: bool = False
    """Whether it may be cancelled while running and restarted (read-only)."""


@dataclasses.dataclass(frozen=True)
class Shed:
    """A request refused before it was sent."""

    request_id: str
    reason: ShedReason


class RequestQueue:
    """Queue that orders the requests for one pool of slots by class."""

    def __init__(self, slots: int, max_waiting: int = MAX_WAITING) -> None:
        self.slots = slots
        self.max_waiting = max_waiting
        self.min_patient_share = MIN_PATIENT_SHARE
        self.patient_in_flight = 0
        self._impatient_s_since_patient = 0.0
        self._waiting_by_patience: dict[
            model.Patience, collections.OrderedDict[str, QueuedRequest]
        ] = {patience: collections.OrderedDict() for patience in model.Patience}
        self._preemptible_by_id: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._waiting_by_patience.values())

    def waiting_count(self, patience: model.Patience) -> int:
        """Return the number of queued requests of a class."""
        return len(self._waiting_by_patience[patience])

    @property
    def reserved_slots(self) -> int:
        """Slots reserved for impatient work; at least one is left to patient work."""
        return max(0, min(self.slots - 1, round(self.slots * RESERVED_FRACTION)))

    def expected_wait_s(
        self, patience: model.Patience, expected_service_s: float
    ) -> float:
        """Estimate the wait of a request that arrives now and finds no free slot."""
        ahead = len(self._waiting_by_patience[model.Patience.IMPATIENT])
        slots = self.slots
        if patience is model.Patience.PATIENT:
            ahead += len(self._waiting_by_patience[model.Patience.PATIENT])
            slots -= self.reserved_slots
        return (ahead + 1) * expected_service_s / max(1, slots)

    def offer(
        self, request: QueuedRequest, now: float
    ) -> result.Result[tuple[Shed, ...], Shed]:
        """Queue a request; return those it evicted, or why it is refused."""
        wait_s = 0.0
        if len(self):
            # The estimate is not applied to an empty queue: one that is too high would
            # reject the very requests whose service times correct it.
            wait_s = self.expected_wait_s(request.patience, request.expected_service_s)
            wait_s += _service_margin_s(request, now)
        if now + wait_s >= request.deadline:
            return result.Err(Shed(request.request_id, ShedReason.WAIT_PASSES_DEADLINE))
        evicted: tuple[Shed, ...] = ()
        if len(self) >= self.max_waiting:
            patient = self._waiting_by_patience[model.Patience.PATIENT]
            if request.patience is model.Patience.PATIENT or not patient:
                return result.Err(Shed(request.request_id, ShedReason.QUEUE_FULL))
            # Evict the newest request so that the oldest ones keep advancing.
            newest_id, _ = patient.popitem(last=True)
            evicted = (Shed(newest_id, ShedReason.EVICTED),)
        self._waiting_by_patience[request.patience][request.request_id] = request
        return result.Ok(evicted)

    def drop_expired(self, now: float) -> tuple[Shed, ...]:
        """Remove the requests whose deadline has passed."""
        dropped = []
        for waiting in self._waiting_by_patience.values():
            expired = [w.request_id for w in waiting.values() if w.deadline <= now]
            for request_id in expired:
                del waiting[request_id]
                dropped.append(Shed(request_id, ShedReason.EXPIRED))
        return tuple(dropped)

    def clear(self) -> tuple[Shed, ...]:
        """Remove all queued requests because no endpoint takes new ones."""
        cleared = []
        for waiting in self._waiting_by_patience.values():
            cleared += [Shed(w, ShedReason.NO_ENDPOINT) for w in waiting]
            waiting.clear()
        return tuple(cleared)

    def remove(self, request_id: str) -> bool:
        """Remove a request whose caller has left; return whether it was queued."""
        for waiting in self._waiting_by_patience.values():
            if waiting.pop(request_id, None) is not None:
                return True
        return False

    def startable_requests(self, now: float) -> tuple[QueuedRequest, ...]:
        """Return the next request of each class that may start, in order.

        The second one is used if no free slot suits the first.
        """
        impatient = self._first_unexpired(model.Patience.IMPATIENT, now)
        patient = self._first_unexpired(model.Patience.PATIENT, now)
        if patient is not None and not self._patient_may_start(patient):
            patient = None
        order = [impatient, patient]
        if patient is not None and self._is_patient_work_starved(patient):
            order.reverse()
        return tuple(request for request in order if request is not None)

    def start(self, request: QueuedRequest) -> None:
        """Record that a request was granted a slot."""
        self._waiting_by_patience[request.patience].pop(request.request_id, None)
        if request.patience is model.Patience.IMPATIENT:
            self._impatient_s_since_patient += request.expected_service_s
            return
        self._impatient_s_since_patient = 0.0
        self.patient_in_flight += 1
        if request.preemptible:
            self._preemptible_by_id[request.request_id] = request

    def finish(self, request: QueuedRequest) -> None:
        """Record that a started request released its slot."""
        if request.patience is model.Patience.PATIENT:
            self.patient_in_flight -= 1
            self._preemptible_by_id.pop(request.request_id, None)

    def preempt(self) -> QueuedRequest | None:
        """Return a patient request on a borrowed slot to cancel and requeue, or None.

        Call this when impatient work waits and no slot is free.
        """
        if not self._waiting_by_patience[model.Patience.IMPATIENT]:
            return None
        if self.patient_in_flight <= self.slots - self.reserved_slots:
            return None
        if not self._preemptible_by_id:
            return None
        # The newest request loses the least progress.
        return self._preemptible_by_id.pop(next(reversed(self._preemptible_by_id)))

    def _first_unexpired(
        self, patience: model.Patience, now: float
    ) -> QueuedRequest | None:
        for request in self._waiting_by_patience[patience].values():
            if request.deadline > now:
                return request
        return None

    def _is_patient_work_starved(self, patient: QueuedRequest) -> bool:
        # The share is measured in slot time instead of requests, because a patient
        # request may take far longer than an impatient one.
        total_s = self._impatient_s_since_patient + patient.expected_service_s
        return patient.expected_service_s <= self.min_patient_share * total_s

    def _patient_may_start(self, request: QueuedRequest) -> bool:
        if self.patient_in_flight < self.slots - self.reserved_slots:
            return True
        return request.preemptible and self.patient_in_flight < self.slots


def _service_margin_s(request: QueuedRequest, now: float) -> float:
    margin_s = SERVICE_TIME_MARGIN * request.expected_service_s
    return min(margin_s, MAX_MARGIN_FRACTION * (request.deadline - now))
