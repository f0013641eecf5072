"""Timeouts of requests in progress that can be shortened together."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator


class TimeoutGroup:
    """Timeouts that a planned stop brings forward."""

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def timeout(self, delay_s: float) -> AsyncIterator[None]:
        """Raise TimeoutError in the block after a delay."""
        async with asyncio.timeout(delay_s) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def shorten(self, delay_s: float) -> None:
        """Let the timeouts in progress expire after this delay at the latest."""
        expires_at = asyncio.get_running_loop().time() + delay_s
        for timeout in self._timeouts:
            when = timeout.when()
            # One that has expired, but whose block was not left yet, can't be changed.
            if when is not None and when > expires_at and not timeout.expired():
                timeout.reschedule(expires_at)
