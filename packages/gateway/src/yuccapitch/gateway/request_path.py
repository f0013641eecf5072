"""Serves requests: validation, admission, claim, attempts and response."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable

import result
from aiohttp import web

from yuccapitch.catalogue import ids
from yuccapitch.gateway import (
    admissions,
    attempt_runner,
    claim_service,
    config_view,
    exchange,
    forwarding,
    metrics as gateway_metrics,
    outcomes,
    region_states,
    request_body,
    request_context,
    request_parsing,
    share_service,
)
from yuccapitch.gateway.http1 import memory_budget
from yuccapitch.protocol import events
from yuccapitch.steering import claim_attempt, lookup_table, owners

# Request bodies that are buffered at a time, of all requests together.
MAX_BUFFERED_BODIES_BYTES = 128 * 1024 * 1024
REPLAYED_HEADER = "Yuccapitch-Replayed"


@dataclasses.dataclass
class GatewayState:
    """State of the instance that the request path depends on."""

    region: ids.RegionId | None = None
    view: config_view.ConfigView | None = None
    lease_until: Callable[[], float] = lambda: float("-inf")
    accepts_requests: bool = True
    in_flight: int = 0


class RequestPath:
    """Serves `/s/{service}/{path}`."""

    def __init__(
        self,
        state: GatewayState,
        shares: Callable[[], share_service.ShareService | None],
        claims: claim_service.ClaimService,
        runner: attempt_runner.AttemptRunner,
        tokens: forwarding.ForwardTokens,
        states: region_states.RegionStateCache,
        metrics: gateway_metrics.Metrics,
        max_in_flight: int,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._state = state
        self._shares = shares
        self._claims = claims
        self._attempt_runner = runner
        self._tokens = tokens
        self._region_states = states
        self._metrics = metrics
        self._max_in_flight = max_in_flight
        self._clock = clock
        self._rng = rng
        self._body_budget = memory_budget.MemoryBudget(MAX_BUFFERED_BODIES_BYTES)
        self._abortable_tasks: set[asyncio.Task[object]] = set()
        """Tasks of requests that were not refused and may hold units of limits."""
        self._aborted_tasks: set[asyncio.Task[object]] = set()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Return an endpoint's response, or a failure that states the outcome."""
        self._state.in_flight += 1
        task = _current_task()
        try:
            return await self._serve(request)
        except asyncio.CancelledError:
            has_response = request.writer.output_size > 0
            if task not in self._aborted_tasks or has_response:
                raise
            # The request was cancelled by ``abort_all`` and its client is still there.
            task.uncancel()
            return self._failure_response(_aborted_failure())
        finally:
            self._abortable_tasks.discard(task)
            self._aborted_tasks.discard(task)
            self._body_budget.retain(task, 0)
            self._state.in_flight -= 1

    def abort_all(self) -> None:
        """Abort the requests in flight: their units of shared limits are reassigned."""
        for task in self._abortable_tasks:
            task.cancel()
        # Each is aborted once only, since a repeated call would cancel its answer.
        self._aborted_tasks |= self._abortable_tasks
        self._abortable_tasks.clear()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        started_at = self._clock()
        view = self._state.view
        if view is None:
            return self._failure_response(_no_lease_failure(request))
        parse_result = request_parsing.parse(request, view, started_at, time.time())
        if isinstance(parse_result, result.Err):
            return self._failure_response(parse_result.err_value)
        parsed = parse_result.ok_value
        forward_result = self._tokens.read(request)
        if isinstance(forward_result, result.Err):
            return self._failure_response(forward_result.err_value)
        if forward_result.ok_value is not None:
            return await self._serve_forwarded(
                request, parsed, view, forward_result.ok_value
            )
        response = await self._serve_client(request, parsed, view)
        self._metrics.record_request(
            parsed.route.service,
            parsed.route.request_class.value,
            parsed.route.limits.patience.value,
            response.headers.get(outcomes.OUTCOME_HEADER, ""),
            self._clock() - started_at,
        )
        return response

    async def _serve_client(
        self,
        request: web.Request,
        parsed: request_parsing.ParsedRequest,
        view: config_view.ConfigView,
    ) -> web.StreamResponse:
        refusal = self._unavailable_failure(self._clock())
        if refusal is not None:
            return await self._void_and_refuse(parsed, refusal)
        self._abortable_tasks.add(_current_task())
        buffered = await self._buffer_body(request, parsed)
        if isinstance(buffered, result.Err):
            return await self._void_and_refuse(parsed, buffered.err_value)
        admitted = self._admit(request, parsed, view)
        if isinstance(admitted, admissions.Refused):
            failure = outcomes.Failure(
                503,
                admitted.code,
                admitted.message,
                retry_after_s=admitted.retry_after_s,
            )
            return await self._void_and_refuse(parsed, failure)
        context = request_context.RequestContext(
            request,
            parsed,
            view,
            buffered.ok_value,
            admitted.region,
            admitted.endpoint_owner,
        )
        context.body.pacer = admitted.pacer
        try:
            if parsed.key is None:
                return self._to_response(await self._attempt_runner.run(context))
            return await self._claim_and_run(context)
        finally:
            admitted.release()

    async def _serve_forwarded(
        self,
        request: web.Request,
        parsed: request_parsing.ParsedRequest,
        view: config_view.ConfigView,
        forward: forwarding.ForwardInfo,
    ) -> web.StreamResponse:
        refusal = self._unavailable_failure(self._clock())
        if refusal is not None:
            return self._failure_response(refusal)
        self._abortable_tasks.add(_current_task())
        buffered = await self._buffer_body(request, parsed)
        if isinstance(buffered, result.Err):
            return self._failure_response(buffered.err_value)
        domain = view.declaration.failure_domains_by_id.get(forward.failure_domain)
        if domain is None:
            message = f"{forward.failure_domain!r} is no failure domain"
            return self._failure_response(
                outcomes.Failure(503, "unknown-pool", message)
            )
        context = request_context.RequestContext(
            request,
            parsed,
            view,
            buffered.ok_value,
            domain.region,
            forward.endpoint_owner,
        )
        pool = owners.Pool(parsed.route.service, forward.failure_domain)
        return self._to_response(
            await self._attempt_runner.run_in_local_pool(context, pool)
        )

    async def _claim_and_run(
        self, context: request_context.RequestContext
    ) -> web.StreamResponse:
        parsed = context.parsed
        assert parsed.key is not None
        claimed = await self._claims.claim(parsed.key, parsed.attempt, parsed.deadline)
        match claimed:
            case claim_service.DispatchPermit():
                context.on_response = lambda received: _report_response(
                    claimed, received
                )
                try:
                    attempt_result = await self._attempt_runner.run(context)
                except asyncio.CancelledError:
                    if attempt_runner.cannot_have_run(context):
                        self._claims.void_in_background(claimed)
                    raise
                return await self._to_claimed_response(attempt_result, claimed)
            case claim_attempt.AlreadyDispatched():
                return self._replayed_response(claimed)
            case claim_attempt.Voided():
                return self._failure_response(_voided_failure(parsed))
            case claim_attempt.Undecided():
                return self._failure_response(_undecided_failure())

    async def _to_claimed_response(
        self,
        attempt_result: request_context.AttemptResult,
        claimed: claim_service.DispatchPermit,
    ) -> web.StreamResponse:
        if isinstance(attempt_result, request_context.Delivered):
            return attempt_result.response
        if attempt_result.failure.outcome is outcomes.Outcome.NOT_RUN:
            voided = await claimed.void_after_dispatch()
            if not isinstance(voided, claim_attempt.Voided):
                return self._failure_response(
                    outcomes.with_unknown_outcome(attempt_result.failure)
                )
        return self._failure_response(attempt_result.failure)

    async def _buffer_body(
        self, request: web.Request, parsed: request_parsing.ParsedRequest
    ) -> result.Result[request_body.RequestBody, outcomes.Failure]:
        max_bytes = parsed.route.limits.body_bytes
        timeout_s = parsed.deadline - self._clock()
        return await request_body.buffer_body(
            request, max_bytes, timeout_s, self._body_budget
        )

    def _unavailable_failure(self, now: float) -> outcomes.Failure | None:
        if not self._state.accepts_requests:
            message = "the instance is stopping; use another"
            return outcomes.Failure(503, "stopping", message, retry_after_s=1)
        if now >= self._state.lease_until():
            message = "the instance holds no configuration lease; use another"
            return outcomes.Failure(503, "no-lease", message, retry_after_s=1)
        if self._state.in_flight > self._max_in_flight:
            message = f"{self._max_in_flight} requests are in flight here"
            return outcomes.Failure(503, "overloaded", message, retry_after_s=1)
        return None

    def _admit(
        self,
        request: web.Request,
        parsed: request_parsing.ParsedRequest,
        view: config_view.ConfigView,
    ) -> admissions.Admitted | admissions.Refused:
        shares = self._shares()
        service = parsed.route.service
        if shares is None or self._state.region is None:
            message = "the catalogue does not declare this instance"
            return admissions.Refused(1.0, "not-declared", message)
        return shares.admit(
            admissions.RequestAttributes(
                service,
                _home_region(request, view, self._state.region),
                parsed.route.limits.patience,
                parsed.content_length or 0,
            ),
            self._region_states.get(view, service),
            self._clock(),
            self._rng.random(),
        )

    async def _void_and_refuse(
        self, parsed: request_parsing.ParsedRequest, failure: outcomes.Failure
    ) -> web.StreamResponse:
        """Refuse a request that was not sent, and void the attempt of its key.

        If the key was already dispatched, its stored response is replayed instead.
        """
        if parsed.key is None:
            return self._failure_response(failure)
        voided = await self._claims.void(parsed.key, parsed.attempt)
        match voided:
            case claim_attempt.Voided():
                return self._failure_response(failure)
            case claim_attempt.AlreadyDispatched():
                return self._replayed_response(voided)
            case claim_attempt.Undecided():
                return self._failure_response(outcomes.with_unknown_outcome(failure))

    def _replayed_response(
        self, earlier: claim_attempt.AlreadyDispatched
    ) -> web.Response:
        stored = earlier.answer
        if stored is None or stored.body is None:
            message = "the key was sent to an endpoint before; its answer is not kept"
            return self._failure_response(
                outcomes.Failure(
                    409, "already-dispatched", message, outcomes.Outcome.UNKNOWN
                )
            )
        headers = {
            outcomes.OUTCOME_HEADER: outcomes.Outcome.ANSWERED.value,
            outcomes.VERSION_HEADER: str(self._version()),
            REPLAYED_HEADER: "1",
        }
        if stored.content_type:
            headers["Content-Type"] = stored.content_type
        return web.Response(status=stored.status, body=stored.body, headers=headers)

    def _to_response(
        self, attempt_result: request_context.AttemptResult
    ) -> web.StreamResponse:
        if isinstance(attempt_result, request_context.Delivered):
            return attempt_result.response
        return self._failure_response(attempt_result.failure)

    def _failure_response(self, failure: outcomes.Failure) -> web.Response:
        if failure.outcome is outcomes.Outcome.NOT_RUN:
            events.event("request.refused", code=failure.code, status=failure.status)
        else:
            events.event("request.failed", code=failure.code, status=failure.status)
        return outcomes.failure_response(failure, self._version())

    def _version(self) -> int:
        return 0 if self._state.view is None else self._state.view.version


def _current_task() -> asyncio.Task[object]:
    task = asyncio.current_task()
    assert task is not None
    return task


def _home_region(
    request: web.Request, view: config_view.ConfigView, local_region: ids.RegionId
) -> ids.RegionId:
    # A client of another region was sent here by a traffic shift from that region.
    address = lookup_table.parse_address(request.remote or "")
    if isinstance(address, result.Err):
        return local_region
    return view.declared_region(address.ok_value) or local_region


def _report_response(
    claimed: claim_service.DispatchPermit, received: exchange.ReceivedResponse
) -> None:
    # The body is stored for duplicates only if it was buffered completely.
    body = received.body if received.remaining_body is None else None
    claimed.complete(received.status, received.headers.get("Content-Type", ""), body)


def _no_lease_failure(request: web.Request) -> outcomes.Failure:
    outcome = outcomes.Outcome.NOT_RUN
    if request_parsing.KEY_HEADER in request.headers:
        # Without a configuration the state of the key cannot be determined.
        outcome = outcomes.Outcome.UNKNOWN
    message = "the instance holds no configuration lease; use another"
    return outcomes.Failure(503, "no-lease", message, outcome, retry_after_s=1)


def _aborted_failure() -> outcomes.Failure:
    message = "the instance lost its configuration lease while it served the request"
    return outcomes.Failure(504, "lease-lost", message, outcomes.Outcome.UNKNOWN)


def _voided_failure(parsed: request_parsing.ParsedRequest) -> outcomes.Failure:
    message = (
        f"attempt {parsed.attempt} of the key was refused before and never runs; to"
        f" try again, send {request_parsing.ATTEMPT_HEADER}: {parsed.attempt + 1}"
    )
    return outcomes.Failure(409, "attempt-void", message)


def _undecided_failure() -> outcomes.Failure:
    message = "too few holders of the key's claim answered; send the key again"
    return outcomes.Failure(
        503, "claim-undecided", message, outcomes.Outcome.UNKNOWN, retry_after_s=1
    )
