"""The way of one request: admission, endpoint, exchange, answer."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable

import result
from aiohttp import web

from yuccapitch.catalogue import ids, model
from yuccapitch.gateway import (
    bodies,
    config_view,
    exchange,
    incoming,
    metrics as gateway_metrics,
    outcomes,
)


@dataclasses.dataclass
class GatewayState:
    """What the request path knows of its instance."""

    view: config_view.ConfigView | None = None
    lease_until: Callable[[], float] = lambda: float("-inf")
    takes_new_work: bool = True
    in_flight: int = 0


class RequestPath:
    """Serves `/s/{service}/{path}`."""

    def __init__(
        self,
        state: GatewayState,
        exchanges: exchange.Exchanges,
        metrics: gateway_metrics.Metrics,
        max_in_flight: int,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._state = state
        self._exchanges = exchanges
        self._metrics = metrics
        self._max_in_flight = max_in_flight
        self._clock = clock
        self._rng = rng

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one request, whole or with a failure that tells its outcome."""
        self._state.in_flight += 1
        try:
            return await self._serve(request)
        finally:
            self._state.in_flight -= 1

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        now = self._clock()
        refusal = self._refusal(now)
        if refusal is not None:
            return self._fail(refusal)
        view = self._state.view
        assert view is not None
        parsed = incoming.parse(request, view, now, time.time())
        if isinstance(parsed, result.Err):
            return self._fail(parsed.err_value)
        opened = await bodies.open_body(
            request, parsed.ok_value.route.limits.body_bytes
        )
        if isinstance(opened, result.Err):
            return self._fail(opened.err_value)
        return await self._dispatch(request, parsed.ok_value, view, opened.ok_value)

    def _refusal(self, now: float) -> outcomes.Failure | None:
        if not self._state.takes_new_work:
            return outcomes.Failure(
                503,
                "stopping",
                "the instance is stopping; use another",
                retry_after_s=1,
            )
        if self._state.view is None or now >= self._state.lease_until():
            message = "the instance holds no configuration lease; use another"
            return outcomes.Failure(503, "no-lease", message, retry_after_s=1)
        if self._state.in_flight > self._max_in_flight:
            message = f"{self._max_in_flight} requests are in flight here"
            return outcomes.Failure(503, "overloaded", message, retry_after_s=1)
        return None

    async def _dispatch(
        self,
        request: web.Request,
        wanted: incoming.Incoming,
        view: config_view.ConfigView,
        body: bodies.Body,
    ) -> web.StreamResponse:
        endpoint = self._choose(wanted, view)
        if endpoint is None:
            message = f"no endpoint of {wanted.route.service!r} takes work"
            return self._fail(
                outcomes.Failure(503, "no-endpoint", message, retry_after_s=1)
            )
        target = exchange.Target(
            endpoint,
            request.method,
            wanted.path_and_query,
            request.headers,
            wanted.route.request_class is model.RequestClass.READ_ONLY,
        )
        timeout_s = wanted.deadline - self._clock()
        async with self._exchanges.exchange(target, body, timeout_s) as outcome:
            match outcome:
                case exchange.Answer():
                    return await self._answer(request, outcome, view.version)
                case exchange.ShedAnswer():
                    message = "the endpoint has no room"
                    return self._fail(
                        outcomes.Failure(503, "shed", message, retry_after_s=1)
                    )
                case exchange.NoAnswer():
                    return self._fail(_failure_of(outcome, wanted))

    def _choose(
        self, wanted: incoming.Incoming, view: config_view.ConfigView
    ) -> model.Endpoint | None:
        endpoints = [
            endpoint
            for endpoint in view.declaration.endpoints_by_id.values()
            if endpoint.service == wanted.route.service
        ]
        return self._rng.choice(endpoints) if endpoints else None

    async def _answer(
        self, request: web.Request, answer: exchange.Answer, version: ids.Version
    ) -> web.StreamResponse:
        headers = exchange.forwarded_headers(answer.headers)
        headers[outcomes.OUTCOME_HEADER] = outcomes.Outcome.ANSWERED.value
        headers[outcomes.VERSION_HEADER] = str(version)
        if answer.rest is None:
            return web.Response(status=answer.status, body=answer.body, headers=headers)
        response = web.StreamResponse(status=answer.status, headers=headers)
        response.content_length = answer.length
        await response.prepare(request)
        await response.write(answer.body)
        # A failure here aborts the caller's connection: the answer's length or
        # its missing last chunk shows the caller that it is not whole.
        while chunk := await answer.rest.readany():
            await response.write(chunk)
        await response.write_eof()
        return response

    def _fail(self, failure: outcomes.Failure) -> web.Response:
        version = 0 if self._state.view is None else self._state.view.version
        return outcomes.failure_response(failure, version)


def _failure_of(
    ended: exchange.NoAnswer, wanted: incoming.Incoming
) -> outcomes.Failure:
    if ended.body_fault is not None:
        return bodies.failure_of(ended.body_fault)
    outcome = outcomes.Outcome.UNKNOWN
    if ended.sent is exchange.Sent.NOTHING:
        outcome = outcomes.Outcome.NOT_RUN
    status = 504 if ended.is_timeout else 502
    message = f"the endpoint gave no whole answer ({ended.reason})"
    return outcomes.Failure(status, "no-answer", message, outcome)
