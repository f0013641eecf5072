"""Random series of replaced instances, lost disks, cuts and power losses.

Run as ``python -m packages.consensus.tests.replacements FIRST_SEED COUNT``.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable

from packages.consensus.tests import simulation

SIZES = (3, 5, 7)
STEPS = 12
# A group without a leader elects one within this time if more than half of the
# instances that exist are running and connected.
ELECTION_LIMIT_S = 20.0
# Time after which the next disk may be lost; the group has replaced the one before.
RECOVERY_S = 5 * simulation.TIMING.max_election_timeout_s
# The same for disks that stall: the two entries that admit a voter take several writes.
STALLS_RECOVERY_S = 4 * RECOVERY_S
CONVERGENCE_LIMIT_S = 90.0
MAX_DOWN_S = 2.0
# Time between a proposal and the loss of all power.
MIN_POWER_LOSS_DELAY_S = 0.005
STEP_S = 0.001
POWER_LOSSES = 6
MAX_POWER_LOSS_DELAY_S = 0.4

# The same for disks that stall for longer than `MAX_SLOW_SYNC_S`.
STALLS_ELECTION_LIMIT_S = 60.0
MAX_SLOW_SYNC_S = 0.8
# Longest write of disks under load, and of those that stall.
SLOW_SYNCS_S = (0.1, MAX_SLOW_SYNC_S, 3.0)

Fault = Callable[["Schedule"], None]
FAULTS: list[Fault] = []


def fault(function: Fault) -> Fault:
    """Add a fault to those that schedules draw from."""
    FAULTS.append(function)
    return function


class Schedule:
    """One group and the random faults that it goes through."""

    def __init__(
        self,
        seed: int,
        faults: simulation.Faults | None = None,
        max_sync_s: float = 0.0,
    ) -> None:
        self.random = random.Random(seed)
        self.size = self.random.choice(SIZES)
        rates = [self.random.uniform(0.95, 1.05) for _ in range(self.size)]
        self.cluster = simulation.Cluster(self.size, seed, rates, faults)
        self.max_sync_s = max_sync_s
        has_stalls = max_sync_s > MAX_SLOW_SYNC_S
        self.election_limit_s = (
            STALLS_ELECTION_LIMIT_S if has_stalls else ELECTION_LIMIT_S
        )
        self.recovery_s = STALLS_RECOVERY_S if has_stalls else RECOVERY_S
        self.trace: list[str] = []

    def run(self) -> None:
        """Go through the faults; after each, the group has to have a leader."""
        self.form()
        for _ in range(STEPS):
            self.propose()
            chosen = self.random.choice(FAULTS)
            self.trace.append(chosen.__name__)
            chosen(self)
            self.check_leader()
            self.cluster.run(self.recovery_s)
        self.lose_power(lost_disks=1)
        self.check_leader()
        self.check_convergence()
        self.lose_power_after_proposal(max_lost_disks=(self.size - 1) // 2)
        self.check_leader()
        self.check_convergence()

    def run_power_losses(self) -> None:
        """Lose disks and all power again and again, shortly after proposals."""
        self.form()
        for _ in range(POWER_LOSSES):
            self.lose_power_after_proposal(max_lost_disks=(self.size - 1) // 2)
            self.check_leader()
            self.check_convergence()

    def form(self) -> None:
        """Have all instances found the group, then slow their disks down."""
        self.cluster.run(5.0)
        self.cluster.max_sync_s = self.max_sync_s

    def propose(self) -> None:
        """Have the leader commit some entries."""
        for _ in range(self.random.randint(1, 5)):
            for leader_id in self.cluster.leaders():
                self.cluster.propose(leader_id)
        self.cluster.run(self.random.choice((0.05, 0.5)))

    def any_instance(self) -> str:
        """Return an instance, the leader in one of two draws."""
        leaders = self.cluster.leaders()
        if leaders and self.random.random() < 0.5:
            return self.random.choice(leaders)
        return self.random.choice(sorted(self.cluster.nodes))

    def lose_power(self, lost_disks: int) -> None:
        """Stop all instances at once and start them again, some with empty disks."""
        for instance_id in list(self.cluster.nodes):
            self.cluster.kill(instance_id)
        for instance_id in self.random.sample(sorted(self.cluster.nodes), lost_disks):
            self.cluster.lose_disk(instance_id)
        self.cluster.in_flight = []
        self.cluster.run(self.random.uniform(0.1, MAX_DOWN_S))
        for instance_id in list(self.cluster.nodes):
            self.cluster.start(instance_id)

    def lose_power_after_proposal(self, max_lost_disks: int) -> None:
        """Lose disks and all power shortly after a proposal, acknowledged or not."""
        cluster = self.cluster
        acknowledged_index = cluster.acknowledged_index
        for _ in range(self.random.randint(1, 4)):
            for instance_id in list(cluster.nodes):
                cluster.propose(instance_id)
        waits_for_acknowledgement = self.random.random() < 0.5
        power_loss_at = cluster.now + self.random.uniform(
            MIN_POWER_LOSS_DELAY_S, MAX_POWER_LOSS_DELAY_S
        )
        while cluster.now < power_loss_at:
            is_acknowledged = cluster.acknowledged_index > acknowledged_index
            if waits_for_acknowledgement and is_acknowledged:
                break
            cluster.run(STEP_S, STEP_S)
        # Those that have acknowledged come first: nobody else may have the entry.
        instance_ids = self.random.sample(sorted(cluster.nodes), len(cluster.nodes))
        instance_ids.sort(key=lambda i: -cluster.nodes[i].applied_index)
        if self.random.random() < 0.5:
            self.random.shuffle(instance_ids)
        lost_ids: list[str] = []
        for instance_id in instance_ids:
            if len(lost_ids) < max_lost_disks and cluster.can_lose_disks(
                [*lost_ids, instance_id]
            ):
                lost_ids.append(instance_id)
        self.trace.append(f"{len(lost_ids)} of {len(instance_ids)} disks")
        cluster.lose_power(lost_ids)
        cluster.run(self.random.uniform(0.1, MAX_DOWN_S))
        for instance_id in list(cluster.nodes):
            cluster.start(instance_id)

    def check_leader(self) -> None:
        """Check that a leader of the group commits an entry in time."""
        end_at = self.cluster.now + self.election_limit_s
        acknowledged_index = self.cluster.acknowledged_index
        while self.cluster.acknowledged_index == acknowledged_index:
            assert self.cluster.now < end_at, f"no leader after {self.trace}"
            for leader_id in self.cluster.leaders():
                self.cluster.read(leader_id)
                self.cluster.propose(leader_id)
            self.cluster.run(0.5)

    def check_convergence(self) -> None:
        """Check that exactly the instances that exist vote, with all entries."""
        end_at = self.cluster.now + CONVERGENCE_LIMIT_S
        while not self.cluster.has_converged():
            assert self.cluster.now < end_at, f"not converged after {self.trace}"
            self.cluster.run(1.0)


@fault
def replace(schedule: Schedule) -> None:
    """An instance is gone for good; its successor comes at another address."""
    schedule.cluster.remove(schedule.any_instance())
    schedule.cluster.run(schedule.random.uniform(0.0, MAX_DOWN_S))
    schedule.cluster.add()


@fault
def replace_planned(schedule: Schedule) -> None:
    """The successor joins before its predecessor is stopped for good."""
    schedule.cluster.add()
    schedule.cluster.run(schedule.random.uniform(0.0, 2 * MAX_DOWN_S))
    schedule.cluster.remove(schedule.any_instance())


@fault
def lose_disk(schedule: Schedule) -> None:
    """An instance comes back at its address with an empty disk."""
    instance_id = schedule.any_instance()
    schedule.cluster.lose_disk(instance_id)
    schedule.cluster.run(schedule.random.uniform(0.0, MAX_DOWN_S))
    schedule.cluster.start(instance_id)


@fault
def lose_power(schedule: Schedule) -> None:
    """All instances stop at once; one may lose its disk."""
    schedule.lose_power(lost_disks=schedule.random.choice((0, 1)))


@fault
def lose_power_after_proposal(schedule: Schedule) -> None:
    """All instances stop at once while they write; one may lose its disk."""
    schedule.lose_power_after_proposal(max_lost_disks=schedule.random.choice((0, 1)))


@fault
def cut_minority(schedule: Schedule) -> None:
    """Fewer than half of the instances are cut off for a time and come back."""
    cluster = schedule.cluster
    count = schedule.random.randint(1, (len(cluster.nodes) - 1) // 2)
    cut = set(schedule.random.sample(sorted(cluster.nodes), count))
    rest = cluster.nodes.keys() - cut
    cluster.blocked_links = {(a, b) for a in cut for b in rest}
    cluster.blocked_links |= {(b, a) for a, b in cluster.blocked_links}
    cluster.run(schedule.random.choice((1.0, 8.0, 60.0)))
    schedule.check_leader()
    cluster.blocked_links = set()


@fault
def restart_some(schedule: Schedule) -> None:
    """Any number of instances are killed one after the other and come back."""
    cluster = schedule.cluster
    for instance_id in schedule.random.sample(
        sorted(cluster.nodes), schedule.random.randint(1, len(cluster.nodes))
    ):
        cluster.kill(instance_id)
        cluster.run(schedule.random.uniform(0.0, MAX_DOWN_S))
        cluster.start(instance_id)


def main() -> None:
    """Run the seeds that the command line names and print those that fail."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed in range(first, first + count):
        for max_sync_s in (0.0, *SLOW_SYNCS_S):
            try:
                Schedule(seed, max_sync_s=max_sync_s).run()
                Schedule(seed, max_sync_s=max_sync_s).run_power_losses()
            except AssertionError as error:
                failed += 1
                print(f"seed {seed}, syncs {max_sync_s} s: {error}", flush=True)
    print(f"{count} seeds at {1 + len(SLOW_SYNCS_S)} sync times, {failed} failed")


if __name__ == "__main__":
    main()
