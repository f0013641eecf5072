"""Report of the memory of a process that comes near its limit."""

from __future__ import annotations

import asyncio
import pathlib
import resource
from collections.abc import Callable

from yuccapitch.gateway.http1 import memory_budget
from yuccapitch.protocol import events

CHECK_INTERVAL_S = 1.0
# Fraction of the memory limit from which on the memory is reported, and by how much it
# has to change to be reported again.
HIGH_FRACTION = 0.75
REPORT_STEP_FRACTION = 0.05


class MemoryMonitor:
    """Reports the memory of a process beside the messages that it accounts for."""

    def __init__(
        self,
        limit_bytes: int,
        budget: memory_budget.MemoryBudget,
        unread_bytes: Callable[[], int],
        read_resident_bytes: Callable[[], int] | None = None,
    ) -> None:
        """Create a monitor.

        ``unread_bytes`` returns what the kernel holds of connections, which counts
        toward the limit.
        """
        self._limit_bytes = limit_bytes
        self._budget = budget
        self._unread_bytes = unread_bytes
        self._read_resident_bytes = read_resident_bytes or resident_bytes
        self._reported_bytes = 0

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Log memory near the limit, once for each change."""
        unread_bytes = self._unread_bytes()
        resident = self._read_resident_bytes()
        used_bytes = resident + unread_bytes
        if used_bytes < HIGH_FRACTION * self._limit_bytes:
            self._reported_bytes = 0
            return
        step_bytes = REPORT_STEP_FRACTION * self._limit_bytes
        if abs(used_bytes - self._reported_bytes) < step_bytes:
            return
        self._reported_bytes = used_bytes
        events.event(
            "process.memory-high",
            resident_bytes=resident,
            unread_bytes=unread_bytes,
            message_bytes=self._budget.used_bytes,
            limit_bytes=self._limit_bytes,
        )


def resident_bytes() -> int:
    """Return the resident memory of this process, shared and file-backed included."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()
