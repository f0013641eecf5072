"""One inner link: framing over a stream, request correlation and liveness."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import inspect
from collections.abc import Awaitable, Callable
from typing import Any

import result

from yuccapitch.protocol import codec, events, frames, node_messages, receive_budget

MAX_UNSENT_BYTES = 8 * 1024 * 1024
MAX_PENDING_REQUESTS = 10_000
# Size of the first frame, whose sender is not known yet. It contains an id.
MAX_HELLO_BYTES = 4 * 1024
# Iterations of the event loop within which a received frame is read.
READ_TURNS = 5

Handler = Callable[[str, Any], Any]
"""Called with the peer's id and a message; returns the reply or an awaitable of it."""

PeerCheck = Callable[[asyncio.StreamWriter, str], bool]
"""Returns whether the peer of a stream is allowed to use an instance id."""


class LinkErrorCode(enum.Enum):
    """Reason why a request got no reply."""

    CLOSED = "closed"
    TIMEOUT = "timeout"
    REMOTE = "remote"
    OVERLOADED = "overloaded"


@dataclasses.dataclass(frozen=True)
class LinkError:
    """A request without a reply; the peer may still have processed it."""

    code: LinkErrorCode
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class LinkTiming:
    """The heartbeat interval, and the time without data after which a link closes."""

    heartbeat_interval_s: float = 0.2
    timeout_s: float = 2.0

    @property
    def overdue_s(self) -> float:
        """Time without data after which another link to the peer is preferred."""
        return 1.5 * self.heartbeat_interval_s


@dataclasses.dataclass
class Traffic:
    """Frame bytes on all links of one instance since its start."""

    sent_bytes: int = 0
    received_bytes: int = 0


class Link:
    """A bidirectional message stream between two instances."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own_id: str,
        handlers_by_type: dict[type, Handler],
        timing: LinkTiming,
        traffic: Traffic | None = None,
        budget: receive_budget.ReceiveBudget | None = None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._own_id = own_id
        self._handlers_by_type = handlers_by_type
        self._timing = timing
        self._traffic = traffic or Traffic()
        self._budget = budget or receive_budget.ReceiveBudget()
        self._max_frame_bytes = MAX_HELLO_BYTES
        self._next_correlation_id = 0
        self._futures_by_correlation_id: dict[int, asyncio.Future[Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_open = False
        self._has_sent = False
        self.last_received_at = asyncio.get_running_loop().time()
        """Time at which bytes were received last, in the event loop's clock."""
        self.peer_id = ""

    @property
    def is_open(self) -> bool:
        """Whether the hello messages were exchanged and the link is not closed."""
        return self._is_open

    async def exchange_hello(
        self, check: PeerCheck | None = None
    ) -> result.Result[None, LinkError]:
        """Send the hello message and verify that of the peer."""
        hello = codec.encode(node_messages.Hello(self._own_id))
        self._write_frame(frames.Kind.HELLO, 0, hello)
        try:
            async with asyncio.timeout(self._timing.timeout_s):
                frame = await self._read_frame()
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            return result.Err(LinkError(LinkErrorCode.CLOSED, f"no hello: {error!r}"))
        if isinstance(frame, result.Err):
            return frame
        header, payload = frame.ok_value
        if header.kind is not frames.Kind.HELLO:
            return result.Err(
                LinkError(LinkErrorCode.REMOTE, "the first frame is not a hello")
            )
        decoded = codec.decode(payload)
        if isinstance(decoded, result.Err) or not isinstance(
            decoded.ok_value, node_messages.Hello
        ):
            return result.Err(LinkError(LinkErrorCode.REMOTE, "the hello is malformed"))
        peer_id = decoded.ok_value.instance_id
        if check is not None and not check(self._writer, peer_id):
            detail = f"the peer's certificate does not belong to {peer_id}"
            return result.Err(LinkError(LinkErrorCode.REMOTE, detail))
        self.peer_id = peer_id
        self._max_frame_bytes = self._budget.max_frame_bytes
        self._is_open = True
        return result.Ok(None)

    async def run(self) -> None:
        """Handle incoming frames until the link closes, then fail pending requests."""
        receiving = asyncio.create_task(self._receive_frames())
        tasks = (
            receiving,
            asyncio.create_task(self._wait_for_silence()),
            asyncio.create_task(self._send_heartbeats()),
        )
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if receiving.done():
                receiving.result()
        finally:
            for task in tasks:
                task.cancel()
            self.close()

    def send(self, message: object) -> bool:
        """Send a one-way message; return False if it was dropped."""
        if not self._can_send():
            return False
        self._write(frames.Kind.ONE_WAY, 0, codec.encode(message))
        return True

    async def request(
        self, message: object, timeout_s: float
    ) -> result.Result[Any, LinkError]:
        """Send a message and return its reply."""
        if not self._is_open:
            return result.Err(LinkError(LinkErrorCode.CLOSED))
        if (
            len(self._futures_by_correlation_id) >= MAX_PENDING_REQUESTS
            or not self._can_send()
        ):
            return result.Err(LinkError(LinkErrorCode.OVERLOADED))
        self._next_correlation_id += 1
        correlation_id = self._next_correlation_id
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._futures_by_correlation_id[correlation_id] = future
        self._write(frames.Kind.REQUEST, correlation_id, codec.encode(message))
        try:
            async with asyncio.timeout(timeout_s):
                reply: result.Result[Any, LinkError] = await future
                return reply
        except TimeoutError:
            return result.Err(LinkError(LinkErrorCode.TIMEOUT))
        finally:
            self._futures_by_correlation_id.pop(correlation_id, None)

    def close(self) -> None:
        """Close the stream and fail all pending requests."""
        self._is_open = False
        for future in self._futures_by_correlation_id.values():
            if not future.done():
                future.set_result(result.Err(LinkError(LinkErrorCode.CLOSED)))
        for task in self._tasks:
            task.cancel()
        self._writer.close()

    def discard(self, reason: str) -> None:
        """Close the link, as what the peer sends takes too much memory."""
        events.event("link.refused", peer=self.peer_id, reason=reason)
        self.close()

    def _can_send(self) -> bool:
        transport = self._writer.transport
        return self._is_open and transport.get_write_buffer_size() < MAX_UNSENT_BYTES

    def _write(
        self, kind: frames.Kind, correlation_id: int, payload: bytes = b""
    ) -> None:
        if self._is_open:
            self._write_frame(kind, correlation_id, payload)

    def _write_frame(
        self, kind: frames.Kind, correlation_id: int, payload: bytes
    ) -> None:
        frame = frames.pack(kind, correlation_id, payload)
        self._has_sent = True
        self._traffic.sent_bytes += len(frame)
        self._writer.write(frame)

    async def _send_heartbeats(self) -> None:
        while True:
            self._has_sent = False
            await asyncio.sleep(self._timing.heartbeat_interval_s)
            # Any frame proves liveness, so a heartbeat is only needed on an idle link.
            if not self._has_sent:
                self._write(frames.Kind.HEARTBEAT, 0)

    async def _wait_for_silence(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            silent_at = self.last_received_at + self._timing.timeout_s
            await asyncio.sleep(silent_at - loop.time())
            # An event loop that is late has not read yet what has arrived meanwhile.
            for _ in range(READ_TURNS):
                await asyncio.sleep(0)
            if self.last_received_at + self._timing.timeout_s <= loop.time():
                events.event("link.silent", peer=self.peer_id)
                return

    async def _receive_frames(self) -> None:
        while self._is_open:
            try:
                frame = await self._read_frame()
            except (OSError, asyncio.IncompleteReadError):
                return
            if isinstance(frame, result.Err):
                detail = frame.err_value.detail
                events.event("link.refused", peer=self.peer_id, reason=detail)
                return
            self._handle_frame(*frame.ok_value)

    async def _read_frame(
        self,
    ) -> result.Result[tuple[frames.Header, bytes], LinkError]:
        unpacked = frames.unpack_header(
            await self._reader.readexactly(frames.HEADER_BYTES)
        )
        if isinstance(unpacked, result.Err):
            return result.Err(
                LinkError(LinkErrorCode.REMOTE, unpacked.err_value.reason)
            )
        header = unpacked.ok_value
        if header.length > self._max_frame_bytes:
            reason = f"a frame of {header.length} bytes is too large"
            reason += f", the limit is {self._max_frame_bytes} bytes"
            return result.Err(LinkError(LinkErrorCode.REMOTE, reason))
        try:
            payload = await self._read_payload(header.length)
        finally:
            self._budget.release(self)
        self._traffic.received_bytes += frames.HEADER_BYTES + header.length
        if not frames.is_intact(header, payload):
            return result.Err(
                LinkError(LinkErrorCode.REMOTE, "checksum mismatch in a frame")
            )
        return result.Ok((header, payload))

    async def _read_payload(self, length: int) -> bytes:
        loop = asyncio.get_running_loop()
        is_counted = length > receive_budget.SMALL_FRAME_BYTES
        payload = bytearray()
        # A long message proves on its way that the peer is alive.
        self.last_received_at = loop.time()
        while len(payload) < length:
            part = await self._reader.read(length - len(payload))
            if not part:
                raise asyncio.IncompleteReadError(b"", length)
            payload += part
            if is_counted:
                self._budget.charge(self, len(part))
            self.last_received_at = loop.time()
        return bytes(payload)

    def _handle_frame(self, header: frames.Header, payload: bytes) -> None:
        if header.kind in (frames.Kind.HEARTBEAT, frames.Kind.HELLO):
            return
        decoded = codec.decode(payload)
        if header.kind in (frames.Kind.RESPONSE, frames.Kind.FAILURE):
            self._complete_request(header, decoded)
        elif isinstance(decoded, result.Ok):
            self._dispatch(header, decoded.ok_value)
        elif header.kind is frames.Kind.REQUEST:
            self._reply_failure(header.correlation_id, decoded.err_value.reason)

    def _complete_request(
        self, header: frames.Header, decoded: result.Result[Any, codec.CodecError]
    ) -> None:
        # A reply that arrives after its request has timed out is ignored.
        future = self._futures_by_correlation_id.get(header.correlation_id)
        if future is None or future.done():
            return
        if isinstance(decoded, result.Err):
            error = LinkError(LinkErrorCode.REMOTE, decoded.err_value.reason)
            future.set_result(result.Err(error))
        elif header.kind is frames.Kind.FAILURE:
            error = LinkError(LinkErrorCode.REMOTE, decoded.ok_value.reason)
            future.set_result(result.Err(error))
        else:
            future.set_result(result.Ok(decoded.ok_value))

    def _dispatch(self, header: frames.Header, message: object) -> None:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            if header.kind is frames.Kind.REQUEST:
                reason = f"no handler for {type(message).__name__}"
                self._reply_failure(header.correlation_id, reason)
            return
        try:
            reply = handler(self.peer_id, message)
            if not inspect.isawaitable(reply):
                self._reply(header, reply)
                return
        except Exception as error:
            self._fail_handling(header, message, error)
            return
        # A peer has no more requests in progress than this, unless it is faulty.
        has_room = len(self._tasks) < MAX_PENDING_REQUESTS
        has_room = has_room and self._budget.has_room(header.length)
        if not has_room and inspect.iscoroutine(reply):
            # It has not begun to run.
            reply.close()
            refusal = RuntimeError("too many messages are being handled")
            self._fail_handling(header, message, refusal, str(refusal))
            return
        task = asyncio.create_task(self._await_and_reply(header, message, reply))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._budget.retain(task, header.length)
        task.add_done_callback(self._budget.release_handled)

    async def _await_and_reply(
        self, header: frames.Header, message: object, reply: Awaitable[object]
    ) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            try:
                self._reply(header, await reply)
            except Exception as error:
                self._fail_handling(header, message, error)

    def _fail_handling(
        self,
        header: frames.Header,
        message: object,
        error: Exception,
        detail: str = "the handler failed",
    ) -> None:
        # Other requests of the link still wait for their replies.
        events.event(
            "link.handler-failed",
            peer=self.peer_id,
            message=type(message).__name__,
            reason=repr(error),
        )
        if header.kind is frames.Kind.REQUEST:
            self._reply_failure(header.correlation_id, detail)

    def _reply(self, header: frames.Header, reply: object) -> None:
        if header.kind is not frames.Kind.REQUEST:
            return
        if reply is None:
            self._reply_failure(header.correlation_id, "no reply")
            return
        payload = codec.encode(reply)
        self._write(frames.Kind.RESPONSE, header.correlation_id, payload)

    def _reply_failure(self, correlation_id: int, reason: str) -> None:
        payload = codec.encode(node_messages.RemoteFailure(reason))
        self._write(frames.Kind.FAILURE, correlation_id, payload)
