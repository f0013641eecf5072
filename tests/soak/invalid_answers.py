"""Answers of faulty endpoints, from which no instance may make a success."""

from __future__ import annotations

import asyncio
import collections
import concurrent.futures
import contextlib
import dataclasses
import functools
import os
import select
import socket
import time
from collections.abc import Awaitable, Callable

WITHOUT_END, BROKEN_OFF, INVALID_STATUS = "without end", "broken off", "invalid status"
# Bytes without end are sent until the caller closes, for at most this time.
MAX_SENDING_S = 10.0
BLOCK_BYTES = 1 << 20
CHUNK_BYTES = 1 << 16
POLL_MS = 100
PART_BYTES = 3000
RESET_DELAY_S = 0.05
CLOSE_POLL_S = 0.05
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class Exchange:
    """A request that is answered."""

    transport: asyncio.Transport
    fields: bytes
    """Fields that each head has, each with its line end."""
    executor: concurrent.futures.Executor
    """Runs what writes without the event loop, which is that of the clients too."""


Answer = Callable[[Exchange], Awaitable[None]]
ANSWERS_BY_GROUP: collections.defaultdict[str, list[Answer]]
ANSWERS_BY_GROUP = collections.defaultdict(list)
AFTER_END_ANSWERS: set[Answer] = set()
"""Answers that end like a whole one for those who have sent their whole request."""


def _register(group: str) -> Callable[[Answer], Answer]:
    def register(answer: Answer) -> Answer:
        ANSWERS_BY_GROUP[group].append(answer)
        return answer

    return register


def _register_endless(
    parts: Callable[[bytes], tuple[bytes, bytes]],
) -> Callable[[bytes], tuple[bytes, bytes]]:
    """Register what begins with the first bytes and repeats the others."""

    @functools.wraps(parts)
    async def answer(exchange: Exchange) -> None:
        first, unit = parts(exchange.fields)
        sock = exchange.transport.get_extra_info("socket")
        own_sock = socket.socket(fileno=os.dup(sock.fileno()))
        block = unit * (BLOCK_BYTES // len(unit) + 1)
        sending = asyncio.get_running_loop().run_in_executor(
            exchange.executor, _send_without_end, own_sock, first, block
        )
        try:
            await asyncio.shield(sending)
        finally:
            with contextlib.suppress(OSError):
                own_sock.shutdown(socket.SHUT_RDWR)

    ANSWERS_BY_GROUP[WITHOUT_END].append(answer)
    return parts


@_register_endless
def _status_line(fields: bytes) -> tuple[bytes, bytes]:
    return b"HTTP/1.1 200 ", b"O"


@_register_endless
def _field(fields: bytes) -> tuple[bytes, bytes]:
    return _OK + fields + b"X-Field: ", b"."


@_register_endless
def _fields(fields: bytes) -> tuple[bytes, bytes]:
    return _OK + fields, b"X-Field: value\r\n"


@_register_endless
def _interim_responses(fields: bytes) -> tuple[bytes, bytes]:
    return b"", b"HTTP/1.1 103 Early Hints\r\nX-Field: value\r\n\r\n"


@_register_endless
def _body_with_length(fields: bytes) -> tuple[bytes, bytes]:
    return _OK + fields + b"Content-Length: 999999999999\r\n\r\n", b"."


@_register_endless
def _body_without_length(fields: bytes) -> tuple[bytes, bytes]:
    return _OK + fields + b"Connection: close\r\n\r\n", b"."


@_register_endless
def _large_chunks(fields: bytes) -> tuple[bytes, bytes]:
    chunk = f"{CHUNK_BYTES:x}\r\n".encode() + b"." * CHUNK_BYTES + b"\r\n"
    return _OK + fields + _CHUNKED, chunk


@_register_endless
def _chunks_of_one_byte(fields: bytes) -> tuple[bytes, bytes]:
    return _OK + fields + _CHUNKED, b"1\r\n.\r\n"


@_register_endless
def _trailers(fields: bytes) -> tuple[bytes, bytes]:
    return _OK + fields + _CHUNKED + b"2\r\nno\r\n0\r\n", b"X-Field: value\r\n"


@_register(BROKEN_OFF)
async def _reset_at_once(exchange: Exchange) -> None:
    _send_part(exchange)


@_register(BROKEN_OFF)
async def _reset_later(exchange: Exchange) -> None:
    _send_part(exchange)
    await asyncio.sleep(RESET_DELAY_S)


@_register(BROKEN_OFF)
async def _end_and_reset_later(exchange: Exchange) -> None:
    _send_part(exchange)
    if exchange.transport.can_write_eof() and not exchange.transport.is_closing():
        exchange.transport.write_eof()
    await asyncio.sleep(RESET_DELAY_S)


AFTER_END_ANSWERS.add(_end_and_reset_later)


def _register_status(status: bytes) -> None:
    @_register(INVALID_STATUS)
    async def answer(exchange: Exchange) -> None:
        exchange.transport.write(
            b"HTTP/1.1 %b Status\r\n%bContent-Length: 2\r\n\r\nno"
            % (status, exchange.fields)
        )
        end_at = time.monotonic() + MAX_SENDING_S
        while not exchange.transport.is_closing() and time.monotonic() < end_at:
            await asyncio.sleep(CLOSE_POLL_S)


for _status in (b"000", b"099", b"600", b"999"):
    _register_status(_status)


def _send_part(exchange: Exchange) -> None:
    exchange.transport.write(_OK + exchange.fields + b"\r\n" + b"." * PART_BYTES)


def _send_without_end(sock: socket.socket, first: bytes, block: bytes) -> None:
    """Send until the caller closes; runs in a thread."""
    end_at = time.monotonic() + MAX_SENDING_S
    poll = select.poll()
    with sock, contextlib.suppress(OSError):
        poll.register(sock, select.POLLOUT)
        unsent = memoryview(first)
        while time.monotonic() < end_at:
            if not unsent:
                unsent = memoryview(block)
            if poll.poll(POLL_MS):
                with contextlib.suppress(BlockingIOError):
                    unsent = unsent[sock.send(unsent) :]
