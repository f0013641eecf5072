"""Tests of polling the leader, with links that return prepared answers."""

from __future__ import annotations

import asyncio

import pytest
import result

from yuccapitch.control import leader_polling
from yuccapitch.protocol import link as inner_link, subscription_messages as messages

A, B, C = "10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"
# Longest election timeout of the routed control group.
MAX_LEADER_REPLACEMENT_S = 1.0


def answer(term: int = 1, **changes: object) -> messages.PollResponse:
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
    return messages.PollResponse(**{**fields, **changes})  # type: ignore[arg-type]


class FakeLinks:
    """Peers with a prepared reply per target; other requests time out."""

    def __init__(self) -> None:
        self.replies_by_id: dict[str, object] = {}
        self.polled_ids: list[str] = []
        self.unconnected_ids: set[str] = set()
        """Instances without an open link."""
        self.hanging_ids: set[str] = set()
        """Instances that answer only once ``hang`` is set, like suspended machines."""
        self.hang = asyncio.Event()
        self.handlers_by_type: dict[type, object] = {}

    def handle(self, message_type, handler) -> None:
        self.handlers_by_type[message_type] = handler

    def set_address(self, peer_id, address) -> None:
        return

    async def request(self, peer_id, message, timeout_s):
        self.polled_ids.append(peer_id)
        if peer_id in self.hanging_ids:
            await self.hang.wait()
        if peer_id in self.unconnected_ids:
            return result.Err(inner_link.LinkError(inner_link.LinkErrorCode.CLOSED))
        reply = self.replies_by_id.get(peer_id)
        if reply is None:
            return result.Err(inner_link.LinkError(inner_link.LinkErrorCode.TIMEOUT))
        return result.Ok(reply)


class PollerHarness:
    """LeaderPoller with its links and the answers that it accepted."""

    def __init__(self, *seeds: str) -> None:
        self.links = FakeLinks()
        self.answers: list[messages.PollResponse] = []
        self.now = 0.0
        self.poller = leader_polling.LeaderPoller(
            self.links,
            seeds,
            lambda position: position,
            self.answers.append,
            self._clock,
        )

    def _clock(self) -> float:
        return self.now


async def test_poll_tries_the_seeds_in_turn_until_one_leads():
    harness = PollerHarness(A, B, C)
    harness.links.replies_by_id[C] = answer()
    for _ in range(3):
        await harness.poller.poll()
    assert harness.links.polled_ids == [A, B, C]
    assert harness.poller.leader_id == C
    assert len(harness.answers) == 1


async def test_poll_uses_the_leader_named_by_a_refusal():
    harness = PollerHarness(A)
    harness.links.replies_by_id[A] = messages.PollRefusal(B)
    harness.links.replies_by_id[B] = answer()
    await harness.poller.poll()
    await harness.poller.poll()
    assert harness.links.polled_ids == [A, B]


async def test_poll_searches_again_when_the_leader_does_not_answer():
    harness = PollerHarness(A, B)
    harness.links.replies_by_id[A] = answer(control_ids=(A, B, C))
    await harness.poller.poll()
    harness.links.replies_by_id = {C: answer(term=2)}
    for _ in range(5):
        await harness.poller.poll()
    assert harness.poller.leader_id == C


async def test_search_polls_another_instance_if_the_first_does_not_answer():
    # The first instance is a suspended leader. Waiting for its answer alone would delay
    # updates of the routes.
    harness = PollerHarness(A, B)
    harness.links.hanging_ids = {A}
    harness.links.replies_by_id[B] = answer()
    await harness.poller.poll()
    assert harness.links.polled_ids == [A, B]
    assert harness.poller.leader_id == B


async def test_poll_ignores_a_refusal_that_names_an_unresponsive_leader():
    harness = PollerHarness(A)
    harness.links.replies_by_id[A] = answer(control_ids=(A, B, C))
    await harness.poller.poll()
    harness.links.replies_by_id = {B: messages.PollRefusal(A), C: answer(term=2)}
    for _ in range(3):
        await harness.poller.poll()
    assert harness.links.polled_ids == [A, A, B, C]
    assert harness.poller.leader_id == C


# Guards against an entry instance that ignores the new leader for seconds, because it
# had no link to it when it first polled it.
async def test_poll_believes_a_refusal_that_names_an_instance_without_a_link():
    harness = PollerHarness(A, B)
    harness.links.unconnected_ids = {A}
    harness.links.replies_by_id[B] = messages.PollRefusal(A)
    await harness.poller.poll()
    harness.links.unconnected_ids = set()
    harness.links.replies_by_id[A] = answer()
    await harness.poller.poll()
    assert harness.poller.leader_id == A


# Guards against an entry instance that ignores the leader for longer than the control
# instances need to replace it, because one poll was lost.
async def test_poll_believes_refusals_once_a_silent_leader_would_be_replaced():
    harness = PollerHarness(A, B)
    harness.links.replies_by_id = {B: messages.PollRefusal(A)}
    await harness.poller.poll()
    harness.links.replies_by_id[A] = answer()
    harness.now += MAX_LEADER_REPLACEMENT_S
    await harness.poller.poll()
    await harness.poller.poll()
    assert harness.poller.leader_id == A


# Guards against a search that gives up its poll of the new leader over a slow link each
# time another instance answers that it knows no leader.
async def test_search_awaits_a_pending_poll_if_others_know_no_leader():
    harness = PollerHarness(A, B)
    harness.links.hanging_ids = {A}
    harness.links.replies_by_id = {A: answer(), B: messages.PollRefusal("")}
    searching = asyncio.ensure_future(harness.poller.poll())
    while harness.links.polled_ids != [A, B]:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.01)
    assert not searching.done()
    harness.links.hang.set()
    await searching
    assert harness.poller.leader_id == A


async def test_notice_identifies_the_leader_during_a_search():
    harness = PollerHarness(A, B)
    harness.links.hanging_ids = {A, B}
    searching = asyncio.ensure_future(harness.poller.poll())
    await asyncio.sleep(0)
    notice = harness.links.handlers_by_type[messages.PollNotice]
    notice(C, messages.PollNotice(3))
    await searching
    harness.links.replies_by_id[C] = answer(term=3)
    await harness.poller.poll()
    assert harness.poller.leader_id == C


async def test_poll_rejects_an_answer_of_an_outdated_term():
    harness = PollerHarness(A, B)
    harness.links.replies_by_id = {A: answer(term=5)}
    await harness.poller.poll()
    harness.links.replies_by_id = {B: answer(term=4)}
    for _ in range(4):
        await harness.poller.poll()
    assert [a.term for a in harness.answers] == [5]


async def test_poll_sets_confirmed_at_to_the_send_time():
    harness = PollerHarness(A)
    harness.links.replies_by_id[A] = answer()
    harness.now = 7.0
    await harness.poller.poll()
    assert harness.poller.confirmed_at == 7.0


async def test_poll_keeps_its_position_without_changes():
    harness = PollerHarness(A)
    harness.links.replies_by_id[A] = answer(instances=(), instances_version=9)
    await harness.poller.poll()
    harness.links.replies_by_id[A] = answer(instances_version=9)
    await harness.poller.poll()
    assert harness.poller.position.instances_version == 9


def push(harness: PollerHarness, changes: messages.PollResponse) -> None:
    harness.links.handlers_by_type[messages.PollResponse](A, changes)


async def test_changes_sent_by_the_leader_are_applied_without_a_confirmation():
    harness = PollerHarness(A)
    harness.links.replies_by_id[A] = answer(endpoints=(), endpoints_version=1)
    harness.now = 7.0
    await harness.poller.poll()
    harness.now = 9.0
    changes = messages.EndpointChanges((), ("e1",))
    push(harness, answer(endpoint_changes=changes, endpoints_version=2))
    assert harness.answers[-1].endpoint_changes == changes
    assert harness.poller.position.endpoints_version == 2
    assert harness.poller.confirmed_at == 7.0


async def test_answer_that_changes_have_overtaken_does_not_undo_them():
    harness = PollerHarness(A)
    harness.links.replies_by_id[A] = answer(endpoints=(), endpoints_version=1)
    await harness.poller.poll()
    changes = messages.EndpointChanges((), ("e1",))
    push(harness, answer(endpoint_changes=changes, endpoints_version=3))
    older = messages.EndpointChanges((), ("e0",))
    harness.links.replies_by_id[A] = answer(endpoint_changes=older, endpoints_version=2)
    await harness.poller.poll()
    assert harness.answers[-1].endpoint_changes is None
    assert harness.poller.position.endpoints_version == 3


async def test_changes_of_another_term_only_wake_the_poller():
    harness = PollerHarness(A)
    harness.links.replies_by_id[A] = answer(term=2, endpoints=(), endpoints_version=5)
    await harness.poller.poll()
    for term in (1, 3):
        push(harness, answer(term=term, endpoints=(), endpoints_version=9))
    assert len(harness.answers) == 1
    assert harness.poller.position.endpoints_version == 5


def test_set_seeds_adds_to_the_known_instances():
    harness = PollerHarness(A)
    harness.poller.set_seeds([A, B])
    assert harness.poller.control_ids == (A, B)


# Guards against an instance that loses its leader because the new seeds are none, or
# are not members of the group.
@pytest.mark.parametrize("seeds", [(), (C, C), ("10.9.9.9:1",)])
async def test_set_seeds_keeps_the_leader_and_the_members(seeds):
    harness = PollerHarness(A)
    harness.links.replies_by_id[A] = answer(control_ids=(A, B))
    await harness.poller.poll()
    harness.poller.set_seeds(seeds)
    await harness.poller.poll()
    assert harness.poller.leader_id == A
    harness.links.replies_by_id = {B: answer(term=2, control_ids=(B,))}
    async with asyncio.timeout(5):
        await poll_until_leader(harness, B)


async def test_search_finds_the_leader_once_there_are_seeds_again():
    harness = PollerHarness()
    await harness.poller.poll()
    harness.links.replies_by_id[A] = answer()
    harness.poller.set_seeds([A])
    await poll_until_leader(harness, A)


LISTED = messages.EndpointRecord(
    "e1", "orders", "10.0.1.1", 80, "north-a", 4, False, 0, 0, "north"
)


# Guards against an entry instance that ignores all lists of a new leader, which had not
# read the list yet when it answered first, and sends to endpoints that have left.
async def test_poll_applies_the_first_list_of_a_leader_that_answered_without_one():
    harness = PollerHarness(A, B)
    harness.links.replies_by_id[A] = answer(endpoints_version=15, endpoints=(LISTED,))
    await harness.poller.poll()
    harness.links.replies_by_id = {B: answer(term=2)}
    await poll_until_leader(harness, B)
    harness.links.replies_by_id[B] = answer(
        term=2,
        endpoints_version=3,
        endpoints=(LISTED,),
        instances_version=2,
        instances=(),
    )
    await harness.poller.poll()
    assert harness.answers[-1].endpoints == (LISTED,)
    assert harness.answers[-1].instances == ()
    assert harness.poller.position == leader_polling.Position(2, 3, 2)


async def test_poll_request_names_no_version_of_an_earlier_leader():
    harness = PollerHarness(A, B)
    harness.links.replies_by_id[A] = answer(
        endpoints_version=15, endpoints=(LISTED,), instances_version=7, instances=()
    )
    await harness.poller.poll()
    harness.links.replies_by_id = {B: answer(term=2)}
    await poll_until_leader(harness, B)
    assert harness.poller.position == leader_polling.Position(2, 0, 0)


async def poll_until_leader(harness: PollerHarness, leader_id: str) -> None:
    while harness.poller.leader_id != leader_id:
        await harness.poller.poll()


# Guards against a search that first polls all instances that were ever replaced, while
# requests are refused because no leader is known.
async def test_search_polls_no_instance_that_left_the_group():
    harness = PollerHarness(A)
    gone = tuple(f"10.0.1.{n}:7000" for n in range(40))
    harness.links.replies_by_id[A] = answer(control_ids=(A, *gone))
    await harness.poller.poll()
    harness.links.replies_by_id[A] = answer(control_ids=(A, B, C))
    await harness.poller.poll()
    assert set(harness.poller.control_ids) == {A, B, C}


async def test_search_polls_the_latest_seeds_and_the_members():
    harness = PollerHarness(A)
    harness.links.replies_by_id[A] = answer(control_ids=(A, B))
    await harness.poller.poll()
    harness.poller.set_seeds([C])
    assert set(harness.poller.control_ids) == {A, B, C}
    harness.links.replies_by_id[A] = answer(control_ids=(A, B))
    await harness.poller.poll()
    assert set(harness.poller.control_ids) == {A, B, C}


async def test_only_an_older_list_is_logged_as_outdated(monkeypatch):
    logged: list[str] = []
    monkeypatch.setattr(
        leader_polling.events, "event", lambda name, **fields: logged.append(name)
    )
    harness = PollerHarness(A)
    for version in (5, 5, 4):
        harness.links.replies_by_id[A] = answer(
            endpoints_version=version, endpoints=(LISTED,)
        )
        await harness.poller.poll()
    assert logged.count("follow.answer-outdated") == 1
