"""Transport that closes a connection without discarding its last response."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from yuccapitch.gateway.http1 import peer_state
from yuccapitch.node import read_ahead

LINGER_S = 1.0
"""Time for which a closed connection is still read.

Closing a socket with unread bytes sends a reset, which may discard the last response
before the client has read it.
"""
SEND_CHECK_INTERVAL_S = 0.05


class LingeringTransport(asyncio.Transport):
    """A transport whose ``close`` goes on reading for a while after a response."""

    def __init__(
        self,
        transport: asyncio.Transport,
        loop: asyncio.AbstractEventLoop,
        reading: read_ahead.ReadAhead,
    ) -> None:
        super().__init__()
        self._transport = transport
        self._loop = loop
        self._reading = reading
        self._last_sent_at = float("-inf")
        self.is_lingering = False
        """Whether the connection was closed, so that received bytes are discarded."""

    @property
    def is_finished(self) -> bool:
        """Whether everything is sent and nothing is read any more."""
        is_read = self.is_lingering and not self._transport.is_closing()
        return not is_read and not self.get_write_buffer_size()

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        """Send bytes."""
        self._last_sent_at = self._loop.time()
        self._transport.write(data)

    def writelines(
        self, list_of_data: Iterable[bytes | bytearray | memoryview[Any]]
    ) -> None:
        """Send several pieces of bytes."""
        self._last_sent_at = self._loop.time()
        self._transport.writelines(list_of_data)

    def mark_sent(self) -> None:
        """Note that bytes which were written earlier have been sent just now."""
        self._last_sent_at = self._loop.time()

    def close(self) -> None:
        """Close the connection; read it for a while if a response is on its way."""
        if self.is_closing():
            return
        is_idle = self._loop.time() - self._last_sent_at >= LINGER_S
        if not self.can_write_eof():
            self._transport.close()
            return
        if is_idle and not self.get_write_buffer_size():
            # A request that crosses the close is reset instead of being read and
            # dropped, so that its client sends it again at once.
            peer_state.shut_down(self._transport)
            return
        self.is_lingering = True
        self._reading.discard()
        self._transport.write_eof()
        self._linger_once_sent()

    def _linger_once_sent(self) -> None:
        if self._transport.is_closing():
            return
        if self.get_write_buffer_size():
            self._loop.call_later(SEND_CHECK_INTERVAL_S, self._linger_once_sent)
        else:
            self._loop.call_later(LINGER_S, self._transport.close)

    def abort(self) -> None:
        """Close the connection and discard what is not sent."""
        self._transport.abort()

    def is_closing(self) -> bool:
        """Return whether the connection is closed or about to be."""
        return self.is_lingering or self._transport.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information on the connection."""
        return self._transport.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self._transport.get_write_buffer_size()

    def can_write_eof(self) -> bool:
        """Return whether the connection can be closed for one direction."""
        return self._transport.can_write_eof()

    def pause_reading(self) -> None:
        """Pass on no bytes; the end of the connection is still noticed."""
        self._reading.pause()

    def resume_reading(self) -> None:
        """Pass on bytes again."""
        self._reading.resume()
