"""Background tasks that an exit stack cancels."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

from yuccapitch.protocol import events

OnFailed = Callable[[str], None]


def start(
    coroutine: Coroutine[Any, Any, Any],
    stack: contextlib.AsyncExitStack,
    on_failed: OnFailed,
) -> None:
    """Run a coroutine until the stack closes and report a failure immediately."""

    def report(done: asyncio.Task[Any]) -> None:
        error = None if done.cancelled() else done.exception()
        if error is not None:
            events.event("process.task-failed", reason=repr(error))
            on_failed(repr(error))

    task = asyncio.create_task(coroutine)
    task.add_done_callback(report)
    stack.push_async_callback(_cancel, task)


async def _cancel(task: asyncio.Task[Any]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
