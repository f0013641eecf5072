"""Tests of the request path with fake placers and senders."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from yuccapitch.catalogue import ids, routes
from yuccapitch.control import state_leases
from yuccapitch.gateway.front import (
    endpoint_sender,
    headers,
    planned_stop,
    request_path,
    routing_state,
)
from yuccapitch.gateway.http1 import messages
from yuccapitch.steering.placement import endpoint_notices, model

# Age at which the state of these tests is too old to serve requests.
MAX_AGE_S = 10.0
NAMES = headers.HeaderNames(
    b"request-id",
    b"time-left",
    b"object",
    b"proof",
    b"expected",
    b"load",
    b"not-run",
    b"rate-limit",
    b"leaving",
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


def send_result(outcome, execution, response=None) -> endpoint_sender.SendResult:
    return endpoint_sender.SendResult(outcome, execution, response, None, None, "")


ANSWERED = send_result(model.Outcome.ANSWERED, endpoint_sender.Execution.POSSIBLE, OK)
SHED = send_result(model.Outcome.SHED, endpoint_sender.Execution.REJECTED)
BROKEN = send_result(model.Outcome.BROKEN, endpoint_sender.Execution.POSSIBLE)
UNREACHABLE = send_result(model.Outcome.UNREACHABLE, endpoint_sender.Execution.NOT_SENT)


class Meter:
    """Counts nothing."""

    def count_request(self, outcome, duration_s):
        return

    def count_refusal(self, reason):
        return

    def count_resend(self, cause):
        return


class Placer:
    """Grants places at e0, e1, ...; then refuses, or never decides if ``waits``."""

    def __init__(
        self,
        grants: int,
        waits: bool = False,
        reason: model.RefusalReason = model.RefusalReason.LATE,
    ) -> None:
        self.grants, self.waits, self.reason = grants, waits, reason
        self.requests: list[model.PlacementRequest] = []
        self.released: list[model.Outcome] = []
        self.leaving: list[bool] = []

    async def place(self, request):
        self.requests.append(request)
        number = len(self.requests) - 1
        if number < self.grants:
            return model.Granted(request.attempt_id, endpoint(f"e{number}"))
        if self.waits:
            await asyncio.Event().wait()
        return model.Refused(request.attempt_id, self.reason, 0.7)

    def release(
        self, granted, outcome, load, connect_s, rate_limit=None, is_leaving=False
    ):
        self.released.append(outcome)
        self.leaving.append(is_leaving)


class Sender:
    """Returns the listed results in order, then never completes a send."""

    def __init__(
        self, *results: endpoint_sender.SendResult, endless_response_s: float = 0.0
    ) -> None:
        self.results = list(results)
        self.sent: list[str] = []
        self.endless_response_s = endless_response_s

    async def send(self, request, endpoint, deadline_at, is_idempotent, progress):
        self.sent.append(endpoint.endpoint_id)
        if not self.results:
            progress.endless_response_s = self.endless_response_s
            await asyncio.Event().wait()
        return self.results.pop(0)


def make_request_path(
    placer, sender, route=ROUTE, state_age_s=0.0, notices=None
) -> request_path.RequestPath:
    service = routes.RoutedService(ids.ServiceId("s"), "/health", 9, 0.0, 0.0)
    table = routes.RouteTable(
        routes.Revision(1), [route], [service], routes.CallerLimits()
    )
    loop = asyncio.get_running_loop()
    return request_path.RequestPath(
        ids.InstanceId("i"), NAMES,
        routing_state.RoutingState(table, confirmed_at=loop.time() - state_age_s),
        placer, sender,
        request_path.FleetRetryBudget(0.2, 10.0, 10.0), loop.time,
        Meter(),
        notices or endpoint_notices.EndpointNotices(),
    )  # fmt: skip


def request(time_left: bytes = b"3000", target: bytes = b"/a/1") -> messages.Request:
    request_headers = [
        (b"host", b"shop"),
        (b"request-id", b"q1"),
        (b"time-left", time_left),
    ]
    now = asyncio.get_running_loop().time()
    return messages.Request(b"GET", target, request_headers, b"", now)


AT_MOST_ONCE = dataclasses.replace(
    ROUTE, repeatability=routes.Repeatability.AT_MOST_ONCE
)


async def test_handle_returns_the_endpoint_response():
    placer = Placer(1)
    response = await make_request_path(placer, Sender(ANSWERED)).handle(request())
    assert response is OK
    assert placer.released == [model.Outcome.ANSWERED]


# Guards against a process that gets the place of a request of the process that ran
# at its address before, whose attempts the dispatcher may still have.
async def test_attempt_ids_differ_between_processes_of_one_instance():
    placer = Placer(2)
    for _ in range(2):
        await make_request_path(placer, Sender(ANSWERED)).handle(request())
    first, second = placer.requests
    assert first.attempt_id != second.attempt_id


async def test_handle_returns_retry_after_of_a_refused_place():
    response = await make_request_path(Placer(0), Sender()).handle(request())
    assert response.status == 503
    assert response.header(b"retry-after") == b"0.700"


async def test_handle_returns_404_without_a_matching_route():
    path = make_request_path(Placer(0), Sender())
    assert (await path.handle(request(target=b"/b/"))).status == 404


# Guards against a 404 for a route that was added while the instance had no leader.
async def test_handle_returns_503_without_a_route_if_the_state_is_unconfirmed():
    age_s = 1.1 * state_leases.LEASE_DURATION_S
    path = make_request_path(Placer(0), Sender(), state_age_s=age_s)
    response = await path.handle(request(target=b"/b/"))
    assert response.status == 503
    assert response.header(b"retry-after") is not None


# Guards against requests that run by a route which was changed long ago.
async def test_handle_refuses_requests_if_the_state_is_too_old():
    age_s = 1.1 * MAX_AGE_S
    path = make_request_path(Placer(1), Sender(ANSWERED), state_age_s=age_s)
    response = await path.handle(request())
    assert response.status == 503
    assert response.header(b"retry-after") is not None


async def test_handle_serves_by_an_unconfirmed_state_until_it_is_too_old():
    age_s = 1.1 * state_leases.LEASE_DURATION_S
    path = make_request_path(Placer(1), Sender(ANSWERED), state_age_s=age_s)
    assert await path.handle(request()) is OK


async def test_handle_returns_503_before_routes_are_received():
    path = make_request_path(Placer(0), Sender())
    path._state.table = None
    assert (await path.handle(request())).status == 503


@pytest.mark.parametrize("first", [SHED, BROKEN, UNREACHABLE])
async def test_handle_retries_an_idempotent_request_at_another_endpoint(first):
    placer, sender = Placer(2), Sender(first, ANSWERED)
    assert await make_request_path(placer, sender).handle(request()) is OK
    assert sender.sent == ["e0", "e1"]
    assert placer.requests[1].excluded_endpoint_ids == {"e0"}


@pytest.mark.parametrize("first", [SHED, UNREACHABLE])
async def test_handle_retries_a_request_that_was_not_executed(first):
    sender = Sender(first, ANSWERED)
    assert (
        await make_request_path(Placer(2), sender, AT_MOST_ONCE).handle(request()) is OK
    )


async def test_handle_does_not_retry_a_non_idempotent_request_that_may_have_run():
    sender = Sender(BROKEN, ANSWERED)
    response = await make_request_path(Placer(2), sender, AT_MOST_ONCE).handle(
        request()
    )
    assert response.status == 502
    assert sender.sent == ["e0"]


async def test_handle_does_not_report_not_executed_if_the_request_may_have_run():
    response = await make_request_path(Placer(1), Sender(BROKEN)).handle(request())
    assert response.status == 502


async def test_handle_limits_sends_to_the_max_attempts_of_the_route():
    sender = Sender(SHED, SHED, ANSWERED)
    response = await make_request_path(Placer(3), sender).handle(request())
    assert response.status == 503
    assert sender.sent == ["e0", "e1"]


async def test_handle_returns_the_failure_response_if_no_retry_succeeds():
    failure = messages.Response(500, [(b"proof", b"x")], b"")
    failed = send_result(
        model.Outcome.FAILED, endpoint_sender.Execution.POSSIBLE, failure
    )
    assert (
        await make_request_path(Placer(1), Sender(failed)).handle(request()) is failure
    )


async def test_handle_returns_504_at_the_deadline_of_a_sent_request():
    response = await make_request_path(Placer(1), Sender()).handle(request(b"30"))
    assert response.status == 504


async def test_handle_returns_503_at_the_deadline_of_an_unsent_request():
    response = await make_request_path(Placer(0, waits=True), Sender()).handle(
        request(b"30")
    )
    assert response.status == 503


async def test_handle_releases_the_place_if_the_client_disconnects():
    placer = Placer(1)
    task = asyncio.create_task(make_request_path(placer, Sender()).handle(request()))
    while not placer.requests:
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert placer.released == [model.Outcome.ABANDONED]


async def test_stop_refuses_requests_without_a_place():
    placer = Placer(0, waits=True)
    path = make_request_path(placer, Sender())
    waiting = asyncio.create_task(path.handle(request()))
    while not placer.requests:
        await asyncio.sleep(0)
    path.stop(stop_schedule(late_in_s=0.0, ends_in_s=0.0))
    assert (await waiting).status == 503


def stop_schedule(late_in_s: float, ends_in_s: float) -> planned_stop.StopSchedule:
    now = asyncio.get_running_loop().time()
    ends_at = now + ends_in_s
    return planned_stop.StopSchedule(now + late_in_s, ends_at, ends_at)


# Guards against orders that are taken late in a planned stop, passed on, and cut
# without an answer when the process ends.
@pytest.mark.parametrize("route", [ROUTE, AT_MOST_ONCE])
async def test_stop_refuses_late_requests_that_may_not_end_in_time(route):
    placer, sender = Placer(1), Sender(ANSWERED)
    path = make_request_path(placer, sender, route)
    path.stop(stop_schedule(late_in_s=-0.1, ends_in_s=1.0))
    response = await path.handle(request())
    assert response.status == 503
    assert not placer.requests and not sender.sent
    retry_after_s = float(response.header(b"retry-after") or b"0")
    assert retry_after_s <= 0.1


async def test_stop_serves_late_requests_that_end_in_time():
    path = make_request_path(Placer(1), Sender(ANSWERED))
    path.stop(stop_schedule(late_in_s=-0.1, ends_in_s=60.0))
    assert (await path.handle(request())).status == 200


async def test_stop_serves_requests_that_were_sent_before_clients_knew():
    path = make_request_path(Placer(1), Sender(ANSWERED))
    path.stop(stop_schedule(late_in_s=30.0, ends_in_s=1.0))
    assert (await path.handle(request())).status == 200


PATIENT = dataclasses.replace(ROUTE, timeout_s=60.0)


# Guards against a request that is cut with its connection when a planned stop ends, and
# with it the responses that wait behind it.
@pytest.mark.parametrize("is_stopped_before", [False, True])
async def test_stop_answers_requests_in_progress_when_it_ends(is_stopped_before):
    placer = Placer(1)
    path = make_request_path(placer, Sender(), PATIENT)
    schedule = stop_schedule(late_in_s=30.0, ends_in_s=0.2)
    if is_stopped_before:
        path.stop(schedule)
    serving = asyncio.create_task(path.handle(request(b"60000")))
    while not placer.requests:
        await asyncio.sleep(0)
    if not is_stopped_before:
        path.stop(schedule)
    async with asyncio.timeout(20):
        response = await serving
    assert response.status == 504
    assert placer.released == [model.Outcome.ABANDONED]


def measured_path(placer, sender, route) -> request_path.RequestPath:
    """Return a path whose requests took 10 s or 50 s so far."""
    path = make_request_path(placer, sender, route)
    for response_time_s in (10.0, 50.0) * 20:
        path._planned_stop._response_times.observe(ROUTE.route_id, response_time_s)
    return path


# Guards against requests that wait for a place through a planned stop, get it too late,
# and are cut while their endpoint is at work.
@pytest.mark.parametrize("is_waiting", [False, True])
async def test_stop_refuses_at_once_what_would_not_end_before_it(is_waiting):
    placer, sender = Placer(0, waits=True), Sender()
    path = measured_path(placer, sender, PATIENT)
    schedule = stop_schedule(late_in_s=25.0, ends_in_s=25.0)
    if not is_waiting:
        path.stop(schedule)
    serving = asyncio.create_task(path.handle(request(b"60000")))
    if is_waiting:
        while not placer.requests:
            await asyncio.sleep(0)
        path.stop(schedule)
    async with asyncio.timeout(20):
        response = await serving
    assert response.status == 503
    assert float(response.header(b"retry-after") or b"1") <= 0.1
    assert not sender.sent


async def test_stop_sends_what_must_not_run_twice_only_if_it_ends_almost_surely():
    schedule = stop_schedule(late_in_s=40.0, ends_in_s=40.0)
    for repeatability, status in (
        (routes.Repeatability.IDEMPOTENT, 200),
        (routes.Repeatability.AT_MOST_ONCE, 503),
    ):
        route = dataclasses.replace(PATIENT, repeatability=repeatability)
        path = measured_path(Placer(1), Sender(ANSWERED), route)
        path.stop(schedule)
        assert (await path.handle(request(b"60000"))).status == status


async def test_stop_serves_requests_whose_deadline_is_before_its_end():
    path = measured_path(Placer(1), Sender(ANSWERED), PATIENT)
    path.stop(stop_schedule(late_in_s=0.0, ends_in_s=5.0))
    assert (await path.handle(request(b"4000"))).status == 200


# Guards against an order that is sent just before the end of a stop, on a route whose
# response times the instance doesn't know.
async def test_stop_sends_no_unmeasured_request_that_must_not_run_twice():
    route = dataclasses.replace(
        PATIENT, repeatability=routes.Repeatability.AT_MOST_ONCE
    )
    placer = Placer(1)
    path = make_request_path(placer, Sender(ANSWERED), route)
    path.stop(stop_schedule(late_in_s=30.0, ends_in_s=30.0))
    assert (await path.handle(request(b"60000"))).status == 503
    assert not placer.requests


FAILED = send_result(
    model.Outcome.FAILED,
    endpoint_sender.Execution.POSSIBLE,
    messages.Response(500, [(b"proof", b"x")], b""),
)


# Guards against estimates that are too low where requests fail or run into timeouts.
@pytest.mark.parametrize(
    ("sender", "is_measured"),
    [(Sender(ANSWERED), True), (Sender(), True), (Sender(FAILED, FAILED), False)],
)
async def test_handle_measures_the_response_times_of_endpoints(sender, is_measured):
    path = make_request_path(Placer(2), sender)
    await path.handle(request(b"30"))
    assert (
        path._planned_stop._response_times.mean_s(ROUTE.route_id) > 0.0
    ) == is_measured


async def test_handle_counts_the_objective_from_the_first_attempt():
    placer = Placer(0)
    path = make_request_path(placer, Sender())
    for time_left in (b"3000", b"2600", b"1500"):
        await path.handle(request(time_left))
    # 2600 ms may be the first deadline of another client, 1500 ms only that of a retry.
    first, other_client, retry = (
        r.objective_at - r.deadline_at for r in placer.requests
    )
    assert first == pytest.approx(other_client)
    assert retry < first - 0.4


# Guards against an order that runs although its client got a status that says it never
# will, from an endpoint that did not state so.
@pytest.mark.parametrize("status", sorted(request_path.NOT_EXECUTED_STATUSES))
async def test_handle_promises_nothing_for_an_endpoint_that_did_not(status):
    response = messages.Response(status, [(b"proof", b"x")], b"")
    outcome = model.Outcome.FAILED if status >= 500 else model.Outcome.ANSWERED
    result = dataclasses.replace(ANSWERED, response=response, outcome=outcome)
    for route, expected in ((AT_MOST_ONCE, 502), (ROUTE, status)):
        sender = Sender(result, result, result)
        path = make_request_path(Placer(3), sender, route)
        assert (await path.handle(request())).status == expected


# Guards against places that were granted before the endpoint announced its leaving.
async def test_handle_returns_a_place_at_a_leaving_endpoint():
    notices = endpoint_notices.EndpointNotices()
    notices.record_leaving(endpoint("e0"))
    placer, sender = Placer(2), Sender(ANSWERED)
    path = make_request_path(placer, sender, notices=notices)
    assert (await path.handle(request())).status == 200
    assert sender.sent == ["e1"]
    assert placer.released == [model.Outcome.ABANDONED, model.Outcome.ANSWERED]
    assert placer.leaving == [True, False]
    assert placer.requests[1].excluded_endpoint_ids == {"e0"}


async def test_handle_asks_for_no_place_at_a_paused_endpoint():
    notices = endpoint_notices.EndpointNotices()
    now = asyncio.get_running_loop().time()
    notices.record_pause(endpoint("e7"), 60.0, now)
    placer = Placer(1)
    path = make_request_path(placer, Sender(ANSWERED), notices=notices)
    await path.handle(request())
    assert placer.requests[0].excluded_endpoint_ids == {"e7"}


async def test_handle_names_the_end_of_the_pause_if_all_endpoints_pause():
    notices = endpoint_notices.EndpointNotices()
    now = asyncio.get_running_loop().time()
    notices.record_pause(endpoint("e0"), 60.0, now)
    placer = Placer(0, reason=model.RefusalReason.NO_ENDPOINT)
    path = make_request_path(placer, Sender(), notices=notices)
    response = await path.handle(request())
    assert response.status == 503
    retry_after_s = float(response.header(b"retry-after") or b"0")
    assert retry_after_s == pytest.approx(60.7, abs=5.0)


class SuspendedPlacer(Placer):
    """Grants a place after the machine was suspended; timers didn't count that time."""

    def __init__(self, clock) -> None:
        super().__init__(grants=1)
        self._suspended_clock = clock

    async def place(self, request):
        await asyncio.sleep(0)
        self._suspended_clock.suspended_s += 8.0
        return await super().place(request)


class SuspendableClock:
    """Loop time plus the time for which the machine was suspended."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        return asyncio.get_running_loop().time() + self.suspended_s


# Guards against a request that is sent by permissions from before a suspension: its
# client has left, and an order acknowledged meanwhile may forbid it.
@pytest.mark.parametrize(
    ("time_left", "state_age_s"), [(b"3000", 0.0), (b"30000", MAX_AGE_S - 5.0)]
)
async def test_handle_sends_nothing_by_a_permission_that_has_run_out(
    time_left, state_age_s
):
    clock, sender = SuspendableClock(), Sender(ANSWERED)
    placer = SuspendedPlacer(clock)
    route = dataclasses.replace(AT_MOST_ONCE, timeout_s=60.0)
    path = make_request_path(placer, sender, route, state_age_s)
    path._clock = clock
    path._state.max_age_s = MAX_AGE_S
    response = await path.handle(request(time_left))
    assert response.status == 503
    assert not sender.sent
    assert placer.released == [model.Outcome.ABANDONED]


# Guards against endpoints that get new requests again and again though none of their
# responses has an end: a request that timed out said nothing about its endpoint.
@pytest.mark.parametrize(
    ("endless_response_s", "outcome"),
    [
        (request_path.MIN_ENDLESS_RESPONSE_S, model.Outcome.BROKEN),
        # The deadline was short, or the event loop late.
        (0.9 * request_path.MIN_ENDLESS_RESPONSE_S, model.Outcome.ABANDONED),
        (0.0, model.Outcome.ABANDONED),
    ],
)
async def test_handle_counts_a_response_without_end_as_a_failure(
    endless_response_s, outcome
):
    placer = Placer(1)
    sender = Sender(endless_response_s=endless_response_s)
    response = await make_request_path(placer, sender).handle(request(b"50"))
    assert response.status == 504
    assert placer.released == [outcome]


async def test_handle_counts_nothing_if_the_client_leaves_before_its_deadline():
    placer = Placer(1)
    sender = Sender(endless_response_s=request_path.MIN_ENDLESS_RESPONSE_S)
    path = make_request_path(placer, sender)
    handling = asyncio.create_task(path.handle(request()))
    while not sender.sent:
        await asyncio.sleep(0)
    handling.cancel()
    await asyncio.wait([handling])
    assert placer.released == [model.Outcome.ABANDONED]
