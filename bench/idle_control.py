"""Measures the resources that each process uses while the control plane is idle.

It is repeated for several numbers of entry instances and extrapolated to the planned
number.

Run with: python -m bench.idle_control [--data-dir DIR] [--seconds S]
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import pathlib
import time

import numpy

from bench import deployment
from tests import processes

ENTRY_COUNTS = (4, 11, 40)
PLANNED_INSTANCES = 2000
BYTES_PER_MB = 1e6


@dataclasses.dataclass(frozen=True)
class Rates:
    """Resources that one process uses per second, and its memory."""

    cpu: float
    """Fraction of a core."""
    sent_bytes: float
    received_bytes: float
    memory_mb: float


async def measure(
    cluster: processes.Cluster, targets: list[processes.Process], seconds: float
) -> list[Rates]:
    """Return the rates of several processes over a number of seconds."""
    started_at = time.perf_counter()
    before = [await deployment.usage(cluster, process) for process in targets]
    await asyncio.sleep(seconds)
    after = [await deployment.usage(cluster, process) for process in targets]
    duration_s = time.perf_counter() - started_at
    return [
        Rates(
            (late.cpu_s - early.cpu_s) / duration_s,
            (late.sent_bytes - early.sent_bytes) / duration_s,
            (late.received_bytes - early.received_bytes) / duration_s,
            late.memory_bytes / BYTES_PER_MB,
        )
        for early, late in zip(before, after, strict=True)
    ]


def mean(rates: list[Rates]) -> Rates:
    """Return the mean of each rate."""
    rows = numpy.array([dataclasses.astuple(rate) for rate in rates])
    return Rates(*rows.mean(axis=0))


def print_row(entries: int, role: str, rates: Rates) -> None:
    """Print the rates of one role."""
    print(
        f"{entries:7}  {role:7}  {100 * rates.cpu:5.2f}  {rates.sent_bytes:10.0f}"
        f"  {rates.received_bytes:12.0f}  {rates.memory_mb:9.1f}",
        flush=True,
    )


def print_fits(role: str, rates_by_entries: dict[int, Rates]) -> None:
    """Print a linear fit of each rate and its value at the planned size."""
    counts = list(rates_by_entries)
    for field in dataclasses.fields(Rates):
        values = [getattr(rates, field.name) for rates in rates_by_entries.values()]
        slope, start = numpy.polyfit(counts, values, 1)
        print(
            f"{role:7}  {field.name:14}  {start:12.4f} + {slope:10.5f} n"
            f"  at {PLANNED_INSTANCES}: {start + slope * PLANNED_INSTANCES:12.3f}"
        )


async def main() -> None:
    """Measure each number of entries and print the fits."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--data-dir", type=pathlib.Path)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    print("entries  role     cpu %  sent byte/s  recv byte/s  memory MB")
    rates_by_role: dict[str, dict[int, Rates]] = {"control": {}, "entry": {}}
    for entries in ENTRY_COUNTS:
        async with deployment.run_cluster(1, entries, options.data_dir) as cluster:
            operator = deployment.Operator(cluster)
            await operator.find_leader()
            await operator.change()
            await cluster.wait_until_ready(*cluster.of_role("entry"))
            await operator.wait_until_in_force()
            await asyncio.sleep(options.seconds / 4)
            for role, rates_by_entries in rates_by_role.items():
                targets = cluster.of_role(role)
                rates = mean(await measure(cluster, targets, options.seconds))
                rates_by_entries[entries] = rates
                print_row(entries, role, rates)
    for role, rates_by_entries in rates_by_role.items():
        print_fits(role, rates_by_entries)


if __name__ == "__main__":
    asyncio.run(main())
