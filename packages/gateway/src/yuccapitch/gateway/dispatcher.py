"""Sends admitted requests to endpoints, directly or through a pool's owner."""

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
    bodies,
    endpoint_watch,
    exchange,
    forwarding,
    jobs,
    outcomes,
    pool_service,
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

_NOT_SERVING_CODES = frozenset({"pool-moved", "wrong-token", "no-lease", "stopping"})
"""Refusals by an instance that no longer owns the pool; another is chosen next."""

Addresses = Callable[[ids.InstanceId], tuple[str, int] | None]


class Dispatcher:
    """Makes the attempts of a request."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        pools: pool_service.PoolService,
        watch: endpoint_watch.EndpointWatch,
        health_view: health.HealthView,
        exchanges: exchange.Exchanges,
        tokens: forwarding.ForwardTokens,
        addresses: Addresses,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._instance_id = instance_id
        self._pools = pools
        self._watch = watch
        self._health_view = health_view
        self._exchanges = exchanges
        self._tokens = tokens
        self._addresses = addresses
        self._clock = clock
        self._rng = rng
        self._numbers = itertools.count(1)
        self._shed_memory = retry.RecentSheds()
        self._budgets_by_service: collections.defaultdict[
            ids.ServiceId, retry_budget.RetryBudget
        ] = collections.defaultdict(retry_budget.RetryBudget)

    async def run(self, job: jobs.Job) -> jobs.End:
        """Make attempts until one is answered or none may follow."""
        budget = self._budgets_by_service[job.wanted.route.service]
        budget.record_first_attempt()
        number = 1
        may_have_run = False
        while True:
            ended = await self._attempt(job)
            if isinstance(ended, jobs.Delivered):
                return ended
            if may_have_run:
                # The outcome is that of the request, not of its last attempt.
                ended = jobs.Failed(outcomes.as_unknown(ended.failure), ended.end)
            may_have_run = ended.failure.outcome is outcomes.Outcome.UNKNOWN
            if ended.end is None:
                return ended
            following = self._decide_retry(job, ended.end, number, budget)
            if isinstance(following, result.Err):
                return ended
            number = following.ok_value

    async def run_in_pool(self, job: jobs.Job, pool: owners.Pool) -> jobs.End:
        """Make one attempt in an own pool, for the instance that forwarded it."""
        return await self._attempt_here(job, pool)

    def _decide_retry(
        self,
        job: jobs.Job,
        end: retry.AttemptEnd,
        number: int,
        budget: retry_budget.RetryBudget,
    ) -> result.Result[int, retry.NoRetryReason]:
        if not job.body.can_resend:
            return result.Err(retry.NoRetryReason.MAY_HAVE_RUN)
        now = self._clock()
        avoided = self._shed_memory.endpoints_to_avoid(now)
        endpoints = job.view.endpoints(job.wanted.route.service, job.region)
        others = [e for e in endpoints if e not in avoided and job.allows(e)]
        expected_s = self._health_view.typical_service_s(job.wanted.route_id)
        attempt = retry.Attempt(
            number, job.wanted.route.request_class, end, job.wanted.deadline, expected_s
        )
        return retry.decide_retry(attempt, budget, len(others), now)

    async def _attempt(self, job: jobs.Job) -> jobs.End:
        chosen = self._choose_pool(job)
        if chosen is None:
            message = f"no endpoint of {job.wanted.route.service!r} takes work"
            failure = outcomes.Failure(503, "no-endpoint", message, retry_after_s=1)
            return jobs.Failed(failure, None)
        if chosen.owner == self._instance_id:
            ended = await self._attempt_here(job, chosen.pool)
        else:
            self._pools.directory.record_sent(chosen.pool)
            try:
                ended = await self._forward(job, chosen)
            finally:
                self._pools.directory.record_ended(chosen.pool)
        if isinstance(ended, jobs.Failed):
            job.tried_pools.add(chosen.pool)
        return ended

    def _choose_pool(self, job: jobs.Job) -> pool_choice.PoolView | None:
        now = self._clock()
        avoided = self._shed_memory.endpoints_to_avoid(now)
        is_first_choice = not avoided and not job.tried_pools
        own = self._pools.idle_pool(job.wanted.route.service, job.region, now)
        if own is not None and job.endpoint_owner is None and is_first_choice:
            return own
        views = [
            view
            for view in self._pools.directory.views(
                job.wanted.route.service, {job.region}, self._pools.own_pools, now
            )
            if view.owner == self._instance_id or self._tokens.knows(view.owner)
        ]
        if job.endpoint_owner is not None:
            views = [view for view in views if self._has_owner(job, view.pool)]
        if not is_first_choice:
            # Without any other, one of them is asked again.
            views = [v for v in views if _is_untried(job, v.pool, avoided)] or views
        return pool_choice.choose_pool(
            views,
            job.wanted.route.limits.patience,
            self._health_view.typical_service_s(job.wanted.route_id),
            now,
        )

    def _has_owner(self, job: jobs.Job, pool: owners.Pool) -> bool:
        return any(map(job.allows, job.view.pool_endpoints(pool)))

    async def _attempt_here(self, job: jobs.Job, pool: owners.Pool) -> jobs.End:
        ask = self._ask(job, pool)
        acquired = await self._pools.acquire(pool, ask)
        if isinstance(acquired, result.Err):
            refused = acquired.err_value
            failure = outcomes.Failure(
                503,
                refused.reason.value,
                "no endpoint has room in time",
                retry_after_s=refused.retry_after_s,
            )
            return jobs.Failed(failure, retry.AttemptEnd.NOT_SENT)
        end: health.ExchangeOutcome | None = None
        began_at = self._clock()
        is_over = False
        try:
            ended, end = await self._exchange(job, acquired.ok_value)
            is_over = _is_over(ended)
            return ended
        finally:
            release = functools.partial(
                self._pools.release,
                pool,
                ask.request_id,
                end,
                self._clock() - began_at,
            )
            if is_over:
                release()
            else:
                # The endpoint may go on until it sees that the exchange was closed.
                loop = asyncio.get_running_loop()
                loop.call_later(slots.RELEASE_GRACE_S, release)

    def _ask(self, job: jobs.Job, pool: owners.Pool) -> pool_module.SlotRequest:
        avoided = self._shed_memory.endpoints_to_avoid(self._clock())
        if job.endpoint_owner is not None:
            others = job.view.pool_endpoints(pool)
            avoided |= {e for e in others if not job.allows(e)}
        return pool_module.SlotRequest(
            request_id=f"{self._instance_id}/{next(self._numbers)}",
            holder=self._instance_id,
            patience=job.wanted.route.limits.patience,
            route=job.wanted.route_id,
            deadline=job.wanted.deadline,
            avoided=avoided,
        )

    async def _exchange(
        self, job: jobs.Job, slot: pool_service.Slot
    ) -> tuple[jobs.End, health.ExchangeOutcome | None]:
        endpoint_id = slot.endpoint_id
        endpoint = job.view.declaration.endpoints_by_id[endpoint_id]
        target = exchange.Target(
            endpoint.host,
            endpoint.port,
            job.request.method,
            job.wanted.path_and_query,
            forwarding.without_forward_headers(job.request.headers),
            job.wanted.route.request_class is model.RequestClass.READ_ONLY,
        )
        began_at = self._clock()
        timeout_s = slot.deadline - began_at
        async with self._exchanges.exchange(target, job.body, timeout_s) as outcome:
            match outcome:
                case exchange.Answer():
                    self._watch.hear_answer(endpoint_id, outcome.headers, began_at)
                    response = await deliver(job, outcome)
                    return jobs.Delivered(response), health.ExchangeOutcome.ANSWERED
                case exchange.ShedAnswer():
                    self._watch.hear_answer(endpoint_id, outcome.headers, began_at)
                    self._shed_memory.record(endpoint_id, self._clock())
                    failure = outcomes.Failure(
                        503, "shed", "the endpoint has no room", retry_after_s=1
                    )
                    failed = jobs.Failed(failure, retry.AttemptEnd.SHED)
                    return failed, health.ExchangeOutcome.SHED
                case exchange.NoAnswer():
                    return _no_answer(job, outcome), _health_end(outcome)

    async def _forward(self, job: jobs.Job, chosen: pool_choice.PoolView) -> jobs.End:
        address = self._addresses(chosen.owner)
        if address is None:
            failure = outcomes.Failure(
                503, "no-owner", "the pool's owner is not known", retry_after_s=1
            )
            return jobs.Failed(failure, retry.AttemptEnd.NOT_SENT)
        forward = forwarding.Forward(chosen.pool.failure_domain, job.endpoint_owner)
        service = job.wanted.route.service
        target = exchange.Target(
            *address,
            job.request.method,
            f"/s/{service}{job.wanted.path_and_query}",
            self._tokens.headers(chosen.owner, forward, job.request.headers),
            job.wanted.route.request_class is model.RequestClass.READ_ONLY,
        )
        timeout_s = job.wanted.deadline - self._clock()
        async with self._exchanges.exchange(target, job.body, timeout_s) as outcome:
            match outcome:
                case exchange.Answer():
                    return await self._forwarded_end(job, outcome, chosen.owner)
                case exchange.NoAnswer(sent):
                    if sent is exchange.Sent.NOTHING:
                        self._pools.directory.mark_link_lost(chosen.owner)
                    return _no_answer(job, outcome)
                case exchange.ShedAnswer():
                    raise AssertionError("an owner never passes a shed answer on")

    async def _forwarded_end(
        self, job: jobs.Job, answer: exchange.Answer, owner: ids.InstanceId
    ) -> jobs.End:
        text = answer.headers.get(outcomes.OUTCOME_HEADER)
        if text == outcomes.Outcome.ANSWERED.value:
            return jobs.Delivered(await deliver(job, answer))
        failure = outcomes.Failure(
            answer.status,
            outcomes.code_of(answer.body),
            "the owner of the pool gave no whole answer",
            outcomes.Outcome.UNKNOWN,
        )
        if text != outcomes.Outcome.NOT_RUN.value:
            return jobs.Failed(failure, retry.AttemptEnd.BROKEN)
        if failure.code in _NOT_SERVING_CODES:
            self._pools.directory.mark_link_lost(owner)
        retry_after = answer.headers.get("Retry-After", "1")
        failure = outcomes.Failure(
            answer.status,
            failure.code,
            "no endpoint has room in time",
            retry_after_s=float(retry_after) if retry_after.isdigit() else 1.0,
        )
        return jobs.Failed(failure, retry.AttemptEnd.NOT_SENT)


def _is_untried(
    job: jobs.Job, pool: owners.Pool, avoided: frozenset[ids.EndpointId]
) -> bool:
    if pool in job.tried_pools:
        return False
    return any(endpoint not in avoided for endpoint in job.view.pool_endpoints(pool))


async def deliver(job: jobs.Job, answer: exchange.Answer) -> web.StreamResponse:
    """Pass an answer on; a failure midway aborts the caller's connection."""
    job.is_answered = True
    job.on_answer(answer)
    headers = exchange.forwarded_headers(answer.headers)
    headers[outcomes.OUTCOME_HEADER] = outcomes.Outcome.ANSWERED.value
    headers[outcomes.VERSION_HEADER] = str(job.view.version)
    if answer.rest is None:
        response = web.Response(
            status=answer.status, body=answer.body or None, headers=headers
        )
        if job.request.method == "HEAD" and answer.length is not None:
            response.headers["Content-Length"] = str(answer.length)
        return response
    streamed = web.StreamResponse(status=answer.status, headers=headers)
    streamed.content_length = answer.length
    await streamed.prepare(job.request)
    await streamed.write(answer.body)
    # The announced length or the missing last chunk shows the caller that an
    # answer which ends early is not whole.
    while chunk := await answer.rest.readany():
        await streamed.write(chunk)
    await streamed.write_eof()
    return streamed


def _is_over(ended: jobs.End) -> bool:
    if isinstance(ended, jobs.Delivered):
        return True
    return ended.failure.outcome is outcomes.Outcome.NOT_RUN


def _no_answer(job: jobs.Job, ended: exchange.NoAnswer) -> jobs.Failed:
    if ended.body_fault is not None:
        failure = bodies.failure_of(ended.body_fault)
        if not _never_ran(job, ended):
            failure = outcomes.as_unknown(failure)
        return jobs.Failed(failure, None)
    never_ran = _never_ran(job, ended)
    failure = outcomes.Failure(
        504 if ended.is_timeout else 502,
        "no-answer",
        f"the endpoint gave no whole answer ({ended.reason})",
        outcomes.Outcome.NOT_RUN if never_ran else outcomes.Outcome.UNKNOWN,
    )
    if never_ran:
        return jobs.Failed(failure, retry.AttemptEnd.NOT_SENT)
    end = retry.AttemptEnd.TIMED_OUT if ended.is_timeout else retry.AttemptEnd.BROKEN
    return jobs.Failed(failure, end)


def _never_ran(job: jobs.Job, ended: exchange.NoAnswer) -> bool:
    if ended.sent is exchange.Sent.NOTHING:
        return True
    # An upload that did not arrive whole was not kept.
    is_upload = job.wanted.route.request_class is model.RequestClass.KEPT_ONCE
    return is_upload and ended.sent is exchange.Sent.PART


def cannot_have_run(job: jobs.Job) -> bool:
    """Whether a request whose caller went away is known not to have run."""
    if job.is_answered:
        return False
    if not job.body.is_begun:
        return True
    # An upload that did not arrive whole was not kept.
    is_upload = job.wanted.route.request_class is model.RequestClass.KEPT_ONCE
    return is_upload and not job.body.all_sent


def _health_end(ended: exchange.NoAnswer) -> health.ExchangeOutcome | None:
    if ended.body_fault is not None:
        return None
    return (
        health.ExchangeOutcome.TIMED_OUT
        if ended.is_timeout
        else health.ExchangeOutcome.FAILED
    )
