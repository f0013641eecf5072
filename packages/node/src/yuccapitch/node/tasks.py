"""Ends background tasks."""

from __future__ import annotations

import asyncio
import contextlib


async def cancel(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
