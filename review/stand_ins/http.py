"""HTTP/1.1 messages over asyncio streams, for clients, upstreams and the operator."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or response; header names are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first_line.split()[1])

    @property
    def method(self) -> str:
        return self.first_line.split()[0]

    @property
    def path(self) -> str:
        return self.first_line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with a length or in chunks, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            while (await reader.readline()).strip():
                pass
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return Message(lines[0], headers, body)


def encode(first_line: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    host: str, port: int, first_line: str, body: bytes = b"", timeout_s: float = 1.0
) -> Message | None:
    """Send one request on a new connection; None if there is no answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            headers = {"Host": f"{host}:{port}", "Connection": "close"}
            if body:
                headers["Content-Type"] = "application/json"
            writer.write(encode(first_line, headers, body))
            await writer.drain()
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(Exception):
                writer.transport.abort()
