"""Tests of mutual TLS on inner links."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import ssl
import time
import tracemalloc
from collections.abc import AsyncIterator, Callable, Iterator

import eliot
import pytest

from yuccapitch.protocol import inner_tls

TlsFactory = Callable[[str], inner_tls.InnerTls]


@pytest.fixture
def make_tls(tmp_path: pathlib.Path) -> TlsFactory:
    """Return a function that creates an instance with its own trust directory."""

    def build(name: str) -> inner_tls.InnerTls:
        folder = tmp_path / name
        (folder / "trust").mkdir(parents=True)
        write_new_identity(folder)
        files = folder / "cert.pem", folder / "key.pem", folder / "trust"
        return inner_tls.InnerTls.open(*files).unwrap()

    return build


@pytest.fixture
def logged_events() -> Iterator[list[str]]:
    names: list[str] = []

    def record(message: dict[str, str]) -> None:
        names.append(message["message_type"])

    eliot.add_destinations(record)
    yield names
    eliot.remove_destination(record)


def write_new_identity(folder: pathlib.Path, name: str = "") -> None:
    identity = inner_tls.create_identity(name or folder.name, time.time())
    inner_tls.write_identity(identity, folder / "cert.pem", folder / "key.pem")


def trust(tmp_path: pathlib.Path, truster: str, trusted: str) -> None:
    pem = (tmp_path / trusted / "cert.pem").read_bytes()
    (tmp_path / truster / "trust" / f"{trusted}-{len(pem)}.pem").write_bytes(pem)


@contextlib.asynccontextmanager
async def server(tls: inner_tls.InnerTls) -> AsyncIterator[int]:
    """Run a server that sends each accepted peer the id from its certificate."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.closing(writer):
            outcome = await inner_tls.accept(tls, writer)
            if outcome.is_ok():
                writer.write(outcome.unwrap().encode() + b"\n")
                assert await reader.readline() == b"thanks\n"
                writer.write(b"bye\n")
                await writer.drain()

    listening = await asyncio.start_server(handle, "127.0.0.1", 0)
    async with listening:
        yield listening.sockets[0].getsockname()[1]


async def connect(tls: inner_tls.InnerTls, port: int) -> tuple[str | None, bytes]:
    """Return the server's id as seen by the client and the line the server sent.

    In TLS 1.3 a refused client notices the refusal only when it reads: as an alert or
    as the end of the stream.
    """
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", port, ssl=tls.client_context()
    )
    with contextlib.closing(writer):
        peer = tls.peer_id(writer.get_extra_info("ssl_object"))
        try:
            line = await reader.readline()
        except OSError:
            return peer, b""
        if line:
            writer.write(b"thanks\n")
            assert await reader.readline() == b"bye\n"
        return peer, line


async def test_accept_trusted_peer(
    make_tls: TlsFactory, tmp_path: pathlib.Path
) -> None:
    one, two = make_tls("one"), make_tls("two")
    trust(tmp_path, "one", "two")
    trust(tmp_path, "two", "one")
    async with server(one) as port:
        assert await connect(two, port) == ("one", b"two\n")
    assert one.trusted_ids() == {"two"}


async def test_accept_refuses_unknown_peer(
    make_tls: TlsFactory, tmp_path: pathlib.Path, logged_events: list[str]
) -> None:
    one, two = make_tls("one"), make_tls("two")
    trust(tmp_path, "two", "one")
    async with server(one) as port:
        assert await connect(two, port) == ("one", b"")
    assert logged_events.count("link.refused") == 1


async def test_client_refuses_unknown_server(
    make_tls: TlsFactory, tmp_path: pathlib.Path, logged_events: list[str]
) -> None:
    one, two = make_tls("one"), make_tls("two")
    trust(tmp_path, "one", "two")
    async with server(one) as port:
        with pytest.raises(ssl.SSLCertVerificationError):
            await connect(two, port)


async def test_accept_refuses_connection_without_tls(
    make_tls: TlsFactory, logged_events: list[str]
) -> None:
    async with server(make_tls("one")) as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        with contextlib.closing(writer):
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            await reader.read()
    assert logged_events.count("link.refused") == 1


async def test_accept_refuses_same_name_with_other_key(
    make_tls: TlsFactory, tmp_path: pathlib.Path, logged_events: list[str]
) -> None:
    one, two = make_tls("one"), make_tls("two")
    trust(tmp_path, "one", "two")
    trust(tmp_path, "two", "one")
    write_new_identity(tmp_path / "two")
    async with server(one) as port:
        assert await connect(two, port) == ("one", b"")
    assert logged_events.count("link.refused") == 1


async def test_certificates_rotate_without_restart(
    make_tls: TlsFactory, tmp_path: pathlib.Path, logged_events: list[str]
) -> None:
    one, two = make_tls("one"), make_tls("two")
    trust(tmp_path, "one", "two")
    trust(tmp_path, "two", "one")
    async with server(one) as port:
        assert await connect(two, port) == ("one", b"two\n")
        write_new_identity(tmp_path / "one")
        write_new_identity(tmp_path / "two")
        for path in tmp_path.glob("*/trust/*.pem"):
            path.unlink()
        trust(tmp_path, "one", "two")
        trust(tmp_path, "two", "one")
        assert await connect(two, port) == ("one", b"two\n")
        for path in tmp_path.glob("one/trust/*.pem"):
            path.unlink()
        assert await connect(two, port) == ("one", b"")
    assert "tls.reloaded" in logged_events


async def test_refresh_keeps_previous_certificates_on_error(
    make_tls: TlsFactory, tmp_path: pathlib.Path, logged_events: list[str]
) -> None:
    one, two = make_tls("one"), make_tls("two")
    trust(tmp_path, "one", "two")
    trust(tmp_path, "two", "one")
    assert one.refresh()
    async with server(one) as port:
        (tmp_path / "one" / "key.pem").write_text("half written")
        assert await connect(two, port) == ("one", b"two\n")
    assert "tls.reload-failed" in logged_events


def test_open_reports_unreadable_file(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "none.pem"
    outcome = inner_tls.InnerTls.open(path, path, tmp_path)
    assert "none.pem" in outcome.unwrap_err().reason


def test_write_identity_protects_key(
    make_tls: TlsFactory, tmp_path: pathlib.Path
) -> None:
    make_tls("one")
    assert (tmp_path / "one" / "key.pem").stat().st_mode & 0o777 == 0o600


# Guards against an instance that ends because another file lies among the certificates.
def test_refresh_refuses_a_trusted_file_that_is_too_large(
    tmp_path: pathlib.Path, make_tls: TlsFactory
) -> None:
    tls = make_tls("a")
    large = tmp_path / "a" / "trust" / "large.pem"
    with open(large, "wb") as file:
        file.truncate(64 * 1024 * 1024)
    tracemalloc.start()
    try:
        assert not tls.refresh()
        opened = inner_tls.InnerTls.open(
            tmp_path / "a" / "cert.pem", tmp_path / "a" / "key.pem", large.parent
        )
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert "larger than 65536 bytes" in opened.unwrap_err().reason
    assert "large.pem" in opened.unwrap_err().reason
    assert peak_bytes < 1024 * 1024
