"""Gauges of an instance, evaluated at each scrape."""

from __future__ import annotations

import typing
from collections.abc import Callable, Mapping

from yuccapitch.control import lease_client
from yuccapitch.gateway import metric_table, metrics as gateway_metrics
from yuccapitch.node import log_writer


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


def register_log_gauges(
    metrics: gateway_metrics.Metrics, losses: log_writer.Losses
) -> None:
    """Register the gauges of failed writes of the log and of lost lines."""
    metrics.register_gauge(
        metric_table.LOG_FAILED_WRITES,
        lambda: _by_reason(losses.failed_writes_by_reason),
    )
    metrics.register_gauge(
        metric_table.LOG_LOST_LINES, lambda: _by_reason(losses.lost_lines_by_reason)
    )


def _by_reason(
    counts_by_reason: Mapping[str, int],
) -> list[tuple[gateway_metrics.Labels, float]]:
    return [((reason,), count) for reason, count in counts_by_reason.items()]
