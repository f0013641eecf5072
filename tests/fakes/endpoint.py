"""A fake endpoint: `python -m tests.fakes.endpoint --port 0` prints its port.

Each response has the id of its request and a body derived from it, so that a client can
check that it received the complete response to its own request. The formats are in
docs/reference/endpoint-formats.md.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import hashlib
import json
import pathlib
import random
from collections.abc import AsyncIterator

import pydantic
from aiohttp import web

from tests.fakes import behaviour, journal, serving

LOAD_HEADER = "Yuccapitch-Load"
SHED_HEADER = "Yuccapitch-Endpoint-Shed"
KEY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "Request-Timeout-Ms"
REQUEST_ID_HEADER = "Request-Id"
BODY_DIGEST_HEADER = "Request-Body-Sha256"
SIZE_PARAMETER = "bytes"
MAX_BODY_BYTES = 64 * 1024 * 1024


def response_body(request_id: str, size: int) -> bytes:
    """Return the response body for a request id."""
    seed = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (seed * (size // len(seed) + 1))[:size]


class FakeEndpoint:
    """The state and request handlers of the endpoint."""

    def __init__(
        self,
        endpoint_id: str = "endpoint",
        settings: behaviour.Behaviour | None = None,
        seed: int = 0,
        journal_path: pathlib.Path | None = None,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.behaviour = settings or behaviour.Behaviour()
        self.journal = journal.Journal(journal_path)
        self.in_flight = 0
        """Number of requests that hold or wait for a slot."""
        self.watermark = 0
        """Highest number of requests in flight so far."""
        self._running = 0
        self._served = 0
        self._rng = random.Random(seed)
        self._changed = asyncio.Event()
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()
        self._blackholed: set[asyncio.BaseTransport] = set()
        self.runner = serving.create_runner(self._app())

    @property
    def state(self) -> behaviour.State:
        """The actual state."""
        if self.behaviour.draining:
            return behaviour.State.DRAINING
        if self._served < self.behaviour.cold_requests:
            return behaviour.State.COLD
        return behaviour.State.SERVING

    def set_behaviour(self, **changes: object) -> None:
        """Change some settings of the behaviour and resume stalled exchanges."""
        merged = self.behaviour.model_dump() | changes
        self.behaviour = behaviour.Behaviour.model_validate(merged)
        self._changed.set()
        self._changed = asyncio.Event()
        self._wake_waiters()

    def blackhole_connections(
        self, excluded: asyncio.BaseTransport | None = None
    ) -> int:
        """Stop reading and writing on all open connections; return their number."""
        server = self.runner.server
        assert server is not None
        open_transports = {
            connection.transport
            for connection in server.connections
            if connection.transport is not None
        }
        for transport in open_transports - {excluded}:
            transport.pause_reading()
            self._blackholed.add(transport)
        return len(open_transports - {excluded})

    def report(self) -> dict[str, object]:
        """Return the load report."""
        reported = self.behaviour.report_in_flight
        return {
            "in_flight": self.in_flight if reported is None else reported,
            "slots": self.behaviour.slots,
            "state": (self.behaviour.report_state or self.state).value,
        }

    def _app(self) -> web.Application:
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/probe", self._probe)
        app.router.add_get("/control", self._read_control)
        app.router.add_post("/control", self._write_control)
        app.router.add_post("/control/forget", self._handle_blackhole)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _probe(self, request: web.Request) -> web.Response:
        if self.behaviour.probe_fails:
            return web.json_response({"error": "the probe fails"}, status=500)
        return web.json_response(self.report(), headers=self._report_headers())

    async def _read_control(self, request: web.Request) -> web.Response:
        counts = {"in_flight": self.in_flight, "watermark": self.watermark}
        return web.json_response(self.behaviour.model_dump(mode="json") | counts)

    async def _write_control(self, request: web.Request) -> web.Response:
        try:
            self.set_behaviour(**json.loads(await request.text()))
        except (pydantic.ValidationError, ValueError, TypeError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return await self._read_control(request)

    async def _handle_blackhole(self, request: web.Request) -> web.Response:
        count = self.blackhole_connections(excluded=request.transport)
        return web.json_response({"forgotten": count})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        key = request.headers.get(KEY_HEADER, "")
        request_id = request.headers.get(REQUEST_ID_HEADER) or key
        if self._should_shed():
            self._record(journal.Step.SHED, request, request_id)
            return self._shed_response()
        with self._count_in_flight():
            return await self._execute(request, request_id)

    async def _execute(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        try:
            digest = await self._body_digest(request)
        except (asyncio.CancelledError, ConnectionError, web.HTTPException):
            self._record(journal.Step.INCOMPLETE, request, request_id)
            raise
        async with self._slot():
            self._record(journal.Step.BEGIN, request, request_id, digest)
            try:
                await asyncio.sleep(self._service_time_s())
                await self._stall_at(behaviour.Stall.HEAD)
                await self._block_if_blackholed(request)
            except asyncio.CancelledError:
                self._record(journal.Step.CANCEL, request, request_id, digest)
                raise
            self._served += 1
            self._record(journal.Step.END, request, request_id, digest)
        return await self._send_response(request, request_id, digest)

    async def _send_response(
        self, request: web.Request, request_id: str, digest: str
    ) -> web.StreamResponse:
        size = int(request.query.get(SIZE_PARAMETER, self.behaviour.body_bytes))
        body = response_body(request_id, size)
        headers = {REQUEST_ID_HEADER: request_id, BODY_DIGEST_HEADER: digest}
        response = web.StreamResponse(headers=headers | self._report_headers())
        truncation = self.behaviour.truncation
        if truncation is behaviour.Truncation.CHUNKED:
            response.enable_chunked_encoding()
        else:
            response.content_length = size
        await response.prepare(request)
        await response.write(body[: size // 2])
        await self._stall_at(behaviour.Stall.BODY)
        await self._block_if_blackholed(request)
        if truncation is not behaviour.Truncation.NONE:
            assert request.transport is not None
            request.transport.close()
            return response
        await response.write(body[size // 2 :])
        await response.write_eof()
        return response

    def _should_shed(self) -> bool:
        full = self.in_flight >= self.behaviour.slots
        if full and self.behaviour.shed_when_full:
            return True
        ratio = self.behaviour.shed_ratio
        return ratio > 0 and self._rng.random() < ratio

    def _shed_response(self) -> web.Response:
        headers = {SHED_HEADER: "1"} | self._report_headers()
        return web.Response(status=503, text="shed\n", headers=headers)

    def _report_headers(self) -> dict[str, str]:
        if self.behaviour.report_absent:
            return {}
        fields = self.report().items()
        return {LOAD_HEADER: ";".join(f"{name}={value}" for name, value in fields)}

    def _service_time_s(self) -> float:
        sample = behaviour.DELAY_FUNCTIONS_BY_KIND[self.behaviour.delay]
        time_s = sample(self._rng, self.behaviour.mean_s)
        cold = self._served < self.behaviour.cold_requests
        return time_s * (self.behaviour.cold_factor if cold else 1)

    @contextlib.contextmanager
    def _count_in_flight(self) -> collections.abc.Iterator[None]:
        self.in_flight += 1
        self.watermark = max(self.watermark, self.in_flight)
        try:
            yield
        finally:
            self.in_flight -= 1

    @contextlib.asynccontextmanager
    async def _slot(self) -> AsyncIterator[None]:
        while self._running >= self.behaviour.slots:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            self._wake_waiters()

    def _wake_waiters(self) -> None:
        # Every waiter rechecks the condition; those without a slot wait again.
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)

    async def _stall_at(self, point: behaviour.Stall) -> None:
        while self.behaviour.stall is point:
            await self._changed.wait()

    async def _block_if_blackholed(self, request: web.Request) -> None:
        if request.transport in self._blackholed:
            await asyncio.Event().wait()

    async def _body_digest(self, request: web.Request) -> str:
        digest = hashlib.sha256()
        async for chunk in request.content.iter_any():
            digest.update(chunk)
        return digest.hexdigest()

    def _record(
        self, step: journal.Step, request: web.Request, key: str, digest: str = ""
    ) -> None:
        self.journal.add(
            step,
            endpoint=self.endpoint_id,
            key=key,
            method=request.method,
            path=request.path,
            body_sha256=digest,
            timeout_ms=request.headers.get(TIMEOUT_HEADER, ""),
            state=self.state.value,
            in_flight=self.in_flight,
        )


@contextlib.asynccontextmanager
async def running(fake: FakeEndpoint, port: int = 0) -> AsyncIterator[int]:
    """Serve the endpoint in this process; yield its port."""
    with contextlib.closing(fake.journal):
        async with serving.listen(fake.runner, port) as bound_port:
            yield bound_port


async def main() -> None:
    """Serve according to the command line until SIGTERM or SIGINT."""
    parser = serving.create_parser(__doc__)
    parser.add_argument("--id", default="endpoint")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--journal", type=pathlib.Path)
    parser.add_argument("--behaviour", default="{}", help="JSON, as for POST /control")
    flags = parser.parse_args()
    fake = FakeEndpoint(
        flags.id,
        behaviour.Behaviour.model_validate_json(flags.behaviour),
        flags.seed,
        flags.journal,
    )
    with contextlib.closing(fake.journal):
        await serving.serve_until_signal(fake.runner, flags.port, flags.host)


if __name__ == "__main__":
    asyncio.run(main())
