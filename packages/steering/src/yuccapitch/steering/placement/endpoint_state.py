"""What one dispatcher knows of one endpoint."""

from __future__ import annotations

import collections
import enum

from yuccapitch.catalogue import routes
from yuccapitch.steering.placement import cache_capacity, cold_start_limiter, model

# Objects remembered beyond those that an endpoint is taken to keep.
MAX_EVICTED_OBJECTS = 32
# An object not used for this long is not counted on.
WARM_TTL_S = 60.0
# First pause after an endpoint proved unreachable; doubles up to the longest.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Pause after an endpoint reported a queue of its own.
OVERLOAD_BACKOFF_S = 0.05
# Weight of the newest send in the share of failures.
FAILURE_EWMA_WEIGHT = 0.15
# Share of failures, beyond that of an ordinary endpoint of the service, from which an
# endpoint gets one request at a time, to find out whether it is well again.
MAX_EXCESS_FAILURE_RATE = 0.3
FAILURE_BACKOFF_S = 0.5
# Weight of the newest request in an endpoint's slowness.
SLOWNESS_EWMA_WEIGHT = 0.15
MAX_SLOWNESS = 20.0
# Beyond these an endpoint is told of to whoever dispatches next; below them a few
# requests tell as much.
UNHEALTHY_SLOWNESS = 1.5
UNHEALTHY_FAILURE_RATE = 0.15


class Availability(enum.Enum):
    """Whether an endpoint may get a request now."""

    FREE = "free"
    BUSY = "busy"
    CLOSED = "closed"


class EndpointState:
    """Use, warmth and health of one endpoint."""

    def __init__(
        self,
        endpoint: model.Endpoint,
        service: routes.RoutedService,
        capacity: cache_capacity.CacheCapacity,
        now: float,
    ) -> None:
        """Begin with an endpoint that nothing is known of."""
        self.endpoint = endpoint
        self.service = service
        self.capacity = capacity
        """Shared by the endpoints of a service."""
        self.in_flight = 0
        self.untried_since: float | None = None
        """When the endpoint joined, if it has got no request since."""
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.cold_until = 0.0
        self._cold_start_limiter: cold_start_limiter.ColdStartLimiter | None = None
        self._backoff_until = 0.0
        self._failed_at = float("-inf")
        self._overloaded_until = float("-inf")
        self._consecutive_unreachable = 0
        self._used_at_by_key: collections.OrderedDict[str, float]
        self._used_at_by_key = collections.OrderedDict()
        self._evicted_keys: collections.OrderedDict[str, None]
        self._evicted_keys = collections.OrderedDict()
        if endpoint.cold_left_s > 0:
            self.mark_cold(now, endpoint.cold_left_s, 1.0)

    def update(self, endpoint: model.Endpoint, service: routes.RoutedService) -> None:
        """Take in what the platform's list says now."""
        self.endpoint, self.service = endpoint, service

    def mark_cold(self, now: float, duration_s: float, rate_share: float) -> None:
        """Treat the endpoint as cold for this long."""
        self.cold_until = max(self.cold_until, now + duration_s)
        self._used_at_by_key.clear()
        self._evicted_keys.clear()
        if self._cold_start_limiter is None and self.service.cold_rate_per_s > 0:
            self._cold_start_limiter = cold_start_limiter.ColdStartLimiter(
                self.service.cold_rate_per_s, rate_share, now
            )

    def is_cold(self, now: float) -> bool:
        """Tell whether the endpoint is in its cold time."""
        return now < self.cold_until

    def availability(
        self, now: float, limit: int, median_failure_rate: float = 0.0
    ) -> Availability:
        """Tell whether a request may be sent now with ``limit`` in flight at most.

        Where all endpoints of a service fail alike, none is worse than another.
        """
        if now < self._backoff_until:
            return Availability.CLOSED
        excess = self.failure_rate - median_failure_rate
        if excess > MAX_EXCESS_FAILURE_RATE and (
            self.in_flight > 0 or now < self._failed_at + FAILURE_BACKOFF_S
        ):
            return Availability.CLOSED
        if self.in_flight >= limit or now < self._overloaded_until:
            return Availability.BUSY
        if self.is_cold(now):
            if (
                self._cold_start_limiter is not None
                and not self._cold_start_limiter.has_token(now)
            ):
                return Availability.BUSY
        else:
            self._cold_start_limiter = None
        return Availability.FREE

    def is_warm(self, key: str, now: float) -> bool:
        """Tell whether the endpoint has served the object lately."""
        used_at = self._used_at_by_key.get(key)
        return used_at is not None and now - used_at < WARM_TTL_S

    def warm_objects(self, now: float) -> list[tuple[str, float]]:
        """Return the objects that the endpoint knows, with the time of their use."""
        return [
            (key, used_at)
            for key, used_at in self._used_at_by_key.items()
            if self.is_warm(key, now)
        ]

    def begin(self, key: str, now: float) -> cache_capacity.CachePrediction:
        """Count a request, and tell what the endpoint knew of its object."""
        self.in_flight += 1
        self.untried_since = None
        if self._cold_start_limiter is not None and self.is_cold(now):
            self._cold_start_limiter.acquire(now)
        if not key:
            return cache_capacity.PREDICTED_MISS
        prediction = self._predict(key, now)
        self._used_at_by_key[key] = now
        self._used_at_by_key.move_to_end(key)
        self._evict_oldest()
        return prediction

    def record_warm_object(self, key: str, used_at: float) -> None:
        """Take in that the endpoint knew an object at this time."""
        if used_at <= self._used_at_by_key.get(key, float("-inf")):
            return
        is_newest = all(at <= used_at for at in self._used_at_by_key.values())
        self._used_at_by_key[key] = used_at
        self._used_at_by_key.move_to_end(key, last=is_newest)
        self._evict_oldest()

    def end(self, key: str, outcome: model.Outcome, was_warm: bool, now: float) -> None:
        """Count the end of a request."""
        self.in_flight = max(0, self.in_flight - 1)
        _HANDLERS_BY_OUTCOME[outcome](self, now)
        if outcome in _UNPROCESSED_OUTCOMES and not was_warm:
            # The endpoint did not come to know the object.
            self._used_at_by_key.pop(key, None)

    def observe_duration(self, expected_s: float, duration_s: float) -> None:
        """Compare a request's duration with what is usual."""
        ratio = min(MAX_SLOWNESS, duration_s / max(expected_s, 0.001))
        self.slowness += SLOWNESS_EWMA_WEIGHT * (ratio - self.slowness)

    def is_unhealthy(self) -> bool:
        """Tell whether the endpoint is slower or fails more often than is usual."""
        return (
            self.slowness > UNHEALTHY_SLOWNESS
            or self.failure_rate > UNHEALTHY_FAILURE_RATE
        )

    def restore_health(self, slowness: float, failure_rate: float) -> None:
        """Go on from what a former dispatcher learned."""
        self.slowness, self.failure_rate = slowness, failure_rate

    def _predict(self, key: str, now: float) -> cache_capacity.CachePrediction:
        if not self.is_warm(key, now):
            return cache_capacity.CachePrediction(
                False, was_evicted=key in self._evicted_keys
            )
        reuse_distance = 0
        for other in reversed(self._used_at_by_key):
            if other == key:
                break
            reuse_distance += 1
        return cache_capacity.CachePrediction(True, reuse_distance)

    def _evict_oldest(self) -> None:
        while len(self._used_at_by_key) > self.capacity.objects:
            key, _ = self._used_at_by_key.popitem(last=False)
            self._evicted_keys[key] = None
            self._evicted_keys.move_to_end(key)
        while len(self._evicted_keys) > MAX_EVICTED_OBJECTS:
            self._evicted_keys.popitem(last=False)

    def _record_success(self, now: float) -> None:
        self._consecutive_unreachable = 0
        self.failure_rate *= 1.0 - FAILURE_EWMA_WEIGHT

    def _record_failure(self, now: float) -> None:
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - self.failure_rate)
        self._failed_at = now

    def observe_load(self, load: model.Load, now: float) -> None:
        """Take in a report; a queue at the endpoint is work not known here."""
        if load.waiting > 0:
            self._overloaded_until = now + OVERLOAD_BACKOFF_S

    def _mark_unreachable(self, now: float) -> None:
        doublings = min(self._consecutive_unreachable, 8)
        self._consecutive_unreachable += 1
        self._back_off(now, min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**doublings))
        # It may come back without its caches.
        self.mark_cold(now, self.service.cold_duration_s, 1.0)

    def _mark_misdirected(self, now: float) -> None:
        # The address belongs to another endpoint now; the list will tell.
        self._back_off(now, MAX_BACKOFF_S)

    def _ignore(self, now: float) -> None:
        return

    def _back_off(self, now: float, duration_s: float) -> None:
        self._backoff_until = max(self._backoff_until, now + duration_s)


_UNPROCESSED_OUTCOMES = frozenset(
    (
        model.Outcome.SHED,
        model.Outcome.UNREACHABLE,
        model.Outcome.MISDIRECTED,
        model.Outcome.BROKEN,
    )
)
_HANDLERS_BY_OUTCOME = {
    model.Outcome.ANSWERED: EndpointState._record_success,
    model.Outcome.FAILED: EndpointState._record_failure,
    model.Outcome.SHED: EndpointState._record_failure,
    model.Outcome.UNREACHABLE: EndpointState._mark_unreachable,
    model.Outcome.BROKEN: EndpointState._record_failure,
    model.Outcome.MISDIRECTED: EndpointState._mark_misdirected,
    model.Outcome.ABANDONED: EndpointState._ignore,
}
