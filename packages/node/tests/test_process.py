"""Tests of the process of a routed instance."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import threading
import time
from unittest import mock

import pytest
import result

from yuccapitch.control import coordinator
from yuccapitch.node.routed import entry_node, line_writer, process


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

    async def drain(
        self, stopped_at: float, loop_lag_s: float, signal_age_s: float
    ) -> None:
        self.stopped_at, self.loop_lag_s = stopped_at, loop_lag_s


class FakeSettings:
    """Settings of a node that only names itself."""

    name, region_id, failure_domain, seed_ids = "node-1", "north", "north-a", ()
    stop_grace_s = 6.0


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


class LateNode:
    """Node whose event loop stands still while its stop signal comes."""

    def __init__(self, late_s: float) -> None:
        self._late_s = late_s
        self.metrics = mock.Mock()
        self.signalled_at = 0.0
        self.taken_unchecked_until = 0.0

    async def start(self):
        asyncio.get_running_loop().call_later(0.05, self._stand_still)
        return result.Ok(None)

    async def drain(self, stopped_at: float, *delays_s: float) -> None:
        self.taken_unchecked_until = (
            stopped_at + entry_node.MAX_UNCHECKED_STOP_S - max(delays_s)
        )

    def _stand_still(self) -> None:
        # Neither Python code nor the event loop runs meanwhile, as in a process that
        # the machine gives no processor.
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])
        self.signalled_at = coordinator.boot_time_s()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(self._late_s)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGTERM])


# Guards against a request that is taken unchecked later than 3 s after the stop signal,
# as the instance counts from when it handles the signal, and is cut while its endpoint
# works.
async def test_run_counts_unchecked_requests_from_before_a_late_signal(monkeypatch):
    node = LateNode(0.3)
    monkeypatch.setitem(process._FACTORIES_BY_ROLE, "test", lambda *args: node)
    monkeypatch.setattr(process, "gc", mock.Mock())
    await process._run_logged("test", FakeSettings(), None, lambda _: None, mock.Mock())
    assert 0.0 < node.taken_unchecked_until <= node.signalled_at + 3.0


# Guards against a process that waits for a slow log until it is killed, because it
# counts the grace from when it handled a late signal.
async def test_run_leaves_no_time_for_the_log_after_a_late_signal(monkeypatch):
    node, log = LateNode(6.0), mock.Mock()
    monkeypatch.setitem(process._FACTORIES_BY_ROLE, "test", lambda *args: node)
    monkeypatch.setattr(process, "gc", mock.Mock())
    await process._run_logged("test", FakeSettings(), None, lambda _: None, log)
    assert log.max_last_writes_s == line_writer.LAST_WRITES_S


class FailingNode:
    """Node that ends by itself, and records what becomes of it."""

    def __init__(self, stack, on_failed) -> None:
        self._stack, self._on_failed = stack, on_failed
        self.metrics = mock.Mock()
        self.drained_at: list[float] = []
        self.has_closed = False
        self.drain_error: Exception | None = None
        self.close_error: Exception | None = None
        self.stops_too = False
        self.drain_s = 0.0
        self.start_error: Exception | None = None
        self.failed_at = 0.0

    async def start(self):
        self._stack.callback(self._close)
        if self.start_error is not None:
            raise self.start_error
        asyncio.get_running_loop().call_later(0.01, self._fail)
        return result.Ok(None)

    def reload(self, node_settings) -> None:
        raise AssertionError("not reloaded")

    async def drain(
        self, stopped_at: float, loop_lag_s: float, signal_age_s: float
    ) -> None:
        self.drained_at.append(stopped_at)
        if self.stops_too:
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.drain_s)
        if self.drain_error is not None:
            raise self.drain_error

    def _fail(self) -> None:
        self.failed_at = coordinator.boot_time_s()
        self._on_failed("broken")

    def _close(self) -> None:
        self.has_closed = True
        if self.close_error is not None:
            raise self.close_error


@pytest.fixture
def run_node(monkeypatch):
    """Return a function that runs a node and returns it with its exit code."""

    async def run(read_settings=lambda _: None, **changes):
        created = []

        def create(node_settings, adapter, stack, on_failed):
            created.append(FailingNode(stack, on_failed))
            vars(created[0]).update(changes)
            return created[0]

        monkeypatch.setitem(process._FACTORIES_BY_ROLE, "test", create)
        monkeypatch.setattr(process, "gc", mock.Mock())
        log = mock.Mock(is_failing=False)
        code = await process._run_logged(
            "test", FakeSettings(), None, read_settings, log
        )
        return created[0], code

    return run


# Guards against requests in progress that are cut because their instance ends by
# itself, such as after a background task has failed.
async def test_run_drains_a_node_that_fails(run_node, logged):
    node, code = await run_node()
    assert code == process.EXIT_FAILED
    [drained_at] = node.drained_at
    assert node.failed_at <= drained_at < node.failed_at + 1.0
    assert node.has_closed
    failures = [m for m in logged if m["message_type"] == "process.failed"]
    assert [message["reason"] for message in failures] == ["broken"]


# Guards against an own end that takes longer than the grace because of a stop signal.
async def test_run_counts_the_grace_from_a_failure_before_a_signal(run_node):
    node, code = await run_node(stops_too=True)
    assert code == process.EXIT_FAILED
    assert len(node.drained_at) == 1


# Guards against an error in a part of the stop that cuts what other parts still owe.
@pytest.mark.parametrize("part", ["drain_error", "close_error"])
async def test_run_closes_a_node_whose_stop_fails(run_node, logged, part):
    node, code = await run_node(**{part: OSError("broken too")})
    assert (code, node.has_closed) == (process.EXIT_FAILED, True)
    reasons = [m.get("reason", "") for m in logged]
    assert any("broken too" in reason for reason in reasons)


# Guards against an instance that ends by itself and hangs, as nobody kills it.
async def test_run_ends_a_drain_that_outlives_the_grace(run_node, monkeypatch, logged):
    monkeypatch.setattr(FakeSettings, "stop_grace_s", 0.05)
    monkeypatch.setattr(process, "MAX_DRAIN_DELAY_S", 0.05)
    node, code = await run_node(drain_s=3600.0)
    assert (code, node.has_closed) == (process.EXIT_FAILED, True)
    assert "process.drain-failed" in [m["message_type"] for m in logged]


# Guards against a start that fails without a line in the log.
async def test_run_closes_a_node_whose_start_fails(run_node, logged):
    node, code = await run_node(start_error=OSError("address in use"))
    assert (code, node.has_closed) == (process.EXIT_FAILED, True)
    [message] = [m for m in logged if m["message_type"] == "process.failed"]
    assert "address in use" in message["reason"]


# Guards against a drain that is given up at once because the start took longer than
# the grace, or because the event loop was late.
async def test_run_drains_a_node_whose_grace_is_over(run_node, monkeypatch, logged):
    monkeypatch.setattr(FakeSettings, "stop_grace_s", -1.0)
    node, code = await run_node(drain_s=0.05)
    assert (code, len(node.drained_at)) == (process.EXIT_FAILED, 1)
    assert "process.drain-failed" not in [m["message_type"] for m in logged]


class StoppedNode(FailingNode):
    """Node that is stopped by a signal once its settings were read."""

    def _fail(self) -> None:
        asyncio.get_running_loop().call_later(0.1, os.kill, os.getpid(), signal.SIGTERM)


# Guards against an instance that ends because its changed settings can't be applied.
@pytest.mark.parametrize("error", [TypeError("odd"), OSError("gone"), None])
async def test_run_survives_settings_that_cannot_be_applied(monkeypatch, logged, error):
    monkeypatch.setattr(process, "SETTINGS_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(process, "gc", mock.Mock())
    nodes = []

    def create(node_settings, adapter, stack, on_failed):
        nodes.append(StoppedNode(stack, on_failed))
        return nodes[0]

    def read_settings(is_requested):
        if error is not None:
            raise error
        return result.Ok(FakeSettings())

    monkeypatch.setitem(process._FACTORIES_BY_ROLE, "test", create)
    code = await process._run_logged(
        "test", FakeSettings(), None, read_settings, mock.Mock(is_failing=False)
    )
    assert (code, len(nodes[0].drained_at)) == (process.EXIT_OK, 1)
    assert "settings.reload-failed" in [m["message_type"] for m in logged]


# Guards against an instance that ends because of what only reports.
@pytest.mark.parametrize("part", ["report_dropped", "loop_monitor"])
async def test_run_survives_reports_that_fail(monkeypatch, part):
    monkeypatch.setattr(process, "REPORT_INTERVAL_S", 0.01)
    monkeypatch.setattr(process, "gc", mock.Mock())
    nodes = []

    def create(node_settings, adapter, stack, on_failed):
        nodes.append(StoppedNode(stack, on_failed))
        return nodes[0]

    log = mock.Mock(is_failing=False)
    broken = mock.Mock(side_effect=OSError("broken"))
    if part == "report_dropped":
        log.report_dropped = broken
    else:
        monkeypatch.setattr(process.loop_monitor, "run", broken)
    monkeypatch.setitem(process._FACTORIES_BY_ROLE, "test", create)
    code = await process._run_logged("test", FakeSettings(), None, lambda _: None, log)
    assert (code, broken.called) == (process.EXIT_OK, True)


# Guards against errors in callbacks that are written to standard error only, or that
# wait for it.
async def test_run_logs_an_uncaught_error_of_a_callback(run_node, logged):
    def fail() -> None:
        raise ValueError("in a callback")

    asyncio.get_running_loop().call_soon(fail)
    await run_node()
    [message] = [m for m in logged if m["message_type"] == "process.callback-failed"]
    assert "in a callback" in message["reason"]


# Guards against an event loop that stands still as asyncio or the interpreter reports
# something to a standard error whose reader has stopped.
def test_run_does_not_wait_for_the_reader_of_standard_error(monkeypatch):
    read_end, write_end = os.pipe()
    outcomes = []

    async def report(*args):
        print("report " * 40_000, file=sys.stderr)
        outcomes.append("reported")
        return process.EXIT_OK

    def run():
        outcomes.append(
            asyncio.run(process.run("test", FakeSettings(), None, lambda _: None))
        )

    monkeypatch.setattr(process, "_run_logged", report)
    with open(read_end, "rb") as reader, open(write_end, "w") as stream:
        monkeypatch.setattr(sys, "stderr", stream)
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        thread.join(5.0)
        has_ended = not thread.is_alive()
        # Threads that still write have to end before their descriptor is closed.
        os.set_blocking(read_end, False)
        while thread.is_alive() or any(t.name == "log" for t in threading.enumerate()):
            reader.read(1 << 16)
            thread.join(0.01)
    assert has_ended
    assert outcomes == ["reported", process.EXIT_OK]
