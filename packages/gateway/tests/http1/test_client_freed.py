"""What a connection to an endpoint leaves in memory once its exchange has ended."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import struct
import weakref

import pytest

from yuccapitch.catalogue import ids
from yuccapitch.gateway.front import endpoint_sender, headers
from yuccapitch.gateway.http1 import client, memory_budget, messages
from yuccapitch.steering.placement import endpoint_notices, model

NAMES = headers.HeaderNames(
    b"request-id",
    b"time-left",
    b"object",
    b"proof",
    b"expected",
    b"load",
    b"not-run",
    b"rate-limit",
    b"leaving",
)

pytestmark = pytest.mark.usefixtures("without_garbage_collector")
ENDPOINT = model.Endpoint(
    ids.EndpointId("e1"), ids.ServiceId("s"), "127.0.0.1", 0,
    ids.FailureDomainId("north-a"), ids.RegionId("north"), 4, False, 0.0, 0,
    ids.RegionId("north"),
)  # fmt: skip
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
BUDGET_BYTES = 40_000_000
PART_BYTES = 500_000
STATUS = b"HTTP/1.1 200 OK\r\n"
LENGTH = STATUS + b"Content-Length: %d\r\n\r\n" % (2 * PART_BYTES)
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
PART = b"x" * PART_BYTES
COMPLETE = LENGTH + 2 * PART
TRAILER = b"Trailer: " + b"x" * 60_000 + b"\r\n"
CHUNK = b"%x\r\n%b\r\n" % (PART_BYTES, PART)
RESET = struct.pack("ii", 1, 0)
# Complete responses after which the connection is kept.
KEPT_RESPONSES = {
    "length": COMPLETE,
    "chunks": CHUNKED + 2 * CHUNK + b"0\r\n\r\n",
    "trailer": CHUNKED + CHUNK + b"0\r\n" + TRAILER + b"\r\n",
    "interim": b"HTTP/1.1 103 Early\r\nField: " + b"x" * 60_000 + b"\r\n\r\n" + LENGTH
    + 2 * PART,
}  # fmt: skip
# Complete responses after which the connection is closed.
CLOSED_RESPONSES = {
    "announced": COMPLETE.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"),
    "extra response": COMPLETE + COMPLETE,
    "extra head": COMPLETE + LENGTH[:-4],
    "extra bytes": COMPLETE + b"junk" * 1000,
}
# Responses that are refused.
REFUSED_RESPONSES = {
    "head": STATUS + b"Field: " + b"x" * 300_000,
    "head of fields": STATUS + 3_000 * (b"Field: " + b"x" * 100 + b"\r\n"),
    "stated length": STATUS + b"Content-Length: 90000000\r\n\r\n",
    "without length": STATUS + b"\r\n" + 35 * PART,
    "chunks without end": CHUNKED + 35 * CHUNK,
    "pieces": CHUNKED + 20_000 * b"1\r\nx\r\n",
    "trailer": CHUNKED + CHUNK + b"0\r\n" + 3 * TRAILER,
    "trailer without end": CHUNKED + CHUNK + b"0\r\nTrailer: " + 800 * 1024 * b"x",
    "junk": b"junk" * 1000,
    "junk for a size": CHUNKED + CHUNK + b"junk" * 1000,
    "status": b"HTTP/1.1 999 No\r\nField: " + b"x" * 10_000 + b"\r\n\r\n",
    "upgrade": b"HTTP/1.1 101 No\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
}
# What has come of a response when its exchange ends by something else.
UNFINISHED_RESPONSES = {
    "nothing": b"",
    "head": STATUS + b"Field: " + b"x" * 10_000,
    "length": LENGTH + PART,
    "without length": STATUS + b"\r\n" + PART,
    "chunk": CHUNKED + CHUNK[:-10],
    "trailer": CHUNKED + CHUNK + b"0\r\nTrailer: " + b"x" * 10_000,
}
ENDS = ["cancelled", "timed out", "reset", "closed", "shed"]


class Endpoint:
    """Sends what it is told on its only connection."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._sock: socket.socket

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(20):
            self._sock, _ = await loop.sock_accept(self._listener)
            await self.read_request()

    async def read_request(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(20):
            assert await loop.sock_recv(self._sock, 65536)

    async def send(self, data: bytes) -> None:
        """Send as much as is received."""
        async with asyncio.timeout(20):
            with contextlib.suppress(ConnectionError):
                await asyncio.get_running_loop().sock_sendall(self._sock, data)

    def end(self, is_reset: bool) -> None:
        if is_reset:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self._sock.close()

    def close(self) -> None:
        self._sock.close()
        self._listener.close()


class DirectCaller:
    """Calls the endpoint over a pool."""

    def __init__(self, port: int, budget: memory_budget.MemoryBudget) -> None:
        clock = asyncio.get_running_loop().time
        self.pool = client.Pool("127.0.0.1", port, clock, budget)

    async def call(self) -> None:
        connection = await self.pool.acquire(20.0, 5.0)
        assert isinstance(connection, client.Connection)
        try:
            # Like that of a sender, it refers to the connection.
            await connection.exchange(
                REQUEST, lambda response: connection.use_count > 0, False
            )
        finally:
            self.pool.release(connection)


class SenderCaller:
    """Calls the endpoint over a sender."""

    def __init__(self, port: int, budget: memory_budget.MemoryBudget) -> None:
        clock = asyncio.get_running_loop().time
        notices = endpoint_notices.EndpointNotices()
        self._sender = endpoint_sender.Sender(NAMES, clock, notices, budget)
        self._endpoint = dataclasses.replace(ENDPOINT, port=port)
        self.pool = self._sender._pool(self._endpoint)

    async def call(self) -> None:
        deadline_at = asyncio.get_running_loop().time() + 20.0
        request = messages.Request(b"GET", b"/", [(b"host", b"h")], b"", 0.0)
        progress = endpoint_sender.SendProgress()
        await self._sender.send(request, self._endpoint, deadline_at, True, progress)


@pytest.fixture(params=[DirectCaller, SenderCaller], ids=["pool", "sender"])
def caller_class(request):
    return request.param


@contextlib.asynccontextmanager
async def calling(caller_class):
    """Call an endpoint; yield it, the pool, the budget, the call and its connection."""
    budget = memory_budget.MemoryBudget(BUDGET_BYTES)
    endpoint = Endpoint()
    caller = caller_class(endpoint.port, budget)
    call = asyncio.create_task(caller.call())
    await endpoint.accept()
    (connection,) = caller.pool._open_connections
    reference = weakref.ref(connection)
    del connection
    try:
        yield endpoint, caller, budget, call, reference
    finally:
        caller.pool.close()
        call.cancel()
        endpoint.close()
        await asyncio.sleep(0)


async def wait_for_end(call: asyncio.Task) -> None:
    # A task keeps its cancellation, and with it frames, until it is awaited.
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.wait_for(call, 20)
    # The event loop lets go of a transport in the iterations after.
    for _ in range(5):
        await asyncio.sleep(0)


async def wait_until_received(reference, byte_count: int) -> None:
    async with asyncio.timeout(20):
        while reference().received_bytes < byte_count:
            await asyncio.sleep(0.001)


def measure_content(connection: client.Connection) -> int:
    """Return the size of what a connection holds of a response."""
    fields_bytes = sum(len(name) + len(value) for name, value in connection._headers)
    return fields_bytes + connection._body.memory_bytes


# Guards against idle connections that keep their last response, which the budget no
# longer counts.
@pytest.mark.parametrize("kind", KEPT_RESPONSES)
async def test_connection_keeps_nothing_of_a_complete_response(caller_class, kind):
    async with calling(caller_class) as (endpoint, caller, budget, call, reference):
        await endpoint.send(KEPT_RESPONSES[kind])
        await wait_for_end(call)
        assert budget.used_bytes == 0
        assert measure_content(reference()) == 0
        caller.pool.close()
        await wait_for_end(call)
        assert reference() is None


# Guards against connections that stay until a garbage collection, with what they hold.
@pytest.mark.parametrize("kind", CLOSED_RESPONSES)
async def test_connection_is_freed_behind_a_last_response(caller_class, kind):
    async with calling(caller_class) as (endpoint, _, budget, call, reference):
        await endpoint.send(CLOSED_RESPONSES[kind])
        await wait_for_end(call)
        assert reference() is None
        assert budget.used_bytes == 0


# Guards against instances that run out of memory over responses that they refuse.
@pytest.mark.parametrize("kind", REFUSED_RESPONSES)
async def test_connection_is_freed_when_a_response_is_refused(caller_class, kind):
    async with calling(caller_class) as (endpoint, _, budget, call, reference):
        await endpoint.send(REFUSED_RESPONSES[kind])
        await wait_for_end(call)
        assert reference() is None
        assert budget.used_bytes == 0


# Guards against instances that run out of memory over bodies of requests that were
# given up: the budget was released, but the bodies stayed until a garbage collection.
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("kind", UNFINISHED_RESPONSES)
async def test_connection_is_freed_when_a_response_is_given_up(caller_class, kind, end):
    async with calling(caller_class) as (endpoint, _, budget, call, reference):
        await endpoint.send(UNFINISHED_RESPONSES[kind])
        await wait_until_received(reference, len(UNFINISHED_RESPONSES[kind]))
        if end == "cancelled":
            call.cancel()
        elif end == "timed out":
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(call, 0.01)
        elif end == "shed":
            budget.charge(reference(), BUDGET_BYTES + 1)
        else:
            endpoint.end(end == "reset")
        await wait_for_end(call)
        assert reference() is None
        assert budget.used_bytes == 0


# Guards against parser callbacks that go on once the budget has closed the connection.
@pytest.mark.parametrize("kind", KEPT_RESPONSES)
async def test_connection_is_freed_when_it_exceeds_the_budget(caller_class, kind):
    async with calling(caller_class) as (endpoint, _, budget, call, reference):
        budget.retain(endpoint, BUDGET_BYTES - 50_000)
        await endpoint.send(KEPT_RESPONSES[kind])
        await wait_for_end(call)
        assert reference() is None
        budget.retain(endpoint, 0)
        assert budget.used_bytes == 0


# Guards against instances that run out of memory over trailer fields that don't end,
# which the parser keeps and the budget did not count.
async def test_budget_counts_an_incomplete_trailer_field():
    async with calling(DirectCaller) as (endpoint, _, budget, call, reference):
        await endpoint.send(CHUNKED + b"1\r\nx\r\n0\r\n")
        await wait_until_received(reference, len(CHUNKED) + 9)
        await endpoint.send(b"Trailer: " + b"x" * 50_000)
        await wait_until_received(reference, len(CHUNKED) + 50_018)
        assert budget.used_bytes >= 50_000
        call.cancel()
        await wait_for_end(call)
        assert reference() is None
        assert budget.used_bytes == 0


# Guards against a close that leaves the rest to later iterations of the event loop.
async def test_fail_frees_a_response_at_once():
    async with calling(DirectCaller) as (endpoint, _, budget, call, reference):
        await endpoint.send(LENGTH + PART)
        await wait_until_received(reference, len(LENGTH) + PART_BYTES)
        assert measure_content(reference()) > PART_BYTES
        reference().fail("test")
        assert measure_content(reference()) == 0
        assert budget.used_bytes == 0
        await wait_for_end(call)
        assert reference() is None


# Guards against connections to endpoints that are gone from the list, which stay open
# until the endpoint closes them: no pool would use or close them any more.
async def test_connection_is_freed_when_its_pool_was_closed_before(caller_class):
    async with calling(caller_class) as (endpoint, caller, budget, call, reference):
        caller.pool.close()
        await endpoint.send(COMPLETE)
        await wait_for_end(call)
        assert reference() is None
        assert budget.used_bytes == 0


@pytest.mark.parametrize("is_reset", [False, True], ids=["end", "reset"])
async def test_connection_is_freed_when_it_ends_while_idle(caller_class, is_reset):
    async with calling(caller_class) as (endpoint, caller, budget, call, reference):
        await endpoint.send(COMPLETE)
        await wait_for_end(call)
        endpoint.end(is_reset)
        async with asyncio.timeout(20):
            while caller.pool._open_connections:
                await asyncio.sleep(0.001)
        # The pool holds it until it is asked for a connection.
        caller.pool.close()
        await wait_for_end(call)
        assert reference() is None
        assert budget.used_bytes == 0


async def test_connection_is_freed_when_its_endpoint_sends_while_idle(caller_class):
    async with calling(caller_class) as (endpoint, caller, budget, call, reference):
        await endpoint.send(COMPLETE)
        await wait_for_end(call)
        await endpoint.send(COMPLETE)
        async with asyncio.timeout(20):
            while caller.pool._open_connections:
                await asyncio.sleep(0.001)
        assert measure_content(reference()) == 0
        caller.pool.close()
        await wait_for_end(call)
        assert reference() is None
        assert budget.used_bytes == 0
