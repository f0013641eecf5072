"""Event loop whose time advances at once to the next timer; it has no sockets."""

from __future__ import annotations

import asyncio
import selectors


class _Selector(selectors.SelectSelector):
    """Selector that reports no events and waits by advancing the simulated time."""

    now_s = 0.0

    def select(self, timeout: float | None = None):
        assert timeout is not None, "nothing is due, so the loop would wait for ever"
        self.now_s += max(0.0, timeout)
        return []


class Loop(asyncio.SelectorEventLoop):
    """Event loop in simulated time; only timers and callbacks happen."""

    def __init__(self) -> None:
        self._simulated = _Selector()
        super().__init__(self._simulated)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._simulated.now_s


def run(coroutine):
    """Run a coroutine in simulated time and return its result."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(coroutine)
