"""HTTP exchanges with endpoints and with the owners of their pools."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import types
from collections.abc import AsyncIterator, Mapping

import aiohttp
import multidict
import yarl

from yuccapitch.gateway import client_connection, request_body
from yuccapitch.protocol import events

SHED_HEADER = "Yuccapitch-Endpoint-Shed"
LOAD_HEADER = "Yuccapitch-Load"
DEADLINE_HEADER = "Request-Timeout-Ms"
CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_TIMEOUT_S = 15.0
"""Idle time after which a pooled connection is closed.

The peer may have disappeared without closing it.
"""
READ_TIMEOUT_S = 30.0
"""Time without a byte from an endpoint after which an exchange is aborted."""
SHED_BODY_TIMEOUT_S = 0.1
"""Time to read the body of a shed response, so that its connection can be reused."""
MAX_BUFFERED_BYTES = 256 * 1024
"""Responses up to this size are buffered completely before they are relayed."""

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


_SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class SentAmount(enum.Enum):
    """Part of a request that may have reached the endpoint."""

    NOTHING = "nothing"
    PART = "part"
    ALL = "all"


@dataclasses.dataclass(frozen=True)
class ReceivedResponse:
    """An endpoint's response, with a complete body or its start."""

    status: int
    headers: multidict.CIMultiDict[str]
    body: bytes
    remaining_body: RemainingBody | None
    """None if `body` is complete."""
    length: int | None


@dataclasses.dataclass(frozen=True)
class RemainingBody:
    """The unread rest of a response body, which must arrive before the deadline."""

    content: aiohttp.StreamReader
    deadline: float
    """On the clock of the event loop."""
    address: str
    """Address of the peer, for logs."""
    response: aiohttp.ClientResponse | None = None
    """The response, whose request may still be being sent."""

    @property
    def write_deadline(self) -> float | None:
        """Time by which the bytes read have to be passed on, so that the rest can come.

        None once all has come, as a whole response is delivered late as well.
        """
        return None if self.content.is_eof() else self.deadline

    async def readany(self) -> bytes:
        """Return the next bytes, or none at the end; raise if the body ends early.

        The end isn't returned before the request is sent.
        """
        try:
            async with asyncio.timeout_at(self.deadline):
                piece = await self.content.readany()
                if not piece and self.response is not None:
                    await client_connection.wait_until_sent(self.response)
                return piece
        except aiohttp.ClientPayloadError as error:
            if isinstance(error, client_connection.ResponseRejected):
                _log_rejected(self.address, error)
            # Its traceback, which contexts restore when they pass an error on, refers
            # to a frame that refers to it.
            error.__traceback__ = None
            raise type(error)(*error.args) from error.__cause__


@dataclasses.dataclass(frozen=True)
class ShedResponse:
    """A response by which the endpoint declares that it did not run the request."""

    headers: multidict.CIMultiDict[str]


@dataclasses.dataclass(frozen=True)
class NoResponse:
    """The end of an exchange without a complete response."""

    sent: SentAmount
    reason: str
    body_fault: request_body.BodyFault | None = None
    is_timeout: bool = False


ExchangeResult = ReceivedResponse | ShedResponse | NoResponse


@dataclasses.dataclass(frozen=True)
class Target:
    """A request to send to an endpoint or to the owner of its pool."""

    host: str
    port: int
    method: str
    path_and_query: str
    headers: Mapping[str, str]
    is_idempotent: bool
    """Whether running it twice is harmless, so that it may use a pooled connection."""


class ExchangeClient:
    """An HTTP client that limits the connections to each endpoint."""

    def __init__(self) -> None:
        self._exit_stack = contextlib.AsyncExitStack()
        self._pool_bypassed_until: dict[tuple[str, int], float] = {}
        """Time until which requests to an address use new connections.

        After a timeout, its pooled connections may be broken.
        """
        self._pooled_session: aiohttp.ClientSession
        self._unpooled_session: aiohttp.ClientSession

    async def start(self, connections_per_endpoint: int) -> None:
        """Open the client sessions."""
        self._pooled_session = await self._open_session(
            connections_per_endpoint, is_pooled=True
        )
        self._unpooled_session = await self._open_session(
            connections_per_endpoint, is_pooled=False
        )

    async def aclose(self) -> None:
        """Close every connection."""
        await self._exit_stack.aclose()

    @contextlib.asynccontextmanager
    async def exchange(
        self, target: Target, body: request_body.RequestBody, timeout_s: float
    ) -> AsyncIterator[ExchangeResult]:
        """Send a request and keep its connection until the context ends.

        If the response was not read to its end by then, the connection is closed.
        That cancels the endpoint's work and prevents a late response from reaching
        another request.
        """
        if timeout_s <= 0:
            yield NoResponse(
                SentAmount.NOTHING, "the deadline had passed", is_timeout=True
            )
            return
        deadline = asyncio.get_running_loop().time() + timeout_s
        progress = _SendProgress(headers_sent=target.is_idempotent)
        response: aiohttp.ClientResponse | None = None
        try:
            try:
                async with asyncio.timeout(timeout_s):
                    response = await self._send(target, body, timeout_s, progress)
                    outcome = await _read_response(response, deadline)
            except _EXCHANGE_ERRORS as error:
                if isinstance(error, client_connection.ResponseRejected):
                    _log_rejected(f"{target.host}:{target.port}", error)
                outcome = _no_response(error, progress, body)
                if outcome.is_timeout:
                    self._pool_bypassed_until[target.host, target.port] = (
                        asyncio.get_running_loop().time() + KEEP_ALIVE_TIMEOUT_S
                    )
            yield outcome
        finally:
            if response is not None:
                client_connection.close(response)

    async def _send(
        self,
        target: Target,
        body: request_body.RequestBody,
        timeout_s: float,
        progress: _SendProgress,
    ) -> aiohttp.ClientResponse:
        session = self._unpooled_session
        if target.is_idempotent and not self._bypasses_pool(target):
            session = self._pooled_session
        base = f"http://{target.host}:{target.port}"
        headers = end_to_end_headers(target.headers)
        headers[DEADLINE_HEADER] = str(max(1, int(timeout_s * 1000)))
        body.is_send_started = True
        data: bytes | AsyncIterator[bytes] | None = None
        if body.is_complete and body.pacer is None:
            data = body.buffered or None
            body.is_fully_sent = True
        else:
            data = body.iter_chunks()
            length = body.length
            if length is not None:
                headers["Content-Length"] = str(length)
        return await session.request(
            target.method,
            yarl.URL(base + target.path_and_query, encoded=True),
            headers=headers,
            data=data,
            allow_redirects=False,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            trace_request_ctx=progress,
        )

    def _bypasses_pool(self, target: Target) -> bool:
        until = self._pool_bypassed_until.get((target.host, target.port))
        return until is not None and asyncio.get_running_loop().time() < until

    async def _open_session(self, limit: int, is_pooled: bool) -> aiohttp.ClientSession:
        traces = []
        if not is_pooled:
            # Whether any byte was sent matters only for requests that must not run
            # twice; the pooled session avoids the cost of a trace.
            trace = aiohttp.TraceConfig()
            trace.on_request_headers_sent.append(_mark_headers_sent)
            traces.append(trace)
        if is_pooled:
            connector = client_connection.Connector(
                limit=0, limit_per_host=limit, keepalive_timeout=KEEP_ALIVE_TIMEOUT_S
            )
        else:
            connector = client_connection.Connector(
                limit=0, limit_per_host=limit, force_close=True
            )
        session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT_S,
                sock_read=READ_TIMEOUT_S,
            ),
            trace_configs=traces,
            response_class=client_connection.Response,
            read_bufsize=request_body.CHUNK_BYTES,
        )
        return await self._exit_stack.enter_async_context(session)


def end_to_end_headers(headers: Mapping[str, str]) -> multidict.CIMultiDict[str]:
    """Return the headers without the hop-by-hop headers."""
    connection_options: set[str] = set()
    for name, value in headers.items():
        if name.lower() == "connection":
            connection_options.update(part.strip() for part in value.lower().split(","))
    dropped = _HOP_BY_HOP | connection_options
    kept = multidict.CIMultiDict[str]()
    for name, value in headers.items():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept


@dataclasses.dataclass
class _SendProgress:
    headers_sent: bool
    """Whether the endpoint may have received the headers.

    Assumed for idempotent requests, since the pooled session has no trace.
    """


_EXCHANGE_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, request_body.BodyError)


_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


async def _mark_headers_sent(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    context.trace_request_ctx.headers_sent = True


async def _read_response(
    response: aiohttp.ClientResponse, deadline: float
) -> ExchangeResult:
    headers = multidict.CIMultiDict(response.headers)
    if response.status == 503 and response.headers.get(SHED_HEADER) == "1":
        # The status and headers mark a shed request; the body is read only so that the
        # connection can be reused.
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(SHED_BODY_TIMEOUT_S):
                await response.content.read(MAX_BUFFERED_BYTES)
        return ShedResponse(headers)
    length = response.content_length
    received = bytearray()
    while len(received) < MAX_BUFFERED_BYTES:
        chunk = await response.content.readany()
        if not chunk:
            await client_connection.wait_until_sent(response)
            if response.method != "HEAD":
                length = len(received)
            return ReceivedResponse(
                response.status, headers, bytes(received), None, length
            )
        received += chunk
    address = f"{response.url.host}:{response.url.port}"
    remaining_body = RemainingBody(response.content, deadline, address, response)
    return ReceivedResponse(
        response.status, headers, bytes(received), remaining_body, length
    )


def _log_rejected(address: str, error: client_connection.ResponseRejected) -> None:
    events.event("endpoint.response-rejected", address=address, reason=str(error))


def _no_response(
    error: BaseException, progress: _SendProgress, body: request_body.RequestBody
) -> NoResponse:
    sent = SentAmount.NOTHING
    if progress.headers_sent and not isinstance(error, _CONNECT_ERRORS):
        sent = SentAmount.ALL if body.is_fully_sent else SentAmount.PART
    cause: BaseException | None = error
    while cause is not None and not isinstance(cause, request_body.BodyError):
        cause = cause.__cause__ or cause.__context__
    body_fault = cause.fault if isinstance(cause, request_body.BodyError) else None
    reason = type(error).__name__
    return NoResponse(sent, reason, body_fault, isinstance(error, TimeoutError))
