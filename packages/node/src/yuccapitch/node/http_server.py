"""The HTTP port of an instance."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from aiohttp import web

from yuccapitch.node import http_connection
from yuccapitch.protocol import peers as inner_peers

BACKLOG = 512
KEEP_ALIVE_S = 75.0
"""Time after which a connection without a request is closed."""
IN_TRANSIT_REQUESTS_WAIT_S = 0.2


class HttpServer:
    """A bound port, so that its address is known before it serves."""

    def __init__(self, host: str, port: int, max_header_bytes: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server(
            (host, port), family=family, backlog=BACKLOG
        )
        bound = self._socket.getsockname()
        self.address = inner_peers.Address(bound[0], bound[1])
        self._max_header_bytes = max_header_bytes

    async def serve(
        self, application: web.Application, stack: contextlib.AsyncExitStack
    ) -> None:
        """Serve until the stack is closed, which waits for no request."""
        runner = http_connection.Runner(
            application,
            access_log=None,
            # A body passes as it was sent, its encoding included.
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_S,
            max_line_size=self._max_header_bytes,
            max_field_size=self._max_header_bytes,
            handler_cancellation=True,
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        self._site = web.SockSite(runner, self._socket)
        await self._site.start()

    async def stop_listening(self) -> None:
        """Take no further connection; those that are open go on."""
        await self._site.stop()
        # What was sent on them before is read and answered.
        await asyncio.sleep(IN_TRANSIT_REQUESTS_WAIT_S)


def close_after_response(response: web.StreamResponse) -> None:
    """Close the connection after a response that is being prepared, and say so."""
    response.force_close()
    # The headers are complete by now. Without this one a caller would send its
    # next request on a connection that closes under it.
    response.headers["Connection"] = "close"
