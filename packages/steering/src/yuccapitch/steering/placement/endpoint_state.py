"""State that a dispatcher keeps about one endpoint."""

from __future__ import annotations

import collections
import enum
from collections.abc import Callable

from yuccapitch.catalogue import ids, routes
from yuccapitch.steering.placement import (
    apportionment,
    cache_capacity,
    cold_start_limiter,
    model,
    request_rate_limiter,
)

# Objects remembered after their assumed eviction from the cache of an endpoint.
MAX_EVICTED_OBJECTS = 32
# An object not used for this long is no longer assumed to be cached.
WARM_TTL_S = 60.0
# Backoff after a failed connection, doubled with each further one up to the maximum.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Time without new requests after an endpoint reported requests in its own queue.
OVERLOAD_BACKOFF_S = 0.05
# Weight of the newest request in the failure rate.
FAILURE_EWMA_WEIGHT = 0.15
# An endpoint whose failure rate exceeds the median of its service by more than this
# gets one request at a time, which probes whether it has recovered.
MAX_EXCESS_FAILURE_RATE = 0.3
# Pause after each failure of an endpoint whose failure rate is that high.
FAILURE_BACKOFF_S = 0.5
# Weight of the newest request in the slowness (actual to expected duration) and in the
# mean duration.
SLOWNESS_EWMA_WEIGHT = 0.15
MAX_SLOWNESS = 20.0
# Longest extension of a warm-up that is taken for the delay of a list.
MAX_WARM_UP_JITTER_S = 0.2
# Limits above which an endpoint is unhealthy. The summary for the next dispatcher lists
# only unhealthy endpoints; smaller deviations are measured again within a few requests.
UNHEALTHY_SLOWNESS = 1.5
UNHEALTHY_FAILURE_RATE = 0.15


class Availability(enum.Enum):
    """Whether a request may be sent to an endpoint now."""

    FREE = "free"
    BUSY = "busy"
    """At its limit of requests in flight or its rate limit, or it reported a queue."""
    LIMITED = "limited"
    """Has got as many requests as the limit allows that it has named."""
    CLOSED = "closed"
    """Backing off after a failure, or busy with a probe request."""
    NOT_SHARED = "not shared"
    """Left to other instances, which together use all that its limit allows."""


class EndpointState:
    """Requests in flight, cached objects and health of one endpoint."""

    def __init__(
        self,
        endpoint: model.Endpoint,
        service: routes.RoutedService,
        capacity: cache_capacity.CacheCapacity,
        now: float,
        find_share: Callable[
            [ids.EndpointId], apportionment.Share
        ] = apportionment.find_whole,
    ) -> None:
        """Create the state of an endpoint without any measurement."""
        self.endpoint = endpoint
        self.service = service
        self._find_share = find_share
        self._share: apportionment.Share | None = None
        self.region_rate_fraction = 1.0
        """Fraction of a limit named by the endpoint that this region uses."""
        self._region_cold_share = apportionment.WHOLE
        self.capacity = capacity
        """Cache capacity, shared by the endpoints of a service."""
        self.in_flight = 0
        self.untried_since: float | None = None
        """Time at which the endpoint joined, until it gets its first request."""
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.cold_until = 0.0
        self._cold_start_limiter: cold_start_limiter.ColdStartLimiter | None = None
        self._rate_limiter: request_rate_limiter.RequestRateLimiter | None = None
        self._mean_duration_s: float | None = None
        self._backoff_until = 0.0
        self._failed_at = float("-inf")
        self._overloaded_until = float("-inf")
        self._consecutive_unreachable = 0
        self._used_at_by_object_id: collections.OrderedDict[str, float]
        self._used_at_by_object_id = collections.OrderedDict()
        self._evicted_object_ids: collections.OrderedDict[str, None]
        self._evicted_object_ids = collections.OrderedDict()
        if endpoint.cold_left_s > 0:
            self.mark_cold(now, endpoint.cold_left_s)

    def update(
        self, endpoint: model.Endpoint, service: routes.RoutedService, now: float
    ) -> None:
        """Apply the current entry of the platform's list."""
        is_listed_anew = endpoint is not self.endpoint
        self.endpoint, self.service = endpoint, service
        # An entry that was applied before says nothing of the present time.
        if is_listed_anew and endpoint.cold_left_s > 0:
            extension_s = now + endpoint.cold_left_s - self.cold_until
            if extension_s > MAX_WARM_UP_JITTER_S:
                self.mark_cold(now, endpoint.cold_left_s)

    @property
    def share(self) -> apportionment.Share:
        """Part of the endpoint's limits that this instance uses."""
        # Found when it is needed: most instances never place by themselves, and ranking
        # all instances for all endpoints takes tens of milliseconds on large sites.
        if self._share is None:
            self._share = self._find_share(self.endpoint.endpoint_id)
        return self._share

    def renew_share(self, now: float) -> None:
        """Use the part of the endpoint's limits that is found from now on."""
        self._share = None
        if self._cold_start_limiter is not None:
            self._cold_start_limiter.update(self.cold_rate_share, now)

    @property
    def is_first_user(self) -> bool:
        """Whether this instance uses the endpoint in any condition."""
        return self.share.is_first and self._region_cold_share.is_first

    def set_region_shares(
        self, rate_fraction: float, cold_share: apportionment.Share, now: float
    ) -> None:
        """Use these parts of a limit named by the endpoint and of its cold rate."""
        self.region_rate_fraction = rate_fraction
        if cold_share != self._region_cold_share:
            self._region_cold_share = cold_share
            self.renew_share(now)

    @property
    def cold_rate_share(self) -> float:
        """Fraction of the request rate while cold that this instance uses."""
        rate_per_s = self.service.cold_rate_per_s
        region_share = self._region_cold_share.of_rate(rate_per_s)
        return region_share * self.share.of_rate(region_share * rate_per_s)

    def mark_cold(self, now: float, duration_s: float) -> None:
        """Treat the endpoint as warming up, with empty caches, for ``duration_s``."""
        self._used_at_by_object_id.clear()
        self._evicted_object_ids.clear()
        self.restore_warm_up(now + duration_s, now)

    def restore_warm_up(self, ends_at: float, now: float) -> None:
        """Continue with a warm-up that a previous dispatcher knew of."""
        self.cold_until = max(self.cold_until, ends_at)
        if self._cold_start_limiter is None and self.service.cold_rate_per_s > 0:
            self._cold_start_limiter = cold_start_limiter.ColdStartLimiter(
                self.service.cold_rate_per_s, self.cold_rate_share, now
            )

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is still warming up."""
        return now < self.cold_until

    def availability(
        self, now: float, limit: int, median_failure_rate: float = 0.0
    ) -> Availability:
        """Return whether a request may be sent now, with ``limit`` in flight at most.

        A limit of 0 means that all slots of the endpoint are left to other instances.
        The failure rate is compared with the median of the service, so that no endpoint
        is closed when all of them fail alike.
        """
        excess = self.failure_rate - median_failure_rate
        if limit <= 0 or not self._has_share(excess, now):
            return Availability.NOT_SHARED
        if now < self._backoff_until:
            return Availability.CLOSED
        if excess > MAX_EXCESS_FAILURE_RATE and (
            self.in_flight > 0 or now < self._failed_at + FAILURE_BACKOFF_S
        ):
            return Availability.CLOSED
        if self._rate_limiter is not None and not self._rate_limiter.may_send(now):
            return Availability.LIMITED
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

    @property
    def rate_limit_per_s(self) -> float | None:
        """The limit that the endpoint names, for all instances together; or None."""
        return None if self._rate_limiter is None else self._rate_limiter.rate_per_s

    def observe_rate_limit(
        self, report: model.RateLimitReport, sent_at: float, now: float
    ) -> None:
        """Apply what the response to a request sent at ``sent_at`` says of a limit."""
        limiter = self._rate_limiter
        if report.rate_per_s is None:
            if limiter is not None and limiter.ends_before(sent_at):
                self._rate_limiter = None
        elif limiter is None:
            self._rate_limiter = request_rate_limiter.RequestRateLimiter(
                report.rate_per_s, now
            )
        else:
            limiter.update(report.rate_per_s, now)

    @property
    def rate_share(self) -> float:
        """Fraction of a limit named by the endpoint that this instance uses."""
        fraction = self.region_rate_fraction
        return fraction * self.share.of_rate(fraction * (self.rate_limit_per_s or 0.0))

    def record_send(self, now: float) -> None:
        """Count a request towards the limit that the endpoint names."""
        if self._rate_limiter is not None:
            self._rate_limiter.record_send(now, self.rate_share)

    def usable_slots(self, slots: float) -> float:
        """Return how many of ``slots`` requests at the limited rate can occupy."""
        limit_per_s = self.rate_limit_per_s
        if limit_per_s is None or self._mean_duration_s is None:
            return slots
        # Little's law: requests in progress are their rate times their duration.
        return min(slots, limit_per_s * self.rate_share * self._mean_duration_s)

    def is_warm(self, object_id: str, now: float) -> bool:
        """Return whether the endpoint served the object recently enough to cache it."""
        used_at = self._used_at_by_object_id.get(object_id)
        return used_at is not None and now - used_at < WARM_TTL_S

    def warm_objects(self, now: float) -> list[tuple[str, float]]:
        """Return the objects assumed to be cached, with the time of their last use."""
        return [
            (object_id, used_at)
            for object_id, used_at in self._used_at_by_object_id.items()
            if self.is_warm(object_id, now)
        ]

    def begin(self, object_id: str, now: float) -> cache_capacity.CachePrediction:
        """Record the start of a request and return its cache prediction."""
        self.in_flight += 1
        self.untried_since = None
        if self._cold_start_limiter is not None and self.is_cold(now):
            self._cold_start_limiter.acquire(now)
        if not object_id:
            return cache_capacity.PREDICTED_MISS
        prediction = self._predict(object_id, now)
        self._used_at_by_object_id[object_id] = now
        self._used_at_by_object_id.move_to_end(object_id)
        self._evict_oldest()
        return prediction

    def record_warm_object(self, object_id: str, used_at: float) -> None:
        """Record that the endpoint used an object at ``used_at``."""
        if used_at <= self._used_at_by_object_id.get(object_id, float("-inf")):
            return
        is_newest = all(at <= used_at for at in self._used_at_by_object_id.values())
        self._used_at_by_object_id[object_id] = used_at
        self._used_at_by_object_id.move_to_end(object_id, last=is_newest)
        self._evict_oldest()

    def end(
        self, object_id: str, outcome: model.Outcome, was_warm: bool, now: float
    ) -> None:
        """Record the end of a request; ``was_warm`` is the prediction at its start."""
        self.in_flight = max(0, self.in_flight - 1)
        _HANDLERS_BY_OUTCOME[outcome](self, now)
        if outcome in _POSSIBLY_UNPROCESSED_OUTCOMES and not was_warm:
            # The endpoint did not process the request, or it is unknown whether it did,
            # so do not assume that it cached the object.
            self._used_at_by_object_id.pop(object_id, None)

    def observe_duration(self, expected_s: float, duration_s: float) -> None:
        """Update the slowness by the ratio of actual to expected duration."""
        ratio = min(MAX_SLOWNESS, duration_s / max(expected_s, 0.001))
        self.slowness += SLOWNESS_EWMA_WEIGHT * (ratio - self.slowness)
        former_s = (
            duration_s if self._mean_duration_s is None else self._mean_duration_s
        )
        self._mean_duration_s = former_s + SLOWNESS_EWMA_WEIGHT * (
            duration_s - former_s
        )

    def is_unhealthy(self) -> bool:
        """Return whether the endpoint is notably slow or fails notably often."""
        return (
            self.slowness > UNHEALTHY_SLOWNESS
            or self.failure_rate > UNHEALTHY_FAILURE_RATE
        )

    def restore_health(self, slowness: float, failure_rate: float) -> None:
        """Continue with the health that a previous dispatcher measured."""
        self.slowness, self.failure_rate = slowness, failure_rate

    def _has_share(self, excess_failure_rate: float, now: float) -> bool:
        """Return whether this instance uses the endpoint in its present condition."""
        if not self.share.is_first:
            if excess_failure_rate > MAX_EXCESS_FAILURE_RATE:
                # The first instance alone probes whether the endpoint has recovered.
                return False
            if self._rate_limiter is not None and not self.rate_share:
                return False
        is_limited = self._cold_start_limiter is not None and self.is_cold(now)
        return not is_limited or self.cold_rate_share > 0

    def _predict(self, object_id: str, now: float) -> cache_capacity.CachePrediction:
        if not self.is_warm(object_id, now):
            return cache_capacity.CachePrediction(
                False, was_evicted=object_id in self._evicted_object_ids
            )
        reuse_distance = 0
        for other in reversed(self._used_at_by_object_id):
            if other == object_id:
                break
            reuse_distance += 1
        return cache_capacity.CachePrediction(True, reuse_distance)

    def _evict_oldest(self) -> None:
        while len(self._used_at_by_object_id) > self.capacity.objects:
            object_id, _ = self._used_at_by_object_id.popitem(last=False)
            self._evicted_object_ids[object_id] = None
            self._evicted_object_ids.move_to_end(object_id)
        while len(self._evicted_object_ids) > MAX_EVICTED_OBJECTS:
            self._evicted_object_ids.popitem(last=False)

    def _record_success(self, now: float) -> None:
        self._consecutive_unreachable = 0
        self.failure_rate *= 1.0 - FAILURE_EWMA_WEIGHT

    def _record_failure(self, now: float) -> None:
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - self.failure_rate)
        self._failed_at = now

    def observe_load(self, load: model.Load, now: float) -> None:
        """Apply a load report.

        A queue at the endpoint means load that this dispatcher does not know of.
        """
        if load.waiting > 0:
            self._overloaded_until = now + OVERLOAD_BACKOFF_S

    def _mark_unreachable(self, now: float) -> None:
        doublings = min(self._consecutive_unreachable, 8)
        self._consecutive_unreachable += 1
        self._back_off(now, min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**doublings))
        # It may have restarted, which empties its caches.
        self.mark_cold(now, self.service.cold_duration_s)

    def _mark_misdirected(self, now: float) -> None:
        # Another endpoint has the address now. Wait for the next endpoint list.
        self._back_off(now, MAX_BACKOFF_S)

    def _ignore(self, now: float) -> None:
        return

    def _back_off(self, now: float, duration_s: float) -> None:
        self._backoff_until = max(self._backoff_until, now + duration_s)


_POSSIBLY_UNPROCESSED_OUTCOMES = frozenset(
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
