"""Connections whose request is still being sent when the response to it has come."""

from __future__ import annotations

import asyncio
import enum
import typing
from collections.abc import Callable

from yuccapitch.gateway.http1 import memory_budget
from yuccapitch.protocol import events

# Interval at which the connections are checked: the kernel doesn't report an
# acknowledgement as an event.
CHECK_INTERVAL_S = 0.02


class FlushEnd(enum.Enum):
    """Reason why a connection sends no more of its request."""

    SENT = "sent"
    LOST = "connection lost"
    LATE = "deadline of the request"
    SHED = "too many bytes of messages"
    STOPPED = "the process stops"


class Connection(memory_budget.Receiver, typing.Protocol):
    """Connection that still sends a request."""

    @property
    def peer_name(self) -> str:
        """Address of the endpoint, for logs."""

    @property
    def is_lost(self) -> bool:
        """Whether the connection was closed, reset or timed out."""

    def unsent_bytes(self) -> int:
        """Return how many bytes the endpoint's kernel hasn't acknowledged."""

    def buffered_bytes(self) -> int:
        """Return how many of them this process holds."""

    def close(self) -> None:
        """Abort the connection."""


OnSent = Callable[[], None]
"""Called once the endpoint's kernel has acknowledged the request."""


class Flushes:
    """Sends the rest of requests whose response has come (RFC 9112, section 9.3).

    An endpoint may respond before it has read the body. The rest of the body is due on
    the connection: an upload that was answered with success is lost without it, and
    another request would wait behind it. It is sent until the deadline of the request,
    and counts in the memory budget.
    """

    def __init__(
        self, clock: Callable[[], float], budget: memory_budget.MemoryBudget
    ) -> None:
        self._clock = clock
        self._budget = budget
        self._flushes_by_connection: dict[Connection, _Flush] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def count(self) -> int:
        """Number of connections that are still sending."""
        return len(self._flushes_by_connection)

    def add(self, connection: Connection, ends_at: float, on_sent: OnSent) -> None:
        """Send the rest of a request; close the connection if it isn't by then."""
        flush = _Flush(ends_at, on_sent, connection.unsent_bytes())
        self._flushes_by_connection[connection] = flush
        # It may be the largest message, and is then shed.
        self._budget.charge(connection, connection.buffered_bytes())
        self._schedule()

    def check(self, connection: Connection) -> None:
        """End a flush if its request is sent, or can't be sent any more."""
        flush = self._flushes_by_connection.get(connection)
        if flush is not None:
            self._check_one(connection, flush, self._clock())

    def shed(self, connection: Connection) -> None:
        """Give up a request, which takes too much memory."""
        if connection in self._flushes_by_connection:
            self._end(connection, FlushEnd.SHED)

    async def finish(self, ends_at: float) -> None:
        """Wait until all requests are sent, or until ``ends_at``."""
        while self._flushes_by_connection and self._clock() < ends_at:
            await asyncio.sleep(CHECK_INTERVAL_S)

    def close(self) -> None:
        """Close the connections that are still sending."""
        for connection in list(self._flushes_by_connection):
            self._end(connection, FlushEnd.STOPPED)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        if self._timer is None and self._flushes_by_connection:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        try:
            # Ending one may shed others.
            for connection in list(self._flushes_by_connection):
                self.check(connection)
        finally:
            self._schedule()

    def _check_one(self, connection: Connection, flush: _Flush, now: float) -> None:
        if connection.is_lost:
            self._end(connection, FlushEnd.LOST)
            return
        flush.unsent_bytes = connection.unsent_bytes()
        if not flush.unsent_bytes:
            self._end(connection, FlushEnd.SENT)
        elif now >= flush.ends_at:
            self._end(connection, FlushEnd.LATE)
        else:
            self._budget.release(connection)
            self._budget.charge(connection, connection.buffered_bytes())

    def _end(self, connection: Connection, end: FlushEnd) -> None:
        flush = self._flushes_by_connection.pop(connection)
        self._budget.release(connection)
        if end is FlushEnd.SENT:
            events.event("endpoint.request-flushed", peer=connection.peer_name)
            flush.on_sent()
            return
        events.event(
            "endpoint.request-cut",
            peer=connection.peer_name,
            reason=end,
            unsent_bytes=flush.unsent_bytes,
        )
        connection.close()


class _Flush:
    def __init__(self, ends_at: float, on_sent: OnSent, unsent_bytes: int) -> None:
        self.ends_at = ends_at
        self.on_sent = on_sent
        self.unsent_bytes = unsent_bytes
