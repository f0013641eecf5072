"""Deployments of real processes on the loopback interface, and their measurements."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import dataclasses
import os
import pathlib
import re
import tempfile
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from tests import declarations, processes

START_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.01
_BYTES_PATTERN = re.compile(r'yuccapitch_inner_link_bytes\{direction="(\w+)"\} (\S+)')
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True)
class ProcessUsage:
    """Resources that one process has used since its start."""

    cpu_s: float
    memory_bytes: int
    sent_bytes: float
    received_bytes: float


@contextlib.asynccontextmanager
async def run_cluster(
    controls: int, entries: int, data_dir: pathlib.Path | None
) -> AsyncIterator[processes.Cluster]:
    """Run control and entry processes for the duration of the context."""
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory(dir=data_dir))
        timeout = aiohttp.ClientTimeout(total=5)
        connector = aiohttp.TCPConnector(force_close=True)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout, connector=connector)
        )
        cluster = processes.Cluster(pathlib.Path(folder), session)
        stack.callback(cluster.close)
        cluster.add(
            {f"control-{n}": f"domain-{1 + n % 2}" for n in range(controls)},
            {f"entry-{n}": f"domain-{1 + n % 2}" for n in range(entries)},
        )
        cluster.start()
        yield cluster


class Operator:
    """A client that submits changes sequentially to the leader."""

    def __init__(self, cluster: processes.Cluster) -> None:
        self.cluster = cluster
        self.version = 0
        self.declaration = declarations.small(cluster.instances(), {"shop-1": 1})
        self._url = ""
        self._prefix = f"{time.time_ns()}"

    async def find_leader(self) -> processes.Process:
        """Wait until a control instance serves reads and send later changes to it."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            for process in self.cluster.of_role("control"):
                with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                    url = process.url + "/v1/catalogue/versions?limit=1"
                    status, _ = await self.cluster.get(url)
                    if status == 200:
                        self._url = process.url
                        return process
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError("no control instance became leader")

    async def change(self) -> float:
        """Submit a change; return the seconds until it is accepted."""
        changed = copy.deepcopy(self.declaration)
        changed["endpoints"]["shop-1"]["connections"] = 100 + self.version
        body = {
            "change_id": f"{self._prefix}-{self.version}",
            "base_version": self.version,
            "declaration": changed,
            "owner": "north",
        }
        started_at = time.perf_counter()
        async with self.cluster.session.post(
            self._url + "/v1/catalogue/changes", json=body
        ) as response:
            result = await response.json()
        duration_s = time.perf_counter() - started_at
        self.version = int(result["outcome"]["version"])
        return duration_s

    async def wait_until_in_force(self) -> float:
        """Return the seconds until the version is reported in force everywhere."""
        started_at = time.perf_counter()
        while time.perf_counter() - started_at < START_TIMEOUT_S:
            for process in self.cluster.of_role("control"):
                if process.popen is None or process.popen.poll() is not None:
                    continue
                result = await self._status(process)
                if result.get("in_force") and result["in_force"]["everywhere"]:
                    return time.perf_counter() - started_at
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"version {self.version} is not in force")

    async def _status(self, process: processes.Process) -> dict[str, Any]:
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            url = f"{process.url}/v1/status?version={self.version}"
            status, result = await self.cluster.get(url)
            return dict(result) if status == 200 else {}
        return {}


async def wait_until_entries_serve(cluster: processes.Cluster, version: int) -> None:
    """Wait until every entry instance answers look-ups from the version."""
    for process in cluster.of_role("entry"):
        await wait_until_entry_serves(cluster, process, version)


async def wait_until_entry_serves(
    cluster: processes.Cluster, process: processes.Process, version: int
) -> None:
    """Wait until an entry instance answers look-ups from the version."""
    url = process.url + "/v1/entries?service=shop&client=192.0.2.1"
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            status, result = await cluster.get(url)
            if status == 200 and result["version"] >= version:
                return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{process.instance_id} does not serve version {version}")


async def usage(cluster: processes.Cluster, process: processes.Process) -> ProcessUsage:
    """Return the resources that the process has used."""
    assert process.popen is not None
    folder = pathlib.Path(f"/proc/{process.popen.pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    memory_bytes = int((folder / "statm").read_text().split()[1]) * _PAGE_BYTES
    _, page = await cluster.get(process.url + "/metrics")
    byte_counts = {
        direction: float(count) for direction, count in _BYTES_PATTERN.findall(page)
    }
    return ProcessUsage(
        cpu_s, memory_bytes, byte_counts["sent"], byte_counts["received"]
    )
