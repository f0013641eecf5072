"""Tests of the HTTP/1.1 client against regular and misbehaving endpoints."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from yuccapitch.gateway.http1 import client, messages

COMPLETE = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


@contextlib.asynccontextmanager
async def endpoint(*responses: bytes, closes: bool = False):
    """Serve the listed responses, one for each request."""
    remaining = list(responses)

    async def handle(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while remaining:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(remaining.pop(0))
                await writer.drain()
                if closes:
                    break
            else:
                await reader.read(-1)
        writer.close()

    tcp_server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        loop = asyncio.get_running_loop()
        port = tcp_server.sockets[0].getsockname()[1]
        yield client.Pool("127.0.0.1", port, loop.time)
    finally:
        tcp_server.close()


def is_first(response: messages.Response) -> bool:
    return response.header(b"id") in (None, b"1")


async def send(pool: client.Pool):
    connection = await pool.acquire(5.0, 5.0)
    assert isinstance(connection, client.Connection)
    async with asyncio.timeout(20):
        outcome = await connection.exchange(REQUEST, is_first, False)
    pool.release(connection)
    return outcome


async def test_exchange_returns_a_complete_response_and_keeps_the_connection():
    async with endpoint(COMPLETE, COMPLETE) as pool:
        assert (await send(pool)).body == b"ok"
        assert (await send(pool)).body == b"ok"
        assert pool.connect_count == 1


async def test_exchange_returns_a_response_delimited_by_connection_close():
    async with endpoint(b"HTTP/1.1 200 OK\r\n\r\nok", closes=True) as pool:
        assert (await send(pool)).body == b"ok"


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (COMPLETE[:-1], client.Fault.BROKEN),
        (b"", client.Fault.BROKEN),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok", "broken"),
        (b"rubbish\r\n\r\n", client.Fault.MALFORMED),
    ],
)
async def test_exchange_fails_on_an_incomplete_or_malformed_response(data, fault):
    async with endpoint(data, closes=True) as pool:
        outcome = await send(pool)
    assert isinstance(outcome, client.Failure)
    assert outcome.was_sent
    # "broken" accepts any fault.
    assert fault in (outcome.fault, "broken")


async def test_exchange_discards_a_late_response_to_an_earlier_request():
    late = COMPLETE.replace(b"Id: 1", b"Id: 9").replace(b"ok", b"no")
    async with endpoint(late + COMPLETE, COMPLETE) as pool:
        assert (await send(pool)).body == b"ok"
        await send(pool)
        assert pool.connect_count == 2


async def test_exchange_does_not_reuse_a_connection_with_trailing_bytes():
    async with endpoint(COMPLETE + b"more", COMPLETE) as pool:
        assert (await send(pool)).body == b"ok"
        assert (await send(pool)).body == b"ok"
        assert pool.connect_count == 2


async def test_acquire_does_not_reuse_a_connection_idle_for_too_long():
    async with endpoint(COMPLETE, COMPLETE) as pool:
        await send(pool)
        # Any idle time exceeds the negative limit.
        connection = await pool.acquire(5.0, -1.0)
        assert pool.connect_count == 2
        assert isinstance(connection, client.Connection)
        connection.close()


async def test_acquire_reports_a_refused_connection():
    async with endpoint() as pool:
        pass
    outcome = await pool.acquire(5.0, 5.0)
    assert isinstance(outcome, client.Failure)
    assert not outcome.was_sent


def test_parse_keep_alive_timeout_s_reads_the_keep_alive_header():
    assert client.parse_keep_alive_timeout_s(b"timeout=7, max=9") == 7.0
    assert client.parse_keep_alive_timeout_s(b"max=9") is None
    assert client.parse_keep_alive_timeout_s(None) is None


async def test_exchange_does_not_reuse_a_connection_with_an_unsent_request_body():
    # The endpoint would read the next request as the rest of the body.
    async def respond_early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(COMPLETE)
        await asyncio.Event().wait()

    tcp_server = await asyncio.start_server(respond_early, "127.0.0.1", 0)
    loop = asyncio.get_running_loop()
    port = tcp_server.sockets[0].getsockname()[1]
    pool = client.Pool("127.0.0.1", port, loop.time)
    connection = await pool.acquire(5.0, 5.0)
    size = 64 * 1024 * 1024
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
    async with asyncio.timeout(20):
        outcome = await connection.exchange(head + bytes(size), is_first, False)
    assert outcome.body == b"ok"
    assert not connection.is_usable
    tcp_server.close()
