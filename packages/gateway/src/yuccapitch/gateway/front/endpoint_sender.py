"""Sends a request to an endpoint and classifies the result."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import weakref
from collections.abc import Callable

from yuccapitch.catalogue import ids
from yuccapitch.gateway.front import headers
from yuccapitch.gateway.http1 import client, flushing, memory_budget, messages
from yuccapitch.protocol import events
from yuccapitch.steering import leaving
from yuccapitch.steering.placement import endpoint_notices, model

# Allows for a round trip between regions and the retransmission of one lost packet.
CONNECT_TIMEOUT_S = 0.6
# A connection that was closed or lost while idle is detected only when it is used, and
# then the outcome of the request is unknown. Non-idempotent requests therefore use only
# connections with a short idle time.
NON_IDEMPOTENT_MAX_IDLE_S = 2.0
IDEMPOTENT_MAX_IDLE_S = 8.0
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Subtracted from the remaining time to allow for the transfer to the endpoint.
DEADLINE_MARGIN_S = 0.005
# Refusals after which a connection is not reused, which bounds the ids that are kept.
MAX_REFUSED_IDS = 256
# Length of an invalid header value up to which it is logged.
MAX_LOGGED_BYTES = 40


class Execution(enum.Enum):
    """Whether the endpoint may have executed the request."""

    NOT_SENT = "not-sent"
    REJECTED = "rejected"
    POSSIBLE = "maybe"


@dataclasses.dataclass(frozen=True, slots=True)
class SendResult:
    """Result of sending a request to one endpoint."""

    outcome: model.Outcome
    execution: Execution
    response: messages.Response | None
    """Set if the response may be returned to the client."""
    load: model.Load | None
    connect_s: float | None
    detail: str
    rate_limit: model.RateLimitReport | None = None
    """What the response says of a limit; None without a response of the endpoint."""
    is_leaving: bool = False
    """Whether the response announces that the endpoint is leaving."""


@dataclasses.dataclass(slots=True)
class SendProgress:
    """What is known of a send that is cancelled."""

    endless_response_s: float = 0.0
    """For how long a response without a known length had gone on."""


@dataclasses.dataclass(slots=True)
class _ConnectionRecord:
    """What was received on a connection."""

    has_response: bool = False
    echoes_ids: bool = False
    refused_ids: set[bytes] = dataclasses.field(default_factory=set)


class Sender:
    """Sends requests to endpoints over pooled connections."""

    def __init__(
        self,
        names: headers.HeaderNames,
        clock: Callable[[], float],
        notices: endpoint_notices.EndpointNotices,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> None:
        """Create a sender that records what endpoints announce in ``notices``.

        ``budget`` limits the memory of responses together with other messages.
        """
        self._names = names
        self._clock = clock
        self._notices = notices
        self._budget = budget or memory_budget.MemoryBudget()
        self._flushes = flushing.Flushes(clock, self._budget)
        self._records_by_connection: weakref.WeakKeyDictionary[
            client.Connection, _ConnectionRecord
        ] = weakref.WeakKeyDictionary()
        self._rate_limits_by_endpoint_id: dict[ids.EndpointId, float | None] = {}
        self._pools_by_id: dict[tuple[ids.EndpointId, int, str, int], client.Pool] = {}

    @property
    def connect_count(self) -> int:
        """Number of connections opened so far to the endpoints that are listed."""
        return sum(pool.connect_count for pool in self._pools_by_id.values())

    @property
    def flush_count(self) -> int:
        """Number of requests that are still being sent after their response."""
        return self._flushes.count

    def unread_bytes(self) -> int:
        """Return how many bytes the kernel holds of all connections."""
        return sum(pool.unread_bytes() for pool in self._pools_by_id.values())

    def close_unlisted(self, endpoints: list[model.Endpoint]) -> None:
        """Close the connections to endpoints that are no longer listed."""
        listed = {_pool_id(endpoint) for endpoint in endpoints}
        for pool_id in [p for p in self._pools_by_id if p not in listed]:
            self._pools_by_id.pop(pool_id).close()
        former = self._rate_limits_by_endpoint_id
        self._rate_limits_by_endpoint_id = {
            e.endpoint_id: former.get(e.endpoint_id) for e in endpoints
        }

    async def send(
        self,
        request: messages.Request,
        endpoint: model.Endpoint,
        deadline_at: float,
        is_idempotent: bool,
        progress: SendProgress | None = None,
    ) -> SendResult:
        """Send the request; cancelling closes its connection.

        ``progress`` is updated if the send is cancelled.
        """
        pool = self._pool(endpoint)
        max_idle_s = (
            IDEMPOTENT_MAX_IDLE_S if is_idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        )
        started_at = self._clock()
        connection = await pool.acquire(CONNECT_TIMEOUT_S, max_idle_s)
        if isinstance(connection, client.Failure):
            return SendResult(
                model.Outcome.UNREACHABLE,
                Execution.NOT_SENT,
                None,
                None,
                None,
                connection.detail,
            )
        connect_s = None
        if connection.use_count == 0:
            connect_s = self._clock() - started_at
        now = self._clock()
        if now >= deadline_at or not self._notices.may_send(endpoint, now):
            # Announced in a response to another request while this one was connecting,
            # or the machine was suspended meanwhile.
            pool.release(connection)
            return SendResult(
                model.Outcome.ABANDONED,
                Execution.NOT_SENT,
                None,
                None,
                connect_s,
                "the deadline has passed, or the endpoint is leaving or paused",
            )
        head = messages.encode_request_head(
            request, self._headers(request, endpoint, deadline_at)
        )
        request_id = request.header(self._names.request_id)

        def matches_request(response: messages.Response) -> bool:
            if self._is_attributable(connection, request_id, response):
                return True
            events.event(
                "endpoint.response-discarded",
                endpoint=endpoint.endpoint_id,
                request=(request_id or b"").decode("latin-1"),
                status=response.status,
            )
            return False

        try:
            response = await connection.exchange(
                head, matches_request, request.method == b"HEAD", request.body
            )
        except asyncio.CancelledError:
            if progress is not None:
                progress.endless_response_s = connection.endless_response_s()
            if connection.received_bytes:
                events.event(
                    "endpoint.response-unfinished",
                    endpoint=endpoint.endpoint_id,
                    request=(request_id or b"").decode("latin-1"),
                    received_bytes=connection.received_bytes,
                )
            connection.close()
            raise
        if isinstance(response, client.Failure):
            pool.release(connection)
            return self._failure_result(response, connect_s)
        classified = self._classify(response, connect_s)
        is_refused = classified.execution is Execution.REJECTED
        if is_refused and connection.buffered_bytes():
            # Nothing is lost with the rest of a request that doesn't run.
            connection.close()
        pool.release(connection, send_until=deadline_at)
        if classified.outcome is model.Outcome.MISDIRECTED:
            return classified
        self._record_pause(response, endpoint)
        return dataclasses.replace(
            classified,
            rate_limit=self._parse_rate_limit(response, endpoint),
            is_leaving=self._record_leaving(response, endpoint),
        )

    async def finish(self, ends_at: float) -> None:
        """Wait until the requests that were answered are sent, or until ``ends_at``."""
        await self._flushes.finish(ends_at)

    def close(self) -> None:
        """Close all connections that no request is waiting on."""
        for pool in self._pools_by_id.values():
            pool.close()
        self._flushes.close()

    def _is_attributable(
        self,
        connection: client.Connection,
        request_id: bytes | None,
        response: messages.Response,
    ) -> bool:
        """Return whether a response certainly belongs to the request just sent.

        A faulty endpoint may write an earlier response once more. Without the id of the
        request, a refusal is a proof only on a connection without earlier responses,
        and another response counts only if the endpoint never echoes ids. What belongs
        to no request is discarded: the endpoint may still be at work.
        """
        response_id = response.header(self._names.request_id)
        if response_id not in (None, request_id):
            return False
        record = self._records_by_connection.setdefault(connection, _ConnectionRecord())
        is_first, record.has_response = not record.has_response, True
        has_id = response_id is not None
        if not self._is_refusal(response):
            record.echoes_ids |= has_id
            return has_id or is_first or not record.echoes_ids
        if not has_id or request_id is None:
            return is_first
        is_repeated = request_id in record.refused_ids
        record.refused_ids.add(request_id)
        if len(record.refused_ids) >= MAX_REFUSED_IDS:
            connection.is_usable = False
        return not is_repeated

    def _is_refusal(self, response: messages.Response) -> bool:
        return (
            response.status == MISDIRECTED_STATUS
            or response.header(self._names.not_run) is not None
        )

    def _failure_result(
        self, failure: client.Failure, connect_s: float | None
    ) -> SendResult:
        execution = Execution.POSSIBLE if failure.was_sent else Execution.NOT_SENT
        detail = f"{failure.fault.value}: {failure.detail}"
        if failure.connection_was_reused:
            detail += " (on a reused connection)"
        outcome = model.Outcome.BROKEN
        if not failure.was_sent:
            outcome = model.Outcome.ABANDONED
        return SendResult(outcome, execution, None, None, connect_s, detail)

    def _classify(
        self, response: messages.Response, connect_s: float | None
    ) -> SendResult:
        names = self._names
        load = headers.parse_load_report(response.header(names.load_report))
        if response.status == MISDIRECTED_STATUS:
            return SendResult(
                model.Outcome.MISDIRECTED,
                Execution.REJECTED,
                None,
                load,
                connect_s,
                "address is used by another endpoint",
            )
        if response.header(names.not_run) is not None:
            detail = f"status {response.status}, request not executed"
            return SendResult(
                model.Outcome.SHED, Execution.REJECTED, None, load, connect_s, detail
            )
        if response.status < 300 and response.header(names.endpoint_signature) is None:
            detail = f"status {response.status} without the endpoint's signature"
            return SendResult(
                model.Outcome.BROKEN, Execution.POSSIBLE, None, load, connect_s, detail
            )
        outcome = model.Outcome.ANSWERED
        if response.status >= 500:
            outcome = model.Outcome.FAILED
        forwarded = messages.Response(
            response.status,
            messages.end_to_end_headers(response.headers),
            response.body,
        )
        return SendResult(outcome, Execution.POSSIBLE, forwarded, load, connect_s, "")

    def _parse_rate_limit(
        self, response: messages.Response, endpoint: model.Endpoint
    ) -> model.RateLimitReport | None:
        values = messages.find_headers(response.headers, self._names.rate_limit)
        report = headers.parse_rate_limit(values)
        if report is None:
            events.event(
                "endpoint.report-invalid",
                endpoint=endpoint.endpoint_id,
                rate_limit=values[0][:MAX_LOGGED_BYTES].decode("latin-1"),
            )
            return None
        former = self._rate_limits_by_endpoint_id.get(endpoint.endpoint_id)
        if report.rate_per_s != former:
            self._rate_limits_by_endpoint_id[endpoint.endpoint_id] = report.rate_per_s
            events.event(
                "endpoint.rate-limit-changed",
                endpoint=endpoint.endpoint_id,
                rate_per_s=report.rate_per_s,
                former=former,
            )
        return report

    def _record_leaving(
        self, response: messages.Response, endpoint: model.Endpoint
    ) -> bool:
        if response.header(self._names.leaving) is None:
            return False
        if self._notices.record_leaving(endpoint):
            events.event(
                "endpoint.leaving",
                endpoint=endpoint.endpoint_id,
                sources=leaving.NoticeSource.ENDPOINT.value,
            )
        return True

    def _record_pause(
        self, response: messages.Response, endpoint: model.Endpoint
    ) -> None:
        if response.status != UNAVAILABLE_STATUS:
            return
        value = response.header(b"retry-after")
        pause_s = headers.parse_pause_s(value)
        if pause_s is None:
            events.event(
                "endpoint.report-invalid",
                endpoint=endpoint.endpoint_id,
                retry_after=(value or b"")[:MAX_LOGGED_BYTES].decode("latin-1"),
            )
        elif pause_s > 0 and self._notices.record_pause(
            endpoint, pause_s, self._clock()
        ):
            events.event(
                "endpoint.paused",
                endpoint=endpoint.endpoint_id,
                pause_ms=round(pause_s * headers.MS_PER_S),
            )

    def _headers(
        self, request: messages.Request, endpoint: model.Endpoint, deadline_at: float
    ) -> messages.HeaderList:
        names = self._names
        replaced = (names.deadline_ms, names.expected_endpoint)
        forwarded = [
            (name, value)
            for name, value in messages.end_to_end_headers(request.headers)
            if name not in replaced
        ]
        remaining_s = max(0.001, deadline_at - self._clock() - DEADLINE_MARGIN_S)
        forwarded.append((names.deadline_ms, b"%d" % (remaining_s * headers.MS_PER_S)))
        forwarded.append(
            (names.expected_endpoint, endpoint.endpoint_id.encode("latin-1"))
        )
        return forwarded

    def _pool(self, endpoint: model.Endpoint) -> client.Pool:
        pool_id = _pool_id(endpoint)
        pool = self._pools_by_id.get(pool_id)
        if pool is None:
            pool = client.Pool(
                endpoint.host,
                endpoint.port,
                self._clock,
                self._budget,
                self._flushes,
            )
            self._pools_by_id[pool_id] = pool
        return pool


def _pool_id(endpoint: model.Endpoint) -> tuple[ids.EndpointId, int, str, int]:
    return endpoint.endpoint_id, endpoint.incarnation, endpoint.host, endpoint.port
