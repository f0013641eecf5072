"""An endpoint that sends the bytes it is told to, whether they are HTTP or not."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Iterable

MAX_SENT_BYTES = 64 * 1024 * 1024
"""Bytes after which an endpoint gives up to be cut off."""
MAX_UNREAD_BYTES = 16 * 1024 * 1024
"""Bytes that an endpoint can send and the kernel hold, though nobody reads them."""
END_TIMEOUT_S = 20.0


class RawEndpoint:
    """Sends its pieces once a request head has come, until its peer closes."""

    def __init__(self, pieces: Iterable[bytes], closes: bool) -> None:
        self.port = 0
        self.sent_bytes = 0
        self.heads: list[bytes] = []
        self._pieces = pieces
        self._closes = closes
        self._ended = asyncio.Event()

    async def wait_cut_off(self) -> int:
        """Wait until the peer has closed the connection; return the bytes sent."""
        async with asyncio.timeout(END_TIMEOUT_S):
            await self._ended.wait()
        return self.sent_bytes

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            for piece in self._pieces:
                writer.write(piece)
                self.sent_bytes += len(piece)
                await writer.drain()
                if self.sent_bytes > MAX_SENT_BYTES:
                    break
            if not self._closes:
                await reader.read()
        self._ended.set()
        writer.close()


@contextlib.asynccontextmanager
async def sending(*pieces: bytes) -> AsyncIterator[RawEndpoint]:
    """Yield an endpoint that sends the pieces and keeps the connection open."""
    async with _serving(RawEndpoint(pieces, closes=False)) as endpoint:
        yield endpoint


@contextlib.asynccontextmanager
async def sending_endlessly(start: bytes, piece: bytes) -> AsyncIterator[RawEndpoint]:
    """Yield an endpoint that sends a start and then one piece again and again."""
    pieces = itertools.chain([start], itertools.repeat(piece))
    async with _serving(RawEndpoint(pieces, closes=True)) as endpoint:
        yield endpoint


@contextlib.asynccontextmanager
async def _serving(endpoint: RawEndpoint) -> AsyncIterator[RawEndpoint]:
    tasks: set[asyncio.Task[None]] = set()

    def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks.add(asyncio.create_task(endpoint.handle(reader, writer)))

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    endpoint.port = server.sockets[0].getsockname()[1]
    try:
        yield endpoint
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
