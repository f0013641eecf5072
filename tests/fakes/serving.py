"""Runs the aiohttp application of a fake in this process or as a separate one."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator

from aiohttp import web

LOOPBACK = "127.0.0.1"
SHUTDOWN_TIMEOUT_S = 0.1


@contextlib.asynccontextmanager
async def listen(
    runner: web.AppRunner, port: int = 0, host: str = LOOPBACK
) -> AsyncIterator[int]:
    """Serve in this context; yield the port."""
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, port)
        await site.start()
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


def create_runner(app: web.Application) -> web.AppRunner:
    """Return a runner that cancels handlers when their client disconnects."""
    return web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )


async def serve_until_signal(runner: web.AppRunner, port: int, host: str) -> None:
    """Serve, print the port on a line and stop at SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    async with listen(runner, port, host) as bound_port:
        print(bound_port, flush=True)
        await stopped.wait()


def create_parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser with the flags common to all fakes."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default=LOOPBACK)
    parser.add_argument("--port", type=int, default=0)
    return parser
