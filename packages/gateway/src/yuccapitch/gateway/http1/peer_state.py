"""State of a peer's end of a TCP connection, as known to the kernel.

The event loop reports the end of a connection only once everything before it was read.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import fcntl
import select
import socket
import struct
import termios

# Interval at which a connection whose reading is paused is checked for its end, so that
# the requests of a client that has left are cancelled within half a second.
CHECK_INTERVAL_S = 0.1
# The peer has closed its end, or the connection was reset or lost. Bytes that the peer
# sent before may still be unread.
_PEER_LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
# The connection was reset or timed out, so that nothing is received or sent any more.
_LOST_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL

_INT = struct.Struct("i")
# Fields of the kernel's ``struct tcp_info`` up to tcpi_rtt and tcpi_rttvar: 8 bytes,
# then 32-bit numbers.
_TCP_INFO = struct.Struct("=8x60xII")
_US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class RoundTrip:
    """Round-trip time as measured by the kernel (RFC 6298, section 2)."""

    smoothed_s: float
    deviation_s: float

    @property
    def one_way_variation_s(self) -> float:
        """By how much the delay in one direction varies.

        It is half of the term for the round trip in the retransmission timeout.
        """
        return 2 * self.deviation_s


NO_ROUND_TRIP = RoundTrip(0.0, 0.0)
"""Round trip of a connection for which the kernel has measured none."""


class ReadingPause:
    """Pauses the reading of a transport, and aborts it if its peer leaves meanwhile."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_active(self) -> bool:
        """Whether reading is paused."""
        return self._timer is not None

    def start(self) -> None:
        """Stop reading."""
        if self.is_active or self._transport.is_closing():
            return
        self._transport.pause_reading()
        self._schedule_check()

    def end(self) -> None:
        """Read again."""
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._transport.is_closing():
            return
        if has_peer_left(self._transport):
            self._transport.abort()
        else:
            self._schedule_check()


def has_peer_left(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed or lost the connection."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        # Not a socket: only the event loop knows.
        return transport.is_closing()
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return any(events & _PEER_LEFT_EVENTS for _, events in poll.poll(0))


def is_readable(transport: asyncio.Transport) -> bool:
    """Return whether the kernel holds bytes, or an end, that were not read yet."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def is_lost(transport: asyncio.Transport) -> bool:
    """Return whether the connection was reset or timed out.

    The kernel reports the end that the peer sent before a reset as a regular one to
    those who read.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return transport.is_closing()
    poll = select.poll()
    poll.register(sock, 0)
    return any(events & _LOST_EVENTS for _, events in poll.poll(0))


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes written to a transport the peer's kernel may not have.

    They are in the buffer of the transport, or in that of the socket until the peer
    acknowledges them. Only 0 means that all was sent.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    buffered_bytes = transport.get_write_buffer_size()
    if sock is None or sock.fileno() < 0:
        return buffered_bytes
    count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    return buffered_bytes + int(_INT.unpack(count)[0])


def round_trip(transport: asyncio.Transport) -> RoundTrip:
    """Return the round-trip time to the peer."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0 or sock.family != socket.AF_INET:
        return NO_ROUND_TRIP
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    if len(info) < _TCP_INFO.size:
        return NO_ROUND_TRIP
    smoothed_us, deviation_us = _TCP_INFO.unpack(info)
    return RoundTrip(smoothed_us / _US_PER_S, deviation_us / _US_PER_S)


def peer_name(transport: asyncio.Transport) -> str:
    """Return the address of the peer, for logs."""
    address = transport.get_extra_info("peername")
    return ":".join(map(str, address[:2])) if address else "unknown"


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the kernel has received and the event loop hasn't read."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    count = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(_INT.size))
    return int(_INT.unpack(count)[0])


def shut_down(transport: asyncio.Transport) -> None:
    """Close a transport; the kernel rejects at once what its peer sends from now on.

    ``transport.close`` leaves the socket open until the next iteration of the event
    loop, and the kernel would keep taking bytes that nobody reads.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is not None:
        # Fails only if the peer has reset the connection meanwhile.
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
    transport.close()
