"""Tests of the report of a process that comes near its memory limit."""

from __future__ import annotations

import pathlib

from yuccapitch.gateway.http1 import memory_budget
from yuccapitch.node.routed import memory_monitor

LIMIT_BYTES = 300_000_000


class Memory:
    """What a process takes at the moment."""

    resident_bytes = 100_000_000
    unread_bytes = 0

    def monitor(self) -> memory_monitor.MemoryMonitor:
        return memory_monitor.MemoryMonitor(
            LIMIT_BYTES,
            memory_budget.MemoryBudget(),
            lambda: self.unread_bytes,
            lambda: self.resident_bytes,
        )


def test_check_logs_nothing_far_from_the_limit(logged):
    Memory().monitor().check()
    assert logged == []


def test_check_counts_unread_bytes(logged):
    memory = Memory()
    monitor = memory.monitor()
    memory.unread_bytes = 130_000_000
    monitor.check()
    (message,) = logged
    assert message["message_type"] == "process.memory-high"
    assert message["unread_bytes"] == 130_000_000
    assert message["resident_bytes"] == 100_000_000


def test_check_logs_once_until_the_memory_changes(logged):
    memory = Memory()
    monitor = memory.monitor()
    memory.resident_bytes = 240_000_000
    monitor.check()
    monitor.check()
    assert len(logged) == 1
    memory.resident_bytes = 260_000_000
    monitor.check()
    assert len(logged) == 2


def test_resident_bytes_is_that_of_this_process():
    (line,) = [
        line
        for line in pathlib.Path("/proc/self/status").read_text().splitlines()
        if line.startswith("VmRSS")
    ]
    expected_bytes = int(line.split()[1]) * 1024
    assert abs(memory_monitor.resident_bytes() - expected_bytes) < 20_000_000
