"""Tests of connections and requests that the kernel holds when a socket is closed."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import pytest
from aiohttp import web

from yuccapitch.gateway.http1 import server as http1_server
from yuccapitch.node import http_connection, http_server

CLIENTS = 8
MAX_HEADER_BYTES = 16_384
RECEIVED_BYTES = 65_536


async def answer(request: web.Request) -> web.Response:
    return web.Response(text=f"answer to {request.path}")


@contextlib.asynccontextmanager
async def serving(
    *on_response: Callable[[web.Request, web.StreamResponse], Awaitable[None]],
) -> AsyncIterator[http_server.HttpServer]:
    application = web.Application()
    application.on_response_prepare.extend(on_response)
    application.router.add_get("/{name}", answer)
    async with contextlib.AsyncExitStack() as stack:
        server = http_server.HttpServer("127.0.0.1", 0, MAX_HEADER_BYTES)
        await server.serve(application, stack)
        yield server


@contextlib.contextmanager
def connecting(server: http_server.HttpServer) -> Iterator[socket.socket]:
    address = server.address
    with socket.create_connection((address.host, address.port)) as client:
        client.settimeout(10.0)
        yield client


def send(client: socket.socket, path: str) -> None:
    """Send a whole request; the event loop does not run meanwhile."""
    client.sendall(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())


async def wait_until_idle(server: http_server.HttpServer) -> http_connection.Connection:
    """Return the server's only connection once it waits for a request."""
    assert server._runner.server is not None
    async with asyncio.timeout(20):
        while True:
            for connection in server._runner.server.connections:
                assert isinstance(connection, http_connection.Connection)
                if not connection.is_busy:
                    return connection
            await asyncio.sleep(0.01)


async def receive(client: socket.socket) -> bytes:
    return await asyncio.to_thread(client.recv, RECEIVED_BYTES)


# Guards against connections that the kernel has taken, each with a whole request, and
# that are reset without an answer or a log line when the listener is closed.
async def test_stop_listening_serves_connections_that_wait_to_be_accepted() -> None:
    async with serving() as server:
        with contextlib.ExitStack() as stack:
            clients = [stack.enter_context(connecting(server)) for _ in range(CLIENTS)]
            for client in clients:
                send(client, "/1")
            async with asyncio.timeout(20):
                await server.stop_listening()
            received = [await receive(client) for client in clients]
    assert [data.endswith(b"answer to /1") for data in received] == [True] * CLIENTS
    assert all(b"\r\nConnection: close\r\n" in data for data in received)


# Guards against a request that arrived while the event loop was late, and whose
# connection is closed as idle because nobody asks whether bytes are unread.
async def test_keep_alive_timer_serves_a_request_that_is_not_read() -> None:
    async with serving() as server:
        with connecting(server) as client:
            connection = await wait_until_idle(server)
            send(client, "/1")
            connection._next_keepalive_close_time = 0.0
            connection._process_keepalive()
            assert (await receive(client)).endswith(b"answer to /1")


# Guards against a connection that is closed over the start of a request head, whose
# client would have had time to complete it.
async def test_keep_alive_timer_lets_a_request_head_be_completed() -> None:
    async with serving() as server:
        with connecting(server) as client:
            connection = await wait_until_idle(server)
            client.sendall(b"GET /1 HTTP/1.1\r\n")
            while not connection.is_busy:
                await asyncio.sleep(0)
            connection._next_keepalive_close_time = 0.0
            connection._process_keepalive()
            client.sendall(b"Host: h\r\n\r\n")
            assert (await receive(client)).endswith(b"answer to /1")


# Guards against a rejection of a request head whose rest arrived in time, but was not
# read because the event loop was late.
async def test_head_timer_serves_a_request_whose_end_is_not_read() -> None:
    async with serving() as server:
        with connecting(server) as client:
            connection = await wait_until_idle(server)
            client.sendall(b"GET /1 HTTP/1.1\r\n")
            while connection._head_timer is None:
                await asyncio.sleep(0)
            client.sendall(b"Host: h\r\n\r\n")
            connection._head_timer._run()
            assert (await receive(client)).endswith(b"answer to /1")


async def test_head_timer_rejects_a_head_that_is_incomplete() -> None:
    async with serving() as server:
        with connecting(server) as client:
            connection = await wait_until_idle(server)
            client.sendall(b"GET /1 HTTP/1.1\r\n")
            while connection._head_timer is None:
                await asyncio.sleep(0)
            connection._head_timer._run()
            assert (await receive(client)).startswith(b"HTTP/1.1 408")


async def test_keep_alive_timer_closes_an_idle_connection() -> None:
    async with serving() as server:
        with connecting(server) as client:
            connection = await wait_until_idle(server)
            connection._next_keepalive_close_time = 0.0
            connection._process_keepalive()
            assert await receive(client) == b""


# Guards against the same at a stop, also shortly after another response.
@pytest.mark.parametrize("is_first", [True, False])
async def test_finish_requests_serves_a_request_that_is_not_read(
    is_first: bool,
) -> None:
    with contextlib.ExitStack() as stack:
        async with serving() as server:
            client = stack.enter_context(connecting(server))
            await wait_until_idle(server)
            if not is_first:
                send(client, "/0")
                assert (await receive(client)).endswith(b"answer to /0")
                await wait_until_idle(server)
            send(client, "/1")
            async with asyncio.timeout(20):
                await server._runner.finish_requests()
        assert (await receive(client)).endswith(b"answer to /1")


# Guards against a stop that waits for connections whose end is unread.
async def test_finish_requests_does_not_wait_for_a_client_that_has_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_connection, "FINISH_LIMIT_S", None)
    async with serving() as server:
        with connecting(server) as client:
            await wait_until_idle(server)
            client.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(20):
                await server._runner.finish_requests()
            assert await receive(client) == b""


# Guards against a request that the kernel takes between the close of an idle transport
# and the close of its socket in the next iteration of the event loop.
async def test_close_of_an_idle_connection_reaches_the_client_at_once() -> None:
    async with serving() as server:
        with connecting(server) as client:
            connection = await wait_until_idle(server)
            connection.force_close()
            assert client.recv(RECEIVED_BYTES) == b""


# Guards against a stop that announces a close over a request which isn't read yet, and
# drops the request.
async def test_close_after_last_response_serves_a_request_that_is_not_read() -> None:
    unsent_paths = ["/2"]

    async def send_next(request: web.Request, response: web.StreamResponse) -> None:
        if unsent_paths:
            send(client, unsent_paths.pop())
        http_server.close_after_last_response(request, response)

    async with serving(send_next) as server:
        with connecting(server) as client:
            send(client, "/1")
            received = b""
            while data := await receive(client):
                received += data
    bodies = [part[:11] for part in received.split(b"\r\n\r\n")[1:]]
    assert bodies == [b"answer to /", b"answer to /"]
    assert received.endswith(b"answer to /2")
    assert received.count(b"\r\nConnection: close\r\n") == 1


# Guards against instances that run out of memory over bytes that have arrived and were
# not read: the kernel lets the buffer of a connection grow to tens of megabytes.
async def test_server_bounds_what_the_kernel_holds_of_a_connection():
    async with serving() as server:
        with connecting(server):
            connection = await wait_until_idle(server)
            sock = connection.transport.get_extra_info("socket")
            size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            # The kernel doubles the size that was asked for.
            assert size == 2 * http1_server.RECEIVE_BUFFER_BYTES
