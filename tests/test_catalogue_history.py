"""The catalogue keeps its promises while its processes are killed, frozen and cut."""

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
    """Let operators and readers work while open; yield one that stands by."""
    standby = operators.Operator("standby", workload, random.Random(seed))

    async def is_declared() -> bool:
        return (await standby.change(0)).outcome == "accepted"

    await workload.cluster.until("a first version is accepted", is_declared)
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
        workload.is_over = True
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


async def until_more(workload: operators.Workload) -> None:
    """Wait until some more changes are accepted."""
    goal = workload.accepted() + CHANGES_BETWEEN_FAULTS

    async def is_reached() -> bool:
        return workload.accepted() >= goal

    await workload.cluster.until("more changes are accepted", is_reached)


Fault = Callable[[operators.Workload, relay.Mesh], Awaitable[None]]


async def kill_leader(workload: operators.Workload, mesh: relay.Mesh) -> None:
    killed = await operators.leader(workload.cluster)
    killed.kill()
    await until_more(workload)
    killed.start()


async def freeze_leader(workload: operators.Workload, mesh: relay.Mesh) -> None:
    frozen = await operators.leader(workload.cluster)
    frozen.signal(signal.SIGSTOP)
    await until_more(workload)
    frozen.signal(signal.SIGCONT)


async def silence_leader(workload: operators.Workload, mesh: relay.Mesh) -> None:
    silent = await operators.leader(workload.cluster)
    for other in CONTROL_IDS:
        mesh.set_mode(silent.instance_id, other, relay.Mode.DROP)
    await until_more(workload)
    mesh.heal()


async def deafen_leader(workload: operators.Workload, mesh: relay.Mesh) -> None:
    deaf = await operators.leader(workload.cluster)
    for other in CONTROL_IDS:
        mesh.set_mode(other, deaf.instance_id, relay.Mode.STALL)
    await until_more(workload)
    mesh.heal()


@pytest.mark.parametrize(
    "faults",
    [(kill_leader, freeze_leader), (silence_leader, deafen_leader)],
    ids=["kill-freeze", "cut"],
)
async def test_history_is_that_of_one_register(
    cluster: processes.Cluster, mesh: relay.Mesh, faults: tuple[Fault, ...]
) -> None:
    cluster.add_three_controls({"entry-1": "domain-1"})
    await mesh.insert(cluster)
    cluster.start()
    declaration = declarations.small(cluster.instances(), {"shop-1": 1})
    workload = operators.Workload(cluster, declaration)
    async with running(workload, seed=20261204):
        for fault in faults:
            await until_more(workload)
            await fault(workload, mesh)
        await until_more(workload)
    history = workload.history
    records = await operators.records(cluster, history)
    assert register_history.faults(history, records) == []
    outcomes = [write.outcome for write in history.writes]
    assert outcomes.count("conflict") > 0
    assert outcomes.count("unknown") > 0
    trail = str(cluster.folder / "audit.jsonl")
    exported = await cluster.command("audit", "export", trail)
    assert exported.returncode == 0, exported.stderr.decode()
    verified = await cluster.command("audit", "verify", trail, "--allow-unsigned")
    assert verified.returncode == 0, verified.stderr.decode()
