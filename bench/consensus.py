"""Measures the replicated log with three replicas in one process and fsync enabled.

Run with: python -m bench.consensus [--data-dir DIR] [--changes N] [--takeovers N]
"""

from __future__ import annotations

import argparse
import asyncio
import functools
import os
import pathlib
import random
import statistics
import tempfile
import time
from collections.abc import Iterator

from yuccapitch.consensus import core, disk, replica
from yuccapitch.protocol import consensus_messages as messages

REPLICAS = 3
COMMAND_BYTES = 500
WARM_UP_CHANGES = 50
CONCURRENT_CALLERS = (1, 16, 128)
RECOVERY_CHANGES = 10_000


class KeyValueState:
    """A state machine that keeps the last command of each of 1,000 keys."""

    def __init__(self) -> None:
        """Initialize an empty state."""
        self._commands_by_key: dict[int, bytes] = {}

    def apply(self, index: int, command: bytes) -> object:
        """Store a command under its key."""
        self._commands_by_key[index % 1000] = command
        return index

    def snapshot(self) -> bytes:
        """Return all commands."""
        return b"".join(self._commands_by_key.values())

    def restore(self, data: bytes) -> None:
        """Replace all commands."""
        chunks = range(0, len(data), COMMAND_BYTES)
        self._commands_by_key = {
            n: data[start : start + COMMAND_BYTES] for n, start in enumerate(chunks)
        }


class ReplicaGroup:
    """Replicas in one process that exchange messages through the event loop."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Set the folder below which each replica has its own."""
        self._folder = folder
        self._replicas_by_id: dict[str, replica.Replica] = {}
        self._instance_ids = [f"control-{n}" for n in range(REPLICAS)]

    async def start(self) -> None:
        """Start all replicas and wait for a leader."""
        for instance_id in self._instance_ids:
            await self._start_replica(instance_id)
        while not any(r.is_leader for r in self._replicas_by_id.values()):
            await asyncio.sleep(0.01)

    @property
    def leader(self) -> replica.Replica:
        """The replica that is the leader."""
        return next(r for r in self._replicas_by_id.values() if r.is_leader)

    async def aclose(self) -> None:
        """Stop all replicas."""
        for each in self._replicas_by_id.values():
            await each.aclose()

    async def replace_leader(self) -> float:
        """Stop the leader; return the seconds until another holds the leader lease."""
        instance_id = next(i for i, r in self._replicas_by_id.items() if r.is_leader)
        stopped = self._replicas_by_id.pop(instance_id)
        started_s = time.perf_counter()
        await stopped.aclose()
        while not any(
            r.leader_lease_expires_at > float("-inf")
            for r in self._replicas_by_id.values()
        ):
            await asyncio.sleep(0.01)
        duration_s = time.perf_counter() - started_s
        await self._start_replica(instance_id)
        return duration_s

    async def _start_replica(self, instance_id: str) -> None:
        loop = asyncio.get_running_loop()
        storage = disk.DiskStorage(self._folder / instance_id, lambda: instance_id)
        peers = tuple(i for i in self._instance_ids if i != instance_id)
        replica_core = core.Core(
            core.Settings(instance_id, peers, instance_id == self._instance_ids[0]),
            storage.load().unwrap(),
            random.Random(instance_id),
            loop.time(),
        )

        def send(peer_id: str, message: messages.Message) -> None:
            loop.call_soon(self._deliver, instance_id, peer_id, message)

        self._replicas_by_id[instance_id] = replica.Replica(
            replica_core, storage, send, KeyValueState(), loop.time
        )
        await self._replicas_by_id[instance_id].start()

    def _deliver(self, sender_id: str, peer_id: str, message: messages.Message) -> None:
        if peer_id in self._replicas_by_id:
            self._replicas_by_id[peer_id].receive(sender_id, message)


async def measure_proposals(folder: pathlib.Path, changes: int) -> None:
    """Print latency and throughput for several numbers of concurrent callers."""
    group = ReplicaGroup(folder)
    await group.start()
    await _propose_all(group.leader, WARM_UP_CHANGES, callers=1)
    print("callers  changes/s  p50 ms  p99 ms  p99/p50  fsync share of one change")
    fsync_ms = _measure_fsync_ms(folder)
    for callers in CONCURRENT_CALLERS:
        started_s = time.perf_counter()
        latencies_ms = await _propose_all(group.leader, changes, callers)
        rate = changes / (time.perf_counter() - started_s)
        p50 = statistics.median(latencies_ms)
        p99 = statistics.quantiles(latencies_ms, n=100)[98]
        # The leader and then the followers sync one after another on this event loop.
        sync_fraction = REPLICAS * fsync_ms / p50
        print(
            f"{callers:7}  {rate:9.0f}  {p50:6.2f}  {p99:6.2f}  {p99 / p50:7.1f}"
            f"  {sync_fraction:.2f}"
        )
    print(f"one append and fdatasync alone: {fsync_ms:.3f} ms (median)")
    await group.aclose()


async def measure_recovery(folder: pathlib.Path) -> None:
    """Print how long one replica takes to recover 10,000 changes."""
    group = ReplicaGroup(folder)
    await group.start()
    await _propose_all(group.leader, RECOVERY_CHANGES - WARM_UP_CHANGES, callers=128)
    await group.aclose()
    _print_recovery(folder / "control-0", "from the log alone")
    group = ReplicaGroup(folder)
    await group.start()
    await _propose_all(group.leader, 2 * WARM_UP_CHANGES, callers=1)
    await group.aclose()
    _print_recovery(folder / "control-0", "from a snapshot and the log after it")


async def measure_takeover(folder: pathlib.Path, takeovers: int) -> None:
    """Print how long the group has no confirmed leader after the leader stops."""
    group = ReplicaGroup(folder)
    await group.start()
    durations_s = []
    for _ in range(takeovers):
        await asyncio.sleep(0.5)
        durations_s.append(await group.replace_leader())
    await group.aclose()
    median_s, longest_s = statistics.median(durations_s), max(durations_s)
    print(f"takeovers: {takeovers}, p50 {median_s:.2f} s, longest {longest_s:.2f} s")


async def _propose_all(
    leader: replica.Replica, changes: int, callers: int
) -> list[float]:
    latencies_ms: list[float] = []

    async def call(numbers: Iterator[int]) -> None:
        for _ in numbers:
            started_s = time.perf_counter()
            (await leader.propose(bytes(COMMAND_BYTES))).unwrap()
            latencies_ms.append(1000 * (time.perf_counter() - started_s))

    numbers = iter(range(changes))
    await asyncio.gather(*(call(numbers) for _ in range(callers)))
    return latencies_ms


def _measure_fsync_ms(folder: pathlib.Path) -> float:
    durations_ms = []
    with open(folder / "probe", "ab") as file:
        for _ in range(200):
            started_s = time.perf_counter()
            file.write(bytes(COMMAND_BYTES))
            file.flush()
            os.fdatasync(file.fileno())
            durations_ms.append(1000 * (time.perf_counter() - started_s))
    return statistics.median(durations_ms)


def _print_recovery(folder: pathlib.Path, label: str) -> None:
    started_s = time.perf_counter()
    storage = disk.DiskStorage(folder, lambda: "unused")
    recovered = storage.load().unwrap()
    core.Core(
        core.Settings(folder.name, (), False), recovered, random.Random(0), started_s
    )
    duration_ms = 1000 * (time.perf_counter() - started_s)
    storage.close()
    count = len(recovered.entries)
    print(f"recovery {label}: {duration_ms:.0f} ms, {count} entries read")


def main() -> None:
    """Run each measurement in a new temporary folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--data-dir", default=None, help="folder on the disk to measure"
    )
    parser.add_argument("--changes", type=int, default=2000)
    parser.add_argument("--takeovers", type=int, default=10)
    options = parser.parse_args()
    for measure in (
        functools.partial(measure_proposals, changes=options.changes),
        measure_recovery,
        functools.partial(measure_takeover, takeovers=options.takeovers),
    ):
        with tempfile.TemporaryDirectory(dir=options.data_dir) as name:
            asyncio.run(measure(pathlib.Path(name)))


if __name__ == "__main__":
    main()
