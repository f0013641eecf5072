"""Listen address whose waiting connections are accepted before it is closed.

The kernel resets the connections in the accept queue of a listen socket that is closed,
together with what their clients have already sent. ``asyncio.Server.close`` drops as
well those that it has accepted in the iteration of the event loop before.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from yuccapitch.protocol import events

BACKLOG = 1024
# Time after which accepting is tried again, for example once descriptors are free.
ACCEPT_RETRY_S = 0.1


class Listener:
    """One bound listen socket and the connections that it accepts."""

    def __init__(self, host: str, port: int, backlog: int = BACKLOG) -> None:
        """Bind the address; raise OSError if it can't be bound."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server(
            (host, port), family=family, backlog=backlog
        )
        self._socket.setblocking(False)
        self._backlog = backlog
        self._factory: Callable[[], asyncio.BaseProtocol]
        self._is_listening = False
        self._retry: asyncio.TimerHandle | None = None
        self._opening: set[asyncio.Task[object]] = set()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the bound address."""
        host, port = self._socket.getsockname()[:2]
        return host, port

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._is_listening

    async def start(self, factory: Callable[[], asyncio.BaseProtocol]) -> None:
        """Accept connections, each served by a protocol of the factory."""
        self._factory = factory
        self._socket.listen(self._backlog)
        self._is_listening = True
        self._watch()

    def stop(self) -> None:
        """Accept the connections that wait, then close the address."""
        if self._is_listening:
            self._is_listening = False
            self._unwatch()
            accepted = self._accept_waiting()
            events.event("listener.closed", accepted=accepted)
        self._socket.close()

    async def aclose(self) -> None:
        """Close the address; return once its last connections are open."""
        self.stop()
        await asyncio.gather(*self._opening, return_exceptions=True)

    def _watch(self) -> None:
        self._retry = None
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._accept_waiting)

    def _unwatch(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def _accept_waiting(self) -> int:
        accepted = 0
        # The accept queue holds one connection more than its limit. Clients that
        # connect without pause must not hold up the event loop.
        for _ in range(self._backlog + 1):
            try:
                sock, _ = self._socket.accept()
            except ConnectionAbortedError:
                continue
            except BlockingIOError:
                break
            except OSError as error:
                # For example, no file descriptor is left.
                events.event("listener.accept-failed", reason=repr(error))
                if self._is_listening:
                    self._retry_later()
                break
            sock.setblocking(False)
            self._start_opening(sock)
            accepted += 1
        return accepted

    def _retry_later(self) -> None:
        self._unwatch()
        loop = asyncio.get_running_loop()
        self._retry = loop.call_later(ACCEPT_RETRY_S, self._watch)

    def _start_opening(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        opening = loop.create_task(self._open(sock))
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    async def _open(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(self._factory, sock)
