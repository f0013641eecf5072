"""Tests of listen addresses over loopback connections."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import types

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


async def test_aclose_before_the_start_releases_the_address():
    listening = listener.Listener("127.0.0.1", 0)
    _, port = listening.address
    await listening.aclose()
    await listener.Listener("127.0.0.1", port).aclose()


async def test_stop_closes_the_address_when_no_descriptor_is_left(monkeypatch):
    logged: list[str] = []
    monkeypatch.setattr(
        listener.events, "event", lambda name, **fields: logged.append(name)
    )
    listening = listener.Listener("127.0.0.1", 0)
    await listening.start(lambda: Recorder([]))

    def fail() -> None:
        raise OSError(errno.EMFILE, "no descriptor")

    listening._socket = types.SimpleNamespace(accept=fail)
    listening.stop()
    assert logged == ["listener.accept-failed", "listener.closed"]
