"""What a connection of a client leaves in memory once it has ended."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import weakref

import pytest

from yuccapitch.catalogue import routes
from yuccapitch.gateway.http1 import memory_budget, messages, server

pytestmark = pytest.mark.usefixtures("without_garbage_collector")

BODY_BYTES = 500_000
HEAD = b"Host: h\r\n"
GET = b"GET / HTTP/1.1\r\n" + HEAD + b"\r\n"
HELD_GET = b"GET /held HTTP/1.1\r\n" + HEAD + b"\r\n"
HELD_POST = b"POST /held HTTP/1.1\r\n%bContent-Length: %d\r\n\r\n" % (HEAD, BODY_BYTES)
RESET = struct.pack("ii", 1, 0)
# What a client sends before it leaves, by the state of its requests at that moment.
SENT_BY_STATE = {
    "no request": b"",
    "answered": GET,
    "in a head": b"GET / HTTP/1.1\r\nField: " + b"x" * 10_000,
    "in a body": HELD_POST + b"x" * (BODY_BYTES // 2),
    "in progress": HELD_POST + b"x" * BODY_BYTES,
    "behind one in progress": HELD_GET + 3 * GET,
    "unparsed": 8 * HELD_GET + 100 * GET,
    "refused": b"no request\r\n\r\n",
}


async def respond(request: messages.Request) -> messages.Response:
    if request.target == b"/held":
        await asyncio.Event().wait()
    return messages.Response(200, [], bytes(BODY_BYTES))


@contextlib.asynccontextmanager
async def serving(budget: memory_budget.MemoryBudget):
    loop = asyncio.get_running_loop()
    http_server = server.Server(respond, loop.time, routes.CallerLimits, budget)
    port = await http_server.start("127.0.0.1", 0)
    try:
        yield http_server, port
    finally:
        await http_server.aclose()


async def connect_and_send(http_server, port: int, data: bytes):
    """Return a client's socket and a reference to its connection."""
    loop = asyncio.get_running_loop()
    sock = socket.create_connection(("127.0.0.1", port))
    sock.setblocking(False)
    while not http_server.connection_count:
        await asyncio.sleep(0)
    (connection,) = http_server._state.connections
    await loop.sock_sendall(sock, data)
    while http_server.unread_bytes():
        await asyncio.sleep(0)
    return sock, weakref.ref(connection)


async def wait_until_closed(http_server) -> None:
    async with asyncio.timeout(20):
        while http_server.connection_count:
            await asyncio.sleep(0.01)
    # Cancelled tasks end in the iterations after.
    for _ in range(5):
        await asyncio.sleep(0)


# Guards against instances that run out of memory over requests whose clients have left:
# the budget was released, but bodies and responses stayed until a garbage collection.
@pytest.mark.parametrize("is_reset", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize("state", SENT_BY_STATE)
async def test_connection_is_freed_when_its_client_leaves(state, is_reset):
    budget = memory_budget.MemoryBudget()
    async with serving(budget) as (http_server, port):
        data = SENT_BY_STATE[state]
        sock, reference = await connect_and_send(http_server, port, data)
        if is_reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()
        await wait_until_closed(http_server)
        assert reference() is None
        assert budget.used_bytes == 0


async def test_connection_is_freed_when_the_server_is_closed():
    budget = memory_budget.MemoryBudget()
    async with serving(budget) as (http_server, port):
        sock, reference = await connect_and_send(http_server, port, GET)
        with sock:
            await http_server.finish(asyncio.get_running_loop().time())
            await http_server.aclose()
            await wait_until_closed(http_server)
            assert reference() is None
            assert budget.used_bytes == 0


# Guards against bodies without end that aren't discarded first, as the request before
# them said how long it was.
async def test_has_known_length_is_that_of_the_request_being_received():
    async with serving(memory_budget.MemoryBudget()) as (http_server, port):
        post = b"POST / HTTP/1.1\r\n" + HEAD
        first = post + b"Content-Length: 2\r\n\r\nok"
        second = post + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
        sock, reference = await connect_and_send(http_server, port, first + second)
        with sock:
            async with asyncio.timeout(20):
                while reference()._request_count < 1 or http_server.requests_in_flight:
                    await asyncio.sleep(0.001)
            assert reference()._body.size_bytes == 2
            assert not reference().has_known_length
