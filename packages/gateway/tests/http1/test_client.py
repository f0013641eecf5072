"""The client towards endpoints, against endpoints that misbehave."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from yuccapitch.gateway.http1 import client, messages

WHOLE = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


@contextlib.asynccontextmanager
async def endpoint(*answers: bytes, closes: bool = False):
    """Serve one answer a request on each connection."""
    left = list(answers)

    async def handle(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while left:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(left.pop(0))
                await writer.drain()
                if closes:
                    break
            else:
                await reader.read(-1)
        writer.close()

    listening = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        loop = asyncio.get_running_loop()
        port = listening.sockets[0].getsockname()[1]
        yield client.Pool("127.0.0.1", port, loop.time)
    finally:
        listening.close()


def is_first(answer: messages.Response) -> bool:
    return answer.header(b"id") in (None, b"1")


async def send(pool: client.Pool):
    connection = await pool.acquire(5.0, 5.0)
    assert isinstance(connection, client.Connection)
    async with asyncio.timeout(20):
        outcome = await connection.exchange(REQUEST, is_first, False)
    pool.release(connection)
    return outcome


async def test_exchange_returns_a_whole_answer_and_keeps_the_connection():
    async with endpoint(WHOLE, WHOLE) as pool:
        assert (await send(pool)).body == b"ok"
        assert (await send(pool)).body == b"ok"
        assert pool.connect_count == 1


async def test_exchange_returns_an_answer_that_ends_with_its_connection():
    async with endpoint(b"HTTP/1.1 200 OK\r\n\r\nok", closes=True) as pool:
        assert (await send(pool)).body == b"ok"


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (WHOLE[:-1], client.Fault.BROKEN),
        (b"", client.Fault.BROKEN),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok", "broken"),
        (b"rubbish\r\n\r\n", client.Fault.MALFORMED),
    ],
)
async def test_exchange_fails_on_what_is_no_whole_answer(data, fault):
    async with endpoint(data, closes=True) as pool:
        outcome = await send(pool)
    assert isinstance(outcome, client.Failure)
    assert outcome.was_sent
    assert fault in (outcome.fault, "broken")


async def test_exchange_skips_a_late_answer_to_an_earlier_request():
    late = WHOLE.replace(b"Id: 1", b"Id: 9").replace(b"ok", b"no")
    async with endpoint(late + WHOLE, WHOLE) as pool:
        assert (await send(pool)).body == b"ok"
        await send(pool)
        assert pool.connect_count == 2


async def test_exchange_does_not_reuse_a_connection_with_extra_bytes():
    async with endpoint(WHOLE + b"more", WHOLE) as pool:
        assert (await send(pool)).body == b"ok"
        assert (await send(pool)).body == b"ok"
        assert pool.connect_count == 2


async def test_acquire_does_not_use_a_connection_that_is_idle_for_long():
    async with endpoint(WHOLE, WHOLE) as pool:
        await send(pool)
        connection = await pool.acquire(5.0, -1.0)
        assert pool.connect_count == 2
        assert isinstance(connection, client.Connection)
        connection.close()


async def test_acquire_reports_a_port_without_a_listener():
    async with endpoint() as pool:
        pass
    outcome = await pool.acquire(5.0, 5.0)
    assert isinstance(outcome, client.Failure)
    assert not outcome.was_sent


def test_idle_seconds_reads_the_keep_alive_header():
    assert client.parse_keep_alive_timeout_s(b"timeout=7, max=9") == 7.0
    assert client.parse_keep_alive_timeout_s(b"max=9") is None
    assert client.parse_keep_alive_timeout_s(None) is None


async def test_exchange_leaves_a_connection_on_which_a_body_is_still_due():
    async def answer_early(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WHOLE)
        await asyncio.Event().wait()

    listening = await asyncio.start_server(answer_early, "127.0.0.1", 0)
    loop = asyncio.get_running_loop()
    port = listening.sockets[0].getsockname()[1]
    pool = client.Pool("127.0.0.1", port, loop.time)
    connection = await pool.acquire(5.0, 5.0)
    size = 64 * 1024 * 1024
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
    async with asyncio.timeout(20):
        outcome = await connection.exchange(head + bytes(size), is_first, False)
    assert outcome.body == b"ok"
    assert not connection.is_usable
    listening.close()
