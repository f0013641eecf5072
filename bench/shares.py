"""How fast leased shares follow demand, faults and lowered limits.

Ledger and holders are the real code; delays are fixed and time is the model's.
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
    """Holders that renew with a grantor over links with a delay."""

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
        """Schedules an action."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action))

    def run_until(self, time_s: float) -> None:
        """Runs all that is due up to a time."""
        while self._events and self._events[0][0] <= time_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = time_s

    def time_until(self, condition: Callable[[], bool], limit_s: float = 60.0) -> float:
        """Model time until a condition holds."""
        started_at = self.now
        while not condition() and self.now < started_at + limit_s:
            self.run_until(self.now + SAMPLE_INTERVAL_S)
        return self.now - started_at

    def renew_periodically(self, holder_id: str) -> None:
        """Renews now and after each interval."""
        self.renew(holder_id)
        self.after(RENEWAL_INTERVAL_S, lambda: self.renew_periodically(holder_id))

    def renew(self, holder_id: str) -> None:
        """Sends a renewal to the present grantor."""
        if holder_id in self.disconnected:
            return
        usage = share_holder.Usage(self.demand_by_id[holder_id])
        renewal = self.holders_by_id[holder_id].next_renewal(
            {RESOURCE_ID: usage}, self.now
        )
        self.after(ONE_WAY_DELAY_S, lambda: self._handle_renewal(renewal))

    def share(self, holder_id: str) -> int:
        """Units that a holder may use now."""
        return self.holders_by_id[holder_id].share(RESOURCE_ID, self.now)

    def total_share(self) -> int:
        """Units that all holders may use now."""
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
    """One region's capacity."""
    kind = resources.LimiterKind.CONCURRENCY
    return {RESOURCE_ID: resources.Resource(RESOURCE_ID, kind, limit)}


def create_steady_model(holders: int) -> LeaseModel:
    """A model with even demand, past its recovery."""
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
    """All demand moves to one holder."""
    model = create_steady_model(holders)
    for holder_id in model.demand_by_id:
        model.demand_by_id[holder_id] = 0
    model.demand_by_id["e00"] = LIMIT
    return model.time_until(lambda: model.share("e00") >= LIMIT * MOVED_FRACTION)


def measure_holder_cut_off(holders: int) -> float:
    """A holder with a share is cut off; the others could use all of it."""
    model = create_steady_model(holders)
    for holder_id in model.demand_by_id:
        model.demand_by_id[holder_id] = LIMIT
    model.disconnected.add("e00")
    return model.time_until(
        lambda: model.share("e00") == 0 and model.total_share() == LIMIT
    )


def measure_lowered_limit(holders: int) -> float:
    """A change halves the limit."""
    model = create_steady_model(holders)
    model.grantor.update_resources(build_resources(LIMIT // 2))
    return model.time_until(
        lambda: model.grantor.limit_in_force(RESOURCE_ID, model.now).in_force
        == LIMIT // 2
    )


def measure_leader_change(holders: int) -> tuple[float, float]:
    """A new leader takes over: least total in its recovery, and time to move demand."""
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
    """Processor time of one renewal by holders and resources, and its fit."""
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
    """Prints each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--holders", type=int, default=HOLDERS)
    parser.add_argument("--slopes", action="store_true")
    arguments = parser.parse_args()
    if arguments.slopes:
        print_slopes()
        return
    holders = arguments.holders
    lowest, moved_s = measure_leader_change(holders)
    print(f"{holders} holders, renewal {RENEWAL_INTERVAL_S:g} s, model seconds")
    print(f"even split, part of the limit usable by one holder: {1 / holders:.2f}")
    print(f"all demand moves to one holder, {MOVED_FRACTION:.0%} follows in: ", end="")
    print(f"{measure_demand_shift(holders):.2f}")
    print(
        "holder cut off, its share in use elsewhere: "
        f"{measure_holder_cut_off(holders):.2f}"
    )
    print(f"limit halved, in force: {measure_lowered_limit(holders):.2f}")
    print(f"leader change, even demand, least part of the limit usable: {lowest:.2f}")
    print(f"leader change as all demand moves, followed in: {moved_s:.2f}")


if __name__ == "__main__":
    main()
