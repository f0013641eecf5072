"""Operators that change the catalogue over HTTP and record a history."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import dataclasses
import itertools
import random
import time
from typing import Any

import aiohttp

from tests import processes, register_history

ATTEMPT_TIMEOUT_S = 1.0
PAUSE_S = 0.02
MISDIRECTED_REQUEST = 421


def with_connections(declaration: dict[str, Any], value: int) -> dict[str, Any]:
    """Return the declaration with a connection count that identifies the change."""
    changed = copy.deepcopy(declaration)
    changed["endpoints"]["shop-1"]["connections"] = value
    return changed


@dataclasses.dataclass
class Workload:
    """The state that the operators of one history share."""

    cluster: processes.Cluster
    declaration: dict[str, Any]
    history: register_history.History = dataclasses.field(
        default_factory=register_history.History
    )
    values: itertools.count[int] = dataclasses.field(
        default_factory=lambda: itertools.count(100)
    )
    is_stopped: bool = False

    def body(self, write: register_history.Write) -> dict[str, Any]:
        """Return the request body of a write."""
        return {
            "change_id": write.change_id,
            "base_version": write.base_version,
            "declaration": with_connections(self.declaration, write.value),
            "owner": "north",
        }

    def accepted(self) -> int:
        """Return the number of changes known to be accepted."""
        writes = self.history.writes
        return len({w.change_id for w in writes if w.outcome == "accepted"})


class Operator:
    """Sends changes sequentially and retries each until its outcome is known."""

    def __init__(self, name: str, workload: Workload, rng: random.Random) -> None:
        self.name = name
        self._workload = workload
        self._rng = rng
        self._count = 0
        self._url = self._any_url()
        self._completed: list[register_history.Write] = []

    async def run(self) -> None:
        """Change the catalogue until the workload stops."""
        while not self._workload.is_stopped:
            read = await self.read()
            if read is not None:
                await self.change(read.version)
            await asyncio.sleep(PAUSE_S * self._rng.random())

    async def run_reads(self) -> None:
        """Read from random instances until the workload stops."""
        while not self._workload.is_stopped:
            self._url = self._any_url()
            await self.read()
            await asyncio.sleep(PAUSE_S)

    async def change(self, base_version: int) -> register_history.Write:
        """Send a change and retry on any instance until its outcome is known."""
        self._count += 1
        change_id = f"{self.name}-{self._count}"
        value = next(self._workload.values)
        while True:
            write = await self.send(
                register_history.Write(change_id, base_version, value, time.monotonic())
            )
            if write.outcome != "unknown":
                break
            await asyncio.sleep(PAUSE_S)
        self._completed.append(write)
        # Sometimes resend a completed change, which must get its first outcome again.
        if self._rng.random() < 0.3:
            earlier = self._rng.choice(self._completed)
            await self.send(dataclasses.replace(earlier, started_at=time.monotonic()))
        return write

    async def send(self, write: register_history.Write) -> register_history.Write:
        """Send a change once; a random short timeout loses some of the responses."""
        write.outcome, write.ended_at = "unknown", register_history.NEVER
        self._workload.history.writes.append(write)
        has_full_timeout = self._rng.random() < 0.7
        timeout_s = ATTEMPT_TIMEOUT_S if has_full_timeout else 0.02 * self._rng.random()
        payload = await self._request(
            "POST", "/v1/catalogue/changes", timeout_s, json=self._workload.body(write)
        )
        if payload is not None and "outcome" in payload:
            outcome = payload["outcome"]
            write.outcome = outcome["outcome"]
            write.version = outcome.get("version", outcome.get("current_version", 0))
            write.winner = outcome.get("winning_change_id")
            write.ended_at = time.monotonic()
        return write

    async def read(self) -> register_history.Read | None:
        """Read the current version once."""
        started_at = time.monotonic()
        payload = await self._request("GET", "/v1/catalogue", ATTEMPT_TIMEOUT_S)
        if payload is None or payload.get("declaration") is None:
            return None
        read = register_history.Read(
            self.name,
            payload["version"],
            payload["declaration"]["endpoints"]["shop-1"]["connections"],
            started_at,
            time.monotonic(),
        )
        self._workload.history.reads.append(read)
        return read

    async def _request(
        self, method: str, path: str, timeout_s: float, **options: Any
    ) -> dict[str, Any] | None:
        """Return the body of a response, and follow its redirect to the leader."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._workload.cluster.session.request(
                method, self._url + path, timeout=timeout, **options
            ) as response:
                payload: dict[str, Any] = await response.json()
                if response.status in (200, 409, 422):
                    return payload
                if response.status == MISDIRECTED_REQUEST:
                    self._url = payload["leader"]
                    return None
        self._url = self._any_url()
        return None

    def _any_url(self) -> str:
        controls = self._workload.cluster.of_role("control")
        return self._rng.choice(controls).url


async def records(
    cluster: processes.Cluster, history: register_history.History
) -> dict[int, register_history.Record]:
    """Return the records of all versions as the current leader lists them."""
    values_by_change = {write.change_id: write.value for write in history.writes}
    found: dict[int, register_history.Record] = {}

    async def is_answered() -> bool:
        for process in cluster.of_role("control"):
            url = process.url + "/v1/catalogue/versions?limit=10000"
            status, payload = await cluster.get(url)
            if status == 200:
                for version in payload["versions"]:
                    change_id = version["change_id"]
                    found[version["version"]] = register_history.Record(
                        change_id, values_by_change[change_id]
                    )
                return True
        return False

    await cluster.wait_until("a leader lists the versions", is_answered)
    return found


async def leader(cluster: processes.Cluster) -> processes.Process:
    """Return the instance that serves reads as the leader."""
    found: list[processes.Process] = []

    async def is_found() -> bool:
        for process in cluster.of_role("control"):
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
                url = process.url + "/v1/catalogue/versions?limit=1"
                status, _ = await cluster.get(url, timeout=timeout)
                if status == 200:
                    found.append(process)
                    return True
        return False

    await cluster.wait_until("an instance leads", is_found)
    return found[0]
