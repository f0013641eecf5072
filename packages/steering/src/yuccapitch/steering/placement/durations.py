"""How long requests of a route keep a slot, with and without the object at hand."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from yuccapitch.catalogue import ids
from yuccapitch.protocol import place_messages
from yuccapitch.steering.placement import cache_capacity

# Weight of the newest measurement; half of what is known is from the last 7 requests.
EWMA_WEIGHT = 0.1
# Assumed before the first measurement.
DEFAULT_DURATION_S = 0.3
# A request that took less than this part of the time without its object had it at hand.
WARM_MAX_DURATION_RATIO = 0.6
# Part by which an unexpectedly short request lowers the time taken for usual.
UNEXPECTED_HIT_DECAY = 0.02
MS_PER_S = 1000


@dataclasses.dataclass
class _RouteEstimate:
    warm_s: float | None = None
    cold_s: float | None = None
    mean_s: float | None = None


class DurationEstimates:
    """Smoothed durations by route."""

    def __init__(self) -> None:
        self._estimates_by_route_id: dict[ids.RouteId, _RouteEstimate] = {}

    @property
    def has_observations(self) -> bool:
        """Whether any request was measured."""
        return bool(self._estimates_by_route_id)

    def observe(
        self,
        route_id: ids.RouteId,
        prediction: cache_capacity.CachePrediction,
        was_cache_hit: bool,
        duration_s: float,
    ) -> None:
        """Take in how long one request took, and whether it found its object."""
        known = self._estimates_by_route_id.setdefault(route_id, _RouteEstimate())
        known.mean_s = _smooth(known.mean_s, duration_s)
        if prediction.is_warm and was_cache_hit:
            known.warm_s = _smooth(known.warm_s, duration_s)
        elif not prediction.is_warm and not was_cache_hit:
            known.cold_s = _smooth(known.cold_s, duration_s)
        elif not prediction.is_warm and known.cold_s is not None:
            # Another region's request left the object there. Where this is said of most
            # requests, the time without an object was taken to be too long.
            known.cold_s *= 1.0 - UNEXPECTED_HIT_DECAY

    def was_cache_hit(
        self,
        route_id: ids.RouteId,
        prediction: cache_capacity.CachePrediction,
        duration_s: float,
    ) -> bool:
        """Tell by its duration whether a request found its object at the endpoint."""
        known = self._estimates_by_route_id.get(route_id)
        if known is None or known.cold_s is None:
            return prediction.is_warm
        return duration_s < WARM_MAX_DURATION_RATIO * known.cold_s

    def summary(self) -> tuple[place_messages.RouteDurations, ...]:
        """Return all that is known, as a message."""
        return tuple(
            place_messages.RouteDurations(
                route_id, _ms(known.warm_s), _ms(known.cold_s), _ms(known.mean_s)
            )
            for route_id, known in self._estimates_by_route_id.items()
        )

    def restore(self, listed: Iterable[place_messages.RouteDurations]) -> None:
        """Replace what is known of these routes."""
        for durations in listed:
            self._estimates_by_route_id[ids.RouteId(durations.route_id)] = (
                _RouteEstimate(
                    _seconds(durations.warm_ms),
                    _seconds(durations.cold_ms),
                    _seconds(durations.mean_ms),
                )
            )

    def has_route(self, route_id: ids.RouteId) -> bool:
        """Tell whether requests of the route were measured before."""
        return route_id in self._estimates_by_route_id

    def mean_s(self, route_id: ids.RouteId) -> float:
        """Return the duration of the route's requests as they come."""
        known = self._estimates_by_route_id.get(route_id)
        return (
            DEFAULT_DURATION_S if known is None else known.mean_s or DEFAULT_DURATION_S
        )

    def warm_s(self, route_id: ids.RouteId) -> float:
        """Return the expected duration at an endpoint that knows the object."""
        known = self._estimates_by_route_id.get(route_id)
        if known is None:
            return DEFAULT_DURATION_S
        if known.warm_s is None:
            return known.cold_s or DEFAULT_DURATION_S
        return known.warm_s

    def cold_s(self, route_id: ids.RouteId) -> float:
        """Return the expected duration at an endpoint that does not."""
        known = self._estimates_by_route_id.get(route_id)
        if known is None:
            return DEFAULT_DURATION_S
        # Without a gain from affinity both are alike.
        if known.cold_s is None:
            return known.warm_s or DEFAULT_DURATION_S
        return max(known.cold_s, known.warm_s or 0.0)


def _smooth(known: float | None, newest: float) -> float:
    return newest if known is None else known + EWMA_WEIGHT * (newest - known)


def _ms(duration_s: float | None) -> int:
    return -1 if duration_s is None else round(duration_s * MS_PER_S)


def _seconds(duration_ms: int) -> float | None:
    return None if duration_ms < 0 else duration_ms / MS_PER_S
