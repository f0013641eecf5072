"""Tests of replicas whose disks are slow, stalled or full."""

from __future__ import annotations

import asyncio
import errno
import io
import random
import threading
import time
from unittest import mock

import pytest

from packages.consensus.tests import test_replica
from yuccapitch.consensus import (
    core,
    disk,
    effects,
    files,
    replica,
    segments,
    state,
    storage,
    writer,
)

# Those of the control instances.
TIMING = state.Timing(
    heartbeat_interval_s=0.15, min_election_timeout_s=0.6, max_election_timeout_s=1.0
)
CHANGE_LIMIT_S = 60.0


class SlowStorage(storage.MemoryStorage):
    """Storage whose syncs take a given time; a term and vote need two of them."""

    def __init__(self, identity, sync_s):
        super().__init__(identity)
        self.sync_s = sync_s
        self.may_continue = threading.Event()
        self.may_continue.set()
        self._is_dirty = False

    def write_hard_state(self, hard_state):
        super().write_hard_state(hard_state)
        self._wait()
        self._wait()

    def write_entries(self, entries):
        super().write_entries(entries)
        self._is_dirty = True

    def sync(self):
        if self._is_dirty:
            self._wait()
            self._is_dirty = False
        super().sync()

    def _wait(self):
        time.sleep(self.sync_s)
        self.may_continue.wait()


class DiskGroup(test_replica.ReplicaGroup):
    """Group of replicas on the given storages."""

    async def start_all(self, storages_by_id):
        loop = asyncio.get_running_loop()
        self.storages_by_id = storages_by_id
        for instance_id, own_storage in storages_by_id.items():
            peers = tuple(i for i in storages_by_id if i != instance_id)
            own_core = core.Core(
                core.Settings(instance_id, peers, instance_id == "c0", TIMING),
                own_storage.load().unwrap(),
                random.Random(instance_id),
                loop.time(),
            )
            machine = test_replica.RecordingStateMachine()
            self.machines_by_id[instance_id] = machine
            self.replicas_by_id[instance_id] = replica.Replica(
                own_core,
                own_storage,
                lambda peer_id, message, own_id=instance_id: loop.call_soon(
                    self._deliver, own_id, peer_id, message
                ),
                machine,
                loop.time,
            )
        for member in self.replicas_by_id.values():
            await member.start()

    async def stop_all(self):
        for instance_id in list(self.replicas_by_id):
            await self.stop(instance_id)

    def followers(self):
        return [r for r in self.replicas_by_id.values() if not r.is_leader]


@pytest.fixture
async def make_group():
    groups = []

    async def make(storages_by_id):
        groups.append(DiskGroup(0))
        await groups[-1].start_all(storages_by_id)
        return groups[-1]

    yield make
    for each in groups:
        for own_storage in each.storages_by_id.values():
            if isinstance(own_storage, SlowStorage):
                own_storage.sync_s = 0.0
                own_storage.may_continue.set()
        await each.stop_all()


def make_slow_storages(sync_s, size=3):
    return {f"c{n}": SlowStorage(f"c{n}-first", sync_s) for n in range(size)}


# Guards against a control plane without a leader as long as each sync takes 0.1 s or
# more: no configuration was accepted in 60 s.
@pytest.mark.parametrize("sync_s", [0.1, 0.3, 0.8])
async def test_replica_group_with_slow_syncs_elects_a_leader(make_group, sync_s):
    async with asyncio.timeout(CHANGE_LIMIT_S):
        group = await make_group(make_slow_storages(sync_s))
        await group.propose(b"a")
        await group.stop((await group.leader()).leader_id)
        await group.propose(b"b")


# Guards against heartbeats, answers and reads that wait for a disk.
async def test_replica_with_stalled_disk_answers_and_reads(make_group):
    async with asyncio.timeout(CHANGE_LIMIT_S):
        group = await make_group(make_slow_storages(0.0))
        await group.propose(b"a")
        leader = await group.leader()
        term = leader.core.term
        for own_storage in group.storages_by_id.values():
            own_storage.may_continue.clear()
        pending = asyncio.create_task(leader.propose(b"b"))
        for _ in range(5):
            await asyncio.sleep(TIMING.heartbeat_interval_s)
            assert (await leader.read_barrier()).is_ok()
        assert leader.is_leader and leader.core.term == term
        assert not pending.done()
        for own_storage in group.storages_by_id.values():
            own_storage.may_continue.set()
        assert (await pending).is_ok()


# Guards against a change that is acknowledged from one disk.
async def test_replica_leader_needs_a_quorum_of_disks(make_group):
    async with asyncio.timeout(CHANGE_LIMIT_S):
        group = await make_group(make_slow_storages(0.0))
        await group.propose(b"a")
        leader = await group.leader()
        await test_replica.wait_until(
            lambda: all(r.applied_index == 2 for r in group.replicas_by_id.values())
        )
        first, second = group.followers()
        storages = {
            r: group.storages_by_id[r.core.identity.split("-")[0]]
            for r in group.replicas_by_id.values()
        }
        storages[leader].may_continue.clear()
        storages[first].may_continue.clear()
        pending = asyncio.create_task(leader.propose(b"b"))
        await asyncio.sleep(0.5)
        assert not pending.done()
        storages[first].may_continue.set()
        assert (await pending).is_ok()


# Guards against a process that outlives its grace because of its disk.
async def test_replica_closes_while_its_disk_is_stalled(make_group):
    group = await make_group(make_slow_storages(0.0, size=1))
    (single,) = group.replicas_by_id.values()
    (own_storage,) = group.storages_by_id.values()
    own_storage.may_continue.clear()
    pending = asyncio.create_task(single.propose(b"a"))
    await asyncio.sleep(0.05)
    async with asyncio.timeout(CHANGE_LIMIT_S):
        await group.stop("c0")
    assert (await pending).is_err()


# Guards against a replica that takes none of its writes for durable any more, as a
# report of their duration has failed.
async def test_replica_commits_although_a_report_of_its_writes_fails(make_group):
    async with asyncio.timeout(CHANGE_LIMIT_S):
        group = await make_group(make_slow_storages(0.0, size=1))
        (single,) = group.replicas_by_id.values()
        failing = mock.Mock(side_effect=AssertionError("broken"))
        single._on_sync = failing
        outcomes = [await single.propose(b"a"), await single.propose(b"b")]
    assert all(outcome.is_ok() for outcome in outcomes)
    assert failing.called


# Guards against a replica that waits for ever, as its thread has ended without a word.
async def test_writer_reports_an_error_outside_its_storage():
    async with asyncio.timeout(CHANGE_LIMIT_S):
        reported = asyncio.get_running_loop().create_future()
        failing = writer.Writer(
            storage.MemoryStorage("c0-first"),
            mock.Mock(side_effect=MemoryError),
            mock.Mock(),
            reported.set_result,
            mock.Mock(),
        )
        failing.start()
        failing.write([effects.PersistHardState(effects.HardState(1, None))])
        assert isinstance(await reported, MemoryError)
        await failing.aclose()


class _LimitedFile(io.FileIO):
    def __init__(self, path, mode, disks):
        super().__init__(path, mode)
        self._folder, self._disks = path.parent, disks

    def write(self, data):
        if self._folder not in self._disks.full_folders:
            return super().write(data)
        half = len(data) // 2
        if half and not self._disks.has_torn:
            self._disks.has_torn = True
            return super().write(data[:half])
        self._disks.has_torn = False
        raise OSError(self._disks.error_number, "no space")


class Disks:
    """Disks that write half of the data, then report an error while they are full."""

    def __init__(self):
        self.full_folders = set()
        self.has_torn = False
        self.error_number = errno.ENOSPC

    def open(self, path, mode):
        return io.BufferedWriter(_LimitedFile(path, mode, self))


@pytest.fixture
def disks(monkeypatch):
    new_disks = Disks()
    for module in (files, segments):
        monkeypatch.setattr(module, "open", new_disks.open, raising=False)
    return new_disks


# Guards against a control instance that ends because its disk is full.
@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EDQUOT, errno.EFBIG])
async def test_replica_with_full_disk_goes_on(
    make_group, disks, tmp_path, error_number
):
    disks.error_number = error_number
    folder_by_id = {f"c{n}": tmp_path / f"c{n}" for n in range(3)}
    async with asyncio.timeout(CHANGE_LIMIT_S):
        group = await make_group(
            {
                instance_id: disk.DiskStorage(folder, lambda i=instance_id: f"{i}-1")
                for instance_id, folder in folder_by_id.items()
            }
        )
        commands = [b"before"]
        await group.propose(b"before")
        for instance_id, folder in folder_by_id.items():
            disks.full_folders = {folder}
            for number in range(5):
                commands.append(b"%s %d" % (instance_id.encode(), number))
                await group.propose(commands[-1])
                await asyncio.sleep(0.05)
            disks.full_folders = set()
            # The next disk is full while the others are a quorum with this one.
            await test_replica.wait_until(
                lambda: all(
                    r.core.durable_index == r.core.log.last_index
                    for r in group.replicas_by_id.values()
                )
            )
        await group.propose(b"after")
        for each in group.replicas_by_id.values():
            assert not each._stopped.done()
        await test_replica.wait_until(
            lambda: all(
                machine.commands == [*commands, b"after"]
                for machine in group.machines_by_id.values()
            )
        )
    await group.stop_all()
    for instance_id, folder in folder_by_id.items():
        reopened = disk.DiskStorage(folder, lambda: "unused")
        recovered = reopened.load().unwrap()
        reopened.close()
        assert recovered.identity == f"{instance_id}-1"
        found = [entry.payload for entry in recovered.entries]
        assert [c for c in found if c in commands] == commands


async def test_replica_with_full_disk_cannot_vote_until_there_is_space(
    make_group, disks, tmp_path
):
    async with asyncio.timeout(CHANGE_LIMIT_S):
        group = await make_group(
            {
                f"c{n}": disk.DiskStorage(tmp_path / f"c{n}", lambda n=n: f"c{n}-1")
                for n in range(3)
            }
        )
        await group.propose(b"a")
        leader_id = (await group.leader()).leader_id
        others = [i for i in group.replicas_by_id if i != leader_id]
        disks.full_folders = {tmp_path / i for i in others}
        await group.stop(leader_id)
        await asyncio.sleep(4 * TIMING.max_election_timeout_s)
        assert not any(r.is_leader for r in group.replicas_by_id.values())
        disks.full_folders = set()
        await group.propose(b"b")


# Guards against a start that ends with a traceback because its disk is full.
def test_disk_without_space_for_a_new_log_is_an_error(disks, tmp_path):
    disks.full_folders = {tmp_path}
    first = disk.DiskStorage(tmp_path, lambda: "first")
    error = first.load().unwrap_err()
    first.close()
    assert "(no space)" in str(error)
    disks.full_folders = set()
    second = disk.DiskStorage(tmp_path, lambda: "second")
    assert second.load().unwrap().identity == "second"
    second.close()
