"""State machine: order, bounds and progress of the request queue."""

from __future__ import annotations

import hypothesis
import pytest
import result
from hypothesis import stateful, strategies

from yuccapitch.catalogue import model
from yuccapitch.steering import queue

IMPATIENT = model.Patience.IMPATIENT
PATIENT = model.Patience.PATIENT
SLOTS = 4
MAX_WAITING = 12


def _next(waiting_queue: queue.RequestQueue, now: float) -> queue.QueuedRequest | None:
    return next(iter(waiting_queue.startable_requests(now)), None)


class QueueMachine(stateful.RuleBasedStateMachine):
    """Requests arrive, start and end in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = queue.RequestQueue(SLOTS, MAX_WAITING)
        self.now = 0.0
        self.number = 0
        self.running: list[queue.QueuedRequest] = []
        self.impatient_starts = 0

    @stateful.rule(
        patient=strategies.booleans(),
        preemptible=strategies.booleans(),
        limit_s=strategies.sampled_from([0.0, 0.5, 5.0, 1000.0]),
    )
    def offer(self, patient: bool, preemptible: bool, limit_s: float) -> None:
        """Offer a request; only patient requests are ever evicted."""
        self.number += 1
        request = queue.QueuedRequest(
            str(self.number),
            PATIENT if patient else IMPATIENT,
            self.now + limit_s,
            0.02,
            patient and preemptible,
        )
        waiting_patient = self.queue.waiting_count(PATIENT)
        offered = self.queue.offer(request, self.now)
        if limit_s == 0.0:
            assert isinstance(offered, result.Err)
        if isinstance(offered, result.Ok) and offered.ok_value:
            assert not patient
            assert self.queue.waiting_count(PATIENT) == waiting_patient - 1
        if isinstance(offered, result.Err) and not patient and limit_s > 100.0:
            assert not waiting_patient, "impatient work was refused before patient"

    @stateful.rule()
    def start(self) -> None:
        """Start the next request on a free slot."""
        if len(self.running) >= SLOTS:
            return
        running_patient = [w for w in self.running if w.patience is PATIENT]
        may_start = len(running_patient) < SLOTS - self.queue.reserved_slots
        patient_waits = self.queue.waiting_count(PATIENT) and may_start
        request = _next(self.queue, self.now)
        if request is None:
            return
        assert request.deadline > self.now
        self.queue.start(request)
        self.running.append(request)
        if request.patience is IMPATIENT:
            self.impatient_starts = self.impatient_starts + 1 if patient_waits else 0
            assert (
                self.impatient_starts <= 1 / queue.MIN_PATIENT_SHARE
            ), "patient work starves"
            return
        self.impatient_starts = 0
        if not request.preemptible:
            assert may_start, "non-preemptible work holds reserved slots"

    @stateful.rule(index=strategies.integers(0, SLOTS - 1))
    def finish(self, index: int) -> None:
        """End a running request."""
        if index < len(self.running):
            self.queue.finish(self.running.pop(index))

    @stateful.rule()
    def preempt_borrowed(self) -> None:
        """Preempt a borrowed slot, as the pool does for impatient work."""
        preempted = self.queue.preempt()
        if preempted is not None:
            assert preempted.preemptible and preempted in self.running
            self.running.remove(preempted)
            self.queue.finish(preempted)

    @stateful.rule(step_s=strategies.sampled_from([0.1, 1.0]))
    def wait(self, step_s: float) -> None:
        """Let time pass and drop expired requests."""
        self.now += step_s
        self.queue.drop_expired(self.now)

    @stateful.invariant()
    def bounded(self) -> None:
        """The queue length is bounded and patient requests are counted exactly."""
        assert len(self.queue) <= MAX_WAITING
        assert self.queue.patient_in_flight == sum(
            w.patience is PATIENT for w in self.running
        )


NO_PATIENT_SHARE = 0.0
"""Minimum patient share of a broken variant: impatient work always goes first."""


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=50, deadline=None
)


def _patient_starts_under_steady_impatient_work(share: float) -> bool:
    waiting_queue = queue.RequestQueue(SLOTS)
    waiting_queue.min_patient_share = share
    waiting_queue.offer(queue.QueuedRequest("p", PATIENT, 1e9, 0.02), 0.0)
    for number in range(100):
        waiting_queue.offer(queue.QueuedRequest(str(number), IMPATIENT, 1e9, 0.02), 0.0)
        request = _next(waiting_queue, 0.0)
        assert request is not None
        waiting_queue.start(request)
        waiting_queue.finish(request)
        if request.request_id == "p":
            return True
    return False


def test_queue_patient_work_starts_under_steady_impatient_work() -> None:
    assert _patient_starts_under_steady_impatient_work(queue.MIN_PATIENT_SHARE)
    assert not _patient_starts_under_steady_impatient_work(NO_PATIENT_SHARE)


def test_queue_refuses_wait_beyond_deadline() -> None:
    waiting_queue = queue.RequestQueue(1)
    assert waiting_queue.offer(
        queue.QueuedRequest("a", IMPATIENT, 1.0, 0.6), 0.0
    ).is_ok()
    assert waiting_queue.offer(
        queue.QueuedRequest("b", IMPATIENT, 1.0, 0.6), 0.0
    ) == result.Err(queue.Shed("b", queue.ShedReason.WAIT_PASSES_DEADLINE))


def test_queue_denies_reserved_slots_to_non_preemptible_work() -> None:
    waiting_queue = queue.RequestQueue(4)
    for number in range(4):
        waiting_queue.offer(queue.QueuedRequest(str(number), PATIENT, 9.0, 0.02), 0.0)
    for _ in range(3):
        request = _next(waiting_queue, 0.0)
        assert request is not None
        waiting_queue.start(request)
    assert _next(waiting_queue, 0.0) is None


def test_queue_machine_without_reserve_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(queue, "RESERVED_FRACTION", 0.0)
    waiting_queue = queue.RequestQueue(4)
    for number in range(4):
        waiting_queue.offer(queue.QueuedRequest(str(number), PATIENT, 9.0, 0.02), 0.0)
    for _ in range(3):
        request = _next(waiting_queue, 0.0)
        assert request is not None
        waiting_queue.start(request)
    assert _next(waiting_queue, 0.0) is not None
