"""Tests of connections and requests that the kernel holds when a socket is closed."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import AsyncIterator

import pytest

from yuccapitch.catalogue import routes
from yuccapitch.gateway.http1 import messages, server

CLIENTS = 8
IDLE_S = 60.0
LARGE_BODY_BYTES = 16 * 1024 * 1024


async def answer(request: messages.Request) -> messages.Response:
    return messages.Response(200, [(b"x-target", request.target)], b"")


@contextlib.asynccontextmanager
async def serving(
    handler: server.Handler = answer,
) -> AsyncIterator[tuple[server.Server, int]]:
    loop = asyncio.get_running_loop()
    http_server = server.Server(handler, loop.time, routes.CallerLimits)
    port = await http_server.start("127.0.0.1", 0)
    try:
        yield http_server, port
    finally:
        await http_server.aclose()


@contextlib.contextmanager
def connecting(port: int):
    with socket.create_connection(("127.0.0.1", port)) as client:
        client.settimeout(10.0)
        yield client


def send(client: socket.socket, target: str) -> None:
    """Send a whole request; the event loop does not run meanwhile."""
    client.sendall(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())


async def receive(client: socket.socket) -> bytes:
    return await asyncio.to_thread(client.recv, 4096)


# Guards against connections that the kernel has taken, each with a whole request, and
# that are reset without an answer or a log line when a listener is closed.
async def test_finish_serves_connections_that_wait_to_be_accepted():
    async with serving() as (http_server, port):
        with contextlib.ExitStack() as stack:
            clients = [stack.enter_context(connecting(port)) for _ in range(CLIENTS)]
            for client in clients:
                send(client, "/1")
            http_server.drain()
            async with asyncio.timeout(20):
                finishing = asyncio.create_task(http_server.finish(float("inf")))
                received = [await receive(client) for client in clients]
                await finishing
    assert [b"x-target: /1" in data for data in received] == [True] * CLIENTS


# Guards against connections that a control instance drops as it stops: asyncio has
# accepted them in the iteration in which the tasks start that close the servers.
async def test_finish_serves_connections_accepted_as_its_task_starts():
    async with serving() as (http_server, port):
        with contextlib.ExitStack() as stack:
            clients = [stack.enter_context(socket.socket()) for _ in range(CLIENTS)]

            def connect() -> None:
                for client in clients:
                    client.settimeout(10.0)
                    client.connect(("127.0.0.1", port))
                    send(client, "/1")

            async with asyncio.timeout(20):
                asyncio.get_running_loop().call_later(0.05, connect)
                await asyncio.sleep(0.05)
                await asyncio.gather(http_server.finish(float("inf")))
                received = [await receive(client) for client in clients]
    assert [b"x-target: /1" in data for data in received] == [True] * CLIENTS


# Guards against a request that arrived while the event loop was busy, and whose
# connection is closed as idle because nobody asks whether bytes are unread.
@pytest.mark.parametrize("closes_by_timer", [False, True])
async def test_idle_close_serves_a_request_that_is_not_read(closes_by_timer):
    async with serving() as (http_server, port):
        with connecting(port) as client:
            while not http_server.connection_count:
                await asyncio.sleep(0)
            (connection,) = http_server._state.connections
            connection._idle_since -= IDLE_S
            send(client, "/1")
            if closes_by_timer:
                connection._on_timer()
            else:
                connection.close_if_idle(server.LINGER_S)
            received = await receive(client)
    assert b"x-target: /1" in received


# Guards against bytes that the kernel takes after the close, and that are reset only
# once the event loop, which may be late, closes the socket.
async def test_idle_close_rejects_what_comes_later_without_the_event_loop():
    async with serving() as (http_server, port):
        with connecting(port) as client:
            while not http_server.connection_count:
                await asyncio.sleep(0)
            (connection,) = http_server._state.connections
            connection._idle_since -= IDLE_S
            connection.close_if_idle(server.LINGER_S)
            # The event loop does not run from here.
            assert client.recv(1) == b""
            send(client, "/1")
            poll = select.poll()
            poll.register(client, 0)
            ((_, found),) = poll.poll(5000)
    assert found & (select.POLLHUP | select.POLLERR)


# Guards against a connection that stays open for ever because its end counts as bytes
# that are not read yet.
@pytest.mark.parametrize("closes_by_timer", [False, True])
async def test_idle_close_ends_the_connection_of_a_client_that_has_left(
    closes_by_timer,
):
    async with serving() as (http_server, port):
        with connecting(port) as client:
            while not http_server.connection_count:
                await asyncio.sleep(0)
            (connection,) = http_server._state.connections
            connection._idle_since -= IDLE_S
            client.shutdown(socket.SHUT_WR)
            if closes_by_timer:
                connection._on_timer()
            else:
                connection.close_if_idle(server.LINGER_S)
            async with asyncio.timeout(20):
                while http_server.connection_count:
                    await asyncio.sleep(0.01)


# Guards against a rejection of headers that were in the kernel in time, and that a late
# event loop has not read.
async def test_header_timeout_reads_what_is_unread():
    async with serving() as (http_server, port):
        with connecting(port) as client:
            client.sendall(b"GET /1 HTTP/1.1\r\n")
            while not http_server.connection_count:
                await asyncio.sleep(0)
            (connection,) = http_server._state.connections
            while not connection._is_in_headers:
                await asyncio.sleep(0)
            client.sendall(b"Host: h\r\n\r\n")
            connection._on_timer()
            received = await receive(client)
    assert b"x-target: /1" in received


# Guards against a timer that fires a hundred times a second for as long as the rest of
# the headers is unread because earlier requests of the connection are not answered.
async def test_header_timeout_starts_again_while_reading_is_paused():
    may_respond = asyncio.Event()

    async def wait(request: messages.Request) -> messages.Response:
        await may_respond.wait()
        return await answer(request)

    async with serving(wait) as (http_server, port):
        with connecting(port) as client:
            for number in range(server.MAX_PIPELINED_REQUESTS):
                send(client, f"/{number}")
            client.sendall(b"GET /last HTTP/1.1\r\n")
            while http_server.requests_in_flight < server.MAX_PIPELINED_REQUESTS:
                await asyncio.sleep(0)
            (connection,) = http_server._state.connections
            assert connection._reading_pause.is_active and connection._is_in_headers
            client.sendall(b"Host: h\r\n\r\n")
            connection._on_timer()
            assert connection._timer is not None
            remaining_s = connection._timer.when() - asyncio.get_running_loop().time()
            may_respond.set()
            received = b""
            while b"x-target: /last" not in received:
                received += await receive(client)
    assert remaining_s > routes.CallerLimits().header_timeout_s / 2


# Guards against a request that the kernel holds when the process ends: its connection
# ended without an answer.
@pytest.mark.parametrize("state", ["waiting", "open", "incomplete"])
async def test_aclose_answers_a_request_that_is_not_read(state):
    async with serving() as (http_server, port):
        with connecting(port) as client:
            if state != "waiting":
                send(client, "/0")
                assert b"x-target: /0" in await receive(client)
            if state == "incomplete":
                (connection,) = http_server._state.connections
                client.sendall(b"GET /1 HTTP/1.1\r\n")
                while not connection._is_in_message:
                    await asyncio.sleep(0)
                client.sendall(b"Host: h\r\n\r\n")
            else:
                send(client, "/1")
            async with asyncio.timeout(20):
                await http_server.aclose()
            received = await receive(client)
    assert b"x-target: /1" in received
    assert b"connection: close" in received


# Guards against a process that ends with the rest of its last response unsent, although
# there is time left to send it.
async def test_aclose_sends_the_whole_response_to_a_request_that_is_not_read(
    monkeypatch,
):
    monkeypatch.setattr(server, "LAST_RESPONSES_S", 20.0)

    async def answer_at_length(request: messages.Request) -> messages.Response:
        return messages.Response(200, [], bytes(LARGE_BODY_BYTES))

    def receive_all(client: socket.socket) -> int:
        received = 0
        while data := client.recv(1024 * 1024):
            received += len(data)
        return received

    async with serving(answer_at_length) as (http_server, port):
        with connecting(port) as client:
            while not http_server.connection_count:
                await asyncio.sleep(0)
            (connection,) = http_server._state.connections
            send(client, "/1")
            receiving = asyncio.create_task(asyncio.to_thread(receive_all, client))
            await http_server.aclose()
            assert connection._transport.get_write_buffer_size() == 0
            assert await receiving > LARGE_BODY_BYTES


async def test_aclose_ends_in_time_beside_requests_that_are_not_answered():
    async def wait(request: messages.Request) -> messages.Response:
        await asyncio.Event().wait()
        raise AssertionError("the event is never set")

    async with serving(wait) as (http_server, port):
        with connecting(port) as client, connecting(port) as uploading:
            send(client, "/1")
            uploading.sendall(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na"
            )
            while (
                http_server.connection_count < 2 or not http_server.requests_in_flight
            ):
                await asyncio.sleep(0)
            async with asyncio.timeout(20):
                await http_server.aclose()
            assert http_server.requests_in_flight == 1


# Guards against a connection whose close is announced, and which ends, while its next
# request is in the kernel.
async def test_drain_answers_the_unread_request_behind_another():
    may_respond = asyncio.Event()

    async def wait(request: messages.Request) -> messages.Response:
        await may_respond.wait()
        return await answer(request)

    async with serving(wait) as (http_server, port):
        with connecting(port) as client:
            send(client, "/1")
            while not http_server.requests_in_flight:
                await asyncio.sleep(0)
            http_server.drain()
            may_respond.set()
            # The event loop reads it only after the first response is written.
            send(client, "/2")
            received = b""
            while data := await receive(client):
                received += data
    assert b"x-target: /1" in received
    assert b"x-target: /2" in received
    assert received.count(b"connection: close") == 1


async def test_unread_bytes_counts_what_the_kernel_holds():
    async with serving() as (http_server, port):
        with connecting(port) as client:
            send(client, "/first")
            assert (await receive(client)).startswith(b"HTTP/1.1 200")
            assert http_server.unread_bytes() == 0
            client.sendall(b"GET /second HTTP/1.1\r\n")
            assert http_server.unread_bytes() == 22
