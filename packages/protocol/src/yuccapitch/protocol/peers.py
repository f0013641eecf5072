"""All links of one instance: incoming ones, and one outgoing per peer that is asked.

One-way messages to a peer without an outgoing link use its incoming one, so that a
leader with hundreds of followers does not connect to each of them.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import result

from yuccapitch.protocol import events, link as inner_link, receive_budget

if TYPE_CHECKING:
    from yuccapitch.protocol import inner_tls

RECONNECT_DELAY_S = 0.2


@dataclasses.dataclass(frozen=True)
class Address:
    """Listen address of a peer's inner port."""

    host: str
    port: int


class Peers:
    """Sends messages to peers by instance id and dispatches incoming messages."""

    def __init__(
        self,
        own_id: str,
        timing: inner_link.LinkTiming,
        tls: inner_tls.InnerTls | None = None,
        budget: receive_budget.ReceiveBudget | None = None,
    ) -> None:
        self._own_id = own_id
        self._timing = timing
        self._tls = tls
        self._budget = budget or receive_budget.ReceiveBudget()
        self._handlers_by_type: dict[type, inner_link.Handler] = {}
        self._addresses_by_id: dict[str, Address] = {}
        self._links_by_id: dict[str, inner_link.Link] = {}
        self._accepted_links_by_id: dict[str, inner_link.Link] = {}
        self._connect_tasks_by_id: dict[str, asyncio.Task[inner_link.Link | None]] = {}
        self._retry_at_by_id: dict[str, float] = {}
        self._unreachable_ids: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._exit_stack = contextlib.AsyncExitStack()
        self.on_link_closed: Callable[[str], None] = lambda peer_id: None
        """Called with the peer's id after the outgoing link to it has closed."""
        self.on_accepted_link_closed: Callable[[str], None] = lambda peer_id: None
        """Called with the peer's id after a link that it opened has closed."""
        self.traffic = inner_link.Traffic()

    def handle(self, message_type: type, handler: inner_link.Handler) -> None:
        """Register the handler for messages of a type from any peer."""
        self._handlers_by_type[message_type] = handler

    def set_address(self, peer_id: str, address: Address) -> None:
        """Set the address of a peer; a changed address closes the old link."""
        if self._addresses_by_id.get(peer_id) == address:
            return
        self._addresses_by_id[peer_id] = address
        link = self._links_by_id.pop(peer_id, None)
        if link is not None:
            link.close()

    async def start(self, host: str, port: int) -> Address:
        """Listen for peers and return the bound address."""
        server = await asyncio.start_server(self._accept, host, port)
        await self._exit_stack.enter_async_context(_closing(server))
        self._exit_stack.push_async_callback(self._close_links)
        bound = server.sockets[0].getsockname()
        return Address(bound[0], bound[1])

    def send(self, peer_id: str, message: object) -> bool:
        """Send a one-way message; return False if the peer has no open link."""
        accepted = self._accepted_links_by_id.get(peer_id)
        link = self._responsive_link(peer_id) or accepted
        if link is not None and link.is_open:
            return link.send(message)
        self._start_connecting(peer_id)
        return False

    async def request(
        self, peer_id: str, message: object, timeout_s: float
    ) -> result.Result[Any, inner_link.LinkError]:
        """Send a message and return its reply; open a link if there is none."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        link = await self._open_link(peer_id, timeout_s)
        if isinstance(link, result.Err):
            return link
        remaining_s = deadline - asyncio.get_running_loop().time()
        return await link.ok_value.request(message, remaining_s)

    async def aclose(self) -> None:
        """Close every link and the server."""
        await self._exit_stack.aclose()

    async def _open_link(
        self, peer_id: str, timeout_s: float
    ) -> result.Result[inner_link.Link, inner_link.LinkError]:
        link = self._responsive_link(peer_id)
        if link is not None:
            return result.Ok(link)
        codes = inner_link.LinkErrorCode
        task = self._start_connecting(peer_id)
        if task is not None:
            try:
                async with asyncio.timeout(timeout_s):
                    link = await asyncio.shield(task)
            except TimeoutError:
                # The connection attempt continues in the background and logs a failure.
                return result.Err(inner_link.LinkError(codes.TIMEOUT, "not connected"))
            if link is not None:
                return result.Ok(link)
        return result.Err(inner_link.LinkError(codes.CLOSED, "not connected"))

    def _responsive_link(self, peer_id: str) -> inner_link.Link | None:
        """Return the open outgoing link, or the incoming one if only that has data.

        A link that has gone silent stays open until its timeout, and what is sent on it
        meanwhile is lost.
        """
        outgoing = self._links_by_id.get(peer_id)
        if outgoing is None or not outgoing.is_open:
            return None
        accepted = self._accepted_links_by_id.get(peer_id)
        if accepted is None or not accepted.is_open:
            return outgoing
        now = asyncio.get_running_loop().time()
        is_overdue = now - outgoing.last_received_at > self._timing.overdue_s
        is_outlived = accepted.last_received_at > outgoing.last_received_at
        return accepted if is_overdue and is_outlived else outgoing

    def _start_connecting(
        self, peer_id: str
    ) -> asyncio.Task[inner_link.Link | None] | None:
        task = self._connect_tasks_by_id.get(peer_id)
        if task is not None:
            return task
        now = asyncio.get_running_loop().time()
        if peer_id not in self._addresses_by_id:
            return None
        if now < self._retry_at_by_id.get(peer_id, 0.0):
            return None
        self._retry_at_by_id[peer_id] = now + RECONNECT_DELAY_S
        task = asyncio.create_task(self._establish_link(peer_id))
        self._connect_tasks_by_id[peer_id] = task
        task.add_done_callback(lambda _: self._connect_tasks_by_id.pop(peer_id, None))
        return task

    async def _establish_link(self, peer_id: str) -> inner_link.Link | None:
        address = self._addresses_by_id[peer_id]
        context = None if self._tls is None else self._tls.client_context()
        try:
            async with asyncio.timeout(self._timing.timeout_s):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port, ssl=context
                )
        except (OSError, TimeoutError, UnicodeError) as error:
            # ssl.SSLError is an OSError. A malformed host name is a UnicodeError.
            self._record_connect_failure(peer_id, repr(error))
            return None
        link = self._new_link(reader, writer)
        hello = await link.exchange_hello(self._matches_certificate)
        if isinstance(hello, result.Err) or link.peer_id != peer_id:
            reason = "another instance listens at the peer's address"
            if isinstance(hello, result.Err):
                reason = hello.err_value.detail
            events.event("link.refused", peer=peer_id, reason=reason)
            link.close()
            return None
        if self._addresses_by_id.get(peer_id) != address:
            link.close()
            return None
        self._links_by_id[peer_id] = link
        self._unreachable_ids.discard(peer_id)
        events.event("link.opened", peer=peer_id, direction="out")
        self._spawn(self._run_link(link, is_outgoing=True))
        return link

    def _record_connect_failure(self, peer_id: str, reason: str) -> None:
        # Retried five times a second; only the first of consecutive failures is logged.
        if peer_id not in self._unreachable_ids:
            self._unreachable_ids.add(peer_id)
            events.event("link.failed", peer=peer_id, reason=reason)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._tls is not None:
            # Imported lazily, because it loads a library that takes 9 MB and that
            # instances without TLS do not need.
            from yuccapitch.protocol import inner_tls

            accepted = await inner_tls.accept(self._tls, writer)
            if isinstance(accepted, result.Err):
                return
        link = self._new_link(reader, writer)
        hello = await link.exchange_hello(self._matches_certificate)
        if isinstance(hello, result.Err):
            reason = hello.err_value.detail
            events.event("link.refused", peer="unknown", reason=reason)
            link.close()
            return
        self._accepted_links_by_id[link.peer_id] = link
        self._spawn(self._run_link(link, is_outgoing=False))

    async def _run_link(self, link: inner_link.Link, is_outgoing: bool) -> None:
        try:
            await link.run()
        finally:
            if is_outgoing and self._links_by_id.get(link.peer_id) is link:
                del self._links_by_id[link.peer_id]
                self.on_link_closed(link.peer_id)
            if self._accepted_links_by_id.get(link.peer_id) is link:
                del self._accepted_links_by_id[link.peer_id]
            if not is_outgoing:
                # Also one that a newer link has replaced: what was sent on it is lost.
                self.on_accepted_link_closed(link.peer_id)
            direction = "out" if is_outgoing else "in"
            events.event("link.closed", peer=link.peer_id, direction=direction)

    def _matches_certificate(
        self, writer: asyncio.StreamWriter, claimed_id: str
    ) -> bool:
        if self._tls is None:
            return True
        return self._tls.peer_id(writer.get_extra_info("ssl_object")) == claimed_id

    def _new_link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> inner_link.Link:
        return inner_link.Link(
            reader,
            writer,
            self._own_id,
            self._handlers_by_type,
            self._timing,
            self.traffic,
            self._budget,
        )

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _close_links(self) -> None:
        tasks = [*self._connect_tasks_by_id.values(), *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def _closing(server: asyncio.Server) -> Any:
    try:
        yield server
    finally:
        server.close()
