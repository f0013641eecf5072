"""Processes of the deploy file, started on loopback addresses and supervised."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
FRONT_PORT, READINESS_PORT, CONTROL_PORT, DIRECTORY_PORT = 8144, 8140, 8146, 8147
LIST_PORT, UPSTREAM_PORT, INNER_PORT = 8142, 8080, 7660
ZONES = {"hanoi-a": "hanoi", "hanoi-b": "hanoi"}
MEMORY_MB = {"entry": 300, "control": 296}
MEMORY_CHECK_S = 0.02
RESTART_DELAY_S = 0.3


def free_network() -> str:
    """Return the first two bytes of a loopback network that nobody uses."""
    choices = list(range(40, 240))
    random.shuffle(choices)
    for second in choices:
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for host, port in (("0.1", LIST_PORT), ("1.1", INNER_PORT)):
                probe = stack.enter_context(socket.socket())
                probe.bind((f"127.{second}.{host}", port))
            return f"127.{second}"
    raise RuntimeError("no free loopback network")


class Machine:
    """One machine with one process, which is started again after it ends."""

    def __init__(self, deployment: "Deployment", role: str, number: int) -> None:
        self.deployment, self.role = deployment, role
        self.name = f"{role}-{number}"
        self.ip = f"{deployment.net}.{1 if role == 'control' else 2}.{number}"
        self.zone = list(ZONES)[(number - 1) % len(ZONES)]
        self.folder = deployment.folder / self.name
        self.popen: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.is_wanted = True
        self.peak_mb = 0.0
        self.memory_kills = 0
        self.other_ends: list[int] = []
        self.is_signalled = False

    @property
    def is_running(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    def write_settings(self) -> None:
        d = self.deployment
        listen = (
            f'control = "{self.ip}:{CONTROL_PORT}"\n'
            f'directory = "{self.ip}:{DIRECTORY_PORT}"\n'
            if self.role == "control"
            else f'front = "{self.ip}:{FRONT_PORT}"\n'
            f'readiness = "{self.ip}:{READINESS_PORT}"\n'
        )
        disk = f'dataDir = "{self.folder}/disk"\n' if self.role == "control" else ""
        zones = "".join(f'{zone} = "{region}"\n' for zone, region in ZONES.items())
        serves = '"control_plane","directory"' if self.role == "control" else '"front"'
        (self.folder / "local.toml").write_text(
            f'nodeId = "{self.name}"\nrole = "{self.role}"\n'
            f'machineClass = "{"core" if self.role == "control" else "front"}"\n'
            f'serves = [{serves}]\nip = "{self.ip}"\nzone = "{self.zone}"\n'
            f'region = "{ZONES[self.zone]}"\n'
            f"internalPortRange = [{INNER_PORT},{INNER_PORT + 15}]\n"
            f"seeds = {d.seeds!r}\nbootstrap = {str(self.starts == 0).lower()}\n"
            f'faultCounted = {str(self.role == "control").lower()}\n{disk}'
            'discovery = "cloud_api"\nentry = "directory"\nconfigMode = "highest"\n'
            'contracts = ["base","drain","config","cost","retry","recover","places"]\n'
            f"[zones]\n{zones}[listen]\n{listen}"
            f"[limits]\ncpuShare = 0.86\ncores = 1\n"
            f"memoryMb = {MEMORY_MB[self.role]}\nmaxFds = 4100\nlinkMbps = 1000.0\n"
            "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n"
            '[bounds]\nseedLag = "3s"\nreuseAfter = "2s"\ncontactWindow = "4000ms"\n'
            'ack = "5000ms"\ncatchUp = "4s"\ndrain = "3000ms"\ngrace = "6s"\n'
            'lossSlack = "200ms"\nconfigApply = "2500ms"\nrollbackSlack = "250ms"\n'
            'maxStretch = "6000ms"\nretryBudgetRatio = 0.2\nbudgetWindow = "10s"\n'
            "retryBudgetSlack = 62\ncoldOvershoot = 1.5\ncoldSlack = 5\n"
            'evacuation = "5000ms"\nrecovery = "15s"\nttl_max = "5s"\nmaxShift = 0.15\n'
            f'[cloudApi]\naddress = "{d.list_address}"\nratePerS = 52.0\n'
            'duties = []\nlag = "800ms"\n'
        )

    def start(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.write_settings()
        words = shlex.split(DEPLOY["roles"][self.role]["run"])
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "YUCCAPITCH_NODE_FILE": str(self.folder / "local.toml"),
        }
        with (self.folder / "log").open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable if words[0] == "python3" else words[0], *words[1:]],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.starts += 1
        self.is_signalled = False

    def send_signal(self, number: int) -> None:
        if self.is_running:
            assert self.popen is not None
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.is_signalled = True
            self.popen.send_signal(number)

    def memory_mb(self) -> float:
        """Return the resident memory without file-backed and shared pages."""
        assert self.popen is not None
        with contextlib.suppress(OSError, IndexError, ValueError):
            text = pathlib.Path(f"/proc/{self.popen.pid}/statm").read_text().split()
            return (int(text[1]) - int(text[2])) * os.sysconf("SC_PAGE_SIZE") / 2**20
        return 0.0


class Deployment:
    """All machines of a run; signals only processes that it started."""

    def __init__(self, controls: int, entries: int, record) -> None:
        self.record = record
        self.net = free_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.list_address = f"{self.net}.0.1:{LIST_PORT}"
        self.seeds = [
            f"{self.net}.1.{n}:{CONTROL_PORT}" for n in range(1, min(3, controls) + 1)
        ]
        self.controls = [Machine(self, "control", n + 1) for n in range(controls)]
        self.entries = [Machine(self, "entry", n + 1) for n in range(entries)]
        self.enforces_memory = True

    @property
    def machines(self) -> list[Machine]:
        return [*self.controls, *self.entries]

    async def supervise(self) -> None:
        """Start machines, start ended ones again, and enforce ``memoryMb``."""
        ended_at: dict[str, float] = {}
        loop = asyncio.get_running_loop()
        while True:
            for machine in self.machines:
                if machine.is_running:
                    used = machine.memory_mb()
                    machine.peak_mb = max(machine.peak_mb, used)
                    limit = MEMORY_MB[machine.role]
                    if self.enforces_memory and used > limit:
                        # DEPLOY.md: a process that uses more than memoryMb is killed.
                        assert machine.popen is not None
                        machine.popen.kill()
                        machine.popen.wait()
                        machine.is_signalled = True
                        machine.memory_kills += 1
                        self.record(
                            f"{machine.name} is killed: {used:.0f} MB used,"
                            f" memoryMb is {limit}"
                        )
                    continue
                if machine.popen is not None and machine.name not in ended_at:
                    ended_at[machine.name] = loop.time()
                    if not machine.is_signalled:
                        machine.other_ends.append(machine.popen.returncode)
                        self.record(
                            f"{machine.name} ended by itself,"
                            f" code {machine.popen.returncode}"
                        )
                since = loop.time() - ended_at.get(machine.name, float("-inf"))
                if machine.is_wanted and since >= RESTART_DELAY_S:
                    ended_at.pop(machine.name, None)
                    machine.start()
                    self.record(f"{machine.name} starts, pid {machine.popen.pid}")
            await asyncio.sleep(MEMORY_CHECK_S)

    def end(self) -> None:
        """End all processes."""
        for machine in self.machines:
            machine.is_wanted = False
            if machine.is_running:
                assert machine.popen is not None
                machine.popen.send_signal(signal.SIGCONT)
                machine.popen.kill()
        for machine in self.machines:
            if machine.popen is not None:
                machine.popen.wait()

    def remove_folder(self) -> None:
        import shutil

        shutil.rmtree(self.folder, ignore_errors=True)


@contextlib.contextmanager
def running(controls: int, entries: int, record) -> Iterator[Deployment]:
    deployment = Deployment(controls, entries, record)
    try:
        yield deployment
    finally:
        deployment.end()
        if not os.environ.get("KEEP"):
            deployment.remove_folder()
        else:
            print("kept", deployment.folder)
