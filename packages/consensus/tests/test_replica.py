"""Tests of the asyncio driver with in-memory storage and transport."""

from __future__ import annotations

import asyncio
import random

import pytest
import result

from yuccapitch.consensus import core, replica, state, storage

TIMING = state.Timing(
    heartbeat_interval_s=0.05, min_election_timeout_s=0.2, max_election_timeout_s=0.4
)


class RecordingStateMachine:
    """State machine that records every command."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return (index, command)

    def snapshot(self):
        return b"\n".join(self.commands)

    def restore(self, data):
        self.commands = data.split(b"\n") if data else []


class ReplicaGroup:
    """Group of replicas in one process."""

    def __init__(self, size):
        self.instance_ids = [f"c{n}" for n in range(size)]
        self.replicas_by_id = {}
        self.machines_by_id = {}
        self.storages_by_id = {}
        self.isolated_ids = set()

    async def start(self, instance_id, identity=None, snapshot_every=10_000):
        disk = self.storages_by_id.get(instance_id)
        if identity or disk is None:
            disk = storage.MemoryStorage(identity or f"{instance_id}-first")
            self.storages_by_id[instance_id] = disk
        peers = tuple(i for i in self.instance_ids if i != instance_id)
        own_settings = core.Settings(instance_id, peers, instance_id == "c0", TIMING)
        loop = asyncio.get_running_loop()
        own_core = core.Core(
            own_settings, disk.load().unwrap(), random.Random(instance_id), loop.time()
        )

        def send(peer_id, message):
            loop.call_soon(self._deliver, instance_id, peer_id, message)

        machine = self.machines_by_id[instance_id] = RecordingStateMachine()
        self.replicas_by_id[instance_id] = replica.Replica(
            own_core, disk, send, machine, loop.time, snapshot_every
        )
        await self.replicas_by_id[instance_id].start()

    def _deliver(self, sender_id, peer_id, message):
        if {sender_id, peer_id} & self.isolated_ids:
            return
        if peer_id in self.replicas_by_id:
            self.replicas_by_id[peer_id].receive(sender_id, message)

    async def stop(self, instance_id):
        await self.replicas_by_id.pop(instance_id).aclose()

    async def leader(self):
        while True:
            for member in self.replicas_by_id.values():
                is_isolated = member.core.identity.split("-")[0] in self.isolated_ids
                if member.is_leader and not is_isolated:
                    return member
            await asyncio.sleep(0.01)

    async def propose(self, command):
        while True:
            outcome = await (await self.leader()).propose(command)
            if outcome.is_ok():
                return outcome.unwrap()


@pytest.fixture
async def group():
    replica_group = ReplicaGroup(3)
    for instance_id in replica_group.instance_ids:
        await replica_group.start(instance_id)
    yield replica_group
    for instance_id in list(replica_group.replicas_by_id):
        await replica_group.stop(instance_id)


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


async def test_replica_single_member_commits_at_once():
    single = ReplicaGroup(1)
    await single.start("c0")
    outcome = await single.replicas_by_id["c0"].propose(b"a")
    assert outcome == result.Ok((2, b"a"))
    await single.stop("c0")


async def test_replica_propose_applies_on_every_member(group):
    await group.propose(b"a")
    machines = group.machines_by_id.values()
    await wait_until(lambda: all(m.commands == [b"a"] for m in machines))


async def test_replica_propose_at_follower_returns_leader(group):
    leader = await group.leader()
    await group.propose(b"a")
    follower = next(r for r in group.replicas_by_id.values() if r is not leader)
    await wait_until(lambda: follower.leader_id is not None)
    outcome = await follower.propose(b"b")
    assert outcome == result.Err(replica.NotLeader(leader.leader_id))


async def test_replica_read_barrier_covers_acknowledged_changes(group):
    index, _ = await group.propose(b"a")
    outcome = await (await group.leader()).read_barrier()
    assert outcome.unwrap() >= index


async def test_replica_isolated_leader_returns_outcome_unknown_and_steps_down(group):
    leader = await group.leader()
    await group.propose(b"a")
    group.isolated_ids.add(leader.leader_id)
    outcome = await leader.propose(b"b")
    assert outcome == result.Err(replica.OutcomeUnknown(None))
    assert not leader.is_leader
    assert leader.leader_lease_expires_at == float("-inf")
    await group.propose(b"c")
    group.isolated_ids.clear()
    machines = group.machines_by_id.values()
    await wait_until(lambda: all(m.commands == [b"a", b"c"] for m in machines))


async def test_replica_lost_disk_is_admitted_as_new_voter(group):
    await group.propose(b"a")
    leader = await group.leader()
    lost_id = next(i for i in group.instance_ids if i != leader.leader_id)
    await group.stop(lost_id)
    await group.start(lost_id, identity=f"{lost_id}-second")
    await wait_until(
        lambda: f"{lost_id}-second" in leader.core.members.voters()
        and f"{lost_id}-first" not in leader.core.members.voters()
    )
    await wait_until(lambda: group.machines_by_id[lost_id].commands == [b"a"])


async def test_replica_lagging_member_gets_snapshot(group):
    leader = await group.leader()
    absent_id = next(i for i in group.instance_ids if i != leader.leader_id)
    await group.stop(absent_id)
    for instance_id in list(group.replicas_by_id):
        group.replicas_by_id[instance_id]._snapshot_interval_entries = 500
    commands = [b"%d" % n for n in range(2100)]
    for command in commands:
        await group.propose(command)
    assert leader.core.log.base_index > 0
    await group.start(absent_id)
    await wait_until(lambda: group.machines_by_id[absent_id].commands == commands)


# Guards against a process that exceeds its memory before a snapshot is due by the
# number of entries.
async def test_replica_takes_a_snapshot_after_a_number_of_bytes(group, monkeypatch):
    monkeypatch.setattr(replica, "SNAPSHOT_INTERVAL_BYTES", 10_000)
    monkeypatch.setattr(core, "RETAINED_BYTES", 2_000)
    leader = await group.leader()
    absent_id = next(i for i in group.instance_ids if i != leader.leader_id)
    await group.stop(absent_id)
    commands = [b"%d" % n * 300 for n in range(60)]
    for command in commands:
        await group.propose(command)
        kept = leader.core.log.slice(
            leader.core.log.base_index + 1, leader.applied_index
        )
        assert sum(len(entry.payload) for entry in kept) <= 12_000
    assert leader.core.log.base_index > 0
    await group.start(absent_id)
    await wait_until(lambda: group.machines_by_id[absent_id].commands == commands)


async def test_replica_stops_after_failed_sync():
    single = ReplicaGroup(1)
    await single.start("c0")
    broken = single.replicas_by_id["c0"]

    def fail():
        raise OSError("disk failure")

    single.storages_by_id["c0"].sync = fail
    outcome = await broken.propose(b"a")
    assert outcome.is_err()
    with pytest.raises(OSError):
        await broken.wait_stopped()
    await single.stop("c0")


async def test_replica_new_leader_completes_admission(group):
    await group.propose(b"a")
    leader = await group.leader()
    lost_id, other_id = (i for i in group.instance_ids if i != leader.leader_id)
    await group.stop(lost_id)
    # Add it only as a learner, as if the leader had failed before promoting it.
    identity = f"{lost_id}-second"
    leader.change_members(leader.core.members.with_learner(lost_id, identity))
    await group.propose(b"b")
    first_id = leader.leader_id
    await group.stop(first_id)
    await group.start(first_id)
    await group.start(lost_id, identity=identity)
    new_leader = await group.leader()
    await wait_until(lambda: identity in new_leader.core.members.voters())


async def test_replica_admits_identity_while_earlier_one_is_pending(group):
    await group.propose(b"a")
    leader = await group.leader()
    lost_id = next(i for i in group.instance_ids if i != leader.leader_id)
    await group.stop(lost_id)
    pending = asyncio.create_task(leader.add_member(lost_id, f"{lost_id}-second"))
    await wait_until(lambda: leader.core.members.find(f"{lost_id}-second"))
    await group.start(lost_id, identity=f"{lost_id}-third")
    await wait_until(lambda: f"{lost_id}-third" in leader.core.members.voters())
    assert (await pending).is_err()


async def test_replica_unlisted_instance_is_not_admitted(group):
    await group.propose(b"a")
    leader = await group.leader()
    reported = []
    leader._on_effect = reported.append
    await group.start("stranger")
    await wait_until(lambda: any(type(e).__name__ == "JoinRequested" for e in reported))
    assert leader.core.members.find_instance("stranger") is None
