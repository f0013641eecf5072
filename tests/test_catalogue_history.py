"""The catalogue stays linearizable under kills, suspension and partitions."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from tests import declarations, operators, processes, register_history
from tests.fakes import relay

pytestmark = pytest.mark.processes

CONTROL_IDS = ("control-1", "control-2", "control-3")
CHANGES_BETWEEN_FAULTS = 5


@contextlib.asynccontextmanager
async def running(
    workload: operators.Workload, seed: int
) -> AsyncIterator[operators.Operator]:
    """Run operators and readers in this context; yield an idle operator."""
    standby = operators.Operator("standby", workload, random.Random(seed))

    async def is_declared() -> bool:
        return (await standby.change(0)).outcome == "accepted"

    await workload.cluster.wait_until("a first version is accepted", is_declared)
    tasks = [
        asyncio.create_task(
            operators.Operator(f"op-{n}", workload, random.Random(seed + n)).run()
        )
        for n in (1, 2, 3, 4)
    ]
    tasks += [
        asyncio.create_task(
            operators.Operator(f"reader-{n}", workload, random.Random(n)).run_reads()
        )
        for n in (1, 2)
    ]
    try:
        yield standby
        workload.is_stopped = True
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


async def wait_for_changes(workload: operators.Workload) -> None:
    """Wait until CHANGES_BETWEEN_FAULTS more changes are accepted."""
    goal = workload.accepted() + CHANGES_BETWEEN_FAULTS

    async def is_reached() -> bool:
        return workload.accepted() >= goal

    await workload.cluster.wait_until("more changes are accepted", is_reached)


Fault = Callable[[operators.Workload, relay.Mesh], Awaitable[None]]


async def kill_leader(workload: operators.Workload, mesh: relay.Mesh) -> None:
    killed = await operators.leader(workload.cluster)
    killed.kill()
    await wait_for_changes(workload)
    killed.start()


async def suspend_leader(workload: operators.Workload, mesh: relay.Mesh) -> None:
    suspended = await operators.leader(workload.cluster)
    suspended.signal(signal.SIGSTOP)
    await wait_for_changes(workload)
    suspended.signal(signal.SIGCONT)


async def block_leader_outbound(workload: operators.Workload, mesh: relay.Mesh) -> None:
    muted_leader = await operators.leader(workload.cluster)
    for other in CONTROL_IDS:
        mesh.set_mode(muted_leader.instance_id, other, relay.Mode.DROP)
    await wait_for_changes(workload)
    mesh.heal()


async def block_leader_inbound(workload: operators.Workload, mesh: relay.Mesh) -> None:
    unreachable_leader = await operators.leader(workload.cluster)
    for other in CONTROL_IDS:
        mesh.set_mode(other, unreachable_leader.instance_id, relay.Mode.STALL)
    await wait_for_changes(workload)
    mesh.heal()


@pytest.mark.parametrize(
    "faults",
    [(kill_leader, suspend_leader), (block_leader_outbound, block_leader_inbound)],
    ids=["kill-freeze", "cut"],
)
async def test_catalogue_history_is_linearizable(
    cluster: processes.Cluster, mesh: relay.Mesh, faults: tuple[Fault, ...]
) -> None:
    cluster.add_three_controls({"entry-1": "domain-1"})
    await mesh.insert(cluster)
    cluster.start()
    declaration = declarations.small(cluster.instances(), {"shop-1": 1})
    workload = operators.Workload(cluster, declaration)
    async with running(workload, seed=20261204):
        for fault in faults:
            await wait_for_changes(workload)
            await fault(workload, mesh)
        await wait_for_changes(workload)
    history = workload.history
    records = await operators.records(cluster, history)
    assert register_history.find_violations(history, records) == []
    outcomes = [write.outcome for write in history.writes]
    assert outcomes.count("conflict") > 0
    assert outcomes.count("unknown") > 0
    trail = str(cluster.folder / "audit.jsonl")
    exported = await cluster.run_cli("audit", "export", trail)
    assert exported.returncode == 0, exported.stderr.decode()
    verified = await cluster.run_cli("audit", "verify", trail, "--allow-unsigned")
    assert verified.returncode == 0, verified.stderr.decode()
