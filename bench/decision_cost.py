"""Measures the processor time to request, grant and release a slot of a pool."""

from __future__ import annotations

import random
import time

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import health, pool, slots

ROUNDS = 5000


def main() -> None:
    """Print the microseconds per request for several numbers of endpoints."""
    for endpoints in (2, 4, 7, 20):
        print(f"{endpoints:3} endpoints: {decision_time_us(endpoints):6.1f} us/request")


def decision_time_us(endpoints: int) -> float:
    """Return the processor time to grant and release one slot, in microseconds."""
    table = slots.SlotTable(term=1, lease_until=1e9, longest_deadline_s=5.0)
    for number in range(endpoints):
        table.add_endpoint(ids.EndpointId(f"b{number}"), 4)
    slot_pool = pool.SlotPool(table, health.HealthView(), random.Random(1))
    started = time.process_time()
    for number in range(ROUNDS):
        now = number / 1000.0
        ask = pool.SlotRequest(
            str(number), ids.InstanceId("e"), model.Patience.IMPATIENT, "r", now + 1.0
        )
        for decision in slot_pool.request_slot(ask, now):
            assert isinstance(decision, pool.Granted)
            hold = decision.hold
            slot_pool.release(
                hold.term, hold.number, health.ExchangeOutcome.ANSWERED, 0.02, now
            )
    return (time.process_time() - started) / ROUNDS * 1e6


if __name__ == "__main__":
    main()
