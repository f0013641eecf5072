"""The memory limit of the instances, enforced as the platform does."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import os
import pathlib
import time
from collections.abc import Iterable, Mapping

from tests.soak import deployment

BYTES_PER_MEGABYTE = 1_000_000
SAMPLE_INTERVAL_S = 0.2
_LISTENING = "0A"
_NO_INODE = "0"


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
        """Peaks of resident memory, and by "ROLE unread" and "ROLE with unread" those
        of the samples."""

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            unread = unread_bytes_by_inode()
            for instance in self._instances:
                # A process may be gone by the time at which it is looked at.
                with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                    self.check(instance, unread)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def check(self, instance: deployment.Instance, unread: Mapping[str, int]) -> None:
        """Kill the process of an instance if it has used more than the limit.

        The platform counts what the kernel holds for the process, too.
        """
        if instance.popen is None or not instance.is_running:
            return
        pid, process = instance.popen.pid, instance.processes[-1]
        sizes = _status_sizes(pid)
        peak_mb = _private_peak_bytes(sizes, process) / BYTES_PER_MEGABYTE
        unread_mb = _unread_bytes(pid, unread) / BYTES_PER_MEGABYTE
        sum_mb = sizes["RssAnon"] / BYTES_PER_MEGABYTE + unread_mb
        role = instance.role
        for name, used_mb in (
            (role, peak_mb),
            (f"{role} unread", unread_mb),
            (f"{role} with unread", sum_mb),
        ):
            self.peak_mb_by_role[name] = max(self.peak_mb_by_role[name], used_mb)
        is_over = max(peak_mb, sum_mb) > self._limit_mb
        if is_over and not process.is_over_memory_limit:
            process.is_over_memory_limit = True
            # Not by Instance.send_signal: it is no disruption from outside.
            instance.popen.kill()
            self.ends.append(
                f"{time.time():.3f} {instance.name} was killed for its memory:"
                f" {peak_mb:.0f} MB at its peak, {sum_mb:.0f} MB with {unread_mb:.0f}"
                f" MB unread, the limit is {self._limit_mb:.0f} MB"
            )


def unread_bytes_by_inode() -> dict[str, int]:
    """Return the bytes that sockets have received and no process has read."""
    unread: dict[str, int] = {}
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, _, _, state, queues, _, _, _, _, inode, *_ = line.split()
        size = int(queues.partition(":")[2], 16)
        # That of a listening socket counts connections.
        if size and state != _LISTENING and inode != _NO_INODE:
            unread[inode] = size
    return unread


def _unread_bytes(pid: int, unread: Mapping[str, int]) -> int:
    if not unread:
        return 0
    inodes = set()
    for fd in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        # It may be closed meanwhile.
        with contextlib.suppress(FileNotFoundError):
            inodes.add(os.readlink(fd).removeprefix("socket:[").removesuffix("]"))
    return sum(unread.get(inode, 0) for inode in inodes)


def _status_sizes(pid: int) -> collections.Counter[str]:
    sizes_by_name: collections.Counter[str] = collections.Counter()
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmHWM", "RssAnon", "RssFile", "RssShmem"):
            sizes_by_name[name] = 1024 * int(value.split()[0])
    return sizes_by_name


def _private_peak_bytes(
    sizes_by_name: collections.Counter[str], process: deployment.Process
) -> int:
    """Return the peak of the resident memory without file-backed and shared pages.

    The kernel keeps the peak of all resident memory, so none is missed between samples.
    """
    not_private = sizes_by_name["RssFile"] + sizes_by_name["RssShmem"]
    process.shared_peak_bytes = max(process.shared_peak_bytes, not_private)
    return max(0, sizes_by_name["VmHWM"] - process.shared_peak_bytes)
