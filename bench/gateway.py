"""Compares proxied requests with direct ones and with a plain aiohttp pass-through.

Run as `python -m bench.gateway`. The three variants are measured in turn within one
run, each under the same closed-loop load. Only complete responses are counted.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web

from tests import declarations, processes

RESPONSE_BYTES = 1024
WARM_UP_S = 1.0
ENDPOINT_SLOTS = 64
ROUNDS = 3


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """Throughput (requests per second) and latency of one variant."""

    rate: float
    median_ms: float
    p99_ms: float


async def serve_endpoint(port: int) -> None:
    """Serve an endpoint that responds to every request immediately."""
    body = b"x" * RESPONSE_BYTES

    async def handle(request: web.Request) -> web.Response:
        await request.read()
        return web.Response(body=body)

    await _serve(handle, port)


async def serve_pass_through(port: int, target: str) -> None:
    """Serve a proxy that only forwards every request with aiohttp."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, auto_decompress=False
    ) as session:

        async def handle(request: web.Request) -> web.Response:
            async with session.request(
                request.method, target + request.path_qs, data=await request.read()
            ) as response:
                body = await response.read()
            return web.Response(status=response.status, body=body)

        await _serve(handle, port)


async def run_load(url: str, connections: int, duration_s: float) -> LoadResult:
    """Send requests over several connections, sequentially on each."""
    latencies_s: list[float] = []
    host, _, rest = url.removeprefix("http://").partition(":")
    port, _, path = rest.partition("/")
    deadline = time.perf_counter() + duration_s
    started_at = time.perf_counter()
    await asyncio.gather(
        *(
            _send_requests(host, int(port), "/" + path, deadline, latencies_s)
            for _ in range(connections)
        )
    )
    elapsed_s = time.perf_counter() - started_at
    latencies_s.sort()
    return LoadResult(
        len(latencies_s) / elapsed_s,
        1000 * statistics.median(latencies_s),
        1000 * latencies_s[int(len(latencies_s) * 0.99)],
    )


async def _send_requests(
    host: str, port: int, path: str, deadline: float, latencies_s: list[float]
) -> None:
    reader, writer = await asyncio.open_connection(host, port)
    head = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
    while (sent_at := time.perf_counter()) < deadline:
        writer.write(head)
        response_head = await reader.readuntil(b"\r\n\r\n")
        assert response_head.startswith(b"HTTP/1.1 200"), response_head
        length = response_head.lower().partition(b"content-length: ")[2]
        await reader.readexactly(int(length.partition(b"\r\n")[0]))
        latencies_s.append(time.perf_counter() - sent_at)
    writer.close()


async def _serve(handler: object, port: int) -> None:
    application = web.Application()
    application.router.add_route("*", "/{path:.*}", handler)  # type: ignore[arg-type]
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


@contextlib.asynccontextmanager
async def run_deployment() -> AsyncIterator[dict[str, str]]:
    """Run the three variants as processes; yield their URLs by name."""
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        endpoint_port, pass_port = processes.free_ports(2)
        endpoint = f"http://127.0.0.1:{endpoint_port}"
        for arguments in (
            ["endpoint", str(endpoint_port)],
            ["pass-through", str(pass_port), endpoint],
        ):
            command = [sys.executable, "-m", "bench.gateway", "--serve", *arguments]
            popen = subprocess.Popen(command, env=processes.environment({}))
            stack.callback(popen.wait)
            stack.callback(popen.kill)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        cluster = processes.Cluster(folder, session)
        stack.callback(cluster.close)
        cluster.add({"control-1": "domain-1"}, {"entry-1": "domain-1"})
        cluster.start()
        declaration = declarations.small(
            cluster.instances(), {"shop-1": endpoint_port}, slots=ENDPOINT_SLOTS
        )
        await cluster.apply(declaration)
        entry = cluster.processes_by_id["entry-1"]
        await cluster.wait_until_ready(entry)
        yield {
            "direct": endpoint + "/designs",
            "pass-through": f"http://127.0.0.1:{pass_port}/designs",
            "yuccapitch": entry.url + "/s/shop/designs",
        }


async def measure_variants(
    connections: int, duration_s: float
) -> dict[str, LoadResult]:
    """Measure the variants in turn and return the median round of each."""
    async with run_deployment() as urls_by_variant:
        rounds: dict[str, list[LoadResult]] = {
            variant: [] for variant in urls_by_variant
        }
        for url in urls_by_variant.values():
            await run_load(url, connections, WARM_UP_S)
        for _ in range(ROUNDS):
            for variant, url in urls_by_variant.items():
                rounds[variant].append(await run_load(url, connections, duration_s))
    return {
        variant: sorted(results, key=lambda item: item.rate)[ROUNDS // 2]
        for variant, results in rounds.items()
    }


async def main(duration_s: float) -> None:
    """Print throughput, latency and ratios at high and low concurrency."""
    for connections in (32, 1):
        results_by_variant = await measure_variants(connections, duration_s)
        baseline = results_by_variant["pass-through"]
        print(f"{connections} connections, {RESPONSE_BYTES} bytes, median of {ROUNDS}:")
        for variant, result in results_by_variant.items():
            print(
                f"  {variant:13} {result.rate:8.0f}/s  p50 {result.median_ms:6.2f} ms"
                f"  p99 {result.p99_ms:6.2f} ms"
                f"  throughput ratio to pass-through {result.rate / baseline.rate:.2f}"
            )
        added_ms = results_by_variant["yuccapitch"].median_ms - baseline.median_ms
        print(f"  added median latency over the pass-through: {added_ms:.2f} ms")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration", type=float, default=3.0, help="seconds per round")
    parser.add_argument("--serve", nargs="+", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    match arguments.serve:
        case ["endpoint", port]:
            asyncio.run(serve_endpoint(int(port)))
        case ["pass-through", port, target]:
            asyncio.run(serve_pass_through(int(port), target))
        case _:
            asyncio.run(main(arguments.duration))
