"""What an instance still serves while it is being stopped, and for how long."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

from yuccapitch.catalogue import routes
from yuccapitch.gateway.front import endpoint_sender, routed_request, timeouts
from yuccapitch.steering import response_times
from yuccapitch.steering.placement import model


@dataclasses.dataclass(frozen=True)
class StopSchedule:
    """Times of a planned stop."""

    late_from: float
    """Requests received from then on are served only if they end in time for sure."""
    no_places_from: float
    """No request is granted a place from then on, unless it ends in time for sure."""
    ends_at: float
    """Requests still in progress get their final response; the process ends."""

    def latest_start_at(
        self, received_at: float, deadline_at: float, expected_s: float
    ) -> float:
        """Return the time until which a request may be sent to an endpoint.

        ``expected_s`` is the time that the endpoint is expected to take.
        """
        if deadline_at <= self.ends_at:
            return deadline_at
        if received_at >= self.late_from:
            return float("-inf")
        return min(self.no_places_from, self.ends_at - expected_s)


class PlannedStop:
    """Limits of the requests in progress, which a planned stop brings forward.

    A request that is cut with its connection takes the responses that wait behind it
    along, so each one gets its final response when the stop ends.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._schedule: StopSchedule | None = None
        self._response_times = response_times.ResponseTimes()
        self._place_timeouts = timeouts.TimeoutGroup[routed_request.RoutedRequest]()
        self._response_timeouts = timeouts.TimeoutGroup[routed_request.RoutedRequest]()

    def begin(self, schedule: StopSchedule) -> None:
        """Apply a schedule to the requests in progress and to later ones."""
        self._schedule = schedule
        self._place_timeouts.shorten(self._max_place_wait_s)
        self._response_timeouts.shorten(self._max_duration_s)

    def limit_response(
        self, routed: routed_request.RoutedRequest
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Raise TimeoutError when the request needs its final response."""
        max_duration_s = self._max_duration_s(routed)
        return self._response_timeouts.timeout(routed, max_duration_s)

    @contextlib.asynccontextmanager
    async def limit_place_wait(
        self, routed: routed_request.RoutedRequest
    ) -> AsyncIterator[None]:
        """Raise TimeoutError when it is too late to send the request to an endpoint."""
        max_wait_s = self._max_place_wait_s(routed)
        if max_wait_s <= 0:
            raise TimeoutError
        async with self._place_timeouts.timeout(routed, max_wait_s):
            yield

    def ends(self, routed: routed_request.RoutedRequest) -> bool:
        """Whether the stop ends a request whose limit is over, not its deadline."""
        return self._schedule is not None and self._clock() < routed.deadline_at

    def record_send(
        self,
        routed: routed_request.RoutedRequest,
        send_result: endpoint_sender.SendResult | None,
        elapsed_s: float,
    ) -> None:
        """Record how long a send took; its result is None if it was given up."""
        route_id = routed.route.route_id
        if send_result is None:
            self._response_times.observe_unfinished(route_id, elapsed_s)
        elif send_result.outcome is model.Outcome.ANSWERED:
            # A failure may be fast because nothing was done.
            self._response_times.observe(route_id, elapsed_s)

    def _max_duration_s(self, routed: routed_request.RoutedRequest) -> float:
        ends_at = routed.deadline_at
        if self._schedule is not None:
            ends_at = min(ends_at, self._schedule.ends_at)
        return ends_at - self._clock()

    def _max_place_wait_s(self, routed: routed_request.RoutedRequest) -> float:
        latest_start_at = routed.deadline_at
        if self._schedule is not None:
            latest_start_at = self._schedule.latest_start_at(
                routed.request.headers_received_at,
                routed.deadline_at,
                self._expected_response_time_s(routed),
            )
        return latest_start_at - self._clock()

    def _expected_response_time_s(self, routed: routed_request.RoutedRequest) -> float:
        route = routed.route
        if route.repeatability is routes.Repeatability.IDEMPOTENT:
            return self._response_times.mean_s(route.route_id)
        # A client that never learns whether its request ran can't send it again.
        return self._response_times.bound_s(route.route_id)
