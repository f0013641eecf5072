"""Runs yuccapitchd processes on loopback and sends them requests."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import yaml

from tests import ports

ROOT = pathlib.Path(__file__).parent.parent
START_TIMEOUT_S = 30.0


def environment(extra_environment: dict[str, str]) -> dict[str, str]:
    """Return an environment with the sources of the packages on PYTHONPATH.

    Settings of the surrounding environment (YUCCAPITCH_*) are left out.
    """
    inherited = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("YUCCAPITCH_")
    }
    paths = [str(path) for path in sorted(ROOT.glob("packages/*/src"))]
    return {
        **inherited,
        **extra_environment,
        "PYTHONPATH": os.pathsep.join([*paths, str(ROOT)]),
    }


@dataclasses.dataclass
class Process:
    """One yuccapitchd process, which can be stopped and restarted."""

    instance_id: str
    role: str
    failure_domain: str
    http_port: int
    inner_port: int
    folder: pathlib.Path
    control_peers: str
    extra_environment: dict[str, str]
    popen: subprocess.Popen[bytes] | None = None
    script: str = "from yuccapitch.node import main\nmain.run()\n"
    """Python source that runs yuccapitchd."""

    @property
    def url(self) -> str:
        """Base URL for clients and operators."""
        return f"http://127.0.0.1:{self.http_port}"

    @property
    def log_path(self) -> pathlib.Path:
        """File that events are logged to."""
        return self.folder / f"{self.instance_id}.log"

    def start(self) -> None:
        """Start the process."""
        settings = {
            "YUCCAPITCH_ROLE": self.role,
            "YUCCAPITCH_INSTANCE_ID": self.instance_id,
            "YUCCAPITCH_FAILURE_DOMAIN": self.failure_domain,
            "YUCCAPITCH_HTTP_PORT": str(self.http_port),
            "YUCCAPITCH_INNER_PORT": str(self.inner_port),
            "YUCCAPITCH_DATA_DIR": str(self.folder / self.instance_id),
            "YUCCAPITCH_CONTROL_PEERS": self.control_peers,
            "YUCCAPITCH_ALLOW_UNSIGNED": "true",
            **self.extra_environment,
        }
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-c", self.script],
                env=environment(settings),
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.popen is not None
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for it to exit."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    async def wait(self, timeout_s: float) -> int:
        """Wait for the process to exit and return its code."""
        assert self.popen is not None
        return await asyncio.to_thread(self.popen.wait, timeout_s)


class Cluster:
    """Control and entry processes of one deployment."""

    def __init__(self, folder: pathlib.Path, session: aiohttp.ClientSession) -> None:
        self.folder = folder
        self.session = session
        self.processes_by_id: dict[str, Process] = {}

    def add(
        self,
        controls: dict[str, str],
        entries: dict[str, str],
        extra_environment: dict[str, str] | None = None,
    ) -> None:
        """Add processes by id, each with its failure domain."""
        free = ports.free_ports(2 * (len(controls) + len(entries)))
        inner_ports = {name: free.pop() for name in [*controls, *entries]}
        peers = ",".join(f"{name}=127.0.0.1:{inner_ports[name]}" for name in controls)
        for name, domain in {**controls, **entries}.items():
            self.processes_by_id[name] = Process(
                name,
                "control" if name in controls else "entry",
                domain,
                free.pop(),
                inner_ports[name],
                self.folder,
                peers,
                dict(extra_environment or {}),
            )

    def add_three_controls(self, entries: dict[str, str]) -> None:
        """Add three control processes in two failure domains, and entries."""
        controls = {f"control-{n}": f"domain-{1 + n % 2}" for n in (1, 2, 3)}
        self.add(controls, entries)

    def start(self) -> None:
        """Start every process."""
        for process in self.processes_by_id.values():
            process.start()

    def instances(self) -> dict[str, Any]:
        """Return the `instances` section of a declaration."""
        return {
            process.instance_id: {
                "failure_domain": process.failure_domain,
                "host": "127.0.0.1",
                "http_port": process.http_port,
                "inner_port": process.inner_port,
                "roles": [process.role],
            }
            for process in self.processes_by_id.values()
        }

    def of_role(self, role: str) -> list[Process]:
        """Return the processes of a role."""
        return [p for p in self.processes_by_id.values() if p.role == role]

    async def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[bytes]:
        """Run the command-line client against the control processes."""
        servers = ",".join(process.url for process in self.of_role("control"))
        return await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "yuccapitch.cli", *arguments],
            env=environment({"YUCCAPITCH_SERVERS": servers}),
            capture_output=True,
            timeout=60,
        )

    async def apply(self, declaration: dict[str, Any], *arguments: str) -> None:
        """Apply a declaration and wait until it is in force everywhere."""
        path = self.folder / "catalogue.yaml"
        path.write_text(yaml.safe_dump(declaration))
        owner = next(iter(declaration["owners"]))
        done = await self.run_cli(
            "apply", str(path), "--owner", owner, "--wait", *arguments
        )
        assert done.returncode == 0, (done.stdout + done.stderr).decode()

    async def get(self, url: str, **options: Any) -> tuple[int, Any]:
        """Return the status and decoded body of a response."""
        async with self.session.get(url, **options) as response:
            text = await response.text()
            return response.status, json.loads(text) if text[:1] in "{[" else text

    async def wait_until(
        self,
        description: str,
        check: Callable[[], Any],
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Wait until an asynchronous check returns true."""
        deadline = time.monotonic() + timeout_s
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                if await check():
                    return
            assert (
                time.monotonic() < deadline
            ), f"{description}: not reached in {timeout_s} s"
            await asyncio.sleep(0.1)

    async def wait_until_ready(self, *processes: Process) -> None:
        """Wait until the processes report that they are ready."""
        for process in processes:

            async def is_ready(url: str = process.url) -> bool:
                return (await self.get(url + "/readyz"))[0] == 200

            await self.wait_until(f"{process.instance_id} is ready", is_ready)

    def close(self) -> None:
        """Kill every process that was started."""
        for process in self.processes_by_id.values():
            process.kill()
