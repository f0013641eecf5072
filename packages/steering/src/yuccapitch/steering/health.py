"""An entry instance's view of endpoints: own observations, reports, probes."""

from __future__ import annotations

import dataclasses
import enum
import statistics
from collections.abc import Iterable

from yuccapitch.catalogue import ids

SLOWNESS_EWMA_WEIGHT = 0.05
TYPICAL_EWMA_WEIGHT = 0.02
MEASUREMENT_TTL_S = 10.0
"""Age at which a measurement no longer speaks for an endpoint."""
REPORT_TTL_S = 10.0
DOUBTFUL_AFTER_FAILURES = 3
MIN_DOUBTFUL_S = 1.0
MAX_DOUBTFUL_S = 30.0
MIN_SLOWNESS = 0.1
DEFAULT_SERVICE_S = 0.02


class ExchangeOutcome(enum.Enum):
    """How an exchange with an endpoint ended, as this instance saw it."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    TIMED_OUT = "timed-out"


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """An endpoint's statement about itself."""

    endpoint_id: ids.EndpointId
    in_flight: int
    taken_at: float


@dataclasses.dataclass(frozen=True)
class HealthEstimate:
    """What is believed of an endpoint now."""

    slowness: float
    """Service time as a multiple of what is typical for the same work."""
    doubtful: bool
    measured: bool
    reported_in_flight: int | None


class HealthView:
    """Measurements of the endpoints that one instance sends to."""

    def __init__(self, doubtful_after: int = DOUBTFUL_AFTER_FAILURES) -> None:
        self.doubtful_after = doubtful_after
        self._records_by_id: dict[ids.EndpointId, _Measurements] = {}
        self._typical_s_by_route: dict[str, float] = {}

    def observe_exchange(
        self,
        endpoint_id: ids.EndpointId,
        end: ExchangeOutcome,
        route: str,
        service_s: float,
        now: float,
    ) -> None:
        """Record an own exchange."""
        record = self._measurements(endpoint_id)
        if end in (ExchangeOutcome.FAILED, ExchangeOutcome.SHED):
            # Either ends at once, so that its free slots would attract more work.
            record.fail(now, self.doubtful_after)
            return
        if end is ExchangeOutcome.TIMED_OUT:
            record.fail(now, self.doubtful_after)
        else:
            record.succeed()
        typical_s = self._typical_s_by_route.setdefault(route, service_s)
        # A slow endpoint must not raise what counts as typical.
        sample_s = service_s / max(1.0, record.slowness)
        self._typical_s_by_route[route] = typical_s + TYPICAL_EWMA_WEIGHT * (
            sample_s - typical_s
        )
        relative = service_s / max(typical_s, 1e-6)
        record.slowness += SLOWNESS_EWMA_WEIGHT * (relative - record.slowness)
        record.exchanged_at = now

    def observe_report(self, report: LoadReport) -> None:
        """Record an endpoint's report unless a newer one is known."""
        record = self._measurements(report.endpoint_id)
        if record.report is None or report.taken_at > record.report.taken_at:
            record.report = report

    def observe_probe(
        self, endpoint_id: ids.EndpointId, answered: bool, now: float
    ) -> None:
        """Record a probe; it counts only where no exchange has spoken since."""
        record = self._measurements(endpoint_id)
        if now - record.exchanged_at < MEASUREMENT_TTL_S and not record.failures:
            return
        if not answered:
            record.fail(now, self.doubtful_after)
            return
        record.succeed()
        record.probed_at = now

    def expected_service_s(
        self, endpoint_id: ids.EndpointId, route: str, now: float
    ) -> float:
        """Return the expected service time of a route's work at an endpoint."""
        return self.typical_service_s(route) * self.estimate(endpoint_id, now).slowness

    def typical_service_s(self, route: str) -> float:
        """Return the service time of a route's work at an ordinary endpoint."""
        return self._typical_s_by_route.get(route, DEFAULT_SERVICE_S)

    def median_slowness(
        self, endpoint_ids: Iterable[ids.EndpointId], now: float
    ) -> float:
        """Return the slowness of an ordinary endpoint of a group.

        It differs from 1 while all of them have become slower or faster together.
        """
        slownesses = [self.estimate(e, now).slowness for e in endpoint_ids]
        return max(MIN_SLOWNESS, statistics.median_low(slownesses or [1.0]))

    def estimate(self, endpoint_id: ids.EndpointId, now: float) -> HealthEstimate:
        """Return what is believed of an endpoint, measurements aged."""
        record = self._measurements(endpoint_id)
        fresh = now - record.exchanged_at < MEASUREMENT_TTL_S
        # A good figure fades to the ordinary one; a bad one stays until something
        # newer replaces it.
        slowness = record.slowness if fresh else max(1.0, record.slowness)
        report = record.report
        if report is not None and now - report.taken_at >= REPORT_TTL_S:
            report = None
        return HealthEstimate(
            slowness,
            now < record.doubtful_until,
            fresh or now - record.probed_at < MEASUREMENT_TTL_S,
            None if report is None else report.in_flight,
        )

    def relative_estimates(
        self, endpoint_ids: Iterable[ids.EndpointId], now: float
    ) -> dict[ids.EndpointId, HealthEstimate]:
        """Return the standing of each endpoint of a group.

        Without any measurement, or if all are doubtful, none is preferred:
        traffic stays spread over the whole group.
        """
        estimates_by_id = {
            endpoint_id: self.estimate(endpoint_id, now) for endpoint_id in endpoint_ids
        }
        if not estimates_by_id:
            return estimates_by_id
        estimates = estimates_by_id.values()
        if not any(estimate.measured for estimate in estimates):
            return {
                endpoint_id: dataclasses.replace(estimate, slowness=1.0, doubtful=False)
                for endpoint_id, estimate in estimates_by_id.items()
            }
        if all(estimate.doubtful for estimate in estimates):
            return {
                endpoint_id: dataclasses.replace(estimate, doubtful=False)
                for endpoint_id, estimate in estimates_by_id.items()
            }
        slownesses = [estimate.slowness for estimate in estimates]
        ordinary = max(MIN_SLOWNESS, statistics.median_low(slownesses))
        if abs(ordinary - 1.0) < 0.05:
            return estimates_by_id
        return {
            endpoint_id: dataclasses.replace(
                estimate, slowness=estimate.slowness / ordinary
            )
            for endpoint_id, estimate in estimates_by_id.items()
        }

    def forget(self, endpoint_id: ids.EndpointId) -> None:
        """Drop what was measured of an earlier incarnation."""
        self._records_by_id.pop(endpoint_id, None)

    def _measurements(self, endpoint_id: ids.EndpointId) -> _Measurements:
        return self._records_by_id.setdefault(endpoint_id, _Measurements())


@dataclasses.dataclass
class _Measurements:
    slowness: float = 1.0
    exchanged_at: float = float("-inf")
    probed_at: float = float("-inf")
    report: LoadReport | None = None
    failures: int = 0
    doubtful_until: float = float("-inf")

    def fail(self, now: float, doubtful_after: int) -> None:
        self.failures += 1
        excess = self.failures - doubtful_after
        if excess >= 0:
            self.doubtful_until = now + min(
                MAX_DOUBTFUL_S, MIN_DOUBTFUL_S * 2.0**excess
            )

    def succeed(self) -> None:
        self.failures = 0
        self.doubtful_until = float("-inf")
