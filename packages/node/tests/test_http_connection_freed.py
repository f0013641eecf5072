"""What a connection of a client leaves in memory once it has ended."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import weakref

import pytest
from aiohttp import web

from yuccapitch.node import http_server

pytestmark = pytest.mark.usefixtures("without_garbage_collector")

BODY_BYTES = 500_000
HEAD = b"Host: h\r\n"
GET = b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n"
HELD_GET = b"GET /held HTTP/1.1\r\n" + HEAD + b"\r\n"
HELD_POST = b"POST /held HTTP/1.1\r\n%bContent-Length: %d\r\n\r\n" % (HEAD, BODY_BYTES)
READ_POST = HELD_POST.replace(b"held", b"read")
RESET = struct.pack("ii", 1, 0)
# What a client sends before it leaves, by the state of its requests at that moment.
SENT_BY_STATE = {
    "no request": b"",
    "answered": GET,
    "in a head": b"GET / HTTP/1.1\r\nField: " + b"x" * 10_000,
    "in a body": READ_POST + b"x" * (BODY_BYTES // 2),
    "in an unread body": HELD_POST + b"x" * (BODY_BYTES // 2),
    "in progress": HELD_POST + b"x" * BODY_BYTES,
    "behind one in progress": HELD_GET + 3 * GET,
    "refused": b"no request\r\n\r\n",
}


async def respond(request: web.Request) -> web.Response:
    if request.path == "/held":
        await asyncio.Event().wait()
    return web.Response(body=await request.read() or b"answer")


# Guards against instances that run out of memory over requests whose clients have left.
@pytest.mark.parametrize("is_reset", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize("state", SENT_BY_STATE)
async def test_connection_is_freed_when_its_client_leaves(state, is_reset):
    application = web.Application(client_max_size=2 * BODY_BYTES)
    application.router.add_route("*", "/{name:.*}", respond)
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        server = http_server.HttpServer("127.0.0.1", 0, 16_384)
        await server.serve(application, stack)
        sock = socket.create_connection((server.address.host, server.address.port))
        sock.setblocking(False)
        async with asyncio.timeout(20):
            while not server._runner.server.connections:
                await asyncio.sleep(0)
            (reference,) = map(weakref.ref, server._runner.server.connections)
            await loop.sock_sendall(sock, SENT_BY_STATE[state])
            for _ in range(200):
                await asyncio.sleep(0)
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
            while server._runner.server.connections:
                await asyncio.sleep(0.01)
        # Cancelled tasks end in the iterations after.
        for _ in range(5):
            await asyncio.sleep(0)
        assert reference() is None


# The same for connections that a stop closes.
@pytest.mark.parametrize("state", ["no request", "answered", "refused"])
async def test_connection_is_freed_when_the_server_stops(state):
    application = web.Application()
    application.router.add_route("*", "/{name:.*}", respond)
    async with contextlib.AsyncExitStack() as stack:
        server = http_server.HttpServer("127.0.0.1", 0, 16_384)
        await server.serve(application, stack)
        address = (server.address.host, server.address.port)
        with socket.create_connection(address) as sock:
            async with asyncio.timeout(20):
                while not server._runner.server.connections:
                    await asyncio.sleep(0)
                (reference,) = map(weakref.ref, server._runner.server.connections)
                sock.sendall(SENT_BY_STATE[state])
                for _ in range(200):
                    await asyncio.sleep(0)
                await server.stop_listening()
                await stack.aclose()
                while server._runner.server and server._runner.server.connections:
                    await asyncio.sleep(0.01)
            for _ in range(5):
                await asyncio.sleep(0)
            assert reference() is None
