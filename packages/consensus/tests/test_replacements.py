"""Tests of groups whose instances are replaced under new addresses."""

from __future__ import annotations

import pytest

from packages.consensus.tests import replacements, simulation


# Guards against a group that never elects a leader again, because those that were
# replaced count as voters when a disk and all power are lost.
@pytest.mark.parametrize("size", [3, 5])
def test_group_elects_a_leader_after_replacements_and_the_loss_of_a_disk(size):
    cluster = simulation.Cluster(size)
    cluster.run(5.0)
    for _ in range(3):
        (leader_id,) = cluster.leaders()
        cluster.replace(leader_id)
        cluster.run(replacements.RECOVERY_S)
    (leader_id,) = cluster.leaders()
    cluster.propose(leader_id)
    cluster.run(1.0)
    acknowledged_index = cluster.acknowledged_index
    for instance_id in cluster.nodes:
        cluster.kill(instance_id)
    cluster.lose_disk(leader_id)
    for instance_id in cluster.nodes:
        cluster.start(instance_id)
    cluster.run(replacements.ELECTION_LIMIT_S)
    assert len(cluster.leaders()) == 1
    assert cluster.acknowledged_index >= acknowledged_index
    assert cluster.has_converged()


@pytest.mark.parametrize("seed", range(20))
def test_group_survives_random_replacements(seed):
    replacements.Schedule(seed).run()


@pytest.mark.parametrize("seed", range(20))
def test_group_survives_lost_disks_and_power_losses_after_proposals(seed):
    replacements.Schedule(seed).run_power_losses()


# Guards against groups that lose entries, or don't elect a leader again, when syncs
# take long and disks, instances and power are lost meanwhile.
@pytest.mark.parametrize("max_sync_s", replacements.SLOW_SYNCS_S)
@pytest.mark.parametrize("seed", range(5))
def test_group_with_slow_syncs_survives_random_replacements(seed, max_sync_s):
    replacements.Schedule(seed, max_sync_s=max_sync_s).run()
    replacements.Schedule(seed, max_sync_s=max_sync_s).run_power_losses()


# Keeps the schedules able to find a replica that answers before its sync: with disks
# lost and all power off, an acknowledged entry is gone.
@pytest.mark.parametrize(
    "faults",
    [
        simulation.Faults(sends_before_sync=True),
        simulation.Faults(keeps_identity_of_lost_disk=True),
    ],
)
def test_schedules_detect_deliberate_faults(faults):
    with pytest.raises(AssertionError):
        for seed in range(20):
            replacements.Schedule(seed, faults).run_power_losses()


def silence(cluster, *instance_ids):
    """Cut instances off from all others, both ways."""
    for instance_id in instance_ids:
        for other in cluster.nodes:
            cluster.blocked_links |= {(instance_id, other), (other, instance_id)}


def voter_count(cluster):
    (leader_id,) = [i for i in cluster.leaders() if (i, i) not in cluster.blocked_links]
    return len(cluster.nodes[leader_id].core.members.voters())


def form(size):
    cluster = simulation.Cluster(size)
    cluster.run(5.0)
    (leader_id,) = cluster.leaders()
    return cluster, [i for i in cluster.nodes if i != leader_id]


def test_silent_voter_of_an_odd_number_stays():
    cluster, others = form(5)
    silence(cluster, others[0])
    cluster.run(100.0)
    assert voter_count(cluster) == 5


def test_silent_voter_of_an_even_number_is_removed_and_admitted_again():
    cluster, others = form(4)
    silence(cluster, others[0])
    cluster.run(10.0)
    assert voter_count(cluster) == 3
    cluster.blocked_links.clear()
    cluster.run(10.0)
    assert cluster.has_converged()


def test_two_silent_voters_of_an_odd_number_are_removed_after_a_long_silence():
    cluster, others = form(5)
    silence(cluster, *others[:2])
    cluster.run(30.0)
    assert voter_count(cluster) == 5
    cluster.run(30.0)
    assert voter_count(cluster) == 3
    cluster.blocked_links.clear()
    cluster.run(20.0)
    assert cluster.has_converged()


def test_group_never_shrinks_below_three_voters():
    cluster, others = form(3)
    silence(cluster, others[0])
    cluster.run(100.0)
    assert voter_count(cluster) == 3


def test_suspended_leader_does_not_count_the_time_as_silence():
    cluster, others = form(4)
    (leader_id,) = cluster.leaders()
    # All instances are suspended together, so that no other leader is elected.
    cluster.now += 60.0
    cluster.run(0.2)
    members = cluster.nodes[leader_id].core.members
    assert len(members.voters()) == 4
    cluster.run(10.0)
    assert cluster.has_converged()


# Guards against a voter that was removed while it was cut off, and then neither votes
# nor asks for admission, because its own log names it as a voter.
def test_removed_voter_asks_for_admission_once_it_is_refused():
    cluster, others = form(4)
    silence(cluster, others[0])
    cluster.run(10.0)
    for _ in range(30):
        for leader_id in cluster.leaders():
            cluster.propose(leader_id)
    cluster.run(1.0)
    cluster.kill(others[0])
    cluster.blocked_links.clear()
    cluster.start(others[0])
    cluster.run(10.0)
    assert cluster.has_converged()
