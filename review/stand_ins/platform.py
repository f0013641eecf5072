"""The platform's list of upstreams, and the operator."""

from __future__ import annotations

import asyncio
import itertools
import json
import time

from stand_ins import deployment as deployments, http

COLUMNS = [
    "service", "address", "zone", "version", "slots", "state", "coldLeft", "id", "born",
]  # fmt: skip


class List:
    """Serves ``GET /instances`` for the upstreams, 800 ms late."""

    LAG_S = 0.8

    def __init__(self, upstreams: list) -> None:
        self.upstreams = upstreams

    async def start(self, host: str) -> asyncio.Server:
        return await asyncio.start_server(self._serve, host, deployments.LIST_PORT)

    async def _serve(self, reader, writer) -> None:
        try:
            while await http.read_message(reader) is not None:
                rows = [u.row() for u in self.upstreams]
                page = {
                    "instances": {"columns": COLUMNS, "rows": rows},
                    "nextToken": None,
                }
                writer.write(
                    http.encode(
                        "HTTP/1.1 200 OK",
                        {"Content-Type": "application/json"},
                        json.dumps(page).encode(),
                    )
                )
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Operator:
    """Sends orders to the control instances until one acknowledges them."""

    def __init__(self, controls: list, record) -> None:
        self._controls = controls
        self._record = record
        self._next = itertools.cycle(range(len(controls)))
        self.acknowledged = 0

    async def put(self, config: dict, limit_s: float, timeout_s: float = 1.0) -> bool:
        """Send a configuration, again after each failure; return if acknowledged."""
        body = json.dumps(config, separators=(",", ":")).encode()
        return await self.post("/api/config/put", body, limit_s, timeout_s)

    async def post(
        self, path: str, body: bytes, limit_s: float, timeout_s: float = 1.0
    ) -> bool:
        ends_at = time.monotonic() + limit_s
        pause_s = 0.05
        target = next(self._next)
        while time.monotonic() < ends_at:
            control = self._controls[target]
            answer = await http.call(
                control.ip,
                deployments.CONTROL_PORT,
                f"POST {path} HTTP/1.1",
                body,
                timeout_s,
            )
            if answer is not None and answer.status == 200:
                self.acknowledged += 1
                return True
            if answer is not None and answer.status in (400, 409, 412, 413, 422):
                self._record(f"refused: {answer.status} {answer.body[:200]!r}")
                return False
            await asyncio.sleep(pause_s)
            pause_s = min(0.5, 2 * pause_s)
            target = next(self._next)
        return False


def make_config(version: int, services: list[str], routes: list[dict]) -> dict:
    """Return a configuration in the form of PROTOCOL.md."""
    resources = [
        {"resourceKind": "routes", "metadata": {"name": r["name"]}, "spec": r["spec"]}
        for r in routes
    ]
    resources += [
        {
            "resourceKind": "services",
            "metadata": {"name": service},
            "spec": {
                "healthPath": "/health", "maxConns": 390, "protocol": "h1",
                "tls": False, "coldStart": "3s", "coldPerS": 3.7,
            },
        }
        for service in services
    ]  # fmt: skip
    resources.append(
        {
            "resourceKind": "limits",
            "metadata": {},
            "spec": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                "headerTimeout": "3000ms", "idleTimeout": "15000ms",
            },
        }
    )  # fmt: skip
    return {"version": version, "resources": resources}


def make_route(
    name: str, prefix: str, kind: str, service: str, timeout: str, target: str
) -> dict:
    return {
        "name": name,
        "spec": {
            "host": "ficu95.example", "pathPrefix": prefix, "kind": kind,
            "timeout": timeout, "targetLatency": target, "priority": 1,
            "service": service, "maxAttempts": 2, "sticky": False, "homeRegions": [],
        },
    }  # fmt: skip
