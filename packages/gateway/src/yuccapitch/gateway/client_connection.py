"""Connections of the HTTP client, bounded in what a peer may send over them."""

from __future__ import annotations

import asyncio
import functools
from typing import Any

import aiohttp
import result
from aiohttp import client_proto, http, streams

from yuccapitch.gateway.http1 import peer_state, response_end, server

MAX_HEAD_BYTES = 256 * 1024
"""Limit on the bytes before the body of a response, with its interim responses."""
MAX_FRAMING_BYTES = 96 * 1024
"""Limit on the bytes of a chunked response that are no part of its body.

These are the lengths and extensions of chunks and the trailer section. As chunks cost
about the same work whatever their length, this allows some 16,000 chunks of one byte.
"""
BODY_BYTES_PER_FRAMING_BYTE = 16
"""Bytes of the body that allow one byte more beside it, for long responses."""
HEAD_PIECE_BYTES = 4 * 1024
"""Bytes of a head that are parsed before its limit is checked."""
BODY_PIECE_BYTES = 64 * 1024
"""The same for the bytes behind it."""
VALID_STATUSES = range(100, 600)
"""Status codes with a meaning in HTTP (RFC 9110, section 15)."""
SWITCHING_PROTOCOLS_STATUS = 101
"""Answers a request for another protocol, and no such request is sent."""
FIRST_UNSUCCESSFUL_STATUS = 400
"""Status from which on a response needs no more of its request to be sent."""


class ResponseRejected(aiohttp.ClientPayloadError):
    """The peer sent what is no response to the request, or too much of it."""


class Connector(aiohttp.TCPConnector):
    """Opens bounded connections."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(  # type: ignore[assignment]
            Connection, loop=self._loop
        )


class Connection(client_proto.ResponseHandler):
    """A connection that is closed at once when a response exceeds a limit."""

    _is_request_written = False
    _is_rejected = False
    _response_end: response_end.ResponseEnd | None = None
    _message: http.RawResponseMessage | None = None
    """Head of the final response to the present request."""
    _body: streams.StreamReader | None = None
    _head_bytes = 0
    _tail_bytes = 0
    """Bytes received behind the head, with those that are not parsed yet."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what arrives and isn't read."""
        sock = transport.get_extra_info("socket")
        if sock is not None:
            server.bound_receive_buffer(sock)
        super().connection_made(transport)

    def set_response_params(self, **params: Any) -> None:
        """Prepare the connection for a request."""
        self._is_request_written = False
        self._message, self._body = None, None
        self._head_bytes = self._tail_bytes = 0
        super().set_response_params(**params)

    def start_timeout(self) -> None:
        """Note that the request is written, and wait for the response."""
        self._is_request_written = True
        super().start_timeout()

    async def read(self) -> tuple[http.RawResponseMessage, streams.StreamReader]:
        """Return the head of the response, with its body."""
        try:
            return await super().read()
        except Exception:
            # The error refers to this frame from now on, and so to the connection.
            self._exception = None
            raise

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; without any, parse those that were received before."""
        if self._parser is None or self._payload_parser is not None:
            super().data_received(data)
            return
        start = 0
        while not self._is_rejected:
            has_head = self._message is not None
            if has_head and start < len(data) and self._has_whole_response():
                self._refuse_bytes()
                return
            size = BODY_PIECE_BYTES if has_head else HEAD_PIECE_BYTES
            self._parse(data[start : start + size])
            start += size
            if start >= len(data):
                return

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Hand over the head of a response; leave out interim responses."""
        message, body = data
        if self._is_rejected:
            return
        if (
            message.code not in VALID_STATUSES
            or message.code == SWITCHING_PROTOCOLS_STATUS
        ):
            self._reject(f"status {message.code:03} has no meaning here")
        elif message.code < 200:
            return
        elif self._message is not None:
            self._reject("bytes that belong to no request")
        else:
            self._message, self._body = message, body
            super().feed_data(data, size)

    def eof_received(self) -> bool:  # type: ignore[override]
        """End a response that is delimited by the end of the connection.

        It is complete unless a reset follows, so the connection stays open for a while.
        """
        super().eof_received()
        transport = self.transport
        if not isinstance(transport, asyncio.Transport) or transport.is_closing():
            return False
        if not self._is_delimited_by_close():
            self.force_close()
            return self._has_whole_response() and self.is_request_due()
        self._response_end = response_end.ResponseEnd(
            transport, self._on_response_end, lambda: self._is_request_written
        )
        self._response_end.start()
        return True

    @property
    def should_close(self) -> bool:
        """Whether the connection can't carry another request."""
        return super().should_close or self.is_request_due()

    @property
    def has_succeeded(self) -> bool:
        """Whether the present request was answered with success."""
        message = self._message
        return message is not None and message.code < FIRST_UNSUCCESSFUL_STATUS

    def is_request_due(self) -> bool:
        """Return whether the peer's kernel hasn't acknowledged the whole request."""
        transport = self.transport
        if not isinstance(transport, asyncio.Transport) or self.exception() is not None:
            return False
        if transport.is_closing() or peer_state.is_lost(transport):
            return False
        is_written = self._is_request_written
        return not is_written or peer_state.unacknowledged_bytes(transport) > 0

    def set_exception(self, exc: BaseException, *causes: BaseException) -> None:
        """Fail the exchange; a response whose request failed isn't waited for."""
        super().set_exception(exc, *causes)
        if self._response_end is not None:
            self._on_response_end(response_end.Decision.LOST)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response that is incomplete, unless its end delimits it.

        What was received of it is freed, as the body refers to its connection.
        """
        self._cancel_response_end()
        if exc is not None:
            self._fail_body(aiohttp.ClientPayloadError(f"connection lost: {exc!r}"))
            # The library would replace that error, which then refers to itself.
            self._payload = None
        super().connection_lost(exc)
        self._message, self._body = None, None

    def _parse(self, data: bytes) -> None:
        if self._message is None:
            self._head_bytes += len(data)
        else:
            self._tail_bytes += len(data)
        super().data_received(data)
        if self._is_rejected:
            return
        error = self.exception()
        if error is not None and self._parser is not None and not self.is_connected():
            # The parser failed, which the library doesn't tell the reader of the body.
            self._is_rejected = True
            if error.__cause__ is not None:
                # Its traceback refers to the error, and to the connection.
                error.__cause__.__traceback__ = None
            self._fail_body(ResponseRejected(f"invalid response: {error!r}"))
        elif self._message is None and self._head_bytes > MAX_HEAD_BYTES:
            self._reject(f"head larger than {MAX_HEAD_BYTES} bytes")
        elif self._has_endless_framing():
            self._reject(f"more than {MAX_FRAMING_BYTES} bytes between small chunks")

    def _has_endless_framing(self) -> bool:
        if self._body is None or self._body.is_eof() or self._reading_paused:
            # While reading is paused, received bytes may not be parsed yet.
            return False
        if self._message is None or not self._message.chunked:
            return False
        body_bytes = self._body.total_raw_bytes
        return (
            self._tail_bytes - body_bytes
            > MAX_FRAMING_BYTES + body_bytes // BODY_BYTES_PER_FRAMING_BYTE
        )

    def _has_whole_response(self) -> bool:
        return self._body is not None and self._body.is_eof()

    def _is_delimited_by_close(self) -> bool:
        return (
            self._message is not None
            and not self._has_whole_response()
            and not self._message.chunked
            and "Content-Length" not in self._message.headers
        )

    def _on_response_end(self, decision: response_end.Decision) -> None:
        self._cancel_response_end()
        if self.transport is None:
            return
        if decision is response_end.Decision.COMPLETE:
            self.transport.close()
        else:
            self._reject("reset after the end of the response, or the request failed")

    def _cancel_response_end(self) -> None:
        if self._response_end is not None:
            self._response_end.cancel()
            self._response_end = None

    def _refuse_bytes(self) -> None:
        """Handle bytes behind the response: its request may still have to be sent."""
        if self.transport is not None and self.is_request_due():
            self.force_close()
            self.pause_reading()
        else:
            self._reject("bytes that belong to no request")

    def _reject(self, reason: str) -> None:
        self._is_rejected = True
        error = ResponseRejected(reason)
        self._fail_body(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def _fail_body(self, error: aiohttp.ClientPayloadError) -> None:
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)


class Response(aiohttp.ClientResponse):
    """A response whose connection is released once its request is sent.

    An endpoint may respond before it has read the body. The rest of it is due on the
    connection: an upload that was answered with success is lost without it.
    """

    def is_request_due(self) -> bool:
        """Return whether a request that succeeded is still being sent."""
        protocol = None if self._connection is None else self._connection.protocol
        return (
            isinstance(protocol, Connection)
            and protocol.has_succeeded
            and protocol.is_request_due()
        )

    def _response_eof(self) -> None:
        if self._closed or not self.is_request_due():
            super()._response_eof()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(response_end.SENT_CHECK_INTERVAL_S, self._response_eof)


async def wait_until_sent(response: aiohttp.ClientResponse) -> None:
    """Wait until a request that succeeded is sent, or its connection is lost."""
    while isinstance(response, Response) and response.is_request_due():
        await asyncio.sleep(response_end.SENT_CHECK_INTERVAL_S)


def close(response: aiohttp.ClientResponse) -> None:
    """Close a response, unless it was read to its end, and let its body be freed."""
    error = response.content.exception()
    transport = None if response.connection is None else response.connection.transport
    response.close()
    if isinstance(transport, asyncio.Transport) and transport.get_write_buffer_size():
        # Nobody would end the sending to a peer that doesn't read.
        transport.abort()
    # An error that was raised refers to the frames that read, which refer to the body
    # and to the error.
    if error is not None:
        error.__traceback__ = None
    response.content.set_exception(aiohttp.ClientConnectionError("response closed"))


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int
) -> result.Result[bytes, str]:
    """Read a body of a limited size whole, and close its response."""
    fault = f"body larger than {max_bytes} bytes"
    if response.content_length is not None and response.content_length > max_bytes:
        return result.Err(fault)
    body = bytearray()
    try:
        while piece := await response.content.readany():
            body += piece
            if len(body) > max_bytes:
                return result.Err(fault)
    finally:
        close(response)
    return result.Ok(bytes(body))
