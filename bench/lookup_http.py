"""Measures look-ups over HTTP served by one process: `python -m bench.lookup_http`.

The planned load is 950,000 look-ups/s over 2,000 instances, which is 475/s for each.
The target is four times that, 1,900/s.
"""

from __future__ import annotations

import argparse
import asyncio

from bench import gateway

TARGET_LOOKUPS_PER_S = 1900
CONNECTIONS = 16


async def main(duration_s: float) -> None:
    """Print the throughput and its ratio to the target."""
    async with gateway.run_deployment() as urls_by_variant:
        entry = urls_by_variant["yuccapitch"].removesuffix("/s/shop/designs")
        url = f"{entry}/v1/entries?service=shop&client=192.0.2.1"
        await gateway.run_load(url, CONNECTIONS, gateway.WARM_UP_S)
        for _ in range(gateway.ROUNDS):
            result = await gateway.run_load(url, CONNECTIONS, duration_s)
            print(
                f"{result.rate:6.0f} look-ups/s, p50 {result.median_ms:.2f} ms,"
                f" p99 {result.p99_ms:.2f} ms,"
                f" ratio to the target {result.rate / TARGET_LOOKUPS_PER_S:.2f}"
            )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration", type=float, default=3.0, help="seconds per round")
    asyncio.run(main(parser.parse_args().duration))
