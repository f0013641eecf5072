"""Claims of idempotency keys: claims at other holders and votes as a holder."""

from __future__ import annotations

import asyncio
import collections
import itertools
from collections.abc import Callable, Mapping, Sequence

import result

from yuccapitch.catalogue import claim_holders, ids, model
from yuccapitch.gateway import claim_members
from yuccapitch.protocol import claim_messages, node_messages, peers as inner_peers
from yuccapitch.steering import claim_attempt, claim_keys, claim_placement, claims

VOTE_TIMEOUT_S = 1.0

Message = (
    claim_messages.ClaimRequest
    | claim_messages.VoidRequest
    | claim_messages.CompletionNotice
)
SendMessage = Callable[
    [claim_attempt.Send, "asyncio.Queue[claim_messages.ClaimReply]"], None
]
DispatchVoidOutcome = claim_attempt.Voided | claim_attempt.Undecided


class DispatchPermit:
    """Permission to send a request, to one endpoint at a time."""

    def __init__(self, driver: _AttemptDriver) -> None:
        self._driver = driver

    async def void_after_dispatch(self) -> DispatchVoidOutcome:
        """Void the attempt because no byte was sent or every endpoint shed it."""
        decision = await self._driver.run_until_decided(
            self._driver.void_after_dispatch()
        )
        if isinstance(decision, claim_attempt.Voided):
            return decision
        return claim_attempt.Undecided()

    def complete(self, status: int, content_type: str, body: bytes | None) -> None:
        """Send the response to the holders, which replay it to duplicates."""
        if body is not None and len(body) > claims.MAX_BODY_BYTES:
            body = None
        self._driver.complete(claim_messages.StoredResponse(status, content_type, body))


ClaimOutcome = (
    DispatchPermit
    | claim_attempt.AlreadyDispatched
    | claim_attempt.Voided
    | claim_attempt.Undecided
)
VoidOutcome = (
    claim_attempt.AlreadyDispatched | claim_attempt.Voided | claim_attempt.Undecided
)


class ClaimService:
    """Claims keys at their holders and votes on the claims of others."""

    def __init__(
        self,
        own_id: ids.InstanceId,
        incarnation: int,
        links: inner_peers.Peers,
        is_leased: Callable[[], bool],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._own_id = own_id
        self._incarnation = incarnation
        self._links = links
        self._is_leased = is_leased
        self._clock = clock
        self._wall_clock = wall_clock
        self._started_at = clock()
        self._holder = claims.ClaimHolder(own_id, wall_clock())
        self._can_vote_at = wall_clock() + claim_keys.CLOCK_SKEW_S
        self._member_lists: tuple[claim_placement.MemberList, ...] = ()
        self._declaration: model.Declaration | None = None
        self._live_by_id: Mapping[ids.InstanceId, node_messages.LiveInstance] = {}
        self._known_instance_ids: set[ids.InstanceId] = set()
        self._claim_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        for message_type in (
            claim_messages.ClaimRequest,
            claim_messages.VoidRequest,
            claim_messages.CompletionNotice,
        ):
            links.handle(message_type, lambda _peer_id, message: self._vote(message))

    def configure(
        self,
        declaration: model.Declaration | None,
        holder_lists: Sequence[claim_holders.HolderList],
        live_by_id: Mapping[ids.InstanceId, node_messages.LiveInstance],
    ) -> None:
        """Apply the holders of a configuration that is now in force here."""
        self._declaration = declaration
        self._member_lists = claim_members.merge_holder_lists(holder_lists)
        self._live_by_id = live_by_id
        self._known_instance_ids.update(live_by_id)
        # Replaced holders hold no lease, so no lease response contains their address.
        for holder_list in holder_lists:
            for holder in holder_list.holders:
                if holder.instance_id not in {*self._known_instance_ids, self._own_id}:
                    address = inner_peers.Address(holder.host, holder.inner_port)
                    self._links.set_address(holder.instance_id, address)

    async def claim(
        self, key: claim_keys.Key, attempt: int, deadline: float
    ) -> ClaimOutcome:
        """Claim an attempt of a key, or return why it may not be dispatched.

        While another claimant may have dispatched the key, the call waits for
        that claimant's response until shortly before the deadline.
        """
        # The time between `claim_until` and the deadline is reserved for voiding.
        remaining_s = deadline - self._clock()
        claim_until = deadline - min(claim_attempt.VOID_TIMEOUT_S, remaining_s / 2)
        driver = self._create_driver(key, attempt, claim_until)
        if driver is None:
            return claim_attempt.Undecided()
        decision = await driver.run_until_decided(driver.start())
        if isinstance(decision, claim_attempt.Dispatch):
            return DispatchPermit(driver)
        return decision

    async def void(self, key: claim_keys.Key, attempt: int) -> VoidOutcome:
        """Void an attempt that was refused here before it was claimed."""
        driver = self._create_driver(key, attempt, self._clock())
        if driver is None:
            return claim_attempt.Undecided()
        decision = await driver.run_until_decided(driver.start_void())
        assert not isinstance(
            decision, claim_attempt.Dispatch
        ), "voiding never allows a dispatch"
        return decision

    def void_in_background(self, claimed: DispatchPermit) -> None:
        """Void an attempt that was not executed and whose client disconnected."""

        async def void() -> None:
            await claimed.void_after_dispatch()

        task = asyncio.create_task(void())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def can_vote(self) -> bool:
        """Whether this holder votes on new keys.

        Its votes are kept in memory only, so after a start it abstains on older keys.
        The clock skew is added because the key's time comes from another clock.
        """
        return self._wall_clock() >= self._can_vote_at

    def home_region(self, region: ids.RegionId) -> ids.RegionId:
        """Return the home region for new keys of a region's clients."""
        if self._declaration is None:
            return region
        delay_ms_by_region = {
            link.target: link.delay_ms
            for link in self._declaration.links_by_id.values()
            if link.source == region
        }
        return claim_placement.choose_home_region(
            region, self._live_count_by_region(self._declaration), delay_ms_by_region
        )

    async def aclose(self) -> None:
        """Cancel the messages that are still outstanding."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _live_count_by_region(
        self, declaration: model.Declaration
    ) -> collections.Counter[ids.RegionId]:
        domains = declaration.failure_domains_by_id
        instances = declaration.instances_by_id
        return collections.Counter(
            domains[instances[instance_id].failure_domain].region
            for instance_id, live in self._live_by_id.items()
            if instance_id in instances and live.is_ready and not live.is_stopping
        )

    def _create_driver(
        self, key: claim_keys.Key, attempt: int, claim_until: float
    ) -> _AttemptDriver | None:
        # Without a lease the configuration may be outdated and lack a member list that
        # decides about the key.
        if not self._is_leased():
            return None
        current_lists = claim_placement.prune_member_lists(
            self._member_lists, self._wall_clock()
        )
        # No claim can have been granted under a list without holders.
        holder_id_lists = [
            holder_ids
            for holder_ids in claim_placement.holder_lists(key, current_lists)
            if holder_ids
        ]
        if not holder_id_lists:
            return None
        claimant = f"{self._own_id}/{self._incarnation}/{next(self._claim_numbers)}"
        state_machine = claim_attempt.ClaimAttempt(
            key.text, attempt, claimant, holder_id_lists, claim_until
        )
        return _AttemptDriver(
            state_machine, claim_until, self._send_message, self._clock
        )

    def _send_message(
        self,
        send: claim_attempt.Send,
        replies: asyncio.Queue[claim_messages.ClaimReply],
    ) -> None:
        if send.holder_id == self._own_id:
            replies.put_nowait(self._vote(send.message))
            return
        is_completion = isinstance(send.message, claim_messages.CompletionNotice)
        if is_completion and self._links.send(send.holder_id, send.message):
            return
        # The task outlives the decision, so that the message also reaches the holders
        # whose votes were not needed and later duplicates find the record there.
        task = asyncio.create_task(self._request_vote(send, replies))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request_vote(
        self,
        send: claim_attempt.Send,
        replies: asyncio.Queue[claim_messages.ClaimReply],
    ) -> None:
        reply = await self._links.request(send.holder_id, send.message, VOTE_TIMEOUT_S)
        match reply:
            case result.Ok(claim_messages.ClaimReply() as vote):
                # A vote counts only if it names the holder that received the message.
                if vote.holder_id == send.holder_id:
                    replies.put_nowait(vote)

    def _vote(self, message: Message) -> claim_messages.ClaimReply:
        now = self._wall_clock()
        self._holder.record_start(now - (self._clock() - self._started_at))
        match message:
            case claim_messages.ClaimRequest():
                return self._holder.on_claim(message, now)
            case claim_messages.VoidRequest():
                return self._holder.on_void(message, now)
            case claim_messages.CompletionNotice():
                return self._holder.on_done(message, now)


class _AttemptDriver:
    """Drives one claim attempt and queues votes that arrive between decisions."""

    def __init__(
        self,
        attempt: claim_attempt.ClaimAttempt,
        claim_until: float,
        send_message: SendMessage,
        clock: Callable[[], float],
    ) -> None:
        self._attempt = attempt
        self._claim_until = claim_until
        self._send_message = send_message
        self._clock = clock
        self._replies: asyncio.Queue[claim_messages.ClaimReply] = asyncio.Queue()

    def start(self) -> claim_attempt.Step:
        """Start claiming."""
        return self._attempt.start(self._clock())

    def start_void(self) -> claim_attempt.Step:
        """Start voiding without a claim."""
        return self._attempt.start_void(self._clock())

    def void_after_dispatch(self) -> claim_attempt.Step:
        """Start voiding after the dispatch."""
        return self._attempt.void_after_dispatch(self._clock())

    def complete(self, response: claim_messages.StoredResponse) -> None:
        """Send the response to every holder."""
        for send in self._attempt.done(response).sends:
            self._send_message(send, self._replies)

    async def run_until_decided(
        self, step: claim_attempt.Step
    ) -> claim_attempt.Decision:
        """Exchange messages until a first majority decides or the time is up."""
        while True:
            for send in step.sends:
                self._send_message(send, self._replies)
            if step.decision is not None:
                return step.decision
            step = await self._next_step()

    async def _next_step(self) -> claim_attempt.Step:
        wake_at = self._attempt.next_tick_at
        if self._attempt.phase is claim_attempt.Phase.CLAIMING:
            wake_at = min(wake_at, self._claim_until)
        try:
            async with asyncio.timeout(max(0.0, wake_at - self._clock())):
                reply = await self._replies.get()
        except TimeoutError:
            return self._attempt.tick(self._clock())
        return self._attempt.on_reply(reply, self._clock())
