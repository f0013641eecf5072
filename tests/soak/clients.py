"""Connections of clients, with exact times of what was sent and how they ended."""

from __future__ import annotations

import asyncio
import collections
import http.client
import io

from tests.soak import history

CONNECT_TIMEOUT_S = 1.0
TICK_INTERVAL_S = 0.005
# A client notices the end of a connection at most three iterations of the event loop
# after the kernel; a tick per iteration, and one for the iteration that was under way.
TICKS_BEFORE_END = 4


class LoopMonitor:
    """Measures how late the event loop of the clients is."""

    def __init__(self) -> None:
        self._ticks: collections.deque[float] = collections.deque(
            [float("-inf")] * TICKS_BEFORE_END, TICKS_BEFORE_END
        )
        self.max_lag_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        self._tick(loop)
        try:
            await asyncio.Event().wait()
        finally:
            self._handle.cancel()

    def seen_open_at(self, now: float) -> float:
        """Return since when a connection that is found closed can have been closed."""
        return min(now, self._ticks[0])

    def _tick(self, loop: asyncio.AbstractEventLoop) -> None:
        now = loop.time()
        if self._ticks[-1] > float("-inf"):
            lag_s = now - self._ticks[-1] - TICK_INTERVAL_S
            self.max_lag_s = max(self.max_lag_s, lag_s)
        self._ticks.append(now)
        self._handle = loop.call_later(TICK_INTERVAL_S, self._tick, loop)


class Pool:
    """The kept connections of one client, by address."""

    def __init__(self, monitor: LoopMonitor, keeps: bool = True) -> None:
        self._monitor = monitor
        self._keeps = keeps
        self._streams_by_address: dict[
            str, tuple[asyncio.StreamReader, asyncio.StreamWriter, int]
        ] = {}
        """Streams, and the number of requests that were answered on them."""

    async def __aenter__(self) -> Pool:
        return self

    async def __aexit__(self, *args: object) -> None:
        for _, writer, _ in self._streams_by_address.values():
            writer.close()
        self._streams_by_address.clear()

    async def request(
        self, attempt: history.Attempt, message: bytes, timeout_s: float
    ) -> tuple[int | None, bytes]:
        """Send one request; return status and content of its response.

        The status is None if the connection ended before the response, or if there was
        none in time.
        """
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer, count = await self._connect(attempt.entry)
                attempt.answered_before = count
                attempt.is_kept = self._keeps
                await send(writer, attempt, message)
                status, headers, content = await read_response(reader)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError) as error:
            attempt.detail = repr(error)
            attempt.is_cut = not isinstance(error, TimeoutError)
            now = asyncio.get_running_loop().time()
            attempt.seen_open_at = self._monitor.seen_open_at(now)
            if writer is not None:
                writer.close()
            return None, b""
        except asyncio.CancelledError:
            if writer is not None:
                writer.close()
            raise
        attempt.is_from_endpoint = headers["Server-Seal"] is not None
        if self._keeps and (headers["Connection"] or "").lower() != "close":
            self._streams_by_address[attempt.entry] = reader, writer, count + 1
        else:
            writer.close()
        return status, content

    async def _connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, int]:
        if streams := self._streams_by_address.pop(address, None):
            reader, writer, _ = streams
            if not (reader.at_eof() or reader.exception() or writer.is_closing()):
                return streams
            writer.close()
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return (*await asyncio.open_connection(host, int(port)), 0)


async def send(
    writer: asyncio.StreamWriter, attempt: history.Attempt, message: bytes
) -> None:
    """Send a whole request and record when the kernel has taken its last byte."""
    writer.write(message)
    while writer.transport.get_write_buffer_size():
        await asyncio.sleep(0.001)
    if not writer.is_closing():
        attempt.is_sent_whole = True
        attempt.whole_at = asyncio.get_running_loop().time()


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, http.client.HTTPMessage, bytes]:
    """Read one response; return status, headers and content."""
    status_line = await reader.readuntil(b"\r\n")
    fields = await reader.readuntil(b"\r\n\r\n")
    headers = http.client.parse_headers(io.BytesIO(fields))
    # An instance knows the length of each response.
    if (length := headers["Content-Length"]) is None:
        raise ValueError("a response without a length")
    content = await reader.readexactly(int(length))
    return int(status_line.split()[1]), headers, content


def message(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
