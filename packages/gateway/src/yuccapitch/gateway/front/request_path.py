"""Routes a request, finds it a place, sends it, and answers the caller."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import typing
from collections.abc import Callable

from yuccapitch.catalogue import ids, routes
from yuccapitch.gateway.front import headers, placing, sending, splitting, view
from yuccapitch.gateway.http1 import messages
from yuccapitch.protocol import events
from yuccapitch.steering import retry_budget
from yuccapitch.steering.placement import model

# Deadline of a request that states none; the longest that a caller is known to wait.
DEFAULT_DEADLINE_S = 30.0
# Sends of one request that found no connection; they don't count as attempts.
MAX_UNREACHABLE_ENDPOINTS = 3
# Asked for where nothing is known of the time at which the request can be served.
UNKNOWN_RETRY_AFTER_S = 0.5
# An instance that knows no routes has just started; where the whole system did, a
# leader stands and answers after about this time.
NO_ROUTES_RETRY_AFTER_S = 1.5
# Callers differ in the time that they will wait; less than this part of the longest
# seen on a route is stated only by one that has waited before.
LEAST_FIRST_SHARE = 0.82
# Part of the fleet's retry budget that is used, so that the uneven use of many
# instances does not exceed it.
BUDGET_USE = 0.85


@dataclasses.dataclass(frozen=True)
class RetryAllowance:
    """Retries that all entry instances together may make for one service."""

    ratio: float
    """Retries for each request."""
    slack: float
    """Further retries in a window."""
    window_s: float


class Meter(typing.Protocol):
    """Counts what becomes of requests."""

    def count_request(self, outcome: str, duration_s: float) -> None:
        """Count a request that is over."""

    def count_refusal(self, reason: str) -> None:
        """Count a request that was told that it did not run."""

    def count_resend(self, cause: str) -> None:
        """Count a send beyond the first."""


@dataclasses.dataclass(slots=True)
class _Work:
    """One request on its way."""

    request: messages.Request
    request_id: str
    route: routes.Route
    service_id: ids.ServiceId
    objective_at: float
    deadline_at: float
    avoided: frozenset[ids.EndpointId] = frozenset()
    sends: int = 0
    unreachable: int = 0
    may_have_run: bool = False
    kept_answer: messages.Answer | None = None
    """An endpoint's failure, passed on if no better answer is got."""


class RequestPath:
    """Serves the routed requests of callers."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        names: headers.HeaderNames,
        state: view.View,
        placer: placing.Placer,
        sender: sending.Sender,
        allowance: RetryAllowance,
        clock: Callable[[], float],
        meter: Meter,
    ) -> None:
        """Serve with these parts."""
        self._instance_id = instance_id
        self._names = names
        self._view = state
        self._placer = placer
        self._sender = sender
        self._allowance = allowance
        self._clock = clock
        self._meter = meter
        self._splitter = splitting.Splitter()
        self._numbers = itertools.count(1)
        self._longest_wait_s_by_route_id: dict[ids.RouteId, float] = {}
        self._stop_at: float | None = None
        self._place_timeouts: set[asyncio.Timeout] = set()

    def stop(self, at: float) -> None:
        """Refuse what has no place by this time."""
        self._stop_at = at
        loop = asyncio.get_running_loop()
        left_s = max(0.0, at - self._clock())
        for timeout in self._place_timeouts:
            timeout.reschedule(loop.time() + left_s)

    async def handle(self, request: messages.Request) -> messages.Answer:
        """Return the answer for a caller."""
        request_id = (request.header(self._names.request_id) or b"").decode("latin-1")
        table = self._view.table
        if table is None:
            reason = "no routes are known yet"
            self._meter.count_refusal(reason)
            events.event("request.refused", request=request_id, reason=reason)
            return self._not_run(request_id, NO_ROUTES_RETRY_AFTER_S)
        route = _find(table, request)
        if route is None:
            events.event(
                "request.unmatched",
                request=request_id,
                target=request.target.decode("latin-1"),
                **self._age(),
            )
            return self._own_answer(404, request_id)
        work = self._work(request, request_id, route)
        try:
            answer = await self._serve_in_time(work)
        except asyncio.CancelledError:
            events.event("request.abandoned", **self._finish(work, "abandoned"))
            raise
        return answer

    async def _serve_in_time(self, work: _Work) -> messages.Answer:
        try:
            async with asyncio.timeout(work.deadline_at - self._clock()):
                return await self._serve(work)
        except TimeoutError:
            if not work.sends:
                fields = self._finish(work, "expired")
                events.event("request.refused", reason="no time left", **fields)
                return self._not_run(work.request_id, UNKNOWN_RETRY_AFTER_S)
            fields = self._finish(work, "timeout")
            events.event("request.failed", reason="no answer in time", **fields)
            return self._own_answer(504, work.request_id)

    async def _serve(self, work: _Work) -> messages.Answer:
        self._budget(work.service_id).record_first_attempt()
        while True:
            place = await self._place(work)
            if isinstance(place, model.Refused):
                return self._answer_refused(work, place)
            exchanged = await self._send(work, place)
            if exchanged.answer is not None and not self._may_resend(work, exchanged):
                status = exchanged.answer.status
                fields = self._finish(work, "answered")
                events.event("request.answered", status=status, **fields)
                return exchanged.answer
            if exchanged.answer is None and not self._may_resend(work, exchanged):
                return self._answer_failed(work, exchanged)
            work.avoided |= {place.endpoint.endpoint_id}
            self._meter.count_resend(exchanged.outcome.value)
            events.event(
                "request.resent",
                request=work.request_id,
                route=work.route.route_id,
                endpoint=place.endpoint.endpoint_id,
                cause=exchanged.outcome,
                detail=exchanged.detail,
                sends=work.sends,
            )

    async def _place(self, work: _Work) -> model.Granted | model.Refused:
        request = self._place_request(work)
        left_s = work.deadline_at - self._clock()
        if self._stop_at is not None:
            left_s = min(left_s, max(0.0, self._stop_at - self._clock()))
        timeout = asyncio.timeout(left_s)
        self._place_timeouts.add(timeout)
        try:
            async with timeout:
                return await self._placer.place(request)
        except TimeoutError:
            reason = model.RefusalReason.EXPIRED
            return model.Refused(request.attempt_id, reason, UNKNOWN_RETRY_AFTER_S)
        finally:
            self._place_timeouts.discard(timeout)

    async def _send(self, work: _Work, place: model.Granted) -> sending.Exchanged:
        endpoint = place.endpoint
        events.event(
            "request.placed",
            request=work.request_id,
            endpoint=endpoint.endpoint_id,
            address=f"{endpoint.host}:{endpoint.port}",
            waited_ms=_ms(self._clock() - work.request.received_s),
        )
        outcome = model.Outcome.ABANDONED
        exchanged: sending.Exchanged | None = None
        # Until the exchange says otherwise, bytes may have left.
        work.sends += 1
        try:
            exchanged = await self._sender.send(
                work.request,
                endpoint,
                work.deadline_at,
                work.route.repeatability is routes.Repeatability.IDEMPOTENT,
            )
            outcome = exchanged.outcome
        finally:
            load = None if exchanged is None else exchanged.load
            connect_s = None if exchanged is None else exchanged.connect_s
            self._placer.release(place, outcome, load, connect_s)
        if exchanged.has_run is sending.HasRun.NOT_SENT:
            work.sends -= 1
            work.unreachable += 1
        work.may_have_run |= exchanged.has_run is sending.HasRun.MAYBE
        work.kept_answer = exchanged.answer or work.kept_answer
        return exchanged

    def _may_resend(self, work: _Work, exchanged: sending.Exchanged) -> bool:
        if exchanged.outcome is model.Outcome.ANSWERED:
            return False
        if self._clock() >= work.deadline_at:
            return False
        if exchanged.has_run is sending.HasRun.NOT_SENT:
            return work.unreachable <= MAX_UNREACHABLE_ENDPOINTS
        is_idempotent = work.route.repeatability is routes.Repeatability.IDEMPOTENT
        if exchanged.has_run is sending.HasRun.MAYBE and not is_idempotent:
            return False
        if work.sends >= work.route.max_attempts:
            return False
        return self._budget(work.service_id).spend()

    def _answer_refused(self, work: _Work, place: model.Refused) -> messages.Answer:
        fields: dict[str, object] = {"reason": place.reason, "detail": place.detail}
        if work.may_have_run:
            return self._answer_unknown(work, fields)
        fields["retry_after_ms"] = _ms(place.retry_after_s)
        self._meter.count_refusal(place.reason.value)
        fields.update(self._finish(work, "refused"))
        events.event("request.refused", **fields)
        return self._not_run(work.request_id, place.retry_after_s)

    def _answer_failed(
        self, work: _Work, exchanged: sending.Exchanged
    ) -> messages.Answer:
        fields: dict[str, object] = {
            "reason": exchanged.outcome,
            "detail": exchanged.detail,
        }
        if work.may_have_run:
            return self._answer_unknown(work, fields)
        self._meter.count_refusal(exchanged.outcome.value)
        fields.update(self._finish(work, "refused"))
        events.event("request.refused", **fields)
        return self._not_run(work.request_id, UNKNOWN_RETRY_AFTER_S)

    def _answer_unknown(
        self, work: _Work, fields: dict[str, object]
    ) -> messages.Answer:
        fields.update(self._finish(work, "unknown"))
        events.event("request.failed", **fields)
        return work.kept_answer or self._own_answer(502, work.request_id)

    def _work(
        self, request: messages.Request, request_id: str, route: routes.Route
    ) -> _Work:
        stated_s = headers.parse_deadline_s(request.header(self._names.deadline_ms))
        wait_s = DEFAULT_DEADLINE_S if stated_s is None else stated_s
        # A caller that comes back states less time than any that comes first; the
        # objective counts from its first try.
        longest_s = max(wait_s, self._longest_wait_s_by_route_id.get(route.route_id, 0))
        self._longest_wait_s_by_route_id[route.route_id] = longest_s
        spent_s = max(0.0, LEAST_FIRST_SHARE * longest_s - wait_s)
        return _Work(
            request,
            request_id,
            route,
            self._splitter.choose(route),
            objective_at=request.received_s + route.latency_objective_s - spent_s,
            deadline_at=request.received_s + min(wait_s, route.timeout_s),
        )

    def _place_request(self, work: _Work) -> model.PlaceRequest:
        key = b""
        if work.route.is_sticky:
            key = work.request.header(self._names.object_key) or b""
        return model.PlaceRequest(
            model.AttemptId(f"{self._instance_id}/{next(self._numbers)}"),
            self._instance_id,
            work.service_id,
            work.route.route_id,
            key.decode("latin-1"),
            work.route.rank,
            work.route.home_region_ids,
            work.objective_at,
            work.deadline_at,
            work.avoided,
            len(work.request.body),
        )

    def _budget(self, service_id: ids.ServiceId) -> retry_budget.RetryBudget:
        allowance = self._allowance
        part = BUDGET_USE / max(1, self._view.instance_count)
        burst = max(1.0, part * allowance.slack)
        budgets = self._view.budgets_by_service_id
        budget = budgets.get(service_id)
        if budget is None:
            ratio = BUDGET_USE * allowance.ratio
            budget = budgets[service_id] = retry_budget.RetryBudget(ratio, burst)
        elif budget.burst != burst:
            # Another number of instances shares the slack; what is spent stays spent.
            budget.burst, budget.tokens = burst, min(budget.tokens, burst)
        return budget

    def _finish(self, work: _Work, outcome: str) -> dict[str, object]:
        """Count a request that is over, and return what its log line says."""
        duration_s = self._clock() - work.request.received_s
        self._meter.count_request(outcome, duration_s)
        return {
            "request": work.request_id,
            "route": work.route.route_id,
            "service": work.service_id,
            "sends": work.sends,
            "duration_ms": _ms(duration_s),
            "objective_ms": _ms(work.objective_at - work.request.received_s),
            **self._age(),
        }

    def _age(self) -> dict[str, object]:
        table = self._view.table
        return {
            "revision": None if table is None else table.revision,
            "confirmed_ms_ago": _ms(self._clock() - self._view.confirmed_at),
        }

    def _not_run(self, request_id: str, retry_after_s: float) -> messages.Answer:
        answer = self._own_answer(503, request_id)
        answer.headers.append((b"retry-after", b"%.3f" % retry_after_s))
        return answer

    def _own_answer(self, status: int, request_id: str) -> messages.Answer:
        listed: messages.HeaderList = []
        if request_id:
            listed.append((self._names.request_id, request_id.encode("latin-1")))
        return messages.Answer(status, listed, b"")


def _find(table: routes.RouteTable, request: messages.Request) -> routes.Route | None:
    host = (request.header(b"host") or b"").decode("latin-1").lower()
    path = request.target.decode("latin-1").partition("?")[0]
    return table.find(host, path) or table.find(host.partition(":")[0], path)


def _ms(duration_s: float) -> int:
    return round(min(duration_s, 1e6) * headers.MS_PER_S)
