"""Metrics of an instance, recorded with OpenTelemetry and exposed on /metrics."""

from __future__ import annotations

import contextlib
import typing
from collections.abc import Callable, Iterable, Iterator

import prometheus_client
from opentelemetry import metrics as otel_metrics
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as otel_sdk

from yuccapitch.gateway import metric_table
from yuccapitch.protocol import events

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_PLAIN_0_0_4
Labels = tuple[str, ...]
GaugeCallback = Callable[[], Iterable[tuple[Labels, float]]]


class Metrics:
    """Instruments of one process and the registry that scrapers read."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        metric_reader = otel_prometheus.PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        self._provider = otel_sdk.MeterProvider([metric_reader], shutdown_on_exit=False)
        meter = self._provider.get_meter("yuccapitch")
        self._gauge_callbacks_by_metric: dict[str, list[GaugeCallback]] = {}
        self._instruments_by_metric: dict[str, typing.Any] = {
            metric.name: self._create_instrument(meter, metric)
            for metric in metric_table.METRICS
        }

    def record_request(
        self,
        service: str,
        request_class: str,
        patience: str,
        outcome: str,
        duration_s: float,
    ) -> None:
        """Record a finished request."""
        duration_labels = (service, request_class, patience)
        self.record(metric_table.REQUEST_DURATION, duration_labels, duration_s)
        self.increment(metric_table.REQUESTS, (service, request_class, outcome))

    def record_drain(self, kind: str, duration_s: float) -> None:
        """Record a finished drain of an instance or an endpoint."""
        self.record(metric_table.DRAIN_DURATION, (kind,), duration_s)

    def record(self, metric: metric_table.Metric, labels: Labels, value: float) -> None:
        """Add a value to a histogram."""
        with _logging_errors(metric):
            instrument = self._instruments_by_metric[metric.name]
            instrument.record(value, _attributes(metric, labels))

    def increment(
        self, metric: metric_table.Metric, labels: Labels, amount: int = 1
    ) -> None:
        """Add an amount to a counter."""
        with _logging_errors(metric):
            instrument = self._instruments_by_metric[metric.name]
            instrument.add(amount, _attributes(metric, labels))

    def register_gauge(
        self, metric: metric_table.Metric, callback: GaugeCallback
    ) -> None:
        """Register a callback that returns a gauge's values at each scrape."""
        assert metric.kind is metric_table.Kind.GAUGE
        self._gauge_callbacks_by_metric.setdefault(metric.name, []).append(callback)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider and its instruments."""
        self._provider.shutdown()

    def _create_instrument(
        self, meter: otel_metrics.Meter, metric: metric_table.Metric
    ) -> object:
        # The exporter appends the suffix to counters again.
        name = metric.name.removesuffix("_total")
        match metric.kind:
            case metric_table.Kind.COUNTER:
                return meter.create_counter(name, description=metric.description)
            case metric_table.Kind.HISTOGRAM:
                return meter.create_histogram(
                    name,
                    description=metric.description,
                    explicit_bucket_boundaries_advisory=list(metric.bucket_bounds),
                )
            case metric_table.Kind.GAUGE:
                return meter.create_observable_gauge(
                    name,
                    callbacks=[lambda options: self._observe(metric)],
                    description=metric.description,
                )

    def _observe(
        self, metric: metric_table.Metric
    ) -> Iterable[otel_metrics.Observation]:
        for callback in self._gauge_callbacks_by_metric.get(metric.name, ()):
            for labels, value in callback():
                yield otel_metrics.Observation(value, _attributes(metric, labels))


@contextlib.contextmanager
def _logging_errors(metric: metric_table.Metric) -> Iterator[None]:
    # A request that was executed must not lose its response to a metric.
    try:
        yield
    except Exception as error:
        events.event("metrics.record-failed", metric=metric.name, reason=repr(error))


def _attributes(metric: metric_table.Metric, labels: Labels) -> dict[str, str]:
    return dict(zip(metric.labels, labels, strict=True))
