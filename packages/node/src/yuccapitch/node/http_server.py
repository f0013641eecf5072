"""The HTTP port of an instance."""

from __future__ import annotations

import asyncio
import contextlib

from aiohttp import web

from yuccapitch.node import http_connection
from yuccapitch.protocol import listener, peers as inner_peers

BACKLOG = 512
KEEP_ALIVE_S = 75.0
"""Idle time after which a connection is closed."""
IN_TRANSIT_REQUESTS_WAIT_S = 0.2


class HttpServer:
    """HTTP server that binds its port at once, so that its address is known early."""

    def __init__(self, host: str, port: int, max_header_bytes: int) -> None:
        self._listener = listener.Listener(host, port, BACKLOG)
        self.address = inner_peers.Address(*self._listener.address)
        self._max_header_bytes = max_header_bytes
        self._is_stopping = False
        self.cut_connections = 0
        """Number of connections that a stop cut over requests."""

    async def serve(
        self, application: web.Application, stack: contextlib.AsyncExitStack
    ) -> None:
        """Serve until the stack closes, which waits until responses are sent."""
        application.on_response_prepare.append(self._close_if_stopping)
        self._runner = http_connection.Runner(
            application,
            access_log=None,
            # Bodies are forwarded unchanged, including their content encoding.
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_S,
            max_line_size=self._max_header_bytes,
            max_field_size=self._max_header_bytes,
            handler_cancellation=True,
        )
        await self._runner.setup()
        stack.push_async_callback(self._runner.cleanup)
        assert self._runner.server is not None
        stack.push_async_callback(self._listener.aclose)
        await self._listener.start(self._runner.server)

    async def stop_listening(self) -> None:
        """Stop accepting connections, and answer the requests on the open ones."""
        self._is_stopping = True
        # The connections accepted last are open before idle ones are looked for.
        await self._listener.aclose()
        # Read and answer the requests that are already in transit.
        await asyncio.sleep(IN_TRANSIT_REQUESTS_WAIT_S)
        # The cleanup of aiohttp reads nothing any more, not even the rest of a body.
        self.cut_connections = await self._runner.finish_requests()

    async def _close_if_stopping(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self._is_stopping:
            close_after_last_response(request, response)


def close_after_last_response(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Close the connection after this response unless requests wait behind it.

    The response, which is being prepared, announces this with a ``Connection: close``
    header.
    """
    connection = request.protocol
    assert isinstance(connection, http_connection.Connection)
    if connection.has_waiting_requests or connection.has_unread_bytes:
        # Closing now would drop them without an answer.
        return
    response.force_close()
    # aiohttp has already built the headers at this point. Without this header a
    # client would send its next request on a connection that is about to close.
    response.headers["Connection"] = "close"
