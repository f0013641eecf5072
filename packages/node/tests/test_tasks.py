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
