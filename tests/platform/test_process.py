"""Tests of a role in its own process: settings, signals, logs and exit codes."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

import pytest

from tests import routed

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS = """
nodeId = "control-1"
ip = "127.0.0.1"
zone = "north-a"
region = "north"
internalPortRange = [{inner},{inner}]
seeds = ["127.0.0.1:{control}"]
bootstrap = true
dataDir = "{folder}"
[zones]
north-a = "north"
[listen]
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[bounds]
grace = "6s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
retryBudgetSlack = 62
ttl_max = "5s"
[cloudApi]
address = "127.0.0.1:1"
"""


def write_settings(folder: pathlib.Path) -> pathlib.Path:
    path = folder / "local.toml"
    ports = [routed.free_port() for _ in range(3)]
    path.write_text(
        SETTINGS.format(
            inner=ports[0], control=ports[1], directory=ports[2], folder=folder
        )
    )
    return path


async def start(path: pathlib.Path, *arguments: str) -> asyncio.subprocess.Process:
    sources = [*ROOT.glob("packages/*/src"), ROOT / "platform" / "src"]
    packages = next(p for p in sys.path if p.endswith("site-packages"))
    environment = {
        **os.environ,
        "PYTHONPATH": ":".join(map(str, [*sources, packages])),
        "YUCCAPITCH_NODE_FILE": str(path),
    }
    return await asyncio.create_subprocess_exec(
        sys.executable, "-S", "-m", "yuccapitch.platform", *arguments,
        env=environment, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip


async def read_until(process: asyncio.subprocess.Process, event: str) -> str:
    assert process.stdout is not None
    async with asyncio.timeout(60):
        while line := (await process.stdout.readline()).decode():
            if f"event={event} " in line:
                return line
    raise AssertionError(f"the process ended without {event}")


@pytest.mark.processes
async def test_process_starts_reloads_and_stops(tmp_path: pathlib.Path):
    path = write_settings(tmp_path)
    process = await start(path, "control")
    try:
        await read_until(process, "process.started")
        process.send_signal(signal.SIGHUP)
        await read_until(process, "settings.reloaded")
        path.write_text("nonsense")
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
async def test_process_ignores_a_reload_while_it_imports(tmp_path: pathlib.Path):
    # Without a handler, SIGHUP during the imports of the startup ends the process
    # (seen in a soak run with seed 540815866).
    process = await start(write_settings(tmp_path), "control")
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status")
        while not ignores_hangup(status.read_text()):
            await asyncio.sleep(0.001)
            assert process.returncode is None
        process.send_signal(signal.SIGHUP)
        await read_until(process, "process.started")
    finally:
        process.kill()
        await process.wait()


def ignores_hangup(status: str) -> bool:
    ignored = next(line for line in status.splitlines() if line.startswith("SigIgn"))
    return bool(int(ignored.split()[1], 16) & 1 << (signal.SIGHUP - 1))


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
