"""An operator that changes configurations, evacuates zones and reads back."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from typing import Any

import aiohttp

from tests.soak import deployment, history

HOST = "shop.example"
SERVICES = ("tienda", "taller")
# Route whose requests may take longer than the grace of a planned stop.
LONG_PATH = "/long/"
LONG_TIMEOUT_S, ROUTE_TIMEOUT_S = 12.0, 2.5
CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1
# Evacuation requests are retried for this long.
EVACUATION_TIMEOUT_S = 5.0


@dataclasses.dataclass
class Change:
    """A configuration that was sent, and what its operator knows of it."""

    sent_at: float
    ended_at: float = float("inf")
    """When it was acknowledged, or when its operator gave up."""


@dataclasses.dataclass(frozen=True)
class Acknowledgement:
    """The newest acknowledged revision, and when its operator knew of it."""

    revision: int
    received_at: float


class Operator:
    """Sends changes to random control instances and records acknowledgements."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        controls: list[deployment.Instance],
        observations: history.History,
        rng: random.Random,
        more_routes: int = 0,
    ) -> None:
        self._session = session
        self._more_routes = more_routes
        self._controls = controls
        self._observations = observations
        self._rng = rng
        self._sent_by_revision: dict[int, Any] = {}
        self.changes: list[Change] = []
        self.revision = 0
        self.last_acknowledgement = Acknowledgement(0, float("inf"))
        self.evacuated: set[str] = set()
        self.undetermined_zones: set[str] = set()
        """Zones whose last evacuation request has an unknown outcome."""

    @property
    def acknowledged_revision(self) -> int:
        """The newest acknowledged revision."""
        return self.last_acknowledgement.revision

    async def put_configuration(self, timeout_s: float) -> bool:
        """Send the next configuration; return whether it was acknowledged in time."""
        self.revision += self._rng.randrange(1, 4)
        revision = self.revision
        content = configuration(revision, self._more_routes)
        self._sent_by_revision[revision] = content
        loop = asyncio.get_running_loop()
        change = Change(loop.time())
        self.changes.append(change)
        status = await self._send("/api/config/put", content, timeout_s)
        change.ended_at = loop.time()
        if status == 200 and revision > self.acknowledged_revision:
            self.last_acknowledgement = Acknowledgement(revision, change.ended_at)
        return status == 200

    async def put_invalid_configuration(self) -> None:
        """Send a configuration that must be rejected."""
        content = configuration(self.revision + 50, self._more_routes)
        content["resources"][0]["spec"]["service"] = "nobody"
        status = await self._send("/api/config/put", content, CALL_TIMEOUT_S)
        self._observations.check(
            "invalid configurations are rejected",
            status in (None, 400),
            f"got {status}",
        )

    async def resend_configuration(self) -> None:
        """Resend the last acknowledged configuration."""
        revision = self.acknowledged_revision
        if revision in self._sent_by_revision:
            content = self._sent_by_revision[revision]
            status = await self._send("/api/config/put", content, CALL_TIMEOUT_S)
            detail = f"revision {revision} got {status}"
            self._observations.check(
                "resent configurations are accepted", status in (None, 200), detail
            )

    async def evacuate(self, zone: str, verb: str) -> None:
        """Start or end the evacuation of a zone."""
        path = f"/api/evacuations/{zone}/{verb}"
        status = await self._send(path, None, EVACUATION_TIMEOUT_S)
        if status != 200:
            self.undetermined_zones.add(zone)
            return
        self.undetermined_zones.discard(zone)
        change = self.evacuated.add if verb == "start" else self.evacuated.discard
        change(zone)

    async def read(self, control: deployment.Instance) -> int | None:
        """Read the configuration from one instance, check it, return its revision."""
        minimum = self.acknowledged_revision
        status, content = await self._call(control, "GET", "/api/config/get", None)
        if status != 200:
            return None
        revision = content["version"]
        detail = f"{control.name} read {revision} after {minimum} was acknowledged"
        self._observations.check(
            "reads return the newest revision", revision >= minimum, detail
        )
        is_as_sent = content == self._sent_by_revision.get(revision)
        detail = f"revision {revision}: {content}"
        self._observations.check(
            "reads return the content that was sent", is_as_sent, detail[:2000]
        )
        return int(revision)

    async def _send(self, path: str, content: Any, timeout_s: float) -> int | None:
        loop = asyncio.get_running_loop()
        end_at = loop.time() + timeout_s
        while loop.time() < end_at:
            control = self._rng.choice(self._controls)
            status, _ = await self._call(control, "POST", path, content)
            if status is not None and 200 <= status < 500:
                return status
            await asyncio.sleep(RETRY_DELAY_S)
        return None

    async def _call(
        self, control: deployment.Instance, method: str, path: str, content: Any
    ) -> tuple[int | None, Any]:
        url = f"http://{control.ip}:{deployment.CONTROL_PORT}{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._session.request(
                method, url, json=content, timeout=timeout
            ) as response:
                return response.status, await response.json(content_type=None)
        return None, None


def configuration(revision: int, more_routes: int = 0) -> dict[str, Any]:
    """Return a configuration with one route that only this revision has.

    More routes, which nobody requests, make it larger.
    """
    kinds = {"safe": "safe", "order": "unsafe", "photo": "upload"}
    routes = {f"/{name}/": (kind, name) for name, kind in kinds.items()}
    routes[f"/only-{revision}/"] = ("safe", "only")
    routes[LONG_PATH] = ("safe", "long")
    routes |= {f"/more-{n}/": ("safe", f"more-{n}") for n in range(more_routes)}
    resources: list[dict[str, Any]] = [
        _route(name, prefix, kind, SERVICES[name == "photo"])
        for prefix, (kind, name) in routes.items()
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    }
    resources += [_service(name) for name in SERVICES]
    resources.append({"resourceKind": "limits", "metadata": {}, "spec": limits})
    return {"version": revision, "resources": resources}


def _route(name: str, prefix: str, kind: str, service: str) -> dict[str, Any]:
    spec = {
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeout": f"{LONG_TIMEOUT_S if prefix == LONG_PATH else ROUTE_TIMEOUT_S}s",
        "targetLatency": "600ms",
        "priority": 2 if kind == "safe" else 1,
        "service": service,
        "maxAttempts": 2,
        "sticky": True,
        "homeRegions": [],
    }
    return {"resourceKind": "routes", "metadata": {"name": name}, "spec": spec}


def _service(name: str) -> dict[str, Any]:
    spec = {
        "healthPath": "/health",
        "maxConns": 300,
        "protocol": "h1",
        "tls": False,
        "coldStart": "1s",
        "coldPerS": 8.0,
    }
    return {"resourceKind": "services", "metadata": {"name": name}, "spec": spec}
