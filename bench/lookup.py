"""Measures the look-up table: `python -m bench.lookup [--blocks 2400000]`.

Prints build time, compact size, memory of the table and of a process that decodes it,
the time of a look-up (parse the client's address, find its region), and the size and
time of differences.
"""

from __future__ import annotations

import argparse
import dataclasses
import gc
import pathlib
import random
import resource
import time
from collections.abc import Iterator

from yuccapitch.catalogue import ids
from yuccapitch.steering import lookup_codec, lookup_table

SEED = 20261204
REGIONS = tuple(ids.RegionId(f"region-{i}") for i in range(18))
LOOKUPS = 200_000
IPV6_SHARE = 0.2
DIFFERENCE_SIZES = (1, 100, 2100)


def generate_blocks(
    count: int, rng: random.Random
) -> Iterator[tuple[str, ids.RegionId]]:
    """Yield distinct random /24 and /48 blocks with a region each."""
    ipv6_count = int(count * IPV6_SHARE)
    for number in rng.sample(range(1 << 24), count - ipv6_count):
        octets = number >> 16, number >> 8 & 255, number & 255
        yield "%d.%d.%d.0/24" % octets, rng.choice(REGIONS)
    for number in rng.sample(range(1 << 32), ipv6_count):
        yield f"2001:{number >> 16:x}:{number & 0xFFFF:x}::/48", rng.choice(REGIONS)


def address(rng: random.Random) -> str:
    """Return a random client address."""
    if rng.random() < IPV6_SHARE:
        low = rng.getrandbits(32)
        return f"2001:{low >> 16:x}:{low & 0xFFFF:x}::1"
    return ".".join(str(rng.getrandbits(8)) for _ in range(4))


def read_resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def measure(count: int, path: pathlib.Path | None) -> None:
    """Build or read the table and print its measurements."""
    rng = random.Random(SEED)
    before = read_resident_bytes()
    started_at = time.perf_counter()
    if path is not None and path.exists():
        table = lookup_codec.decode_table(path.read_bytes()).unwrap()
        print(f"decode_s={time.perf_counter() - started_at:.2f}")
    else:
        table = lookup_table.build(generate_blocks(count, rng), REGIONS).unwrap()
        print(f"build_s={time.perf_counter() - started_at:.2f} (with block generation)")
        data = lookup_codec.encode_table(table)
        print(f"compact_mb={len(data) / 1e6:.1f}")
        if path is not None:
            path.write_bytes(data)
    gc.collect()
    print(f"blocks={count} runs={len(table.ipv4.starts) + len(table.ipv6.starts)}")
    print(f"table_mb={table.size_bytes / 1e6:.1f}")
    print(f"resident_mb={read_resident_bytes() / 1e6:.1f} (before: {before / 1e6:.1f})")
    print_decisions(table, rng)
    for changes in DIFFERENCE_SIZES:
        print_difference(table, changes, rng)


def print_decisions(table: lookup_table.LookupTable, rng: random.Random) -> None:
    """Print quantiles of the time of one look-up."""
    clients = [address(rng) for _ in range(LOOKUPS)]
    times_us = []
    for client in clients:
        started_at = time.perf_counter_ns()
        table.region_of(lookup_table.parse_address(client).unwrap())
        times_us.append((time.perf_counter_ns() - started_at) / 1000)
    times_us.sort()
    p50, p99 = (times_us[int(len(times_us) * share)] for share in (0.5, 0.99))
    print(f"lookups={LOOKUPS} p50_us={p50:.2f} p99_us={p99:.2f}")


def print_difference(
    table: lookup_table.LookupTable, changes: int, rng: random.Random
) -> None:
    """Print the size of a difference and the time to compute and apply it."""
    values = table.ipv4.values[:]
    for position in rng.sample(range(len(values)), changes):
        values[position] = (values[position] + 1) % len(REGIONS)
    ipv4 = lookup_table.Runs(table.ipv4.starts, values)
    target = dataclasses.replace(table, ipv4=ipv4)
    started_at = time.perf_counter()
    change = lookup_codec.difference(table, target).unwrap()
    computed_at = time.perf_counter()
    assert lookup_codec.apply_difference(table, change).unwrap() == target
    applied = time.perf_counter()
    size = len(lookup_codec.encode_difference(change))
    print(
        f"changed_runs={changes} difference_bytes={size}"
        f" make_ms={(computed_at - started_at) * 1000:.0f}"
        f" apply_ms={(applied - computed_at) * 1000:.0f}"
    )


def main() -> None:
    """Parse the flags and run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--blocks", type=int, default=2_400_000)
    parser.add_argument(
        "--file",
        type=pathlib.Path,
        help="compact table: read if the file exists, otherwise built and written",
    )
    flags = parser.parse_args()
    measure(flags.blocks, flags.file)


if __name__ == "__main__":
    main()
