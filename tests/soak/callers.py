"""Clients that look up entries, keep connections open and check each response."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

import aiohttp

from tests.soak import clients, deployment, endpoints, history, operator

LOOKUP_TIMEOUT_S = 1.0
DEADLINE_S = 4.0
PAUSE_S = 0.15
MAX_PATIENCE_S = 1.0
UPLOAD_BYTES = 40_000
UPLOAD_PATH = "/photo/"
KINDS_BY_PATH = {"/safe/": "safe", "/order/": "unsafe", UPLOAD_PATH: "upload"}


class Caller:
    """One client, which sends requests sequentially."""

    def __init__(
        self,
        number: int,
        zone: str,
        controls: list[deployment.Instance],
        observations: history.History,
        rng: random.Random,
        monitor: clients.LoopMonitor,
        upload_bytes: int = UPLOAD_BYTES,
    ) -> None:
        self._site = controls[0].site
        self._upload_bytes = upload_bytes
        self._number = number
        self._zone = zone
        self._controls = controls
        self._observations = observations
        self._rng = rng
        self._monitor = monitor
        self._count = 0
        self._addresses: list[str] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with (
            aiohttp.ClientSession() as session,
            clients.Pool(self._monitor) as pool,
        ):
            while True:
                await asyncio.sleep(PAUSE_S * (0.5 + self._rng.random()))
                if not self._addresses or self._rng.random() < 0.1:
                    await self._look_up(session)
                if self._addresses:
                    path = self._rng.choice(list(KINDS_BY_PATH))
                    # Several requests use one address, to reuse its connection.
                    address = self._addresses[(self._count // 8) % len(self._addresses)]
                    await self.send(pool, address, path)

    async def cling(
        self, entry: deployment.Instance, keeps: bool, pause_s: float
    ) -> None:
        """Send requests to one entry until cancelled, stopping or not.

        Each opens a connection, unless it is kept until the entry closes it.
        """
        address = f"{entry.ip}:{deployment.CALLERS_PORT}"
        async with clients.Pool(self._monitor, keeps) as pool:
            while True:
                await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))
                path = self._rng.choice(list(KINDS_BY_PATH))
                await self.send(pool, address, path)

    async def upload(self, pause_s: float, is_due: Callable[[], bool]) -> None:
        """Send uploads while they are due, to entries looked up, until cancelled."""
        async with (
            aiohttp.ClientSession() as session,
            clients.Pool(self._monitor) as pool,
        ):
            while True:
                await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))
                if not is_due():
                    continue
                await self._look_up(session)
                if self._addresses:
                    await self.send(pool, self._addresses[0], UPLOAD_PATH)

    async def send(
        self, pool: clients.Pool, address: str, path: str, is_repeat: bool = False
    ) -> int | None:
        """Send one request, check the response and return its status."""
        self._count += 1
        attempt_id = f"c{self._number}-{self._count}"
        target = f"{path}{self._rng.randrange(20)}?n={self._count}"
        kind = KINDS_BY_PATH[path]
        body = b"" if kind == "safe" else self._rng.randbytes(300)
        if kind == "upload":
            body = self._rng.randbytes(self._upload_bytes)
        loop = asyncio.get_running_loop()
        attempt = history.Attempt(attempt_id, kind, address, loop.time())
        self._observations.record_start(attempt)
        method = "GET" if kind == "safe" else "POST"
        deadline_s = self._site.deadline_s_by_path[path]
        patience_s, leaving_fraction = deadline_s + 1.0, self._site.leaving_fraction
        if leaving_fraction and self._rng.random() < leaving_fraction:
            patience_s = MAX_PATIENCE_S * self._rng.random()
        status, response = await request(
            pool, method, target, attempt, body, deadline_s, patience_s
        )
        self._observations.record_end(attempt, status, loop.time())
        expected = endpoints.response_body(attempt_id, target, body)
        self._observations.check_response(attempt, status, response, expected)
        if status == 200:
            return status
        if self._site.repeats_once and not is_repeat:
            if kind == "safe" or status in history.NOT_EXECUTED_STATUSES:
                return await self.send(pool, address, path, is_repeat=True)
        return status

    async def _look_up(self, session: aiohttp.ClientSession) -> None:
        control = self._rng.choice(self._controls)
        region = self._site.regions_by_zone[self._zone]
        url = f"http://{control.ip}:{deployment.LOOKUP_PORT}/api/resolve"
        query = {"name": operator.HOST, "region": region, "zone": self._zone}
        timeout = aiohttp.ClientTimeout(total=LOOKUP_TIMEOUT_S)
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with session.get(url, params=query, timeout=timeout) as response:
                if response.status == 200:
                    self._addresses = (await response.json())["addresses"]
                    self._rng.shuffle(self._addresses)


class Prober:
    """A client that checks that an entry instance never reverts to an old revision."""

    def __init__(
        self,
        entry: deployment.Instance,
        config_operator: operator.Operator,
        observations: history.History,
        monitor: clients.LoopMonitor,
    ) -> None:
        self._entry = entry
        self._config_operator = config_operator
        self._observations = observations
        self._monitor = monitor
        self._newest_served_by_start: dict[int, int] = {}
        self._count = 0

    async def run(self) -> None:
        """Probe recent revisions until cancelled."""
        async with clients.Pool(self._monitor) as pool:
            while True:
                await asyncio.sleep(self._entry.site.probe_interval_s)
                # The latest revision may not be in force yet; probe earlier ones too.
                newest = self._config_operator.revision
                for revision in range(max(1, newest - 4), newest + 1):
                    await self.probe(pool, revision)

    async def probe(self, pool: clients.Pool, revision: int) -> int | None:
        """Request the route that only one revision has; return the status."""
        start, self._count = self._entry.starts, self._count + 1
        acknowledged = self._config_operator.last_acknowledgement
        newest_served = self._newest_served_by_start.get(start, 0)
        attempt_id = f"p-{self._entry.name}-{self._count}"
        loop = asyncio.get_running_loop()
        address = f"{self._entry.ip}:{deployment.CALLERS_PORT}"
        attempt = history.Attempt(attempt_id, "safe", address, loop.time())
        self._observations.record_start(attempt)
        target = f"/only-{revision}/x"
        status, response = await request(pool, "GET", target, attempt, b"")
        self._observations.record_end(attempt, status, loop.time())
        expected = endpoints.response_body(attempt_id, target, b"")
        self._observations.check_response(attempt, status, response, expected)
        self._check_in_force(acknowledged, attempt, revision)
        if status == 200 and start == self._entry.starts:
            detail = f"{self._entry.name} served {revision} after {newest_served}"
            self._observations.check(
                "revisions never revert", revision >= newest_served, detail
            )
            self._newest_served_by_start[start] = max(newest_served, revision)
        return status

    def _check_in_force(
        self,
        acknowledged: operator.Acknowledgement,
        attempt: history.Attempt,
        revision: int,
    ) -> None:
        """Check that a probe was not answered by a state older than it may be."""
        if attempt.sent_at < acknowledged.received_at + deployment.ORDER_APPLY_LIMIT_S:
            return
        is_dropped = revision < acknowledged.revision
        # A later revision that was sent may be in force as well.
        is_newest = revision == acknowledged.revision == self._config_operator.revision
        detail = f"{attempt} for revision {revision}, {acknowledged}"
        self._observations.check(
            "acknowledged changes are in force",
            not (is_dropped and attempt.status == 200)
            and not (is_newest and attempt.status == 404),
            detail,
        )


async def request(
    pool: clients.Pool,
    method: str,
    target: str,
    attempt: history.Attempt,
    body: bytes,
    deadline_s: float = DEADLINE_S,
    patience_s: float = DEADLINE_S + 1.0,
) -> tuple[int | None, bytes]:
    """Return status and body; status None if the connection ended before a response."""
    headers = {
        "Host": operator.HOST,
        "Attempt-Id": attempt.attempt_id,
        "Affinity-Key": target.partition("?")[0],
        "Deadline-Ms": str(round(deadline_s * 1000)),
    }
    attempt.time_limit_s = min(deadline_s, operator.ROUTE_TIMEOUT_S)
    message = clients.message(method, target, headers, body)
    return await pool.request(attempt, message, patience_s)
