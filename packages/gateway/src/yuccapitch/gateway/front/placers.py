"""Gives requests their places, by a dispatcher in the same process."""

from __future__ import annotations

import asyncio
import typing
from collections.abc import Callable, Iterable

from yuccapitch.steering.placement import dispatcher, model


class Placer(typing.Protocol):
    """Grants places at endpoints."""

    async def place(
        self, request: model.PlacementRequest
    ) -> model.Granted | model.Refused:
        """Return a place, once there is one, or a refusal."""

    def release(
        self,
        granted: model.Granted,
        outcome: model.Outcome,
        load: model.Load | None,
        connect_s: float | None,
    ) -> None:
        """Give a place back."""


class LocalPlacer:
    """Waits for the decisions of a dispatcher in the same process."""

    def __init__(
        self, places: dispatcher.Dispatcher, clock: Callable[[], float]
    ) -> None:
        self._dispatcher = places
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
        """Return a place, once there is one, or a refusal."""
        decided = self._dispatcher.place(request, self._clock())
        if decided is not None:
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
    ) -> None:
        """Give a place back."""
        self.deliver(
            self._dispatcher.release(
                granted.attempt_id, outcome, load, connect_s, self._clock()
            )
        )

    def tick(self) -> None:
        """Let the dispatcher act on the passing of time."""
        self.deliver(self._dispatcher.tick(self._clock()))

    def add_decision_callback(
        self, attempt_id: model.AttemptId, on_decision: Callable[[model.Decision], None]
    ) -> None:
        """Call back once a request that waits has its decision."""
        self._callbacks_by_attempt_id[attempt_id] = on_decision

    def remove_decision_callback(self, attempt_id: model.AttemptId) -> None:
        """Call back no more."""
        self._callbacks_by_attempt_id.pop(attempt_id, None)

    def deliver(self, decisions: Iterable[model.Decision]) -> None:
        """Hand decisions to those that wait for them."""
        for decision in decisions:
            watcher = self._callbacks_by_attempt_id.pop(decision.attempt_id, None)
            if watcher is not None:
                watcher(decision)
                continue
            future = self._futures_by_attempt_id.get(decision.attempt_id)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, model.Granted):
                # Whoever waited has left.
                self.release(decision, model.Outcome.ABANDONED, None, None)

    def _cancel(
        self, attempt_id: model.AttemptId, future: asyncio.Future[model.Decision]
    ) -> None:
        if future.done() and not future.cancelled():
            decision = future.result()
            if isinstance(decision, model.Granted):
                self.release(decision, model.Outcome.ABANDONED, None, None)
            return
        self._dispatcher.cancel(attempt_id)
