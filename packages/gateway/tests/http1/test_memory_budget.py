"""Memory of a whole process that receives more than its budget."""

from __future__ import annotations

import contextlib
import socket
import subprocess
import sys
import threading

import pytest

from yuccapitch.gateway.http1 import memory_budget

CONNECTIONS = 60
# Receives responses on all connections at once; prints by how many bytes that raised
# the peak of its memory.
RECEIVER = """
import asyncio, sys, time
from yuccapitch.gateway.http1 import client, memory_budget

def peak_bytes():
    with open("/proc/self/status") as status:
        (line,) = [line for line in status if line.startswith("VmHWM")]
    return int(line.split()[1]) * 1024

async def receive(pool):
    connection = await pool.acquire(20.0, 5.0)
    outcome = await connection.exchange(
        b"GET / HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n", lambda response: True, False
    )
    assert isinstance(outcome, client.Failure), outcome

async def main():
    budget = memory_budget.MemoryBudget(int(sys.argv[2]))
    pool = client.Pool("127.0.0.1", int(sys.argv[1]), time.monotonic, budget)
    before = peak_bytes()
    await asyncio.gather(*(receive(pool) for _ in range(int(sys.argv[3]))))
    print(peak_bytes() - before)

asyncio.run(main())
"""


def send_without_end(listener: socket.socket, beginning: bytes, repeated: bytes):
    """Answer each connection until it is closed, in a thread of its own."""

    def send(connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(65536)
            connection.sendall(beginning)
            while True:
                connection.sendall(repeated)

    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=send, args=(connection,), daemon=True).start()


# Guards against an entry instance that keeps to its budget and is ended for its memory
# all the same: bodies that grow beside each other took twice their size.
@pytest.mark.parametrize(
    ("beginning", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"10000\r\n" + b"x" * 65536 + b"\r\n",
        ),
    ],
    ids=["close-delimited", "chunks"],
)
def test_process_stays_within_its_memory_while_bodies_grow(beginning, repeated):
    limit_bytes = memory_budget.DEFAULT_MEMORY_LIMIT_BYTES
    budget_bytes = memory_budget.buffered_bytes(limit_bytes)
    with socket.create_server(("127.0.0.1", 0), backlog=CONNECTIONS) as listener:
        arguments = (listener, beginning, repeated)
        threading.Thread(target=send_without_end, args=arguments, daemon=True).start()
        port = listener.getsockname()[1]
        counts = [str(port), str(budget_bytes), str(CONNECTIONS)]
        finished = subprocess.run(
            [sys.executable, "-c", RECEIVER, *counts],
            capture_output=True,
            text=True,
            timeout=120,
        )
        listener.shutdown(socket.SHUT_RDWR)
    assert finished.returncode == 0, finished.stderr
    # Not joined, so that a body is held once, beside what is just being read.
    assert int(finished.stdout) < 1.3 * budget_bytes


def test_buffered_bytes_leaves_room_for_the_process_a_copy_and_unread_bytes():
    for limit_bytes in (200_000_000, 300_000_000):
        budget_bytes = memory_budget.buffered_bytes(limit_bytes)
        used_bytes = memory_budget.RESERVED_BYTES + 2 * budget_bytes
        assert used_bytes + memory_budget.UNREAD_BYTES <= limit_bytes


def test_buffered_bytes_is_never_too_small_for_usual_messages():
    least_bytes = memory_budget.MIN_BUFFERED_BYTES
    assert memory_budget.buffered_bytes(1_000_000) == least_bytes


class Receiver:
    """A message that is being received."""

    def __init__(self, has_known_length: bool) -> None:
        self.has_known_length = has_known_length
        self.is_shed = False

    def shed(self, reason: str) -> None:
        self.is_shed = True


# Guards against a message that would be complete soon and is discarded for others that
# have no end.
def test_charge_discards_a_message_without_a_known_length_first():
    budget = memory_budget.MemoryBudget(1_000_000)
    known, unknown, small = Receiver(True), Receiver(False), Receiver(False)
    budget.charge(small, 10_000)
    budget.charge(known, 600_000)
    budget.charge(unknown, 390_001)
    assert (known.is_shed, unknown.is_shed, small.is_shed) == (False, True, False)
    budget.charge(known, 390_001)
    assert (known.is_shed, small.is_shed) == (True, False)
    assert budget.used_bytes == 10_000


# Guards against messages that say how long they are, come slowly and take the budget,
# while all that don't say it are discarded.
def test_charge_discards_a_large_message_before_a_smaller_one_without_a_length():
    budget = memory_budget.MemoryBudget(50_000_000)
    holders = [Receiver(True) for _ in range(4)]
    for holder in holders:
        budget.charge(holder, 11_600_000)
    chunked = Receiver(False)
    budget.charge(chunked, 4_000_000)
    assert not chunked.is_shed
    assert sum(holder.is_shed for holder in holders) == 1
