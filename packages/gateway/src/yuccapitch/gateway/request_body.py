"""Request bodies on their way from a caller to an endpoint."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections.abc import AsyncIterator

import result
from aiohttp import web

from yuccapitch.gateway import admissions, outcomes

MAX_BUFFERED_BYTES = 256 * 1024
"""Bodies up to this size are read whole before an endpoint is chosen."""
CHUNK_BYTES = 64 * 1024
STALL_TIMEOUT_S = 10.0
"""Time without a byte from a caller after which its request is given up."""


class BodyFault(enum.Enum):
    """Why a caller's body ended early."""

    TOO_LARGE = "too-large"
    STALLED = "stalled"
    LATE = "late"
    CUT_OFF = "cut-off"


class BodyError(Exception):
    """Carries a fault of the caller's body through the HTTP client."""

    def __init__(self, fault: BodyFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


@dataclasses.dataclass
class RequestBody:
    """A body that is either whole in memory or read from the caller once."""

    request: web.Request
    max_bytes: int
    buffered: bytes = b""
    is_complete: bool = False
    is_consumed: bool = False
    """Whether bytes beyond the head were taken from the caller."""
    pacer: admissions.Pacer | None = None
    """Holds back bytes that go to another region."""
    is_send_started: bool = False
    """Whether it was handed to an exchange, be it without a byte."""
    is_fully_sent: bool = False
    """Whether the last byte was handed to the connection with an endpoint."""

    @property
    def length(self) -> int | None:
        """The announced length, or that of a body which is whole."""
        return len(self.buffered) if self.is_complete else self.request.content_length

    @property
    def can_resend(self) -> bool:
        """Whether the body can be sent from its start again."""
        return self.is_complete or not self.is_consumed

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start; raise BodyError if it ends early."""
        if self.buffered:
            await self._pace(self.buffered)
            self.is_fully_sent = self.is_complete
            yield self.buffered
        if self.is_complete:
            self.is_fully_sent = True
            return
        self.is_consumed = True
        taken = len(self.buffered)
        async for chunk in _read_chunks(self.request):
            taken += len(chunk)
            if taken > self.max_bytes:
                raise BodyError(BodyFault.TOO_LARGE)
            await self._pace(chunk)
            # Set before the yield: once handed over, the last byte may arrive.
            self.is_fully_sent = self._is_last(taken)
            yield chunk
        self.is_fully_sent = True

    async def _pace(self, chunk: bytes) -> None:
        if self.pacer is not None:
            await self.pacer.wait(len(chunk))

    def _is_last(self, taken: int) -> bool:
        return taken == self.request.content_length or self.request.content.at_eof()


async def buffer_body(
    request: web.Request, max_bytes: int, timeout_s: float
) -> result.Result[RequestBody, outcomes.Failure]:
    """Read the head of a body, which is the whole of a small one."""
    body = RequestBody(request, max_bytes)
    if not request.body_exists:
        body.is_complete = True
        return result.Ok(body)
    taken = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in _read_chunks(request):
                taken += chunk
                if len(taken) > max_bytes:
                    return result.Err(body_failure(BodyFault.TOO_LARGE))
                if len(taken) >= MAX_BUFFERED_BYTES:
                    break
            else:
                body.is_complete = True
    except BodyError as error:
        return result.Err(body_failure(error.fault))
    except TimeoutError:
        return result.Err(body_failure(BodyFault.LATE))
    body.buffered = bytes(taken)
    return result.Ok(body)


def body_failure(fault: BodyFault) -> outcomes.Failure:
    """Return the failure that tells a caller of its body's fault."""
    messages_by_fault = {
        BodyFault.TOO_LARGE: (413, "the body is larger than the route takes"),
        BodyFault.STALLED: (408, f"no byte of the body came for {STALL_TIMEOUT_S} s"),
        BodyFault.LATE: (408, "the body did not come before the request's deadline"),
        BodyFault.CUT_OFF: (400, "the body ended before its announced length"),
    }
    status, message = messages_by_fault[fault]
    return outcomes.Failure(status, f"body-{fault.value}", message)


async def _read_chunks(request: web.Request) -> AsyncIterator[bytes]:
    while True:
        try:
            async with asyncio.timeout(STALL_TIMEOUT_S):
                chunk = await request.content.readany()
        except TimeoutError:
            raise BodyError(BodyFault.STALLED) from None
        except (OSError, web.RequestPayloadError):
            raise BodyError(BodyFault.CUT_OFF) from None
        if not chunk:
            return
        yield chunk
