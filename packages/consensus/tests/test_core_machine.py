"""Stateful tests: kills, lost disks, partitions, delays, skewed clocks."""

from __future__ import annotations

import contextlib
from unittest import mock

import hypothesis
import pytest
from hypothesis import stateful, strategies

from packages.consensus.tests import simulation
from yuccapitch.consensus import election

CONVERGENCE_TIME_S = 60.0
CLOCK_RATES = strategies.floats(0.95, 1.05)
INSTANCES = strategies.integers(0, 4).map("c{}".format)
SETTINGS = hypothesis.settings(
    max_examples=200,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class CoreMachine(stateful.RuleBasedStateMachine):
    """Random actions on a simulated group; every action checks the invariants."""

    faults = simulation.Faults()

    @stateful.initialize(
        size=strategies.sampled_from([3, 5]),
        seed=strategies.integers(0, 2**32),
        rates=strategies.lists(CLOCK_RATES, min_size=5, max_size=5),
    )
    def form(self, size, seed, rates):
        self.cluster = simulation.Cluster(size, seed, rates, self.faults)
        self.cluster.run(3.0)

    def _has(self, instance_id):
        return instance_id in self.cluster.nodes

    @stateful.rule(duration_s=strategies.sampled_from([0.05, 0.3, 1.0, 3.0]))
    def run(self, duration_s):
        self.cluster.run(duration_s)

    @stateful.rule(count=strategies.integers(1, 5))
    def propose(self, count):
        for _ in range(count):
            for instance_id in self.cluster.leaders():
                self.cluster.propose(instance_id)

    @stateful.rule()
    def read(self):
        for instance_id in self.cluster.leaders():
            self.cluster.read(instance_id)

    @stateful.rule(instance_id=INSTANCES)
    def kill(self, instance_id):
        if self._has(instance_id):
            self.cluster.kill(instance_id)

    @stateful.rule()
    def kill_leader(self):
        for instance_id in self.cluster.leaders():
            self.cluster.kill(instance_id)

    @stateful.rule(instance_id=INSTANCES)
    def crash_before_sync(self, instance_id):
        if self._has(instance_id):
            self.cluster.nodes[instance_id].crashes_in_next_flush = True

    @stateful.rule(instance_id=INSTANCES)
    def lose_disk(self, instance_id):
        if self._has(instance_id) and self.cluster.can_lose_disk(instance_id):
            self.cluster.lose_disk(instance_id)
            self.cluster.start(instance_id)

    @stateful.rule()
    def restart_all(self):
        for instance_id, node in self.cluster.nodes.items():
            if node.core is None:
                self.cluster.start(instance_id)

    @stateful.rule(sender=INSTANCES, receiver=INSTANCES)
    def cut_one_way(self, sender, receiver):
        self.cluster.blocked_links.add((sender, receiver))

    @stateful.rule()
    def isolate_leader(self):
        for instance_id in self.cluster.leaders():
            for other in self.cluster.nodes:
                self.cluster.blocked_links |= {
                    (instance_id, other),
                    (other, instance_id),
                }

    @stateful.rule()
    def end_cuts(self):
        self.cluster.blocked_links.clear()

    @stateful.rule(
        max_delay_s=strategies.sampled_from([0.02, 0.2, 1.0, 3.0]),
        loss=strategies.sampled_from([0.0, 0.1, 0.3]),
        duplication=strategies.sampled_from([0.0, 0.3]),
    )
    def change_network(self, max_delay_s, loss, duplication):
        self.cluster.max_delay_s = max_delay_s
        self.cluster.loss, self.cluster.duplication = loss, duplication

    def teardown(self):
        """End the faults and check that the group converges within the time limit."""
        if not hasattr(self, "cluster"):
            return
        self.cluster.heal()
        end_at = self.cluster.now + CONVERGENCE_TIME_S
        while not self.cluster.has_converged() and self.cluster.now < end_at:
            self.cluster.run(1.0)
        assert self.cluster.has_converged(), "the group did not converge"


TestCoreMachine = CoreMachine.TestCase
TestCoreMachine.settings = SETTINGS


class SlowDisksMachine(CoreMachine):
    """Also has disks that are slow or stall, and losses of all power meanwhile."""

    @stateful.rule(max_sync_s=strategies.sampled_from([0.0, 0.1, 0.5, 3.0]))
    def change_disks(self, max_sync_s):
        self.cluster.max_sync_s = max_sync_s

    @stateful.rule()
    def lose_power(self):
        self.cluster.lose_power()


TestSlowDisksMachine = SlowDisksMachine.TestCase
TestSlowDisksMachine.settings = SETTINGS


class KeepsIdentity(CoreMachine):
    """Comes back under the old identity after its disk was lost."""

    faults = simulation.Faults(keeps_identity_of_lost_disk=True)


def ignore_earlier_vote(state, message):
    return message.term == state.term and election._is_up_to_date(state, message)


NO_PATCH = contextlib.nullcontext()
VARIANTS = {
    "keeps-identity": (KeepsIdentity, NO_PATCH),
    "votes-twice": (
        CoreMachine,
        mock.patch.object(election, "_can_grant_vote", ignore_earlier_vote),
    ),
}


@pytest.mark.parametrize("name", VARIANTS)
def test_core_machine_finds_broken_variant(name):
    machine, patch = VARIANTS[name]
    settings = hypothesis.settings(
        SETTINGS,
        max_examples=500,
        derandomize=True,
        database=None,
        phases=[hypothesis.Phase.generate],
    )
    with patch, pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(machine, settings=settings)
