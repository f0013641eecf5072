"""State machine: requests in flight at an endpoint never exceed its slots."""

from __future__ import annotations

import dataclasses

import hypothesis
import pytest
import result
from hypothesis import stateful, strategies

from yuccapitch.catalogue import ids
from yuccapitch.steering import slots

ENDPOINT = ids.EndpointId("b1")
SLOTS = 4
LEASE_S = 4.0
IMPATIENT_S = 0.5
LONGEST_S = 5.0


@dataclasses.dataclass
class Request:
    """A request whose holder may send it late and lose its release."""

    hold: slots.Hold
    arrives_at: float
    ends_at: float


class SlotMachine(stateful.RuleBasedStateMachine):
    """Ownership changes, holders are slow and release messages get lost."""

    quarantine = True
    reclaim_early_s = 0.0

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.term = 1
        self.requests: list[Request] = []
        self.table = self._table()
        self.table.add_endpoint(ENDPOINT, SLOTS)

    @stateful.rule(
        patient=strategies.booleans(),
        delay_s=strategies.sampled_from([0.0, 0.003, 0.055]),
        service_s=strategies.sampled_from([0.01, 0.2, 10.0]),
    )
    def dispatch(self, patient: bool, delay_s: float, service_s: float) -> None:
        """Acquire a slot for a local or remote holder and send the request."""
        limit_s = LONGEST_S if patient else IMPATIENT_S
        holder = ids.InstanceId("patient" if patient else "impatient")
        acquired = self.table.acquire(ENDPOINT, holder, self.now + limit_s, self.now)
        if isinstance(acquired, result.Err):
            return
        hold = acquired.ok_value
        arrives_at = self.now + delay_s
        # The endpoint stops at the deadline passed on to it.
        ends_at = min(arrives_at + service_s, hold.work_deadline)
        self.requests.append(Request(hold, arrives_at, ends_at))

    @stateful.rule(is_lost=strategies.booleans(), is_duplicated=strategies.booleans())
    def release(self, is_lost: bool, is_duplicated: bool) -> None:
        """End a request; its release may be lost or sent twice."""
        if not self.requests:
            return
        request = min(self.requests, key=lambda r: r.ends_at)
        self.requests.remove(request)
        self.now = max(self.now, request.ends_at)
        if not is_lost:
            for _ in range(1 + is_duplicated):
                self.table.release(request.hold.term, request.hold.number)

    @stateful.rule(step_s=strategies.sampled_from([0.01, 0.3, 1.0, 6.0]))
    def wait(self, step_s: float) -> None:
        """Let time pass; the owner keeps its lease."""
        self.now += step_s
        self.table.renew(self.now + LEASE_S)
        self.requests = [r for r in self.requests if r.ends_at > self.now]

    @stateful.rule()
    def take_over(self) -> None:
        """Lose the owner; the next one starts when the lease has lapsed."""
        lease_end = self.table.lease_until
        old = self.table
        self.now = max(self.now, lease_end)
        assert isinstance(
            old.acquire(ENDPOINT, ids.InstanceId("old"), self.now + 1, self.now),
            result.Err,
        )
        self.requests = [r for r in self.requests if r.ends_at > self.now]
        self.term += 1
        self.table = self._table()
        quarantines = slots.quarantines_after_owner_loss(
            SLOTS,
            lease_end=lease_end,
            longest_deadline_s=LONGEST_S,
        )
        self.table.add_endpoint(ENDPOINT, SLOTS, quarantines if self.quarantine else ())

    @stateful.rule()
    def hand_over(self) -> None:
        """Move the endpoint to a new owner that receives quarantines for the holds."""
        quarantines = self.table.remove_endpoint(ENDPOINT, self.now)
        self.term += 1
        self.table = self._table()
        self.table.add_endpoint(ENDPOINT, SLOTS, quarantines if self.quarantine else ())

    @stateful.invariant()
    def never_above_slots(self) -> None:
        """Count the requests running at the endpoint."""
        running = [r for r in self.requests if r.arrives_at <= self.now < r.ends_at]
        assert len(running) <= SLOTS

    def _table(self) -> slots.SlotTable:
        return slots.SlotTable(
            term=self.term,
            lease_until=self.now + LEASE_S,
            longest_deadline_s=LONGEST_S,
        )


class WithoutQuarantine(SlotMachine):
    """Broken variant: a new owner counts every slot as free."""

    quarantine = False


TestSlotMachine = SlotMachine.TestCase
TestSlotMachine.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=30, deadline=None
)


def test_slot_machine_second_hand_over_passes_quarantines_on() -> None:
    first = slots.SlotTable(term=1, lease_until=9.0, longest_deadline_s=5.0)
    first.add_endpoint(ENDPOINT, 2)
    first.acquire(ENDPOINT, ids.InstanceId("e1"), 1.0, 0.0).unwrap()
    second = slots.SlotTable(term=2, lease_until=9.0, longest_deadline_s=5.0)
    second.add_endpoint(ENDPOINT, 2, first.remove_endpoint(ENDPOINT, 0.0))
    assert second.free(ENDPOINT, 0.1) == 1
    third = slots.SlotTable(term=3, lease_until=9.0, longest_deadline_s=5.0)
    third.add_endpoint(ENDPOINT, 2, second.remove_endpoint(ENDPOINT, 0.1))
    assert third.free(ENDPOINT, 0.2) == 1


def test_slot_machine_without_quarantine_fails() -> None:
    settings = hypothesis.settings(
        max_examples=200,
        stateful_step_count=30,
        deadline=None,
        database=None,
        derandomize=True,
        report_multiple_bugs=False,
        phases=[hypothesis.Phase.generate],
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(WithoutQuarantine, settings=settings)
