"""Follows the leader: asks for changes, and finds it again when it is lost."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Iterable

import result

from yuccapitch.protocol import (
    events,
    peers as inner_peers,
    subscription_messages as messages,
)

# A round trip between regions, one lost packet, and the work of the leader.
REQUEST_TIMEOUT_S = 0.6
# Bodies on the own link before an answer: two or three uploads of some 60 KB.
BYTES_BEFORE_ANSWER = 150_000
BITS_PER_BYTE = 8
RETRY_DELAY_S = 0.1


@dataclasses.dataclass
class Position:
    """What the follower has of the leader's state."""

    term: int = 0
    state_index: int = 0
    endpoints_version: int = 0
    instances_version: int = 0


class Follower:
    """Polls the leader, at once when it says that there is something new."""

    def __init__(
        self,
        links: inner_peers.Peers,
        seed_ids: Iterable[str],
        request: Callable[[Position], messages.FollowRequest],
        on_answer: Callable[[messages.FollowAnswer], None],
        clock: Callable[[], float],
        link_bits_per_s: float = float("inf"),
    ) -> None:
        """Ask with what ``request`` builds and hand answers to ``on_answer``."""
        self._timeout_s = REQUEST_TIMEOUT_S + wait_on_link_s(link_bits_per_s)
        self._links = links
        self._control_ids = list(seed_ids)
        self._request = request
        self._on_answer = on_answer
        self._clock = clock
        self._leader_id: str | None = None
        self._next_index = itertools.count()
        self._wake = asyncio.Event()
        self.position = Position()
        self.confirmed_at = float("-inf")
        """Time of sending of the last request that a leader answered."""
        links.handle(messages.FollowNotice, self._on_notice)

    @property
    def leader_id(self) -> str | None:
        """The instance that leads, as far as known."""
        return self._leader_id

    @property
    def control_ids(self) -> tuple[str, ...]:
        """The control instances that are known."""
        return tuple(self._control_ids)

    def set_seeds(self, seed_ids: Iterable[str]) -> None:
        """Ask these instances too when no leader is known."""
        known = set(self._control_ids)
        self._control_ids += [seed for seed in seed_ids if seed not in known]

    def wake(self) -> None:
        """Ask now."""
        self._wake.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        delay_s = 0.0
        while True:
            if delay_s > 0:
                await self.rest(delay_s)
            delay_s = await self.poll()

    async def rest(self, delay_s: float) -> None:
        """Wait for the time, or until there is a reason to ask."""
        try:
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
        except TimeoutError:
            return

    async def poll(self) -> float:
        """Ask once and return the time to wait before the next."""
        target_id = self._leader_id or self._next_target()
        if target_id is None:
            return RETRY_DELAY_S
        set_address_by_id(self._links, target_id)
        sent_at = self._clock()
        self._wake.clear()
        reply = await self._links.request(
            target_id, self._request(self.position), self._timeout_s
        )
        if isinstance(reply, result.Err):
            self._lose(target_id, str(reply.err_value))
            return RETRY_DELAY_S
        match reply.ok_value:
            case messages.FollowAnswer() as answer:
                return self._take(target_id, answer, sent_at)
            case messages.FollowRefusal(leader_id):
                self._lose(target_id, "not the leader")
                if leader_id and leader_id != target_id:
                    self._leader_id = leader_id
                return RETRY_DELAY_S
            case other:
                self._lose(target_id, f"unexpected {type(other).__name__}")
                return RETRY_DELAY_S

    def _take(
        self, target_id: str, answer: messages.FollowAnswer, sent_at: float
    ) -> float:
        if answer.term < self.position.term:
            self._lose(target_id, f"term {answer.term} is over")
            return RETRY_DELAY_S
        if self._leader_id != target_id or answer.term != self.position.term:
            events.event("follow.leader-found", leader=target_id, term=answer.term)
        self._leader_id = target_id
        self._control_ids = sorted({*self._control_ids, *answer.control_ids})
        self.confirmed_at = sent_at
        position = self.position
        position.term = answer.term
        if answer.state is not None:
            position.state_index = max(position.state_index, answer.state_index)
        if answer.endpoints is not None or answer.endpoint_changes is not None:
            position.endpoints_version = answer.endpoints_version
        if answer.instances is not None:
            position.instances_version = answer.instances_version
        self._on_answer(answer)
        return answer.poll_interval_ms / 1000

    def _lose(self, target_id: str, reason: str) -> None:
        if self._leader_id is not None:
            events.event(
                "follow.leader-lost",
                leader=self._leader_id,
                asked=target_id,
                reason=reason,
                confirmed_ms_ago=self._confirmed_ms_ago(),
            )
        self._leader_id = None

    def _confirmed_ms_ago(self) -> int | None:
        if self.confirmed_at == float("-inf"):
            return None
        return round((self._clock() - self.confirmed_at) * 1000)

    def _next_target(self) -> str | None:
        if not self._control_ids:
            return None
        return self._control_ids[next(self._next_index) % len(self._control_ids)]

    def _on_notice(self, peer_id: str, notice: messages.FollowNotice) -> None:
        if notice.term >= self.position.term:
            self._wake.set()


def wait_on_link_s(link_bits_per_s: float) -> float:
    """Return how long an answer may stand behind bodies on the instance's own link."""
    return BYTES_BEFORE_ANSWER * BITS_PER_BYTE / link_bits_per_s


def set_address_by_id(links: inner_peers.Peers, instance_id: str) -> None:
    """Tell the links where an instance listens; its id is its inner address."""
    host, _, port = instance_id.rpartition(":")
    links.set_address(instance_id, inner_peers.Address(host, int(port)))
