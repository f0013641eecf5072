from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from yuccapitch.node import read_ahead

LIMIT_BYTES = read_ahead.MAX_CONNECTION_BYTES


class FakeTransport(asyncio.Transport):
    """A transport that records whether it is read."""

    def __init__(self) -> None:
        super().__init__()
        self.is_paused = False

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def is_closing(self) -> bool:
        return False


class Reader:
    """Bytes that a connection has delivered, and its transport."""

    def __init__(self, budget: read_ahead.Budget | None = None) -> None:
        self.transport = FakeTransport()
        self.delivered: list[bytes] = []
        self.on_delivered: Callable[[], None] = lambda: None
        self.reading = read_ahead.ReadAhead(
            self.transport,
            asyncio.get_running_loop(),
            budget or read_ahead.Budget(),
            self._deliver,
        )

    def receive(self, data: bytes) -> None:
        if not self.reading.hold(data):
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        self.delivered.append(data)
        self.on_delivered()


async def test_resume_delivers_what_is_held_in_order() -> None:
    reader = Reader()
    reader.receive(b"1")
    reader.reading.pause()
    reader.receive(b"2")
    reader.receive(b"3")
    assert reader.delivered == [b"1"] and reader.reading.has_bytes
    reader.reading.resume()
    reader.receive(b"4")
    await asyncio.sleep(0)
    reader.receive(b"5")
    assert reader.delivered == [b"1", b"2", b"3", b"4", b"5"]
    assert not reader.reading.has_bytes


async def test_resume_stops_at_the_next_pause() -> None:
    reader = Reader()
    reader.reading.pause()
    reader.receive(b"1")
    reader.receive(b"2")
    reader.on_delivered = reader.reading.pause
    reader.reading.resume()
    await asyncio.sleep(0)
    assert reader.delivered == [b"1"] and reader.reading.has_bytes
    reader.reading.resume()
    await asyncio.sleep(0)
    assert reader.delivered == [b"1", b"2"]


async def test_put_back_delivers_before_what_is_held() -> None:
    reader = Reader()
    reader.reading.pause()
    reader.receive(b"2")
    reader.reading.put_back(b"1")
    reader.reading.resume()
    await asyncio.sleep(0)
    assert reader.delivered == [b"1", b"2"]


async def test_hold_pauses_the_transport_at_the_limit_of_a_connection() -> None:
    reader = Reader()
    reader.reading.pause()
    reader.receive(bytes(LIMIT_BYTES - 1))
    assert not reader.transport.is_paused
    reader.receive(b"1")
    assert reader.transport.is_paused
    reader.reading.resume()
    await asyncio.sleep(0)
    assert not reader.transport.is_paused


@pytest.mark.parametrize("frees", ["resume", "discard"])
async def test_budget_is_shared_and_freed(frees: str) -> None:
    budget = read_ahead.Budget(max_bytes=2)
    first, second, third = Reader(budget), Reader(budget), Reader(budget)
    for reader in (first, second, third):
        reader.reading.pause()
    first.receive(b"1")
    assert not first.transport.is_paused
    second.receive(b"2")
    assert second.transport.is_paused
    fourth = Reader(budget)
    fourth.reading.pause()
    assert fourth.transport.is_paused
    getattr(second.reading, frees)()
    await asyncio.sleep(0)
    assert not second.transport.is_paused
    third.receive(b"")
    assert not third.transport.is_paused


# Guards against memory that grows with the number of paused connections: each received
# once more after the budget had been used up.
async def test_exhausted_budget_pauses_the_connections_that_were_paused_before() -> (
    None
):
    budget = read_ahead.Budget(max_bytes=4)
    readers = [Reader(budget) for _ in range(3)]
    for reader in readers:
        reader.reading.pause()
        reader.receive(b"1")
    assert [reader.transport.is_paused for reader in readers] == [False] * 3
    readers[0].receive(b"2")
    assert [reader.transport.is_paused for reader in readers] == [True] * 3
    readers[0].reading.discard()
    assert [reader.transport.is_paused for reader in readers] == [False] * 3


async def test_hold_keeps_nothing_after_discard() -> None:
    reader = Reader()
    reader.reading.pause()
    reader.receive(b"1")
    reader.reading.discard()
    assert not reader.reading.has_bytes
    assert not reader.reading.hold(b"2")


# Guards against an event loop that one connection takes up: whatever it holds, in
# pieces that are costly to parse, was delivered at once.
async def test_resume_lets_other_connections_be_served_between_pieces() -> None:
    reader = Reader()
    reader.reading.pause()
    pieces = [bytes([number]) * 100_000 for number in range(20)]
    for piece in pieces:
        reader.receive(piece)
    reader.reading.resume()
    await asyncio.sleep(0)
    assert 0 < len(reader.delivered) < 5
    reader.receive(b"last")
    while reader.reading.has_bytes:
        await asyncio.sleep(0)
    assert reader.delivered == [*pieces, b"last"]
