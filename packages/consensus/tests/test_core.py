"""Tests of single rules of the core, over the simulated group."""

from __future__ import annotations

import pytest
import result

from packages.consensus.tests import simulation
from yuccapitch.consensus import (
    core,
    effects,
    leadership,
    membership,
    replication,
)
from yuccapitch.protocol import consensus_messages as messages


@pytest.fixture
def world():
    made = simulation.World(3)
    made.run(3.0)
    return made


@pytest.fixture
def leader_id(world):
    (found,) = world.leaders()
    return found


def receive(world, instance_id, peer_id, message):
    """Return what one instance answers to a message."""
    node = world.nodes[instance_id]
    node.core.receive(peer_id, message, node.local_s(world.now))
    taken = node.core.take_effects(node.local_s(world.now))
    return [e.message for e in taken if isinstance(e, effects.Send)]


def test_core_candidate_not_member_is_refused(world, leader_id):
    identity = world.nodes[leader_id].disk.identity
    request = messages.VoteRequest(9, "stranger", identity, 0, 0)
    (reply,) = receive(world, leader_id, "c9", request)
    assert isinstance(reply, messages.Refusal)
    assert reply.reason == messages.RefusalReason.NOT_A_MEMBER


def test_core_reply_of_lost_identity_is_refused(world, leader_id):
    own_core = world.nodes[leader_id].core
    reply = messages.AppendReply(
        own_core.term, "lost", own_core.identity, own_core.term, True, 99, 1
    )
    (answer,) = receive(world, leader_id, "c1", reply)
    assert answer.reason == messages.RefusalReason.NOT_A_MEMBER
    assert own_core.commit_index < 99


def test_core_message_for_lost_identity_is_refused(world, leader_id):
    request = messages.VoteRequest(9, "any", "lost", 50, 8)
    (reply,) = receive(world, leader_id, "c1", request)
    assert reply.reason == messages.RefusalReason.WRONG_RECIPIENT


def test_core_cut_leader_stands_down(world, leader_id):
    for other in world.nodes:
        world.cuts |= {(other, leader_id)}
    world.run(simulation.TIMING.max_election_timeout_s + 0.5)
    assert world.nodes[leader_id].core.role is not effects.Role.LEADER


def test_core_removed_leader_stands_down_once_committed(world, leader_id):
    own_core = world.nodes[leader_id].core
    assert own_core.change_members(own_core.members.without(leader_id)).is_ok()
    world.run(5.0)
    (new_id,) = world.leaders()
    assert new_id != leader_id


def test_core_second_change_waits_for_the_first(world, leader_id):
    own_core = world.nodes[leader_id].core
    members = own_core.members
    own_core.change_members(members.with_learner("c3", "c3-1"))
    outcome = own_core.change_members(members)
    assert outcome == result.Err(leadership.ChangeError.CHANGE_PENDING)


def test_core_learner_that_never_answered_is_not_promoted(world, leader_id):
    own_core = world.nodes[leader_id].core
    own_core.change_members(own_core.members.with_learner("c3", "c3-1"))
    world.nodes["c3"] = simulation.Node("c3", None, 1.0, 0.0)
    world.run(1.0)
    outcome = own_core.change_members(own_core.members.with_voter("c3-1"))
    assert outcome == result.Err(leadership.ChangeError.NOT_CAUGHT_UP)


def test_core_two_voters_cannot_change_at_once(world, leader_id):
    own_core = world.nodes[leader_id].core
    wanted = membership.Membership(own_core.members.members[:1])
    outcome = own_core.change_members(wanted)
    assert outcome == result.Err(leadership.ChangeError.TOO_MANY_VOTERS)


def test_core_join_lost_with_the_leader_is_asked_again():
    world = simulation.World(5)
    world.run(3.0)
    (leader_id,) = world.leaders()
    joiner_id, *others = (i for i in world.nodes if i != leader_id)
    world.lose_disk(joiner_id)
    world.start(joiner_id)
    world.in_flight = []
    world.tick(joiner_id)
    # Request, challenge and answer, then the first entries, which no other member gets.
    world.exchange(leader_id, joiner_id, times=3)
    world.flush(world.nodes[leader_id])
    world.exchange(leader_id, joiner_id, times=3)
    assert world.nodes[joiner_id].core.log.last_index > 0
    world.kill(leader_id)
    world.now += 3.0
    world.elect(others[0], *others[1:])
    world.run(3.0)
    world.start(leader_id)
    world.run(20.0)
    assert world.is_settled()


def test_core_answer_to_older_term_confirms_no_round(world, leader_id):
    other_id = next(i for i in world.nodes if i != leader_id)
    own_core, other = world.nodes[leader_id].core, world.nodes[other_id].core
    world.now += 0.1
    world.read(leader_id)
    until_s = own_core.leadership_confirmed_until()
    late = messages.AppendRequest(
        term=own_core.term - 1,
        sender=own_core.identity,
        recipient=other.identity,
        previous_index=0,
        previous_term=0,
        entries=(),
        commit_index=0,
        round_number=own_core._state.leadership.round_number,
    )
    for reply in receive(world, other_id, leader_id, late):
        receive(world, leader_id, other_id, reply)
    assert own_core.leadership_confirmed_until() == until_s


def test_core_snapshot_in_chunks_survives_loss_and_doubling(
    world, leader_id, monkeypatch
):
    monkeypatch.setattr(core, "RETAINED_ENTRIES", 0)
    monkeypatch.setattr(replication, "SNAPSHOT_CHUNK_BYTES", 4)
    absent_id = next(i for i in world.nodes if i != leader_id)
    world.kill(absent_id)
    for _ in range(30):
        world.propose(leader_id)
        world.run(0.1)
    assert world.nodes[leader_id].core.log.base_index > 1
    world.loss, world.duplication = 0.2, 0.3
    world.start(absent_id)
    world.run(20.0)
    assert world.nodes[absent_id].snapshot_index > 1
    assert world.nodes[absent_id].applied_index >= world.acknowledged_index
