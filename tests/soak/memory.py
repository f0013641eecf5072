"""The memory limit of the instances, enforced as the platform does."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import pathlib
import time
from collections.abc import Iterable

from tests.soak import deployment

BYTES_PER_MEGABYTE = 1_000_000
SAMPLE_INTERVAL_S = 0.2


class Watcher:
    """Kills instances above the limit, which counts as an end of their own."""

    def __init__(
        self, instances: Iterable[deployment.Instance], limit_mb: float
    ) -> None:
        self._instances = list(instances)
        self._limit_mb = limit_mb
        self.ends: list[str] = []
        """Times, names and peaks of the processes that were killed."""
        self.peak_mb_by_role: collections.defaultdict[str, float]
        self.peak_mb_by_role = collections.defaultdict(float)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for instance in self._instances:
                # A process may be gone by the time at which it is looked at.
                with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                    self.check(instance)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def check(self, instance: deployment.Instance) -> None:
        """Kill the process of an instance if it has used more than the limit."""
        if instance.popen is None or not instance.is_running:
            return
        process = instance.processes[-1]
        peak_mb = _private_peak_bytes(instance.popen.pid, process) / BYTES_PER_MEGABYTE
        role = instance.role
        self.peak_mb_by_role[role] = max(self.peak_mb_by_role[role], peak_mb)
        if peak_mb > self._limit_mb and not process.is_over_memory_limit:
            process.is_over_memory_limit = True
            # Not by Instance.send_signal: it is no disruption from outside.
            instance.popen.kill()
            self.ends.append(
                f"{time.time():.3f} {instance.name} was killed for its memory:"
                f" {peak_mb:.0f} MB, the limit is {self._limit_mb:.0f} MB"
            )


def _private_peak_bytes(pid: int, process: deployment.Process) -> int:
    """Return the peak of the resident memory without file-backed and shared pages.

    The kernel keeps the peak of all resident memory, so none is missed between samples.
    """
    sizes_by_name: collections.Counter[str] = collections.Counter()
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmHWM", "RssFile", "RssShmem"):
            sizes_by_name[name] = 1024 * int(value.split()[0])
    not_private = sizes_by_name["RssFile"] + sizes_by_name["RssShmem"]
    process.shared_peak_bytes = max(process.shared_peak_bytes, not_private)
    return max(0, sizes_by_name["VmHWM"] - process.shared_peak_bytes)
