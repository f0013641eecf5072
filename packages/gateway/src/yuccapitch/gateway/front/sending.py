"""Sends a request to a granted endpoint and says what became of it."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from collections.abc import Callable

from yuccapitch.catalogue import ids
from yuccapitch.gateway.front import headers
from yuccapitch.gateway.http1 import client, messages
from yuccapitch.steering.placement import model

# Longest wait for a connection: a round trip between regions and one lost packet.
CONNECT_TIMEOUT_S = 0.6
# Idle time up to which a connection carries what may run only once: a connection that
# went silent or was closed shows only when it is used.
FRESH_CONNECTION_S = 2.0
MAX_IDLE_S = 8.0
MISDIRECTED_STATUS = 421
# Time kept back from what is left, for the way to the endpoint.
DEADLINE_MARGIN_S = 0.005


class HasRun(enum.Enum):
    """Whether the endpoint worked on the request."""

    NOT_SENT = "not-sent"
    REJECTED = "rejected"
    MAYBE = "maybe"


@dataclasses.dataclass(frozen=True, slots=True)
class Exchanged:
    """What became of one send."""

    outcome: model.Outcome
    has_run: HasRun
    answer: messages.Answer | None
    """Present if it may be passed on to the caller."""
    load: model.Load | None
    connect_s: float | None
    detail: str


class Sender:
    """Keeps the connections to the endpoints."""

    def __init__(self, names: headers.HeaderNames, clock: Callable[[], float]) -> None:
        self._names = names
        self._clock = clock
        self._pools_by_id: dict[tuple[ids.EndpointId, int, str, int], client.Pool] = {}

    @property
    def connect_count(self) -> int:
        """Connections opened so far to the endpoints that are listed."""
        return sum(pool.connect_count for pool in self._pools_by_id.values())

    def keep(self, endpoints: list[model.Endpoint]) -> None:
        """Close the connections to endpoints that are no longer listed."""
        listed = {_pool_id(endpoint) for endpoint in endpoints}
        for pool_id in [p for p in self._pools_by_id if p not in listed]:
            self._pools_by_id.pop(pool_id).close()

    async def send(
        self,
        request: messages.Request,
        endpoint: model.Endpoint,
        deadline_at: float,
        is_idempotent: bool,
    ) -> Exchanged:
        """Send the request; cancelling closes its connection."""
        pool = self._pool(endpoint)
        max_idle_s = MAX_IDLE_S if is_idempotent else FRESH_CONNECTION_S
        started_at = self._clock()
        connection = await pool.acquire(CONNECT_TIMEOUT_S, max_idle_s)
        if isinstance(connection, client.Failure):
            return Exchanged(
                model.Outcome.UNREACHABLE,
                HasRun.NOT_SENT,
                None,
                None,
                None,
                connection.detail,
            )
        connect_s = None
        if connection.use_count == 0:
            connect_s = self._clock() - started_at
        data = messages.encode_request(
            request, self._headers(request, endpoint, deadline_at)
        )
        request_id = request.header(self._names.request_id)

        def accepts(answer: messages.Answer) -> bool:
            return answer.header(self._names.request_id) in (None, request_id)

        try:
            answer = await connection.exchange(data, accepts, request.method == b"HEAD")
        except asyncio.CancelledError:
            connection.close()
            raise
        pool.release(connection)
        if isinstance(answer, client.Failure):
            return self._failed(answer, connect_s)
        return self._classify(answer, connect_s)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools_by_id.values():
            pool.close()

    def _failed(self, failure: client.Failure, connect_s: float | None) -> Exchanged:
        has_run = HasRun.MAYBE if failure.was_sent else HasRun.NOT_SENT
        detail = f"{failure.fault.value}: {failure.detail}"
        if failure.connection_was_reused:
            detail += " (on a kept connection)"
        outcome = model.Outcome.BROKEN
        if not failure.was_sent:
            outcome = model.Outcome.ABANDONED
        return Exchanged(outcome, has_run, None, None, connect_s, detail)

    def _classify(self, answer: messages.Answer, connect_s: float | None) -> Exchanged:
        names = self._names
        load = headers.parse_load(answer.header(names.load))
        if answer.status == MISDIRECTED_STATUS:
            return Exchanged(
                model.Outcome.MISDIRECTED,
                HasRun.REJECTED,
                None,
                load,
                connect_s,
                "another endpoint has the address",
            )
        if answer.header(names.not_run) is not None:
            detail = f"status {answer.status}, not run"
            return Exchanged(
                model.Outcome.SHED, HasRun.REJECTED, None, load, connect_s, detail
            )
        if answer.status < 300 and answer.header(names.proof) is None:
            detail = f"status {answer.status} without the endpoint's signature"
            return Exchanged(
                model.Outcome.BROKEN, HasRun.MAYBE, None, load, connect_s, detail
            )
        outcome = model.Outcome.ANSWERED
        if answer.status >= 500:
            outcome = model.Outcome.FAILED
        passed = messages.Answer(
            answer.status, messages.forwardable(answer.headers), answer.body
        )
        return Exchanged(outcome, HasRun.MAYBE, passed, load, connect_s, "")

    def _headers(
        self, request: messages.Request, endpoint: model.Endpoint, deadline_at: float
    ) -> messages.HeaderList:
        names = self._names
        own = (names.deadline_ms, names.expected_endpoint)
        passed = [
            (name, value)
            for name, value in messages.forwardable(request.headers)
            if name not in own
        ]
        left_s = max(0.001, deadline_at - self._clock() - DEADLINE_MARGIN_S)
        passed.append((names.deadline_ms, b"%d" % (left_s * headers.MS_PER_S)))
        passed.append((names.expected_endpoint, endpoint.endpoint_id.encode("latin-1")))
        return passed

    def _pool(self, endpoint: model.Endpoint) -> client.Pool:
        pool_id = _pool_id(endpoint)
        pool = self._pools_by_id.get(pool_id)
        if pool is None:
            pool = client.Pool(endpoint.host, endpoint.port, self._clock)
            self._pools_by_id[pool_id] = pool
        return pool


def _pool_id(endpoint: model.Endpoint) -> tuple[ids.EndpointId, int, str, int]:
    return endpoint.endpoint_id, endpoint.incarnation, endpoint.host, endpoint.port
