"""Tests of individual rules of the core in the simulated group."""

from __future__ import annotations

import pytest
import result

from packages.consensus.tests import simulation
from yuccapitch.consensus import (
    core,
    effects,
    leader,
    membership,
    replication,
)
from yuccapitch.protocol import consensus_messages as messages


@pytest.fixture
def cluster():
    new_cluster = simulation.Cluster(3)
    new_cluster.run(3.0)
    return new_cluster


@pytest.fixture
def leader_id(cluster):
    (found,) = cluster.leaders()
    return found


def receive(cluster, instance_id, peer_id, message):
    """Deliver a message to one instance and return its replies."""
    node = cluster.nodes[instance_id]
    node.core.receive(peer_id, message, node.to_local_time(cluster.now))
    pending_effects = node.core.take_effects(node.to_local_time(cluster.now))
    return [e.message for e in pending_effects if isinstance(e, effects.Send)]


def test_core_candidate_not_member_is_refused(cluster, leader_id):
    identity = cluster.nodes[leader_id].disk.identity
    request = messages.VoteRequest(9, "stranger", identity, 0, 0)
    (reply,) = receive(cluster, leader_id, "c9", request)
    assert isinstance(reply, messages.Refusal)
    assert reply.reason == messages.RefusalReason.NOT_A_MEMBER


def test_core_reply_of_lost_identity_is_refused(cluster, leader_id):
    own_core = cluster.nodes[leader_id].core
    reply = messages.AppendReply(
        own_core.term, "lost", own_core.identity, own_core.term, True, 99, 1
    )
    (refusal,) = receive(cluster, leader_id, "c1", reply)
    assert refusal.reason == messages.RefusalReason.NOT_A_MEMBER
    assert own_core.commit_index < 99


def test_core_message_for_lost_identity_is_refused(cluster, leader_id):
    request = messages.VoteRequest(9, "any", "lost", 50, 8)
    (reply,) = receive(cluster, leader_id, "c1", request)
    assert reply.reason == messages.RefusalReason.WRONG_RECIPIENT


def test_core_isolated_leader_steps_down(cluster, leader_id):
    for other in cluster.nodes:
        cluster.blocked_links |= {(other, leader_id)}
    cluster.run(simulation.TIMING.max_election_timeout_s + 0.5)
    assert cluster.nodes[leader_id].core.role is not effects.Role.LEADER


def test_core_removed_leader_steps_down_once_committed(cluster, leader_id):
    own_core = cluster.nodes[leader_id].core
    assert own_core.change_members(own_core.members.without(leader_id)).is_ok()
    cluster.run(5.0)
    (new_id,) = cluster.leaders()
    assert new_id != leader_id


def test_core_second_change_waits_for_the_first(cluster, leader_id):
    own_core = cluster.nodes[leader_id].core
    members = own_core.members
    own_core.change_members(members.with_learner("c3", "c3-1"))
    outcome = own_core.change_members(members)
    assert outcome == result.Err(leader.ChangeError.CHANGE_PENDING)


def test_core_learner_that_never_answered_is_not_promoted(cluster, leader_id):
    own_core = cluster.nodes[leader_id].core
    own_core.change_members(own_core.members.with_learner("c3", "c3-1"))
    cluster.nodes["c3"] = simulation.Node("c3", None, 1.0, 0.0)
    cluster.run(1.0)
    outcome = own_core.change_members(own_core.members.with_voter("c3-1"))
    assert outcome == result.Err(leader.ChangeError.NOT_CAUGHT_UP)


def test_core_two_voters_cannot_change_at_once(cluster, leader_id):
    own_core = cluster.nodes[leader_id].core
    new_members = membership.Membership(own_core.members.members[:1])
    outcome = own_core.change_members(new_members)
    assert outcome == result.Err(leader.ChangeError.TOO_MANY_VOTERS)


def test_core_join_is_requested_again_after_leader_failure():
    cluster = simulation.Cluster(5)
    cluster.run(3.0)
    (leader_id,) = cluster.leaders()
    joiner_id, *others = (i for i in cluster.nodes if i != leader_id)
    cluster.lose_disk(joiner_id)
    cluster.start(joiner_id)
    cluster.in_flight = []
    cluster.tick(joiner_id)
    # Join request, challenge and its answer, then the first entries, which no other
    # member receives.
    cluster.deliver_between(leader_id, joiner_id, times=3)
    cluster.flush(cluster.nodes[leader_id])
    cluster.deliver_between(leader_id, joiner_id, times=3)
    assert cluster.nodes[joiner_id].core.log.last_index > 0
    cluster.kill(leader_id)
    cluster.now += 3.0
    cluster.elect(others[0], *others[1:])
    cluster.run(3.0)
    cluster.start(leader_id)
    cluster.run(20.0)
    assert cluster.has_converged()


def test_core_reply_for_earlier_term_confirms_no_round(cluster, leader_id):
    other_id = next(i for i in cluster.nodes if i != leader_id)
    own_core, other = cluster.nodes[leader_id].core, cluster.nodes[other_id].core
    cluster.now += 0.1
    cluster.read(leader_id)
    lease_end = own_core.leader_lease_expires_at()
    late = messages.AppendRequest(
        term=own_core.term - 1,
        sender=own_core.identity,
        recipient=other.identity,
        previous_index=0,
        previous_term=0,
        entries=(),
        commit_index=0,
        round_number=own_core._state.leader_state.round_number,
    )
    for reply in receive(cluster, other_id, leader_id, late):
        receive(cluster, leader_id, other_id, reply)
    assert own_core.leader_lease_expires_at() == lease_end


def test_core_snapshot_in_chunks_survives_loss_and_duplication(
    cluster, leader_id, monkeypatch
):
    monkeypatch.setattr(core, "RETAINED_ENTRIES", 0)
    monkeypatch.setattr(replication, "SNAPSHOT_CHUNK_BYTES", 4)
    absent_id = next(i for i in cluster.nodes if i != leader_id)
    cluster.kill(absent_id)
    for _ in range(30):
        cluster.propose(leader_id)
        cluster.run(0.1)
    assert cluster.nodes[leader_id].core.log.base_index > 1
    cluster.loss, cluster.duplication = 0.2, 0.3
    cluster.start(absent_id)
    cluster.run(20.0)
    assert cluster.nodes[absent_id].snapshot_index > 1
    assert cluster.nodes[absent_id].applied_index >= cluster.acknowledged_index


# Guards against a process that exceeds its memory: a thousand entries of large
# configurations were kept for members that lag.
def test_core_compacted_log_keeps_a_bounded_number_of_bytes(
    cluster, leader_id, monkeypatch
):
    monkeypatch.setattr(core, "RETAINED_BYTES", 5_000)
    own_core = cluster.nodes[leader_id].core
    for _ in range(20):
        own_core.propose(b"x" * 1_000)
        cluster.run(0.2)
    index = own_core.commit_index
    own_core.compact(index, b"0")
    assert own_core.log.base_index == index - 5


def test_core_compacted_log_may_keep_no_entry(cluster, leader_id, monkeypatch):
    monkeypatch.setattr(core, "RETAINED_BYTES", 500)
    own_core = cluster.nodes[leader_id].core
    own_core.propose(b"x" * 1_000)
    cluster.run(0.5)
    own_core.compact(own_core.commit_index, b"0")
    assert own_core.log.base_index == own_core.commit_index


def test_core_failed_election_reports_the_answers_of_all_voters():
    cluster = simulation.Cluster(5)
    cluster.run(3.0)
    (leader_id,) = cluster.leaders()
    candidate_id, behind_id, *gone = (i for i in cluster.nodes if i != leader_id)
    cluster.in_flight = []
    cluster.propose(leader_id)
    cluster.deliver_between(leader_id, behind_id, times=2)
    for instance_id in (leader_id, *gone):
        cluster.kill(instance_id)
    cluster.now += 3.0
    cluster.tick(candidate_id)
    cluster.deliver_between(candidate_id, behind_id, times=2)
    candidate = cluster.nodes[candidate_id]
    candidate.core._state.election_deadline = candidate.to_local_time(cluster.now)
    candidate.core.tick(candidate.to_local_time(cluster.now))
    reported = candidate.core.take_effects(candidate.to_local_time(cluster.now))
    (failed,) = (e for e in reported if isinstance(e, effects.ElectionFailed))
    assert failed.voter_count == 5
    assert failed.granted_ids == (candidate_id,)
    assert failed.denied_ids == (behind_id,)
    assert set(failed.silent_ids) == {leader_id, *gone}


def test_core_reports_the_members_that_an_entry_sets(cluster, leader_id):
    own_core = cluster.nodes[leader_id].core
    own_core.change_members(own_core.members.with_learner("c3", "c3-1"))
    (changed,) = (
        e for e in own_core.take_effects(0.0) if isinstance(e, effects.MembersChanged)
    )
    assert changed.index == own_core.log.last_index
    assert changed.members.find("c3-1") is not None
