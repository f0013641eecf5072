"""Load beside a deployment: few processor cores, and busy processes on them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import subprocess
import sys
from collections.abc import AsyncIterator

_BUSY_PROGRAM = """
import os, sys, time
period_s, burst_s = map(float, sys.argv[1:])
parent = os.getppid()
while os.getppid() == parent:
    phase_s = time.monotonic() % period_s
    if phase_s < burst_s:
        for _ in range(10_000):
            pass
    else:
        time.sleep(period_s - phase_s)
"""


@dataclasses.dataclass(frozen=True)
class Load:
    """The cores that a deployment gets, and what else is busy on them."""

    cores: frozenset[int] = frozenset()
    """Cores of the deployment's processes; all that the run may use if empty."""
    busy_processes: int = 0
    period_s: float = 2.0
    burst_s: float = 0.6
    """Time in each period in which the busy processes want their core."""

    def pin(self, pid: int) -> None:
        """Let a process of the run use the cores of the deployment only."""
        if self.cores:
            os.sched_setaffinity(pid, self.cores)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the busy processes; the clients use other cores and don't wait."""
        popens: list[subprocess.Popen[bytes]] = []
        own_cores = os.sched_getaffinity(0)
        os.sched_setaffinity(0, own_cores - self.cores or own_cores)
        try:
            await asyncio.to_thread(self._start, popens)
            yield
        finally:
            await asyncio.to_thread(_end, popens)
            os.sched_setaffinity(0, own_cores)

    def _start(self, popens: list[subprocess.Popen[bytes]]) -> None:
        arguments = [sys.executable, "-S", "-c", _BUSY_PROGRAM]
        arguments += [str(self.period_s), str(self.burst_s)]
        for _ in range(self.busy_processes):
            # Where the kernel groups processes by session, each is one of its own, as
            # the processes of other users are.
            popens.append(subprocess.Popen(arguments, start_new_session=True))
            self.pin(popens[-1].pid)


def _end(popens: list[subprocess.Popen[bytes]]) -> None:
    for popen in popens:
        popen.kill()
    for popen in popens:
        popen.wait()
