"""Request bodies that are streamed from a client to an endpoint."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections.abc import AsyncIterator

import result
from aiohttp import web

from yuccapitch.gateway import admissions, outcomes
from yuccapitch.gateway.http1 import memory_budget

MAX_BUFFERED_BYTES = 256 * 1024
"""Bodies up to this size are buffered completely before an endpoint is chosen."""
CHUNK_BYTES = 64 * 1024
STALL_TIMEOUT_S = 10.0
"""Time without a byte of the body after which the request is aborted."""


class BodyFault(enum.Enum):
    """Reason why a request body is incomplete."""

    TOO_LARGE = "too-large"
    STALLED = "stalled"
    LATE = "late"
    CUT_OFF = "cut-off"
    FRAGMENTED = "fragmented"
    SHED = "shed"


class BodyError(Exception):
    """Fault of a request body, raised through the HTTP client that sends the body."""

    def __init__(self, fault: BodyFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class FragmentedBodyError(web.RequestPayloadError):
    """Reason why the rest of a request body isn't received, set by its connection."""


@dataclasses.dataclass
class RequestBody:
    """A request body: complete in memory, or a stream that can be read only once."""

    request: web.Request
    max_bytes: int
    buffered: bytes = b""
    is_complete: bool = False
    is_consumed: bool = False
    """Whether reading past the buffered bytes has started."""
    pacer: admissions.Pacer | None = None
    """Limits the rate of bytes that are sent to another region."""
    is_send_started: bool = False
    """Whether an exchange has started to send it, even if it has no bytes."""
    is_fully_sent: bool = False
    """Whether the last byte was passed to the connection to an endpoint."""

    @property
    def length(self) -> int | None:
        """The length of a complete body, else the announced length, if any."""
        return len(self.buffered) if self.is_complete else self.request.content_length

    @property
    def can_resend(self) -> bool:
        """Whether the body can be sent again from its start."""
        return self.is_complete or not self.is_consumed

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start; raise BodyError if it is incomplete."""
        if self.buffered:
            await self._pace(self.buffered)
            self.is_fully_sent = self.is_complete
            yield self.buffered
        if self.is_complete:
            self.is_fully_sent = True
            return
        self.is_consumed = True
        received = len(self.buffered)
        async for chunk in _read_chunks(self.request):
            received += len(chunk)
            if received > self.max_bytes:
                raise BodyError(BodyFault.TOO_LARGE)
            await self._pace(chunk)
            # Set before the yield: the HTTP client sends the chunk before this
            # generator resumes, and the endpoint may then have the complete body.
            self.is_fully_sent = self._is_last(received)
            yield chunk
        self.is_fully_sent = True

    async def _pace(self, chunk: bytes) -> None:
        if self.pacer is not None:
            await self.pacer.wait(len(chunk))

    def _is_last(self, received: int) -> bool:
        return received == self.request.content_length or self.request.content.at_eof()


async def buffer_body(
    request: web.Request,
    max_bytes: int,
    timeout_s: float,
    budget: memory_budget.MemoryBudget | None = None,
) -> result.Result[RequestBody, outcomes.Failure]:
    """Buffer the start of a body; a small body is buffered completely.

    ``budget`` limits what is buffered of all bodies. What is buffered of this one stays
    counted with the present task.
    """
    budget = budget or memory_budget.MemoryBudget()
    body = RequestBody(request, max_bytes)
    if not request.body_exists:
        body.is_complete = True
        return result.Ok(body)
    received = bytearray()
    receiver = _Receiver(asyncio.timeout(timeout_s), request.content_length is not None)
    try:
        async with receiver.timeout:
            async for chunk in _read_chunks(request):
                received += chunk
                budget.charge(receiver, len(chunk))
                if len(received) > max_bytes:
                    return result.Err(body_failure(BodyFault.TOO_LARGE))
                if len(received) >= MAX_BUFFERED_BYTES:
                    break
            else:
                body.is_complete = True
    except BodyError as error:
        return result.Err(body_failure(error.fault))
    except TimeoutError:
        fault = BodyFault.SHED if receiver.is_shed else BodyFault.LATE
        return result.Err(body_failure(fault))
    finally:
        budget.release(receiver)
    if receiver.is_shed:
        return result.Err(body_failure(BodyFault.SHED))
    budget.retain(asyncio.current_task(), len(received))
    body.buffered = bytes(received)
    return result.Ok(body)


def body_failure(fault: BodyFault) -> outcomes.Failure:
    """Return the failure that reports a fault of the request body to the client."""
    if fault is BodyFault.SHED:
        message = "the instance holds too many bytes of bodies; use another"
        return outcomes.Failure(503, "overloaded", message, retry_after_s=1)
    messages_by_fault = {
        BodyFault.TOO_LARGE: (413, "the body is larger than the route takes"),
        BodyFault.STALLED: (408, f"no byte of the body came for {STALL_TIMEOUT_S} s"),
        BodyFault.LATE: (408, "the body did not come before the request's deadline"),
        BodyFault.CUT_OFF: (400, "the body ended before its announced length"),
        BodyFault.FRAGMENTED: (413, "the body comes in too many small chunks"),
    }
    status, message = messages_by_fault[fault]
    return outcomes.Failure(status, f"body-{fault.value}", message)


class _Receiver:
    """A body that is being buffered until it is complete, late or takes too much."""

    def __init__(self, timeout: asyncio.Timeout, has_known_length: bool) -> None:
        self.timeout = timeout
        self.has_known_length = has_known_length
        self.is_shed = False

    def shed(self, reason: str) -> None:
        self.is_shed = True
        if not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())


async def _read_chunks(request: web.Request) -> AsyncIterator[bytes]:
    while True:
        try:
            async with asyncio.timeout(STALL_TIMEOUT_S):
                chunk = await request.content.readany()
        except TimeoutError:
            raise BodyError(BodyFault.STALLED) from None
        except FragmentedBodyError:
            raise BodyError(BodyFault.FRAGMENTED) from None
        except (OSError, web.RequestPayloadError):
            raise BodyError(BodyFault.CUT_OFF) from None
        if not chunk:
            return
        yield chunk
