"""Gauges of an instance, evaluated at each scrape."""

from __future__ import annotations

import typing
from collections.abc import Callable

from yuccapitch.control import lease_client
from yuccapitch.gateway import metric_table, metrics as gateway_metrics


class Lease(typing.Protocol):
    """Attributes of a configuration lease that the gauges read."""

    configuration: lease_client.Configuration
    lease_until: float


def register_lease_gauges(
    metrics: gateway_metrics.Metrics, lease: Lease, clock: Callable[[], float]
) -> None:
    """Register the gauges of the configuration version and the remaining lease."""
    metrics.register_gauge(
        metric_table.CONFIG_VERSION, lambda: [((), lease.configuration.version)]
    )
    metrics.register_gauge(
        metric_table.LEASE_REMAINING,
        lambda: [((), max(0.0, lease.lease_until - clock()))],
    )
