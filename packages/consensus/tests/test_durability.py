"""Tests of what may leave a replica before its writes are durable.

The simulation detects each replica that answers too early.
"""

from __future__ import annotations

import contextlib
import random
from unittest import mock

import pytest

from packages.consensus.tests import simulation
from yuccapitch.consensus import (
    core,
    durability,
    effects,
    election,
    follower,
    leader,
    log,
    membership,
    state as core_state,
    writer,
)
from yuccapitch.protocol import consensus_messages as messages


def make_entry(index, term=1):
    return messages.LogEntry(index, term, messages.EntryKind.COMMAND.value, b"")


def test_durability_replaced_suffix_does_not_count():
    progress = durability.Durability(2)
    progress.add_entries(3, 9)
    progress.add_entries(5, 6)
    progress.advance(1, 0.0, 0.0)
    assert progress.log_index == 4
    progress.advance(2, 0.0, 0.0)
    assert progress.log_index == 6


def test_durability_replaced_durable_suffix_does_not_count():
    progress = durability.Durability(9)
    progress.add_entries(5, 5)
    assert progress.log_index == 4
    progress.advance(1, 0.0, 0.0)
    assert progress.log_index == 5


def test_durability_installed_snapshot_counts_once_written():
    progress = durability.Durability(9)
    progress.drop_after(3)
    progress.add_snapshot(20)
    progress.add_entries(21, 22)
    assert progress.log_index == 3
    progress.advance(1, 0.0, 0.0)
    assert progress.log_index == 20
    progress.advance(2, 0.0, 0.0)
    assert progress.log_index == 22


def test_durability_holds_messages_until_their_write():
    progress = durability.Durability(0)
    progress.add_hard_state()
    progress.add_entries(1, 1)
    first, second = (effects.Send(peer, None) for peer in ("first", "second"))
    progress.hold(2, second)
    progress.hold(1, first)
    assert progress.release() == []
    progress.advance(1, 0.0, 0.0)
    assert progress.release() == [first]
    progress.advance(2, 0.0, 0.0)
    assert progress.release() == [second]


def test_durability_bounds_held_messages():
    progress = durability.Durability(0)
    progress.add_hard_state()
    for number in range(durability.MAX_HELD_MESSAGES + 1):
        progress.hold(1, effects.Send(str(number), None))
    progress.advance(1, 0.0, 0.0)
    released = progress.release()
    assert len(released) == durability.MAX_HELD_MESSAGES
    assert released[0].peer_id == "1"


def test_durability_stalls_without_completed_writes():
    progress = durability.Durability(0)
    progress.observe(0.0)
    assert not progress.is_stalled(1000.0)
    progress.add_entries(1, 1)
    progress.add_entries(2, 2)
    progress.observe(1000.0)
    assert progress.is_stalled(1000.0 + durability.STALL_TIMEOUT_S)
    progress.advance(1, 0.0, 1005.0)
    assert not progress.is_stalled(1000.0 + durability.STALL_TIMEOUT_S)


def test_writer_writes_only_the_last_term_of_a_batch():
    first, last = (
        effects.PersistHardState(effects.HardState(term, None)) for term in (1, 2)
    )
    entries = effects.PersistEntries((make_entry(1),))
    assert writer.select_writes([first, entries, last]) == [last, entries]


def form_group(size=3):
    cluster = simulation.Cluster(size)
    cluster.run(3.0)
    (leader_id,) = cluster.leaders()
    return cluster, cluster.nodes[leader_id]


def test_leader_commits_without_its_own_disk_then_steps_down():
    cluster, node = form_group()
    cluster.stall_disk(node.instance_id)
    index = cluster.propose(node.instance_id)
    cluster.run(durability.STALL_TIMEOUT_S / 2)
    assert cluster.leaders() == [node.instance_id]
    assert cluster.acknowledged_index == index
    assert node.core.durable_index < index
    cluster.run(durability.STALL_TIMEOUT_S)
    (leader_id,) = cluster.leaders()
    assert leader_id != node.instance_id
    index = cluster.propose(leader_id)
    cluster.run(1.0)
    assert cluster.acknowledged_index == index
    # A replica with a stalled disk doesn't disturb the leader.
    term = cluster.nodes[leader_id].core.term
    cluster.run(10.0)
    assert cluster.nodes[leader_id].core.term == term
    cluster.resume_disk(node.instance_id)
    cluster.run(2.0)
    assert cluster.has_converged()


def install_snapshot(entries):
    """Install a snapshot at index 7 and send a heartbeat; return the core."""
    members = membership.Membership(
        tuple(membership.Member(i, f"{i}-first", True) for i in ("c0", "c1", "c2"))
    )
    recovered = core.RecoveredState(
        "c1-first",
        effects.HardState(3, None),
        log.Snapshot(1, 1, members, b""),
        entries,
    )
    follower_core = core.Core(
        core.Settings("c1", ("c0", "c2"), False, core_state.Timing(0.15, 0.6, 1.0)),
        recovered,
        random.Random(0),
        0.0,
    )
    for message in (
        messages.SnapshotRequest(
            3, "c0-first", "c1-first", 7, 2, membership.encode(members), 0, b"", True, 1
        ),
        messages.AppendRequest(3, "c0-first", "c1-first", 7, 2, (), 7, 2),
    ):
        follower_core.receive("c0", message, 1.0)
    return follower_core


def find_replies(pending_effects):
    sent = [e.message for e in pending_effects if isinstance(e, effects.Send)]
    return (
        [m.installed for m in sent if isinstance(m, messages.SnapshotReply)],
        [m.match_index for m in sent if isinstance(m, messages.AppendReply)],
    )


# Guards against a snapshot that counts towards a quorum and is lost with the power,
# also where it replaces a longer log of another history.
@pytest.mark.parametrize("last_index", [1, 5, 9])
def test_follower_answers_for_a_snapshot_once_it_is_durable(last_index):
    entries = tuple(make_entry(index) for index in range(2, last_index + 1))
    follower_core = install_snapshot(entries)
    pending_effects = follower_core.take_effects(1.0)
    installed, matches = find_replies(pending_effects)
    assert not any(installed)
    assert all(match_index < 7 for match_index in matches)
    count = sum(isinstance(e, writer.Write) for e in pending_effects)
    assert count == 1
    follower_core.on_durable(count, 0.0, 1.1)
    installed, matches = find_replies(follower_core.take_effects(1.1))
    assert (installed, matches) == ([True], [7])


def test_leader_leads_on_if_no_disk_works():
    cluster, node = form_group()
    for instance_id in cluster.nodes:
        cluster.stall_disk(instance_id)
    index = cluster.propose(node.instance_id)
    cluster.run(3 * durability.STALL_TIMEOUT_S)
    assert cluster.leaders() == [node.instance_id]
    assert cluster.acknowledged_index < index
    for instance_id in cluster.nodes:
        cluster.resume_disk(instance_id)
    cluster.run(2.0)
    assert cluster.has_converged()
    assert cluster.acknowledged_index == index


@contextlib.contextmanager
def losing_all_writes(cluster):
    """Let disks keep nothing that was not synced."""
    with (
        mock.patch.object(cluster.random, "random", lambda: 0.0),
        mock.patch.object(cluster.random, "randint", lambda low, high: low),
    ):
        yield


def run_candidate_over_crash():
    """A candidate crashes before its own vote is durable, then votes in that term."""
    cluster, node = form_group()
    second_id, third_id = (i for i in cluster.nodes if i != node.instance_id)
    cluster.kill(node.instance_id)
    cluster.now += 3.0
    cluster.stall_disk(second_id)
    cluster.tick(second_id)
    cluster.deliver_between(second_id, third_id, times=4)
    with losing_all_writes(cluster):
        cluster.kill(second_id)
    cluster.heal()
    cluster.now += 3.0
    cluster.elect(node.instance_id, second_id)
    cluster.run(5.0)
    assert cluster.has_converged()


def run_entry_on_one_disk(stalls_leader):
    """An entry is on one disk of two, which is lost as all lose power."""
    cluster, node = form_group()
    leader_id = node.instance_id
    follower_id = next(i for i in cluster.nodes if i != leader_id)
    stalled_id, lost_id = leader_id, follower_id
    if not stalls_leader:
        stalled_id, lost_id = follower_id, leader_id
    cluster.in_flight = []
    cluster.stall_disk(stalled_id)
    cluster.propose(leader_id)
    cluster.deliver_between(leader_id, follower_id, times=2)
    with losing_all_writes(cluster):
        cluster.lose_power([lost_id])
    cluster.heal()
    cluster.run(20.0)
    for instance_id in cluster.leaders():
        cluster.propose(instance_id)
    cluster.run(1.0)
    assert cluster.has_converged()


def run_voter_over_crash():
    """A voter crashes before its vote is durable, then votes again in that term."""
    cluster, node = form_group()
    second_id, third_id = (i for i in cluster.nodes if i != node.instance_id)
    cluster.kill(node.instance_id)
    cluster.now += 3.0
    cluster.stall_disk(third_id)
    cluster.tick(second_id)
    cluster.deliver_between(second_id, third_id, times=4)
    with losing_all_writes(cluster):
        cluster.kill(third_id)
    cluster.heal()
    cluster.now += 3.0
    cluster.elect(node.instance_id, third_id)
    cluster.run(5.0)
    assert cluster.has_converged()


def count_own_undurable_entries(state, leader_state, now):
    state.durability.log_index = state.log.last_index
    original_commit(state, leader_state, now)


def acknowledge_undurable_entries(state, pending):
    state.durability.log_index = state.log.last_index
    original_reply(state, pending)


def send_votes_at_once(state, peer_id, message, after_number=None):
    if isinstance(message, messages.VoteReply):
        state.effects.append(effects.Send(peer_id, message))
    else:
        original_send(state, peer_id, message, after_number)


def send_vote_requests_at_once(state, peer_id, message, after_number=None):
    if isinstance(message, messages.VoteRequest):
        state.effects.append(effects.Send(peer_id, message))
    else:
        original_send(state, peer_id, message, after_number)


def count_own_vote_at_once(state, now):
    original_start_vote(state, now)
    state.votes.add(state.identity)


def ignore_own_term(state, now):
    if state.role is not effects.Role.LEADER:
        original_on_term_durable(state, now)


original_commit = leader._commit
original_reply = follower._reply_to_match
original_send = core_state.send
original_start_vote = election._start_vote
original_on_term_durable = election.on_term_durable


@pytest.mark.parametrize("stalls_leader", [True, False])
def test_entry_on_one_disk_of_two_is_not_acknowledged(stalls_leader):
    run_entry_on_one_disk(stalls_leader)


def test_simulation_detects_leader_that_counts_its_undurable_copy():
    commit = mock.patch.object(leader, "_commit", count_own_undurable_entries)
    with commit, pytest.raises(AssertionError, match="was committed as"):
        run_entry_on_one_disk(stalls_leader=True)


def test_simulation_detects_follower_that_acknowledges_undurable_entries():
    reply = mock.patch.object(
        follower, "_reply_to_match", acknowledge_undurable_entries
    )
    with reply, pytest.raises(AssertionError, match="was committed as"):
        run_entry_on_one_disk(stalls_leader=False)


@pytest.mark.parametrize("run", [run_candidate_over_crash, run_voter_over_crash])
def test_vote_of_a_replica_that_crashes_while_it_is_written_does_not_count(run):
    run()


def test_simulation_detects_voter_that_does_not_wait_for_its_vote():
    send = mock.patch.object(core_state, "send", send_votes_at_once)
    with send, pytest.raises(AssertionError, match="both lead term"):
        run_voter_over_crash()


def test_simulation_detects_candidate_that_does_not_wait_for_its_own_vote():
    patches = (
        mock.patch.object(core_state, "send", send_vote_requests_at_once),
        mock.patch.object(election, "_start_vote", count_own_vote_at_once),
        mock.patch.object(election, "on_term_durable", ignore_own_term),
    )
    with contextlib.ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        with pytest.raises(AssertionError, match="both lead term"):
            run_candidate_over_crash()
