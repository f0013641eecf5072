"""Fake endpoints that note what runs, and the platform's list of them."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import random

from aiohttp import web

from tests.soak import history

COLD_SERVICE_TIME_S, WARM_SERVICE_TIME_S = 0.09, 0.03
QUEUE_PER_SLOT = 3


class Endpoint:
    """Runs requests for one service, a few at a time."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        observations: history.History,
        rng: random.Random,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.host, self.port = host, port
        self.slots = 4
        self.incarnation = 1
        self.is_leaving = False
        self.is_up = False
        self.slowness = 1.0
        self.lost_fraction = 0.0
        """Part of the answers that are lost after the request has run."""
        self.truncated_fraction = 0.0
        """Part of the answers that end before they are whole."""
        self.shed_fraction = 0.0
        self._observations = observations
        self._rng = rng
        self._warm_keys: set[str] = set()
        self._running = 0
        self._free_slots = asyncio.Semaphore(self.slots)
        self._runner: web.AppRunner | None = None

    @property
    def instance_id(self) -> str:
        """Name of this start of the endpoint."""
        return f"{self.name}-{self.incarnation}"

    async def start(self) -> None:
        """Listen, as a new incarnation without objects."""
        self._warm_keys.clear()
        self._free_slots = asyncio.Semaphore(self.slots)
        self._running = 0
        app = web.Application(client_max_size=1 << 26)
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(
            app, access_log=None, handle_signals=False, shutdown_timeout=0.0
        )
        await self._runner.setup()
        await web.TCPSite(
            self._runner, self.host, self.port, reuse_address=True
        ).start()
        self.is_up = True

    async def stop(self) -> None:
        """End at once, with what is being worked on."""
        if self._runner is not None:
            runner, self._runner = self._runner, None
            self.is_up = False
            await runner.cleanup()

    def row(self) -> list[object]:
        """Return the endpoint as the platform's list has it."""
        state = "draining" if self.is_leaving else "ready"
        address = f"{self.host}:{self.port}"
        return [
            self.service, address, self.zone, "v1", self.slots, state, "0ms",
            self.instance_id,
        ]  # fmt: skip

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        attempt_id = request.headers.get("Attempt-Id", "")
        headers = {"Attempt-Id": attempt_id, "Server-Load": f"{self._running},0,4"}
        if request.headers.get("Expect-Instance") != self.instance_id:
            return web.Response(status=421, headers=headers)
        is_full = self._running >= self.slots * (1 + QUEUE_PER_SLOT)
        if is_full or self._rng.random() < self.shed_fraction:
            return web.Response(status=503, headers={**headers, "Not-Executed": "1"})
        self._running += 1
        try:
            async with self._free_slots:
                self._observations.record_execution(attempt_id, self.instance_id)
                await self._execute(request)
        finally:
            self._running -= 1
        answer = response_body(attempt_id, request.path_qs, body)
        headers["Server-Seal"] = response_signature(answer)
        return await self._send_response(request, answer, headers)

    async def _execute(self, request: web.Request) -> None:
        key = request.path + request.headers.get("Affinity-Key", "")
        work_s = WARM_SERVICE_TIME_S if key in self._warm_keys else COLD_SERVICE_TIME_S
        self._warm_keys.add(key)
        await asyncio.sleep(work_s * self.slowness)

    async def _send_response(
        self, request: web.Request, answer: bytes, headers: dict[str, str]
    ) -> web.StreamResponse:
        fate = self._rng.random()
        response = web.StreamResponse(headers=headers)
        response.content_length = len(answer)
        transport = request.transport
        if fate < self.lost_fraction and transport is not None:
            transport.abort()
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            if (
                self.lost_fraction
                <= fate
                < self.lost_fraction + self.truncated_fraction
            ):
                await response.write(answer[: len(answer) // 2])
                if transport is not None:
                    transport.close()
                return response
            await response.write(answer)
            await response.write_eof()
        return response


class PlatformList:
    """Serves the list of endpoints as it was a little earlier."""

    def __init__(self, endpoints: list[Endpoint], lag_s: float = 0.3) -> None:
        self._endpoints = endpoints
        self._lag_s = lag_s
        self.is_failing = False

    async def start(self, host: str, port: int) -> web.AppRunner:
        """Listen and return what must be cleaned up."""
        app = web.Application()
        app.router.add_get("/instances", self._handle)
        runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        return runner

    async def _handle(self, request: web.Request) -> web.Response:
        rows = [endpoint.row() for endpoint in self._endpoints]
        await asyncio.sleep(self._lag_s)
        if self.is_failing:
            return web.Response(status=429)
        columns = ["service", "address", "zone", "version", "slots", "state"]
        columns += ["coldLeft", "id"]
        rows.append(["another writer", None])
        page = {"instances": {"columns": columns, "rows": rows}, "nextToken": None}
        return web.json_response(page)


def response_body(attempt_id: str, target: str, body: bytes) -> bytes:
    """Return the only right answer to a request."""
    digest = hashlib.sha256(body).hexdigest()
    return f"{attempt_id} {target} {digest} ".encode() + b"." * 2000


def response_signature(answer: bytes) -> str:
    """Return the signature of an answer."""
    return hashlib.sha256(answer).hexdigest()[:16]
