from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import test_utils, web

from tests import catalogue_sample
from yuccapitch.catalogue import ids
from yuccapitch.gateway import (
    admissions,
    config_view,
    forwarding,
    metrics as gateway_metrics,
    request_path,
)
from yuccapitch.steering import claim_attempt

NORTH = ids.RegionId("north")
NOW = 100.0


class AdmitAll:
    """Shares that admit every request."""

    def admit(self, *arguments: object) -> admissions.Admitted:
        return admissions.Admitted(NORTH, None, [], None)


class NoStates:
    """A cache without region states."""

    def get(self, *arguments: object) -> None:
        return None


class Blocked:
    """Claims and attempts that begin and don't end until they are released."""

    def __init__(self) -> None:
        self.begun = asyncio.Event()
        self.released = asyncio.Event()

    async def run(self, context: object) -> None:
        """Begin an attempt."""
        self.begun.set()
        await self.released.wait()

    async def void(self, key: object, attempt: int) -> claim_attempt.Voided:
        """Begin to void a key's attempt."""
        await self.run(None)
        return claim_attempt.Voided()


class Gateway:
    """A request path behind an HTTP server, whose attempts block."""

    def __init__(self) -> None:
        self.blocked = Blocked()
        self.lease_until = NOW + 1.0
        view = config_view.ConfigView(ids.Version(1), _declaration())
        state = request_path.GatewayState(NORTH, view, lambda: self.lease_until)
        shares: Any = AdmitAll()
        region_states: Any = NoStates()
        blocked: Any = self.blocked
        self.metrics = gateway_metrics.Metrics()
        self.path = request_path.RequestPath(
            state,
            lambda: shares,
            blocked,
            blocked,
            forwarding.ForwardTokens(),
            region_states,
            self.metrics,
            10,
            lambda: NOW,
            random.Random(1),
        )
        application = web.Application()
        application.router.add_route("*", "/s/{service}{path:/.*|}", self.path.handle)
        self.client = test_utils.TestClient(test_utils.TestServer(application))

    async def abort_until(self, done: asyncio.Task[Any]) -> None:
        """Abort all requests in each of some turns, as an instance without lease."""
        for _ in range(10):
            self.path.abort_all()
            await asyncio.sleep(0)
        self.blocked.released.set()
        await asyncio.wait([done])


@pytest.fixture
async def gateway() -> AsyncIterator[Gateway]:
    gateway = Gateway()
    async with gateway.client:
        yield gateway
    gateway.metrics.close()


async def send(gateway: Gateway, method: str, key: str = "") -> tuple[int, str, str]:
    """Send a request; return its status, error code and outcome."""
    headers = {"Idempotency-Key": key} if key else {}
    async with gateway.client.request(method, "/s/bins/", headers=headers) as response:
        code = (await response.json())["error"]
        return response.status, code, response.headers["Yuccapitch-Outcome"]


# Guards against requests that are cut without an answer when an instance stays without
# a lease.
async def test_abort_all_answers_requests_in_progress(gateway: Gateway) -> None:
    sent = asyncio.create_task(send(gateway, "GET"))
    await gateway.blocked.begun.wait()
    await gateway.abort_until(sent)
    assert await sent == (504, "lease-lost", "unknown")


# Guards against a refusal that is cut because the instance aborts everything in each
# tick while it has no lease.
async def test_abort_all_does_not_abort_refusals(gateway: Gateway) -> None:
    gateway.lease_until = NOW
    key = f"north.{int(time.time() * 1000)}.{1:024x}"
    sent = asyncio.create_task(send(gateway, "POST", key))
    await gateway.blocked.begun.wait()
    await gateway.abort_until(sent)
    assert await sent == (503, "no-lease", "not-run")


# Guards against an instance that counts the bodies of requests that have ended, and
# refuses others for them.
async def test_handle_counts_a_body_until_the_request_ends(gateway: Gateway) -> None:
    size = 900
    sent = asyncio.create_task(
        gateway.client.request("GET", "/s/bins/", data=bytes(size))
    )
    async with asyncio.timeout(20):
        await gateway.blocked.begun.wait()
    assert gateway.path._body_budget.used_bytes == size
    gateway.lease_until = NOW
    gateway.path.abort_all()
    gateway.blocked.released.set()
    (await sent).release()
    assert gateway.path._body_budget.used_bytes == 0


def _declaration() -> Any:
    routes = catalogue_sample.plain()["routes"]
    order = {
        **routes["lookup"],
        "methods": ["POST"],
        "request_class": "at-most-once",
    }
    return catalogue_sample.declaration(routes={**routes, "order": order})
