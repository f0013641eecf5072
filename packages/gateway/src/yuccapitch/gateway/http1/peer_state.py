"""State of a peer's end of a TCP connection, as known to the kernel."""

from __future__ import annotations

import select
import socket

# The peer has closed its end, or the connection was reset or lost. Bytes that the peer
# sent before may still be unread.
_PEER_LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def has_peer_left(sock: socket.socket) -> bool:
    """Return whether the peer has closed or lost the connection, without reading it.

    The end of a connection that isn't read, or whose bytes are read only later, is not
    reported by the event loop.
    """
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return any(events & _PEER_LEFT_EVENTS for _, events in poll.poll(0))
