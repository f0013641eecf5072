"""A proxied request against a direct one and a bare aiohttp pass-through.

Run as `python -m bench.gateway`. The three are measured in turn in one run, each
under the same closed load; the loader counts only whole answers.
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

ANSWER_BYTES = 1024
WARM_UP_S = 1.0
ENDPOINT_SLOTS = 64
ROUNDS = 3


@dataclasses.dataclass(frozen=True)
class Figures:
    """What one way to the endpoint did."""

    per_s: float
    median_ms: float
    p99_ms: float


async def serve_endpoint(port: int) -> None:
    """Answer every request at once."""
    body = b"x" * ANSWER_BYTES

    async def answer(request: web.Request) -> web.Response:
        await request.read()
        return web.Response(body=body)

    await _serve(answer, port)


async def serve_pass_through(port: int, target: str) -> None:
    """Pass every request on with aiohttp and nothing else."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, auto_decompress=False
    ) as session:

        async def answer(request: web.Request) -> web.Response:
            async with session.request(
                request.method, target + request.path_qs, data=await request.read()
            ) as response:
                body = await response.read()
            return web.Response(status=response.status, body=body)

        await _serve(answer, port)


async def load(url: str, connections: int, duration_s: float) -> Figures:
    """Send requests over so many connections, one after the other on each."""
    latencies_s: list[float] = []
    host, _, rest = url.removeprefix("http://").partition(":")
    port, _, path = rest.partition("/")
    until = time.perf_counter() + duration_s
    began_at = time.perf_counter()
    await asyncio.gather(
        *(
            _send(host, int(port), "/" + path, until, latencies_s)
            for _ in range(connections)
        )
    )
    lasted_s = time.perf_counter() - began_at
    latencies_s.sort()
    return Figures(
        len(latencies_s) / lasted_s,
        1000 * statistics.median(latencies_s),
        1000 * latencies_s[int(len(latencies_s) * 0.99)],
    )


async def _send(
    host: str, port: int, path: str, until: float, latencies_s: list[float]
) -> None:
    reader, writer = await asyncio.open_connection(host, port)
    head = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
    while (sent_at := time.perf_counter()) < until:
        writer.write(head)
        answer_head = await reader.readuntil(b"\r\n\r\n")
        assert answer_head.startswith(b"HTTP/1.1 200"), answer_head
        length = answer_head.lower().partition(b"content-length: ")[2]
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
async def deployment() -> AsyncIterator[dict[str, str]]:
    """Run the three ways as processes; yield their URLs by name."""
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


async def compare(connections: int, duration_s: float) -> dict[str, Figures]:
    """Measure the three ways in turn and return the median round of each."""
    async with deployment() as urls_by_way:
        rounds: dict[str, list[Figures]] = {way: [] for way in urls_by_way}
        for url in urls_by_way.values():
            await load(url, connections, WARM_UP_S)
        for _ in range(ROUNDS):
            for way, url in urls_by_way.items():
                rounds[way].append(await load(url, connections, duration_s))
    return {
        way: sorted(figures, key=lambda item: item.per_s)[ROUNDS // 2]
        for way, figures in rounds.items()
    }


async def main(duration_s: float) -> None:
    """Print figures and ratios at high and at low load."""
    for connections in (32, 1):
        figures_by_way = await compare(connections, duration_s)
        bare = figures_by_way["pass-through"]
        print(f"{connections} connections, {ANSWER_BYTES} bytes, median of {ROUNDS}:")
        for way, figures in figures_by_way.items():
            print(
                f"  {way:13} {figures.per_s:8.0f}/s  p50 {figures.median_ms:6.2f} ms"
                f"  p99 {figures.p99_ms:6.2f} ms"
                f"  throughput ratio to pass-through {figures.per_s / bare.per_s:.2f}"
            )
        added_ms = figures_by_way["yuccapitch"].median_ms - bare.median_ms
        print(f"  added median latency over the pass-through: {added_ms:.2f} ms")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration", type=float, default=3.0, help="seconds a round")
    parser.add_argument("--serve", nargs="+", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    match arguments.serve:
        case ["endpoint", port]:
            asyncio.run(serve_endpoint(int(port)))
        case ["pass-through", port, target]:
            asyncio.run(serve_pass_through(int(port), target))
        case _:
            asyncio.run(main(arguments.duration))
