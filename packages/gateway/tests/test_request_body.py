from __future__ import annotations

import asyncio

import pytest
import result
from aiohttp import test_utils, web

from yuccapitch.gateway import outcomes, request_body
from yuccapitch.gateway.http1 import memory_budget


async def buffer_incomplete_body(
    timeout_s: float, pieces: list[bytes], piece_interval_s: float
) -> outcomes.Failure:
    """Send a part of a body in pieces and return the failure to buffer it."""
    buffered: asyncio.Future[result.Result[request_body.RequestBody, outcomes.Failure]]
    buffered = asyncio.get_running_loop().create_future()

    async def handle(request: web.Request) -> web.Response:
        buffered.set_result(await request_body.buffer_body(request, 1000, timeout_s))
        return web.Response()

    app = web.Application()
    app.router.add_put("/", handle)
    async with test_utils.TestServer(app) as server:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n")
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(piece_interval_s)
        async with asyncio.timeout(20):
            failure = (await buffered).unwrap_err()
        writer.close()
        return failure


async def test_buffer_body_fails_if_the_body_stalls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(request_body, "STALL_TIMEOUT_S", 0.05)
    failure = await buffer_incomplete_body(60.0, [b"x"], 0.0)
    assert (failure.status, failure.code) == (408, "body-stalled")


async def test_buffer_body_fails_if_a_slow_body_misses_the_deadline() -> None:
    failure = await buffer_incomplete_body(0.2, [b"x"] * 50, 0.01)
    assert (failure.status, failure.code) == (408, "body-late")


# Guards against clients that end an instance by its memory together, each below the
# limit of one body.
async def test_buffer_body_refuses_the_largest_when_all_exceed_the_budget() -> None:
    budget = memory_budget.MemoryBudget(300_000)
    ended = asyncio.Event()

    async def handle(request: web.Request) -> web.Response:
        buffered = await request_body.buffer_body(request, 10**6, 20.0, budget)
        if buffered.is_err():
            return outcomes.failure_response(buffered.err_value, 0)
        await ended.wait()
        budget.retain(asyncio.current_task(), 0)
        return web.Response()

    app = web.Application()
    app.router.add_put("/", handle)
    head = (
        b"PUT / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
    )
    async with test_utils.TestServer(app) as server:
        clients = [
            await asyncio.open_connection("127.0.0.1", server.port) for _ in range(3)
        ]
        # Two are incomplete, the last one is complete.
        for (_, writer), size in zip(clients, (180_000, 100_000, 90_000), strict=True):
            writer.write(head % (90_000 if size == 90_000 else 200_000) + bytes(size))
        async with asyncio.timeout(20):
            refusal = await clients[0][0].readuntil(b"}")
        peak_bytes = budget.peak_bytes
        clients[1][1].write(bytes(100_000))
        ended.set()
        async with asyncio.timeout(20):
            responses = [await reader.read() for reader, _ in clients[1:]]
        for _, writer in clients:
            writer.close()
    assert refusal.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nRetry-After: 1\r\n" in refusal and b"overloaded" in refusal
    assert [response[:12] for response in responses] == 2 * [b"HTTP/1.1 200"]
    assert peak_bytes < budget.max_bytes + request_body.MAX_BUFFERED_BYTES
    assert budget.used_bytes == 0
