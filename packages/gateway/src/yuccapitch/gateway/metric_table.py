"""Metric declarations, the source of the instruments and the reference page."""

from __future__ import annotations

import dataclasses
import enum


class Kind(enum.Enum):
    """Kind of a metric."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@dataclasses.dataclass(frozen=True)
class Metric:
    """A declared metric; scrapers see its name."""

    name: str
    kind: Kind
    labels: tuple[str, ...]
    description: str
    bucket_bounds: tuple[float, ...] = ()
    """Upper bounds of a histogram's buckets."""


REQUEST_BUCKET_BOUNDS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75),
    *(1.0, 2.0, 5.0, 10.0, 30.0),
)
DRAIN_BUCKET_BOUNDS_S = (1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 60.0, 120.0, 300.0)

REQUEST_DURATION = Metric(
    "yuccapitch_request_duration_seconds",
    Kind.HISTOGRAM,
    ("service", "class", "patience"),
    "Time from a request's arrival to the end of its answer.",
    REQUEST_BUCKET_BOUNDS_S,
)
REQUESTS = Metric(
    "yuccapitch_requests_total",
    Kind.COUNTER,
    ("service", "class", "outcome"),
    "Requests by outcome: answered, not-run or unknown.",
)
ATTEMPTS = Metric(
    "yuccapitch_attempts_total",
    Kind.COUNTER,
    ("service", "result"),
    "Attempts at endpoints by result; more attempts than requests are retries.",
)
DRAIN_DURATION = Metric(
    "yuccapitch_drain_duration_seconds",
    Kind.HISTOGRAM,
    ("kind",),
    "Time from the first sign of leaving until nothing is in flight.",
    DRAIN_BUCKET_BOUNDS_S,
)
REGION_HEADROOM = Metric(
    "yuccapitch_region_headroom_ratio",
    Kind.GAUGE,
    ("region",),
    "Free part of a region's capacity: 1 is idle, 0 is full.",
)
LIMIT_SHARE = Metric(
    "yuccapitch_limit_share",
    Kind.GAUGE,
    ("limit",),
    "Share of a limit leased to this instance, in the limit's unit.",
)
LIMIT_SHARE_USED = Metric(
    "yuccapitch_limit_share_used",
    Kind.GAUGE,
    ("limit",),
    "Part of the leased share in use, in the limit's unit.",
)
IN_FLIGHT = Metric(
    "yuccapitch_in_flight_requests",
    Kind.GAUGE,
    ("service", "patience"),
    "Requests held by this instance, queued ones included.",
)
QUEUED = Metric(
    "yuccapitch_queued_requests",
    Kind.GAUGE,
    ("service", "patience"),
    "Requests that wait for a slot.",
)
ENDPOINT_CONNECTIONS = Metric(
    "yuccapitch_endpoint_connections",
    Kind.GAUGE,
    ("service",),
    "Open connections to the service's endpoints.",
)
CONFIG_VERSION = Metric(
    "yuccapitch_config_version",
    Kind.GAUGE,
    (),
    "Configuration version that the instance acts on.",
)
LEASE_REMAINING = Metric(
    "yuccapitch_lease_remaining_seconds",
    Kind.GAUGE,
    (),
    "Time until the configuration lease lapses; 0 once it has.",
)
INNER_LINK_BYTES = Metric(
    "yuccapitch_inner_link_bytes",
    Kind.GAUGE,
    ("direction",),
    "Bytes sent and received on inner links since the start, without TLS and TCP.",
)
LOG_FAILED_WRITES = Metric(
    "yuccapitch_log_failed_writes",
    Kind.GAUGE,
    ("reason",),
    "Writes of the log that failed since the start, by the name of the error.",
)
LOG_LOST_LINES = Metric(
    "yuccapitch_log_lost_lines",
    Kind.GAUGE,
    ("reason",),
    "Lines of the log that were lost since the start, by reason.",
)

METRICS = (
    REQUEST_DURATION,
    REGION_HEADROOM,
    DRAIN_DURATION,
    REQUESTS,
    ATTEMPTS,
    LIMIT_SHARE,
    LIMIT_SHARE_USED,
    IN_FLIGHT,
    QUEUED,
    ENDPOINT_CONNECTIONS,
    CONFIG_VERSION,
    LEASE_REMAINING,
    INNER_LINK_BYTES,
    LOG_FAILED_WRITES,
    LOG_LOST_LINES,
)
