"""Following the leader, with links that answer as the test says."""

from __future__ import annotations

import asyncio

import result

from yuccapitch.control import leader_polling
from yuccapitch.protocol import link as inner_link, subscription_messages as messages

A, B, C = "10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"


def answer(term: int = 1, **changes: object) -> messages.FollowAnswer:
    fields: dict[str, object] = {
        "term": term,
        "state_index": 0,
        "state": None,
        "endpoints_version": 0,
        "endpoints": None,
        "endpoints_age_ms": -1,
        "instances_version": 0,
        "instances": None,
        "control_ids": (),
        "poll_interval_ms": 500,
        "dispatchers": (),
        "endpoint_changes": None,
        "entry_count": 0,
    }
    return messages.FollowAnswer(**{**fields, **changes})  # type: ignore[arg-type]


class Links:
    """Answers each request by its target; silent where nothing is set."""

    def __init__(self) -> None:
        self.replies_by_id: dict[str, object] = {}
        self.asked: list[str] = []
        self.hanging: set[str] = set()
        """Those that never answer, as suspended machines."""
        self.handlers_by_type: dict[type, object] = {}

    def handle(self, message_type, handler) -> None:
        self.handlers_by_type[message_type] = handler

    def set_address(self, peer_id, address) -> None:
        return

    async def request(self, peer_id, message, timeout_s):
        self.asked.append(peer_id)
        if peer_id in self.hanging:
            await asyncio.Event().wait()
        reply = self.replies_by_id.get(peer_id)
        if reply is None:
            return result.Err(inner_link.LinkError(inner_link.LinkFault.TIMEOUT))
        return result.Ok(reply)


class Followed:
    """A follower with its links and what it took in."""

    def __init__(self, *seeds: str) -> None:
        self.links = Links()
        self.taken: list[messages.FollowAnswer] = []
        self.now = 0.0
        self.follower = leader_polling.LeaderPoller(
            self.links, seeds, lambda position: position, self.taken.append, self._clock
        )

    def _clock(self) -> float:
        return self.now


async def test_poll_asks_the_seeds_in_turn_until_one_leads():
    followed = Followed(A, B, C)
    followed.links.replies_by_id[C] = answer()
    for _ in range(3):
        await followed.follower.poll()
    assert followed.links.asked == [A, B, C]
    assert followed.follower.leader_id == C
    assert len(followed.taken) == 1


async def test_poll_follows_the_hint_of_who_leads():
    followed = Followed(A)
    followed.links.replies_by_id[A] = messages.FollowRefusal(B)
    followed.links.replies_by_id[B] = answer()
    await followed.follower.poll()
    await followed.follower.poll()
    assert followed.links.asked == [A, B]


async def test_poll_returns_to_the_others_when_the_leader_is_silent():
    followed = Followed(A, B)
    followed.links.replies_by_id[A] = answer(control_ids=(A, B, C))
    await followed.follower.poll()
    followed.links.replies_by_id = {C: answer(term=2)}
    for _ in range(5):
        await followed.follower.poll()
    assert followed.follower.leader_id == C


async def test_poll_asks_another_beside_one_that_is_silent():
    # The leader is suspended; an instance that waits for it has old routes.
    followed = Followed(A, B)
    followed.links.hanging = {A}
    followed.links.replies_by_id[B] = answer()
    await followed.follower.poll()
    assert followed.links.asked == [A, B]
    assert followed.follower.leader_id == B


async def test_poll_does_not_return_to_a_silent_leader_by_a_hint():
    followed = Followed(A)
    followed.links.replies_by_id[A] = answer(control_ids=(A, B, C))
    await followed.follower.poll()
    followed.links.replies_by_id = {B: messages.FollowRefusal(A), C: answer(term=2)}
    for _ in range(3):
        await followed.follower.poll()
    assert followed.links.asked == [A, A, B, C]
    assert followed.follower.leader_id == C


async def test_notice_names_the_leader_to_one_that_knows_none():
    followed = Followed(A, B)
    followed.links.hanging = {A, B}
    searching = asyncio.ensure_future(followed.follower.poll())
    await asyncio.sleep(0)
    notice = followed.links.handlers_by_type[messages.FollowNotice]
    notice(C, messages.FollowNotice(3))
    await searching
    followed.links.replies_by_id[C] = answer(term=3)
    await followed.follower.poll()
    assert followed.follower.leader_id == C


async def test_poll_refuses_the_answer_of_a_term_that_is_over():
    followed = Followed(A, B)
    followed.links.replies_by_id = {A: answer(term=5)}
    await followed.follower.poll()
    followed.links.replies_by_id = {B: answer(term=4)}
    for _ in range(4):
        await followed.follower.poll()
    assert [a.term for a in followed.taken] == [5]


async def test_poll_counts_the_confirmation_from_the_sending():
    followed = Followed(A)
    followed.links.replies_by_id[A] = answer()
    followed.now = 7.0
    await followed.follower.poll()
    assert followed.follower.confirmed_at == 7.0


async def test_poll_keeps_its_position_where_nothing_is_new():
    followed = Followed(A)
    state = messages.StateUpdate(3, b"", ())
    followed.links.replies_by_id[A] = answer(state=state, state_index=9)
    await followed.follower.poll()
    followed.links.replies_by_id[A] = answer(state_index=9)
    await followed.follower.poll()
    assert followed.follower.position.state_index == 9


def test_set_seeds_adds_to_those_that_are_known():
    followed = Followed(A)
    followed.follower.set_seeds([A, B])
    assert followed.follower.control_ids == (A, B)
