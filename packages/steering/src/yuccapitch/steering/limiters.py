"""Limiters that admit work within the held share of a resource."""

from __future__ import annotations

import abc
import collections
import dataclasses
from collections.abc import Callable, Sequence

import result

from yuccapitch.steering import clock_drift, resources

CONCURRENCY_RETRY_AFTER_S = 0.5
NO_SHARE_RETRY_AFTER_S = 1.0
WINDOW_BUCKETS = 50
MIN_USABLE_FRACTION = 0.05
BACK_OFF_FACTOR = 0.5
FRACTION_INCREASE_PER_S = 0.05
MIN_BACK_OFF_INTERVAL_S = 0.25
MAX_LOSS = 0.01
MAX_ROUND_TRIP_RATIO = 1.5


@dataclasses.dataclass(frozen=True)
class Admitted:
    """Units that were acquired from the share."""

    resource_id: resources.ResourceId
    units: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """A refusal; no units were acquired."""

    resource_id: resources.ResourceId
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class LinkMeasurement:
    """Measured loss and round-trip time of a link."""

    loss: float
    round_trip_s: float
    base_round_trip_s: float


Admission = result.Result[Admitted, Refused]


class Limiter(abc.ABC):
    """Keeps the usage of one resource within the held share."""

    def __init__(self, resource: resources.Resource) -> None:
        self.resource = resource

    @property
    def is_windowed(self) -> bool:
        """Whether units are freed as the window passes instead of by a release."""
        return self.resource.window_s > 0

    @abc.abstractmethod
    def admit(self, share: int, units: int, now: float) -> Admission:
        """Acquire units if the share permits."""

    @abc.abstractmethod
    def in_use(self, now: float) -> int:
        """Return the units in use, which delay the reduction of a share."""

    def release(self, admitted: Admitted) -> None:
        """Release units when the work ends, unless the limiter is windowed."""

    def _refuse(self, retry_after_s: float) -> Admission:
        return result.Err(Refused(self.resource.resource_id, retry_after_s))

    def _admit(self, units: int) -> Admission:
        return result.Ok(Admitted(self.resource.resource_id, units))


_LIMITERS_BY_KIND: dict[resources.LimiterKind, type[Limiter]] = {}


def register(
    kind: resources.LimiterKind,
) -> Callable[[type[Limiter]], type[Limiter]]:
    """Register the limiter class for a kind of resource."""

    def decorate(limiter_class: type[Limiter]) -> type[Limiter]:
        _LIMITERS_BY_KIND[kind] = limiter_class
        return limiter_class

    return decorate


@dataclasses.dataclass(frozen=True)
class AdmissionRequest:
    """Units requested from one share."""

    limiter: Limiter
    share: int
    units: int = 1


def admit_all(
    requests: Sequence[AdmissionRequest], now: float
) -> result.Result[tuple[Admitted, ...], Refused]:
    """Acquire units from all shares.

    If one refuses, the acquired units are released, except those of a windowed
    limiter.
    """
    admitted: list[tuple[Limiter, Admitted]] = []
    # Units of a windowed limiter cannot be released, so they are acquired last.
    for request in sorted(requests, key=lambda request: request.limiter.is_windowed):
        admission = request.limiter.admit(request.share, request.units, now)
        if admission.is_err():
            for limiter, units in admitted:
                limiter.release(units)
            return result.Err(admission.unwrap_err())
        admitted.append((request.limiter, admission.unwrap()))
    return result.Ok(tuple(units for _, units in admitted))


def create_limiter(resource: resources.Resource) -> Limiter:
    """Create the limiter of a resource."""
    return _LIMITERS_BY_KIND[resource.kind](resource)


@register(resources.LimiterKind.CONCURRENCY)
class ConcurrencyLimiter(Limiter):
    """Keeps the number of requests in flight within the share."""

    def __init__(self, resource: resources.Resource) -> None:
        super().__init__(resource)
        self._in_flight = 0

    def admit(self, share: int, units: int, now: float) -> Admission:
        """Admit if the units fit into the share."""
        if self._in_flight + units > share:
            return self._refuse(CONCURRENCY_RETRY_AFTER_S)
        self._in_flight += units
        return self._admit(units)

    def release(self, admitted: Admitted) -> None:
        """Release the units of work that ended."""
        assert (
            admitted.units <= self._in_flight
        ), "released more units than were admitted"
        self._in_flight -= admitted.units

    def in_use(self, now: float) -> int:
        """Return the number of units in flight."""
        return self._in_flight


@register(resources.LimiterKind.RATE)
class RateLimiter(Limiter):
    """Admits at most the share in any window, with a sliding window log."""

    def __init__(self, resource: resources.Resource) -> None:
        super().__init__(resource)
        # On a fast clock the window would end too early, so it is extended by the
        # largest clock drift.
        self._window = _SlidingWindow(
            resource.window_s * clock_drift.CLOCK_DRIFT_FACTOR, 0.0
        )

    def admit(self, share: int, units: int, now: float) -> Admission:
        """Admit if the units fit into the window."""
        if units > share:
            return self._refuse(NO_SHARE_RETRY_AFTER_S)
        wait_s = self._window.wait_s(share, units, now)
        if wait_s > 0:
            return self._refuse(wait_s)
        self._window.add(units, now)
        return self._admit(units)

    def in_use(self, now: float) -> int:
        """Return 0: the ledger itself counts past use until the window has passed."""
        return 0


@register(resources.LimiterKind.BYTES)
class BytesLimiter(Limiter):
    """Admits bytes by a sliding window and backs off for other traffic on the link."""

    def __init__(self, resource: resources.Resource) -> None:
        super().__init__(resource)
        window_s = resource.window_s * clock_drift.CLOCK_DRIFT_FACTOR
        self._window = _SlidingWindow(window_s, window_s / WINDOW_BUCKETS)
        self._fraction = 1.0
        self._fraction_at = 0.0
        self._backed_off_at: float | None = None

    def admit(self, share: int, units: int, now: float) -> Admission:
        """Admit a chunk if it fits into the usable fraction of the window."""
        if units > share:
            return self._refuse(NO_SHARE_RETRY_AFTER_S)
        # A chunk larger than the usable fraction is sent alone; otherwise it would
        # never be admitted.
        usable = max(units, int(share * self.fraction(now)))
        wait_s = self._window.wait_s(usable, units, now)
        if wait_s > 0:
            return self._refuse(wait_s)
        self._window.add(units, now)
        return self._admit(units)

    def in_use(self, now: float) -> int:
        """Return 0: the ledger itself counts past use until the window has passed."""
        return 0

    def observe(self, measurement: LinkMeasurement, now: float) -> None:
        """Halve the usable fraction on loss or delay, at most once per interval."""
        delay_limit_s = measurement.base_round_trip_s * MAX_ROUND_TRIP_RATIO
        if measurement.loss <= MAX_LOSS and measurement.round_trip_s <= delay_limit_s:
            return
        backed_off_at = self._backed_off_at
        if backed_off_at is not None and now < backed_off_at + MIN_BACK_OFF_INTERVAL_S:
            return
        self._fraction = max(MIN_USABLE_FRACTION, self.fraction(now) * BACK_OFF_FACTOR)
        self._fraction_at = self._backed_off_at = now

    def fraction(self, now: float) -> float:
        """Return the usable fraction of the share, which recovers linearly."""
        recovered = FRACTION_INCREASE_PER_S * max(0.0, now - self._fraction_at)
        return min(1.0, self._fraction + recovered)


@dataclasses.dataclass
class _Bucket:
    last_at: float
    units: int


class _SlidingWindow:
    """Units used in the last window, in buckets.

    A bucket counts until the last use in it has left the window.
    """

    def __init__(self, window_s: float, bucket_s: float) -> None:
        self._window_s = window_s
        self._bucket_s = bucket_s
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self._bucket_started_at = 0.0
        self._total = 0

    def wait_s(self, limit: int, units: int, now: float) -> float:
        """Return the time until the units fit; 0 if they fit now."""
        self._drop_expired(now)
        excess = self._total + units - limit
        if excess <= 0:
            return 0.0
        for bucket in self._buckets:
            excess -= bucket.units
            if excess <= 0:
                return bucket.last_at + self._window_s - now
        return self._window_s

    def add(self, units: int, now: float) -> None:
        """Record units used now."""
        self._total += units
        if self._buckets and now < self._bucket_started_at + self._bucket_s:
            self._buckets[-1].last_at = now
            self._buckets[-1].units += units
            return
        self._bucket_started_at = now
        self._buckets.append(_Bucket(now, units))

    def _drop_expired(self, now: float) -> None:
        while self._buckets and self._buckets[0].last_at + self._window_s <= now:
            self._total -= self._buckets.popleft().units
