"""Client connections: malformed and slow request heads, and error responses."""

from __future__ import annotations

import asyncio
import contextlib
import traceback
from collections.abc import Sequence
from typing import Any

from aiohttp import http_exceptions, streams, web, web_protocol

from yuccapitch.gateway import outcomes, request_body
from yuccapitch.gateway.http1 import peer_state, server as http1_server
from yuccapitch.node import lingering_transport, read_ahead
from yuccapitch.protocol import events

HEAD_TIMEOUT_S = 10.0
"""Time from the first bytes of a request head until it must be complete."""
FINISH_LIMIT_S = 30.0
"""Time within which a stop lets requests be received and answered."""
SEND_LIMIT_S = 10.0
"""Time after the last response is written within which a stop lets it be sent."""
STOP_CHECK_INTERVAL_S = 0.05
TIMER_RETRY_S = 0.1
"""Time after which a timer that fired before unread bytes were parsed fires again."""
MAX_FRAMING_BYTES = 128 * 1024
"""Bytes of an upload beside its body: sizes and extensions of chunks, and trailers.

Small chunks cost about the same work whatever their length.
"""
MAX_FRAMING_FRACTION = 1 / 8
"""What an upload may have of them beyond, as a fraction of its body."""
MAX_MESSAGE_CHARS = 200
TRACE_FRAMES = 4
MAX_PIECE_BYTES = 16 * 1024
"""Bytes that are parsed at once, which the parser may keep to itself."""
END_OF_HEAD = b"\r\n\r\n"
INTERNAL_ERROR = "internal-error"
HEAD_TIMEOUT_FAILURE = outcomes.Failure(
    408,
    "head-timeout",
    f"the request's head was not whole within {HEAD_TIMEOUT_S} s",
    outcomes.Outcome.UNKNOWN,
)


class Runner(web.AppRunner):
    """Application runner whose connections format all error responses alike."""

    async def finish_requests(self) -> int:
        """Wait until requests are received and answered, then close all connections.

        Connections whose requests take too long are cut; return their number.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINISH_LIMIT_S):
                while self._busy_connections():
                    await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        busy_connections = self._busy_connections()
        for connection in busy_connections:
            if connection.transport is not None:
                _cut(connection.transport)
        # In the same step in which they were found idle: the cleanup of aiohttp drops
        # a request that is read meanwhile.
        for connection in self._connections():
            connection.force_close()
        return len(busy_connections)

    def _busy_connections(self) -> list[Connection]:
        return [
            connection
            for connection in self._connections()
            if connection.is_busy or connection.has_unread_bytes
        ]

    def _connections(self) -> list[Connection]:
        assert self.server is not None
        return [
            connection
            for connection in self.server.connections
            if isinstance(connection, Connection)
        ]

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return _Server(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )


class _Server(web.Server):
    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.read_ahead_budget = read_ahead.Budget()

    def __call__(self) -> web.RequestHandler:
        return Connection(self, loop=self._loop, **self._kwargs)

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close the connections and wait until their responses are sent."""
        transports = [
            connection.wrapped_transport
            for connection in self.connections
            if isinstance(connection, Connection)
        ]
        await super().shutdown(timeout)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SEND_LIMIT_S):
                await _wait_until_finished(transports)
        for transport in transports:
            if transport.get_write_buffer_size():
                _cut(transport)


class Connection(web_protocol.RequestHandler):
    """One connection from a client."""

    wrapped_transport: lingering_transport.LingeringTransport

    def __init__(self, server: _Server, **options: Any) -> None:
        super().__init__(server, **options)
        self._read_ahead_budget = server.read_ahead_budget
        self._read_ahead: read_ahead.ReadAhead
        self._head_timer: asyncio.TimerHandle | None = None
        self._head_bytes = 0
        self._next_head_bytes = 0
        self._last_body: streams.StreamReader = streams.EMPTY_PAYLOAD
        self._framing_bytes = 0
        self._is_malformed = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or answered."""
        if self.transport is None or self.transport.is_closing():
            return False
        # aiohttp's request handler waits on ``_waiter`` until a head is complete.
        is_waiting = self._waiter is not None and not self._waiter.done()
        return not is_waiting or self._head_timer is not None

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes, or an end, were received that were not parsed yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        return self._read_ahead.has_bytes or peer_state.is_readable(self.transport)

    @property
    def has_waiting_requests(self) -> bool:
        """Whether requests that were read wait behind the one being answered."""
        return bool(self._messages)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection."""
        assert isinstance(transport, asyncio.Transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            http1_server.bound_receive_buffer(sock)
        self._read_ahead = read_ahead.ReadAhead(
            transport, self._loop, self._read_ahead_budget, self._parse
        )
        self.wrapped_transport = lingering_transport.LingeringTransport(
            transport, self._loop, self._read_ahead
        )
        super().connection_made(self.wrapped_transport)

    def resume_writing(self) -> None:
        """Continue to write after most of a long response has been sent."""
        self.wrapped_transport.mark_sent()
        super().resume_writing()

    def data_received(self, data: bytes) -> None:
        """Parse bytes, or keep them while the application doesn't read."""
        if self._is_malformed:
            # aiohttp would report each read as another error and keep its bytes.
            return
        # aiohttp passes no bytes to parse what its parser has kept.
        if not data or not self._read_ahead.hold(data):
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Parse bytes and limit the size and time of an incomplete request head."""
        if self.wrapped_transport.is_lingering:
            return
        was_in_body = self._find_incomplete_body() is not None
        message_count = len(self._messages)
        pieces = _split(data)
        while pieces:
            self._parse_piece(pieces.pop(0))
            if self._is_malformed:
                break
            if pieces and self._read_ahead.is_paused:
                self._read_ahead.put_back(b"".join(pieces))
                break
        if self._waiter is not None and not self._waiter.done():
            self._count_incomplete_head(len(data))
        elif self._head_timer is not None:
            self._reset_head()
        elif was_in_body or len(self._messages) != message_count:
            self._next_head_bytes = 0
        else:
            self._count_next_head(len(data) - sum(map(len, pieces)))

    def _parse_piece(self, data: bytes) -> None:
        body = self._find_incomplete_body()
        received_bytes = 0 if body is None else body.total_bytes
        super().data_received(data)
        if self._messages:
            self._last_body = self._messages[-1][1]
        if body is None or body.is_eof():
            self._framing_bytes = 0
        else:
            # What the parser keeps to itself for now is counted, then taken off again.
            self._framing_bytes += len(data) - (body.total_bytes - received_bytes)
            most = MAX_FRAMING_BYTES + MAX_FRAMING_FRACTION * body.total_bytes
            if self._framing_bytes > most:
                self._reject_fragmented(body)
        last = self._messages[-1][0] if self._messages else None
        if isinstance(last, web_protocol._ErrInfo):
            # Its traceback refers to the bytes.
            last.exc.__traceback__ = None
            self._discard_rest()

    def _find_incomplete_body(self) -> streams.StreamReader | None:
        return None if self._last_body.is_eof() else self._last_body

    def _reject_fragmented(self, body: streams.StreamReader) -> None:
        body.set_exception(request_body.FragmentedBodyError("too many small pieces"))
        # aiohttp would wait for the end of the body behind the response.
        self._lingering_time = 0.0
        self._discard_rest()

    def _discard_rest(self) -> None:
        # No request can begin in what the client sends from now on.
        self._is_malformed = True
        self._read_ahead.discard()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer of an incomplete request head, and free what is kept."""
        self._reset_head()
        self._read_ahead.discard()
        super().connection_lost(exc)
        # Bodies refer to their connection.
        self._messages.clear()
        self._last_body = streams.EMPTY_PAYLOAD

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a malformed request head or a failed handler."""
        if request.writer.output_size > 0:
            # The client detects the truncated response by its missing end.
            events.event("request.cut-off", reason=repr(exc))
            raise ConnectionError("the response was started and cannot be completed")
        failure = _failure(status, exc)
        if failure.code == INTERNAL_ERROR:
            trace = "".join(traceback.format_exception(exc)[-TRACE_FRAMES:])
            events.event("request.crashed", reason=repr(exc), trace=trace)
        else:
            events.event("request.failed", code=failure.code, status=failure.status)
        response = outcomes.failure_response(failure, 0)
        response.force_close()
        return response

    def _process_keepalive(self) -> None:
        # The timer of aiohttp may fire before the event loop has read a request that
        # arrived in time.
        if self._head_timer is not None or self.has_unread_bytes:
            self._keepalive_handle = self._loop.call_later(
                TIMER_RETRY_S, self._process_keepalive
            )
        else:
            super()._process_keepalive()

    def _count_incomplete_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.max_field_size:
            self._reject_head(_head_too_large(f"over {self.max_field_size} bytes"))
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(
                HEAD_TIMEOUT_S, self._on_head_timeout
            )

    def _count_next_head(self, size: int) -> None:
        """Limit an incomplete head behind a request that is being answered."""
        self._next_head_bytes += size
        if self._is_malformed or self._next_head_bytes <= self.max_field_size:
            return
        error = http_exceptions.LineTooLong(b"the head", self.max_field_size)
        error_info = web_protocol._ErrInfo(431, error, error.message)
        self._messages.append((error_info, streams.EMPTY_PAYLOAD))
        self._discard_rest()

    def _on_head_timeout(self) -> None:
        if self.has_unread_bytes:
            self._head_timer = self._loop.call_later(
                TIMER_RETRY_S, self._on_head_timeout
            )
        else:
            self._reject_head(HEAD_TIMEOUT_FAILURE)

    def _reject_head(self, failure: outcomes.Failure) -> None:
        self._reset_head()
        if self.transport is None:
            return
        response = outcomes.failure_response(failure, 0)
        assert isinstance(response.body, bytes)
        lines = [f"HTTP/1.1 {failure.status} {failure.code}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in response.headers.items()]
        lines.append(f"Content-Length: {len(response.body)}")
        self.transport.write("\r\n".join([*lines, "", ""]).encode() + response.body)
        self.force_close()

    def _reset_head(self) -> None:
        self._head_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


def _split(data: bytes) -> list[bytes]:
    # The parser of aiohttp drops the requests before a malformed one in the same bytes.
    parts = data.split(END_OF_HEAD, web_protocol.MAX_MSG_QUEUE_SIZE)
    pieces = [part + END_OF_HEAD for part in parts[:-1]]
    if parts[-1] or not pieces:
        pieces.append(parts[-1])
    return [
        piece[start : start + MAX_PIECE_BYTES]
        for piece in pieces
        for start in range(0, len(piece) or 1, MAX_PIECE_BYTES)
    ]


def _cut(transport: asyncio.Transport) -> None:
    unsent_bytes = transport.get_write_buffer_size()
    events.event("entry.connection-cut", unsent_bytes=unsent_bytes)
    transport.abort()


async def _wait_until_finished(
    transports: Sequence[lingering_transport.LingeringTransport],
) -> None:
    # A closed transport still sends what it holds, but only while the loop runs.
    while not all(transport.is_finished for transport in transports):
        await asyncio.sleep(STOP_CHECK_INTERVAL_S)


def _failure(status: int, exc: BaseException | None) -> outcomes.Failure:
    # A malformed request may carry an idempotency key whose request has already been
    # executed, so the outcome is unknown.
    if isinstance(exc, http_exceptions.LineTooLong):
        return _head_too_large(_error_text(exc))
    if isinstance(exc, http_exceptions.HttpProcessingError):
        message = f"the request's head cannot be read: {_error_text(exc)}"
        code = "malformed-request"
    else:
        code = INTERNAL_ERROR
        message = "the instance failed on this request; its log has the reason"
    return outcomes.Failure(status, code, message, outcomes.Outcome.UNKNOWN)


def _head_too_large(detail: str) -> outcomes.Failure:
    message = f"the request's head is too large: {detail}"
    return outcomes.Failure(431, "head-too-large", message, outcomes.Outcome.UNKNOWN)


def _error_text(exc: http_exceptions.HttpProcessingError) -> str:
    return " ".join(exc.message.split())[:MAX_MESSAGE_CHARS]
