"""Leases of entries expire before a newer version is reported to be in force."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from tests import (
    declarations,
    in_force_history,
    operators,
    processes,
    register_history,
)
from tests.fakes import relay

pytestmark = pytest.mark.processes

POLL_S = 0.05
ISOLATED_LEADER_POLLS = 20


class Observer:
    """Polls the versions that entries use and that are reported to be in force."""

    def __init__(self, cluster: processes.Cluster) -> None:
        self._cluster = cluster
        self.in_force: list[in_force_history.InForceReport] = []
        self.responses: list[in_force_history.EntryResponse] = []

    @contextlib.asynccontextmanager
    async def watching(self) -> AsyncIterator[None]:
        """Poll every process in this context."""
        tasks = [
            asyncio.create_task(self._watch_control(process))
            for process in self._cluster.of_role("control")
        ]
        tasks += [
            asyncio.create_task(self._watch_entry(process))
            for process in self._cluster.of_role("entry")
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_until_in_force(self, version: int) -> None:
        """Wait until the version is reported to be in force everywhere."""

        async def is_reported() -> bool:
            return any(report.version >= version for report in self.in_force)

        await self._cluster.wait_until(f"version {version} is in force", is_reported)

    async def wait_until_used(self, entry: str, version: int) -> None:
        """Wait until the entry uses the version or a newer one."""

        async def uses_version() -> bool:
            return any(
                a.entry == entry and a.version >= version for a in self.responses
            )

        await self._cluster.wait_until(f"{entry} uses version {version}", uses_version)

    async def _watch_control(self, process: processes.Process) -> None:
        while True:
            payload = await get_json(self._cluster, process, "/v1/status")
            in_force = (payload or {}).get("in_force")
            if in_force and in_force["everywhere"]:
                report = in_force_history.InForceReport(
                    in_force["version"], time.monotonic()
                )
                self.in_force.append(report)
            await asyncio.sleep(POLL_S)

    async def _watch_entry(self, process: processes.Process) -> None:
        while True:
            started_at = time.monotonic()
            path = "/v1/entries?service=shop&client=192.0.2.1"
            payload = await get_json(self._cluster, process, path)
            if payload is not None:
                version = payload["version"]
                self.responses.append(
                    in_force_history.EntryResponse(
                        process.instance_id, version, started_at
                    )
                )
            await asyncio.sleep(POLL_S)


async def get_json(
    cluster: processes.Cluster, process: processes.Process, path: str
) -> Any:
    """Return the body of a response with status 200, else None."""
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        timeout = aiohttp.ClientTimeout(total=operators.ATTEMPT_TIMEOUT_S)
        status, payload = await cluster.get(process.url + path, timeout=timeout)
        return payload if status == 200 else None
    return None


async def submit_until_accepted(
    workload: operators.Workload, operator: operators.Operator
) -> register_history.Write:
    """Submit changes until one is accepted; return it."""
    while True:
        read = await operator.read()
        if read is not None:
            write = await operator.change(read.version)
            if write.outcome == "accepted":
                return write
        await asyncio.sleep(POLL_S)


async def test_leases_of_a_partitioned_leader_expire(
    cluster: processes.Cluster, mesh: relay.Mesh
) -> None:
    cluster.add_three_controls({"entry-1": "domain-1", "entry-2": "domain-2"})
    await mesh.insert(cluster)
    cluster.start()
    workload = operators.Workload(
        cluster, declarations.small(cluster.instances(), {"shop-1": 1})
    )
    operator = operators.Operator("op", workload, random.Random(1))
    observer = Observer(cluster)

    async def is_declared() -> bool:
        return (await operator.change(0)).outcome == "accepted"

    async with observer.watching():
        await cluster.wait_until("a first version is accepted", is_declared)
        await observer.wait_until_in_force(1)
        await observer.wait_until_used("entry-1", 1)
        isolated = await operators.leader(cluster)
        others = [
            p.instance_id for p in cluster.of_role("control") if p is not isolated
        ]
        mesh.partition(isolated.instance_id, others, relay.Mode.DROP)
        # The entry can reach only the partitioned leader.
        mesh.partition("entry-1", others, relay.Mode.DROP)
        write = await submit_until_accepted(workload, operator)
        await observer.wait_until_in_force(write.version)
        for _ in range(ISOLATED_LEADER_POLLS):
            assert await get_json(cluster, isolated, "/v1/catalogue") is None
            status = await get_json(cluster, isolated, "/v1/status")
            assert status is not None and status["in_force"] is None
            ready, _ = await cluster.get(
                cluster.processes_by_id["entry-1"].url + "/readyz"
            )
            assert ready == 503
            await asyncio.sleep(POLL_S)
        mesh.heal()
        await observer.wait_until_used("entry-1", write.version)
    assert in_force_history.find_violations(observer.in_force, observer.responses) == []
    records = await operators.records(cluster, workload.history)
    assert register_history.find_violations(workload.history, records) == []


async def test_leases_hold_while_entries_are_suspended_and_leaders_change(
    cluster: processes.Cluster,
) -> None:
    cluster.add_three_controls({"entry-1": "domain-1", "entry-2": "domain-2"})
    cluster.start()
    workload = operators.Workload(
        cluster, declarations.small(cluster.instances(), {"shop-1": 1})
    )
    operator = operators.Operator("op", workload, random.Random(2))
    observer = Observer(cluster)
    suspended = cluster.processes_by_id["entry-1"]

    async def is_declared() -> bool:
        return (await operator.change(0)).outcome == "accepted"

    async with observer.watching():
        await cluster.wait_until("a first version is accepted", is_declared)
        await observer.wait_until_used("entry-1", 1)
        suspended.signal(signal.SIGSTOP)
        write = await submit_until_accepted(workload, operator)
        await observer.wait_until_in_force(write.version)
        killed = await operators.leader(cluster)
        killed.kill()
        write = await submit_until_accepted(workload, operator)
        suspended.signal(signal.SIGCONT)
        killed.start()
        for _ in range(10):
            write = await submit_until_accepted(workload, operator)
            await observer.wait_until_in_force(write.version)
        await observer.wait_until_used("entry-1", write.version)
    assert in_force_history.find_violations(observer.in_force, observer.responses) == []
