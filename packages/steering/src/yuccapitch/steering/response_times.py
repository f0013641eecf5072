"""Estimates of how long endpoints take to answer, by route.

The estimator is that of TCP's retransmission timer (RFC 6298): a smoothed mean, and a
smoothed mean deviation whose multiple bounds almost all durations.
"""

from __future__ import annotations

import dataclasses

from yuccapitch.catalogue import ids

# RFC 6298, section 2: alpha, beta and K.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
BOUND_DEVIATIONS = 4


@dataclasses.dataclass(slots=True)
class _Estimate:
    mean_s: float
    deviation_s: float


class ResponseTimes:
    """Mean and upper bound of the response times of each route, in seconds."""

    def __init__(self) -> None:
        self._estimates_by_route_id: dict[ids.RouteId, _Estimate] = {}

    def observe(self, route_id: ids.RouteId, duration_s: float) -> None:
        """Record how long an endpoint took to answer a request."""
        estimate = self._estimates_by_route_id.get(route_id)
        if estimate is None:
            first = _Estimate(duration_s, duration_s / 2)
            self._estimates_by_route_id[route_id] = first
            return
        error_s = duration_s - estimate.mean_s
        change_s = abs(error_s) - estimate.deviation_s
        estimate.deviation_s += DEVIATION_WEIGHT * change_s
        estimate.mean_s += MEAN_WEIGHT * error_s

    def observe_unfinished(self, route_id: ids.RouteId, elapsed_s: float) -> None:
        """Record how long an endpoint had not answered a request that was given up.

        Shorter than expected, it says nothing about the time of an answer.
        """
        if elapsed_s > self.mean_s(route_id):
            self.observe(route_id, elapsed_s)

    def mean_s(self, route_id: ids.RouteId) -> float:
        """Return the mean; 0 before the first observation."""
        estimate = self._estimates_by_route_id.get(route_id)
        return 0.0 if estimate is None else estimate.mean_s

    def bound_s(self, route_id: ids.RouteId) -> float:
        """Return what few responses exceed; infinite before the first observation."""
        estimate = self._estimates_by_route_id.get(route_id)
        if estimate is None:
            return float("inf")
        return estimate.mean_s + BOUND_DEVIATIONS * estimate.deviation_s
