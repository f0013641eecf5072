"""Memory of a process whose requests are given up while their responses arrive.

The kernel's queues count as well, as the platform counts them.
"""

from __future__ import annotations

import contextlib
import socket
import subprocess
import sys
import threading

from yuccapitch.gateway.http1 import server

REQUESTS = 10
BODY_BYTES = 10_000_000
BLOCK_BYTES = 1_000_000
CONNECTIONS = 20
READ_BYTES = 1_500_000
# Gives requests up one after another once most of a body has come, without the garbage
# collector; prints by how many bytes that raised the peak of its memory.
RECEIVER = """
import asyncio, gc, sys, time
from yuccapitch.gateway.http1 import client, memory_budget

PORT, REQUESTS, BODY_BYTES = (int(value) for value in sys.argv[1:])

def peak_bytes():
    with open("/proc/self/status") as status:
        (line,) = [line for line in status if line.startswith("VmHWM")]
    return int(line.split()[1]) * 1024

async def give_up(pool):
    connection = await pool.acquire(20.0, 5.0)
    exchange = asyncio.create_task(connection.exchange(
        b"GET / HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n", lambda response: True, False
    ))
    while pool.budget.used_bytes < BODY_BYTES:
        await asyncio.sleep(0.001)
    exchange.cancel()
    await asyncio.wait([exchange])
    pool.release(connection)
    assert pool.budget.used_bytes == 0

async def main():
    pool = client.Pool("127.0.0.1", PORT, time.monotonic)
    gc.collect()
    gc.disable()
    before = peak_bytes()
    for _ in range(REQUESTS):
        await give_up(pool)
    print(peak_bytes() - before)

asyncio.run(main())
"""
# Reads some of the responses on all connections, then nothing; prints how many bytes
# the kernel holds of them.
LATE_READER = """
import asyncio, sys, time
from yuccapitch.gateway.http1 import client

PORT, CONNECTIONS, READ_BYTES = (int(value) for value in sys.argv[1:])

async def read(pool):
    connection = await pool.acquire(20.0, 5.0)
    await connection.exchange(
        b"GET / HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n", lambda response: True, False
    )

async def main():
    pool = client.Pool("127.0.0.1", PORT, time.monotonic)
    exchanges = [asyncio.create_task(read(pool)) for _ in range(CONNECTIONS)]
    while pool.budget.used_bytes < CONNECTIONS * READ_BYTES:
        await asyncio.sleep(0)
    held_bytes = -1
    while pool.unread_bytes() > held_bytes:
        held_bytes = pool.unread_bytes()
        time.sleep(0.3)
    print(held_bytes)
    for exchange in exchanges:
        exchange.cancel()
    await asyncio.wait(exchanges)

asyncio.run(main())
"""


def send_unfinished(listener: socket.socket, left: threading.Event) -> None:
    """Answer each connection with a body that has no length and no end."""

    def send(connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
            for _ in range(BODY_BYTES // BLOCK_BYTES):
                connection.sendall(b"x" * BLOCK_BYTES)
            left.wait()

    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=send, args=(connection,), daemon=True).start()


def run_beside_senders(program: str, *arguments: int) -> int:
    """Run a program that calls such endpoints; return what it prints."""
    left = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(
            target=send_unfinished, args=(listener, left), daemon=True
        ).start()
        port = listener.getsockname()[1]
        finished = subprocess.run(
            [sys.executable, "-c", program, *map(str, (port, *arguments))],
            capture_output=True,
            text=True,
            timeout=100,
        )
        left.set()
        listener.shutdown(socket.SHUT_RDWR)
    assert finished.returncode == 0, finished.stderr
    return int(finished.stdout)


# Guards against instances that run out of memory over bodies of requests that have
# timed out: the budget was released, but the bodies stayed until a garbage collection.
def test_process_keeps_nothing_of_responses_that_were_given_up():
    grown_bytes = run_beside_senders(RECEIVER, REQUESTS, BODY_BYTES)
    # One body at a time, and what the allocator leaves between its pieces.
    assert grown_bytes < 2 * BODY_BYTES


# Guards against instances that run out of memory over bytes that have arrived and were
# not read: the kernel lets the buffer of a connection grow to tens of megabytes.
def test_kernel_holds_little_of_what_a_late_process_has_not_read():
    held_bytes = run_beside_senders(LATE_READER, CONNECTIONS, READ_BYTES)
    # The kernel may fill a buffer to twice the size that was asked for.
    assert 0 < held_bytes <= CONNECTIONS * 2 * server.RECEIVE_BUFFER_BYTES
