"""State machine: each request to a pool ends in one grant or one refusal."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import stateful, strategies

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import health, pool, slots

E1 = ids.InstanceId("e1")
ENDPOINTS = (ids.EndpointId("b1"), ids.EndpointId("b2"))


class PoolMachine(stateful.RuleBasedStateMachine):
    """Holders request and release slots, lose releases and disappear."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.number = 0
        self.waiting: set[str] = set()
        self.granted: dict[str, slots.Hold] = {}
        table = slots.SlotTable(term=1, lease_until=1e9, longest_deadline_s=5.0)
        for endpoint_id in ENDPOINTS:
            table.add_endpoint(endpoint_id, 2)
        self.pool = pool.SlotPool(table, health.HealthView(), random.Random(1))
        self.closed: frozenset[ids.EndpointId] = frozenset()

    @stateful.rule(patience=strategies.sampled_from(model.Patience))
    def send_request(self, patience: model.Patience) -> None:
        """Request a slot."""
        self.number += 1
        slot_request = pool.SlotRequest(
            str(self.number),
            E1,
            patience,
            patience.value,
            self.now + 1.0,
            patience is model.Patience.PATIENT,
        )
        self.waiting.add(slot_request.request_id)
        self._apply(self.pool.request_slot(slot_request, self.now))

    @stateful.rule(
        end=strategies.sampled_from([None, *health.ExchangeOutcome]),
        service_s=strategies.sampled_from([0.01, 0.02, 0.5]),
    )
    def release(self, end: health.ExchangeOutcome | None, service_s: float) -> None:
        """Release the oldest granted slot."""
        if self.granted:
            self._release(next(iter(self.granted)), end, service_s)

    @stateful.rule()
    def lose_release(self) -> None:
        """Lose a holder; its slot is reclaimed only after a time."""
        if self.granted:
            del self.granted[next(iter(self.granted))]

    @stateful.rule()
    def cancel(self) -> None:
        """Cancel a waiting request."""
        if self.waiting:
            request_id = min(self.waiting)
            self.waiting.remove(request_id)
            self._apply(self.pool.cancel(request_id, self.now))

    @stateful.rule(step_s=strategies.sampled_from([0.01, 0.5, 2.0]))
    def wait(self, step_s: float) -> None:
        """Let time pass."""
        self.now += step_s
        self._apply(self.pool.tick(self.now))

    @stateful.rule(step_s=strategies.sampled_from([0.01, 0.5, 2.0]))
    def wait_without_tick(self, step_s: float) -> None:
        """Let time pass while the pool is not called."""
        self.now += step_s

    @stateful.rule(closed=strategies.sets(strategies.sampled_from(ENDPOINTS)))
    def close(self, closed: set[ids.EndpointId]) -> None:
        """Close endpoints or open them again."""
        self.closed = frozenset(closed)
        self.pool.set_closed_endpoints(closed)
        self._apply(self.pool.tick(self.now))

    @stateful.invariant()
    def within_slots(self) -> None:
        """No endpoint has more holds than slots."""
        for endpoint_id in ENDPOINTS:
            holds = [h for h in self.pool.table.holds if h.endpoint_id == endpoint_id]
            assert len(holds) <= 2

    @stateful.invariant()
    def counts_agree(self) -> None:
        """The number of running requests equals the number of holds."""
        self.pool.free(self.now)
        assert self.pool.running == len(self.pool.table.holds)

    def teardown(self) -> None:
        """Every request has been granted or refused in the end."""
        self.now += 100.0
        self._apply(self.pool.tick(self.now))
        assert not self.waiting
        assert not self.pool.table.holds

    def _apply(self, decisions: tuple[pool.Decision, ...]) -> None:
        for decision in decisions:
            request_id = decision.request.request_id
            match decision:
                case pool.Granted(_, hold):
                    self.waiting.remove(request_id)
                    assert hold.endpoint_id not in self.closed
                    self.granted[request_id] = hold
                case pool.Refused():
                    self.waiting.remove(request_id)
                case pool.Preempted():
                    if request_id in self.granted:
                        self._release(request_id, None, 0.0)

    def _release(
        self, request_id: str, end: health.ExchangeOutcome | None, service_s: float
    ) -> None:
        hold = self.granted.pop(request_id)
        self._apply(self.pool.release(hold.term, hold.number, end, service_s, self.now))


TestPoolMachine = PoolMachine.TestCase
TestPoolMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
