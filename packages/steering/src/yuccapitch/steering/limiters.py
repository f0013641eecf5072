"""Limiters that admit work against the share held of a resource."""

from __future__ import annotations

import abc
import collections
import dataclasses
from collections.abc import Callable, Sequence

import result

from yuccapitch.steering import ledger, resources

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
    """Units that were taken from the share."""

    resource_id: resources.ResourceId
    units: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """No units were taken."""

    resource_id: resources.ResourceId
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class LinkMeasurement:
    """Loss and round-trip time that were seen on a link."""

    loss: float
    round_trip_s: float
    base_round_trip_s: float


Admission = result.Result[Admitted, Refused]


class Limiter(abc.ABC):
    """Keeps the use of one resource within the share held."""

    def __init__(self, resource: resources.Resource) -> None:
        self.resource = resource

    @property
    def is_windowed(self) -> bool:
        """Whether used units come back with time and not by a release."""
        return self.resource.window_s > 0

    @abc.abstractmethod
    def admit(self, share: int, units: int, now: float) -> Admission:
        """Takes units if the share allows it."""

    @abc.abstractmethod
    def in_use(self, now: float) -> int:
        """Units in use, which a reduced share has to wait for."""

    def release(self, admitted: Admitted) -> None:
        """Gives units back when the work ends, where that frees them."""

    def _refuse(self, retry_after_s: float) -> Admission:
        return result.Err(Refused(self.resource.resource_id, retry_after_s))

    def _admit(self, units: int) -> Admission:
        return result.Ok(Admitted(self.resource.resource_id, units))


_LIMITERS_BY_KIND: dict[resources.LimiterKind, type[Limiter]] = {}


def register(
    kind: resources.LimiterKind,
) -> Callable[[type[Limiter]], type[Limiter]]:
    """Registers the limiter of a kind of resource."""

    def decorate(limiter_class: type[Limiter]) -> type[Limiter]:
        _LIMITERS_BY_KIND[kind] = limiter_class
        return limiter_class

    return decorate


@dataclasses.dataclass(frozen=True)
class AdmissionRequest:
    """Units wanted of one share."""

    limiter: Limiter
    share: int
    units: int = 1


def admit_all(
    requests: Sequence[AdmissionRequest], now: float
) -> result.Result[tuple[Admitted, ...], Refused]:
    """Takes units of every share or of none that can be given back."""
    admitted: list[tuple[Limiter, Admitted]] = []
    # Units of a window cannot be given back, so those are taken last.
    for request in sorted(requests, key=lambda request: request.limiter.is_windowed):
        admission = request.limiter.admit(request.share, request.units, now)
        if admission.is_err():
            for limiter, units in admitted:
                limiter.release(units)
            return result.Err(admission.unwrap_err())
        admitted.append((request.limiter, admission.unwrap()))
    return result.Ok(tuple(units for _, units in admitted))


def create_limiter(resource: resources.Resource) -> Limiter:
    """Makes the limiter of a resource."""
    return _LIMITERS_BY_KIND[resource.kind](resource)


@register(resources.LimiterKind.CONCURRENCY)
class ConcurrencyLimiter(Limiter):
    """Keeps the requests in flight within the share."""

    def __init__(self, resource: resources.Resource) -> None:
        super().__init__(resource)
        self._in_flight = 0

    def admit(self, share: int, units: int, now: float) -> Admission:
        """Admits while the share has room."""
        if self._in_flight + units > share:
            return self._refuse(CONCURRENCY_RETRY_AFTER_S)
        self._in_flight += units
        return self._admit(units)

    def release(self, admitted: Admitted) -> None:
        """Frees the units of work that ended."""
        assert admitted.units <= self._in_flight, "released more than was admitted"
        self._in_flight -= admitted.units

    def in_use(self, now: float) -> int:
        """Counts the requests in flight."""
        return self._in_flight


@register(resources.LimiterKind.RATE)
class RateLimiter(Limiter):
    """Admits at most the share in any window, by a sliding log."""

    def __init__(self, resource: resources.Resource) -> None:
        super().__init__(resource)
        # The window is stretched so that it covers a true one on a fast clock.
        self._window = _SlidingWindow(
            resource.window_s * ledger.CLOCK_DRIFT_FACTOR, 0.0
        )

    def admit(self, share: int, units: int, now: float) -> Admission:
        """Admits while the window has room."""
        if units > share:
            return self._refuse(NO_SHARE_RETRY_AFTER_S)
        wait_s = self._window.wait_s(share, units, now)
        if wait_s > 0:
            return self._refuse(wait_s)
        self._window.add(units, now)
        return self._admit(units)

    def in_use(self, now: float) -> int:
        """The ledger itself waits for the window to pass."""
        return 0


@register(resources.LimiterKind.BYTES)
class BytesLimiter(Limiter):
    """Admits bytes by a sliding window and leaves room to other traffic."""

    def __init__(self, resource: resources.Resource) -> None:
        super().__init__(resource)
        window_s = resource.window_s * ledger.CLOCK_DRIFT_FACTOR
        self._window = _SlidingWindow(window_s, window_s / WINDOW_BUCKETS)
        self._fraction = 1.0
        self._fraction_at = 0.0
        self._backed_off_at: float | None = None

    def admit(self, share: int, units: int, now: float) -> Admission:
        """Admits a chunk while the usable part of the window has room."""
        if units > share:
            return self._refuse(NO_SHARE_RETRY_AFTER_S)
        # A chunk above the usable part goes alone, or it would never go.
        usable = max(units, int(share * self.fraction(now)))
        wait_s = self._window.wait_s(usable, units, now)
        if wait_s > 0:
            return self._refuse(wait_s)
        self._window.add(units, now)
        return self._admit(units)

    def in_use(self, now: float) -> int:
        """The ledger itself waits for the window to pass."""
        return 0

    def observe(self, signal: LinkMeasurement, now: float) -> None:
        """Halves the usable part on loss or delay, once an interval."""
        delay_limit_s = signal.base_round_trip_s * MAX_ROUND_TRIP_RATIO
        if signal.loss <= MAX_LOSS and signal.round_trip_s <= delay_limit_s:
            return
        backed_off_at = self._backed_off_at
        if backed_off_at is not None and now < backed_off_at + MIN_BACK_OFF_INTERVAL_S:
            return
        self._fraction = max(MIN_USABLE_FRACTION, self.fraction(now) * BACK_OFF_FACTOR)
        self._fraction_at = self._backed_off_at = now

    def fraction(self, now: float) -> float:
        """Usable part of the share, which grows back evenly."""
        grown = FRACTION_INCREASE_PER_S * max(0.0, now - self._fraction_at)
        return min(1.0, self._fraction + grown)


@dataclasses.dataclass
class _Bucket:
    last_at: float
    units: int


class _SlidingWindow:
    """Units used in the last window; a bucket counts until its last use leaves."""

    def __init__(self, window_s: float, bucket_s: float) -> None:
        self._window_s = window_s
        self._bucket_s = bucket_s
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self._bucket_started_at = 0.0
        self._total = 0

    def wait_s(self, limit: int, units: int, now: float) -> float:
        """Time until the units fit; 0 if they fit now."""
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
        """Counts units that were used now."""
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
