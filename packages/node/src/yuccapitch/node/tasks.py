"""Background tasks that an exit stack cancels."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from yuccapitch.protocol import events

OnFailed = Callable[[str], None]
Run = Callable[[], Coroutine[Any, Any, Any]]

# Time after a failure until the task runs again.
RESTART_DELAY_S = 0.25


def start(
    coroutine: Coroutine[Any, Any, Any],
    stack: contextlib.AsyncExitStack,
    on_failed: OnFailed,
) -> None:
    """Run a coroutine until the stack closes and report a failure immediately."""

    def report(done: asyncio.Task[Any]) -> None:
        error = _find_error(done)
        if error is not None:
            _report(error, on_failed)

    task = asyncio.create_task(coroutine)
    task.add_done_callback(report)
    stack.push_async_callback(_cancel, task)


def start_needed(
    run: Run, stack: contextlib.AsyncExitStack, on_failed: OnFailed
) -> None:
    """Run what an instance needs to serve, and report a failure immediately.

    It runs again after a failure, since the instance still answers the requests that
    it has taken before it ends.
    """
    start(_keep_running(run, on_failed), stack, on_failed)


def start_optional(run: Run, stack: contextlib.AsyncExitStack) -> None:
    """Run what an instance can serve without: log a failure and run it again."""
    start(_keep_running(run, _ignore), stack, _ignore)


def locate(error: BaseException) -> str:
    """Return the file and line that raised an error, for the log."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    return f"{pathlib.Path(frames[-1].filename).name}:{frames[-1].lineno}"


def _find_error(done: asyncio.Task[Any]) -> BaseException | None:
    if not done.cancelled():
        return done.exception()
    # Unless the task itself was cancelled, others have cancelled what it awaited.
    return None if done.cancelling() else asyncio.CancelledError()


async def _keep_running(run: Run, on_failed: OnFailed) -> None:
    while True:
        try:
            await run()
            return
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            # Others have cancelled what the task awaited.
            _report(error, on_failed)
        except Exception as error:
            _report(error, on_failed)
        await asyncio.sleep(RESTART_DELAY_S)


def _report(error: BaseException, on_failed: OnFailed) -> None:
    events.event("process.task-failed", reason=repr(error), location=locate(error))
    on_failed(repr(error))


def _ignore(reason: str) -> None:
    pass


async def _cancel(task: asyncio.Task[Any]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
