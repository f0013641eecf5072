"""Sends requests to endpoints and takes whole answers, one at a time a connection."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import typing
from collections.abc import Callable

import httptools

from yuccapitch.gateway.http1 import messages, server

# Share of the time that an endpoint keeps an idle connection, up to which it is used.
KEEP_ALIVE_USE_FRACTION = 0.6
# Assumed where an endpoint states no time.
DEFAULT_KEEP_ALIVE_TIMEOUT_S = 5.0
# Unacknowledged bytes after which a connection is given up.
TCP_USER_TIMEOUT_MS = 1500
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class Fault(enum.Enum):
    """Why there is no whole answer."""

    CONNECT = "no connection"
    BROKEN = "the connection broke"
    MALFORMED = "the bytes are no answer to the request"
    TIMEOUT = "no answer in time"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A request without a whole answer."""

    fault: Fault
    was_sent: bool
    """Whether bytes of the request may have reached the endpoint."""
    detail: str = ""
    connection_was_reused: bool = False


ResponseMatcher = Callable[[messages.Response], bool]
"""Tells whether an answer belongs to the request; one that doesn't is skipped."""


class Connection(asyncio.Protocol):
    """One connection to an endpoint."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser
        self._future: asyncio.Future[messages.Response | Failure] | None = None
        self._matches_request: ResponseMatcher = _match_any
        self._is_head = False
        self._headers: messages.HeaderList = []
        self._body = bytearray()
        self._is_self_delimited = True
        self._has_headers = False
        self._is_in_message = False
        self._unwritten = False
        self.is_usable = False
        self.use_count = 0
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_KEEP_ALIVE_TIMEOUT_S * KEEP_ALIVE_USE_FRACTION

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket up."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            server.configure_tcp_socket(sock, TCP_USER_TIMEOUT_MS)
        self.is_usable = True
        self._parser = httptools.HttpResponseParser(self)

    async def exchange(
        self, data: bytes, matches_request: ResponseMatcher, is_head: bool
    ) -> messages.Response | Failure:
        """Send a request and return its answer; cancelling closes the connection."""
        assert self._transport is not None and self._future is None
        if not self.is_usable or self._transport.is_closing():
            return Failure(Fault.BROKEN, False, "closed while idle", True)
        self._future = asyncio.get_running_loop().create_future()
        self._matches_request, self._is_head = matches_request, is_head
        reused = self.use_count > 0
        self.use_count += 1
        self._transport.write(data)
        try:
            outcome = await self._future
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._future = None
        if isinstance(outcome, Failure):
            self.close()
            return dataclasses.replace(outcome, connection_was_reused=reused)
        # An endpoint may answer before it has read the whole body; no other bytes
        # may take the place of the rest.
        if self._transport.get_write_buffer_size() > 0:
            self.close()
        self.idle_since = self._clock()
        return outcome

    def close(self) -> None:
        """Close the connection at once."""
        self.is_usable = False
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes that nobody waits for make the connection unusable."""
        if self._future is None or self._future.done():
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Also where the answer itself was whole: what follows it is not one.
            self.is_usable = False
            self._fail(Fault.MALFORMED, repr(error))

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection."""
        self.is_usable = False
        if self._is_in_message and not self._is_self_delimited and self._has_headers:
            self._complete()
        else:
            self._fail(Fault.BROKEN, "closed by the endpoint")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request on the connection."""
        self.is_usable = False
        self._fail(Fault.BROKEN, repr(exc) if exc else "closed")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start an answer."""
        if self._future is None or self._future.done():
            # A second answer behind the whole one belongs to no request.
            self.is_usable = False
        self._headers, self._body = [], bytearray()
        self._is_in_message, self._has_headers = True, False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out how the answer ends."""
        status = self._parser.get_status_code()
        self._has_headers = True
        self._is_self_delimited = (
            status in (204, 304)
            or status < 200
            or messages.find_header(self._headers, b"content-length") is not None
            or messages.find_header(self._headers, b"transfer-encoding") is not None
        )
        if self._is_head and status >= 200:
            self.is_usable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body += body
        if len(self._body) > MAX_RESPONSE_BYTES:
            self._fail(Fault.MALFORMED, "the answer is too large")

    def on_message_complete(self) -> None:
        """Hand the answer out."""
        if not self._is_in_message:
            return
        if not self._parser.should_keep_alive():
            self.is_usable = False
        if self._parser.get_status_code() < 200:
            self._is_in_message = False
            return
        self._complete()

    def _complete(self) -> None:
        self._is_in_message = False
        if self._future is None or self._future.done():
            return
        response = messages.Response(
            self._parser.get_status_code(), self._headers, bytes(self._body)
        )
        if not self._matches_request(response):
            # A late answer to an earlier request; the right one may follow it, but
            # the connection is not trusted any further.
            was_usable, self.is_usable = self.is_usable, False
            if not was_usable:
                self._fail(Fault.MALFORMED, "an answer to another request")
            return
        stated = parse_keep_alive_timeout_s(response.header(b"keep-alive"))
        if stated is not None:
            self.idle_limit_s = stated * KEEP_ALIVE_USE_FRACTION
        self._future.set_result(response)

    def _fail(self, fault: Fault, detail: str) -> None:
        if self._future is not None and not self._future.done():
            self._future.set_result(Failure(fault, True, detail))


class Pool:
    """The connections to one endpoint address."""

    def __init__(self, host: str, port: int, clock: Callable[[], float]) -> None:
        self._host = host
        self._port = port
        self._clock = clock
        self._idle: list[Connection] = []
        self.connect_count = 0

    async def acquire(
        self, timeout_s: float, max_idle_s: float
    ) -> Connection | Failure:
        """Return an idle connection used less than so long ago, or a new one."""
        now = self._clock()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now - connection.idle_since
            if connection.is_usable and idle_s <= min(
                max_idle_s, connection.idle_limit_s
            ):
                return connection
            connection.close()
        self.connect_count += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: Connection(self._clock), self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            return Failure(Fault.CONNECT, False, repr(error))
        return connection

    def release(self, connection: Connection) -> None:
        """Keep a connection for the next request."""
        if connection.is_usable:
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()


def parse_keep_alive_timeout_s(value: bytes | None) -> float | None:
    """Return the ``timeout`` of a Keep-Alive header, in seconds."""
    for part in (value or b"").split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


def _match_any(response: messages.Response) -> bool:
    return True
