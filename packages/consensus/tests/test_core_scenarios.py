"""Schedules that break a replica which lacks one safeguard, and not the whole one."""

from __future__ import annotations

import contextlib
import random
from unittest import mock

import pytest

from packages.consensus.tests import simulation
from yuccapitch.consensus import (
    core,
    effects,
    election,
    leadership,
    membership,
    replication,
    state as core_state,
)
from yuccapitch.protocol import consensus_messages as messages

NO_PATCH = contextlib.nullcontext()
NO_FAULTS = simulation.Faults()


def form(size=3, faults=NO_FAULTS, rates=None):
    """Return a settled group, its leader and the others."""
    world = simulation.World(size, rates=rates, faults=faults)
    world.run(3.0)
    (leader_id,) = world.leaders()
    return world, leader_id, [i for i in world.nodes if i != leader_id]


def run_acknowledged_entry_over_crash(faults):
    world, leader_id, (second_id, third_id) = form(faults=faults)
    world.in_flight = []
    world.propose(leader_id)
    world.nodes[second_id].crashes_in_next_flush = True
    world.exchange(leader_id, second_id, times=2)
    world.kill(leader_id)
    world.start(second_id)
    world.now += 3.0
    world.elect(third_id, second_id)
    world.run(1.0)


def run_lost_disk(faults):
    world, leader_id, (second_id, third_id) = form(faults=faults)
    world.in_flight = []
    world.propose(leader_id)
    world.exchange(leader_id, second_id, times=2)
    world.kill(leader_id)
    world.lose_disk(second_id)
    world.start(second_id)
    world.now += 3.0
    world.elect(third_id, second_id)
    world.run(1.0)


def run_vote_for_shorter_log(faults):
    world, leader_id, (second_id, third_id) = form(faults=faults)
    world.in_flight = []
    world.propose(leader_id)
    world.exchange(leader_id, second_id, times=2)
    world.kill(leader_id)
    world.now += 3.0
    world.elect(third_id, second_id)
    world.run(1.0)


def run_older_term_on_majority(faults):
    """The schedule of figure 8 in the Raft paper."""
    world, first_id, (second_id, third_id, fourth_id, fifth_id) = form(5, faults)
    world.in_flight = []
    world.propose(first_id)
    world.exchange(first_id, second_id)
    world.kill(first_id)
    world.now += 3.0
    world.elect(fifth_id, third_id, fourth_id)
    world.kill(fifth_id)
    world.start(first_id)
    world.now += 3.0
    with mock.patch.object(replication, "MAX_APPEND_ENTRIES", 1):
        world.elect(first_id, second_id, third_id)
        world.exchange(first_id, second_id, third_id, times=4)
    world.kill(first_id)
    world.kill(second_id)
    world.start(fifth_id)
    world.now += 3.0
    world.elect(fifth_id, third_id, fourth_id)
    world.run(1.0)


def run_vote_while_following(faults):
    world, _, (second_id, third_id) = form(faults=faults)
    world.elect(third_id, second_id)


def run_vote_after_restart(faults):
    world, leader_id, (second_id, third_id) = form(faults=faults)
    world.cuts = {(leader_id, third_id), (third_id, leader_id)}
    world.run(1.5)
    world.kill(second_id)
    world.start(second_id)
    world.elect(third_id, second_id)


def run_clock_drift(faults):
    world, leader_id, (second_id, third_id) = form(
        faults=faults, rates=[0.95, 1.05, 1.05]
    )
    assert leader_id == "c0"
    world.in_flight = []
    world.read(leader_id)
    world.exchange(*world.nodes, times=2)
    world.now += 1.0
    world.elect(third_id, second_id)


def run_read_at_cut_leader(faults):
    world, leader_id, (second_id, third_id) = form(faults=faults)
    world.now += 1.5
    world.elect(third_id, second_id)
    world.exchange(third_id, second_id, times=4)
    world.propose(third_id)
    world.exchange(third_id, second_id, times=4)
    assert world.leaders() == [leader_id, third_id]
    assert world.acknowledged_index
    world.read(leader_id)


def run_second_founding(faults):
    world = simulation.World(3, faults=faults)
    world.kill("c2")
    world.run(3.0)
    for instance_id in world.leaders():
        world.propose(instance_id)
    world.run(1.0)
    world.kill("c1")
    world.lose_disk("c0")
    world.start("c0")
    world.start("c2")
    world.run(3.0)
    for instance_id in world.leaders():
        world.propose(instance_id)
    world.run(1.0)


def run_late_join_request(faults):
    world, leader_id, (second_id, _) = form(faults=faults)
    world.lose_disk(second_id)
    world.start(second_id)
    world.tick(second_id)
    late = list(world.in_flight)
    world.lose_disk(second_id)
    world.start(second_id)
    world.run(5.0)
    world.in_flight.extend(late)
    world.run(5.0)
    assert world.is_settled(), "a lost identity was admitted"


def commit_any_term(state, index):
    return state.log.term_at(index) is not None


def accept_any_log(state, message):
    return True


def never_follow(state, now):
    return False


def forget_restart(self, *args):
    original_init(self, *args)
    self._state.last_heard_s = float("-inf")


def read_at_once(state, token):
    if state.leadership is None:
        return False
    state.effects.append(effects.BarrierReached(token, state.commit_index))
    return True


def found_by_majority(state):
    if state.is_formed:
        return state.log.members.is_quorum(state.votes)
    return 2 * len(state.votes) > 1 + len(state.peer_ids)


def admit_at_once(state, peer_id, message, now):
    if state.leadership and state.log.members.find(message.sender) is None:
        state.effects.append(effects.JoinRequested(peer_id, message.sender))


original_init = core.Core.__init__
SCENARIOS = {
    "sends-before-sync": (
        run_acknowledged_entry_over_crash,
        simulation.Faults(sends_before_sync=True),
        NO_PATCH,
    ),
    "keeps-identity-of-lost-disk": (
        run_lost_disk,
        simulation.Faults(keeps_identity_of_lost_disk=True),
        NO_PATCH,
    ),
    "votes-for-shorter-log": (
        run_vote_for_shorter_log,
        NO_FAULTS,
        mock.patch.object(election, "_is_up_to_date", accept_any_log),
    ),
    "commits-older-term": (
        run_older_term_on_majority,
        NO_FAULTS,
        mock.patch.object(leadership, "_is_committable", commit_any_term),
    ),
    "votes-while-following": (
        run_vote_while_following,
        NO_FAULTS,
        mock.patch.object(election, "_follows_leader", never_follow),
    ),
    "votes-right-after-restart": (
        run_vote_after_restart,
        NO_FAULTS,
        mock.patch.object(core.Core, "__init__", forget_restart),
    ),
    "trusts-clock-rates": (
        run_clock_drift,
        NO_FAULTS,
        mock.patch.object(core_state, "CLOCK_DRIFT_MARGIN", 0.0),
    ),
    "reads-without-quorum": (
        run_read_at_cut_leader,
        NO_FAULTS,
        mock.patch.object(leadership, "add_barrier", read_at_once),
    ),
    "founds-by-majority": (
        run_second_founding,
        NO_FAULTS,
        mock.patch.object(election, "_has_won", found_by_majority),
    ),
    "admits-without-challenge": (
        run_late_join_request,
        NO_FAULTS,
        mock.patch.dict(core._HANDLERS, {messages.JoinRequest: admit_at_once}),
    ),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_core_scenario_holds(name):
    run, _, _ = SCENARIOS[name]
    run(NO_FAULTS)


@pytest.mark.parametrize("name", SCENARIOS)
def test_core_scenario_breaks_variant(name):
    run, faults, patch = SCENARIOS[name]
    with patch, pytest.raises(AssertionError):
        run(faults)


def make_restarted(now, started_at_s):
    """Return a replica of a group of three that was started again."""
    members = membership.Membership(
        tuple(membership.Member(f"c{n}", f"id-{n}", True) for n in range(3))
    )
    formed = messages.LogEntry(
        1, 1, messages.EntryKind.MEMBERSHIP, membership.encode(members)
    )
    recovered = core.Recovered("id-0", effects.HardState(1, None), None, (formed,))
    own_settings = core.Settings(
        "c0", ("c1", "c2"), False, simulation.TIMING, started_at_s
    )
    return core.Core(own_settings, recovered, random.Random(1), now)


@pytest.mark.parametrize("started_at_s", [None, 6.0])
def test_restart_counts_the_silence_from_the_start_of_the_process(started_at_s):
    # Until then it answered nobody; the imports take longer than an election waits.
    replica = make_restarted(9.0, started_at_s)
    replica.tick(9.1)
    taken = replica.take_effects(9.1)
    sent = [effect.message for effect in taken if isinstance(effect, effects.Send)]
    stands = any(isinstance(message, messages.PreVoteRequest) for message in sent)
    assert stands is (started_at_s is not None)
