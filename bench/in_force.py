"""Measures how fast changes are accepted and come into force on real processes.

Run with: python -m bench.in_force [--data-dir DIR] [--changes N] [--kills N]
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import random
import statistics
import time
from collections.abc import Sequence

from bench import deployment

CONTROL_COUNT = 3
ENTRY_COUNTS = (4, 11)
MISSED_CHANGES = 500
WARM_UP_CHANGES = 20
RESTART_WAIT_S = 2.0
MAX_CHANGE_INTERVAL_S = 0.3


def print_quantiles(name: str, values_s: Sequence[float]) -> None:
    """Print the quantiles of a series of durations."""
    ordered = sorted(values_s)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    print(
        f"{name:42} n {len(ordered):4}  p50 {statistics.median(ordered):7.4f} s"
        f"  p99 {p99:7.4f} s  max {ordered[-1]:7.4f} s",
        flush=True,
    )


async def measure_acceptance(operator: deployment.Operator, changes: int) -> None:
    """Print the latency of changes that are sent sequentially."""
    for _ in range(WARM_UP_CHANGES):
        await operator.change()
    started_at = time.perf_counter()
    latencies_s = [await operator.change() for _ in range(changes)]
    rate = changes / (time.perf_counter() - started_at)
    print_quantiles("accepted, one operator", latencies_s)
    print(f"changes/s of one operator: {rate:.0f}", flush=True)


async def measure_without_faults(
    operator: deployment.Operator, changes: int, entries: int, rng: random.Random
) -> None:
    """Print the time from acceptance to being in force, without faults."""
    in_force_s = []
    for _ in range(changes):
        await asyncio.sleep(MAX_CHANGE_INTERVAL_S * rng.random())
        await operator.change()
        in_force_s.append(await operator.wait_until_in_force())
    print_quantiles(f"in force on {entries} entries, no faults", in_force_s)


async def measure_with_leader_kills(
    operator: deployment.Operator, kills: int, entries: int, rng: random.Random
) -> None:
    """Print the time from acceptance to being in force when the leader is killed."""
    in_force_s = []
    for _ in range(kills):
        leader = await operator.find_leader()
        await operator.wait_until_in_force()
        await asyncio.sleep(rng.random())
        await operator.change()
        leader.kill()
        in_force_s.append(await operator.wait_until_in_force())
        leader.start()
        await asyncio.sleep(RESTART_WAIT_S)
    print_quantiles(f"in force on {entries} entries, leader killed", in_force_s)


async def measure_catch_up(operator: deployment.Operator) -> None:
    """Print the time and bytes an entry needs to catch up on missed changes."""
    cluster = operator.cluster
    entry = cluster.of_role("entry")[0]
    entry.kill()
    for _ in range(MISSED_CHANGES):
        await operator.change()
    started_at = time.perf_counter()
    entry.start()
    await cluster.wait_until_ready(entry)
    started_s = time.perf_counter() - started_at
    entry_usage = await deployment.usage(cluster, entry)
    await deployment.wait_until_entry_serves(cluster, entry, operator.version)
    print(
        f"catch-up after {MISSED_CHANGES} changes: ready {started_s:.2f} s after the"
        " start of the process,"
        f" {entry_usage.received_bytes:.0f} bytes received in total"
    )


async def main() -> None:
    """Run the measurements for each number of entry instances."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--data-dir", type=pathlib.Path)
    parser.add_argument("--changes", type=int, default=200)
    parser.add_argument("--kills", type=int, default=8)
    options = parser.parse_args()
    rng = random.Random(20261204)
    for entries in ENTRY_COUNTS:
        print(f"{CONTROL_COUNT} control processes on disk, {entries} entries")
        async with deployment.run_cluster(
            CONTROL_COUNT, entries, options.data_dir
        ) as cluster:
            operator = deployment.Operator(cluster)
            await operator.find_leader()
            await operator.change()
            await cluster.wait_until_ready(*cluster.of_role("entry"))
            await measure_acceptance(operator, options.changes)
            await measure_without_faults(operator, options.changes // 2, entries, rng)
            await measure_with_leader_kills(operator, options.kills, entries, rng)
            await operator.find_leader()
            await measure_catch_up(operator)


if __name__ == "__main__":
    asyncio.run(main())
