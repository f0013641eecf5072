from __future__ import annotations

import asyncio
import contextlib
import tracemalloc

import aiohttp
import pytest
from aiohttp import web

from yuccapitch.node import http_server

BODY_BYTES = 300_000
TRAILING_BYTES = 1_000_000
READ_BYTES = 65_536
LONG_HEAD = b"GET / HTTP/1.1\r\n" + 100 * (b"X: " + 8000 * b"a" + b"\r\n")
HEAD_START = b"HTTP/1.1 200"
ENDLESS_BLOCKS = 512
# Memory that a connection may take, with the buffers of both sides.
MAX_KEPT_BYTES = 3 * 1024 * 1024


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


# Guards against a request that is dropped because of a malformed one in the same read,
# whose response its client takes for its own.
@pytest.mark.parametrize("count", [1, 40])
async def test_connection_serves_the_requests_before_a_malformed_one(
    count: int,
) -> None:
    async def answer(request: web.Request) -> web.Response:
        return web.Response(body=await request.read())

    app = web.Application()
    app.router.add_post("/", answer)
    server = http_server.HttpServer("127.0.0.1", 0, 16_384)
    async with contextlib.AsyncExitStack() as stack:
        await server.serve(app, stack)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.address.port)
        stack.callback(writer.close)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n"
        bodies = [b"%06d" % number for number in range(count)]
        writer.write(b"".join(head + body for body in bodies))
        writer.write(b"nonsense\r\n\r\n")
        async with asyncio.timeout(20):
            received = await reader.read()
    parts = received.split(b"\r\n\r\n")
    assert [part[:6] for part in parts[1:-1]] == bodies
    assert parts[-2][6:].startswith(b"HTTP/1.0 400")


# Guards against a reset, sent for bytes that the server has not read, which discards
# the responses before it.
@pytest.mark.parametrize(
    ("first_headers", "next_bytes", "last_status"),
    [
        (b"", LONG_HEAD, b"HTTP/1.1 431"),
        (b"", b"nonsense\r\n\r\n", b"HTTP/1.0 400"),
        (b"Connection: close\r\n", b"nonsense\r\n\r\n", b""),
    ],
    ids=["long-head", "malformed", "after-the-last"],
)
async def test_connection_delivers_responses_before_it_closes(
    first_headers: bytes, next_bytes: bytes, last_status: bytes
) -> None:
    started = asyncio.Event()

    async def answer(request: web.Request) -> web.Response:
        started.set()
        return web.Response(body=bytes(BODY_BYTES))

    app = web.Application()
    app.router.add_get("/", answer)
    server = http_server.HttpServer("127.0.0.1", 0, 16_384)
    async with contextlib.AsyncExitStack() as stack:
        await server.serve(app, stack)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.address.port, limit=1
        )
        stack.callback(writer.close)
        received = b""
        with contextlib.suppress(ConnectionError):
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n" + first_headers + b"\r\n")
            await started.wait()
            writer.write(next_bytes + TRAILING_BYTES * b"a")
            await writer.drain()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                received += data
    body = received.partition(b"\r\n\r\n")[2]
    assert len(body[:BODY_BYTES]) == BODY_BYTES
    assert body[BODY_BYTES:][: len(HEAD_START)] == last_status


# Guards against clients that end a process by its memory: behind a malformed head, each
# read of the transport was kept with its error.
@pytest.mark.parametrize(
    ("beginning", "repeated"),
    [
        (b"nonsense\r\n\r\n", b"nonsense\r\n\r\n"),
        (b"POST / HTTP/1.1\r\nHost: h\r\n", b"A: b\r\n"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", b"x"),
    ],
    ids=["head", "fields", "chunk"],
)
async def test_connection_keeps_nothing_behind_a_malformed_head(
    beginning: bytes, repeated: bytes
) -> None:
    may_respond = asyncio.Event()

    async def answer(request: web.Request) -> web.Response:
        await may_respond.wait()
        return web.Response()

    app = web.Application()
    app.router.add_get("/", answer)
    app.router.add_post("/", answer)
    server = http_server.HttpServer("127.0.0.1", 0, 16_384)
    async with contextlib.AsyncExitStack() as stack:
        await server.serve(app, stack)
        stack.callback(may_respond.set)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.address.port)
        stack.callback(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" + beginning)
        block = repeated * (READ_BYTES // len(repeated))
        tracemalloc.start()
        stack.callback(tracemalloc.stop)
        # The server may stop to read.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(10):
                for _ in range(ENDLESS_BLOCKS):
                    writer.write(block)
                    await writer.drain()
        _, peak_bytes = tracemalloc.get_traced_memory()
        may_respond.set()
        async with asyncio.timeout(20):
            received = await reader.read()
    assert peak_bytes < MAX_KEPT_BYTES
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.count(b"HTTP/1.") >= 2
