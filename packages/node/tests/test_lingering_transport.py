from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from yuccapitch.node import lingering_transport, read_ahead

LINGER_S = lingering_transport.LINGER_S


class FakeLoop:
    """Timers of an event loop whose time the test sets."""

    def __init__(self) -> None:
        self.now = 0.0
        self._timers: list[tuple[float, Callable[[], None]]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._timers.append((self.now + delay_s, callback))

    def advance_to(self, end: float) -> None:
        while due := [timer for timer in self._timers if timer[0] <= end]:
            timer = min(due, key=lambda item: item[0])
            self._timers.remove(timer)
            self.now = timer[0]
            timer[1]()
        self.now = end


class FakeTransport(asyncio.Transport):
    """A transport that sends what the test says."""

    def __init__(self) -> None:
        super().__init__()
        self.unsent_bytes = 0
        self.is_closed = False
        self.is_half_closed = False

    def write(self, data: object) -> None:
        assert isinstance(data, bytes)
        self.unsent_bytes += len(data)

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.is_half_closed = True

    def resume_reading(self) -> None:
        return None

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True


@pytest.fixture
def loop() -> FakeLoop:
    return FakeLoop()


@pytest.fixture
def inner() -> FakeTransport:
    return FakeTransport()


@pytest.fixture
def transport(loop, inner) -> lingering_transport.LingeringTransport:
    reading = read_ahead.ReadAhead(inner, loop, read_ahead.Budget(), lambda data: None)
    return lingering_transport.LingeringTransport(inner, loop, reading)


# Guards against a reset that discards a response which a slow client is still reading.
def test_close_lingers_once_the_response_is_sent(loop, inner, transport):
    transport.write(b"response")
    transport.close()
    loop.advance_to(10.8)
    assert inner.is_half_closed and not inner.is_closed
    inner.unsent_bytes = 0
    loop.advance_to(10.8 + 0.9 * LINGER_S)
    assert not inner.is_closed
    loop.advance_to(10.8 + 1.2 * LINGER_S)
    assert inner.is_closed


# Guards against the same for a response that was sent just before the close.
def test_close_lingers_after_a_response_that_took_long_to_send(loop, inner, transport):
    transport.write(b"response")
    loop.advance_to(10.0)
    inner.unsent_bytes = 0
    transport.mark_sent()
    transport.close()
    assert inner.is_half_closed and not inner.is_closed


# Guards against a request that crosses the close and is read and dropped.
def test_close_ends_an_idle_connection_at_once(loop, inner, transport):
    transport.write(b"response")
    inner.unsent_bytes = 0
    loop.advance_to(1.1 * LINGER_S)
    transport.close()
    assert inner.is_closed
