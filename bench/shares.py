"""Measures how fast leased shares follow demand, faults and lowered limits.

The ledger and the holders are the production code. Delays are fixed and time is
simulated.
Run: python -m bench.shares [--holders N] [--slopes]
"""

from __future__ import annotations

import argparse
import dataclasses
import heapq
import itertools
import time
from collections.abc import Callable

from yuccapitch.protocol import lease_messages
from yuccapitch.steering import ledger, resources, share_holder

HOLDERS = 11
LIMIT = 1100
RENEWAL_INTERVAL_S = 1.0
ONE_WAY_DELAY_S = 0.055
STEADY_STATE_AT_S = 40.0
SAMPLE_INTERVAL_S = 0.05
MOVED_FRACTION = 0.9
RESOURCE_ID = resources.ResourceId("region:r1")


@dataclasses.dataclass
class LeaseModel:
    """A simulation of holders that renew their shares over links with a delay."""

    holders_by_id: dict[str, share_holder.ShareHolder]
    demand_by_id: dict[str, int]
    grantor: ledger.Ledger
    disconnected: set[str] = dataclasses.field(default_factory=set)
    now: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = dataclasses.field(
        default_factory=list
    )
    _order: itertools.count[int] = dataclasses.field(default_factory=itertools.count)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in simulated time."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action))

    def run_until(self, time_s: float) -> None:
        """Run the scheduled actions up to a time."""
        while self._events and self._events[0][0] <= time_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = time_s

    def time_until(self, condition: Callable[[], bool], limit_s: float = 60.0) -> float:
        """Return the simulated time until a condition holds, at most the limit."""
        started_at = self.now
        while not condition() and self.now < started_at + limit_s:
            self.run_until(self.now + SAMPLE_INTERVAL_S)
        return self.now - started_at

    def renew_periodically(self, holder_id: str) -> None:
        """Renew a holder's shares now and after each interval."""
        self.renew(holder_id)
        self.after(RENEWAL_INTERVAL_S, lambda: self.renew_periodically(holder_id))

    def renew(self, holder_id: str) -> None:
        """Send a renewal to the current grantor."""
        if holder_id in self.disconnected:
            return
        usage = share_holder.Usage(self.demand_by_id[holder_id])
        renewal = self.holders_by_id[holder_id].next_renewal(
            {RESOURCE_ID: usage}, self.now
        )
        self.after(ONE_WAY_DELAY_S, lambda: self._handle_renewal(renewal))

    def share(self, holder_id: str) -> int:
        """Return the units that a holder may use now."""
        return self.holders_by_id[holder_id].share(RESOURCE_ID, self.now)

    def total_share(self) -> int:
        """Return the units that all holders together may use now."""
        return sum(self.share(holder_id) for holder_id in self.holders_by_id)

    def _handle_renewal(self, renewal: lease_messages.ShareRenewal) -> None:
        answered = self.grantor.renew(renewal, self.now)
        if answered.is_ok():
            response = answered.unwrap()
            self.after(ONE_WAY_DELAY_S, lambda: self._apply_response(response))

    def _apply_response(self, response: lease_messages.ShareResponse) -> None:
        if response.holder_id in self.disconnected:
            return
        applied = self.holders_by_id[response.holder_id].apply(response, self.now)
        if (
            applied.is_ok()
            and applied.unwrap() is not share_holder.AppliedChange.SHARES
        ):
            self.renew(response.holder_id)


def build_resources(
    limit: int = LIMIT,
) -> dict[resources.ResourceId, resources.Resource]:
    """Return a single resource: the capacity of one region."""
    kind = resources.LimiterKind.CONCURRENCY
    return {RESOURCE_ID: resources.Resource(RESOURCE_ID, kind, limit)}


def create_steady_model(holders: int) -> LeaseModel:
    """Create a model with even demand and run it past the ledger's recovery."""
    holder_ids = [f"e{number:02}" for number in range(holders)]
    model = LeaseModel(
        {each: share_holder.ShareHolder(each, 1) for each in holder_ids},
        dict.fromkeys(holder_ids, LIMIT // holders),
        ledger.Ledger(1, build_resources(), 0.0),
    )
    for number, holder_id in enumerate(holder_ids):
        model.after(
            RENEWAL_INTERVAL_S * number / holders,
            lambda holder_id=holder_id: model.renew_periodically(holder_id),
        )
    model.run_until(STEADY_STATE_AT_S)
    return model


def measure_demand_shift(holders: int) -> float:
    """Return the time until one holder's share follows when all demand moves to it."""
    model = create_steady_model(holders)
    for holder_id in model.demand_by_id:
        model.demand_by_id[holder_id] = 0
    model.demand_by_id["e00"] = LIMIT
    return model.time_until(lambda: model.share("e00") >= LIMIT * MOVED_FRACTION)


def measure_holder_cut_off(holders: int) -> float:
    """Return the time until the others use the share of a disconnected holder.

    Every holder has enough demand for the whole limit.
    """
    model = create_steady_model(holders)
    for holder_id in model.demand_by_id:
        model.demand_by_id[holder_id] = LIMIT
    model.disconnected.add("e00")
    return model.time_until(
        lambda: model.share("e00") == 0 and model.total_share() == LIMIT
    )


def measure_lowered_limit(holders: int) -> float:
    """Return the time until a halved limit is in force."""
    model = create_steady_model(holders)
    model.grantor.update_resources(build_resources(LIMIT // 2))
    return model.time_until(
        lambda: model.grantor.limit_in_force(RESOURCE_ID, model.now).in_force
        == LIMIT // 2
    )


def measure_leader_change(holders: int) -> tuple[float, float]:
    """Return the lowest total during a new leader's recovery and the shift time.

    The total is a fraction of the limit. The shift time is the time until one
    holder's share follows when all demand moves to it at the leader change.
    """
    model = create_steady_model(holders)
    model.grantor = ledger.Ledger(2, build_resources(), model.now)
    lowest = LIMIT

    def record_lowest() -> bool:
        nonlocal lowest
        lowest = min(lowest, model.total_share())
        return False

    model.time_until(record_lowest, limit_s=10.0)
    model = create_steady_model(holders)
    model.grantor = ledger.Ledger(2, build_resources(), model.now)
    for holder_id in model.demand_by_id:
        model.demand_by_id[holder_id] = 0
    model.demand_by_id["e00"] = LIMIT
    moved_s = model.time_until(lambda: model.share("e00") >= LIMIT * MOVED_FRACTION)
    return lowest / LIMIT, moved_s


def print_slopes() -> None:
    """Print the processor time of one renewal by holders and resources."""
    print("holders resources  us/renewal")
    for holders, count in itertools.product((11, 44, 176), (1, 4, 16)):
        print(f"{holders:7} {count:9} {_renewal_us(holders, count):11.0f}")


def _renewal_us(holders: int, count: int) -> float:
    kind = resources.LimiterKind.CONCURRENCY
    limits = [resources.ResourceId(f"region:{number}") for number in range(count)]
    grantor = ledger.Ledger(
        1, {each: resources.Resource(each, kind, LIMIT) for each in limits}, 0.0
    )
    usage = {each: share_holder.Usage(10) for each in limits}
    shares = [share_holder.ShareHolder(f"e{number}", 1) for number in range(holders)]
    elapsed_s = 0.0
    rounds = 4
    for number in range(rounds + 2):
        now = STEADY_STATE_AT_S + number
        started_at = time.process_time()
        for holder in shares:
            renewal = holder.next_renewal(usage, now)
            holder.apply(grantor.renew(renewal, now).unwrap(), now)
        if number >= 2:
            elapsed_s += time.process_time() - started_at
    return elapsed_s / (rounds * holders) * 1e6


def main() -> None:
    """Print the result of each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--holders", type=int, default=HOLDERS)
    parser.add_argument("--slopes", action="store_true")
    arguments = parser.parse_args()
    if arguments.slopes:
        print_slopes()
        return
    holders = arguments.holders
    lowest, moved_s = measure_leader_change(holders)
    print(f"{holders} holders, renewal {RENEWAL_INTERVAL_S:g} s, simulated seconds")
    print(f"even split, fraction of the limit usable by one holder: {1 / holders:.2f}")
    print(
        f"all demand moves to one holder, {MOVED_FRACTION:.0%} of the limit follows"
        " in: ",
        end="",
    )
    print(f"{measure_demand_shift(holders):.2f}")
    print(
        "holder disconnected, its share in use by others after: "
        f"{measure_holder_cut_off(holders):.2f}"
    )
    print(f"limit halved, in force after: {measure_lowered_limit(holders):.2f}")
    print(f"leader change, even demand, lowest usable fraction: {lowest:.2f}")
    print(f"leader change while all demand moves, shares follow in: {moved_s:.2f}")


if __name__ == "__main__":
    main()
