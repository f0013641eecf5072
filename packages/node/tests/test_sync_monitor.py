"""Tests of the durations of the replicated log's writes."""

from __future__ import annotations

from yuccapitch.node.routed import sync_monitor
from yuccapitch.protocol import events


def test_sync_monitor_keeps_last_and_longest_and_logs_slow_ones(monkeypatch):
    logged = []
    monkeypatch.setattr(
        events, "event", lambda name, **fields: logged.append((name, fields))
    )
    monitor = sync_monitor.SyncMonitor()
    for duration_s in (0.001, 0.3, 0.002):
        monitor.observe(duration_s)
    assert (monitor.last_s, monitor.longest_s) == (0.002, 0.3)
    assert logged == [("log.sync-slow", {"duration_ms": 300})]


def test_sync_monitor_logs_once_that_a_disk_is_full_and_that_it_has_space(monkeypatch):
    logged = []
    monkeypatch.setattr(events, "event", lambda name, **fields: logged.append(name))
    monitor = sync_monitor.SyncMonitor()
    for _ in range(3):
        monitor.on_no_space(OSError(28, "No space left on device"))
    monitor.observe(0.001)
    monitor.observe(0.001)
    assert logged == ["log.no-space", "log.space-found"]
