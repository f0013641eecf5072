"""Compares claims at holders with claims in a replicated log: latency and losses.

Holders and claimants are the production code. Delays, losses and disk times are drawn
from a seeded random source. The log is modelled by its messages and its disk syncs.
Run: python -m bench.claims [--orders N] [--seed N] [--slopes]
"""

from __future__ import annotations

import argparse
import dataclasses
import heapq
import itertools
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence

import numpy

from yuccapitch.catalogue import ids
from yuccapitch.protocol import claim_messages
from yuccapitch.steering import claim_attempt, claim_keys, claim_placement, claims

ORDERS = 4000
SEED = 20261204
START_S = 1_000_000.0
DOMAIN_DELAY_MS = 0.3
REGION_DELAY_MS = 55.0
LOSS_PROBABILITY = 0.001
JITTER_SIGMA = 0.15
SYNC_MEDIAN_MS = 2.0
SYNC_SIGMA = 0.7
DEADLINE_S = 2.0
RESEND_S = claim_attempt.RESEND_INTERVAL_S
ENTRIES_BY_DOMAIN = {
    "r1-a": 2,
    "r1-b": 2,
    "r2-a": 2,
    "r2-b": 1,
    "r3-a": 2,
    "r3-b": 1,
}


@dataclasses.dataclass(frozen=True)
class ClaimOutcome:
    """Outcome of the claim for one order."""

    dispatched: bool
    latency_ms: float


class Network:
    """Random one-way delays and message losses between failure domains."""

    def __init__(
        self, rng: random.Random, between_domains_ms: float, lost: str | None
    ) -> None:
        self.rng = rng
        self.between_domains_ms = between_domains_ms
        self.lost = lost

    def delay_s(self, source: str, target: str) -> float | None:
        """Return the delay of a message, or None if it is lost."""
        if self.is_lost(target) or self.rng.random() < LOSS_PROBABILITY:
            return None
        median_ms = REGION_DELAY_MS
        if source == target:
            median_ms = DOMAIN_DELAY_MS
        elif source[:2] == target[:2]:
            median_ms = self.between_domains_ms
        return median_ms * self.rng.lognormvariate(0, JITTER_SIGMA) / 1000

    def is_lost(self, domain: str) -> bool:
        """Return whether the failure domain or its region is lost."""
        return self.lost is not None and domain.startswith(self.lost)


def members() -> list[claim_placement.Member]:
    """Return the entry instances of the deployment."""
    return [
        claim_placement.Member(
            ids.InstanceId(f"{domain}-{number}"),
            ids.RegionId(domain[:2]),
            ids.FailureDomainId(domain),
        )
        for domain, count in ENTRIES_BY_DOMAIN.items()
        for number in range(count)
    ]


def claim_at_holders(
    network: Network,
    candidates: Sequence[claim_placement.Member],
    orders: int,
    home: str,
) -> list[ClaimOutcome]:
    """Claim keys one after another and record when each may be dispatched."""
    instance_ids = [member.instance_id for member in members()]
    holders = {name: claims.ClaimHolder(name, START_S - 100) for name in instance_ids}
    entries = [
        name for name in instance_ids if name[:2] == home and not network.is_lost(name)
    ] or [name for name in instance_ids if not network.is_lost(name)]
    outcomes = []
    for number in range(orders):
        now = START_S + number * 0.05
        key = f"{home}.{int(now * 1000)}.{number:016d}"
        parsed = claim_keys.parse(key, now).unwrap()
        chosen = claim_placement.choose_holders(parsed, candidates)
        entry = network.rng.choice(entries)
        outcomes.append(_run_claim(network, holders, key, chosen, entry, now))
    return outcomes


def _run_claim(
    network: Network,
    holders: dict[ids.InstanceId, claims.ClaimHolder],
    key: str,
    chosen: Sequence[ids.InstanceId],
    entry: str,
    started_at: float,
) -> ClaimOutcome:
    attempt = claim_attempt.ClaimAttempt(
        key, 1, entry + key, [chosen], started_at + DEADLINE_S
    )
    order = itertools.count()
    events: list[tuple[float, int, Callable[[float], claim_attempt.Step]]] = []
    domain = entry.rsplit("-", 1)[0]

    def send(step: claim_attempt.Step, now: float) -> None:
        for each in step.sends:
            request_delay_s = network.delay_s(domain, each.holder_id.rsplit("-", 1)[0])
            reply_delay_s = network.delay_s(each.holder_id.rsplit("-", 1)[0], domain)
            if request_delay_s is None or reply_delay_s is None:
                continue
            reply = _handle(
                holders[each.holder_id], each.message, now + request_delay_s
            )
            arrival = now + request_delay_s + reply_delay_s
            heapq.heappush(
                events,
                (
                    arrival,
                    next(order),
                    lambda at, reply=reply: attempt.on_reply(reply, at),
                ),
            )

    send(attempt.start(started_at), started_at)
    for tick in range(1, 16):
        heapq.heappush(
            events, (started_at + tick * RESEND_S, next(order), attempt.tick)
        )
    while events:
        now, _, handler = heapq.heappop(events)
        step = handler(now)
        send(step, now)
        if step.decision is not None:
            dispatched = isinstance(step.decision, claim_attempt.Dispatch)
            return ClaimOutcome(dispatched, (now - started_at) * 1000)
    return ClaimOutcome(False, DEADLINE_S * 1000)


def _handle(
    holder: claims.ClaimHolder,
    message: (
        claim_messages.ClaimRequest
        | claim_messages.VoidRequest
        | claim_messages.CompletionNotice
    ),
    now: float,
) -> claim_messages.ClaimReply:
    if isinstance(message, claim_messages.ClaimRequest):
        return holder.on_claim(message, now)
    if isinstance(message, claim_messages.VoidRequest):
        return holder.on_void(message, now)
    return holder.on_done(message, now)


def claim_in_log(
    network: Network, replicas: Sequence[str], orders: int, home: str
) -> list[ClaimOutcome]:
    """Append each claim to a log that a majority of the replicas syncs to disk."""
    live = [replica for replica in replicas if not network.is_lost(replica)]
    if len(live) <= len(replicas) // 2:
        return [ClaimOutcome(False, DEADLINE_S * 1000)] * orders
    domains = [
        domain
        for domain in ENTRIES_BY_DOMAIN
        if domain[:2] == home and not network.is_lost(domain)
    ] or [domain for domain in ENTRIES_BY_DOMAIN if not network.is_lost(domain)]
    leader = live[0]
    outcomes = []
    for _ in range(orders):
        entry = network.rng.choice(domains)
        stored_after_s = sorted(
            (
                _sync_duration_s(network)
                if replica == leader
                else _delivery_delay_s(network, leader, replica)
                + _sync_duration_s(network)
                + _delivery_delay_s(network, replica, leader)
            )
            for replica in live
        )
        quorum_s = stored_after_s[len(replicas) // 2]
        total_s = (
            _delivery_delay_s(network, entry, leader)
            + quorum_s
            + _delivery_delay_s(network, leader, entry)
        )
        outcomes.append(ClaimOutcome(total_s <= DEADLINE_S, total_s * 1000))
    return outcomes


def _sync_duration_s(network: Network) -> float:
    return SYNC_MEDIAN_MS * network.rng.lognormvariate(0, SYNC_SIGMA) / 1000


def _delivery_delay_s(network: Network, source: str, target: str) -> float:
    resent_s = 0.0
    while True:
        delay_s = network.delay_s(source, target)
        if delay_s is not None:
            return resent_s + delay_s
        resent_s += RESEND_S


def print_slopes() -> None:
    """Print memory and processor time of one holder by the number of records."""
    print("records  bytes/record  us/claim")
    for records in (20_000, 40_000, 80_000):
        claims_sent = [
            claim_messages.ClaimRequest(
                f"r1.{int((START_S + number / 1000) * 1000)}.{number:016d}",
                1,
                f"r1-a-1.{number:016d}",
            )
            for number in range(records)
        ]
        holder = claims.ClaimHolder("h", START_S - 100)
        started_at = time.process_time()
        for message in claims_sent:
            holder.on_claim(message, START_S + records / 1000)
        elapsed_s = time.process_time() - started_at
        tracemalloc.start()
        holder = claims.ClaimHolder("h", START_S - 100)
        for message in claims_sent:
            holder.on_claim(message, START_S + records / 1000)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print(f"{records:7} {size / records:13.0f} {elapsed_s / records * 1e6:9.1f}")


def summary(outcomes: Sequence[ClaimOutcome]) -> tuple[float, float, float]:
    """Return the fraction dispatched, and its p50 and p99 latency in ms."""
    latencies = [each.latency_ms for each in outcomes if each.dispatched]
    share = len(latencies) / len(outcomes)
    if not latencies:
        return share, float("nan"), float("nan")
    return (
        share,
        float(numpy.percentile(latencies, 50)),
        float(numpy.percentile(latencies, 99)),
    )


def main() -> None:
    """Print one table for each delay between failure domains."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--orders", type=int, default=ORDERS)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--slopes", action="store_true")
    arguments = parser.parse_args()
    if arguments.slopes:
        print_slopes()
        return
    print(f"orders {arguments.orders}, seed {arguments.seed}; times in simulated ms")
    for between_ms in (3.0, 5.0):
        print(
            f"\n{between_ms:g} ms between domains,"
            f" {REGION_DELAY_MS:g} ms between regions"
        )
        print(
            "lost  home region     design             dispatched    p50    p99  ratio"
        )
        for lost, home in (
            (None, "r1"),
            (None, "r2"),
            ("r1-b", "r1"),
            ("r1", "r1"),
            ("r1", "r2"),
        ):
            _print_rows(arguments.orders, arguments.seed, between_ms, lost, home)


def _print_rows(
    orders: int, seed: int, between_ms: float, lost: str | None, home: str
) -> None:
    def network() -> Network:
        return Network(random.Random(seed), between_ms, lost)

    home_only = [member for member in members() if member.region_id == home]
    rows = {
        "holders, home only": claim_at_holders(network(), home_only, orders, home),
        "holders, one away": claim_at_holders(network(), members(), orders, home),
        "log, one region": claim_in_log(
            network(), ("r1-a", "r1-b", "r1-a"), orders, home
        ),
        "log, three regions": claim_in_log(
            network(), ("r1-a", "r2-a", "r3-a"), orders, home
        ),
    }
    base_p50 = summary(rows["holders, one away"])[1]
    for design, outcomes in rows.items():
        share, p50, p99 = summary(outcomes)
        print(
            f"{lost or '-':5} {home:15} {design:18} {share:10.3f} "
            f"{p50:6.1f} {p99:6.1f} {p50 / base_p50:6.2f}"
        )


if __name__ == "__main__":
    main()
