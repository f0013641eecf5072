"""Tests of the HTTP/1.1 server over loopback connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import tracemalloc

import pytest

from yuccapitch.catalogue import routes
from yuccapitch.gateway.http1 import body_buffer, memory_budget, messages, server

LIMITS = routes.CallerLimits(200, 50, 0.2, 0.3)


async def echo(request: messages.Request) -> messages.Response:
    return messages.Response(200, [(b"x-target", request.target)], request.body)


@contextlib.asynccontextmanager
async def serving(handler=echo, limits=LIMITS, budget=None):
    loop = asyncio.get_running_loop()
    http_server = server.Server(handler, loop.time, lambda: limits, budget)
    port = await http_server.start("127.0.0.1", 0)
    try:
        yield http_server, port
    finally:
        await http_server.aclose()


async def exchange(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(20):
        received = await reader.read(-1)
    writer.close()
    return received


def get(target: str, extra_headers: str = "") -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: h\r\n{extra_headers}\r\n".encode()


CLOSE = "Connection: close\r\n"
# More than the kernel takes for a connection to a client that does not read.
LATE_RESPONSE_BYTES = 8 * 1024 * 1024
# About half of the longest time for which clients wait.
LATE_READ_S = 7.0


async def test_serve_answers_a_request_with_content_length():
    async with serving() as (_, port):
        data = b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        response = await exchange(port, data + b"Connection: close\r\n\r\nabc")
    assert response.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b"x-target: /a?b=1\r\n" in response
    assert response.endswith(b"\r\n\r\nabc")


async def test_serve_answers_a_chunked_request():
    async with serving() as (_, port):
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        body = b"Connection: close\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        response = await exchange(port, head + body)
    assert response.endswith(b"content-length: 3\r\n\r\nabc")


async def test_serve_answers_pipelined_requests_in_order():
    async def slow_first(request):
        await asyncio.sleep(0.05 if request.target == b"/0" else 0)
        return await echo(request)

    async with serving(slow_first) as (_, port):
        response = await exchange(port, get("/0") + get("/1") + get("/2", CLOSE))
    positions = [response.index(b"x-target: /%d" % n) for n in range(3)]
    assert positions == sorted(positions)


async def test_serve_closes_after_the_response_to_a_connection_close_request():
    handled: list[bytes] = []

    async def record(request):
        handled.append(request.target)
        return await echo(request)

    async with serving(record) as (_, port):
        response = await exchange(port, get("/0", CLOSE) + get("/1"))
    # What follows is not passed on and then cut.
    assert handled == [b"/0"]
    assert response.count(b"HTTP/1.1 200") == 1
    assert b"connection: close" in response


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
        (get("/", "Connection: upgrade\r\nUpgrade: other\r\n"), 501),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX-", 408),
    ],
)
async def test_serve_rejects_invalid_requests_and_exceeded_limits(data, status):
    async with serving() as (_, port):
        response = await exchange(port, data)
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert response.count(b"HTTP/1.1 ") == 1
    assert b"connection: close" in response


async def test_serve_closes_an_idle_connection():
    async with serving() as (_, port):
        # The client does not ask for the close; reading to the end returns only after
        # the idle timeout.
        assert await exchange(port, get("/")) != b""


async def test_serve_cancels_the_request_of_a_disconnected_client():
    cancelled = asyncio.Event()

    async def wait(request):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async with serving(wait) as (http_server, port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/"))
        while not http_server.requests_in_flight:
            await asyncio.sleep(0)
        writer.close()
        async with asyncio.timeout(20):
            await cancelled.wait()


# An end of the sending side can't be told from a close before something is sent, and
# what works for a client that has left must end.
async def test_serve_cancels_the_request_of_a_client_that_closes_its_sending_side():
    cancelled: list[bytes] = []

    async def wait(request):
        if request.target == b"/ready":
            return await echo(request)
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.append(request.target)
            raise
        raise AssertionError("the event is never set")

    async with serving(wait) as (http_server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/ready") + get("/late"))
        while http_server.requests_in_flight != 1:
            await asyncio.sleep(0)
        writer.write_eof()
        async with asyncio.timeout(20):
            received = await reader.read(-1)
            while not cancelled:
                await asyncio.sleep(0.01)
        writer.close()
    # A response that is ready is delivered, one that is awaited is not.
    assert received.count(b"HTTP/1.1 ") == 1
    assert b"x-target: /ready" in received
    assert cancelled == [b"/late"]


# Guards against keep-alive probes that end the connection of a client which waits for
# its response longer than sent data may stay unacknowledged.
async def test_serve_answers_a_client_that_waits_longer_than_the_user_timeout(
    monkeypatch,
):
    monkeypatch.setattr(server, "TCP_USER_TIMEOUT_MS", 500)

    async def respond_late(request):
        await asyncio.sleep(2.5 * server.KEEPALIVE_INTERVAL_S)
        return await echo(request)

    async with serving(respond_late) as (_, port):
        response = await exchange(port, get("/late", CLOSE))
    assert b"x-target: /late" in response


# Guards against responses that are lost as the kernel ends the connection of a client
# that reads them only after a while.
async def test_serve_answers_a_client_that_reads_late():
    async def respond(request):
        return messages.Response(200, [], bytes(LATE_RESPONSE_BYTES))

    async with serving(respond) as (_, port):
        with socket.socket() as sock:
            # A small window, as of a client with many connections.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", port))
            sock.sendall(get("/"))
            await asyncio.sleep(LATE_READ_S)
            sock.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=sock)
            async with asyncio.timeout(20):
                await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(LATE_RESPONSE_BYTES)
            writer.close()
    assert len(body) == LATE_RESPONSE_BYTES


POST = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_BYTES = 32 * 1024 * 1024
# Memory that the fields of one request may take, with the buffers of both sides.
MAX_FIELDS_MEMORY_BYTES = 4 * 1024 * 1024


# Guards against clients that end an instance by its memory: fields without end, each
# of which takes many times its size.
@pytest.mark.parametrize(
    ("beginning", "repeated"),
    [
        (b"GET /", b"x"),
        (POST, b"a:\r\n"),
        (POST + b"Padding: ", b"x"),
        (POST, b"x"),
        (CHUNKED + b"1\r\nx\r\n0\r\n", b"a: b\r\n"),
        (CHUNKED + b"0\r\nPadding: ", b"x"),
        (CHUNKED + b"1;", b"x"),
        (b"", b"\r\n"),
    ],
    ids=[
        "target", "headers", "value", "name", "trailers", "trailer", "extension",
        "blank",
    ],
)  # fmt: skip
async def test_serve_bounds_the_memory_of_fields_without_end(beginning, repeated):
    limits = routes.CallerLimits(header_timeout_s=60.0, idle_timeout_s=60.0)
    async with serving(limits=limits) as (_, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        reading = asyncio.ensure_future(reader.read())
        block = repeated * (65536 // len(repeated))
        sent_bytes = 0
        tracemalloc.start()
        writer.write(beginning)
        while not reading.done() and sent_bytes < ENDLESS_BYTES:
            writer.write(block)
            sent_bytes += len(block)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert sent_bytes < ENDLESS_BYTES
        assert peak_bytes < MAX_FIELDS_MEMORY_BYTES
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(20):
                assert (await reading).startswith(b"HTTP/1.1 431 ")
        writer.close()


async def test_serve_discards_the_trailer_section_of_a_request():
    received: list[messages.Request] = []

    async def record(request):
        received.append(request)
        return await echo(request)

    async with serving(record) as (_, port):
        data = CHUNKED.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        response = await exchange(port, data + b"1\r\nx\r\n0\r\nLate: 1\r\n\r\n")
    assert response.endswith(b"\r\n\r\nx")
    assert received[0].header(b"late") is None


UPLOAD_LIMITS = routes.CallerLimits(header_timeout_s=60.0, idle_timeout_s=60.0)


def upload(size: int) -> bytes:
    return POST + f"{CLOSE}Content-Length: {size}\r\n\r\n".encode()


# Guards against clients that end an instance by its memory together, each below the
# limit of one body.
async def test_serve_refuses_the_largest_upload_when_all_exceed_the_budget():
    budget = memory_budget.MemoryBudget(1024 * 1024)
    handled_sizes: list[int] = []

    async def record(request):
        handled_sizes.append(len(request.body))
        return messages.Response(200, [], b"")

    async with serving(record, UPLOAD_LIMITS, budget) as (_, port):
        large, small = 700_000, 400_000
        first = await asyncio.open_connection("127.0.0.1", port)
        first[1].write(upload(2 * large) + bytes(large))
        while budget.used_bytes < large:
            await asyncio.sleep(0.01)
        response = await exchange(port, upload(small) + bytes(small))
        assert response.startswith(b"HTTP/1.1 200 ")
        async with asyncio.timeout(20):
            refusal = await first[0].read()
        first[1].close()
    assert refusal.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 1" in refusal
    assert handled_sizes == [small]
    assert budget.used_bytes == 0


# Guards against clients that end an instance by its memory together: what the parser
# keeps of an incomplete field, and the objects of a request, weren't counted.
@pytest.mark.parametrize("pieces", [1, 3])
async def test_serve_refuses_incomplete_fields_that_exceed_the_budget(pieces):
    budget = memory_budget.MemoryBudget(64 * 1024)
    piece = b"x" * (12 * 1024 // pieces)
    async with serving(limits=UPLOAD_LIMITS, budget=budget) as (http_server, port):
        clients = [await asyncio.open_connection("127.0.0.1", port) for _ in range(8)]
        for _, writer in clients:
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nX: ")
        for _ in range(pieces):
            for _, writer in clients:
                writer.write(piece)
            await asyncio.sleep(0.1)
        peak_bytes = budget.peak_bytes
        for _, writer in clients:
            writer.write(b"\r\nConnection: close\r\n\r\n")
        responses = []
        for reader, writer in clients:
            with contextlib.suppress(ConnectionError):
                responses.append((await reader.read())[:12])
            writer.close()
    assert peak_bytes > budget.max_bytes
    assert responses.count(b"HTTP/1.1 503") >= 3
    assert responses.count(b"HTTP/1.1 200") >= 3
    assert budget.used_bytes == 0


async def test_serve_counts_the_objects_of_small_requests(held_handler):
    budget = memory_budget.MemoryBudget()
    async with serving(held_handler, UPLOAD_LIMITS, budget) as (http_server, port):
        sending = asyncio.create_task(
            exchange(port, get("/") * 3 + get("/", CLOSE)),
        )
        while http_server.requests_in_flight < 4:
            await asyncio.sleep(0)
        assert budget.used_bytes >= 4 * messages.REQUEST_OBJECT_BYTES
        held_handler.may_respond.set()
        await sending
    assert budget.used_bytes == 0


# Guards against requests that are taken on while those before them, which can't be
# discarded, take all the memory.
async def test_serve_refuses_requests_while_complete_ones_exceed_the_budget(
    held_handler,
):
    budget = memory_budget.MemoryBudget(100_000)
    async with serving(held_handler, UPLOAD_LIMITS, budget) as (http_server, port):
        retained = object()
        budget.retain(retained, budget.max_bytes)
        refusal = await exchange(port, get("/refused"))
        budget.retain(retained, 0)
        held_handler.may_respond.set()
        response = await exchange(port, get("/taken", CLOSE))
    assert refusal.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 1" in refusal
    assert response.startswith(b"HTTP/1.1 200 ")
    assert held_handler.targets == [b"/taken"]


# Guards against clients that take up the event loop by the smallest pieces of a body.
async def test_serve_refuses_an_upload_in_too_many_small_pieces():
    async def accept(request):
        return messages.Response(200, [], b"%d" % len(request.body))

    async with serving(accept, UPLOAD_LIMITS) as (_, port):
        head = POST + f"{CLOSE}Transfer-Encoding: chunked\r\n\r\n".encode()
        few, many = (
            head + b"1\r\nx\r\n" * count + b"0\r\n\r\n"
            for count in (
                body_buffer.MAX_SMALL_PIECES,
                2 * body_buffer.MAX_SMALL_PIECES,
            )
        )
        assert (await exchange(port, few)).startswith(b"HTTP/1.1 200 ")
        assert (await exchange(port, many)).startswith(b"HTTP/1.1 413 ")


@pytest.fixture
def held_handler():
    """Return a handler that answers once its event is set, and what it has taken."""
    return HeldHandler()


class HeldHandler:
    """Handler whose requests wait until they may be answered."""

    def __init__(self) -> None:
        self.may_respond = asyncio.Event()
        self.targets: list[bytes] = []
        self.most_at_once = 0
        self._at_once = 0

    async def __call__(self, request):
        self.targets.append(request.target)
        self._at_once += 1
        self.most_at_once = max(self.most_at_once, self._at_once)
        await self.may_respond.wait()
        self._at_once -= 1
        return await echo(request)


def blank_lines_upload(target: str, is_chunked: bool) -> bytes:
    """Return an upload whose body looks like the ends of many heads."""
    body = b"\r\n\r\n" * 2 * body_buffer.MAX_SMALL_PIECES
    head = f"POST {target} HTTP/1.1\r\nHost: h\r\n".encode()
    if is_chunked:
        chunk = b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


PIPELINED_REQUESTS = 2000


# Guards against clients that end an instance by its memory or take up its event loop:
# thousands of tiny requests, read at once, were all processed at once.
async def test_serve_processes_a_limited_number_of_pipelined_requests(held_handler):
    budget = memory_budget.MemoryBudget()
    async with serving(held_handler, UPLOAD_LIMITS, budget) as (http_server, port):
        targets = [b"/%d" % number for number in range(PIPELINED_REQUESTS)]
        requests = b"".join(get(target.decode()) for target in targets[:-1])
        sending = asyncio.create_task(
            exchange(port, requests + get(targets[-1].decode(), CLOSE))
        )
        while not http_server.requests_in_flight:
            await asyncio.sleep(0)
        (connection,) = http_server._state.connections
        # All that a read of the transport takes is counted, beside the requests.
        assert budget.used_bytes > PIPELINED_REQUESTS
        unparsed_bytes = connection._unparsed.memory_bytes
        assert unparsed_bytes
        requests_bytes = server.MAX_PIPELINED_REQUESTS * messages.REQUEST_OBJECT_BYTES
        assert budget.used_bytes >= unparsed_bytes + requests_bytes
        in_flight = http_server.requests_in_flight
        held_handler.may_respond.set()
        response = await sending
    assert in_flight <= server.MAX_PIPELINED_REQUESTS
    assert held_handler.most_at_once <= server.MAX_PIPELINED_REQUESTS
    assert held_handler.targets == targets
    answered = [
        line.removeprefix(b"x-target: ")
        for line in response.split(b"\r\n")
        if line.startswith(b"x-target: ")
    ]
    assert answered == targets
    assert budget.used_bytes == 0


# Guards against requests that were read and not parsed when an instance stops.
async def test_drain_answers_the_pipelined_requests_behind_the_limit(held_handler):
    count = 3 * server.MAX_PIPELINED_REQUESTS
    async with serving(held_handler, UPLOAD_LIMITS) as (http_server, port):
        requests = b"".join(get(f"/{number}") for number in range(count))
        sending = asyncio.create_task(exchange(port, requests))
        while not http_server.requests_in_flight:
            await asyncio.sleep(0)
        http_server.drain()
        held_handler.may_respond.set()
        response = await sending
    assert response.count(b"HTTP/1.1 200 ") == count
    assert response.count(b"connection: close") == 1


# Guards against uploads that are taken for pipelined requests: parted at each blank
# line, their bodies would come in too many small pieces.
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
async def test_serve_takes_uploads_of_blank_lines_before_many_requests(is_chunked):
    counts: list[int] = []
    at_once = 0

    async def record(request):
        nonlocal at_once
        at_once += 1
        counts.append(at_once)
        await asyncio.sleep(0)
        at_once -= 1
        return messages.Response(200, [], b"%d" % len(request.body))

    async with serving(record, UPLOAD_LIMITS) as (_, port):
        data = blank_lines_upload("/", is_chunked)
        followers = get("/") * PIPELINED_REQUESTS + get("/", CLOSE)
        response = await exchange(port, data + followers)
    assert response.count(b"HTTP/1.1 200 ") == PIPELINED_REQUESTS + 2
    assert b"\r\n\r\n%d" % (8 * body_buffer.MAX_SMALL_PIECES) in response
    # Where a chunked body ends is known only once it was parsed.
    behind_chunks = server.CHUNKED_PART_BYTES // len(get("/")) if is_chunked else 0
    assert max(counts) <= server.MAX_PIPELINED_REQUESTS + behind_chunks


@pytest.mark.parametrize("size", [0, 300_000])
async def test_serve_frees_the_memory_of_a_client_that_leaves(size):
    budget = memory_budget.MemoryBudget()

    async def wait(request):
        await asyncio.Event().wait()

    async with serving(wait, UPLOAD_LIMITS, budget) as (http_server, port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(upload(size) + bytes(size) if size else get("/"))
        while not http_server.requests_in_flight:
            await asyncio.sleep(0.01)
        assert budget.used_bytes >= size
        writer.transport.abort()
        async with asyncio.timeout(20):
            while budget.used_bytes:
                await asyncio.sleep(0.01)


async def test_serve_counts_the_responses_that_a_client_does_not_read():
    budget = memory_budget.MemoryBudget()
    size = 32 * 1024 * 1024

    async def respond(request):
        return messages.Response(200, [], bytes(size))

    async with serving(respond, UPLOAD_LIMITS, budget) as (_, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(get("/", CLOSE))
        async with asyncio.timeout(20):
            while budget.used_bytes < size / 2:
                await asyncio.sleep(0.01)
            assert len(await reader.read()) > size
            while budget.used_bytes:
                await asyncio.sleep(0.01)
        writer.close()


# Guards against responses that count as unread for as long as their connection lives.
async def test_serve_frees_the_responses_that_a_client_reads_late():
    budget = memory_budget.MemoryBudget()
    body = bytes(8 * 1024 * 1024)

    async def respond(request):
        return messages.Response(200, [], body)

    async with serving(respond, UPLOAD_LIMITS, budget) as (_, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(get("/"))
        async with asyncio.timeout(20):
            while budget.used_bytes < len(body) / 2:
                await asyncio.sleep(0.01)
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(body))
            while budget.used_bytes:
                await asyncio.sleep(0.01)
        writer.close()


# Guards against a client that ends an instance by its memory, or has others refused:
# it sends requests on and doesn't read the responses.
async def test_serve_bounds_the_responses_that_a_client_does_not_read():
    size, count = 512 * 1024, 80
    handled = 0

    async def respond(request):
        nonlocal handled
        handled += 1
        return messages.Response(200, [], bytes(size))

    async with serving(respond, UPLOAD_LIMITS) as (http_server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        for number in range(count):
            writer.write(get("/", CLOSE if number == count - 1 else ""))
            if number == server.MAX_PIPELINED_REQUESTS:
                # The others are read while responses are unsent.
                while not http_server.find_unfinished():
                    await asyncio.sleep(0)
        (connection,) = http_server._state.connections
        while not connection._is_writing_paused:
            await asyncio.sleep(0)
        await asyncio.sleep(0.5)
        (unfinished,) = http_server.find_unfinished()
        handled_unread = handled
        async with asyncio.timeout(20):
            received = await reader.read()
        writer.close()
    most = server.MAX_UNSENT_BYTES + (server.MAX_PIPELINED_REQUESTS + 1) * size
    assert unfinished.unsent_bytes <= most
    assert handled_unread < count
    assert received.count(b"HTTP/1.1 200 ") == handled == count


# Guards against endpoints that work on for a client that has left: a connection with
# many unanswered requests, or whose responses are not read, is closed late.
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("ahead", [b"", get("/more") * 3], ids=["read", "unread"])
async def test_serve_cancels_the_requests_of_a_client_that_sent_many_ahead(
    is_reset, ahead
):
    cancelled: list[bytes] = []

    async def wait(request):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.append(request.target)
            raise

    async with serving(wait) as (http_server, port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        count = server.MAX_PIPELINED_REQUESTS
        writer.write(b"".join(get(f"/{n}") for n in range(count)) + ahead)
        while http_server.requests_in_flight < count:
            await asyncio.sleep(0)
        if is_reset:
            writer.transport.abort()
        else:
            writer.close()
        async with asyncio.timeout(20):
            while http_server.requests_in_flight or http_server.connection_count:
                await asyncio.sleep(0.01)
    # All that was read is cancelled, none is answered.
    assert set(cancelled) >= {b"/%d" % n for n in range(count)}


async def test_serve_cancels_the_request_behind_a_response_that_is_not_read():
    is_cancelled = asyncio.Event()
    open_connections: list[int] = []

    async def respond(request):
        if request.target == b"/large":
            return messages.Response(200, [], bytes(64 * 1024 * 1024))
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            open_connections.append(http_server.connection_count)
            is_cancelled.set()
            raise
        raise AssertionError("the event is never set")

    async with serving(respond) as (http_server, port):
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.sendall(get("/large") + get("/waiting"))
            while not any(
                c._transport.get_write_buffer_size()
                for c in http_server._state.connections
            ):
                await asyncio.sleep(0.01)
            sock.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(20):
                await is_cancelled.wait()
    # Not only once the kernel has given up sending.
    assert open_connections == [1]


# Guards against work on behalf of a client that had left before its request was read,
# such as by an instance that was suspended meanwhile.
async def test_request_knows_that_its_client_has_left():
    states: list[bool] = []
    is_served = asyncio.Event()

    async def record(request):
        states.append(request.is_client_connected())
        is_served.set()
        return await echo(request)

    async with serving(record) as (_, port):
        # The event loop doesn't run before the client has left.
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.sendall(get("/"))
        async with asyncio.timeout(20):
            await is_served.wait()
    assert states == [False]


async def test_request_knows_that_its_client_is_connected():
    states: list[bool] = []

    async def record(request):
        states.append(request.is_client_connected())
        return await echo(request)

    async with serving(record) as (_, port):
        await exchange(port, get("/", CLOSE))
    assert states == [True]


@pytest.fixture
def logged_fields(monkeypatch) -> list[dict[str, object]]:
    """The fields of the events that the server has logged."""
    logged: list[dict[str, object]] = []
    monkeypatch.setattr(
        server.events, "event", lambda name, **fields: logged.append(fields)
    )
    return logged


def pending_response(position: int, response=None) -> server._PendingResponse:
    request = messages.Request(b"", b"", [], b"", 0.0, 1, position)
    return server._PendingResponse(request, True, response)


@pytest.mark.parametrize("is_own_close", [False, True])
@pytest.mark.parametrize(
    ("error", "reason"),
    [(None, "closed by the client"), (TimeoutError("x"), "TimeoutError('x')")],
)
async def test_lost_connection_is_logged_with_its_reason(
    error, reason, is_own_close, logged_fields
):
    state = server.ServerState(echo, lambda: 0.0, lambda: LIMITS)
    connection = server.Connection(state)
    connection.connection_lost(error)
    assert not logged_fields
    connection = server.Connection(state)
    connection._is_closing = is_own_close
    connection._pending_responses += [
        pending_response(1),
        pending_response(2, messages.Response(200, [], b"")),
        pending_response(3),
    ]
    connection.connection_lost(error)
    assert logged_fields == [
        {
            "connection": 2,
            "reason": "closed by this instance" if is_own_close else reason,
            "unanswered": 2,
            "undelivered": 1,
        }
    ]


async def test_find_unfinished_lists_responses_that_are_due_or_not_sent():
    is_first_answered = asyncio.Event()

    async def delay_first(request):
        if request.target == b"/0":
            await is_first_answered.wait()
        return await echo(request)

    async with serving(delay_first) as (http_server, port):
        task = asyncio.create_task(exchange(port, get("/0") + get("/1", CLOSE)))
        while http_server.requests_in_flight != 1:
            await asyncio.sleep(0)
        assert http_server.find_unfinished() == [
            server.UnfinishedConnection(1, [1], [2], 0)
        ]
        is_first_answered.set()
        await task
        assert http_server.find_unfinished() == []


async def test_drain_announces_the_close_and_finishes_pending_requests():
    may_respond = asyncio.Event()

    async def wait(request):
        await may_respond.wait()
        return await echo(request)

    async with serving(wait) as (http_server, port):
        task = asyncio.create_task(exchange(port, get("/")))
        while not http_server.requests_in_flight:
            await asyncio.sleep(0)
        http_server.drain()
        http_server.close_idle()
        may_respond.set()
        response = await task
    assert response.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in response


# An error of a handler must not keep the responses behind it from being sent.
@pytest.mark.parametrize("error", [ZeroDivisionError, asyncio.CancelledError])
async def test_serve_answers_500_when_the_handler_raises(error):
    async def break_first(request):
        if request.target == b"/0":
            raise error
        return await echo(request)

    async with serving(break_first) as (_, port):
        response = await exchange(port, get("/0") + get("/1", CLOSE))
    assert response.startswith(b"HTTP/1.1 500")
    assert b"x-target: /1" in response


async def test_drain_answers_every_pipelined_request_that_was_read():
    may_respond = asyncio.Event()

    async def wait(request):
        await may_respond.wait()
        return await echo(request)

    async with serving(wait) as (http_server, port):
        task = asyncio.create_task(exchange(port, get("/0") + get("/1") + get("/2")))
        while http_server.requests_in_flight < 3:
            await asyncio.sleep(0)
        http_server.drain()
        may_respond.set()
        response = await task
    assert [b"x-target: /%d" % n in response for n in range(3)] == [True] * 3
    assert response.count(b"connection: close") == 1


class RecordingTransport(asyncio.Transport):
    """A transport without a socket that records how it is closed."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[str] = []

    def is_closing(self) -> bool:
        return "close" in self.calls

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.calls.append("write_eof")

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        return

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        self.calls.append("close")


class IdleConnection:
    """A connection whose clock and limits the test sets."""

    def __init__(self, idle_timeout_s: float) -> None:
        self.now = 0.0
        self.limits = routes.CallerLimits(200, 50, 0.2, idle_timeout_s)
        state = server.ServerState(echo, lambda: self.now, lambda: self.limits)
        self.connection = server.Connection(state)
        self.transport = RecordingTransport()
        self.connection.connection_made(self.transport)

    def expire_timer(self, now: float) -> None:
        self.now = now
        self.connection._on_timer()


# Guards against a request that a client sends on a connection which the latest limit
# lets it reuse, and that is lost because the connection ends by the limit before.
async def test_idle_connection_stays_open_while_a_later_limit_allows_it():
    idle = IdleConnection(5.0)
    idle.limits = routes.CallerLimits(200, 50, 0.2, 15.0)
    idle.expire_timer(5.0)
    assert idle.transport.calls == []
    idle.expire_timer(14.9)
    assert idle.transport.calls == []
    idle.expire_timer(15.0)
    assert idle.transport.calls == ["close"]


# Guards against a request that crosses the close of an idle connection, is read and
# dropped, and whose client learns of it only when the connection ends a second later.
async def test_idle_connection_is_closed_without_reading_on():
    idle = IdleConnection(5.0)
    idle.expire_timer(5.0)
    assert idle.transport.calls == ["close"]


# Guards against a request that is lost beside a planned stop: its client has not seen
# yet that the idle connection was closed, and the request is read and dropped.
async def test_close_if_idle_does_not_read_on_after_a_long_idle_time():
    idle = IdleConnection(60.0)
    idle.now = 2 * server.LINGER_S
    idle.connection.close_if_idle(server.LINGER_S)
    assert idle.transport.calls == ["close"]


# Guards against a request that is in the buffers of a connection which was just used,
# and is read and dropped because a planned stop closes the connection.
async def test_finish_answers_a_request_that_was_not_read_yet():
    async with serving() as (http_server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/1"))
        await reader.readuntil(b"x-target: /1")
        http_server.drain()
        # Sent at once, so that it is in the buffers before the server runs again.
        writer.write(get("/2"))
        async with asyncio.timeout(20):
            await http_server.finish(float("inf"))
            received = await reader.read(-1)
        writer.close()
    assert b"x-target: /2" in received
    assert b"connection: close" in received


async def test_finish_leaves_a_recent_connection_open_for_a_while():
    idle = IdleConnection(60.0)
    idle.now = 0.5 * server.LINGER_S
    idle.connection.close_if_idle(server.LINGER_S)
    assert idle.transport.calls == []
    idle.now = server.LINGER_S
    idle.connection.close_if_idle(server.LINGER_S)
    assert idle.transport.calls == ["close"]


async def test_finish_ends_in_time_beside_a_connection_that_stays():
    async with serving() as (http_server, port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na")
        while not http_server.connection_count:
            await asyncio.sleep(0)
        async with asyncio.timeout(20):
            await http_server.finish(asyncio.get_running_loop().time() + 0.2)
        assert http_server.connection_count == 1
        writer.close()


# Guards against a response that a reset discards because the connection was closed
# with unread bytes while the response was still being sent.
async def test_close_reads_on_until_a_long_response_is_sent(monkeypatch):
    monkeypatch.setattr(server, "LINGER_S", 0.3)
    body = bytes(16 * 1024 * 1024)

    async def respond(request):
        return messages.Response(200, [], body)

    async with serving(respond) as (http_server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(get("/", CLOSE))
        # A slow client: the lingering close would be over if it had begun already.
        while not http_server.find_unfinished():
            await asyncio.sleep(0)
        await asyncio.sleep(3 * server.LINGER_S)
        writer.write(get("/"))
        received = 0
        async with asyncio.timeout(20):
            while data := await reader.read(65536):
                received += len(data)
        writer.close()
    assert received > len(body)


# Guards against a connection that stays open for ever, and holds up a planned stop.
async def test_serve_rejects_incomplete_headers_behind_a_request():
    async def respond_late(request):
        await asyncio.sleep(3 * LIMITS.header_timeout_s)
        return await echo(request)

    async with serving(respond_late) as (_, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/0"))
        await asyncio.sleep(0.05)
        writer.write(b"GET /1 HT")
        async with asyncio.timeout(20):
            received = await reader.read(-1)
        writer.close()
    assert b"x-target: /0" in received
    assert b"HTTP/1.1 408 " in received


# Guards against the same if the incomplete headers came in one piece with the request
# before them, so that no timer was started for them.
async def test_serve_rejects_incomplete_headers_read_with_a_request():
    async with serving() as (_, port):
        received = await exchange(port, get("/0") + b"GET /1 HT")
    assert b"x-target: /0" in received
    assert b"HTTP/1.1 408 " in received


async def test_shed_delivers_the_responses_before_the_refused_request():
    may_respond = asyncio.Event()

    async def wait(request):
        await may_respond.wait()
        return await echo(request)

    async with serving(wait) as (http_server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/0") + get("/1") + POST + b"Content-Length: 3\r\n\r\na")
        while http_server.requests_in_flight != 2:
            await asyncio.sleep(0)
        (connection,) = http_server._state.connections
        connection.shed("too many bytes")
        writer.write(b"bc" + get("/2"))
        await asyncio.sleep(0.05)
        may_respond.set()
        async with asyncio.timeout(20):
            received = await reader.read(-1)
        writer.close()
    positions = [received.index(b"x-target: /%d" % n) for n in range(2)]
    positions.append(received.index(b"HTTP/1.1 503 "))
    assert positions == sorted(positions)
    assert received.count(b"HTTP/1.1 ") == 3


async def test_reject_ignores_what_follows():
    is_first_answered = asyncio.Event()

    async def delay(request):
        await is_first_answered.wait()
        return await echo(request)

    async with serving(delay) as (http_server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(get("/0") + b"nonsense\r\n\r\n")
        while not http_server.find_unfinished():
            await asyncio.sleep(0)
        writer.write(b"more")
        await asyncio.sleep(0.05)
        (unfinished,) = http_server.find_unfinished()
        assert len(unfinished.undelivered_positions) == 1
        is_first_answered.set()
        async with asyncio.timeout(20):
            received = await reader.read(-1)
        writer.close()
    assert received.count(b"HTTP/1.1 ") == 2


# Guards against a response that a planned stop cuts while it is being sent, because the
# connection has been idle since the response was written.
async def test_finish_delivers_a_response_that_is_still_being_sent(monkeypatch):
    monkeypatch.setattr(server, "LINGER_S", 0.3)
    body = bytes(16 * 1024 * 1024)

    async def respond(request):
        return messages.Response(200, [], body)

    limits = routes.CallerLimits(200, 50, 20.0, 20.0)
    async with serving(respond, limits) as (http_server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(get("/"))
        await asyncio.sleep(3 * server.LINGER_S)
        http_server.drain()
        finishing = asyncio.create_task(http_server.finish(float("inf")))
        await asyncio.sleep(server.LINGER_S)
        writer.write(get("/"))
        received = 0
        async with asyncio.timeout(20):
            while data := await reader.read(65536):
                received += len(data)
            await finishing
        writer.close()
    assert received > len(body)


# Guards against an error in the parsing of one request that cuts the requests before it
# on the same connection.
async def test_serve_answers_the_requests_before_one_that_fails(monkeypatch, logged):
    on_url = server.Connection.on_url

    def fail_on_url(connection, url: bytes) -> None:
        if url == b"/bad":
            raise RuntimeError("broken")
        on_url(connection, url)

    async def slow(request):
        await asyncio.sleep(0.1)
        return await echo(request)

    monkeypatch.setattr(server.Connection, "on_url", fail_on_url)
    async with serving(slow) as (_, port):
        response = await exchange(port, get("/0") + get("/1") + get("/bad"))
    assert response.count(b"HTTP/1.1 200") == 2
    assert b"HTTP/1.1 500" in response[response.index(b"x-target: /1") :]
    [message] = [m for m in logged if m["message_type"] == "request.crashed"]
    assert "broken" in message["reason"]


# Guards against a response that can't be sent, whose request gets the next one's.
async def test_serve_answers_in_order_around_a_response_that_cannot_be_sent():
    async def respond(request):
        field = 7 if request.target == b"/1" else request.target
        return messages.Response(200, [(b"x-target", field)], b"")

    async with serving(respond) as (_, port):
        response = await exchange(port, get("/0") + get("/1") + get("/2", CLOSE))
    statuses = [part[:3] for part in response.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"200", b"500", b"200"]
    assert response.index(b"/0") < response.index(b"500") < response.index(b"/2")


# Guards against a stop that fails at one connection and cuts all others.
async def test_finish_waits_beside_a_connection_that_fails(monkeypatch, logged):
    close_if_idle = server.Connection.close_if_idle

    def fail_once(connection, min_idle_s: float) -> None:
        monkeypatch.setattr(server.Connection, "close_if_idle", close_if_idle)
        raise RuntimeError("broken")

    async def slow(request):
        await asyncio.sleep(0.2)
        return await echo(request)

    async with serving(slow) as (http_server, port):
        exchanges = [
            asyncio.create_task(exchange(port, get(f"/{n}", CLOSE))) for n in range(2)
        ]
        while http_server.requests_in_flight < 2:
            await asyncio.sleep(0.01)
        monkeypatch.setattr(server.Connection, "close_if_idle", fail_once)
        await http_server.finish(asyncio.get_running_loop().time() + 5.0)
        for received in await asyncio.gather(*exchanges):
            assert received.startswith(b"HTTP/1.1 200")
    assert "request.crashed" in [m["message_type"] for m in logged]
