"""Tests of the event loop's monitor."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from yuccapitch.node import loop_monitor


@pytest.mark.parametrize(("lag_s", "lags_ms"), [(0.1, []), (0.3, [300])])
def test_report_lag_logs_a_long_lag(lag_s, lags_ms, logged):
    loop_monitor.report_lag(10.0, 10.0 + lag_s)
    assert [message["lag_ms"] for message in logged] == lags_ms


async def test_run_reports_a_step_that_blocks_the_loop(monkeypatch, logged):
    monkeypatch.setattr(loop_monitor, "CHECK_INTERVAL_S", 0.01)
    recent_lag = loop_monitor.RecentLag(0.0)
    running = asyncio.create_task(loop_monitor.run(recent_lag))
    await asyncio.sleep(0.05)
    time.sleep(0.3)
    await asyncio.sleep(0.05)
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    assert "process.stalled" in [message["message_type"] for message in logged]
    assert recent_lag.max_s >= loop_monitor.MIN_LOGGED_LAG_S


def test_recent_lag_forgets_old_checks():
    recent_lag = loop_monitor.RecentLag(10.0)
    assert (recent_lag.max_s, recent_lag.checked_at) == (0.0, 10.0)
    recent_lag.record(0.5, 11.0)
    for _ in range(loop_monitor.RECENT_CHECKS - 1):
        recent_lag.record(0.1, 12.0)
    assert recent_lag.max_s == 0.5
    recent_lag.record(0.1, 13.0)
    assert (recent_lag.max_s, recent_lag.checked_at) == (0.1, 13.0)


def read_after(boot_s: float, step_s: float) -> loop_monitor.ClockReading:
    return loop_monitor.ClockReading(1_000_000.0 + boot_s + step_s, boot_s)


@pytest.mark.parametrize(
    ("step_s", "steps_ms"), [(0.1, []), (-0.1, []), (600.0, [600000]), (-2.0, [-2000])]
)
def test_report_step_logs_a_step_of_the_time_of_day(step_s, steps_ms, logged):
    loop_monitor.report_step(read_after(10.0, 0.0), read_after(15.0, step_s))
    assert [message["step_ms"] for message in logged] == steps_ms


async def test_run_reports_a_step_of_the_time_of_day(monkeypatch, logged):
    monkeypatch.setattr(loop_monitor, "CHECK_INTERVAL_S", 0.01)
    readings = [read_after(0.0, 0.0), read_after(1.0, -600.0)]

    def read_clocks() -> loop_monitor.ClockReading:
        return readings.pop(0) if len(readings) > 1 else readings[0]

    monkeypatch.setattr(loop_monitor, "read_clocks", read_clocks)
    running = asyncio.create_task(loop_monitor.run())
    await asyncio.sleep(0.1)
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    steps = [
        m["step_ms"] for m in logged if m["message_type"].endswith("clock-stepped")
    ]
    assert steps == [-600000]
