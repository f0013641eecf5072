"""The path of a routed request, with stand-ins for places and endpoints."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from yuccapitch.catalogue import ids, routes
from yuccapitch.gateway.front import (
    endpoint_sender,
    headers,
    request_path,
    routing_state,
)
from yuccapitch.gateway.http1 import messages
from yuccapitch.steering.placement import model

NAMES = headers.HeaderNames(
    b"request-id", b"time-left", b"object", b"proof", b"expected", b"load", b"not-run"
)
OK = messages.Response(200, [(b"proof", b"x")], b"body")
ROUTE = routes.Route(
    ids.RouteId("r"), "shop", "/a/", routes.Repeatability.IDEMPOTENT, 2.0, 0.5, 1,
    (routes.ServiceShare(ids.ServiceId("s"), 1.0),), 2, True, frozenset(),
)  # fmt: skip


def endpoint(name: str) -> model.Endpoint:
    region = ids.RegionId("north")
    return model.Endpoint(
        ids.EndpointId(name), ids.ServiceId("s"), "h", 80,
        ids.FailureDomainId("north-a"), region, 4, False, 0.0, 0, region,
    )  # fmt: skip


def exchanged(outcome, execution, answer=None) -> endpoint_sender.SendResult:
    return endpoint_sender.SendResult(outcome, execution, answer, None, None, "")


ANSWERED = exchanged(model.Outcome.ANSWERED, endpoint_sender.Execution.POSSIBLE, OK)
SHED = exchanged(model.Outcome.SHED, endpoint_sender.Execution.REJECTED)
BROKEN = exchanged(model.Outcome.BROKEN, endpoint_sender.Execution.POSSIBLE)
UNREACHABLE = exchanged(model.Outcome.UNREACHABLE, endpoint_sender.Execution.NOT_SENT)


class Meter:
    """Counts nothing."""

    def count_request(self, outcome, duration_s):
        return

    def count_refusal(self, reason):
        return

    def count_resend(self, cause):
        return


class Placer:
    """Grants a place at e0, e1, ...; then refuses or waits for good."""

    def __init__(self, grants: int, waits: bool = False) -> None:
        self.grants, self.waits = grants, waits
        self.requests: list[model.PlacementRequest] = []
        self.released: list[model.Outcome] = []

    async def place(self, request):
        self.requests.append(request)
        number = len(self.requests) - 1
        if number < self.grants:
            return model.Granted(request.attempt_id, endpoint(f"e{number}"))
        if self.waits:
            await asyncio.Event().wait()
        return model.Refused(request.attempt_id, model.RefusalReason.LATE, 0.7)

    def release(self, granted, outcome, load, connect_s):
        self.released.append(outcome)


class Sender:
    """Ends each send as listed; waits for good at the end of the list."""

    def __init__(self, *ends: endpoint_sender.SendResult) -> None:
        self.ends = list(ends)
        self.sent: list[str] = []

    async def send(self, request, endpoint, deadline_at, is_idempotent):
        self.sent.append(endpoint.endpoint_id)
        if not self.ends:
            await asyncio.Event().wait()
        return self.ends.pop(0)


def make(placer, sender, route=ROUTE) -> request_path.RequestPath:
    service = routes.RoutedService(ids.ServiceId("s"), "/health", 9, 0.0, 0.0)
    table = routes.RouteTable(
        routes.Revision(1), [route], [service], routes.CallerLimits()
    )
    loop = asyncio.get_running_loop()
    return request_path.RequestPath(
        ids.InstanceId("i"), NAMES, routing_state.RoutingState(table), placer, sender,
        request_path.FleetRetryBudget(0.2, 10.0, 10.0), loop.time,
        Meter(),
    )  # fmt: skip


def request(time_left: bytes = b"3000", target: bytes = b"/a/1") -> messages.Request:
    listed = [(b"host", b"shop"), (b"request-id", b"q1"), (b"time-left", time_left)]
    now = asyncio.get_running_loop().time()
    return messages.Request(b"GET", target, listed, b"", now)


AT_MOST_ONCE = dataclasses.replace(
    ROUTE, repeatability=routes.Repeatability.AT_MOST_ONCE
)


async def test_handle_passes_an_answer_on():
    placer = Placer(1)
    answer = await make(placer, Sender(ANSWERED)).handle(request())
    assert answer is OK
    assert placer.released == [model.Outcome.ANSWERED]


async def test_handle_refuses_with_the_time_of_a_place():
    answer = await make(Placer(0), Sender()).handle(request())
    assert answer.status == 503
    assert answer.header(b"retry-after") == b"0.700"


async def test_handle_answers_404_without_a_route():
    path = make(Placer(0), Sender())
    assert (await path.handle(request(target=b"/b/"))).status == 404


async def test_handle_answers_503_before_it_knows_routes():
    path = make(Placer(0), Sender())
    path._view.table = None
    assert (await path.handle(request())).status == 503


@pytest.mark.parametrize("first", [SHED, BROKEN, UNREACHABLE])
async def test_handle_sends_an_idempotent_request_again_elsewhere(first):
    placer, sender = Placer(2), Sender(first, ANSWERED)
    assert await make(placer, sender).handle(request()) is OK
    assert sender.sent == ["e0", "e1"]
    assert placer.requests[1].excluded_endpoint_ids == {"e0"}


@pytest.mark.parametrize("first", [SHED, UNREACHABLE])
async def test_handle_sends_again_what_did_not_run(first):
    sender = Sender(first, ANSWERED)
    assert await make(Placer(2), sender, AT_MOST_ONCE).handle(request()) is OK


async def test_handle_sends_once_what_may_have_run():
    sender = Sender(BROKEN, ANSWERED)
    answer = await make(Placer(2), sender, AT_MOST_ONCE).handle(request())
    assert answer.status == 502
    assert sender.sent == ["e0"]


async def test_handle_never_says_not_run_of_what_may_have_run():
    answer = await make(Placer(1), Sender(BROKEN)).handle(request())
    assert answer.status == 502


async def test_handle_keeps_to_the_attempts_of_the_route():
    sender = Sender(SHED, SHED, ANSWERED)
    answer = await make(Placer(3), sender).handle(request())
    assert answer.status == 503
    assert sender.sent == ["e0", "e1"]


async def test_handle_passes_the_failure_on_if_nothing_better_comes():
    failure = messages.Response(500, [(b"proof", b"x")], b"")
    failed = exchanged(
        model.Outcome.FAILED, endpoint_sender.Execution.POSSIBLE, failure
    )
    assert await make(Placer(1), Sender(failed)).handle(request()) is failure


async def test_handle_stops_at_the_deadline_of_a_request_that_was_sent():
    answer = await make(Placer(1), Sender()).handle(request(b"30"))
    assert answer.status == 504


async def test_handle_refuses_at_the_deadline_of_a_request_that_was_not_sent():
    answer = await make(Placer(0, waits=True), Sender()).handle(request(b"30"))
    assert answer.status == 503


async def test_handle_releases_the_place_of_a_caller_that_left():
    placer = Placer(1)
    task = asyncio.create_task(make(placer, Sender()).handle(request()))
    while not placer.requests:
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert placer.released == [model.Outcome.ABANDONED]


async def test_stop_refuses_what_has_no_place_in_time():
    placer = Placer(0, waits=True)
    path = make(placer, Sender())
    waiting = asyncio.create_task(path.handle(request()))
    while not placer.requests:
        await asyncio.sleep(0)
    path.stop(asyncio.get_running_loop().time())
    assert (await waiting).status == 503


async def test_work_counts_the_objective_from_the_first_try():
    placer = Placer(0)
    path = make(placer, Sender())
    for time_left in (b"3000", b"2600", b"1500"):
        await path.handle(request(time_left))
    first, other, again = (r.objective_at - r.deadline_at for r in placer.requests)
    assert first == pytest.approx(other)
    assert again < first - 0.4
