"""Tests of instances that end by themselves, and of what must not end them."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import pathlib
import signal
import sys

import pytest

from tests import routed
from tests.platform import test_process as role_process
from tests.test_routed_group import configuration, put
from yuccapitch.control import coordinator
from yuccapitch.gateway.front import region_placer
from yuccapitch.node.routed import settings

CALLERS_PORT, READINESS_PORT = 8144, 8140
EXIT_FAILED = 1
# Longer than the interval at which the log reports dropped lines.
LONG_REQUEST_S = 7.0
STOP_GRACE_S = 6.0
SETTINGS = """
nodeId = "entry-1"
ip = "{host}"
zone = "north-a"
region = "north"
internalPortRange = [{inner},{inner}]
seeds = ["127.0.0.1:1"]
[zones]
north-a = "north"
[listen]
front = "{host}:8144"
readiness = "{host}:8140"
[bounds]
grace = "6s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
retryBudgetSlack = 62
ttl_max = "0.2s"
[cloudApi]
address = "{host}:1"
"""
# An entry instance whose background task fails once a file exists, and again each time
# that it is restarted if the file isn't empty.
FAILING_ENTRY = """
import os, runpy, sys
from yuccapitch.gateway.front import region_placer
check_waiting = region_placer.RegionPlacer.check_waiting
async def check(self):
    if os.path.exists({trigger!r}):
        if not os.path.getsize({trigger!r}):
            os.unlink({trigger!r})
        raise AssertionError("broken")
    await check_waiting(self)
region_placer.RegionPlacer.check_waiting = check
sys.argv = ["yuccapitch.platform", "entry"]
runpy.run_module("yuccapitch.platform", run_name="__main__")
"""


@pytest.fixture
async def group(tmp_path: pathlib.Path):
    created = routed.Group(tmp_path)
    yield created
    await created.aclose()


class EntryProcess:
    """An entry instance in its own process, served by a control instance."""

    def __init__(self, host: str, folder: pathlib.Path) -> None:
        self.host = host
        self.trigger = folder / "trigger"
        self.log_path = folder / "entry.log"
        self.endpoint = routed.Endpoint("e1")
        self.process: asyncio.subprocess.Process
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self, path: pathlib.Path, stdout: str | None) -> None:
        program = FAILING_ENTRY.format(trigger=str(self.trigger))
        environment = {
            **os.environ,
            "PYTHONPATH": ":".join(sys.path),
            "YUCCAPITCH_NODE_FILE": str(path),
        }
        with open(stdout or self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", program,
                env=environment, stdout=log, stderr=asyncio.subprocess.PIPE,
            )  # fmt: skip

    async def send(self, request_id: str):
        address = settings.ListenAddress(self.host, CALLERS_PORT)
        with contextlib.suppress(OSError):
            return await routed.call(
                address, "GET", "/a/1", attempt_id=request_id, deadline_ms="9000"
            )
        return None

    async def connect(self) -> KeptConnection:
        reader, writer = await asyncio.open_connection(self.host, CALLERS_PORT)
        self._writers.append(writer)
        return KeptConnection(reader, writer)

    async def kill(self) -> None:
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        await self.process.wait()
        for writer in self._writers:
            writer.close()


class KeptConnection:
    """A client's connection that carries several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader, self.writer = reader, writer

    def send(self, request_id: str) -> None:
        self.writer.write(
            b"GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\n"
            b"Deadline-Ms: 9000\r\n\r\n" % request_id.encode()
        )

    async def read_status(self) -> int:
        """Return the status of the next response; 0 if the connection ends before."""
        try:
            async with asyncio.timeout(30):
                head = await self._reader.readuntil(b"\r\n\r\n")
                fields = dict(
                    line.lower().split(": ", 1)
                    for line in head.decode().split("\r\n")
                    if ": " in line
                )
                await self._reader.readexactly(int(fields.get("content-length", 0)))
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        return int(head.split(b" ", 2)[1])


@contextlib.asynccontextmanager
async def running_entry(group, folder: pathlib.Path, stdout: str | None = None):
    control = group.control()
    control.node_settings = routed.replace_fields(
        control.node_settings, seed_ids=(control.node_settings.instance_id,)
    )
    async with contextlib.AsyncExitStack() as stack:
        host = stack.enter_context(role_process.reserved_host())
        entry = EntryProcess(host, folder)
        await entry.endpoint.start()
        stack.callback(entry.endpoint.stop)
        group.source.records = (entry.endpoint.record(),)
        await group.start()
        body = configuration(1, timeout="9s")
        await routed.wait_for_status(200, lambda: put(control, body), "a configuration")
        path = folder / "entry.toml"
        inner_port = control.node_settings.inner_address.port
        path.write_text(SETTINGS.format(host=host, inner=inner_port))
        await entry.start(path, stdout)
        stack.push_async_callback(entry.kill)
        await routed.wait_for_status(200, lambda: entry.send("first"), "a response")
        yield entry, control


# Guards against an instance that ends over the requests of kept connections because the
# disk of its log is full.
@pytest.mark.processes
async def test_entry_serves_on_beside_a_full_disk_of_its_log(group, tmp_path):
    async with running_entry(group, tmp_path, stdout="/dev/full") as (entry, _):
        connection = await entry.connect()
        entry.endpoint.delay_s = LONG_REQUEST_S
        connection.send("long")
        assert await connection.read_status() == 200
        entry.endpoint.delay_s = 0.0
        connection.send("next")
        assert await connection.read_status() == 200
        assert entry.process.returncode is None
        entry.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(30):
            assert await entry.process.wait() == 0


# Guards against requests that are cut because their instance ends by itself: passed on
# to an endpoint, waiting for a place, and behind another one of their connection.
@pytest.mark.processes
@pytest.mark.parametrize(
    # Without the checks of requests that wait, those may be refused at the end.
    ("fails_again", "statuses"),
    [("", {200}), ("always", {200, 503})],
)
async def test_entry_that_fails_answers_the_requests_in_flight(
    group, tmp_path, fails_again, statuses
):
    async with running_entry(group, tmp_path) as (entry, _):
        connections = [await entry.connect() for _ in range(3)]
        entry.endpoint.delay_s = 1.0
        for number, connection in enumerate(connections):
            connection.send(f"first-{number}")
            connection.send(f"second-{number}")
        await routed.wait_until(
            lambda: len(entry.endpoint.executed_attempt_ids) >= 4, "running requests"
        )
        entry.trigger.write_text(fails_again)
        for connection in connections:
            assert await connection.read_status() in statuses
            assert await connection.read_status() in statuses
        async with asyncio.timeout(30):
            assert await entry.process.wait() == EXIT_FAILED
        log = entry.log_path.read_text()
        assert "event=process.failed " in log and "broken" in log
        assert "event=entry.drain-finished " in log and "in_flight=0" in log


# Guards against requests that wait at an entry instance for a place when it is stopped,
# and are refused at the end of its grace, as it takes itself for gone.
@pytest.mark.processes
async def test_entry_that_stops_places_the_requests_that_wait(group, tmp_path):
    async with running_entry(group, tmp_path) as (entry, _):
        await routed.wait_until(
            lambda: f" dispatcher={entry.host}:" in entry.log_path.read_text(),
            "the entry instance as dispatcher",
        )
        connections = [await entry.connect() for _ in range(6)]
        entry.endpoint.delay_s = 1.0
        for number, connection in enumerate(connections):
            connection.send(f"request-{number}")
        await routed.wait_until(
            lambda: len(entry.endpoint.executed_attempt_ids) >= 5, "a full endpoint"
        )
        entry.process.send_signal(signal.SIGTERM)
        for connection in connections:
            assert await connection.read_status() == 200
        async with asyncio.timeout(30):
            assert await entry.process.wait() == 0


# Guards against connections that wait in the accept queue while their instance ends by
# itself, and end without an answer.
@pytest.mark.processes
async def test_entry_that_fails_answers_what_the_kernel_holds(group, tmp_path):
    async with running_entry(group, tmp_path) as (entry, _):
        entry.endpoint.delay_s = 0.3
        entry.process.send_signal(signal.SIGSTOP)
        connections = [await entry.connect() for _ in range(4)]
        for number, connection in enumerate(connections):
            connection.send(f"waiting-{number}")
        entry.trigger.touch()
        # The task that fails is due as soon as the process runs on.
        await asyncio.sleep(2 * region_placer.WAIT_CHECK_INTERVAL_S)
        entry.process.send_signal(signal.SIGCONT)
        for connection in connections:
            assert await connection.read_status() == 200
        async with asyncio.timeout(30):
            assert await entry.process.wait() == EXIT_FAILED


# Guards against an end that leaves no trace, as it is the log that fails.
@pytest.mark.processes
async def test_entry_that_fails_names_the_reason_beside_a_full_disk(group, tmp_path):
    async with running_entry(group, tmp_path, stdout="/dev/full") as (entry, _):
        connection = await entry.connect()
        entry.endpoint.delay_s = 1.0
        connection.send("last")
        await routed.wait_until(
            lambda: "last" in entry.endpoint.executed_attempt_ids, "a request"
        )
        entry.trigger.touch()
        assert await connection.read_status() == 200
        async with asyncio.timeout(30):
            assert await entry.process.wait() == EXIT_FAILED
        assert entry.process.stderr is not None
        errors = (await entry.process.stderr.read()).decode()
        assert "entry-1 failed: AssertionError('broken')" in errors


# Guards against an own end that takes longer than the grace of its failure because a
# stop signal comes later.
@pytest.mark.processes
async def test_entry_that_fails_keeps_the_grace_beside_a_stop_signal(group, tmp_path):
    async with running_entry(group, tmp_path) as (entry, _):
        connection = await entry.connect()
        entry.endpoint.delay_s = 30.0
        connection.send("endless")
        await routed.wait_until(
            lambda: "endless" in entry.endpoint.executed_attempt_ids, "a request"
        )
        entry.trigger.touch()
        await routed.wait_until(
            lambda: "event=process.failed " in entry.log_path.read_text(), "a failure"
        )
        await asyncio.sleep(1.0)
        entry.process.send_signal(signal.SIGTERM)
        # The request gets its final response before the grace of the failure ends.
        assert await connection.read_status() in (503, 504)
        async with asyncio.timeout(30):
            assert await entry.process.wait() == EXIT_FAILED
        [finished] = [
            line
            for line in entry.log_path.read_text().splitlines()
            if "event=entry.drain-finished " in line
        ]
        took_ms = int(finished.split("took_ms=")[1].split()[0])
        assert took_ms <= STOP_GRACE_S * 1000


# Guards against a control instance that ends over the orders and lookups that it has
# taken because its replica has failed.
async def test_control_whose_replica_fails_answers_before_it_ends(group):
    control = group.control()
    control.node_settings = routed.replace_fields(
        control.node_settings, seed_ids=(control.node_settings.instance_id,)
    )
    entry = group.entry()
    entry.node_settings = routed.replace_fields(
        entry.node_settings, seed_ids=(control.node_settings.instance_id,)
    )
    await group.start()
    await routed.wait_for_status(
        200, lambda: put(control, configuration(1)), "a configuration"
    )
    target = "/api/resolve?name=shop.example&region=north&zone=north-a"

    def look_up():
        return routed.call(control.node_settings.lookup_address, "GET", target)

    await routed.wait_for_status(200, look_up, "a lookup")

    def fail_sync() -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    control.node._replica._writer._storage.sync = fail_sync
    order = await put(control, configuration(2, "/b/"))
    assert order.status == 503
    assert control.failures
    draining = asyncio.create_task(control.node.drain(coordinator.boot_time_s()))
    lookup = await look_up()
    assert lookup.status == 200 and json.loads(lookup.body)["addresses"]
    assert (await put(control, configuration(3, "/c/"))).status == 503
    await routed.wait_until(
        lambda: not control.node._coordinator.is_leader, "no leader"
    )
    await draining
