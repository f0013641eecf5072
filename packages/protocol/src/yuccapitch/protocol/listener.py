"""Listen address whose waiting connections are accepted before it is closed.

The kernel resets the connections in the accept queue of a listen socket that is closed,
together with what their clients have already sent.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from yuccapitch.protocol import events

BACKLOG = 1024


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
        self._server: asyncio.Server | None = None
        self._accepting: set[asyncio.Task[object]] = set()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the bound address."""
        host, port = self._socket.getsockname()[:2]
        return host, port

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None and self._server.is_serving()

    async def start(self, factory: Callable[[], asyncio.BaseProtocol]) -> None:
        """Accept connections, each served by a protocol of the factory."""
        self._factory = factory
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            factory, sock=self._socket, backlog=self._backlog
        )

    def stop(self) -> None:
        """Accept the connections that wait, then close the address."""
        if self._server is None:
            self._socket.close()
            return
        if not self.is_listening:
            return
        accepted = self._accept_waiting()
        self._server.close()
        events.event("listener.closed", accepted=accepted)

    async def aclose(self) -> None:
        """Close the address; return once its last connections are open."""
        self.stop()
        await asyncio.gather(*self._accepting, return_exceptions=True)

    def _accept_waiting(self) -> int:
        loop = asyncio.get_running_loop()
        accepted = 0
        while True:
            try:
                sock, _ = self._socket.accept()
            except ConnectionAbortedError:
                continue
            except BlockingIOError:
                return accepted
            except OSError as error:
                # For example, no file descriptor is left.
                events.event("listener.accept-failed", reason=repr(error))
                return accepted
            sock.setblocking(False)
            opening = loop.create_task(self._open(sock))
            self._accepting.add(opening)
            opening.add_done_callback(self._accepting.discard)
            accepted += 1

    async def _open(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(self._factory, sock)
