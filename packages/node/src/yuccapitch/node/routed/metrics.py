"""Counters, gauges and latency histograms of a routed instance, as Prometheus text.

`prometheus_client` takes 1.5 MB of memory, the OpenTelemetry SDK 4 MB; the names
follow the same conventions.
"""

from __future__ import annotations

from collections.abc import Callable

import prometheus_client

from yuccapitch.gateway.http1 import messages

CONTENT_TYPE = b"text/plain; version=0.0.4"
# Seconds; from an answer of a warm endpoint nearby to the longest deadlines.
BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 1.6, 2.4, 4.0, 8.0, 16.0)


class RoutedMetrics:
    """What one process counts."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._durations = prometheus_client.Histogram(
            "yuccapitch_request_seconds",
            "Time from the headers of a request to its answer.",
            ["outcome"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._reasons = prometheus_client.Counter(
            "yuccapitch_requests_refused",
            "Requests that did not run, by reason.",
            ["reason"],
            registry=self._registry,
        )
        self._resends = prometheus_client.Counter(
            "yuccapitch_requests_resent",
            "Sends to a further endpoint, by what became of the one before.",
            ["cause"],
            registry=self._registry,
        )

    def count_request(self, outcome: str, duration_s: float) -> None:
        """Count a request that is over."""
        self._durations.labels(outcome).observe(duration_s)

    def count_refusal(self, reason: str) -> None:
        """Count a request that was told that it did not run."""
        self._reasons.labels(reason).inc()

    def count_resend(self, cause: str) -> None:
        """Count a send beyond the first."""
        self._resends.labels(cause).inc()

    def add_gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Expose a value that is read when it is asked for."""
        gauge = prometheus_client.Gauge(
            f"yuccapitch_{name}", meaning, registry=self._registry
        )
        gauge.set_function(read)

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answer a scrape."""
        body = prometheus_client.generate_latest(self._registry)
        return messages.Response(200, [(b"content-type", CONTENT_TYPE)], body)
