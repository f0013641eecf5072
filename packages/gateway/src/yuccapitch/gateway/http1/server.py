"""Serves callers: parses requests, answers in order, bounds what they may send."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
from collections.abc import Awaitable, Callable

import httptools

from yuccapitch.catalogue import routes
from yuccapitch.gateway.http1 import messages
from yuccapitch.protocol import events

# Requests of one connection that are worked on at a time; more wait unread.
MAX_PIPELINED_REQUESTS = 8
# How long a closed connection is still read, so that unread bytes don't reset it
# before the caller has read the last answer.
LINGER_S = 1.0
LISTEN_BACKLOG = 1024
# Silence after which the kernel gives up a connection (TCP_USER_TIMEOUT).
TCP_USER_TIMEOUT_MS = 5000
# Keep-alive probes show a peer that went silent while an answer is awaited.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

Handler = Callable[[messages.Request], Awaitable[messages.Response]]


@dataclasses.dataclass
class ServerState:
    """What the connections of one server share."""

    handler: Handler
    clock: Callable[[], float]
    limits: Callable[[], routes.CallerLimits]
    is_stopping: bool = False
    connections: set[Connection] = dataclasses.field(default_factory=set)
    requests_in_flight: int = 0


class Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: messages.HeaderList = []
        self._header_bytes = 0
        self._body = bytearray()
        self._headers_received_at = 0.0
        self._is_in_headers = False
        self._is_in_message = False
        self._tasks: list[asyncio.Task[None]] = []
        self._pending_responses: list[_PendingResponse] = []
        self._is_closing = False
        self._timer: asyncio.TimerHandle | None = None
        self._is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket up and wait for a first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            configure_tcp_socket(sock, TCP_USER_TIMEOUT_MS)
        self._state.connections.add(self)
        self._arm_timer(self._state.limits().idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._is_closing:
            return
        if self._is_in_headers or not self._is_in_message:
            self._header_bytes += len(data)
        if not self._is_in_message:
            self._arm_timer(self._state.limits().header_timeout_s)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(501, "upgrades are not supported")
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if not isinstance(cause, _RequestRejected):
                raise
            self._reject(cause.status, cause.reason)
        except httptools.HttpParserError as error:
            self._reject(400, str(error))

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what the caller no longer waits for."""
        self._is_closing = True
        self._state.connections.discard(self)
        self._disarm_timer()
        for task in self._tasks:
            task.cancel()

    def close_if_idle(self) -> None:
        """Close the connection now if no request is on it, else after the answers."""
        if not self._pending_responses and not self._is_in_message:
            self._close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._is_in_message = self._is_in_headers = True
        self._target, self._headers = b"", []
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the header section."""
        limits = self._state.limits()
        self._is_in_headers = False
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        size += len(self._target)
        self._header_bytes = 0
        if size > limits.max_header_bytes:
            raise _RequestRejected(431, f"the headers are {size} bytes")
        length = messages.find_header(self._headers, b"content-length")
        if length is not None and int(length) > limits.max_body_bytes:
            raise _RequestRejected(413, f"the body is {int(length)} bytes")
        if sum(1 for name, _ in self._headers if name == b"host") != 1:
            raise _RequestRejected(400, "one Host header is needed")
        self._headers_received_at = self._state.clock()
        self._disarm_timer()
        expect = messages.find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            if not self._pending_responses:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body += body
        if len(self._body) > self._state.limits().max_body_bytes:
            raise _RequestRejected(413, f"the body is over {len(self._body)} bytes")

    def on_message_complete(self) -> None:
        """Hand the request to the handler."""
        self._is_in_message = False
        if self._is_closing:
            return
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self._headers_received_at,
        )
        self._body = bytearray()
        slot = _PendingResponse(request, self._parser.should_keep_alive())
        self._pending_responses.append(slot)
        self._state.requests_in_flight += 1
        task = asyncio.create_task(self._serve(slot))
        self._tasks.append(task)
        task.add_done_callback(lambda done: self._on_served(done, slot))
        if (
            len(self._pending_responses) >= MAX_PIPELINED_REQUESTS
            and not self._is_paused
        ):
            self._is_paused = True
            self._transport.pause_reading()

    async def _serve(self, slot: _PendingResponse) -> None:
        slot.response = await self._state.handler(slot.request)
        self._write_ready_responses()

    def _on_served(self, task: asyncio.Task[None], slot: _PendingResponse) -> None:
        self._state.requests_in_flight -= 1
        self._tasks.remove(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            events.event("request.crashed", reason=repr(error))
            slot.response = messages.Response(500, [], b"")
            self._write_ready_responses()

    def _write_ready_responses(self) -> None:
        while (
            self._pending_responses and self._pending_responses[0].response is not None
        ):
            if self._is_closing:
                return
            slot = self._pending_responses.pop(0)
            response = slot.response
            assert response is not None
            # What was read behind this request may be at an endpoint already.
            is_last = not self._pending_responses and not self._is_in_message
            closes = not slot.keeps_alive or (self._state.is_stopping and is_last)
            has_body = slot.request.method != b"HEAD"
            self._transport.write(messages.encode_response(response, closes, has_body))
            if closes:
                self._close()
                return
        if self._is_paused and len(self._pending_responses) < MAX_PIPELINED_REQUESTS:
            self._is_paused = False
            self._transport.resume_reading()
        if not self._pending_responses and not self._is_in_message:
            self._arm_timer(self._state.limits().idle_timeout_s)

    def _reject(self, status: int, reason: str) -> None:
        events.event("caller.refused", status=status, reason=reason)
        # Earlier requests of the connection keep their answers.
        self._disarm_timer()
        slot = _PendingResponse(messages.Request(b"", b"", [], b"", 0.0), False)
        slot.response = messages.Response(status, [], reason.encode())
        self._pending_responses.append(slot)
        self._write_ready_responses()

    def _close(self) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self._disarm_timer()
        # What stands behind the last answer was not passed on, and a caller sends it
        # again; what is being worked on is given up.
        for task in self._tasks:
            if not task.done() and task is not asyncio.current_task():
                task.cancel()
        if self._transport.is_closing():
            return
        if self._is_paused:
            self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self._transport.close)

    def _arm_timer(self, delay_s: float) -> None:
        self._disarm_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._on_timer)

    def _disarm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        if self._pending_responses:
            return
        if self._is_in_headers:
            self._reject(408, "the headers did not arrive in time")
        else:
            self._close()


class Server:
    """Listens for callers on one address."""

    def __init__(
        self,
        handler: Handler,
        clock: Callable[[], float],
        limits: Callable[[], routes.CallerLimits],
    ) -> None:
        self._state = ServerState(handler, clock, limits)
        self._server: asyncio.Server | None = None

    @property
    def requests_in_flight(self) -> int:
        """Requests that have been read and not yet answered."""
        return self._state.requests_in_flight

    @property
    def connection_count(self) -> int:
        """Open connections of callers."""
        return len(self._state.connections)

    async def start(self, host: str, port: int) -> int:
        """Listen, and return the port in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self._state),
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def drain(self) -> None:
        """Announce the close of each connection with its next answer."""
        self._state.is_stopping = True

    def stop_listening(self) -> None:
        """Refuse new connections; open ones go on."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self._state.connections):
            connection.close_if_idle()

    async def aclose(self) -> None:
        """Stop listening and close every connection."""
        self.stop_listening()
        for connection in list(self._state.connections):
            connection.close_if_idle()


def configure_tcp_socket(sock: socket.socket, user_timeout_ms: int) -> None:
    """Let the kernel give up a peer that acknowledges nothing for this long."""
    if sock.family == socket.AF_INET:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


@dataclasses.dataclass(slots=True, eq=False)
class _PendingResponse:
    request: messages.Request
    keeps_alive: bool
    response: messages.Response | None = None


class _RequestRejected(Exception):
    """Leaves a parser callback; the parser hands it on as the error's context."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
