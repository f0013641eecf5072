"""The relay passes, stalls and loses bytes by direction."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from tests import processes
from tests.fakes import relay

Path = tuple[relay.Relay, asyncio.StreamReader, asyncio.StreamWriter]


@pytest.fixture
async def path() -> AsyncIterator[Path]:
    """A relay towards an echo server and a connection through it."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    passing = relay.Relay(server.sockets[0].getsockname()[1])
    await passing.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", passing.port)
    yield passing, reader, writer
    writer.close()
    await passing.aclose()
    server.close()


@pytest.mark.parametrize("direction", ["to_target", "to_source"])
async def test_relay_stalls_and_passes_later(path: Path, direction: str) -> None:
    passing, reader, writer = path
    getattr(passing, direction).set_mode(relay.Mode.STALL)
    writer.write(b"one")
    read = asyncio.create_task(reader.readexactly(3))
    await asyncio.sleep(0.1)
    assert not read.done()
    getattr(passing, direction).set_mode(relay.Mode.PASS)
    assert await read == b"one"


@pytest.mark.parametrize("direction", ["to_target", "to_source"])
async def test_relay_drops_and_closes_once_it_passes_again(
    path: Path, direction: str
) -> None:
    passing, reader, writer = path
    getattr(passing, direction).set_mode(relay.Mode.DROP)
    writer.write(b"one")
    await asyncio.sleep(0.1)
    getattr(passing, direction).set_mode(relay.Mode.PASS)
    writer.write(b"two")
    assert await reader.read() == b""


async def test_relay_closes_connections(path: Path) -> None:
    passing, reader, writer = path
    writer.write(b"one")
    assert await reader.readexactly(3) == b"one"
    passing.close_connections()
    assert await reader.read() == b""


async def test_relay_listens_on_no_reserved_port(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    start_server = asyncio.start_server
    taken = processes.free_ports(1)[0]
    ports = [taken, 0]

    async def start(handler: Any, host: str, port: int) -> asyncio.Server:
        return await start_server(handler, host, ports.pop(0))

    monkeypatch.setattr(asyncio, "start_server", start)
    passing = relay.Relay(taken)
    await passing.start(frozenset({taken}))
    assert passing.port != taken and ports == []
    await passing.aclose()
    monkeypatch.undo()
    # It is free again for the process that it was chosen for.
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", taken)
    server.close()
