from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Any

import multidict
import pytest
from aiohttp import test_utils, web

from yuccapitch.catalogue import ids, model
from yuccapitch.gateway import (
    attempt_runner,
    exchange,
    forwarding,
    outcomes,
    pool_service,
    request_context,
)
from yuccapitch.steering import (
    health,
    owners,
    pool as pool_module,
    pool_choice,
    pool_directory,
    retry,
    slots,
)

BROKEN = request_context.Failed(
    outcomes.Failure(502, "no-answer", "", outcomes.Outcome.UNKNOWN),
    retry.AttemptEnd.BROKEN,
)
REFUSED = request_context.Failed(outcomes.Failure(503, "no-endpoint", ""), None)
OWNER = ids.InstanceId("e2")
POOL = owners.Pool(ids.ServiceId("shop"), ids.FailureDomainId("d1"))


class ScriptedRunner(attempt_runner.AttemptRunner):
    """An attempt runner whose attempts return the given results."""

    def __init__(self, *results: request_context.Failed) -> None:
        unused: Any = None
        super().__init__(
            ids.InstanceId("e1"),
            unused,
            unused,
            health.HealthView(),
            unused,
            unused,
            lambda instance_id: None,
            lambda: 0.0,
            random.Random(1),
        )
        self.results = list(results)

    async def _attempt(
        self, context: request_context.RequestContext
    ) -> request_context.AttemptResult:
        return self.results.pop(0)


class FakeContext:
    """The part of a read-only request's context that retry decisions need."""

    class body:
        can_resend = True

    class view:
        @staticmethod
        def endpoints(service: str, region: str) -> list[str]:
            return ["b1", "b2"]

    class parsed:
        route_id = "browsing"
        deadline = 9.0

        class route:
            service = "shop"
            request_class = model.RequestClass.READ_ONLY

            class limits:
                patience = model.Patience.IMPATIENT

    region = "east"
    endpoint_owner = None

    def __init__(self) -> None:
        self.tried_pools: set[owners.Pool] = set()

    @staticmethod
    def allows_endpoint(endpoint_id: str) -> bool:
        return True


@pytest.mark.parametrize(
    ("ends", "outcome"),
    [
        ((REFUSED,), outcomes.Outcome.NOT_RUN),
        ((BROKEN, REFUSED), outcomes.Outcome.UNKNOWN),
    ],
)
async def test_run_reports_unknown_if_an_earlier_attempt_may_have_run(
    ends: tuple[request_context.Failed, ...], outcome: outcomes.Outcome
) -> None:
    context: Any = FakeContext()
    attempt_result = await ScriptedRunner(*ends).run(context)
    assert (
        isinstance(attempt_result, request_context.Failed)
        and attempt_result.failure.outcome is outcome
    )


class ForwardingRunner(attempt_runner.AttemptRunner):
    """An attempt runner of an instance that owns no pool; it records the owners."""

    def __init__(self) -> None:
        unused: Any = None
        health_view, rng = health.HealthView(), random.Random(1)
        self.pools = pool_service.PoolService(
            ids.InstanceId("e1"),
            health_view,
            lambda endpoint_id: False,
            lambda: 1.0,
            rng,
        )
        configured: Any = FakeContext.view
        self.pools._view = configured
        self.tokens = forwarding.ForwardTokens()
        super().__init__(
            ids.InstanceId("e1"),
            self.pools,
            unused,
            health_view,
            unused,
            self.tokens,
            lambda instance_id: None,
            lambda: 1.0,
            rng,
        )
        self.owners: list[ids.InstanceId] = []

    async def _forward(
        self, context: request_context.RequestContext, chosen: pool_choice.PoolView
    ) -> request_context.AttemptResult:
        self.owners.append(chosen.owner)
        return BROKEN


@pytest.fixture
def forwarding_runner() -> ForwardingRunner:
    """Return a runner that knows the owner of the only pool, but not its token."""
    runner = ForwardingRunner()
    known = pool_directory.KnownPool(POOL, ids.RegionId("east"), OWNER, 4, 0.004)
    runner.pools.directory.set_pools([known], 0.0)
    return runner


# Guards against requests refused with `no-endpoint` after the quarantine of a new
# owner's slots, as the owner's last counts still have no usable slot.
async def test_attempt_is_forwarded_to_owner_that_counted_no_usable_slot(
    forwarding_runner: ForwardingRunner,
) -> None:
    counts = pool_directory.PoolCounts(
        sequence=1, term=1, slots=0, free=0, waiting_impatient=0, waiting_patient=0
    )
    forwarding_runner.tokens.set_token(OWNER, "token")
    forwarding_runner.pools.directory.update_counts(OWNER, {POOL: counts}, 0.9)
    context: Any = FakeContext()
    assert await forwarding_runner._attempt(context) == BROKEN
    assert forwarding_runner.owners == [OWNER]


# Guards against requests refused with `no-endpoint` while the first counts of a pool's
# new owner, which bring its token, are on their way.
async def test_attempt_waits_for_the_token_of_a_new_owner(
    forwarding_runner: ForwardingRunner,
) -> None:
    context: Any = FakeContext()
    attempt = asyncio.create_task(forwarding_runner._attempt(context))
    await asyncio.sleep(0)
    forwarding_runner.tokens.set_token(ids.InstanceId("e3"), "other")
    await asyncio.sleep(0)
    assert not attempt.done()
    forwarding_runner.tokens.set_token(OWNER, "token")
    assert await attempt == BROKEN
    assert forwarding_runner.owners == [OWNER]


async def test_attempt_without_the_token_of_an_owner_is_refused_in_the_end(
    forwarding_runner: ForwardingRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(attempt_runner, "OWNER_TOKEN_WAIT_S", 0.0)
    context: Any = FakeContext()
    attempt_result = await forwarding_runner._attempt(context)
    assert isinstance(attempt_result, request_context.Failed)
    assert attempt_result.failure.code == "no-endpoint"
    assert attempt_result.failure.outcome is outcomes.Outcome.NOT_RUN
    assert forwarding_runner.owners == []


ADDED = model.Endpoint(
    owner=ids.OwnerId("o1"),
    service=POOL.service,
    failure_domain=POOL.failure_domain,
    host="192.0.2.1",
    port=80,
    slots=1,
    connections=1,
)


class WaitingContext(FakeContext):
    """A request whose view was taken before an endpoint was added."""

    class view(FakeContext.view):
        class declaration:
            endpoints_by_id: dict[ids.EndpointId, model.Endpoint] = {}

    class parsed(FakeContext.parsed):
        path_and_query = "/"

    class request:
        method = "GET"
        headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()

    body: Any = None

    def __init__(self, endpoint_owner: ids.OwnerId | None) -> None:
        super().__init__()
        self.endpoint_owner: Any = endpoint_owner


class LocalRunner(attempt_runner.AttemptRunner):
    """An attempt runner that owns the pool of an endpoint, and reaches nobody."""

    def __init__(self, endpoints_by_id: dict[ids.EndpointId, model.Endpoint]) -> None:
        unused: Any = None
        health_view, rng = health.HealthView(), random.Random(1)
        pools = pool_service.PoolService(
            ids.InstanceId("e1"), health_view, lambda endpoint: False, lambda: 1.0, rng
        )
        table = slots.SlotTable(term=1, lease_until=99.0, longest_deadline_s=5.0)
        table.add_endpoint(ids.EndpointId("b1"), 1)
        pools.owned_pools[POOL] = pool_module.SlotPool(table, health_view, rng)

        class View(FakeContext.view):
            @staticmethod
            def pool_endpoints(
                pool: owners.Pool,
            ) -> dict[ids.EndpointId, model.Endpoint]:
                return endpoints_by_id

        view: Any = View
        pools._view = view
        client: Any = self
        super().__init__(
            ids.InstanceId("e1"),
            pools,
            unused,
            health_view,
            client,
            unused,
            lambda instance_id: None,
            lambda: 1.0,
            rng,
        )
        self.targets: list[exchange.Target] = []

    @contextlib.asynccontextmanager
    async def exchange(
        self, target: exchange.Target, body: object, timeout_s: float
    ) -> AsyncIterator[exchange.NoResponse]:
        self.targets.append(target)
        yield exchange.NoResponse(exchange.SentAmount.NOTHING, "refused")


# Guards against a crash of a request that waited for a slot while the endpoint that
# grants it was added.
async def test_attempt_is_sent_to_an_endpoint_that_was_added_meanwhile() -> None:
    runner = LocalRunner({ids.EndpointId("b1"): ADDED})
    context: Any = WaitingContext(None)
    await runner.run_in_local_pool(context, POOL)
    assert [(target.host, target.port) for target in runner.targets] == [
        (ADDED.host, ADDED.port)
    ]


@pytest.mark.parametrize("is_removed", [True, False])
async def test_attempt_is_not_sent_to_an_endpoint_that_may_not_serve_it(
    is_removed: bool,
) -> None:
    runner = LocalRunner({} if is_removed else {ids.EndpointId("b1"): ADDED})
    context: Any = WaitingContext(ids.OwnerId("o2"))
    attempt_result = await runner.run_in_local_pool(context, POOL)
    assert isinstance(attempt_result, request_context.Failed)
    assert attempt_result.end is retry.AttemptEnd.NOT_SENT and not runner.targets
    assert runner._pools.owned_pools[POOL].free(1.0) == 1


class EndlessContent:
    """A body that comes as fast as it is read, and whose end may have come."""

    def __init__(self, is_whole: bool) -> None:
        self.is_whole = is_whole
        self.unread_chunks = 400

    async def readany(self) -> bytes:
        """Return the next bytes, or none at the end."""
        if not self.is_whole:
            await asyncio.sleep(0)
        self.unread_chunks -= self.is_whole
        return 65_536 * b"x" if self.unread_chunks else b""

    def is_eof(self) -> bool:
        """Whether the end has come."""
        return self.is_whole


class RelayContext:
    """The part of a request's context that relaying a response needs."""

    has_response = False

    class view:
        version = 1

    def __init__(self, request: web.Request) -> None:
        self.request = request

    def on_response(self, received: exchange.ReceivedResponse) -> None:
        """Ignore the response."""


@contextlib.asynccontextmanager
async def relaying(
    is_whole: bool, deadline_s: float
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.Future[str]]]:
    """Yield what a client may read of a long response, and how relaying it ends."""
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[str] = loop.create_future()

    async def handle(request: web.Request) -> web.StreamResponse:
        content: Any = EndlessContent(is_whole)
        remaining = exchange.RemainingBody(content, loop.time() + deadline_s, "x")
        headers = multidict.CIMultiDict[str]()
        received = exchange.ReceivedResponse(200, headers, b"", remaining, None)
        context: Any = RelayContext(request)
        try:
            response = await attempt_runner.relay_response(context, received)
        except BaseException as error:
            ended.set_result(type(error).__name__)
            raise
        ended.set_result("complete")
        return response

    app = web.Application()
    app.router.add_get("/", handle)
    async with test_utils.TestServer(app) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        try:
            yield reader, ended
        finally:
            writer.transport.abort()


# Guards against a client that doesn't read and keeps an endpoint's slot for ever.
async def test_relay_response_ends_at_the_deadline_if_the_client_does_not_read() -> (
    None
):
    async with relaying(False, 0.3) as (_, ended):
        async with asyncio.timeout(20):
            assert await ended == "TimeoutError"


async def test_relay_response_delivers_a_received_body_late() -> None:
    async with relaying(True, 0.0) as (reader, ended):
        async with asyncio.timeout(20):
            await reader.readuntil(b"\r\n\r\n")
            body = await reader.read()
            assert await ended == "complete"
    assert body.count(b"x") == 399 * 65_536
