"""Timeouts of requests in progress that can be shortened together."""

from __future__ import annotations

import asyncio
import contextlib
import typing
from collections.abc import AsyncIterator, Callable

Owner = typing.TypeVar("Owner")


class TimeoutGroup(typing.Generic[Owner]):
    """Timeouts that a planned stop brings forward."""

    def __init__(self) -> None:
        self._owners_by_timeout: dict[asyncio.Timeout, Owner] = {}

    @contextlib.asynccontextmanager
    async def timeout(self, owner: Owner, delay_s: float) -> AsyncIterator[None]:
        """Raise TimeoutError in the block after a delay."""
        async with asyncio.timeout(delay_s) as timeout:
            self._owners_by_timeout[timeout] = owner
            try:
                yield
            finally:
                del self._owners_by_timeout[timeout]

    def shorten(self, max_delay_s: Callable[[Owner], float]) -> None:
        """Let each timeout expire after the maximum delay of its owner."""
        now = asyncio.get_running_loop().time()
        for timeout, owner in self._owners_by_timeout.items():
            when, expires_at = timeout.when(), now + max_delay_s(owner)
            # One that has expired, but whose block was not left yet, can't be changed.
            if when is not None and when > expires_at and not timeout.expired():
                timeout.reschedule(expires_at)
