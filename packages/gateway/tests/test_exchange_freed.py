"""What an exchange with an endpoint leaves in memory once it has ended."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
import struct
from collections.abc import AsyncIterator

import aiohttp
import pytest

from packages.gateway.tests import raw_endpoint, test_exchange
from yuccapitch.gateway import client_connection, exchange
from yuccapitch.gateway.http1 import server

pytestmark = pytest.mark.usefixtures("without_garbage_collector")

CHUNK = b"10000\r\n" + test_exchange.PIECE + b"\r\n"
RESET = struct.pack("ii", 1, 0)
SENT_BY_END = {
    "complete": [test_exchange.WHOLE],
    "refused head": [b"HTTP/1.1 200 OK\r\nField: " + 5 * test_exchange.PIECE],
    "refused status": [b"HTTP/1.1 999 No\r\n\r\n" + test_exchange.PIECE],
    "refused rest": [test_exchange.WHOLE + test_exchange.PIECE],
    "refused framing": [test_exchange.CHUNKED, 60_000 * b"1;xx\r\n \r\n"],
    "refused chunk": [test_exchange.CHUNKED + CHUNK, b"no length\r\n"],
    "refused shed": [test_exchange.SHED + b"\r\n" + 8 * test_exchange.PIECE],
}
UNFINISHED = {
    "no head": b"",
    "in head": b"HTTP/1.1 200 OK\r\nField: " + test_exchange.PIECE,
    "in body": test_exchange.UNTIL_CLOSE + 2 * test_exchange.PIECE,
    "in chunk": test_exchange.CHUNKED + CHUNK + CHUNK[:-9],
    "unread": test_exchange.UNTIL_CLOSE + 40 * test_exchange.PIECE,
}


@pytest.fixture(params=[True, False], ids=["pooled", "unpooled"])
def is_pooled(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


@contextlib.asynccontextmanager
async def started_client() -> AsyncIterator[exchange.ExchangeClient]:
    client = exchange.ExchangeClient()
    await client.start(10)
    try:
        yield client
    finally:
        await client.aclose()


class Sender:
    """Sends bytes on its first connection, which it keeps open until it is told."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._listener: socket.socket
        self.sockets: list[socket.socket] = []

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[int]:
        """Yield the port."""
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            self._listener = listener
            serving = asyncio.create_task(self._serve(loop, listener))
            yield listener.getsockname()[1]
            serving.cancel()
            await asyncio.wait([serving])
            self.close()

    def close(self, *, is_reset: bool = False) -> None:
        """End the connection; refuse others, by which requests are repeated."""
        self._listener.close()
        for sock in self.sockets:
            if is_reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()

    async def _serve(
        self, loop: asyncio.AbstractEventLoop, listener: socket.socket
    ) -> None:
        sock, _ = await loop.sock_accept(listener)
        self.sockets.append(sock)
        await loop.sock_recv(sock, 65_536)
        await loop.sock_sendall(sock, self._data)


def held() -> tuple[int, int]:
    """Return how many connections there are, and how many bytes of bodies."""
    found = gc.get_objects()
    connections = [x for x in found if type(x) is client_connection.Connection]
    bodies = [x for x in found if type(x) is aiohttp.StreamReader]
    return len(connections), sum(map(len, (b"".join(x._buffer) for x in bodies)))


async def iterate() -> None:
    """Let closed transports report that, and cancelled tasks end."""
    for _ in range(5):
        await asyncio.sleep(0)


async def receive_whole(
    client: exchange.ExchangeClient, port: int, is_pooled: bool, timeout_s: float
) -> None:
    """Exchange a request, and read the response as long as it comes."""
    target = test_exchange.target(port, is_pooled)
    body = test_exchange.body()
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with client.exchange(target, body, timeout_s) as outcome:
            if not isinstance(outcome, exchange.ReceivedResponse):
                return
            # As in relaying, a failure of the rest ends the exchange.
            while outcome.remaining_body and await outcome.remaining_body.readany():
                pass


async def receive_start(
    client: exchange.ExchangeClient, port: int, is_pooled: bool
) -> None:
    """Exchange a request, and read no more than the start of the response."""
    target = test_exchange.target(port, is_pooled)
    async with client.exchange(target, test_exchange.body(), 20.0):
        await asyncio.Event().wait()


async def wait_for_received(sender: Sender) -> None:
    """Wait until what was sent has arrived as far as it is taken."""
    async with asyncio.timeout(20):
        while not sender.sockets:
            await asyncio.sleep(0)
        for _ in range(200):
            await asyncio.sleep(0)


# Guards against instances that run out of memory over responses that have ended: what
# had come of them stayed until a garbage collection.
@pytest.mark.parametrize("end", SENT_BY_END)
async def test_exchange_frees_a_response_that_ended(end: str, is_pooled: bool) -> None:
    async with (
        started_client() as client,
        raw_endpoint.sending(*SENT_BY_END[end]) as endpoint,
    ):
        await receive_whole(client, endpoint.port, is_pooled, 20.0)
        await iterate()
        is_kept = end == "complete" and is_pooled
        assert held() == (int(is_kept), 0)


# The same for responses that are given up at their deadline.
@pytest.mark.parametrize("state", UNFINISHED)
async def test_exchange_frees_a_late_response(state: str, is_pooled: bool) -> None:
    sender = Sender(UNFINISHED[state])
    async with started_client() as client, sender.serving() as port:
        await receive_whole(client, port, is_pooled, 0.1)
        await iterate()
        assert held() == (0, 0)


# The same for responses whose client has left.
@pytest.mark.parametrize("state", UNFINISHED)
async def test_exchange_frees_a_cancelled_response(state: str, is_pooled: bool) -> None:
    sender = Sender(UNFINISHED[state])
    async with started_client() as client, sender.serving() as port:
        exchanging = asyncio.create_task(receive_start(client, port, is_pooled))
        await wait_for_received(sender)
        exchanging.cancel()
        await asyncio.wait([exchanging])
        del exchanging
        await iterate()
        assert held() == (0, 0)


# The same for responses whose connection ends or is lost.
@pytest.mark.parametrize("is_reset", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize("state", UNFINISHED)
async def test_exchange_frees_a_lost_response(
    state: str, is_reset: bool, is_pooled: bool
) -> None:
    sender = Sender(UNFINISHED[state])
    async with started_client() as client, sender.serving() as port:
        exchanging = asyncio.create_task(receive_whole(client, port, is_pooled, 20.0))
        await wait_for_received(sender)
        sender.close(is_reset=is_reset)
        await asyncio.wait([exchanging], timeout=20)
        assert exchanging.done()
        del exchanging
        await iterate()
        assert held() == (0, 0)


# The same for responses that a stop of the instance breaks off.
@pytest.mark.parametrize("state", UNFINISHED)
async def test_exchange_frees_a_response_when_the_client_is_closed(
    state: str, is_pooled: bool
) -> None:
    sender = Sender(UNFINISHED[state])
    async with started_client() as client, sender.serving() as port:
        exchanging = asyncio.create_task(receive_whole(client, port, is_pooled, 20.0))
        await wait_for_received(sender)
        await client.aclose()
        exchanging.cancel()
        await asyncio.wait([exchanging], timeout=20)
        assert exchanging.done()
        del exchanging
        await iterate()
        assert held() == (0, 0)


async def read_limited(port: int, timeout_s: float) -> None:
    """Read a body of a limited size, as probes do."""
    async with aiohttp.ClientSession(
        connector=client_connection.Connector(), auto_decompress=False
    ) as session:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(timeout_s):
                async with session.get(f"http://127.0.0.1:{port}/") as response:
                    await client_connection.read_body(response, 100_000)


# Guards against instances that run out of memory over responses to probes.
@pytest.mark.parametrize("end", SENT_BY_END)
async def test_read_body_frees_a_response_that_ended(end: str) -> None:
    async with raw_endpoint.sending(*SENT_BY_END[end]) as endpoint:
        await read_limited(endpoint.port, 20.0)
        await iterate()
        assert held() == (0, 0)


# The same for responses that are late, end or are lost.
@pytest.mark.parametrize("end", ["late", "end", "reset"])
@pytest.mark.parametrize("state", UNFINISHED)
async def test_read_body_frees_an_unfinished_response(state: str, end: str) -> None:
    sender = Sender(UNFINISHED[state])
    async with sender.serving() as port:
        timeout_s = 0.1 if end == "late" else 20.0
        reading = asyncio.create_task(read_limited(port, timeout_s))
        await wait_for_received(sender)
        if end != "late":
            sender.close(is_reset=end == "reset")
        await asyncio.wait([reading], timeout=20)
        assert reading.done()
        del reading
        await iterate()
        assert held() == (0, 0)


# Guards against instances that run out of memory over bytes that have arrived and were
# not read: the kernel lets the buffer of a connection grow to tens of megabytes.
async def test_exchange_bounds_what_the_kernel_holds(is_pooled: bool) -> None:
    sender = Sender(UNFINISHED["unread"])
    async with started_client() as client, sender.serving() as port:
        exchanging = asyncio.create_task(receive_start(client, port, is_pooled))
        await wait_for_received(sender)
        (connection,) = (
            x for x in gc.get_objects() if type(x) is client_connection.Connection
        )
        assert connection.transport is not None
        sock = connection.transport.get_extra_info("socket")
        # The kernel doubles the size that was asked for.
        size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        exchanging.cancel()
        await asyncio.wait([exchanging])
        assert size == 2 * server.RECEIVE_BUFFER_BYTES
