from __future__ import annotations

import asyncio
import contextlib
import time
import tracemalloc
from collections.abc import AsyncIterator

import pytest
import result

from yuccapitch.protocol import (
    codec,
    frames,
    link,
    node_messages,
    peers,
    receive_budget,
    subscription_messages,
)

TIMING = link.LinkTiming(heartbeat_interval_s=0.05, timeout_s=1.0)


class Pair:
    """Two instances; `a` has the address of `b`."""

    def __init__(
        self,
        a: peers.Peers,
        b: peers.Peers,
        a_address: peers.Address,
        b_address: peers.Address,
    ):
        self.a = a
        self.b = b
        self.a_address = a_address
        self.b_address = b_address


@pytest.fixture
async def pair() -> AsyncIterator[Pair]:
    async with contextlib.AsyncExitStack() as stack:
        a = peers.Peers("a", TIMING)
        b = peers.Peers("b", TIMING)
        for instance in (a, b):
            stack.push_async_callback(instance.aclose)
        a_address = await a.start("127.0.0.1", 0)
        b_address = await b.start("127.0.0.1", 0)
        a.set_address("b", b_address)
        yield Pair(a, b, a_address, b_address)


async def test_peers_request_gets_its_own_reply(pair: Pair) -> None:
    async def echo(peer: str, message: node_messages.RenewalNotice) -> object:
        await asyncio.sleep(0.01 if message.version == 1 else 0)
        return message

    pair.b.handle(node_messages.RenewalNotice, echo)
    replies = await asyncio.gather(
        *(pair.a.request("b", node_messages.RenewalNotice(n, 0), 5) for n in (1, 2, 3))
    )
    assert [reply.unwrap().version for reply in replies] == [1, 2, 3]


async def test_peers_request_without_handler_fails(pair: Pair) -> None:
    reply = await pair.a.request("b", node_messages.RenewalNotice(1, 0), 5)
    assert reply.unwrap_err().code is link.LinkErrorCode.REMOTE


async def test_peers_request_to_unknown_peer_fails(pair: Pair) -> None:
    reply = await pair.a.request("c", node_messages.RenewalNotice(1, 0), 5)
    assert reply.unwrap_err().code is link.LinkErrorCode.CLOSED


async def test_peers_wrong_instance_at_address_is_refused(pair: Pair) -> None:
    pair.a.set_address("c", pair.b_address)
    reply = await pair.a.request("c", node_messages.RenewalNotice(1, 0), 5)
    assert isinstance(reply, result.Err)


# Guards against an instance that ends because a seed's name can't be encoded.
@pytest.mark.parametrize("host", ["a..b", "x" * 64])
async def test_peers_request_to_a_malformed_host_fails(pair: Pair, host: str) -> None:
    pair.a.set_address("c", peers.Address(host, 7700))
    reply = await pair.a.request("c", node_messages.RenewalNotice(1, 0), 5)
    assert reply.unwrap_err().code is link.LinkErrorCode.CLOSED


async def test_peers_invalid_bytes_close_only_their_connection(pair: Pair) -> None:
    reader, writer = await asyncio.open_connection(
        pair.b_address.host, pair.b_address.port
    )
    writer.write(b"\x0f" * 4096)
    received = await reader.read()
    writer.close()
    pair.b.handle(node_messages.RenewalNotice, lambda peer, message: message)
    reply = await pair.a.request("b", node_messages.RenewalNotice(4, 0), 5)
    assert received[:2] == frames.MAGIC and reply.unwrap().version == 4


@pytest.fixture
async def silent_port() -> AsyncIterator[int]:
    """Yield the port of a peer that accepts connections and sends nothing."""

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.Event().wait()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    yield server.sockets[0].getsockname()[1]
    server.close()


async def test_peers_request_to_silent_peer_fails(pair: Pair, silent_port: int) -> None:
    pair.a.set_address("silent", peers.Address("127.0.0.1", silent_port))
    reply = await pair.a.request("silent", node_messages.RenewalNotice(1, 0), 30)
    assert reply.unwrap_err().code is link.LinkErrorCode.CLOSED


async def test_peers_request_times_out_while_a_link_is_being_opened(
    pair: Pair, silent_port: int
) -> None:
    # Unlike a refused connection, this shows that the peer is silent.
    pair.a.set_address("silent", peers.Address("127.0.0.1", silent_port))
    reply = await pair.a.request("silent", node_messages.RenewalNotice(1, 0), 0.05)
    assert reply.unwrap_err().code is link.LinkErrorCode.TIMEOUT


# Guards against messages that are lost on a link which has gone silent, beside one that
# works.
async def test_peers_prefer_the_link_on_which_the_peer_is_heard(pair: Pair) -> None:
    pair.b.handle(node_messages.RenewalNotice, lambda peer, message: message)
    pair.a.handle(node_messages.RenewalNotice, lambda peer, message: message)
    pair.b.set_address("a", pair.a_address)
    await pair.a.request("b", node_messages.RenewalNotice(1, 0), 5)
    await pair.b.request("a", node_messages.RenewalNotice(2, 0), 5)
    outgoing, accepted = pair.a._links_by_id["b"], pair.a._accepted_links_by_id["b"]
    assert pair.a._responsive_link("b") is outgoing
    outgoing.last_received_at -= 2 * TIMING.overdue_s
    assert pair.a._responsive_link("b") is accepted
    accepted.close()
    assert pair.a._responsive_link("b") is outgoing


async def test_peers_count_the_bytes_of_both_sides(pair: Pair) -> None:
    pair.b.handle(node_messages.RenewalNotice, lambda peer, message: message)
    before = pair.a.traffic.sent_bytes
    await pair.a.request("b", node_messages.RenewalNotice(1, 0), 5)
    sent, received = pair.a.traffic.sent_bytes, pair.a.traffic.received_bytes
    assert sent > before and received > 0
    assert pair.b.traffic.received_bytes <= sent


async def test_peers_send_no_heartbeats_while_sending_frames(pair: Pair) -> None:
    kinds: list[frames.Kind] = []

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        hello = codec.encode(node_messages.Hello("busy"))
        writer.write(frames.pack(frames.Kind.HELLO, 0, hello))
        while data := await reader.read(frames.HEADER_BYTES):
            header = frames.unpack_header(data).unwrap()
            kinds.append(header.kind)
            await reader.readexactly(header.length)

    async with await asyncio.start_server(accept, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        pair.a.set_address("busy", peers.Address("127.0.0.1", port))
        for _ in range(40):
            pair.a.send("busy", node_messages.RenewalNotice(1, 0))
            await asyncio.sleep(TIMING.heartbeat_interval_s / 5)
        await pair.a.aclose()
    assert kinds.count(frames.Kind.ONE_WAY) > 20
    assert kinds.count(frames.Kind.HEARTBEAT) <= 1


# Guards against a leader that connects to each of its hundreds of followers.
async def test_peers_send_uses_the_link_that_the_peer_opened(pair: Pair) -> None:
    received: asyncio.Queue[object] = asyncio.Queue()
    pair.a.handle(node_messages.RenewalNotice, lambda peer, m: received.put_nowait(m))
    pair.b.handle(node_messages.RenewalNotice, lambda peer, message: message)
    await pair.a.request("b", node_messages.RenewalNotice(1, 0), 5)
    # B doesn't know an address of A.
    assert pair.b.send("a", node_messages.RenewalNotice(2, 0))
    async with asyncio.timeout(5):
        assert await received.get() == node_messages.RenewalNotice(2, 0)


async def test_peers_send_fails_once_the_peer_has_closed_its_link(pair: Pair) -> None:
    pair.b.handle(node_messages.RenewalNotice, lambda peer, message: message)
    await pair.a.request("b", node_messages.RenewalNotice(1, 0), 5)
    await pair.a.aclose()
    async with asyncio.timeout(5):
        while pair.b.send("a", node_messages.RenewalNotice(2, 0)):
            await asyncio.sleep(0)


# Guards against a link that is closed as silent over frames which the kernel has taken,
# because the event loop was late and did not read them.
async def test_link_of_a_late_event_loop_reads_what_has_arrived(pair: Pair) -> None:
    received: list[object] = []
    pair.b.handle(node_messages.RenewalNotice, lambda peer, m: received.append(m))
    await pair.a.request("b", node_messages.RenewalNotice(1, 0), 5)
    links = [pair.a._links_by_id["b"], pair.b._accepted_links_by_id["a"]]
    assert pair.a.send("b", node_messages.RenewalNotice(2, 0))
    assert pair.b.send("a", node_messages.RenewalNotice(3, 0))
    time.sleep(TIMING.timeout_s + 0.1)
    for _ in range(20):
        await asyncio.sleep(0)
    assert received[-1] == node_messages.RenewalNotice(2, 0)
    assert [link.is_open for link in links] == [True, True]


async def test_link_to_a_silent_peer_is_closed(pair: Pair) -> None:
    async def say_hello(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        hello = codec.encode(node_messages.Hello("quiet"))
        writer.write(frames.pack(frames.Kind.HELLO, 0, hello))
        await asyncio.Event().wait()

    closed: asyncio.Queue[str] = asyncio.Queue()
    pair.a.on_link_closed = closed.put_nowait
    async with await asyncio.start_server(say_hello, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        pair.a.set_address("quiet", peers.Address("127.0.0.1", port))
        reply = await pair.a.request("quiet", node_messages.RenewalNotice(1, 0), 30)
        assert reply.unwrap_err().code is link.LinkErrorCode.CLOSED
        async with asyncio.timeout(20):
            assert await closed.get() == "quiet"


# Guards against a link that is closed as silent, with all requests that wait on it,
# while a long message of its peer arrives slowly.
async def test_link_stays_open_while_a_long_message_arrives(pair: Pair) -> None:
    received: asyncio.Queue[object] = asyncio.Queue()
    pair.b.handle(
        subscription_messages.SubmitRequest, lambda peer, m: received.put_nowait(m)
    )
    message = subscription_messages.SubmitRequest(bytes(200_000))
    frame = frames.pack(frames.Kind.ONE_WAY, 0, codec.encode(message))
    reader, writer = await asyncio.open_connection(
        pair.b_address.host, pair.b_address.port
    )
    hello = codec.encode(node_messages.Hello("slow"))
    writer.write(frames.pack(frames.Kind.HELLO, 0, hello))
    pieces = 8
    size = len(frame) // pieces + 1
    for n in range(pieces):
        writer.write(frame[n * size : (n + 1) * size])
        await asyncio.sleep(TIMING.timeout_s / 5)
    async with asyncio.timeout(20):
        assert await received.get() == message
    writer.close()


class BrokenHandlers:
    """Handlers of an instance, one of which fails."""

    def __init__(self, is_async: bool) -> None:
        self._is_async = is_async

    def fail(self, peer_id: str, message: object) -> object:
        if self._is_async:
            return self._fail_later()
        raise AssertionError("broken")

    async def answer(self, peer_id: str, message: object) -> object:
        await asyncio.sleep(0.2)
        return message

    async def _fail_later(self) -> object:
        raise AssertionError("broken")


# Guards against a message whose handler fails and that closes its link, with all
# requests that wait on it, or that never gets a reply.
@pytest.mark.parametrize("is_async", [False, True])
async def test_link_survives_a_handler_that_fails(pair: Pair, is_async: bool) -> None:
    handlers = BrokenHandlers(is_async)
    pair.b.handle(node_messages.RenewalNotice, handlers.answer)
    pair.b.handle(subscription_messages.SubmitRequest, handlers.fail)
    await pair.a.request("b", node_messages.RenewalNotice(1, 0), 5)
    waiting = asyncio.create_task(
        pair.a.request("b", node_messages.RenewalNotice(2, 0), 5)
    )
    await asyncio.sleep(0)
    failed = await pair.a.request("b", subscription_messages.SubmitRequest(b""), 5)
    assert failed.unwrap_err().code is link.LinkErrorCode.REMOTE
    assert (await waiting).unwrap() == node_messages.RenewalNotice(2, 0)


# Guards against what was sent on a link that the peer opened and is lost with it
# unnoticed, such as a place that is given back.
async def test_peers_report_the_end_of_a_link_that_the_peer_opened(pair: Pair) -> None:
    closed: asyncio.Queue[str] = asyncio.Queue()
    pair.b.on_accepted_link_closed = closed.put_nowait
    pair.b.on_link_closed = lambda peer_id: closed.put_nowait("outgoing")
    pair.b.handle(node_messages.RenewalNotice, lambda peer, message: message)
    await pair.a.request("b", node_messages.RenewalNotice(1, 0), 5)
    assert pair.b.send("a", node_messages.RenewalNotice(2, 0))
    former = pair.a._links_by_id.pop("b")
    await asyncio.sleep(peers.RECONNECT_DELAY_S)
    # The peer's next link may be open before the end of the former one is noticed.
    reply = await pair.a.request("b", node_messages.RenewalNotice(3, 0), 5)
    assert reply.is_ok()
    former.close()
    async with asyncio.timeout(5):
        assert await closed.get() == "a"
    assert pair.b._accepted_links_by_id["a"].is_open and closed.empty()


MEBIBYTE = 1024 * 1024


async def connect_raw(
    address: peers.Address, name: str | None
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection; say hello unless there is no name."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    if name is not None:
        hello = codec.encode(node_messages.Hello(name))
        writer.write(frames.pack(frames.Kind.HELLO, 0, hello))
    return reader, writer


async def send_unfinished_frame(writer: asyncio.StreamWriter, size: int) -> None:
    """Send the beginning of a frame until all is sent or the peer closes."""
    header = frames.pack(frames.Kind.ONE_WAY, 0)
    length = (frames.MAX_PAYLOAD_BYTES).to_bytes(4, "big")
    writer.write(header[:12] + length + header[16:])
    piece = bytes(64 * 1024)
    with contextlib.suppress(ConnectionError):
        for _ in range(size // len(piece)):
            writer.write(piece)
            await writer.drain()


# Guards against an instance that keeps 64 MiB of each peer that has not said who it is.
async def test_peers_frame_before_the_hello_is_bounded(pair: Pair) -> None:
    _, writer = await connect_raw(pair.b_address, None)
    tracemalloc.start()
    try:
        await send_unfinished_frame(writer, 32 * MEBIBYTE)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    writer.transport.abort()
    assert peak_bytes < 2 * MEBIBYTE


# Guards against an instance that ends because each of its links keeps a frame that is
# within the limit.
async def test_peers_unfinished_frames_share_a_limit(pair: Pair) -> None:
    writers = [
        (await connect_raw(pair.b_address, f"peer-{number}"))[1] for number in range(4)
    ]
    tracemalloc.start()
    try:
        await asyncio.gather(
            *(send_unfinished_frame(writer, 40 * MEBIBYTE) for writer in writers)
        )
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    for writer in writers:
        writer.transport.abort()
    assert peak_bytes < 140 * MEBIBYTE


async def test_peers_largest_message_passes(pair: Pair) -> None:
    pair.b.handle(subscription_messages.SubmitRequest, lambda peer, message: message)
    message = subscription_messages.SubmitRequest(bytes(60 * MEBIBYTE))
    reply = await pair.a.request("b", message, 60)
    assert reply.unwrap() == message


# Guards against links that are closed after some large messages, as those that have
# been received and handled go on to count.
async def test_peers_large_messages_count_until_they_are_handled() -> None:
    async def accept(peer: str, message: object) -> object:
        return node_messages.RenewalNotice(1, 0)

    budget = receive_budget.ReceiveBudget(MEBIBYTE, MEBIBYTE)
    async with contextlib.AsyncExitStack() as stack:
        sender = peers.Peers("a", TIMING)
        receiver = peers.Peers("b", TIMING, budget=budget)
        for instance in (sender, receiver):
            stack.push_async_callback(instance.aclose)
        await sender.start("127.0.0.1", 0)
        receiver.handle(subscription_messages.SubmitRequest, accept)
        sender.set_address("b", await receiver.start("127.0.0.1", 0))
        message = subscription_messages.SubmitRequest(bytes(MEBIBYTE // 3))
        for _ in range(8):
            reply = await sender.request("b", message, 20)
            assert reply.is_ok(), reply


async def wait_forever(peer: str, message: object) -> None:
    await asyncio.Event().wait()


async def receive_failure(reader: asyncio.StreamReader) -> str:
    """Return the reason of the first failure that a peer sends."""
    while True:
        header = frames.unpack_header(await reader.readexactly(frames.HEADER_BYTES))
        payload = await reader.readexactly(header.unwrap().length)
        if header.unwrap().kind is frames.Kind.FAILURE:
            return str(codec.decode(payload).unwrap().reason)


# Guards against an instance that ends by the requests of a peer that it can't answer
# yet, each of which is small.
@pytest.mark.parametrize(("size", "count"), [(10, 10_001), (60_000, 20)])
async def test_peers_requests_that_wait_are_bounded(size: int, count: int) -> None:
    budget = receive_budget.ReceiveBudget(MEBIBYTE, MEBIBYTE)
    async with contextlib.AsyncExitStack() as stack:
        receiver = peers.Peers("b", TIMING, budget=budget)
        stack.push_async_callback(receiver.aclose)
        receiver.handle(subscription_messages.SubmitRequest, wait_forever)
        address = await receiver.start("127.0.0.1", 0)
        reader, writer = await connect_raw(address, "a")
        payload = codec.encode(subscription_messages.SubmitRequest(bytes(size)))
        for number in range(count):
            writer.write(frames.pack(frames.Kind.REQUEST, number, payload))
        async with asyncio.timeout(20):
            assert "too many" in await receive_failure(reader)
        writer.transport.abort()
