from __future__ import annotations

import contextlib

import aiohttp
from aiohttp import web

from yuccapitch.node import http_server


async def crash(request: web.Request) -> web.Response:
    raise ValueError("internal detail")


async def test_connection_reports_unknown_outcome_after_a_crash() -> None:
    app = web.Application()
    app.router.add_get("/", crash)
    server = http_server.HttpServer("127.0.0.1", 0, 16_384)
    async with contextlib.AsyncExitStack() as stack:
        await server.serve(app, stack)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        url = f"http://127.0.0.1:{server.address.port}/"
        async with session.get(url) as response:
            answer = await response.json()
            assert (response.status, answer["error"]) == (500, "internal-error")
            assert response.headers["Yuccapitch-Outcome"] == "unknown"
            assert "internal detail" not in answer["message"]
