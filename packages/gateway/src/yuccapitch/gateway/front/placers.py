"""Interface that grants places to requests, and its implementation in one process.

A place is a slot at an endpoint, granted to one request.
"""

from __future__ import annotations

import asyncio
import typing
from collections.abc import Callable, Iterable

from yuccapitch.protocol import events
from yuccapitch.steering.placement import dispatcher, model


class Placer(typing.Protocol):
    """Interface that grants places at endpoints to requests."""

    async def place(
        self, request: model.PlacementRequest
    ) -> model.Granted | model.Refused:
        """Return a granted place or a refusal; waits while the request is queued."""

    def release(
        self,
        granted: model.Granted,
        outcome: model.Outcome,
        load: model.Load | None,
        connect_s: float | None,
        rate_limit: model.RateLimitReport | None = None,
        is_leaving: bool = False,
    ) -> None:
        """Release a place after use, with the outcome of the send."""


class LocalPlacer:
    """``Placer`` that uses a dispatcher in the same process."""

    def __init__(
        self, local_dispatcher: dispatcher.Dispatcher, clock: Callable[[], float]
    ) -> None:
        self._dispatcher = local_dispatcher
        self._clock = clock
        self._futures_by_attempt_id: dict[
            model.AttemptId, asyncio.Future[model.Decision]
        ] = {}
        self._callbacks_by_attempt_id: dict[
            model.AttemptId, Callable[[model.Decision], None]
        ] = {}

    async def place(
        self, request: model.PlacementRequest
    ) -> model.Granted | model.Refused:
        """Return a granted place or a refusal; waits while the request is queued."""
        decided = self._dispatcher.place(request, self._clock())
        if decided is not None:
            self.log_cold_grant(decided)
            return decided
        future: asyncio.Future[model.Decision]
        future = asyncio.get_running_loop().create_future()
        self._futures_by_attempt_id[request.attempt_id] = future
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel(request.attempt_id, future)
            raise
        finally:
            self._futures_by_attempt_id.pop(request.attempt_id, None)

    def release(
        self,
        granted: model.Granted,
        outcome: model.Outcome,
        load: model.Load | None,
        connect_s: float | None,
        rate_limit: model.RateLimitReport | None = None,
        is_leaving: bool = False,
    ) -> None:
        """Release a place after use, with the outcome of the send."""
        self.deliver(
            self._dispatcher.release(
                granted.attempt_id,
                outcome,
                load,
                connect_s,
                self._clock(),
                rate_limit,
                is_leaving,
            )
        )

    def tick(self) -> None:
        """Run the dispatcher's periodic work and deliver its decisions."""
        self.deliver(self._dispatcher.tick(self._clock()))

    def add_decision_callback(
        self, attempt_id: model.AttemptId, on_decision: Callable[[model.Decision], None]
    ) -> None:
        """Register a callback for the decision on a queued request."""
        self._callbacks_by_attempt_id[attempt_id] = on_decision

    def remove_decision_callback(self, attempt_id: model.AttemptId) -> None:
        """Unregister the callback of a request."""
        self._callbacks_by_attempt_id.pop(attempt_id, None)

    def deliver(self, decisions: Iterable[model.Decision]) -> None:
        """Deliver decisions to the callbacks and futures that wait for them."""
        for decision in decisions:
            self.log_cold_grant(decision)
            callback = self._callbacks_by_attempt_id.pop(decision.attempt_id, None)
            if callback is not None:
                callback(decision)
                continue
            future = self._futures_by_attempt_id.get(decision.attempt_id)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, model.Granted):
                # The request was cancelled in the meantime.
                self.release(decision, model.Outcome.ABANDONED, None, None)

    def log_cold_grant(self, decision: model.Decision) -> None:
        """Log a place at an endpoint that is warming up, whose rate is limited."""
        if isinstance(decision, model.Granted) and decision.is_cold:
            states_by_id = self._dispatcher.table.states_by_id
            state = states_by_id.get(decision.endpoint.endpoint_id)
            events.event(
                "place.granted-cold",
                request=decision.attempt_id,
                endpoint=decision.endpoint.endpoint_id,
                share=0.0 if state is None else round(state.cold_rate_share, 4),
            )

    def _cancel(
        self, attempt_id: model.AttemptId, future: asyncio.Future[model.Decision]
    ) -> None:
        if future.done() and not future.cancelled():
            decision = future.result()
            if isinstance(decision, model.Granted):
                self.release(decision, model.Outcome.ABANDONED, None, None)
            return
        self._dispatcher.cancel(attempt_id)
