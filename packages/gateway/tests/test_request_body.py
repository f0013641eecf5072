from __future__ import annotations

import asyncio

import pytest
import result
from aiohttp import test_utils, web

from yuccapitch.gateway import outcomes, request_body


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
