"""Attempts to send a request to an endpoint, directly or through a pool's owner."""

from __future__ import annotations

import asyncio
import collections
import functools
import itertools
import random
from collections.abc import Callable

import result
from aiohttp import web

from yuccapitch.catalogue import ids, model
from yuccapitch.gateway import (
    endpoint_monitor,
    exchange,
    forwarding,
    outcomes,
    pool_service,
    request_body,
    request_context,
)
from yuccapitch.steering import (
    health,
    owners,
    pool as pool_module,
    pool_choice,
    retry,
    retry_budget,
    slots,
)

_NOT_OWNER_CODES = frozenset({"pool-moved", "wrong-token", "no-lease", "stopping"})
"""Error codes of an instance that does not own the pool or cannot serve it now.

Its pools are not preferred by the next attempts.
"""

OWNER_TOKEN_WAIT_S = 1.0
"""Longest wait for the first counts of an owner, which come every half second."""

Addresses = Callable[[ids.InstanceId], tuple[str, int] | None]


class AttemptRunner:
    """Attempts requests and retries them while the rules allow it."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        pools: pool_service.PoolService,
        monitor: endpoint_monitor.EndpointMonitor,
        health_view: health.HealthView,
        exchange_client: exchange.ExchangeClient,
        tokens: forwarding.ForwardTokens,
        addresses: Addresses,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._instance_id = instance_id
        self._pools = pools
        self._endpoint_monitor = monitor
        self._health_view = health_view
        self._exchange_client = exchange_client
        self._tokens = tokens
        self._addresses = addresses
        self._clock = clock
        self._rng = rng
        self._request_numbers = itertools.count(1)
        self._recent_sheds = retry.RecentSheds()
        self._budgets_by_service: collections.defaultdict[
            ids.ServiceId, retry_budget.RetryBudget
        ] = collections.defaultdict(retry_budget.RetryBudget)

    async def run(
        self, context: request_context.RequestContext
    ) -> request_context.AttemptResult:
        """Attempt a request until an endpoint responds or no retry is allowed."""
        budget = self._budgets_by_service[context.parsed.route.service]
        budget.record_first_attempt()
        number = 1
        may_have_run = False
        while True:
            attempt_result = await self._attempt(context)
            if isinstance(attempt_result, request_context.Delivered):
                return attempt_result
            if may_have_run:
                # The client learns one outcome for all attempts, so it is unknown
                # if any of them may have run.
                attempt_result = request_context.Failed(
                    outcomes.with_unknown_outcome(attempt_result.failure),
                    attempt_result.end,
                )
            may_have_run = attempt_result.failure.outcome is outcomes.Outcome.UNKNOWN
            if attempt_result.end is None:
                return attempt_result
            next_number = self._decide_retry(
                context, attempt_result.end, number, budget
            )
            if isinstance(next_number, result.Err):
                return attempt_result
            number = next_number.ok_value

    async def run_in_local_pool(
        self, context: request_context.RequestContext, pool: owners.Pool
    ) -> request_context.AttemptResult:
        """Attempt a forwarded request once, in a local pool."""
        return await self._attempt_locally(context, pool)

    def _decide_retry(
        self,
        context: request_context.RequestContext,
        end: retry.AttemptEnd,
        number: int,
        budget: retry_budget.RetryBudget,
    ) -> result.Result[int, retry.NoRetryReason]:
        if not context.body.can_resend:
            return result.Err(retry.NoRetryReason.MAY_HAVE_RUN)
        now = self._clock()
        avoided = self._recent_sheds.endpoints_to_avoid(now)
        endpoints = context.view.endpoints(context.parsed.route.service, context.region)
        others = [
            e for e in endpoints if e not in avoided and context.allows_endpoint(e)
        ]
        expected_s = self._health_view.typical_service_s(context.parsed.route_id)
        attempt = retry.Attempt(
            number,
            context.parsed.route.request_class,
            end,
            context.parsed.deadline,
            expected_s,
        )
        return retry.decide_retry(attempt, budget, len(others), now)

    async def _attempt(
        self, context: request_context.RequestContext
    ) -> request_context.AttemptResult:
        chosen = self._choose_pool(context)
        if chosen is None:
            await self._wait_for_owner(context)
            chosen = self._choose_pool(context)
        if chosen is None:
            message = f"no endpoint of {context.parsed.route.service!r} takes work"
            failure = outcomes.Failure(503, "no-endpoint", message, retry_after_s=1)
            return request_context.Failed(failure, None)
        if chosen.owner == self._instance_id:
            attempt_result = await self._attempt_locally(context, chosen.pool)
        else:
            self._pools.directory.record_sent(chosen.pool)
            try:
                attempt_result = await self._forward(context, chosen)
            finally:
                self._pools.directory.record_ended(chosen.pool)
        if isinstance(attempt_result, request_context.Failed):
            context.tried_pools.add(chosen.pool)
        return attempt_result

    def _choose_pool(
        self, context: request_context.RequestContext
    ) -> pool_choice.PoolView | None:
        now = self._clock()
        avoided = self._recent_sheds.endpoints_to_avoid(now)
        is_first_choice = not avoided and not context.tried_pools
        local_pool = self._pools.find_idle_pool(
            context.parsed.route.service, context.region, now
        )
        if (
            local_pool is not None
            and context.endpoint_owner is None
            and is_first_choice
        ):
            return local_pool
        views = [
            view
            for view in self._pool_views(context, now)
            if view.owner == self._instance_id or self._tokens.has_token(view.owner)
        ]
        if not is_first_choice:
            # If no untried pool is left, a tried one is used again.
            views = [v for v in views if _is_untried(context, v.pool, avoided)] or views
        return pool_choice.choose_pool(
            views,
            context.parsed.route.limits.patience,
            self._health_view.typical_service_s(context.parsed.route_id),
            now,
        )

    async def _wait_for_owner(self, context: request_context.RequestContext) -> None:
        """Wait for the token of a pool's owner if that is all that is missing."""
        now = self._clock()
        pool_owners = {view.owner for view in self._pool_views(context, now)}
        other_owners = pool_owners - {self._instance_id}
        if other_owners:
            timeout_s = min(OWNER_TOKEN_WAIT_S, context.parsed.deadline - now)
            await self._tokens.wait_for_any(other_owners, timeout_s)

    def _pool_views(
        self, context: request_context.RequestContext, now: float
    ) -> list[pool_choice.PoolView]:
        views = self._pools.directory.views(
            context.parsed.route.service,
            {context.region},
            self._pools.owned_pools,
            now,
        )
        if context.endpoint_owner is None:
            return list(views)
        return [
            view for view in views if self._has_allowed_endpoint(context, view.pool)
        ]

    def _has_allowed_endpoint(
        self, context: request_context.RequestContext, pool: owners.Pool
    ) -> bool:
        return any(map(context.allows_endpoint, context.view.pool_endpoints(pool)))

    async def _attempt_locally(
        self, context: request_context.RequestContext, pool: owners.Pool
    ) -> request_context.AttemptResult:
        slot_request = self._build_slot_request(context, pool)
        acquired = await self._pools.acquire(pool, slot_request)
        if isinstance(acquired, result.Err):
            refused = acquired.err_value
            failure = outcomes.Failure(
                503,
                refused.reason.value,
                "no endpoint has room in time",
                retry_after_s=refused.retry_after_s,
            )
            return request_context.Failed(failure, retry.AttemptEnd.NOT_SENT)
        slot = acquired.ok_value
        end: health.ExchangeOutcome | None = None
        started_at = self._clock()
        is_finished = False
        try:
            attempt_result, end = await self._exchange(context, slot)
            is_finished = _is_finished(attempt_result)
            if isinstance(attempt_result, request_context.Failed):
                context.tried_pools.add(slot.pool)
            return attempt_result
        finally:
            release = functools.partial(
                self._pools.release,
                slot.pool,
                slot_request.request_id,
                end,
                self._clock() - started_at,
            )
            if is_finished:
                release()
            else:
                # The endpoint may keep working until it detects the closed connection,
                # so the slot stays in use for that time.
                loop = asyncio.get_running_loop()
                loop.call_later(slots.RELEASE_GRACE_S, release)

    def _build_slot_request(
        self, context: request_context.RequestContext, pool: owners.Pool
    ) -> pool_module.SlotRequest:
        avoided: frozenset[ids.EndpointId] = frozenset()
        if context.endpoint_owner is not None:
            # The request may be moved to another pool of its region.
            endpoints = context.view.endpoints(pool.service, context.region)
            avoided = frozenset(e for e in endpoints if not context.allows_endpoint(e))
        return pool_module.SlotRequest(
            request_id=f"{self._instance_id}/{next(self._request_numbers)}",
            holder=self._instance_id,
            patience=context.parsed.route.limits.patience,
            route=context.parsed.route_id,
            deadline=context.parsed.deadline,
            avoided=avoided,
            avoided_until_by_id=self._recent_sheds.avoided_until_by_id(self._clock()),
        )

    async def _exchange(
        self, context: request_context.RequestContext, slot: pool_service.Slot
    ) -> tuple[request_context.AttemptResult, health.ExchangeOutcome | None]:
        endpoint_id = slot.endpoint_id
        # The request may have waited while the endpoint was added or changed.
        endpoint = self._pools.find_endpoint(slot)
        if endpoint is None or context.endpoint_owner not in (None, endpoint.owner):
            failure = outcomes.Failure(
                503,
                "no-endpoint",
                f"the endpoint {endpoint_id!r} may not serve the request any more",
                retry_after_s=1,
            )
            failed = request_context.Failed(failure, retry.AttemptEnd.NOT_SENT)
            return failed, None
        target = exchange.Target(
            endpoint.host,
            endpoint.port,
            context.request.method,
            context.parsed.path_and_query,
            forwarding.strip_forward_headers(context.request.headers),
            context.parsed.route.request_class is model.RequestClass.READ_ONLY,
        )
        started_at = self._clock()
        timeout_s = slot.deadline - started_at
        async with self._exchange_client.exchange(
            target, context.body, timeout_s
        ) as outcome:
            match outcome:
                case exchange.ReceivedResponse():
                    self._endpoint_monitor.record_response(
                        endpoint_id, outcome.headers, started_at
                    )
                    response = await relay_response(context, outcome)
                    return (
                        request_context.Delivered(response),
                        health.ExchangeOutcome.ANSWERED,
                    )
                case exchange.ShedResponse():
                    self._endpoint_monitor.record_response(
                        endpoint_id, outcome.headers, started_at
                    )
                    self._recent_sheds.record(endpoint_id, self._clock())
                    failure = outcomes.Failure(
                        503, "shed", "the endpoint has no room", retry_after_s=1
                    )
                    failed = request_context.Failed(failure, retry.AttemptEnd.SHED)
                    return failed, health.ExchangeOutcome.SHED
                case exchange.NoResponse():
                    return _no_response_failure(context, outcome), _health_outcome(
                        outcome
                    )

    async def _forward(
        self, context: request_context.RequestContext, chosen: pool_choice.PoolView
    ) -> request_context.AttemptResult:
        address = self._addresses(chosen.owner)
        if address is None:
            failure = outcomes.Failure(
                503, "no-owner", "the pool's owner is not known", retry_after_s=1
            )
            return request_context.Failed(failure, retry.AttemptEnd.NOT_SENT)
        forward = forwarding.ForwardInfo(
            chosen.pool.failure_domain, context.endpoint_owner
        )
        service = context.parsed.route.service
        target = exchange.Target(
            *address,
            context.request.method,
            f"/s/{service}{context.parsed.path_and_query}",
            self._tokens.build_headers(chosen.owner, forward, context.request.headers),
            context.parsed.route.request_class is model.RequestClass.READ_ONLY,
        )
        timeout_s = context.parsed.deadline - self._clock()
        async with self._exchange_client.exchange(
            target, context.body, timeout_s
        ) as outcome:
            match outcome:
                case exchange.ReceivedResponse():
                    return await self._forwarded_result(context, outcome, chosen.owner)
                case exchange.NoResponse(sent):
                    if sent is exchange.SentAmount.NOTHING:
                        self._pools.directory.mark_link_lost(chosen.owner)
                    return _no_response_failure(context, outcome)
                case exchange.ShedResponse():
                    raise AssertionError("the owner of a pool relayed a shed response")

    async def _forwarded_result(
        self,
        context: request_context.RequestContext,
        received: exchange.ReceivedResponse,
        owner: ids.InstanceId,
    ) -> request_context.AttemptResult:
        text = received.headers.get(outcomes.OUTCOME_HEADER)
        if text == outcomes.Outcome.ANSWERED.value:
            return request_context.Delivered(await relay_response(context, received))
        failure = outcomes.Failure(
            received.status,
            outcomes.parse_error_code(received.body),
            "the owner of the pool gave no whole answer",
            outcomes.Outcome.UNKNOWN,
        )
        if text != outcomes.Outcome.NOT_RUN.value:
            return request_context.Failed(failure, retry.AttemptEnd.BROKEN)
        if failure.code in _NOT_OWNER_CODES:
            self._pools.directory.mark_link_lost(owner)
        retry_after = received.headers.get("Retry-After", "1")
        failure = outcomes.Failure(
            received.status,
            failure.code,
            "no endpoint has room in time",
            retry_after_s=float(retry_after) if retry_after.isdigit() else 1.0,
        )
        return request_context.Failed(failure, retry.AttemptEnd.NOT_SENT)


def _is_untried(
    context: request_context.RequestContext,
    pool: owners.Pool,
    avoided: frozenset[ids.EndpointId],
) -> bool:
    if pool in context.tried_pools:
        return False
    return any(
        endpoint not in avoided for endpoint in context.view.pool_endpoints(pool)
    )


async def relay_response(
    context: request_context.RequestContext, received: exchange.ReceivedResponse
) -> web.StreamResponse:
    """Relay a response; a failure midway aborts the client's connection."""
    context.has_response = True
    context.on_response(received)
    headers = exchange.end_to_end_headers(received.headers)
    headers[outcomes.OUTCOME_HEADER] = outcomes.Outcome.ANSWERED.value
    headers[outcomes.VERSION_HEADER] = str(context.view.version)
    if received.remaining_body is None:
        response = web.Response(
            status=received.status, body=received.body or None, headers=headers
        )
        if context.request.method == "HEAD" and received.length is not None:
            response.headers["Content-Length"] = str(received.length)
        return response
    streamed = web.StreamResponse(status=received.status, headers=headers)
    streamed.content_length = received.length
    await streamed.prepare(context.request)
    async with asyncio.timeout_at(received.remaining_body.write_deadline):
        await streamed.write(received.body)
    # If the body ends early, the announced length or the missing last chunk shows
    # the client that the response is incomplete.
    while chunk := await received.remaining_body.readany():
        async with asyncio.timeout_at(received.remaining_body.write_deadline):
            await streamed.write(chunk)
    await streamed.write_eof()
    return streamed


def _is_finished(attempt_result: request_context.AttemptResult) -> bool:
    if isinstance(attempt_result, request_context.Delivered):
        return True
    return attempt_result.failure.outcome is outcomes.Outcome.NOT_RUN


def _no_response_failure(
    context: request_context.RequestContext, no_response: exchange.NoResponse
) -> request_context.Failed:
    if no_response.body_fault is not None:
        failure = request_body.body_failure(no_response.body_fault)
        if not _never_ran(context, no_response):
            failure = outcomes.with_unknown_outcome(failure)
        return request_context.Failed(failure, None)
    never_ran = _never_ran(context, no_response)
    failure = outcomes.Failure(
        504 if no_response.is_timeout else 502,
        "no-answer",
        f"the endpoint gave no whole answer ({no_response.reason})",
        outcomes.Outcome.NOT_RUN if never_ran else outcomes.Outcome.UNKNOWN,
    )
    if never_ran:
        return request_context.Failed(failure, retry.AttemptEnd.NOT_SENT)
    end = (
        retry.AttemptEnd.TIMED_OUT
        if no_response.is_timeout
        else retry.AttemptEnd.BROKEN
    )
    return request_context.Failed(failure, end)


def _never_ran(
    context: request_context.RequestContext, no_response: exchange.NoResponse
) -> bool:
    if no_response.sent is exchange.SentAmount.NOTHING:
        return True
    # An endpoint does not store an upload that it received only in part.
    is_upload = context.parsed.route.request_class is model.RequestClass.KEPT_ONCE
    return is_upload and no_response.sent is exchange.SentAmount.PART


def cannot_have_run(context: request_context.RequestContext) -> bool:
    """Whether a request whose client disconnected certainly did not run."""
    if context.has_response:
        return False
    if not context.body.is_send_started:
        return True
    # An endpoint does not store an upload that it received only in part.
    is_upload = context.parsed.route.request_class is model.RequestClass.KEPT_ONCE
    return is_upload and not context.body.is_fully_sent


def _health_outcome(no_response: exchange.NoResponse) -> health.ExchangeOutcome | None:
    if no_response.body_fault is not None:
        return None
    return (
        health.ExchangeOutcome.TIMED_OUT
        if no_response.is_timeout
        else health.ExchangeOutcome.FAILED
    )
