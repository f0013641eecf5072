"""Tests of the process of a routed instance."""

from __future__ import annotations

import asyncio
import os
import signal
from unittest import mock

import result

from yuccapitch.control import coordinator
from yuccapitch.node.routed import process


class StartingNode:
    """Node that gets a stop signal while it starts."""

    def __init__(self, *args: object) -> None:
        self.started_at = self.stopped_at = 0.0
        self.loop_lag_s = float("-inf")
        self.metrics = mock.Mock()

    async def start(self):
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.2)
        self.started_at = coordinator.boot_time_s()
        return result.Ok(None)

    async def drain(self, stopped_at: float, loop_lag_s: float) -> None:
        self.stopped_at, self.loop_lag_s = stopped_at, loop_lag_s


class FakeSettings:
    """Settings of a node that only names itself."""

    name, region_id, failure_domain, seed_ids = "node-1", "north", "north-a", ()


# Guards against a process that outlives its grace, and is killed with requests in
# progress, because it counts from the end of its start.
async def test_run_counts_the_grace_from_a_signal_during_the_start(monkeypatch):
    node = StartingNode()
    monkeypatch.setitem(process._FACTORIES_BY_ROLE, "test", lambda *args: node)
    # The process of the tests keeps its garbage collection.
    monkeypatch.setattr(process, "gc", mock.Mock())
    code = await process._run_logged(
        "test", FakeSettings(), None, lambda _: None, mock.Mock()
    )
    assert code == process.EXIT_OK
    assert 0.0 < node.stopped_at < node.started_at
    # Nothing was checked yet.
    assert node.loop_lag_s == 0.0
