"""Changes survive data loss; a restarted entry uses only the latest version."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
from typing import Any

import aiohttp
import pytest

from tests import declarations, operators, processes, register_history

pytestmark = pytest.mark.processes

MISSED_CHANGES = 200


async def make_changes(
    workload: operators.Workload, operator: operators.Operator, count: int
) -> None:
    """Make changes until `count` more are accepted."""
    goal = workload.accepted() + count
    while workload.accepted() < goal:
        read = await operator.read()
        if read is not None or not workload.accepted():
            await operator.change(0 if read is None else read.version)
        await asyncio.sleep(0)


async def members(cluster: processes.Cluster) -> dict[str, dict[str, Any]]:
    """Return the group members reported by the leader, by instance."""
    leader = await operators.leader(cluster)
    _, status = await cluster.get(leader.url + "/v1/status")
    return {member["instance_id"]: member for member in status["members"]}


async def lose_disk(cluster: processes.Cluster, process: processes.Process) -> None:
    """Kill the process and delete its data."""
    process.kill()
    await asyncio.to_thread(shutil.rmtree, process.folder / process.instance_id)


async def wait_until_voter(
    cluster: processes.Cluster, process: processes.Process, old_identity: str
) -> None:
    """Wait until the instance is a voter with a new identity."""

    async def is_voter() -> bool:
        member = (await members(cluster)).get(process.instance_id)
        return (
            member is not None
            and member["voter"]
            and member["identity"] != old_identity
        )

    await cluster.wait_until(f"{process.instance_id} votes", is_voter)


async def test_repeated_data_loss_keeps_accepted_changes(
    cluster: processes.Cluster,
) -> None:
    cluster.add_three_controls({})
    cluster.start()
    workload = operators.Workload(
        cluster, declarations.small(cluster.instances(), {"shop-1": 1})
    )
    operator = operators.Operator("op", workload, random.Random(3))
    await make_changes(workload, operator, 20)
    first = await operators.leader(cluster)
    old = (await members(cluster))[first.instance_id]["identity"]
    await lose_disk(cluster, first)
    await make_changes(workload, operator, 5)
    first.start()
    await wait_until_voter(cluster, first, old)
    second = await operators.leader(cluster)
    assert second is not first
    old = (await members(cluster))[second.instance_id]["identity"]
    await lose_disk(cluster, second)
    await make_changes(workload, operator, 5)
    second.start()
    await wait_until_voter(cluster, second, old)
    await make_changes(workload, operator, 5)
    records = await operators.records(cluster, workload.history)
    assert register_history.find_violations(workload.history, records) == []
    assert len(records) >= 35


async def test_restarted_entry_uses_only_the_latest_version(
    cluster: processes.Cluster,
) -> None:
    cluster.add({"control-1": "domain-1"}, {"entry-1": "domain-1"})
    cluster.start()
    entry = cluster.processes_by_id["entry-1"]
    workload = operators.Workload(
        cluster, declarations.small(cluster.instances(), {"shop-1": 1})
    )
    operator = operators.Operator("op", workload, random.Random(4))
    versions_seen: list[int] = []

    async def serves_lookups() -> bool:
        timeout = aiohttp.ClientTimeout(total=operators.ATTEMPT_TIMEOUT_S)
        url = entry.url + "/v1/entries?service=shop&client=192.0.2.1"
        status, payload = await cluster.get(url, timeout=timeout)
        if status == 200:
            versions_seen.append(payload["version"])
        return status == 200

    await make_changes(workload, operator, 1)
    await cluster.wait_until("the entry serves lookups", serves_lookups)
    entry.kill()
    await make_changes(workload, operator, MISSED_CHANGES)
    latest = await operator.read()
    assert latest is not None
    versions_seen.clear()
    entry.start()
    await cluster.wait_until("the entry serves lookups again", serves_lookups)
    with contextlib.suppress(aiohttp.ClientError):
        await serves_lookups()
    assert set(versions_seen) == {latest.version}
