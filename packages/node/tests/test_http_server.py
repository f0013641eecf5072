from __future__ import annotations

import aiohttp
from aiohttp import test_utils, web

from yuccapitch.node import http_server


async def test_close_after_response_sets_connection_header() -> None:
    async def answer(request: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def prepare(request: web.Request, response: web.StreamResponse) -> None:
        http_server.close_after_response(response)

    application = web.Application()
    application.router.add_get("/", answer)
    application.on_response_prepare.append(prepare)
    async with (
        test_utils.TestServer(application) as server,
        aiohttp.ClientSession() as session,
        session.get(server.make_url("/")) as response,
    ):
        assert response.headers["Connection"] == "close"
