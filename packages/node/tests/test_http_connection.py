from __future__ import annotations

import asyncio
import contextlib
import tracemalloc

import aiohttp
import pytest
from aiohttp import web, web_protocol

from yuccapitch.gateway import outcomes, request_body
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


async def upload_in_chunks(chunk: bytes, count: int) -> tuple[bytes, int]:
    """Return the response to a chunked upload, and how much of it was read."""
    received_sizes: list[int] = []

    async def receive(request: web.Request) -> web.Response:
        buffered = await request_body.buffer_body(request, 64 * 1024 * 1024, 20.0)
        if buffered.is_err():
            return outcomes.failure_response(buffered.err_value, 0)
        try:
            async for data in buffered.ok_value.iter_chunks():
                received_sizes.append(len(data))
        except request_body.BodyError as error:
            return outcomes.failure_response(request_body.body_failure(error.fault), 0)
        return web.Response()

    app = web.Application()
    app.router.add_post("/", receive)
    server = http_server.HttpServer("127.0.0.1", 0, 16_384)
    async with contextlib.AsyncExitStack() as stack:
        await server.serve(app, stack)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.address.port)
        stack.callback(writer.close)
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        encoded = b"%x\r\n%b\r\n" % (len(chunk), chunk)
        writer.write(encoded * count + b"0\r\n\r\n")
        async with asyncio.timeout(60):
            received = await reader.read()
    return received, sum(received_sizes)


# Guards against clients that take up the event loop by the smallest chunks of a body,
# or by extensions of chunks.
@pytest.mark.parametrize(
    ("chunk", "count"), [(b"x", 2 * 1024 * 1024)], ids=["one-byte"]
)
async def test_connection_refuses_an_upload_in_too_many_small_chunks(
    chunk: bytes, count: int
) -> None:
    received, read_bytes = await upload_in_chunks(chunk, count)
    assert received.startswith(b"HTTP/1.1 413 ")
    assert b"body-fragmented" in received
    assert read_bytes < count / 4


@pytest.mark.parametrize(
    ("chunk", "count"),
    [(b"x", 16_384), (bytes(100), 200_000), (bytes(65_536), 400)],
    ids=["few", "small", "large"],
)
async def test_connection_receives_an_upload_in_chunks(
    chunk: bytes, count: int
) -> None:
    received, read_bytes = await upload_in_chunks(chunk, count)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert read_bytes == len(chunk) * count


# Guards against clients that end a process by its memory: thousands of tiny requests,
# read at once, or a large head behind a request that is being answered.
async def test_connection_takes_a_limited_number_of_pipelined_requests() -> None:
    may_respond = asyncio.Event()
    count = 2000

    async def answer(request: web.Request) -> web.Response:
        await may_respond.wait()
        return web.Response(text=request.query_string)

    app = web.Application()
    app.router.add_get("/", answer)
    server = http_server.HttpServer("127.0.0.1", 0, 16_384)
    async with contextlib.AsyncExitStack() as stack:
        await server.serve(app, stack)
        stack.callback(may_respond.set)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.address.port)
        stack.callback(writer.close)
        for number in range(count):
            is_last = number == count - 1
            close = b"Connection: close\r\n" if is_last else b""
            writer.write(b"GET /?%d; HTTP/1.1\r\nHost: h\r\n%b\r\n" % (number, close))
        while not server._runner._connections():
            await asyncio.sleep(0)
        (connection,) = server._runner._connections()
        while not connection.has_waiting_requests:
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        waiting = len(connection._messages)
        may_respond.set()
        async with asyncio.timeout(20):
            received = await reader.read()
    assert waiting <= web_protocol.MAX_MSG_QUEUE_SIZE
    answered = [int(part.split(b";")[0]) for part in received.split(b"\r\n\r\n")[1:]]
    assert answered == list(range(count))


async def test_connection_rejects_a_large_head_behind_a_request() -> None:
    may_respond = asyncio.Event()

    async def answer(request: web.Request) -> web.Response:
        await may_respond.wait()
        return web.Response()

    app = web.Application()
    app.router.add_get("/", answer)
    server = http_server.HttpServer("127.0.0.1", 0, 16_384)
    async with contextlib.AsyncExitStack() as stack:
        await server.serve(app, stack)
        stack.callback(may_respond.set)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.address.port)
        stack.callback(writer.close)
        fields = [b"A%d: %b\r\n" % (number, bytes(8000)) for number in range(100)]
        fields = [field.replace(b"\0", b"x") for field in fields]
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        tracemalloc.start()
        stack.callback(tracemalloc.stop)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n")
        for field in fields:
            writer.write(field)
            await writer.drain()
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        current_bytes, _ = tracemalloc.get_traced_memory()
        writer.write(b"Connection: close\r\n\r\n")
        may_respond.set()
        async with asyncio.timeout(20):
            received = await reader.read()
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.count(b"HTTP/1.") == 2
    assert b" 431 " in received and b"head-too-large" in received
    assert current_bytes < 400_000
