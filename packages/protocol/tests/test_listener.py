"""Tests of listen addresses over loopback connections."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket

import pytest

from yuccapitch.protocol import listener

CLIENTS = 5


class Recorder(asyncio.Protocol):
    """A protocol that records what it receives and closes its connection."""

    def __init__(self, received: list[bytes]) -> None:
        self._received = received
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._received.append(data)
        self._transport.close()


# Guards against connections that the kernel has taken and that are reset, with what
# their clients have sent, when the address is closed.
async def test_stop_accepts_the_connections_that_wait():
    received: list[bytes] = []
    listening = listener.Listener("127.0.0.1", 0)
    await listening.start(lambda: Recorder(received))
    with contextlib.ExitStack() as stack:
        for _ in range(CLIENTS):
            client = socket.create_connection(listening.address)
            stack.enter_context(client).sendall(b"a")
        listening.stop()
        assert not listening.is_listening
        async with asyncio.timeout(20):
            while len(received) < CLIENTS:
                await asyncio.sleep(0.01)


async def test_aclose_returns_once_the_last_connections_are_open():
    opened: list[Recorder] = []

    class Opened(Recorder):
        def connection_made(self, transport):
            opened.append(self)
            transport.close()

    listening = listener.Listener("127.0.0.1", 0)
    await listening.start(lambda: Opened([]))
    with socket.create_connection(listening.address):
        await listening.aclose()
        assert len(opened) == 1
        await listening.aclose()


# Guards against connections that were accepted, but not opened yet, when the address is
# closed: asyncio drops them without a log line.
@pytest.mark.parametrize("iterations", range(5))
async def test_stop_serves_connections_that_are_being_opened(iterations):
    received: list[bytes] = []
    listening = listener.Listener("127.0.0.1", 0)
    await listening.start(lambda: Recorder(received))
    with contextlib.ExitStack() as stack:
        for _ in range(CLIENTS):
            client = socket.create_connection(listening.address)
            stack.enter_context(client).sendall(b"a")
        for _ in range(iterations):
            await asyncio.sleep(0)
        listening.stop()
        async with asyncio.timeout(20):
            while len(received) < CLIENTS:
                await asyncio.sleep(0.01)


@pytest.mark.parametrize("iterations", range(5))
async def test_aclose_waits_for_connections_that_are_being_opened(iterations):
    opened: list[Recorder] = []

    class Opened(Recorder):
        def connection_made(self, transport):
            opened.append(self)
            transport.close()

    listening = listener.Listener("127.0.0.1", 0)
    await listening.start(lambda: Opened([]))
    with socket.create_connection(listening.address):
        for _ in range(iterations):
            await asyncio.sleep(0)
        await listening.aclose()
        assert len(opened) == 1


async def test_aclose_before_the_start_releases_the_address():
    listening = listener.Listener("127.0.0.1", 0)
    _, port = listening.address
    await listening.aclose()
    await listener.Listener("127.0.0.1", port).aclose()


async def test_stop_accepts_a_full_queue():
    received: list[bytes] = []
    listening = listener.Listener("127.0.0.1", 0, backlog=CLIENTS)
    await listening.start(lambda: Recorder(received))
    with contextlib.ExitStack() as stack:
        for _ in range(CLIENTS + 1):
            client = socket.create_connection(listening.address)
            stack.enter_context(client).sendall(b"a")
        listening.stop()
        async with asyncio.timeout(20):
            while len(received) < CLIENTS + 1:
                await asyncio.sleep(0.01)


class FailingSocket:
    """A listen socket whose next calls of ``accept`` fail for want of a descriptor."""

    def __init__(self, sock: socket.socket, failures: int) -> None:
        self._socket = sock
        self._failures = failures

    def __getattr__(self, name: str):
        return getattr(self._socket, name)

    def accept(self):
        if self._failures:
            self._failures -= 1
            raise OSError(errno.EMFILE, "no descriptor")
        return self._socket.accept()


@pytest.fixture
def logged(monkeypatch) -> list[str]:
    """The names of the events that listeners have logged."""
    names: list[str] = []
    monkeypatch.setattr(
        listener.events, "event", lambda name, **fields: names.append(name)
    )
    return names


async def test_stop_closes_the_address_when_no_descriptor_is_left(logged):
    listening = listener.Listener("127.0.0.1", 0)
    listening._socket = FailingSocket(listening._socket, 1)
    await listening.start(lambda: Recorder([]))
    listening.stop()
    assert logged == ["listener.accept-failed", "listener.closed"]
    assert listening._socket.fileno() == -1


async def test_start_accepts_again_once_a_descriptor_is_left(logged, monkeypatch):
    monkeypatch.setattr(listener, "ACCEPT_RETRY_S", 0.01)
    received: list[bytes] = []
    listening = listener.Listener("127.0.0.1", 0)
    listening._socket = FailingSocket(listening._socket, 2)
    await listening.start(lambda: Recorder(received))
    with socket.create_connection(listening.address) as client:
        client.sendall(b"a")
        async with asyncio.timeout(20):
            while not received:
                await asyncio.sleep(0.01)
    await listening.aclose()
    assert logged == ["listener.accept-failed"] * 2 + ["listener.closed"]
