"""Bytes that are received from clients before the application reads them.

The end of a connection is noticed only once all before it was read.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

from yuccapitch.gateway.http1 import peer_state

MAX_CONNECTION_BYTES = 4 * 1024 * 1024
MAX_PROCESS_BYTES = 64 * 1024 * 1024
# Held bytes that are delivered at once, after which other connections are served.
DELIVERY_STEP_BYTES = 256 * 1024


class Budget:
    """Limit on the bytes that all connections of a server hold together."""

    def __init__(self, max_bytes: int = MAX_PROCESS_BYTES) -> None:
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._paused_readings: set[ReadAhead] = set()

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing more should be received ahead."""
        return self._used_bytes >= self._max_bytes

    def add(self, byte_count: int) -> None:
        """Record bytes that are held from now on, or no longer if negative.

        While the budget is exhausted, no connection receives anything ahead.
        """
        was_exhausted = self.is_exhausted
        self._used_bytes += byte_count
        if self.is_exhausted == was_exhausted:
            return
        for reading in list(self._paused_readings):
            reading.update_transport()

    def watch(self, reading: ReadAhead, is_paused: bool) -> None:
        """Include a reading in, or exclude it from, those that receive ahead."""
        if is_paused:
            self._paused_readings.add(reading)
        else:
            self._paused_readings.discard(reading)


class ReadAhead:
    """Reading of one connection, which goes on within limits during a pause."""

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        budget: Budget,
        deliver: Callable[[bytes], None],
    ) -> None:
        """Pass what was held to ``deliver`` once the pause has ended."""
        self._transport = transport
        self._loop = loop
        self._budget = budget
        self._deliver = deliver
        self._held: collections.deque[bytes] = collections.deque()
        self._held_bytes = 0
        self._is_paused = False
        self._is_discarding = False
        self._transport_pause = peer_state.ReadingPause(transport)

    @property
    def is_paused(self) -> bool:
        """Whether nothing is delivered."""
        return self._is_paused

    @property
    def has_bytes(self) -> bool:
        """Whether bytes are held that were not delivered yet."""
        return bool(self._held)

    def hold(self, data: bytes) -> bool:
        """Return whether received bytes are kept until the pause ends."""
        if self._is_discarding or not (self._is_paused or self._held):
            return False
        self._held.append(data)
        self._count(len(data))
        self.update_transport()
        return True

    def put_back(self, data: bytes) -> None:
        """Hold delivered bytes, which are delivered again before all others."""
        self._held.appendleft(data)
        self._count(len(data))

    def pause(self) -> None:
        """Hold what is received from now on."""
        if self._is_discarding:
            return
        self._is_paused = True
        self._budget.watch(self, is_paused=True)
        self.update_transport()

    def resume(self) -> None:
        """Deliver what is held, and then what is received."""
        self._is_paused = False
        self._budget.watch(self, is_paused=False)
        if self._held:
            self._loop.call_soon(self._deliver_held)
        else:
            self._transport_pause.end()

    def discard(self) -> None:
        """Free what is held, hold nothing any more and end the pause."""
        self._is_discarding = True
        # It refers to the connection, which refers to this.
        self._deliver = _ignore
        self._budget.watch(self, is_paused=False)
        self._held.clear()
        self._count(-self._held_bytes)
        self._transport_pause.end()

    def update_transport(self) -> None:
        """Receive ahead, or stop to, as the limits say."""
        if self._held_bytes >= MAX_CONNECTION_BYTES or self._budget.is_exhausted:
            self._transport_pause.start()
        elif self._is_paused or self._held:
            self._transport_pause.end()

    def _deliver_held(self) -> None:
        delivered_bytes = 0
        while self._held and not self._is_paused:
            if delivered_bytes >= DELIVERY_STEP_BYTES:
                self._loop.call_soon(self._deliver_held)
                self.update_transport()
                return
            data = self._held.popleft()
            delivered_bytes += len(data)
            self._count(-len(data))
            self._deliver(data)
        if not self._is_paused:
            self._transport_pause.end()

    def _count(self, byte_count: int) -> None:
        self._held_bytes += byte_count
        self._budget.add(byte_count)


def _ignore(data: bytes) -> None:
    pass
