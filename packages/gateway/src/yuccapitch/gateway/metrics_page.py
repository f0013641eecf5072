"""Prints docs/reference/metrics.md: `python -m yuccapitch.gateway.metrics_page`."""

from __future__ import annotations

from yuccapitch.gateway import metric_table

_HEADER = """\
# Metrics

Written by `python -m yuccapitch.gateway.metrics_page` from the table in code.

Every instance answers `GET /metrics` in the text format of Prometheus. The first three
are the ones to watch: latency, headroom and drain time.

| metric | kind | labels | meaning |
| --- | --- | --- | --- |
"""


def text() -> str:
    """Return the page in Markdown."""
    return _HEADER + "".join(_table_row(metric) for metric in metric_table.METRICS)


def _table_row(metric: metric_table.Metric) -> str:
    labels = ", ".join(f"`{label}`" for label in metric.labels)
    cells = (f"`{metric.name}`", metric.kind.value, labels, metric.description)
    return "| " + " | ".join(cells) + " |\n"


if __name__ == "__main__":
    print(text(), end="")
