"""A yuccapitchd that ends by its own decision answers what it has taken."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import re
import signal
from typing import Any

import aiohttp
import pytest

from tests import declarations, processes, single_process
from tests.fakes import endpoint as fake_endpoint

pytestmark = pytest.mark.processes

WAIT_S = 60.0
WORK_S = 1.5
"""Time that an endpoint takes for a request: shorter than its deadline."""
BODY = b"12345678"
# A task of the entry role ends with an error once the process gets the signal.
FAILING_TASK = """
import asyncio, signal
from yuccapitch.node import entry_role

async def fail_on_signal(self):
    failing = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, failing.set)
    await failing.wait()
    raise AssertionError("injected")

entry_role.EntryRole._send_load_reports = fail_on_signal
"""
FAILING_MONITOR = """
from yuccapitch.node import loop_monitor

async def fail():
    raise AssertionError("injected")

loop_monitor.run = fail
"""
FAILING_DRAIN = """
from yuccapitch.node import entry_role

async def fail(self):
    raise AssertionError("injected")

entry_role.EntryRole.drain = fail
"""
# Once the process gets the signal, syncs fail with EIO, after which the contents of the
# disk are unknown.
FAILING_DISK = """
import errno, os, signal

def fail_sync(descriptor):
    raise OSError(errno.EIO, "injected")

def fail_syncs(number, frame):
    os.fsync = os.fdatasync = fail_sync

signal.signal(signal.SIGUSR2, fail_syncs)
"""
FAILING_CALLBACK = """
import asyncio, signal
from yuccapitch.node import entry_role

start = entry_role.start

def fail():
    raise AssertionError("injected")

async def start_failing(*arguments):
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, fail)
    return await start(*arguments)

entry_role.start = start_failing
"""


class Client:
    """A connection that is kept open, with one or more requests on it."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    def send(
        self, method: str, path: str, headers: str = "", body: bytes = b""
    ) -> None:
        """Send a request, or its start."""
        head = f"{method} {path} HTTP/1.1\r\nHost: h\r\n{headers}\r\n"
        self._writer.write(head.encode() + body)

    def send_body(self, body: bytes) -> None:
        """Send a further part of a body."""
        self._writer.write(body)

    async def read_status(self) -> int:
        """Read a whole response and return its status."""
        async with asyncio.timeout(WAIT_S):
            head = await self._reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"\r\ncontent-length: *(\d+)", head.lower())
            assert length is not None, head
            await self._reader.readexactly(int(length[1]))
        return int(head.split()[1])

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def connect(
    deployment: single_process.Deployment, stack: contextlib.AsyncExitStack
) -> Client:
    client = Client(*await deployment.connect())
    stack.callback(client.close)
    return client


def logged(deployment: single_process.Deployment, event: str) -> list[str]:
    """Return the lines of an event."""
    lines = deployment.process.log_path.read_text().splitlines()
    return [line for line in lines if f" event={event} " in line]


def make_endpoints_slow(deployment: single_process.Deployment) -> None:
    for endpoint in deployment.fake_endpoints:
        endpoint.set_behaviour(mean_s=WORK_S)


async def wait_for_work(deployment: single_process.Deployment, count: int) -> None:
    """Wait until the endpoints work on a number of requests."""
    await deployment.wait_until(
        f"{count} requests were passed on",
        lambda: sum(e.in_flight for e in deployment.fake_endpoints) >= count,
    )


def fail_disk(process: processes.Process) -> None:
    """Make each further sync fail; the process runs ``FAILING_DISK`` first."""
    process.signal(signal.SIGUSR2)


async def post_change(
    process: processes.Process,
    session: aiohttp.ClientSession,
    declaration: dict[str, Any],
    change_id: str,
) -> tuple[int, str]:
    """Order a declaration; return the status and code of the error."""
    change = {
        "change_id": change_id,
        "base_version": 1,
        "declaration": declaration,
        "owner": "north",
    }
    url = process.url + "/v1/catalogue/changes"
    async with session.post(url, json=change) as response:
        return response.status, (await response.json())["error"]


# Guards against an instance that ends by itself and cuts requests that it has read or
# passed on, or that the kernel holds for it.
@pytest.mark.parametrize(
    "later_signal", [None, signal.SIGTERM], ids=["alone", "stopped-meanwhile"]
)
async def test_daemon_that_ends_by_itself_answers_what_it_has_taken(
    tmp_path: pathlib.Path, later_signal: signal.Signals | None
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(
            single_process.running(tmp_path, prelude=FAILING_TASK)
        )
        pipelined, upload, idle, waiting = [
            await connect(deployment, stack) for _ in range(4)
        ]
        idle.send("GET", "/s/shop/0")
        assert await idle.read_status() == 200
        make_endpoints_slow(deployment)
        pipelined.send("GET", "/s/shop/1")
        pipelined.send("GET", "/s/shop/2")
        headers = (
            f"Idempotency-Key: {deployment.key()}\r\nContent-Length: {len(BODY)}\r\n"
        )
        upload.send("PUT", "/s/shop/uploads/1", headers, BODY[:4])
        await wait_for_work(deployment, 1)
        deployment.process.signal(signal.SIGSTOP)
        waiting.send("GET", "/s/shop/3")
        accepted_late = await connect(deployment, stack)
        accepted_late.send("GET", "/s/shop/4")
        deployment.process.signal(signal.SIGUSR1)
        deployment.process.signal(signal.SIGCONT)
        await deployment.wait_until(
            "the failure is logged",
            lambda: bool(logged(deployment, "process.task-failed")),
        )
        ready_url = deployment.process.url + "/readyz"
        status, reason = await deployment.cluster.get(ready_url)
        assert status == 503 and "injected" in reason
        if later_signal is not None:
            deployment.process.signal(later_signal)
        upload.send_body(BODY[4:])
        idle.send("GET", "/s/shop/5")
        statuses = [
            await pipelined.read_status(),
            await pipelined.read_status(),
            await upload.read_status(),
            await waiting.read_status(),
            await accepted_late.read_status(),
            await idle.read_status(),
        ]
        assert statuses == [200] * 6
        assert await deployment.process.wait(WAIT_S) == 1
        (failed,) = logged(deployment, "process.failed")
        assert "injected" in failed
        (drained,) = logged(deployment, "process.drained")
        assert drained.endswith("in_flight=0 cut_connections=0")


# Guards against a replica whose disk fails and that ends the entry role's requests.
async def test_daemon_whose_disk_fails_answers_what_it_has_taken(
    tmp_path: pathlib.Path,
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(
            single_process.running(tmp_path, prelude=FAILING_DISK)
        )
        make_endpoints_slow(deployment)
        clients = [await connect(deployment, stack) for _ in range(3)]
        for client in clients:
            client.send("GET", "/s/shop/1")
        await wait_for_work(deployment, 3)
        fail_disk(deployment.process)
        declaration = {**deployment.declaration, "regions": {"east": {"capacity": 99}}}
        undecided, refused = [
            await post_change(
                deployment.process, deployment.session, declaration, change_id
            )
            for change_id in ("change-1", "change-2")
        ]
        assert undecided == (503, "unknown-outcome")
        assert refused == (503, "unavailable")
        assert [await client.read_status() for client in clients] == [200] * 3
        assert await deployment.process.wait(WAIT_S) == 1


# Guards against instances that keep asking a failed leader for their leases while it
# answers what it has taken.
async def test_instances_keep_their_leases_while_a_failed_leader_ends(
    cluster: processes.Cluster,
) -> None:
    domains = {"both-1": "domain-1", "both-2": "domain-2", "both-3": "domain-1"}
    cluster.add(domains, {}, {"YUCCAPITCH_ROLE": "both"})
    for process in cluster.processes_by_id.values():
        process.script = FAILING_DISK + process.script
    cluster.start()
    async with fake_endpoint.running(fake_endpoint.FakeEndpoint()) as port:
        instances = cluster.instances()
        for instance in instances.values():
            instance["roles"] = ["control", "entry"]
        declaration = declarations.small(instances, {"shop-1": port})
        await cluster.apply(declaration)
        await cluster.wait_until_ready(*cluster.processes_by_id.values())
        _, status = await cluster.get(
            cluster.processes_by_id["both-1"].url + "/v1/status"
        )
        leader = cluster.processes_by_id.pop(status["leader"])
        try:
            fail_disk(leader)
            changed = {**declaration, "regions": {"east": {"capacity": 99}}}
            undecided = await post_change(leader, cluster.session, changed, "change-1")
            assert undecided == (503, "unknown-outcome")
            ending = asyncio.create_task(leader.wait(WAIT_S))
            while not ending.done():
                for process in cluster.processes_by_id.values():
                    # Every request gets a response.
                    await cluster.get(process.url + "/s/shop/")
            assert await ending == 1
        finally:
            leader.kill()
        for process in cluster.processes_by_id.values():
            assert "event=entry.lease-granted" in process.log_path.read_text()
            assert "event=entry.lease-lapsed" not in process.log_path.read_text()


# Guards against a report that ends an instance.
async def test_daemon_goes_on_without_its_loop_monitor(tmp_path: pathlib.Path) -> None:
    async with single_process.running(tmp_path, prelude=FAILING_MONITOR) as deployment:
        assert logged(deployment, "process.task-failed")
        assert deployment.is_up()
        deployment.process.signal(signal.SIGTERM)
        assert await deployment.process.wait(WAIT_S) == 0


# Guards against an error in one part of a stop that cuts what another part owes.
async def test_daemon_whose_drain_fails_answers_what_it_has_taken(
    tmp_path: pathlib.Path,
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(
            single_process.running(tmp_path, prelude=FAILING_DRAIN)
        )
        make_endpoints_slow(deployment)
        client = await connect(deployment, stack)
        client.send("GET", "/s/shop/1")
        await wait_for_work(deployment, 1)
        deployment.process.signal(signal.SIGTERM)
        assert await client.read_status() == 200
        assert await deployment.process.wait(WAIT_S) == 1
        assert logged(deployment, "process.stop-failed")


async def test_daemon_logs_an_error_in_a_callback_and_goes_on(
    tmp_path: pathlib.Path,
) -> None:
    async with single_process.running(tmp_path, prelude=FAILING_CALLBACK) as deployment:
        deployment.process.signal(signal.SIGUSR1)
        await deployment.wait_until(
            "the error is logged",
            lambda: bool(logged(deployment, "process.callback-failed")),
        )
        deployment.process.signal(signal.SIGTERM)
        assert await deployment.process.wait(WAIT_S) == 0
