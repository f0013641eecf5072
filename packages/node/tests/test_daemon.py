"""Tests of the clock of an instance."""

from __future__ import annotations

import time
from unittest import mock

import pytest

from yuccapitch.node import daemon, settings_table


# Guards against an instance that acts on a lease, or leads, beyond its end because the
# machine was suspended meanwhile.
async def test_daemon_counts_the_time_for_which_the_machine_was_suspended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    instance = daemon.Daemon(settings_table.Settings(), mock.Mock())
    before = instance._clock()
    read_clock = time.clock_gettime
    suspended_s_by_clock = {time.CLOCK_BOOTTIME: 30.0, time.CLOCK_REALTIME: 30.0}
    monkeypatch.setattr(
        time,
        "clock_gettime",
        lambda clock: read_clock(clock) + suspended_s_by_clock.get(clock, 0.0),
    )
    monkeypatch.setattr(time, "time", lambda: read_clock(time.CLOCK_REALTIME) - 600)
    assert instance._clock() - before >= 30.0
