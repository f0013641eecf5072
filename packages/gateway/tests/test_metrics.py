"""Tests of the metrics and their page."""

from __future__ import annotations

import contextlib
import pathlib
from collections.abc import Iterator

import eliot
import pytest

from yuccapitch.gateway import metric_table, metrics, metrics_page

ROOT = pathlib.Path(__file__).parents[3]


@pytest.fixture
def recorder() -> Iterator[metrics.Metrics]:
    with contextlib.closing(metrics.Metrics()) as opened:
        yield opened


def test_record_request(recorder: metrics.Metrics) -> None:
    recorder.record_request("batch", "read-only", "impatient", "answered", 0.004)
    text = recorder.render().decode()
    labels = 'class="read-only",{}="{}",service="batch"'
    total = "yuccapitch_requests_total{" + labels.format("outcome", "answered")
    assert total + "} 1.0" in text
    count = labels.format("patience", "impatient") + "} 1.0"
    assert "yuccapitch_request_duration_seconds_count{" + count in text
    assert 'le="0.002",patience="impatient",service="batch"} 0.0' in text
    assert 'le="0.005",patience="impatient",service="batch"} 1.0' in text


def test_gauge_is_read_at_each_scrape(recorder: metrics.Metrics) -> None:
    free_by_region = {"hanoi": 0.25}
    recorder.register_gauge(
        metric_table.REGION_HEADROOM,
        lambda: [((region,), free) for region, free in free_by_region.items()],
    )
    line = 'yuccapitch_region_headroom_ratio{{region="hanoi"}} {}'
    assert line.format(0.25) in recorder.render().decode()
    free_by_region["hanoi"] = 0.5
    assert line.format(0.5) in recorder.render().decode()


def test_every_metric_has_its_declared_name(recorder: metrics.Metrics) -> None:
    for metric in metric_table.METRICS:
        labels = tuple("x" for _ in metric.labels)
        match metric.kind:
            case metric_table.Kind.COUNTER:
                recorder.increment(metric, labels)
            case metric_table.Kind.HISTOGRAM:
                recorder.record(metric, labels, 1.0)
            case metric_table.Kind.GAUGE:
                recorder.register_gauge(metric, lambda labels=labels: [(labels, 1.0)])
    text = recorder.render().decode()
    for metric in metric_table.METRICS:
        assert f"# TYPE {metric.name} {metric.kind.value}" in text


def test_metrics_of_two_recorders_are_independent(recorder: metrics.Metrics) -> None:
    with contextlib.closing(metrics.Metrics()) as other:
        other.record_drain("instance", 2.0)
        assert "drain_duration_seconds_count" in other.render().decode()
    assert "drain_duration_seconds_count" not in recorder.render().decode()


def test_page_equals_table() -> None:
    page = ROOT / "docs" / "reference" / "metrics.md"
    assert page.read_text() == metrics_page.text()


# Guards against a metric whose error costs an executed request its response.
def test_value_that_cannot_be_recorded_is_logged(recorder: metrics.Metrics) -> None:
    messages: list[dict[str, object]] = []
    eliot.add_destinations(messages.append)
    try:
        recorder.record(metric_table.DRAIN_DURATION, ("too", "many"), 1.0)
        recorder.increment(metric_table.REQUESTS, ())
    finally:
        eliot.remove_destination(messages.append)
    assert [message["metric"] for message in messages] == [
        metric_table.DRAIN_DURATION.name,
        metric_table.REQUESTS.name,
    ]


def test_gauge_that_fails_leaves_the_others(recorder: metrics.Metrics) -> None:
    def fail() -> list[tuple[metrics.Labels, float]]:
        raise ValueError("no value")

    recorder.register_gauge(metric_table.REGION_HEADROOM, fail)
    recorder.register_gauge(metric_table.CONFIG_VERSION, lambda: [((), 3)])
    assert "yuccapitch_config_version 3.0" in recorder.render().decode()
