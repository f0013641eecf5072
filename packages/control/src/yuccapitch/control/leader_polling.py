"""Polls the control leader for changes and finds the new leader after a failure."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Iterable

import result

from yuccapitch.control import compressed_lists
from yuccapitch.protocol import (
    events,
    link as inner_link,
    peers as inner_peers,
    subscription_messages as messages,
)

# Covers a round trip between regions, the retransmission of one lost packet and the
# leader's processing time.
REQUEST_TIMEOUT_S = 0.6
# Size of the request bodies that may be queued on this instance's link ahead of an
# answer: two or three uploads of about 60 KB.
QUEUED_BODY_BYTES = 150_000
BITS_PER_BYTE = 8
RETRY_DELAY_S = 0.1
# While searching for the leader, another instance is polled in parallel after this
# time, which covers a round trip between regions.
HEDGE_DELAY_S = 0.15
MAX_CONCURRENT_POLLS = 3
# For this time after a poll that timed out, an instance is polled last, and refusals
# that name it as the leader do not count. The other control instances notice within
# this time that a leader is silent: it is the longest election timeout of their group.
UNRESPONSIVE_PENALTY_S = 1.0


@dataclasses.dataclass
class Position:
    """Versions of the leader's lists that this instance has; 0 is none of them."""

    term: int = 0
    endpoints_version: int = 0
    instances_version: int = 0


@dataclasses.dataclass(frozen=True)
class _PollResult:
    """Outcome of one poll of a control instance."""

    target_id: str
    sent_at: float
    reply: result.Result[object, inner_link.LinkError]


class LeaderPoller:
    """Polls the leader periodically, and at once when it announces a change."""

    def __init__(
        self,
        links: inner_peers.Peers,
        seed_ids: Iterable[str],
        request: Callable[[Position], messages.PollRequest],
        on_answer: Callable[[messages.PollResponse], None],
        clock: Callable[[], float],
        link_bits_per_s: float = float("inf"),
    ) -> None:
        """Poll with requests built by ``request`` and pass answers to ``on_answer``."""
        self._timeout_s = REQUEST_TIMEOUT_S + link_queueing_delay_s(link_bits_per_s)
        self._links = links
        self._seed_ids = tuple(seed_ids)
        self._member_ids: tuple[str, ...] = ()
        self._build_request = request
        self._on_answer = on_answer
        self._clock = clock
        self._leader_id: str | None = None
        self._unresponsive_until_by_id: dict[str, float] = {}
        self._poll_counter = itertools.count(1)
        self._poll_numbers_by_id: dict[str, int] = {}
        self._wake = asyncio.Event()
        self.position = Position()
        self.confirmed_at = float("-inf")
        """Send time of the last request that a leader answered."""
        links.handle(messages.PollNotice, self._on_notice)
        links.handle(messages.PollResponse, self._on_changes)

    @property
    def leader_id(self) -> str | None:
        """The id of the leader, or None if it is unknown."""
        return self._leader_id

    @property
    def control_ids(self) -> tuple[str, ...]:
        """The ids of the seeds and of the group's members, as last known."""
        return tuple(dict.fromkeys((*self._seed_ids, *self._member_ids)))

    def set_seeds(self, seed_ids: Iterable[str]) -> None:
        """Replace the instances that are polled in addition to the known members."""
        self._seed_ids = tuple(seed_ids)

    def wake(self) -> None:
        """Poll without waiting for the interval."""
        self._wake.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        delay_s = 0.0
        while True:
            if delay_s > 0:
                await self.wait_for_next_poll(delay_s)
            delay_s = await self.poll()

    async def wait_for_next_poll(self, delay_s: float) -> None:
        """Wait for the delay, or until woken."""
        try:
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
        except TimeoutError:
            return

    async def poll(self) -> float:
        """Poll once and return the delay before the next poll."""
        self._wake.clear()
        if self._leader_id is not None:
            self._poll_numbers_by_id[self._leader_id] = next(self._poll_counter)
            poll_result = await self._send_poll(self._leader_id)
        else:
            found = await self._search_leader()
            if found is None:
                return RETRY_DELAY_S
            poll_result = found
        return self._handle_result(poll_result)

    async def _send_poll(self, target_id: str) -> _PollResult:
        set_address_from_id(self._links, target_id)
        sent_at = self._clock()
        reply = await self._links.request(
            target_id, self._build_request(self.position), self._timeout_s
        )
        if isinstance(reply, result.Err):
            if reply.err_value.code is inner_link.LinkErrorCode.TIMEOUT:
                # Other failures do not show that the instance is silent.
                self._unresponsive_until_by_id[target_id] = (
                    self._clock() + UNRESPONSIVE_PENALTY_S
                )
            self._log_failed_poll(target_id, reply.err_value, sent_at)
        elif not isinstance(reply.ok_value, messages.PollResponse):
            self._log_failed_poll(target_id, reply.ok_value, sent_at)
        return _PollResult(target_id, sent_at, reply)

    def _log_failed_poll(self, target_id: str, reply: object, sent_at: float) -> None:
        match reply:
            case inner_link.LinkError(code, detail):
                reason = f"{code.value} {detail}".strip()
            case messages.PollRefusal(leader_id):
                reason = f"the leader is {leader_id or 'unknown'}"
            case _:
                reason = f"unexpected reply {type(reply).__name__}"
        events.event(
            "follow.poll-failed",
            asked=target_id,
            reason=reason,
            waited_ms=round((self._clock() - sent_at) * 1000),
            confirmed_ms_ago=self._ms_since_confirmation(),
        )

    async def _search_leader(self) -> _PollResult | None:
        """Poll one instance, and others in parallel while none names the leader.

        Return None if there is no instance to poll or if a leader sent a notice.
        """
        targets_by_task: dict[asyncio.Task[_PollResult], str] = {}
        wake_task = asyncio.ensure_future(self._wake.wait())
        loop = asyncio.get_running_loop()
        next_poll_at = loop.time()
        try:
            while not wake_task.done():
                target_id = self._next_target(set(targets_by_task.values()))
                may_poll = (
                    target_id is not None
                    and len(targets_by_task) < MAX_CONCURRENT_POLLS
                )
                if target_id is not None and may_poll and loop.time() >= next_poll_at:
                    next_poll_at = loop.time() + HEDGE_DELAY_S
                    self._poll_numbers_by_id[target_id] = next(self._poll_counter)
                    task = asyncio.ensure_future(self._send_poll(target_id))
                    targets_by_task[task] = target_id
                if not targets_by_task:
                    return None
                done, _ = await asyncio.wait(
                    {*targets_by_task, wake_task},
                    timeout=max(0.0, next_poll_at - loop.time()) if may_poll else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in targets_by_task.keys() & done:
                    del targets_by_task[task]
                    poll_result = task.result()
                    pending_ids = set(targets_by_task.values())
                    if not pending_ids or self._ends_search(poll_result, pending_ids):
                        return poll_result
            return None
        finally:
            for pending in (*targets_by_task, wake_task):
                pending.cancel()

    def _ends_search(self, poll_result: _PollResult, pending_ids: set[str]) -> bool:
        """Whether a reply is the leader's or names one that is not being polled yet."""
        reply = poll_result.reply.ok()
        if isinstance(reply, messages.PollRefusal):
            named_id = self._credible_leader(reply.leader_id, poll_result.target_id)
            return named_id is not None and named_id not in pending_ids
        return reply is not None

    def _credible_leader(self, leader_id: str, namer_id: str) -> str | None:
        """Return the leader that an instance names, unless it can't be the leader."""
        # Instances that have not detected a leader's failure still name it.
        if leader_id in ("", namer_id) or self._is_unresponsive(leader_id):
            return None
        return leader_id

    def _handle_result(self, poll_result: _PollResult) -> float:
        target_id, reply = poll_result.target_id, poll_result.reply
        if isinstance(reply, result.Err):
            self._clear_leader(target_id, str(reply.err_value))
            return RETRY_DELAY_S
        match reply.ok_value:
            case messages.PollResponse() as answer:
                return self._accept_answer(target_id, answer, poll_result.sent_at)
            case messages.PollRefusal(leader_id):
                self._clear_leader(target_id, "not the leader")
                self._leader_id = self._credible_leader(leader_id, target_id)
                return RETRY_DELAY_S
            case other:
                self._clear_leader(
                    target_id, f"unexpected reply {type(other).__name__}"
                )
                return RETRY_DELAY_S

    def _accept_answer(
        self, target_id: str, answer: messages.PollResponse, sent_at: float
    ) -> float:
        if answer.term < self.position.term:
            self._clear_leader(target_id, f"answer from outdated term {answer.term}")
            return RETRY_DELAY_S
        if self._leader_id != target_id or answer.term != self.position.term:
            events.event("follow.leader-found", leader=target_id, term=answer.term)
        self._leader_id = target_id
        self._member_ids = answer.control_ids
        self.confirmed_at = sent_at
        self._apply(answer)
        return answer.poll_interval_ms / 1000

    def _apply(self, answer: messages.PollResponse) -> None:
        """Move the position on and pass on the parts that are newer than it."""
        if answer.term != self.position.term:
            # Each leader counts its own versions.
            self.position = Position(answer.term)
        position = self.position
        # Changes that the leader sent by itself may overtake an earlier answer.
        if answer.endpoints_version <= position.endpoints_version:
            self._log_outdated(answer)
            answer = dataclasses.replace(
                answer,
                endpoints=None,
                endpoint_changes=None,
                compressed_endpoints=b"",
            )
        if answer.instances_version <= position.instances_version:
            answer = dataclasses.replace(
                answer, instances=None, dispatchers=(), compressed_instances=b""
            )
        expanded = compressed_lists.expand(answer)
        if isinstance(expanded, result.Err):
            events.event("follow.answer-unreadable", reason=expanded.err_value)
            return
        answer = expanded.ok_value
        if answer.endpoints is not None or answer.endpoint_changes is not None:
            position.endpoints_version = answer.endpoints_version
        if answer.instances is not None:
            position.instances_version = answer.instances_version
        self._on_answer(answer)

    def _log_outdated(self, answer: messages.PollResponse) -> None:
        has_endpoints = bool(
            answer.endpoints is not None
            or answer.endpoint_changes is not None
            or answer.compressed_endpoints
        )
        held_version = self.position.endpoints_version
        # The answer to a poll often has what the leader has sent by itself meanwhile.
        if not has_endpoints or answer.endpoints_version == held_version:
            return
        events.event(
            "follow.answer-outdated",
            term=answer.term,
            version=answer.endpoints_version,
            held_version=held_version,
        )

    def _clear_leader(self, target_id: str, reason: str) -> None:
        if self._leader_id is not None:
            events.event(
                "follow.leader-lost",
                leader=self._leader_id,
                asked=target_id,
                reason=reason,
                confirmed_ms_ago=self._ms_since_confirmation(),
            )
        self._leader_id = None

    def _ms_since_confirmation(self) -> int | None:
        if self.confirmed_at == float("-inf"):
            return None
        return round((self._clock() - self.confirmed_at) * 1000)

    def _next_target(self, excluded: set[str]) -> str | None:
        """Return the instance polled longest ago, preferring responsive ones."""
        candidates = [i for i in self.control_ids if i not in excluded]
        return min(candidates, key=self._search_order, default=None)

    def _search_order(self, instance_id: str) -> tuple[bool, int]:
        poll_number = self._poll_numbers_by_id.get(instance_id, 0)
        return self._is_unresponsive(instance_id), poll_number

    def _is_unresponsive(self, instance_id: str) -> bool:
        return self._clock() < self._unresponsive_until_by_id.get(instance_id, 0.0)

    def _on_changes(self, peer_id: str, answer: messages.PollResponse) -> None:
        """Apply changes that the leader sent by itself; they confirm nothing."""
        if answer.term != self.position.term:
            self._on_notice(peer_id, messages.PollNotice(answer.term))
            return
        if self._leader_id is None:
            self._leader_id = peer_id
            self._wake.set()
        self._apply(answer)

    def _on_notice(self, peer_id: str, notice: messages.PollNotice) -> None:
        if notice.term < self.position.term:
            return
        if self._leader_id is None:
            # Only leaders send notices, so the sender is the leader.
            self._leader_id = peer_id
        self._wake.set()


def link_queueing_delay_s(link_bits_per_s: float) -> float:
    """Return how long request bodies on the own link may delay an answer."""
    return QUEUED_BODY_BYTES * BITS_PER_BYTE / link_bits_per_s


def set_address_from_id(links: inner_peers.Peers, instance_id: str) -> None:
    """Set the address of an instance, whose id is its inner host and port."""
    host, _, port = instance_id.rpartition(":")
    links.set_address(instance_id, inner_peers.Address(host, int(port)))
