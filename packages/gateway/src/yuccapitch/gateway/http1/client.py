"""HTTP/1.1 client for endpoints; each connection carries one request at a time."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import typing
from collections.abc import Callable

import httptools

from yuccapitch.gateway.http1 import (
    body_buffer,
    flushing,
    memory_budget,
    messages,
    peer_state,
    response_end,
    server,
)

# Fraction of the endpoint's keep-alive timeout after which an idle connection is no
# longer reused.
KEEP_ALIVE_USE_FRACTION = 0.6
# Assumed if the response has no Keep-Alive timeout.
DEFAULT_KEEP_ALIVE_TIMEOUT_S = 5.0
# Time that sent data may stay unacknowledged before the kernel drops the connection.
TCP_USER_TIMEOUT_MS = 1500
# The kernel counts this time also while an endpoint acknowledges, but does not read on
# because its slots are in use. Up to this size, every endpoint takes a body at once.
MAX_SMALL_BODY_BYTES = 4 * 1024
# The same time for larger bodies. It outlasts the deadlines of uploads, by which their
# senders give up.
LARGE_BODY_USER_TIMEOUT_MS = 15_000
# Limit on the bytes before the body of a response, with its interim responses, and on
# the memory that its header fields take.
MAX_HEAD_BYTES = 256 * 1024
# Limit on the bytes of the trailer section of a chunked response, which is discarded.
MAX_TRAILER_BYTES = 64 * 1024
# Limit on the bytes that the parser reads without completing a field or a part of the
# body: it keeps an incomplete trailer field.
MAX_INCOMPLETE_FIELD_BYTES = 64 * 1024
# Status codes with a meaning in HTTP (RFC 9110, section 15). Those above would have to
# count as failures of an unknown kind, which callers can't act on; those below 200 are
# interim, and below 100 nothing would follow them.
VALID_STATUSES = range(100, 600)
# Answers a request for another protocol, and no such request is sent on.
SWITCHING_PROTOCOLS_STATUS = 101
# Limit on the bytes of a response on the wire, and of its body.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# The same for a body that doesn't say how long it is, and so may have no end.
MAX_UNBOUNDED_BODY_BYTES = 16 * 1024 * 1024


class Fault(enum.Enum):
    """Reason why no complete response was received."""

    CONNECT = "connection failed"
    BROKEN = "connection lost"
    MALFORMED = "invalid response"
    TIMEOUT = "response timed out"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Request that received no complete response."""

    fault: Fault
    was_sent: bool
    """Whether bytes of the request may have reached the endpoint."""
    detail: str = ""
    connection_was_reused: bool = False


ResponseMatcher = Callable[[messages.Response], bool]
"""Returns whether a response belongs to the request; others are discarded."""


class Connection(asyncio.Protocol):
    """Connection to an endpoint."""

    def __init__(
        self,
        clock: Callable[[], float],
        budget: memory_budget.MemoryBudget | None = None,
        open_connections: set[Connection] | None = None,
        flushes: flushing.Flushes | None = None,
    ) -> None:
        self._clock = clock
        self._budget = budget or memory_budget.MemoryBudget()
        self._flushes = flushes or flushing.Flushes(clock, self._budget)
        self._open_connections = set() if open_connections is None else open_connections
        self._received_bytes = 0
        self._head_bytes = 0
        self._head_memory_bytes = 0
        self._trailer_bytes = 0
        self._incomplete_field_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._future: asyncio.Future[messages.Response | Failure] | None = None
        self._matches_request: ResponseMatcher = _match_any
        self._is_head = False
        self._headers: messages.HeaderList = []
        self._body = body_buffer.BodyBuffer()
        self._is_self_delimited = True
        self._has_length = False
        self._has_headers = False
        self._has_final_headers = False
        self._is_in_message = False
        self._response_began_at = 0.0
        self._response_end: response_end.ResponseEnd | None = None
        self._user_timeout_ms = TCP_USER_TIMEOUT_MS
        self.is_usable = False
        self._is_usable_once_sent = False
        self._is_flushing = False
        self.use_count = 0
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_KEEP_ALIVE_TIMEOUT_S * KEEP_ALIVE_USE_FRACTION

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            server.configure_tcp_socket(sock, self._user_timeout_ms)
        self.is_usable = True
        self._parser = httptools.HttpResponseParser(self)
        self._open_connections.add(self)

    @property
    def has_known_length(self) -> bool:
        """Whether the message says how long its body is.

        It is the response, or the rest of a request that is still being sent.
        """
        return self._is_flushing or (self._has_final_headers and self._has_length)

    @property
    def peer_name(self) -> str:
        """Address of the endpoint, for logs."""
        return "" if self._transport is None else peer_state.peer_name(self._transport)

    @property
    def is_lost(self) -> bool:
        """Whether the connection was closed, reset or timed out."""
        transport = self._transport
        return (
            transport is None or transport.is_closing() or peer_state.is_lost(transport)
        )

    @property
    def received_bytes(self) -> int:
        """Bytes received for the last request."""
        return self._received_bytes

    def endless_response_s(self) -> float:
        """Return for how long a response without a known length goes on.

        It is 0 without one, and for a response that says how long it is.
        """
        if not self._is_in_message or self.has_known_length:
            return 0.0
        return self._clock() - self._response_began_at

    def unread_bytes(self) -> int:
        """Return how many bytes the kernel holds."""
        return (
            0 if self._transport is None else peer_state.unread_bytes(self._transport)
        )

    def unsent_bytes(self) -> int:
        """Return how many bytes the endpoint's kernel hasn't acknowledged."""
        if self._transport is None:
            return 0
        return peer_state.unacknowledged_bytes(self._transport)

    def buffered_bytes(self) -> int:
        """Return how many of them this process holds."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def is_reusable(self) -> bool:
        """Return whether an idle connection can carry another request.

        The event loop may not have read yet that the endpoint has closed it, or bytes
        that belong to no request. A request sent after that would be lost.
        """
        if not self.is_usable or self._transport is None:
            return False
        return not peer_state.is_readable(self._transport)

    async def exchange(
        self,
        data: bytes,
        matches_request: ResponseMatcher,
        is_head: bool,
        body: bytes = b"",
    ) -> messages.Response | Failure:
        """Send a request and return its response; cancelling closes the connection.

        ``body`` is sent behind ``data``.
        """
        assert self._transport is not None and self._future is None
        if not self.is_usable or self._transport.is_closing():
            return Failure(Fault.BROKEN, False, "closed while idle", True)
        self._future = asyncio.get_running_loop().create_future()
        self._matches_request, self._is_head = matches_request, is_head
        self._received_bytes = 0
        self._head_bytes = self._head_memory_bytes = self._trailer_bytes = 0
        self._incomplete_field_bytes = 0
        self._has_final_headers = False
        was_reused = self.use_count > 0
        self.use_count += 1
        self._limit_unacknowledged_time(len(body))
        messages.write(self._transport, data, body)
        try:
            outcome = await self._future
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._future = None
            # It may refer to this connection.
            self._matches_request = _match_any
            self._budget.release(self)
        if isinstance(outcome, Failure):
            self.close()
            return dataclasses.replace(outcome, connection_was_reused=was_reused)
        if self.unsent_bytes() and not self.is_lost:
            # An endpoint may respond before it has read the whole body. The rest of
            # the body is still due, and another request would wait behind it.
            self._is_flushing = True
            self._is_usable_once_sent, self.is_usable = self.is_usable, False
        self.idle_since = self._clock()
        return outcome

    @property
    def is_flushing(self) -> bool:
        """Whether the last request is still being sent, though its response came."""
        return self._is_flushing

    def end_flush(self) -> None:
        """Note that the last request is sent; the connection may be used again."""
        self._is_flushing = False
        self.is_usable = self._is_usable_once_sent
        self.idle_since = self._clock()

    def close(self) -> None:
        """Abort the connection and free what was received."""
        self.is_usable = self._is_usable_once_sent = self._is_flushing = False
        if self._transport is not None:
            self._transport.abort()
        self._free()

    def shed(self, reason: str) -> None:
        """Fail the exchange, whose response or request takes too much memory."""
        if self._is_flushing:
            self._flushes.shed(self)
        else:
            self.fail(reason)

    def fail(self, reason: str) -> None:
        """End the exchange in progress and close the connection."""
        self._fail(Fault.MALFORMED, reason)
        self.close()

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; close the connection if no request is pending."""
        if self._future is None or self._future.done():
            self._refuse_bytes()
            return
        self._received_bytes += len(data)
        if self._received_bytes > MAX_RESPONSE_BYTES:
            self.fail("response exceeds the size limit")
            return
        if not self._has_final_headers:
            # The parser keeps what doesn't complete a field.
            self._budget.charge(self, len(data))
        parser = self._parser
        if parser is None:
            # Closed to stay below the memory budget.
            return
        had_final_headers = self._has_final_headers
        incomplete_field_bytes = self._incomplete_field_bytes
        self._incomplete_field_bytes += len(data)
        body_memory_bytes = self._body.memory_bytes
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if not isinstance(error.__context__, _ResponseRejected):
                raise
            # The error itself isn't kept: its traceback refers to this frame.
            self.fail(str(error.__context__))
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # The response itself may be complete and only the bytes after it invalid.
            self.is_usable = False
            self._fail(Fault.MALFORMED, repr(error))
        if self._parser is None:
            return
        added_bytes = max(0, self._body.memory_bytes - body_memory_bytes)
        if had_final_headers:
            # The parser keeps an incomplete trailer field.
            added_bytes += max(0, self._incomplete_field_bytes - incomplete_field_bytes)
        self._budget.charge(self, added_bytes)
        if not self._has_final_headers:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self.fail("response head exceeds the size limit")
        elif self._incomplete_field_bytes > MAX_INCOMPLETE_FIELD_BYTES:
            self.fail("response has an endless trailer field or chunk extension")

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection.

        It is complete unless a reset follows, so the connection stays open for a while.
        """
        self.is_usable = False
        if self._is_in_message and not self._is_self_delimited and self._has_headers:
            return self._await_response_end()
        self._fail(Fault.BROKEN, "closed by the endpoint")
        has_rest = self._has_rest_to_send()
        if self._is_flushing and not has_rest:
            # Read whole and then closed, which isn't the loss of the rest.
            self._flushes.check(self)
        return has_rest

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        self.is_usable = self._is_usable_once_sent = False
        self._open_connections.discard(self)
        self._fail(Fault.BROKEN, repr(exc) if exc else "closed")
        self._free()

    # Callbacks of httptools.HttpResponseParser.

    def on_message_begin(self) -> None:
        """Start a response."""
        self._get_parser()
        if self._future is None or self._future.done():
            # An extra response after the complete one belongs to no request.
            self.is_usable = False
        self._headers = []
        self._body.clear()
        self._is_in_message, self._has_headers = True, False
        self._response_began_at = self._clock()
        self._has_final_headers = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; discard a trailer field."""
        self._get_parser()
        self._incomplete_field_bytes = 0
        if self._has_headers:
            self._trailer_bytes += messages.field_size(name, value)
            if self._trailer_bytes > MAX_TRAILER_BYTES:
                raise _ResponseRejected("trailer section exceeds the size limit")
            return
        memory_bytes = messages.field_memory_size(name, value)
        self._budget.charge(self, memory_bytes)
        self._head_memory_bytes += memory_bytes
        if self._head_memory_bytes > MAX_HEAD_BYTES:
            raise _ResponseRejected("response head exceeds the size limit")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the end of the response is delimited."""
        status = self._get_parser().get_status_code()
        if status not in VALID_STATUSES or status == SWITCHING_PROTOCOLS_STATUS:
            raise _ResponseRejected(f"status {status:03} has no meaning here")
        self._has_headers = True
        self._has_final_headers = status >= 200
        self._is_self_delimited = (
            status in (204, 304)
            or status < 200
            or messages.find_header(self._headers, b"content-length") is not None
            or messages.find_header(self._headers, b"transfer-encoding") is not None
        )
        has_body = status >= 200 and status not in (204, 304) and not self._is_head
        length = messages.find_header(self._headers, b"content-length")
        self._has_length = length is not None
        max_body_bytes = min(MAX_RESPONSE_BYTES, self._budget.max_bytes)
        if has_body and length is not None and int(length) > max_body_bytes:
            # The caller gets nothing of a body that can't be received whole.
            raise _ResponseRejected(f"response body of {int(length)} bytes")
        if self._is_head and status >= 200:
            self.is_usable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Append a body chunk."""
        self._get_parser()
        self._incomplete_field_bytes = 0
        self._body.append(body)
        if self._body.is_fragmented:
            raise _ResponseRejected("response body has too many small pieces")
        is_long = self._body.size_bytes > MAX_UNBOUNDED_BODY_BYTES
        if is_long and not self._has_length:
            raise _ResponseRejected("response body without a length is too long")

    def on_message_complete(self) -> None:
        """Complete the response unless it is an interim one (1xx)."""
        if not self._is_in_message:
            return
        parser = self._get_parser()
        if not parser.should_keep_alive():
            self.is_usable = False
        if parser.get_status_code() < 200:
            self._is_in_message = False
            return
        self._complete()

    def _refuse_bytes(self) -> None:
        """Stop reading: the endpoint sends bytes that belong to no request."""
        if self._has_rest_to_send():
            assert self._transport is not None
            self._transport.pause_reading()
        else:
            self.close()

    def _has_rest_to_send(self) -> bool:
        """Return whether a request is still being sent whose response has come.

        The connection isn't used again then.
        """
        self.is_usable = self._is_usable_once_sent = False
        has_response = self._future is None or (
            self._future.done() and not isinstance(self._future.result(), Failure)
        )
        return has_response and self.unsent_bytes() > 0 and not self.is_lost

    def _get_parser(self) -> httptools.HttpResponseParser:
        """Return the parser; end its callbacks if the connection was closed in one."""
        if self._parser is None:
            raise _ResponseRejected("the connection was closed")
        return self._parser

    def _free(self) -> None:
        """Drop what was received, which the budget no longer counts.

        The parser refers to this connection. As long as it does, all that the
        connection holds would wait for the garbage collector.
        """
        self._budget.release(self)
        if self._response_end is not None:
            self._response_end.cancel()
            self._response_end = None
        self._parser = None
        self._headers = []
        self._body.clear()

    def _await_response_end(self) -> bool:
        """Complete the response if no reset follows; return whether one may follow."""
        if self._future is None or self._future.done():
            return False
        assert self._transport is not None
        if self._transport.is_closing():
            # It has dropped what it hadn't sent; ``connection_lost`` follows.
            return False
        self._response_end = response_end.ResponseEnd(
            self._transport, self._on_response_end
        )
        self._response_end.start()
        return True

    def _on_response_end(self, decision: response_end.Decision) -> None:
        self._response_end = None
        if decision is response_end.Decision.COMPLETE:
            self._complete()
        else:
            self._fail(Fault.BROKEN, "reset after the end of the response")
        self.close()

    def _limit_unacknowledged_time(self, body_bytes: int) -> None:
        timeout_ms = TCP_USER_TIMEOUT_MS
        if body_bytes > MAX_SMALL_BODY_BYTES:
            timeout_ms = LARGE_BODY_USER_TIMEOUT_MS
        if timeout_ms == self._user_timeout_ms:
            return
        self._user_timeout_ms = timeout_ms
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            server.set_user_timeout(sock, timeout_ms)

    def _complete(self) -> None:
        self._is_in_message = False
        if self._future is None or self._future.done():
            return
        response = messages.Response(
            self._get_parser().get_status_code(), self._headers, self._body.join()
        )
        # An idle connection keeps no copy, which the budget wouldn't count.
        self._headers = []
        self._body.clear()
        if not self._matches_request(response):
            # A late response to an earlier request. The response to this request may
            # follow, but the connection is not reused afterwards.
            was_usable, self.is_usable = self.is_usable, False
            if not was_usable:
                self._fail(Fault.MALFORMED, "response belongs to another request")
            return
        keep_alive_s = parse_keep_alive_timeout_s(response.header(b"keep-alive"))
        if keep_alive_s is not None:
            self.idle_limit_s = keep_alive_s * KEEP_ALIVE_USE_FRACTION
        self._future.set_result(response)

    def _fail(self, fault: Fault, detail: str) -> None:
        if self._future is not None and not self._future.done():
            self._future.set_result(Failure(fault, True, detail))


class Pool:
    """Connection pool of one endpoint address."""

    def __init__(
        self,
        host: str,
        port: int,
        clock: Callable[[], float],
        budget: memory_budget.MemoryBudget | None = None,
        flushes: flushing.Flushes | None = None,
    ) -> None:
        """Create a pool; ``budget`` limits the messages of several pools together.

        ``flushes`` has their requests that are still being sent after the response.
        """
        self._host = host
        self._port = port
        self._clock = clock
        self.budget = budget or memory_budget.MemoryBudget()
        self._flushes = flushes or flushing.Flushes(clock, self.budget)
        self._idle: list[Connection] = []
        self._open_connections: set[Connection] = set()
        self._is_closed = False
        self.connect_count = 0

    def unread_bytes(self) -> int:
        """Return how many bytes the kernel holds of all connections."""
        return sum(connection.unread_bytes() for connection in self._open_connections)

    async def acquire(
        self, timeout_s: float, max_idle_s: float
    ) -> Connection | Failure:
        """Return a connection idle for at most ``max_idle_s``, or open a new one."""
        now = self._clock()
        while self._idle:
            connection = self._idle.pop()
            idle_limit_s = min(max_idle_s, connection.idle_limit_s)
            is_recent = now - connection.idle_since <= idle_limit_s
            if is_recent and connection.is_reusable():
                return connection
            connection.close()
        self.connect_count += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(
                        self._clock,
                        self.budget,
                        self._open_connections,
                        self._flushes,
                    ),
                    self._host,
                    self._port,
                )
        except Exception as error:
            # Beside OSError and TimeoutError, an address that can't be encoded or
            # resolved raises errors of other types.
            return Failure(Fault.CONNECT, False, repr(error))
        return connection

    def release(self, connection: Connection, send_until: float | None = None) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        A request that is still being sent goes on until ``send_until``, and the
        connection is returned only then; without that time it is closed.
        """
        if connection.is_flushing and send_until is not None:
            self._flushes.add(
                connection, send_until, lambda: self._end_flush(connection)
            )
        elif connection.is_usable and not self._is_closed:
            self._idle.append(connection)
        else:
            connection.close()

    def _end_flush(self, connection: Connection) -> None:
        connection.end_flush()
        self.release(connection)

    def close(self) -> None:
        """Close the idle connections, and the others as they are released."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()


def parse_keep_alive_timeout_s(value: bytes | None) -> float | None:
    """Return the ``timeout`` parameter of a Keep-Alive header, None if absent."""
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


class _ResponseRejected(Exception):
    """Rejection raised in a parser callback.

    The parser reports it as the ``__context__`` of an HttpParserCallbackError.
    """


def _match_any(response: messages.Response) -> bool:
    return True
