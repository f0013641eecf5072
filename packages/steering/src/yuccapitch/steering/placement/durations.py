"""Estimates of how long requests occupy a slot, with and without a cache hit."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from yuccapitch.catalogue import ids
from yuccapitch.protocol import place_messages
from yuccapitch.steering.placement import cache_capacity

# Weight of the newest measurement: half of the average comes from the last 7 requests.
EWMA_WEIGHT = 0.1
# Used before the first measurement.
DEFAULT_DURATION_S = 0.3
# A request that takes less than this fraction of the cold duration was a cache hit.
WARM_MAX_DURATION_RATIO = 0.6
# Fraction by which an unexpected cache hit lowers the cold duration.
UNEXPECTED_HIT_DECAY = 0.02
MS_PER_S = 1000


@dataclasses.dataclass
class _RouteEstimate:
    warm_s: float | None = None
    cold_s: float | None = None
    mean_s: float | None = None


class DurationEstimates:
    """Exponentially weighted moving averages of request durations by route."""

    def __init__(self) -> None:
        self._estimates_by_route_id: dict[ids.RouteId, _RouteEstimate] = {}

    @property
    def has_observations(self) -> bool:
        """Whether any request has been measured."""
        return bool(self._estimates_by_route_id)

    def observe(
        self,
        route_id: ids.RouteId,
        prediction: cache_capacity.CachePrediction,
        was_cache_hit: bool,
        duration_s: float,
    ) -> None:
        """Record the duration of a request and whether it was a cache hit."""
        estimate = self._estimates_by_route_id.setdefault(route_id, _RouteEstimate())
        estimate.mean_s = _smooth(estimate.mean_s, duration_s)
        if prediction.is_warm and was_cache_hit:
            estimate.warm_s = _smooth(estimate.warm_s, duration_s)
        elif not prediction.is_warm and not was_cache_hit:
            estimate.cold_s = _smooth(estimate.cold_s, duration_s)
        elif not prediction.is_warm and estimate.cold_s is not None:
            # Unexpected hit: a request of another region has cached the object, or, if
            # most requests are unexpected hits, the cold duration is overestimated.
            estimate.cold_s *= 1.0 - UNEXPECTED_HIT_DECAY

    def was_cache_hit(
        self,
        route_id: ids.RouteId,
        prediction: cache_capacity.CachePrediction,
        duration_s: float,
    ) -> bool:
        """Return whether a request was a cache hit, judged by its duration."""
        estimate = self._estimates_by_route_id.get(route_id)
        if estimate is None or estimate.cold_s is None:
            return prediction.is_warm
        return duration_s < WARM_MAX_DURATION_RATIO * estimate.cold_s

    def summary(self) -> tuple[place_messages.RouteDurations, ...]:
        """Return the estimates of all routes as messages."""
        return tuple(
            place_messages.RouteDurations(
                route_id,
                _to_message_ms(estimate.warm_s),
                _to_message_ms(estimate.cold_s),
                _to_message_ms(estimate.mean_s),
            )
            for route_id, estimate in self._estimates_by_route_id.items()
        )

    def restore(self, route_durations: Iterable[place_messages.RouteDurations]) -> None:
        """Replace the estimates of the listed routes."""
        for durations in route_durations:
            self._estimates_by_route_id[ids.RouteId(durations.route_id)] = (
                _RouteEstimate(
                    _from_message_ms(durations.warm_ms),
                    _from_message_ms(durations.cold_ms),
                    _from_message_ms(durations.mean_ms),
                )
            )

    def has_route(self, route_id: ids.RouteId) -> bool:
        """Return whether requests of the route have been measured."""
        return route_id in self._estimates_by_route_id

    def mean_s(self, route_id: ids.RouteId) -> float:
        """Return the mean duration of the route's requests, hits and misses alike."""
        estimate = self._estimates_by_route_id.get(route_id)
        return (
            DEFAULT_DURATION_S
            if estimate is None
            else estimate.mean_s or DEFAULT_DURATION_S
        )

    def warm_s(self, route_id: ids.RouteId) -> float:
        """Return the expected duration at an endpoint that caches the object."""
        estimate = self._estimates_by_route_id.get(route_id)
        if estimate is None:
            return DEFAULT_DURATION_S
        if estimate.warm_s is None:
            return estimate.cold_s or DEFAULT_DURATION_S
        return estimate.warm_s

    def cold_s(self, route_id: ids.RouteId) -> float:
        """Return the expected duration at an endpoint without the object."""
        estimate = self._estimates_by_route_id.get(route_id)
        if estimate is None:
            return DEFAULT_DURATION_S
        if estimate.cold_s is None:
            return estimate.warm_s or DEFAULT_DURATION_S
        # A miss is never expected to be faster than a hit. Without a gain from
        # affinity, both durations are equal.
        return max(estimate.cold_s, estimate.warm_s or 0.0)


def _smooth(average: float | None, newest: float) -> float:
    return newest if average is None else average + EWMA_WEIGHT * (newest - average)


def _to_message_ms(duration_s: float | None) -> int:
    """Return a duration as sent in messages: in milliseconds, -1 if unknown."""
    return -1 if duration_s is None else round(duration_s * MS_PER_S)


def _from_message_ms(duration_ms: int) -> float | None:
    """Return a duration in seconds from a message, or None if it is unknown."""
    return None if duration_ms < 0 else duration_ms / MS_PER_S
