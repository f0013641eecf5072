"""Processing of a routed request: routing, placement, sending and retries."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import secrets
import typing
from collections.abc import Callable

from yuccapitch.catalogue import ids, routes
from yuccapitch.gateway.front import (
    endpoint_sender,
    headers,
    placers,
    planned_stop,
    routed_request,
    routing_state,
    traffic_split,
)
from yuccapitch.gateway.http1 import messages
from yuccapitch.protocol import events
from yuccapitch.steering import retry_budget
from yuccapitch.steering.placement import endpoint_notices, model

# Deadline of a request without a deadline header; the longest time that a client is
# known to wait.
DEFAULT_DEADLINE_S = 30.0
# Statuses that promise clients that a request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Number of unreachable endpoints up to which a request is tried at another endpoint.
# Failed connections don't count towards the route's maximum number of attempts.
MAX_UNREACHABLE_ENDPOINTS = 3
# Retry-After if there is no estimate of when the request can be served.
DEFAULT_RETRY_AFTER_S = 0.5
# Time after which a response without a known length that is cut off by the deadline of
# its request counts against its endpoint. Shorter ones tell of a short deadline, or of
# an event loop that was late.
MIN_ENDLESS_RESPONSE_S = 1.0
# Retry-After where another instance can serve the request at once.
MIN_RETRY_AFTER_S = 0.05
# Retry-After of an instance that has no routes yet because it has just started. After a
# start of the whole system, a leader is elected and replies after about this time.
NO_ROUTES_RETRY_AFTER_S = 1.5
# The deadlines of first attempts differ between clients, but not by more than this
# factor. A request whose deadline is below this fraction of the longest one seen on the
# route is a retry by a client that has already waited for an earlier attempt.
MIN_FIRST_DEADLINE_FRACTION = 0.82
# Fraction of the fleet's retry budget that the instances divide among themselves. The
# rest is a margin, so that uneven use by many instances doesn't exceed the budget.
RETRY_BUDGET_USE_FRACTION = 0.85
# Length of the random part of attempt ids, which differs between processes.
ATTEMPT_TOKEN_BYTES = 4


@dataclasses.dataclass(frozen=True)
class FleetRetryBudget:
    """Retry budget of one service, shared by all entry instances."""

    ratio: float
    """Retries per request."""
    slack: float
    """Additional retries per window."""
    window_s: float


class Meter(typing.Protocol):
    """Interface that counts the outcomes of requests."""

    def count_request(self, outcome: str, duration_s: float) -> None:
        """Count a finished request."""

    def count_refusal(self, reason: str) -> None:
        """Count a request that was refused without being executed."""

    def count_resend(self, cause: str) -> None:
        """Count a request that is sent again."""


class RequestPath:
    """Handler of the routed requests of clients."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        names: headers.HeaderNames,
        state: routing_state.RoutingState,
        placer: placers.Placer,
        sender: endpoint_sender.Sender,
        fleet_budget: FleetRetryBudget,
        clock: Callable[[], float],
        meter: Meter,
        notices: endpoint_notices.EndpointNotices,
    ) -> None:
        """Create a handler that uses these components."""
        self._instance_id = instance_id
        self._names = names
        self._state = state
        self._placer = placer
        self._sender = sender
        self._fleet_budget = fleet_budget
        self._clock = clock
        self._meter = meter
        self._notices = notices
        self._traffic_split = traffic_split.WeightedRoundRobin()
        # A dispatcher may still have the attempts of the process before a restart.
        self._attempt_prefix = f"{instance_id}/{secrets.token_hex(ATTEMPT_TOKEN_BYTES)}"
        self._attempt_numbers = itertools.count(1)
        self._longest_deadline_s_by_route_id: dict[ids.RouteId, float] = {}
        self._planned_stop = planned_stop.PlannedStop(clock)

    def stop(self, schedule: planned_stop.StopSchedule) -> None:
        """Refuse the requests that would not end before the process does."""
        self._planned_stop.begin(schedule)

    async def handle(self, request: messages.Request) -> messages.Response:
        """Return the response to a client's request."""
        request_id = (request.header(self._names.request_id) or b"").decode("latin-1")
        now = self._clock()
        table = self._state.table
        if table is None:
            reason, retry_after_s = "no routes are known yet", NO_ROUTES_RETRY_AFTER_S
            return self._unroutable_response(request_id, reason, retry_after_s)
        if not self._state.is_usable(now):
            reason = "no leader has confirmed the routes for too long"
            return self._unroutable_response(request_id, reason, DEFAULT_RETRY_AFTER_S)
        route = _find_route(table, request)
        if route is None and not self._state.is_confirmed(now):
            # A newer declaration may have the route.
            reason = "no route matches, and the routes are not confirmed"
            return self._unroutable_response(request_id, reason, DEFAULT_RETRY_AFTER_S)
        if route is None:
            events.event(
                "request.unmatched",
                request=request_id,
                target=request.target.decode("latin-1"),
                **self._routing_state_fields(),
            )
            return self._local_response(404, request_id)
        routed = self._build_routed_request(request, request_id, route)
        try:
            response = await self._serve_before_deadline(routed)
        except asyncio.CancelledError:
            events.event("request.abandoned", **self._record_end(routed, "abandoned"))
            raise
        return response

    async def _serve_before_deadline(
        self, routed: routed_request.RoutedRequest
    ) -> messages.Response:
        try:
            async with self._planned_stop.limit_response(routed):
                return await self._serve(routed)
        except TimeoutError:
            is_stop = self._planned_stop.ends(routed)
            if not routed.sends and is_stop:
                return self._refused_response(routed, self._late_refusal(routed))
            if not routed.sends:
                fields = self._record_end(routed, "expired")
                events.event("request.refused", reason="deadline expired", **fields)
                return self._not_executed_response(
                    routed.request_id, DEFAULT_RETRY_AFTER_S
                )
            fields = self._record_end(routed, "timeout")
            reason = "the instance stops" if is_stop else "response timed out"
            events.event("request.failed", reason=reason, **fields)
            return self._local_response(504, routed.request_id)

    async def _serve(self, routed: routed_request.RoutedRequest) -> messages.Response:
        self._retry_budget(routed.service_id).record_first_attempt()
        while True:
            decision = await self._place(routed)
            if isinstance(decision, model.Refused):
                return self._refused_response(routed, decision)
            expired = self._find_expired_permission(routed, decision)
            if expired is not None:
                self._return_place(routed, decision)
                return self._refused_response(routed, expired)
            if not self._notices.may_send(decision.endpoint, self._clock()):
                # Announced in a response while this request waited for its place.
                self._return_place(routed, decision)
                continue
            send_result = await self._send(routed, decision)
            if send_result.response is not None and not self._may_resend(
                routed, send_result
            ):
                status = send_result.response.status
                fields = self._record_end(routed, "answered")
                events.event("request.answered", status=status, **fields)
                return self._forwardable(routed, send_result.response)
            if send_result.response is None and not self._may_resend(
                routed, send_result
            ):
                return self._failed_response(routed, send_result)
            routed.excluded_endpoint_ids |= {decision.endpoint.endpoint_id}
            self._meter.count_resend(send_result.outcome.value)
            events.event(
                "request.resent",
                request=routed.request_id,
                route=routed.route.route_id,
                endpoint=decision.endpoint.endpoint_id,
                cause=send_result.outcome,
                detail=send_result.detail,
                sends=routed.sends,
            )

    def _find_expired_permission(
        self, routed: routed_request.RoutedRequest, granted: model.Granted
    ) -> model.Refused | None:
        """Return why a granted place must not be used any more, if so.

        Timers stand still while the machine is suspended, so that a place may arrive
        when the client has given up and newer orders are in force.
        """
        now = self._clock()
        if now < routed.deadline_at and self._state.is_usable(now):
            return None
        reason = model.RefusalReason.EXPIRED
        return model.Refused(granted.attempt_id, reason, DEFAULT_RETRY_AFTER_S)

    async def _place(
        self, routed: routed_request.RoutedRequest
    ) -> model.Granted | model.Refused:
        request = self._build_placement_request(routed)
        with contextlib.suppress(TimeoutError):
            async with self._planned_stop.limit_place_wait(routed):
                return await self._placer.place(request)
        return self._late_refusal(routed)

    def _late_refusal(self, routed: routed_request.RoutedRequest) -> model.Refused:
        """Return why a request that got no place can't get one any more."""
        attempt_id = model.AttemptId(routed.request_id)
        if self._planned_stop.ends(routed):
            # Another instance can serve it; here it would not end before the stop does.
            stopping = model.RefusalReason.STOPPING
            return model.Refused(attempt_id, stopping, MIN_RETRY_AFTER_S)
        expired = model.RefusalReason.EXPIRED
        return model.Refused(attempt_id, expired, DEFAULT_RETRY_AFTER_S)

    async def _send(
        self, routed: routed_request.RoutedRequest, granted: model.Granted
    ) -> endpoint_sender.SendResult:
        endpoint = granted.endpoint
        events.event(
            "request.placed",
            request=routed.request_id,
            connection=routed.request.connection_id,
            position=routed.request.position,
            endpoint=endpoint.endpoint_id,
            address=f"{endpoint.host}:{endpoint.port}",
            waited_ms=_to_ms(self._clock() - routed.request.headers_received_at),
        )
        outcome = model.Outcome.ABANDONED
        progress = endpoint_sender.SendProgress()
        send_result: endpoint_sender.SendResult | None = None
        sent_at = self._clock()
        # Counted before the exchange: if it is cancelled, bytes may have been sent.
        routed.sends += 1
        try:
            send_result = await self._sender.send(
                routed.request,
                endpoint,
                routed.deadline_at,
                routed.route.repeatability is routes.Repeatability.IDEMPOTENT,
                progress,
            )
            outcome = send_result.outcome
        finally:
            is_endless = progress.endless_response_s >= MIN_ENDLESS_RESPONSE_S
            if is_endless and self._clock() >= routed.deadline_at:
                outcome = model.Outcome.BROKEN
            self._planned_stop.record_send(routed, send_result, self._clock() - sent_at)
            load = None if send_result is None else send_result.load
            connect_s = None if send_result is None else send_result.connect_s
            rate_limit = None if send_result is None else send_result.rate_limit
            is_leaving = send_result is not None and send_result.is_leaving
            self._placer.release(
                granted, outcome, load, connect_s, rate_limit, is_leaving
            )
        if send_result.execution is endpoint_sender.Execution.NOT_SENT:
            routed.sends -= 1
            routed.unreachable_count += 1
        routed.may_have_executed |= (
            send_result.execution is endpoint_sender.Execution.POSSIBLE
        )
        routed.fallback_response = send_result.response or routed.fallback_response
        return send_result

    def _return_place(
        self, routed: routed_request.RoutedRequest, granted: model.Granted
    ) -> None:
        """Give back a place that is not used."""
        endpoint = granted.endpoint
        events.event(
            "place.returned",
            request=routed.request_id,
            endpoint=endpoint.endpoint_id,
            is_leaving=self._notices.is_leaving(endpoint),
        )
        # The dispatcher is told as well, so that it grants no more places there.
        self._placer.release(
            granted,
            model.Outcome.ABANDONED,
            None,
            None,
            is_leaving=self._notices.is_leaving(endpoint),
        )
        routed.excluded_endpoint_ids |= {endpoint.endpoint_id}

    def _may_resend(
        self,
        routed: routed_request.RoutedRequest,
        send_result: endpoint_sender.SendResult,
    ) -> bool:
        if send_result.outcome is model.Outcome.ANSWERED:
            return False
        if self._clock() >= routed.deadline_at:
            return False
        if send_result.execution is endpoint_sender.Execution.NOT_SENT:
            return routed.unreachable_count <= MAX_UNREACHABLE_ENDPOINTS
        is_idempotent = routed.route.repeatability is routes.Repeatability.IDEMPOTENT
        if (
            send_result.execution is endpoint_sender.Execution.POSSIBLE
            and not is_idempotent
        ):
            return False
        if routed.sends >= routed.route.max_attempts:
            return False
        return self._retry_budget(routed.service_id).spend()

    def _refused_response(
        self, routed: routed_request.RoutedRequest, refused: model.Refused
    ) -> messages.Response:
        fields: dict[str, object] = {
            "reason": refused.reason,
            "detail": refused.detail,
        }
        if routed.may_have_executed:
            return self._unknown_outcome_response(routed, fields)
        retry_after_s = self._retry_after_s(routed, refused)
        fields["retry_after_ms"] = _to_ms(retry_after_s)
        self._meter.count_refusal(refused.reason.value)
        fields.update(self._record_end(routed, "refused"))
        events.event("request.refused", **fields)
        return self._not_executed_response(routed.request_id, retry_after_s)

    def _retry_after_s(
        self, routed: routed_request.RoutedRequest, refused: model.Refused
    ) -> float:
        """Return when the client may come back: not before a paused service does."""
        if refused.reason is not model.RefusalReason.NO_ENDPOINT:
            return refused.retry_after_s
        pause_s = self._notices.first_pause_ends_in_s(routed.service_id, self._clock())
        # The delay of the refusal varies, so clients do not return all at once.
        return refused.retry_after_s + (pause_s or 0.0)

    def _failed_response(
        self,
        routed: routed_request.RoutedRequest,
        send_result: endpoint_sender.SendResult,
    ) -> messages.Response:
        fields: dict[str, object] = {
            "reason": send_result.outcome,
            "detail": send_result.detail,
        }
        if routed.may_have_executed:
            return self._unknown_outcome_response(routed, fields)
        self._meter.count_refusal(send_result.outcome.value)
        fields.update(self._record_end(routed, "refused"))
        events.event("request.refused", **fields)
        return self._not_executed_response(routed.request_id, DEFAULT_RETRY_AFTER_S)

    def _unknown_outcome_response(
        self, routed: routed_request.RoutedRequest, fields: dict[str, object]
    ) -> messages.Response:
        fields.update(self._record_end(routed, "unknown"))
        events.event("request.failed", **fields)
        if routed.fallback_response is None:
            return self._local_response(502, routed.request_id)
        return self._forwardable(routed, routed.fallback_response)

    def _forwardable(
        self, routed: routed_request.RoutedRequest, response: messages.Response
    ) -> messages.Response:
        """Return the response of an endpoint, or a failure that promises less.

        Clients send a request again that was answered with such a status. The endpoint
        has not stated that it did not run this one.
        """
        is_idempotent = routed.route.repeatability is routes.Repeatability.IDEMPOTENT
        if is_idempotent or response.status not in NOT_EXECUTED_STATUSES:
            return response
        return self._local_response(502, routed.request_id)

    def _build_routed_request(
        self, request: messages.Request, request_id: str, route: routes.Route
    ) -> routed_request.RoutedRequest:
        parsed_deadline_s = headers.parse_deadline_s(
            request.header(self._names.deadline_ms)
        )
        client_deadline_s = (
            DEFAULT_DEADLINE_S if parsed_deadline_s is None else parsed_deadline_s
        )
        # A client that retries sends a shorter deadline than any first attempt. The
        # latency objective counts from its first attempt, so the time spent on earlier
        # attempts is subtracted.
        longest_deadline_s = max(
            client_deadline_s,
            self._longest_deadline_s_by_route_id.get(route.route_id, 0),
        )
        self._longest_deadline_s_by_route_id[route.route_id] = longest_deadline_s
        earlier_attempts_s = max(
            0.0, MIN_FIRST_DEADLINE_FRACTION * longest_deadline_s - client_deadline_s
        )
        return routed_request.RoutedRequest(
            request,
            request_id,
            route,
            self._traffic_split.choose(route),
            objective_at=request.headers_received_at
            + route.latency_objective_s
            - earlier_attempts_s,
            deadline_at=request.headers_received_at
            + min(client_deadline_s, route.timeout_s),
        )

    def _build_placement_request(
        self, routed: routed_request.RoutedRequest
    ) -> model.PlacementRequest:
        key = b""
        if routed.route.is_sticky:
            key = routed.request.header(self._names.object_key) or b""
        return model.PlacementRequest(
            model.AttemptId(f"{self._attempt_prefix}/{next(self._attempt_numbers)}"),
            self._instance_id,
            routed.service_id,
            routed.route.route_id,
            key.decode("latin-1"),
            routed.route.rank,
            routed.route.home_region_ids,
            routed.objective_at,
            routed.deadline_at,
            routed.excluded_endpoint_ids
            | self._notices.paused_ids(routed.service_id, self._clock()),
            len(routed.request.body),
        )

    def _retry_budget(self, service_id: ids.ServiceId) -> retry_budget.RetryBudget:
        fleet_budget = self._fleet_budget
        instance_fraction = RETRY_BUDGET_USE_FRACTION / max(
            1, self._state.instance_count
        )
        burst = max(1.0, instance_fraction * fleet_budget.slack)
        budgets = self._state.budgets_by_service_id
        budget = budgets.get(service_id)
        if budget is None:
            ratio = RETRY_BUDGET_USE_FRACTION * fleet_budget.ratio
            budget = budgets[service_id] = retry_budget.RetryBudget(ratio, burst)
        elif budget.burst != burst:
            # The number of instances that share the slack has changed. Tokens already
            # spent stay spent.
            budget.burst, budget.tokens = burst, min(budget.tokens, burst)
        return budget

    def _record_end(
        self, routed: routed_request.RoutedRequest, outcome: str
    ) -> dict[str, object]:
        """Count a finished request and return the fields of its event."""
        duration_s = self._clock() - routed.request.headers_received_at
        self._meter.count_request(outcome, duration_s)
        return {
            "request": routed.request_id,
            "connection": routed.request.connection_id,
            "position": routed.request.position,
            "route": routed.route.route_id,
            "service": routed.service_id,
            "sends": routed.sends,
            "duration_ms": _to_ms(duration_s),
            "objective_ms": _to_ms(
                routed.objective_at - routed.request.headers_received_at
            ),
            **self._routing_state_fields(),
        }

    def _routing_state_fields(self) -> dict[str, object]:
        table = self._state.table
        return {
            "revision": None if table is None else table.revision,
            "confirmed_ms_ago": _to_ms(self._clock() - self._state.confirmed_at),
        }

    def _unroutable_response(
        self, request_id: str, reason: str, retry_after_s: float
    ) -> messages.Response:
        self._meter.count_refusal(reason)
        events.event(
            "request.refused",
            request=request_id,
            reason=reason,
            **self._routing_state_fields(),
        )
        return self._not_executed_response(request_id, retry_after_s)

    def _not_executed_response(
        self, request_id: str, retry_after_s: float
    ) -> messages.Response:
        response = self._local_response(503, request_id)
        response.headers.append((b"retry-after", b"%.3f" % retry_after_s))
        return response

    def _local_response(self, status: int, request_id: str) -> messages.Response:
        response_headers: messages.HeaderList = []
        if request_id:
            response_headers.append(
                (self._names.request_id, request_id.encode("latin-1"))
            )
        return messages.Response(status, response_headers, b"")


def _find_route(
    table: routes.RouteTable, request: messages.Request
) -> routes.Route | None:
    host = (request.header(b"host") or b"").decode("latin-1").lower()
    path = request.target.decode("latin-1").partition("?")[0]
    return table.find(host, path) or table.find(host.partition(":")[0], path)


def _to_ms(duration_s: float) -> int:
    return round(min(duration_s, 1e6) * headers.MS_PER_S)
