"""A small deployment on loopback addresses: the project's own programs as processes."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
INNER, FRONT, READINESS, CONTROL, DIRECTORY, LIST, UPSTREAM = (
    7660, 8144, 8140, 8146, 8147, 8142, 8080,
)  # fmt: skip
ZONES = {"north-a": "north", "south-a": "south", "north-b": "north"}
READY_TIMEOUT_S = 30.0
KILL_DELAY_S = 7.0


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line."""
        print(f"{time.monotonic() - self._started_at:8.3f} {text}", file=self._file)
        self._file.flush()


class Node:
    """One process of a role, with the settings that the platform writes for it."""

    def __init__(self, deployment: Deployment, name: str, role: str, n: int) -> None:
        self.deployment, self.name, self.role = deployment, name, role
        self.ip = f"{deployment.net}.{n}"
        zones = list(ZONES)
        self.zone = zones[(n - 1) % len(zones)]
        self.folder = deployment.folder / name
        self.folder.mkdir()
        self.popen: subprocess.Popen[bytes] | None = None
        self.starts = 0

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.ip, FRONT

    @property
    def control(self) -> tuple[str, int]:
        """Address for operators."""
        return self.ip, CONTROL

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        settings = self.folder / "local.toml"
        settings.write_text(self._settings())
        self.starts += 1
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "YUCCAPITCH_NODE_FILE": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.folder / "log").open("ab") as log:
            self.popen = subprocess.Popen(
                ["python3", "-S", "-m", "yuccapitch.platform", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def _settings(self) -> str:
        its = self.deployment
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        machine = "core" if self.role == "control" else "front"
        serves = {
            "control": '["control_plane", "directory"]',
            "entry": '["front"]',
        }
        listen = f'front = "{self.ip}:{FRONT}"\nreadiness = "{self.ip}:{READINESS}"'
        data_dir = ""
        if self.role == "control":
            listen = f'control = "{self.ip}:{CONTROL}"\n'
            listen += f'directory = "{self.ip}:{DIRECTORY}"'
            data_dir = f'dataDir = "{self.folder / "disk"}"\n'
            (self.folder / "disk").mkdir(exist_ok=True)
        seeds = [f"{its.net}.{n}:{CONTROL}" for n in range(1, its.controls + 1)]
        return (
            f'nodeId = "{self.name}"\nrole = "{self.role}"\n'
            f'machineClass = "{machine}"\nserves = {serves[self.role]}\n'
            f'ip = "{self.ip}"\nzone = "{self.zone}"\n'
            f'region = "{ZONES[self.zone]}"\n'
            f"internalPortRange = [{INNER},{INNER + 15}]\n"
            f"seeds = {json.dumps(seeds[:3])}\n"
            f"bootstrap = {json.dumps(self.starts == 0)}\n"
            f"faultCounted = {json.dumps(self.role == 'control')}\n{data_dir}"
            'discovery = "cloud_api"\nentry = "directory"\nheartbeat = "1500ms"\n'
            'contracts = ["base","drain","config","cost","retry","recover","places"]\n'
            f'configMode = "highest"\n[zones]\n{zones}\n[listen]\n{listen}\n'
            "[limits]\ncpuShare = 0.86\ncores = 1\nmemoryMb = 300\nmaxFds = 4100\n"
            "linkMbps = 1000.0\ndiskMb = 256\n"
            "[faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n"
            '[bounds]\nseedLag = "3s"\nreuseAfter = "2s"\ncontactWindow = "4000ms"\n'
            'ack = "5000ms"\ncatchUp = "4s"\ndrain = "3000ms"\ngrace = "6s"\n'
            'lossSlack = "200ms"\nconfigApply = "2500ms"\nrollbackSlack = "250ms"\n'
            'maxStretch = "6000ms"\nretryBudgetRatio = 0.2\nbudgetWindow = "10s"\n'
            "retryBudgetSlack = 62\ncoldOvershoot = 1.5\ncoldSlack = 5\n"
            'evacuation = "5000ms"\nrecovery = "15s"\nttl_max = "5s"\nmaxShift = 0.15\n'
            f'[cloudApi]\naddress = "{its.list_ip}:{LIST}"\nratePerS = 52.0\n'
            'duties = []\nlag = "800ms"\n'
        )


class Deployment:
    """Control and entry processes, and the addresses of what is beside them."""

    def __init__(self, record: Record, controls: int = 3, entries: int = 2) -> None:
        self.record, self.controls = record, controls
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="yuccapitch-review-"))
        self.net = _free_net()
        self.list_ip = f"{self.net}.250"
        self.nodes = [
            Node(self, f"core-{n}", "control", n) for n in range(1, controls + 1)
        ]
        self.nodes += [
            Node(self, f"front-{n}", "entry", controls + n)
            for n in range(1, entries + 1)
        ]

    @property
    def control_nodes(self) -> list[Node]:
        """The control processes."""
        return [node for node in self.nodes if node.role == "control"]

    @property
    def entry_nodes(self) -> list[Node]:
        """The entry processes."""
        return [node for node in self.nodes if node.role == "entry"]

    def upstream_ip(self, n: int) -> str:
        """Return the address of an upstream."""
        return f"{self.net}.{100 + n}"

    def start(self) -> None:
        """Start all processes."""
        if not (ROOT / "target" / "deps" / "yuccapitch").is_dir():
            raise NotRun("target/deps is missing: run deploy/build.sh")
        for node in self.nodes:
            node.start()

    async def wait_ready(self) -> None:
        """Wait until all entry processes say that they are ready."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        for node in self.entry_nodes:
            while await get_status(node.ip, READINESS, "/api/ready") != 200:
                if time.monotonic() > ends_at:
                    raise NotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    async def put_config(
        self, config: dict[str, object], timeout_s: float = 30
    ) -> None:
        """Send a configuration until it is acknowledged, as the operator does."""
        body = json.dumps(config).encode()
        ends_at = time.monotonic() + timeout_s
        nodes = self.control_nodes
        attempt = 0
        while True:
            node = nodes[attempt % len(nodes)]
            attempt += 1
            status = await get_status(node.ip, CONTROL, "/api/config/put", "POST", body)
            if status == 200:
                self.record.add(f"config {config['version']} acknowledged")
                return
            if time.monotonic() > ends_at:
                raise NotRun(f"the configuration was answered {status}")
            await asyncio.sleep(0.2)

    async def aclose(self) -> None:
        """End all processes and remove the folder."""
        for node in self.nodes:
            if node.popen is not None and node.popen.poll() is None:
                node.popen.send_signal(signal.SIGCONT)
                node.popen.send_signal(signal.SIGKILL)
                node.popen.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version: int, routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a configuration with these routes; each has a prefix and a service."""
    services = {str(route["service"]) for route in routes}
    resources: list[dict[str, object]] = []
    for number, given in enumerate(routes):
        route = dict(given)
        prefix = route.pop("prefix")
        spec = {
            "host": "review.example", "pathPrefix": prefix, "kind": "safe",
            "timeout": "10s", "targetLatency": "1s", "priority": 1,
            "maxAttempts": 2, "sticky": False, "homeRegions": [],
        } | route  # fmt: skip
        resources.append(
            {
                "resourceKind": "routes",
                "metadata": {"name": f"r-{number}"},
                "spec": spec,
            }
        )
    for name in sorted(services):
        spec = {
            "healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": False,
            "coldStart": "3s", "coldPerS": 0,
        }  # fmt: skip
        resources.append(
            {"resourceKind": "services", "metadata": {"name": name}, "spec": spec}
        )
    limits = {
        "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms", "idleTimeout": "15000ms",
    }  # fmt: skip
    resources.append({"resourceKind": "limits", "metadata": {}, "spec": limits})
    return {"version": version, "resources": resources}


async def get_status(
    host: str, port: int, path: str, method: str = "GET", body: bytes = b""
) -> int | None:
    """Return the status of a call within a second, or None."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                head += f"Content-Type: application/json\r\nContent-Length: {len(body)}"
                writer.write(head.encode() + b"\r\nConnection: close\r\n\r\n" + body)
                return int((await reader.readline()).split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError, ValueError):
        return None


def _free_net() -> str:
    """Return a loopback network on which none of the ports is in use."""
    numbers = random.sample(range(40, 240), 20)
    for number in numbers:
        net = f"127.{number}.{random.randrange(1, 250)}"
        try:
            for port in (INNER, FRONT, READINESS, CONTROL, DIRECTORY, LIST, UPSTREAM):
                with socket.socket() as sock:
                    sock.bind((f"{net}.1", port))
        except OSError:
            continue
        return net
    raise NotRun("no free loopback network")


def main(run: object, folder: pathlib.Path) -> int:
    """Run a case; return 0 if the rule held, 1 if it was broken, 2 if it didn't run."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {has_trouble}")
    try:
        broken = asyncio.run(run(record, has_trouble))  # type: ignore[operator]
    except NotRun as error:
        record.add(f"not run: {error}")
        print(f"not run: {error}", file=sys.stderr)
        return 2
    except Exception as error:
        record.add(f"not run: {error!r}")
        print(f"not run: {error!r}", file=sys.stderr)
        return 2
    for line in broken:
        record.add(f"BROKEN {line}")
        print(f"BROKEN {line}")
    record.add("broken" if broken else "held")
    return 1 if broken else 0
