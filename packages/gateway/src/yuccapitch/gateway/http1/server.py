"""HTTP/1.1 server with pipelining, request limits and graceful shutdown."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import socket
from collections.abc import Awaitable, Callable, Iterator

import httptools

from yuccapitch.catalogue import routes
from yuccapitch.gateway.http1 import (
    body_buffer,
    memory_budget,
    messages,
    peer_state,
    unparsed,
)
from yuccapitch.protocol import events, listener

# Pipelined requests of one connection that are processed concurrently. At this limit,
# reading from the connection is paused, and what was read behind them isn't parsed.
MAX_PIPELINED_REQUESTS = 8
# Least part of a chunked body that is parsed at once. The end of the body isn't known,
# so that requests behind it may be in the same part.
CHUNKED_PART_BYTES = 16 * 1024
# Responses that the transport of a connection holds. Above, what the client sends on
# isn't parsed until it has read most of them.
MAX_UNSENT_BYTES = 1024 * 1024
# Unparsed bytes of a connection at which reading is paused. A client that closes its
# end below is noticed at once.
MAX_UNPARSED_BYTES = 64 * 1024
# Lingering close: time for which a closed connection is still read. Closing a socket
# with unread bytes sends a reset, which may discard the last response before the
# client has read it.
LINGER_S = 1.0
FINISH_CHECK_INTERVAL_S = 0.05
# Time for the last responses of a server that is closed, usually refusals.
LAST_RESPONSES_S = 0.05
LAST_RESPONSES_CHECK_S = 0.005
# Time after which a timer that expired over unread bytes is checked again.
UNREAD_RETRY_S = 0.01
# Time that sent data may stay unacknowledged before the kernel drops the connection
# (TCP_USER_TIMEOUT). The kernel counts it also while a client acknowledges, but does
# not read its responses, so that it has to outlast the deadlines of clients.
TCP_USER_TIMEOUT_MS = 15_000
# Keep-alive probes detect a peer that disappeared while a response is awaited.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Receive buffer of a connection (SO_RCVBUF). The kernel would let it grow to tens of
# megabytes, which count toward the memory of the process.
RECEIVE_BUFFER_BYTES = 128 * 1024
# Retry-After of a request that is refused while the process holds too many bytes.
OVERLOADED_RETRY_AFTER_S = 1

Handler = Callable[[messages.Request], Awaitable[messages.Response]]


@dataclasses.dataclass
class ServerState:
    """State shared by the connections of a server."""

    handler: Handler
    clock: Callable[[], float]
    limits: Callable[[], routes.CallerLimits]
    budget: memory_budget.MemoryBudget = dataclasses.field(
        default_factory=memory_budget.MemoryBudget
    )
    is_stopping: bool = False
    connections: set[Connection] = dataclasses.field(default_factory=set)
    requests_in_flight: int = 0
    connection_ids: Iterator[int] = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )


@dataclasses.dataclass(frozen=True)
class UnfinishedConnection:
    """Connection on which responses are due or not sent yet."""

    connection_id: int
    unanswered_positions: list[int]
    """Positions of the requests without a response."""
    undelivered_positions: list[int]
    """Positions of the requests whose response waits for an earlier one."""
    unsent_bytes: int
    """Size of the responses that the transport still holds."""


class Connection(asyncio.Protocol):
    """Connection of a client."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._id = next(state.connection_ids)
        self._request_count = 0
        self._transport: asyncio.Transport
        self._parser: httptools.HttpRequestParser | None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: messages.HeaderList = []
        self._field_bytes = 0
        self._incomplete_field_bytes = 0
        self._charged_field_bytes = 0
        self._body = body_buffer.BodyBuffer()
        self._body_length: int | None = None
        self._unparsed = unparsed.UnparsedBytes()
        self._headers_received_at = 0.0
        self._is_in_headers = False
        self._is_in_message = False
        self._tasks: list[asyncio.Task[None]] = []
        self._pending_responses: list[_PendingResponse] = []
        self._is_closing = False
        self._is_rejected = False
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since = 0.0
        self._has_client_left = False
        self._is_writing_paused = False
        self._reading_pause: peer_state.ReadingPause

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket and start the idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._reading_pause = peer_state.ReadingPause(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            configure_tcp_socket(sock, TCP_USER_TIMEOUT_MS)
        self._state.connections.add(self)
        self._start_idle_time()

    @property
    def has_known_length(self) -> bool:
        """Whether the request that is being received says how long its body is."""
        return self._body_length is not None

    def data_received(self, data: bytes) -> None:
        """Parse request bytes and reject invalid ones."""
        if self._is_closing or self._is_rejected:
            return
        if not self._is_in_message:
            self._arm_timer(self._state.limits().header_timeout_s)
        self._unparsed.append(data)
        self._parse()

    def shed(self, reason: str) -> None:
        """Refuse the request being received, which takes too much memory."""
        self._reject(503, reason)

    def pause_writing(self) -> None:
        """Count the responses that the client reads more slowly than they come."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Parse on, or begin the lingering close once the last response is sent."""
        self._is_writing_paused = False
        self._state.budget.retain(self, 0)
        if not self._is_closing:
            self._parse_on()
        elif not self._transport.is_closing():
            self._linger()

    def eof_received(self) -> bool:
        """Close the connection; half-closed connections are not supported."""
        # Responses that are not sent yet may keep the connection open for a while.
        self._has_client_left = True
        self._cancel_tasks()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the pending requests, whose responses can no longer be delivered."""
        is_own_close, self._is_closing = self._is_closing, True
        self._state.connections.discard(self)
        self._disarm_timer()
        if self._pending_responses:
            reason = "closed by the client" if exc is None else repr(exc)
            events.event(
                "caller.connection-lost",
                connection=self._id,
                reason="closed by this instance" if is_own_close else reason,
                unanswered=len(self._positions(has_response=False)),
                undelivered=len(self._positions(has_response=True)),
            )
        self._cancel_tasks()
        self._free_memory()
        self._state.budget.retain(self, 0)
        # Both refer to this connection. As long as they do, all that it holds would
        # wait for the garbage collector.
        self._parser = None
        self._pending_responses.clear()

    def find_unfinished(self) -> UnfinishedConnection | None:
        """Return what the connection still owes its client, None if nothing."""
        unsent_bytes = self._transport.get_write_buffer_size()
        if not self._pending_responses and not unsent_bytes:
            return None
        return UnfinishedConnection(
            self._id,
            self._positions(has_response=False),
            self._positions(has_response=True),
            unsent_bytes,
        )

    def is_response_due(self) -> bool:
        """Whether a response is unsent, or bytes are unread that may be a request."""
        if self._pending_responses or self._transport.get_write_buffer_size():
            return True
        if self._is_closing:
            return False
        return self._has_unparsed_bytes()

    def unread_bytes(self) -> int:
        """Return how many bytes the kernel holds."""
        return peer_state.unread_bytes(self._transport)

    def close_if_idle(self, min_idle_s: float) -> None:
        """Close the connection if it has had no request in progress for this time.

        A connection with unread bytes, which may be a request, stays open.
        """
        if self._is_closing or self._pending_responses or self._is_in_message:
            return
        if self._has_unparsed_bytes():
            return
        if self._state.clock() - self._idle_since >= min_idle_s:
            self._close_idle()

    # Callbacks of httptools.HttpRequestParser.

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._timer is None:
            # The request before it came in the same piece, and its headers have ended.
            self._arm_timer(self._state.limits().header_timeout_s)
        self._is_in_message = self._is_in_headers = True
        self._target, self._headers = b"", []
        self._body.clear()
        self._body_length = None
        self._field_bytes = self._incomplete_field_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        self._target += url
        self._add_field_bytes(len(url), len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; discard a trailer field."""
        size = messages.field_size(name, value)
        if not self._is_in_headers:
            self._add_field_bytes(size, 0)
            return
        self._add_field_bytes(size, messages.field_memory_size(name, value))
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the header section against the limits."""
        limits = self._state.limits()
        self._is_in_headers = False
        self._field_bytes = self._incomplete_field_bytes = 0
        length = messages.find_header(self._headers, b"content-length")
        if length is not None:
            self._body_length = int(length)
            if self._body_length > limits.max_body_bytes:
                raise _RequestRejected(413, f"the body is {self._body_length} bytes")
        if self._get_parser().should_upgrade():
            raise _RequestRejected(501, "upgrades are not supported")
        if sum(1 for name, _ in self._headers if name == b"host") != 1:
            raise _RequestRejected(400, "one Host header is needed")
        self._headers_received_at = self._state.clock()
        self._disarm_timer()
        expect = messages.find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            if not self._pending_responses:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a body chunk, up to the size limit."""
        if self._is_rejected:
            return
        self._incomplete_field_bytes = 0
        former_bytes = self._body.memory_bytes
        self._body.append(body)
        size_bytes = self._body.size_bytes
        if size_bytes > self._state.limits().max_body_bytes:
            raise _RequestRejected(413, f"the body is over {size_bytes} bytes")
        if self._body.is_fragmented:
            raise _RequestRejected(413, "the body comes in too many small pieces")
        self._state.budget.charge(self, self._body.memory_bytes - former_bytes)

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        self._is_in_message = False
        self._incomplete_field_bytes = self._charged_field_bytes = 0
        self._state.budget.release(self)
        if self._is_closing or self._is_rejected:
            return
        self._request_count += 1
        parser = self._get_parser()
        request = messages.Request(
            parser.get_method(),
            self._target,
            self._headers,
            self._body.join(),
            self._headers_received_at,
            self._id,
            self._request_count,
            self._is_client_connected,
        )
        self._body.clear()
        pending = _PendingResponse(request, parser.should_keep_alive())
        self._pending_responses.append(pending)
        self._state.budget.retain(pending, request.memory_size())
        self._state.requests_in_flight += 1
        task = asyncio.create_task(self._serve(pending))
        self._tasks.append(task)
        task.add_done_callback(lambda done: self._on_served(done, pending))
        if len(self._pending_responses) >= MAX_PIPELINED_REQUESTS:
            self._reading_pause.start()

    def _get_parser(self) -> httptools.HttpRequestParser:
        assert self._parser is not None, "the connection is lost"
        return self._parser

    def _parse(self) -> None:
        """Parse what was received, up to the limit on pipelined requests."""
        while len(self._unparsed) and not (self._is_closing or self._is_rejected):
            if self._must_wait():
                break
            max_heads = MAX_PIPELINED_REQUESTS - len(self._pending_responses)
            self._parse_part(self._take_part(max_heads))
        self._state.budget.retain(self._unparsed, self._unparsed.memory_bytes)
        if len(self._unparsed) >= MAX_UNPARSED_BYTES:
            self._reading_pause.start()

    def _parse_on(self) -> None:
        """Parse and read what waited for earlier responses."""
        self._parse()
        if self._is_closing:
            return
        has_place = len(self._pending_responses) < MAX_PIPELINED_REQUESTS
        if has_place and len(self._unparsed) < MAX_UNPARSED_BYTES:
            self._reading_pause.end()

    def _must_wait(self) -> bool:
        if len(self._pending_responses) < MAX_PIPELINED_REQUESTS:
            if not self._is_writing_paused:
                return False
            if self._transport.get_write_buffer_size() <= MAX_UNSENT_BYTES:
                return False
        if self._is_in_message and not self._is_in_headers and self._body_length:
            # The request was begun before, and nothing behind it is parsed with it.
            return False
        # An incomplete head, also a faulty one, is seen without waiting.
        return self._unparsed.has_end_of_head

    def _take_part(self, max_heads: int) -> memoryview:
        if not self._is_in_message or self._is_in_headers:
            return self._unparsed.take(max(1, max_heads), 0)
        # A body may look like the ends of many heads. It isn't parted at each.
        if self._body_length is not None:
            return self._unparsed.take(0, self._body_length - self._body.size_bytes)
        return self._unparsed.take(max(1, max_heads), CHUNKED_PART_BYTES)

    def _parse_part(self, part: memoryview) -> None:
        self._incomplete_field_bytes += len(part)
        try:
            self._get_parser().feed_data(part)
            # The parser keeps an incomplete field and reports it only once it ends.
            self._check_field_size(self._incomplete_field_bytes)
            self._charge_incomplete_field(part)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, _RequestRejected):
                self._reject(cause.status, cause.reason)
            else:
                self._reject_crashed(cause or error)
        except _RequestRejected as error:
            self._reject(error.status, error.reason)
        except httptools.HttpParserError as error:
            self._reject(400, str(error))
        except Exception as error:
            self._reject_crashed(error)

    def _charge_incomplete_field(self, part: memoryview) -> None:
        if self._is_rejected:
            return
        former_bytes, self._charged_field_bytes = self._charged_field_bytes, 0
        if self._is_in_headers:
            line_start = bytes(part).rfind(b"\n") + 1
            self._charged_field_bytes = len(part) - line_start
            if not line_start:
                self._charged_field_bytes += former_bytes
        if self._charged_field_bytes != former_bytes:
            added_bytes = self._charged_field_bytes - former_bytes
            self._state.budget.charge(self, added_bytes)

    def _has_unparsed_bytes(self) -> bool:
        return len(self._unparsed) > 0 or peer_state.is_readable(self._transport)

    def _add_field_bytes(self, size: int, memory_size: int) -> None:
        if self._is_rejected:
            return
        self._field_bytes += size
        self._incomplete_field_bytes = 0
        self._check_field_size(self._field_bytes)
        self._state.budget.charge(self, memory_size)

    def _check_field_size(self, size: int) -> None:
        """Reject a header or trailer section, or a field, above the size limit."""
        if not self._is_rejected and size > self._state.limits().max_header_bytes:
            raise _RequestRejected(431, f"the headers are over {size} bytes")

    def _is_client_connected(self) -> bool:
        if self._is_closing or self._transport.is_closing():
            return False
        return not peer_state.has_peer_left(self._transport)

    def _cancel_tasks(self) -> None:
        for task in self._tasks:
            if task is not asyncio.current_task():
                task.cancel()

    async def _serve(self, pending: _PendingResponse) -> None:
        response = await self._state.handler(pending.request)
        pending.response = response
        pending.request.body = b""
        self._state.budget.retain(pending, len(response.body))
        self._write_ready_responses()

    def _on_served(self, task: asyncio.Task[None], pending: _PendingResponse) -> None:
        self._state.requests_in_flight -= 1
        self._tasks.remove(task)
        if pending.response is None or self._is_closing:
            self._free_pending(pending)
        error: BaseException | None
        if task.cancelled():
            if self._is_closing or self._has_client_left:
                return
            # The handler let a cancellation out, or the process ends.
            error = asyncio.CancelledError()
        else:
            error = task.exception()
        if error is not None:
            events.event("request.crashed", reason=repr(error))
            pending.response = messages.Response(500, [], b"")
            self._write_ready_responses()

    def _positions(self, has_response: bool) -> list[int]:
        return [
            pending.request.position
            for pending in self._pending_responses
            if (pending.response is not None) == has_response
        ]

    def _write_ready_responses(self) -> None:
        while (
            self._pending_responses and self._pending_responses[0].response is not None
        ):
            if self._is_closing:
                return
            pending = self._pending_responses.pop(0)
            assert pending.response is not None
            # While stopping, the close is announced with the last response only:
            # requests pipelined after this one may be unread, or at an endpoint.
            closes = not pending.keeps_alive or (
                self._state.is_stopping and not self._has_further_requests()
            )
            head = self._encode_head(pending, closes)
            is_head = pending.request.method == b"HEAD"
            body = b"" if is_head else pending.response.body
            messages.write(self._transport, head, body)
            self._state.budget.retain(pending, 0)
            if self._is_writing_paused:
                unsent_bytes = self._transport.get_write_buffer_size()
                self._state.budget.retain(self, unsent_bytes)
            if closes:
                self._close()
                return
        self._parse_on()
        if self._is_closing:
            return
        if not self._pending_responses and not self._is_in_message:
            self._start_idle_time()

    def _encode_head(self, pending: _PendingResponse, closes: bool) -> bytes:
        """Encode the head of a response, or of a failure if it can't be encoded."""
        assert pending.response is not None
        try:
            return messages.encode_response_head(pending.response, closes)
        except Exception as error:
            events.event("request.crashed", reason=repr(error))
            # Without a response, the request would get the one of the next.
            pending.response = messages.Response(500, [], b"")
            return messages.encode_response_head(pending.response, closes)

    def _has_further_requests(self) -> bool:
        if self._pending_responses or self._is_in_message:
            return True
        return self._has_unparsed_bytes()

    def _free_memory(self) -> None:
        """Drop what was received, and the responses that aren't being sent."""
        self._discard_unparsed()
        self._headers = []
        self._body.clear()
        self._state.budget.release(self)
        for pending in self._pending_responses:
            # The others are in use until their tasks have ended.
            if pending.response is not None:
                self._free_pending(pending)

    def _free_pending(self, pending: _PendingResponse) -> None:
        """Drop the content of a request and of its response, but not their places."""
        self._state.budget.retain(pending, 0)
        pending.request.headers, pending.request.body = [], b""
        if pending.response is not None:
            pending.response = messages.Response(pending.response.status, [], b"")

    def _discard_unparsed(self) -> None:
        self._unparsed.clear()
        self._state.budget.retain(self._unparsed, 0)

    def _reject(self, status: int, reason: str) -> None:
        if self._is_rejected:
            return
        self._is_rejected = True
        self._discard_unparsed()
        self._headers = []
        self._body.clear()
        self._state.budget.release(self)
        events.event("caller.refused", status=status, reason=reason)
        self._disarm_timer()
        pending = _PendingResponse(messages.Request(b"", b"", [], b"", 0.0), False)
        headers: messages.HeaderList = []
        if status == 503:
            headers.append((b"retry-after", b"%d" % OVERLOADED_RETRY_AFTER_S))
        pending.response = messages.Response(status, headers, reason.encode())
        # Earlier requests of the connection get their responses first.
        self._pending_responses.append(pending)
        self._write_ready_responses()

    def _reject_crashed(self, error: BaseException) -> None:
        # An error that leaves the protocol would cut the requests in progress too.
        events.event("request.crashed", reason=repr(error))
        self._reject(500, "internal error")

    def _close_idle(self) -> None:
        is_recent = self._state.clock() - self._idle_since < LINGER_S
        if is_recent or self._transport.get_write_buffer_size():
            # A reset might discard the last response, which may still be on its way.
            self._close()
            return
        # A request that crosses the close is reset instead of being read and dropped,
        # so that its client sends it again at once.
        self._is_closing = True
        self._disarm_timer()
        peer_state.shut_down(self._transport)

    def _close(self) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self._disarm_timer()
        # Pipelined requests behind the last response are cancelled, and those not yet
        # passed to the handler are dropped. The client sends them again.
        self._cancel_tasks()
        self._free_memory()
        if self._transport.is_closing():
            return
        self._reading_pause.end()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        # Without a limit above 0, writing resumes once everything has been sent.
        self._transport.set_write_buffer_limits(0)
        if not self._transport.get_write_buffer_size():
            self._linger()

    def _linger(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self._transport.close)

    def _start_idle_time(self) -> None:
        self._idle_since = self._state.clock()
        self._arm_timer(self._state.limits().idle_timeout_s)

    def _arm_timer(self, delay_s: float) -> None:
        self._disarm_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._on_timer)

    def _disarm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        if self._has_unparsed_bytes():
            # The event loop was late, or reading is paused. The request may have
            # arrived in time.
            is_waiting = self._reading_pause.is_active or len(self._unparsed) > 0
            header_timeout_s = self._state.limits().header_timeout_s
            self._arm_timer(header_timeout_s if is_waiting else UNREAD_RETRY_S)
            return
        if self._is_in_headers:
            self._reject(408, "the headers did not arrive in time")
            return
        if self._pending_responses:
            return
        # Clients reuse the connection for as long as the latest limit allows.
        idle_s = self._state.clock() - self._idle_since
        remaining_s = self._state.limits().idle_timeout_s - idle_s
        if remaining_s > 0:
            self._arm_timer(remaining_s)
            return
        self._close_idle()


class Server:
    """Server for clients on one listen address."""

    def __init__(
        self,
        handler: Handler,
        clock: Callable[[], float],
        limits: Callable[[], routes.CallerLimits],
        budget: memory_budget.MemoryBudget | None = None,
    ) -> None:
        """Create a server; ``budget`` limits the memory of all messages together."""
        budget = budget or memory_budget.MemoryBudget()
        self._state = ServerState(handler, clock, limits, budget)
        self._listener: listener.Listener | None = None

    @property
    def requests_in_flight(self) -> int:
        """Number of requests that have been read and not yet answered."""
        return self._state.requests_in_flight

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._listener is not None and self._listener.is_listening

    @property
    def connection_count(self) -> int:
        """Number of open client connections."""
        return len(self._state.connections)

    def unread_bytes(self) -> int:
        """Return how many bytes the kernel holds of all connections."""
        return sum(connection.unread_bytes() for connection in self._state.connections)

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the bound port."""
        self._listener = listener.Listener(host, port)
        await self._listener.start(lambda: Connection(self._state))
        return self._listener.address[1]

    def drain(self) -> None:
        """Announce the close of each connection with its last pending response."""
        self._state.is_stopping = True

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._listener is not None:
            self._listener.stop()

    def close_idle(self) -> None:
        """Close the connections that have had no request in progress for a while.

        One that was just opened or used may carry a request that is not read yet.
        """
        self._close_idle(LINGER_S)

    async def finish(self, ends_at: float) -> None:
        """Stop listening and wait until all connections have ended, or ``ends_at``."""
        self.stop_listening()
        while True:
            self.close_idle()
            # Connections that were accepted before are opened meanwhile.
            await asyncio.sleep(FINISH_CHECK_INTERVAL_S)
            if not self._state.connections or self._state.clock() >= ends_at:
                return

    def find_unfinished(self) -> list[UnfinishedConnection]:
        """Return the connections that still owe their clients something."""
        found = (connection.find_unfinished() for connection in self._state.connections)
        return [unfinished for unfinished in found if unfinished is not None]

    async def aclose(self) -> None:
        """Stop listening and close the connections without a request in progress.

        Requests that were received, read or not, get ``LAST_RESPONSES_S`` for their
        responses.
        """
        self.drain()
        if self._listener is not None:
            await self._listener.aclose()
        ends_at = self._state.clock() + LAST_RESPONSES_S
        while True:
            self._close_idle(0.0)
            has_due = any(c.is_response_due() for c in self._state.connections)
            if not has_due or self._state.clock() >= ends_at:
                return
            await asyncio.sleep(LAST_RESPONSES_CHECK_S)

    def _close_idle(self, min_idle_s: float) -> None:
        for connection in list(self._state.connections):
            try:
                connection.close_if_idle(min_idle_s)
            except Exception as error:
                # The others still have to be served and closed.
                events.event("request.crashed", reason=repr(error))


def configure_tcp_socket(sock: socket.socket, user_timeout_ms: int) -> None:
    """Set the options of a connection to a client or an endpoint.

    They disable Nagle's algorithm, set TCP_USER_TIMEOUT, enable keep-alive probes and
    bound the receive buffer.
    """
    bound_receive_buffer(sock)
    if sock.family == socket.AF_INET:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_user_timeout(sock, user_timeout_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def bound_receive_buffer(sock: socket.socket) -> None:
    """Limit what the kernel holds of bytes that have arrived and aren't read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def set_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Set for how long sent data may stay unacknowledged (TCP_USER_TIMEOUT)."""
    if sock.family == socket.AF_INET:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


@dataclasses.dataclass(slots=True, eq=False)
class _PendingResponse:
    request: messages.Request
    keeps_alive: bool
    response: messages.Response | None = None


class _RequestRejected(Exception):
    """Rejection raised in a parser callback.

    The parser reports it as the ``__context__`` of an HttpParserCallbackError.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
