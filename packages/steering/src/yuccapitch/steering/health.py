"""Endpoint health as estimated from exchanges, load reports and probes."""

from __future__ import annotations

import dataclasses
import enum
import statistics
from collections.abc import Iterable

from yuccapitch.catalogue import ids

SLOWNESS_EWMA_WEIGHT = 0.05
TYPICAL_EWMA_WEIGHT = 0.02
MEASUREMENT_TTL_S = 10.0
"""Age at which a measurement expires."""
REPORT_TTL_S = 10.0
DOUBTFUL_AFTER_FAILURES = 3
MIN_DOUBTFUL_S = 1.0
MAX_DOUBTFUL_S = 30.0
MIN_SLOWNESS = 0.1
DEFAULT_SERVICE_S = 0.02


class ExchangeOutcome(enum.Enum):
    """Outcome of an exchange with an endpoint as observed by this instance."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    TIMED_OUT = "timed-out"


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load reported by an endpoint."""

    endpoint_id: ids.EndpointId
    in_flight: int
    taken_at: float


@dataclasses.dataclass(frozen=True)
class HealthEstimate:
    """Current health estimate of an endpoint."""

    slowness: float
    """Service time as a multiple of the typical one of the same route."""
    doubtful: bool
    """Whether several exchanges or probes in a row failed, the last one recently."""
    measured: bool
    reported_in_flight: int | None


class HealthView:
    """Health measurements of the endpoints that one instance sends to."""

    def __init__(self, doubtful_after: int = DOUBTFUL_AFTER_FAILURES) -> None:
        self.doubtful_after = doubtful_after
        self._measurements_by_id: dict[ids.EndpointId, _Measurements] = {}
        self._typical_s_by_route: dict[str, float] = {}

    def observe_exchange(
        self,
        endpoint_id: ids.EndpointId,
        outcome: ExchangeOutcome,
        route: str,
        service_s: float,
        now: float,
    ) -> None:
        """Record the outcome of an exchange by this instance."""
        measurements = self._measurements(endpoint_id)
        if outcome in (ExchangeOutcome.FAILED, ExchangeOutcome.SHED):
            # Both free the slot early. If they did not count as failures, the endpoint
            # would have more free slots than others and attract more requests.
            measurements.fail(now, self.doubtful_after)
            return
        if outcome is ExchangeOutcome.TIMED_OUT:
            measurements.fail(now, self.doubtful_after)
        else:
            measurements.succeed()
        typical_s = self._typical_s_by_route.setdefault(route, service_s)
        # Scaled so that a slow endpoint does not raise the typical service time.
        sample_s = service_s / max(1.0, measurements.slowness)
        self._typical_s_by_route[route] = typical_s + TYPICAL_EWMA_WEIGHT * (
            sample_s - typical_s
        )
        relative = service_s / max(typical_s, 1e-6)
        measurements.slowness += SLOWNESS_EWMA_WEIGHT * (
            relative - measurements.slowness
        )
        measurements.exchanged_at = now

    def observe_report(self, report: LoadReport) -> None:
        """Record an endpoint's load report unless a newer one is known."""
        measurements = self._measurements(report.endpoint_id)
        if (
            measurements.report is None
            or report.taken_at > measurements.report.taken_at
        ):
            measurements.report = report

    def observe_probe(
        self, endpoint_id: ids.EndpointId, answered: bool, now: float
    ) -> None:
        """Record a probe result unless exchanges give better information.

        The result is ignored if the last exchange with a measured service time is
        recent and nothing has failed since the last success.
        """
        measurements = self._measurements(endpoint_id)
        if (
            now - measurements.exchanged_at < MEASUREMENT_TTL_S
            and not measurements.failures
        ):
            return
        if not answered:
            measurements.fail(now, self.doubtful_after)
            return
        measurements.succeed()
        measurements.probed_at = now

    def expected_service_s(
        self, endpoint_id: ids.EndpointId, route: str, now: float
    ) -> float:
        """Return the expected service time of a route's requests at an endpoint."""
        return self.typical_service_s(route) * self.estimate(endpoint_id, now).slowness

    def typical_service_s(self, route: str) -> float:
        """Return the typical service time of a route's requests."""
        return self._typical_s_by_route.get(route, DEFAULT_SERVICE_S)

    def median_slowness(
        self, endpoint_ids: Iterable[ids.EndpointId], now: float
    ) -> float:
        """Return the median slowness of a group of endpoints.

        It differs from 1 while the whole group has become slower or faster.
        """
        slownesses = [self.estimate(e, now).slowness for e in endpoint_ids]
        return max(MIN_SLOWNESS, statistics.median_low(slownesses or [1.0]))

    def estimate(self, endpoint_id: ids.EndpointId, now: float) -> HealthEstimate:
        """Return the health estimate of an endpoint, taking expiry into account."""
        measurements = self._measurements(endpoint_id)
        fresh = now - measurements.exchanged_at < MEASUREMENT_TTL_S
        # After expiry, an endpoint that was faster than typical counts as typical (1),
        # but one that was slower stays slow until it is measured again.
        slowness = measurements.slowness if fresh else max(1.0, measurements.slowness)
        report = measurements.report
        if report is not None and now - report.taken_at >= REPORT_TTL_S:
            report = None
        return HealthEstimate(
            slowness,
            now < measurements.doubtful_until,
            fresh or now - measurements.probed_at < MEASUREMENT_TTL_S,
            None if report is None else report.in_flight,
        )

    def relative_estimates(
        self, endpoint_ids: Iterable[ids.EndpointId], now: float
    ) -> dict[ids.EndpointId, HealthEstimate]:
        """Return the estimates of a group of endpoints, relative to their median.

        If nothing has been measured or all endpoints are doubtful, none is
        preferred, so that traffic stays spread over the whole group.
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
        median = max(MIN_SLOWNESS, statistics.median_low(slownesses))
        if abs(median - 1.0) < 0.05:
            return estimates_by_id
        return {
            endpoint_id: dataclasses.replace(
                estimate, slowness=estimate.slowness / median
            )
            for endpoint_id, estimate in estimates_by_id.items()
        }

    def forget(self, endpoint_id: ids.EndpointId) -> None:
        """Discard the measurements of an earlier incarnation of an endpoint."""
        self._measurements_by_id.pop(endpoint_id, None)

    def _measurements(self, endpoint_id: ids.EndpointId) -> _Measurements:
        return self._measurements_by_id.setdefault(endpoint_id, _Measurements())


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
