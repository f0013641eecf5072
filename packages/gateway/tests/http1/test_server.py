"""The server towards callers, over real connections on loopback."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from yuccapitch.catalogue import routes
from yuccapitch.gateway.http1 import messages, server

LIMITS = routes.CallerLimits(200, 50, 0.2, 0.3)


async def echo(request: messages.Request) -> messages.Response:
    return messages.Response(200, [(b"x-target", request.target)], request.body)


@contextlib.asynccontextmanager
async def serving(handler=echo, limits=LIMITS):
    loop = asyncio.get_running_loop()
    listening = server.Server(handler, loop.time, lambda: limits)
    port = await listening.start("127.0.0.1", 0)
    try:
        yield listening, port
    finally:
        await listening.aclose()


async def exchange(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(20):
        received = await reader.read(-1)
    writer.close()
    return received


def get(target: str, extra: str = "") -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: h\r\n{extra}\r\n".encode()


CLOSE = "Connection: close\r\n"


async def test_serve_answers_a_request_with_a_length():
    async with serving() as (_, port):
        data = b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        answer = await exchange(port, data + b"Connection: close\r\n\r\nabc")
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b"x-target: /a?b=1\r\n" in answer
    assert answer.endswith(b"\r\n\r\nabc")


async def test_serve_answers_a_request_in_chunks():
    async with serving() as (_, port):
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        body = b"Connection: close\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        answer = await exchange(port, head + body)
    assert answer.endswith(b"content-length: 3\r\n\r\nabc")


async def test_serve_answers_pipelined_requests_in_order():
    async def slow_first(request):
        await asyncio.sleep(0.05 if request.target == b"/0" else 0)
        return await echo(request)

    async with serving(slow_first) as (_, port):
        answer = await exchange(port, get("/0") + get("/1") + get("/2", CLOSE))
    found = [answer.index(b"x-target: /%d" % n) for n in range(3)]
    assert found == sorted(found)


async def test_serve_closes_behind_the_answer_to_a_request_that_asks_for_it():
    async with serving() as (_, port):
        answer = await exchange(port, get("/0", CLOSE) + get("/1"))
    assert answer.count(b"HTTP/1.1 200") == 1
    assert b"connection: close" in answer


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (get("/", f"X-Long: {'x' * 300}\r\n"), 431),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 51\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"33\r\n" + b"x" * 51 + b"\r\n0\r\n\r\n",
            413,
        ),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX-", 408),
    ],
)
async def test_serve_refuses_what_breaks_the_limits(data, status):
    async with serving() as (_, port):
        answer = await exchange(port, data)
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert b"connection: close" in answer


async def test_serve_closes_an_idle_connection():
    async with serving() as (_, port):
        assert await exchange(port, get("/")) != b""


async def test_serve_cancels_the_request_of_a_caller_that_left():
    cancelled = asyncio.Event()

    async def wait(request):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async with serving(wait) as (listening, port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/"))
        while not listening.requests_in_flight:
            await asyncio.sleep(0)
        writer.close()
        async with asyncio.timeout(20):
            await cancelled.wait()


async def test_drain_announces_the_close_and_finishes_what_was_read():
    go_on = asyncio.Event()

    async def wait(request):
        await go_on.wait()
        return await echo(request)

    async with serving(wait) as (listening, port):
        task = asyncio.create_task(exchange(port, get("/")))
        while not listening.requests_in_flight:
            await asyncio.sleep(0)
        listening.drain()
        listening.close_idle()
        go_on.set()
        answer = await task
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in answer


async def test_serve_answers_500_when_the_handler_breaks():
    async def broken(request):
        raise ZeroDivisionError

    async with serving(broken) as (_, port):
        answer = await exchange(port, get("/", CLOSE))
    assert answer.startswith(b"HTTP/1.1 500")


async def test_drain_answers_every_pipelined_request_that_was_read():
    go_on = asyncio.Event()

    async def wait(request):
        await go_on.wait()
        return await echo(request)

    async with serving(wait) as (listening, port):
        task = asyncio.create_task(exchange(port, get("/0") + get("/1") + get("/2")))
        while listening.requests_in_flight < 3:
            await asyncio.sleep(0)
        listening.drain()
        go_on.set()
        answer = await task
    assert [b"x-target: /%d" % n in answer for n in range(3)] == [True] * 3
    assert answer.count(b"connection: close") == 1
