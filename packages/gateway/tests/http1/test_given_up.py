"""Memory of a process whose requests are given up while their responses arrive."""

from __future__ import annotations

import contextlib
import socket
import subprocess
import sys
import threading

REQUESTS = 10
BODY_BYTES = 10_000_000
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


def send_unfinished(listener: socket.socket, left: threading.Event) -> None:
    """Answer each connection with a body that has no length and no end."""

    def send(connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
            connection.sendall(b"x" * BODY_BYTES)
            left.wait()

    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=send, args=(connection,), daemon=True).start()


# Guards against instances that run out of memory over bodies of requests that have
# timed out: the budget was released, but the bodies stayed until a garbage collection.
def test_process_keeps_nothing_of_responses_that_were_given_up():
    left = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        arguments = (listener, left)
        threading.Thread(target=send_unfinished, args=arguments, daemon=True).start()
        port = listener.getsockname()[1]
        counts = [str(value) for value in (port, REQUESTS, BODY_BYTES)]
        finished = subprocess.run(
            [sys.executable, "-c", RECEIVER, *counts],
            capture_output=True,
            text=True,
            timeout=100,
        )
        left.set()
        listener.shutdown(socket.SHUT_RDWR)
    assert finished.returncode == 0, finished.stderr
    # One body at a time, and what the allocator leaves between its pieces.
    assert int(finished.stdout) < 2 * BODY_BYTES
