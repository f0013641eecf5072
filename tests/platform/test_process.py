"""Tests of a role in its own process: settings, signals, logs and exit codes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import re
import signal
import socket
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS = """
nodeId = "control-1"
ip = "{host}"
zone = "north-a"
region = "north"
internalPortRange = [{inner},{inner}]
seeds = ["{host}:{control}"]
bootstrap = true
dataDir = "{folder}"
[zones]
north-a = "north"
[listen]
control = "{host}:{control}"
directory = "{host}:{directory}"
[bounds]
grace = "6s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
retryBudgetSlack = 62
ttl_max = "5s"
[cloudApi]
address = "{host}:1"
"""


LOCK_PORT, INNER_PORT, CONTROL_PORT, DIRECTORY_PORT = 6999, 7000, 7001, 7002
FIRST_NETWORK, NETWORK_COUNT = 100, 100


@contextlib.contextmanager
def reserved_host():
    """Reserve a loopback address of its own, as the port of metrics is fixed.

    The lock on an unused port of the address excludes other runs on the machine.
    """
    for offset in range(NETWORK_COUNT):
        number = FIRST_NETWORK + (os.getpid() + offset) % NETWORK_COUNT
        host = f"127.{number}.0.1"
        with contextlib.closing(socket.socket()) as lock:
            try:
                lock.bind((host, LOCK_PORT))
            except OSError:
                continue
            yield host
            return
    raise AssertionError("every loopback address is reserved")


@pytest.fixture
def settings_path(tmp_path: pathlib.Path):
    with reserved_host() as host:
        path = tmp_path / "local.toml"
        path.write_text(
            SETTINGS.format(
                host=host,
                inner=INNER_PORT,
                control=CONTROL_PORT,
                directory=DIRECTORY_PORT,
                folder=tmp_path,
            )
        )
        yield path


async def start(
    path: pathlib.Path,
    *arguments: str,
    program: tuple[str, ...] = ("-m", "yuccapitch.platform"),
) -> asyncio.subprocess.Process:
    sources = [*ROOT.glob("packages/*/src"), ROOT / "platform" / "src"]
    packages = next(p for p in sys.path if p.endswith("site-packages"))
    environment = {
        **os.environ,
        "PYTHONPATH": ":".join(map(str, [*sources, packages])),
        "YUCCAPITCH_NODE_FILE": str(path),
    }
    return await asyncio.create_subprocess_exec(
        sys.executable, "-S", *program, *arguments,
        env=environment, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip


async def read_until(process: asyncio.subprocess.Process, event: str) -> str:
    assert process.stdout is not None
    async with asyncio.timeout(60):
        while line := (await process.stdout.readline()).decode():
            if f"event={event} " in line:
                return line
    assert process.stderr is not None
    errors = (await process.stderr.read()).decode()
    raise AssertionError(f"the process ended without {event}: {errors}")


@pytest.mark.processes
async def test_process_starts_reloads_and_stops(settings_path: pathlib.Path):
    process = await start(settings_path, "control")
    try:
        await read_until(process, "process.started")
        process.send_signal(signal.SIGHUP)
        await read_until(process, "settings.reloaded")
        settings_path.write_text("nonsense")
        assert "cannot be read" in await read_until(process, "settings.reload-failed")
        process.send_signal(signal.SIGTERM)
        await read_until(process, "process.stopped")
        async with asyncio.timeout(60):
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@pytest.mark.processes
async def test_process_ignores_a_reload_while_it_imports(settings_path: pathlib.Path):
    # Without a handler, SIGHUP during the imports of the startup ends the process
    # (seen in a soak run with seed 540815866).
    process = await start(settings_path, "control")
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status")
        while not ignores_hangup(status.read_text()):
            await asyncio.sleep(0.001)
            assert process.returncode is None
        process.send_signal(signal.SIGHUP)
        await read_until(process, "process.started")
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def ignores_hangup(status: str) -> bool:
    return ignores(status, signal.SIGHUP)


def ignores(status: str, number: signal.Signals) -> bool:
    ignored = next(line for line in status.splitlines() if line.startswith("SigIgn"))
    return bool(int(ignored.split()[1], 16) & 1 << (number - 1))


# Guards against a signal that ends an instance because its log has no reader any more,
# or has reached the largest size of a file.
@pytest.mark.processes
async def test_process_ignores_the_signals_of_writes_that_fail(settings_path):
    process = await start(settings_path, "control")
    try:
        await read_until(process, "process.started")
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        assert ignores(status, signal.SIGPIPE) and ignores(status, signal.SIGXFSZ)
    finally:
        process.kill()
        await process.wait()


@pytest.mark.processes
@pytest.mark.parametrize(
    ("text", "arguments", "expected_error"),
    [
        ("nodeId = 7", ("control",), "internalPortRange"),
        ("[", ("control",), "YUCCAPITCH_NODE_FILE"),
        ("", ("unknown",), "usage"),
    ],
)
async def test_process_exits_with_the_errors_reported(
    tmp_path, text, arguments, expected_error
):
    path = tmp_path / "local.toml"
    path.write_text(text)
    process = await start(path, *arguments)
    async with asyncio.timeout(60):
        _, errors = await process.communicate()
    assert process.returncode == 2
    assert expected_error in errors.decode()


RUN_WITH_EXIT_HANDLER = """
import atexit, runpy
atexit.register(print, "the interpreter is shut down")
runpy.run_module("yuccapitch.platform", run_name="__main__")
"""


# Guards against a process that is killed at the end of its grace on a busy machine,
# because it frees all objects after everything has been closed.
async def test_process_exits_without_a_shutdown_of_the_interpreter(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text("")
    process = await start(path, "unknown", program=("-c", RUN_WITH_EXIT_HANDLER))
    async with asyncio.timeout(60):
        output, errors = await process.communicate()
    assert (process.returncode, output) == (2, b"")
    assert "usage" in errors.decode()


async def wait_for_listener(path: pathlib.Path) -> None:
    host = next(
        line.split('"')[1]
        for line in path.read_text().splitlines()
        if line.startswith("ip = ")
    )
    async with asyncio.timeout(60):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(host, CONTROL_PORT)
                writer.close()
                return
            await asyncio.sleep(0.02)


# Guards against an instance that can't start, or whose exit code is lost, because its
# standard output and error are closed or refuse what is written to them.
@pytest.mark.processes
@pytest.mark.parametrize("output", [None, "/dev/full"])
async def test_process_runs_without_standard_streams(settings_path, output):
    def redirect() -> None:
        for descriptor in (1, 2):
            os.close(descriptor)
            if output is not None:
                os.open(output, os.O_WRONLY)

    sources = [*ROOT.glob("packages/*/src"), ROOT / "platform" / "src"]
    packages = next(p for p in sys.path if p.endswith("site-packages"))
    environment = {
        **os.environ,
        "PYTHONPATH": ":".join(map(str, [*sources, packages])),
        "YUCCAPITCH_NODE_FILE": str(settings_path),
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-S", "-m", "yuccapitch.platform", "control",
        env=environment, preexec_fn=redirect,
    )  # fmt: skip
    try:
        await wait_for_listener(settings_path)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(60):
            assert await process.wait() == 0
        settings_path.write_text("[")
        refused = await asyncio.create_subprocess_exec(
            sys.executable, "-S", "-m", "yuccapitch.platform", "control",
            env=environment, preexec_fn=redirect,
        )  # fmt: skip
        async with asyncio.timeout(60):
            assert await refused.wait() == 2
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


# A control instance whose syncs fail once a file exists.
RUN_WITH_FAILING_SYNCS = """
import errno, os, runpy, sys
from yuccapitch.consensus import disk
sync = disk.DiskStorage.sync
def fail(self):
    if os.path.exists(os.environ["TRIGGER"]):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
    sync(self)
disk.DiskStorage.sync = fail
sys.argv = ["yuccapitch.platform", "control"]
runpy.run_module("yuccapitch.platform", run_name="__main__")
"""


# Guards against a control instance that ends over the orders it has taken because the
# disk of its replicated log is full.
@pytest.mark.processes
async def test_process_answers_orders_when_its_replica_fails(
    settings_path, tmp_path, monkeypatch
):
    monkeypatch.setenv("TRIGGER", str(tmp_path / "trigger"))
    process = await start(settings_path, program=("-c", RUN_WITH_FAILING_SYNCS))
    try:
        await read_until(process, "consensus.leader-elected")
        await wait_for_listener(settings_path)
        host = re.search(r'ip = "(\S+)"', settings_path.read_text())[1]
        reader, writer = await asyncio.open_connection(host, CONTROL_PORT)
        (tmp_path / "trigger").touch()
        for _ in range(2):
            writer.write(
                b"POST /api/evacuations/north-a/start HTTP/1.1\r\n"
                b"Host: control\r\nContent-Length: 0\r\n\r\n"
            )
        async with asyncio.timeout(60):
            received = await reader.read(-1)
        writer.close()
        assert received.count(b"HTTP/1.1 503") == 2
        failed = await read_until(process, "process.failed")
        assert "No space left" in failed
        assert " in_flight=0 " in await read_until(process, "control.drain-finished")
        async with asyncio.timeout(60):
            assert await process.wait() == 1
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
