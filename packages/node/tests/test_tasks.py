from __future__ import annotations

import asyncio
import contextlib

from yuccapitch.node import tasks


async def test_start_reports_a_task_that_fails() -> None:
    async def fail() -> None:
        raise AssertionError("broken")

    reasons: list[str] = []
    async with contextlib.AsyncExitStack() as stack:
        tasks.start(fail(), stack, reasons.append)
        # The first iteration of the event loop runs the task, the second its callback.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    assert reasons == ["AssertionError('broken')"]


async def test_start_reports_no_task_that_is_cancelled() -> None:
    reasons: list[str] = []
    async with contextlib.AsyncExitStack() as stack:
        tasks.start(asyncio.Event().wait(), stack, reasons.append)
        await asyncio.sleep(0)
    assert reasons == []


# Guards against a task that ends unnoticed, since an awaited future was cancelled by
# others.
async def test_start_reports_a_task_whose_future_is_cancelled() -> None:
    future = asyncio.get_running_loop().create_future()
    reasons: list[str] = []
    async with contextlib.AsyncExitStack() as stack:
        tasks.start(asyncio.wait_for(future, None), stack, reasons.append)
        await asyncio.sleep(0)
        future.cancel()
        for _ in range(3):
            await asyncio.sleep(0)
    assert reasons == ["CancelledError()"]


class FailingRun:
    """Coroutine function that fails a number of times."""

    def __init__(self, failures: int) -> None:
        self._failures = failures
        self.runs = 0
        self.has_succeeded = asyncio.Event()

    async def run(self) -> None:
        self.runs += 1
        if self.runs <= self._failures:
            raise AssertionError("broken")
        self.has_succeeded.set()


# Guards against requests that are taken and not answered before an instance ends, as
# what serves them has failed.
async def test_start_needed_reports_a_failure_and_runs_again(monkeypatch) -> None:
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.0)
    failing, reasons = FailingRun(2), []
    async with contextlib.AsyncExitStack() as stack:
        tasks.start_needed(failing.run, stack, reasons.append)
        await failing.has_succeeded.wait()
    assert (failing.runs, reasons) == (3, ["AssertionError('broken')"] * 2)


async def test_start_optional_logs_a_failure_and_runs_again(monkeypatch, logged):
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.0)
    failing = FailingRun(1)
    async with contextlib.AsyncExitStack() as stack:
        tasks.start_optional(failing.run, stack)
        await failing.has_succeeded.wait()
    [message] = [m for m in logged if m["message_type"] == "process.task-failed"]
    assert message["reason"] == "AssertionError('broken')"
    assert message["location"].startswith("test_tasks.py:")


# Guards against a task that ends unnoticed, since an awaited future was cancelled by
# others, although the instance needs it.
async def test_start_needed_runs_again_after_a_cancelled_future(monkeypatch) -> None:
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.0)
    has_succeeded, runs, reasons = asyncio.Event(), [], []

    async def run() -> None:
        runs.append(None)
        if len(runs) == 1:
            future = asyncio.get_running_loop().create_future()
            future.cancel()
            await future
        has_succeeded.set()

    async with contextlib.AsyncExitStack() as stack:
        tasks.start_needed(run, stack, reasons.append)
        async with asyncio.timeout(5.0):
            await has_succeeded.wait()
    assert (len(runs), reasons) == (2, ["CancelledError()"])


async def test_start_needed_ends_when_it_is_cancelled() -> None:
    reasons: list[str] = []
    async with contextlib.AsyncExitStack() as stack:
        tasks.start_needed(asyncio.Event().wait, stack, reasons.append)
        await asyncio.sleep(0)
    assert reasons == []
