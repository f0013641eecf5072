from __future__ import annotations

import dataclasses

from yuccapitch.catalogue import ids
from yuccapitch.control import lease_client
from yuccapitch.gateway import metrics as gateway_metrics
from yuccapitch.node import gauges, log_writer


@dataclasses.dataclass
class FakeLease:
    configuration: lease_client.Configuration = lease_client.EMPTY_CONFIGURATION
    lease_until: float = float("-inf")


def test_lease_gauges_report_the_current_lease() -> None:
    metrics = gateway_metrics.Metrics()
    lease = FakeLease()
    gauges.register_lease_gauges(metrics, lease, lambda: 100.0)
    assert b"yuccapitch_lease_remaining_seconds 0.0" in metrics.render()
    lease.configuration = dataclasses.replace(
        lease_client.EMPTY_CONFIGURATION, version=ids.Version(7)
    )
    lease.lease_until = 103.5
    page = metrics.render()
    metrics.close()
    assert b"yuccapitch_lease_remaining_seconds 3.5" in page
    assert b"yuccapitch_config_version 7.0" in page


def test_log_gauges_report_what_was_lost() -> None:
    metrics = gateway_metrics.Metrics()
    losses = log_writer.Losses()
    gauges.register_log_gauges(metrics, losses)
    losses.failed_writes_by_reason["ENOSPC"] += 2
    losses.lost_lines_by_reason["ENOSPC"] += 3
    page = metrics.render()
    metrics.close()
    assert b'yuccapitch_log_failed_writes{reason="ENOSPC"} 2.0' in page
    assert b'yuccapitch_log_lost_lines{reason="ENOSPC"} 3.0' in page
