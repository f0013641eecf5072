from __future__ import annotations

import asyncio
import contextlib
import gzip
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest

from packages.gateway.tests import raw_endpoint
from tests import catalogue_sample
from yuccapitch.catalogue import ids
from yuccapitch.gateway import config_view, endpoint_monitor
from yuccapitch.protocol import events
from yuccapitch.steering import health

B1 = ids.EndpointId("bins-1")
NOW = 100.0
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = 65_536 * b" "
GZIP_BOMB = gzip.compress(32 * 1024 * 1024 * b" ")
MEBIBYTE = 1024 * 1024


class LoggedEvents:
    """The events that were logged, with their fields."""

    def __init__(self) -> None:
        self.fields_by_name: dict[str, dict[str, Any]] = {}
        self._logged = asyncio.Event()

    def record(self, event_name: str, /, **fields: object) -> None:
        """Record an event."""
        self.fields_by_name[event_name] = fields
        self._logged.set()

    async def wait_for(self, event_name: str) -> dict[str, Any]:
        """Return the fields of an event once it is logged."""
        async with asyncio.timeout(20):
            while event_name not in self.fields_by_name:
                self._logged.clear()
                await self._logged.wait()
        return self.fields_by_name[event_name]


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> LoggedEvents:
    logged_events = LoggedEvents()
    monkeypatch.setattr(events, "event", logged_events.record)
    # Reads end by their limits and not by the time that this machine needs for them.
    monkeypatch.setattr(endpoint_monitor, "PROBE_TIMEOUT_S", 15.0)
    return logged_events


@contextlib.asynccontextmanager
async def monitoring(
    port: int, **service: str
) -> AsyncIterator[endpoint_monitor.EndpointMonitor]:
    """Run a monitor of one endpoint whose service has the given fields."""
    plain = catalogue_sample.plain()
    declaration = catalogue_sample.declaration(
        services={**plain["services"], "bins": {"owner": "amber", **service}},
        endpoints={"bins-1": {**plain["endpoints"]["bins-1"], "port": port}},
    )
    monitor = endpoint_monitor.EndpointMonitor(
        health.HealthView(), lambda: {B1}, lambda: None, lambda: NOW
    )
    monitor.configure(config_view.ConfigView(ids.Version(1), declaration))
    running = asyncio.create_task(monitor.run())
    try:
        yield monitor
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


# Guards against a faulty endpoint whose answer to one probe takes the instance's memory
# or the time of its event loop.
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (HEAD + b"Content-Length: 999999999999\r\n\r\n", PIECE),
        (CHUNKED, b"10000\r\n" + PIECE + b"\r\n"),
        (CHUNKED, 10_000 * b"1\r\n \r\n"),
        (CHUNKED + b"1;", PIECE),
        (CHUNKED + b"0\r\n", 10_000 * b"a:b\r\n"),
        (CHUNKED + b"0\r\na:", PIECE),
        (HEAD + b"Connection: close\r\n\r\n", PIECE),
        (HEAD, 10_000 * b"a:b\r\n"),
        (HEAD + b"a:", PIECE),
        (b"HTTP/1.1 200 ", PIECE),
        (b"", 10_000 * b"\r\n"),
        (b"", 10_000 * b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"", 10_000 * b"HTTP/1.1 199 X\r\na: b\r\n\r\n"),
    ],
    ids=[
        "length",
        "chunks",
        "chunks-of-one-byte",
        "chunk-extension",
        "trailers",
        "trailer",
        "until-close",
        "fields",
        "field",
        "reason",
        "empty-lines",
        "continue",
        "interim",
    ],
)
async def test_probe_bounds_an_answer_without_end(
    logged: LoggedEvents, start: bytes, piece: bytes
) -> None:
    async with raw_endpoint.sending_endlessly(start, piece) as endpoint:
        async with monitoring(endpoint.port, probe_path="/load"):
            failed = await logged.wait_for("endpoint.probe-failed")
            sent_bytes = await endpoint.wait_cut_off()
    assert failed["endpoint"] == B1
    assert "Timeout" not in failed["reason"]
    assert sent_bytes < raw_endpoint.MAX_UNREAD_BYTES


# Guards against an answer that is no load report and is read on.
async def test_probe_refuses_an_answer_above_the_limit(logged: LoggedEvents) -> None:
    body = b" " * 70_000 + b"{}"
    head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
    async with raw_endpoint.sending(head, body) as endpoint:
        async with monitoring(endpoint.port, probe_path="/load"):
            failed = await logged.wait_for("endpoint.probe-failed")
    assert "65536 bytes" in failed["reason"]


# Guards against a small answer that takes much memory once it is decompressed.
async def test_probe_does_not_decompress_an_answer(logged: LoggedEvents) -> None:
    head = HEAD + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n"
    answer = head % len(GZIP_BOMB) + GZIP_BOMB
    async with raw_endpoint.sending(answer) as endpoint:
        async with monitoring(endpoint.port, probe_path="/load"):
            await logged.wait_for("endpoint.probe-failed")
        assert b"gzip" not in endpoint.heads[0]


# Guards against an answer that ends the probe with an error which nobody sees.
@pytest.mark.parametrize(
    "body", [30_000 * b"[", 5_000 * b'{"a":', b"9" * 60_000, b"\xff", b""]
)
async def test_probe_fails_on_a_body_that_is_no_json(
    logged: LoggedEvents, body: bytes
) -> None:
    answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    async with raw_endpoint.sending(answer) as endpoint:
        async with monitoring(endpoint.port, probe_path="/load"):
            await logged.wait_for("endpoint.probe-failed")


async def test_probe_reads_an_answer_that_comes_in_pieces(
    logged: LoggedEvents,
) -> None:
    body = b'{"state": "draining"}'
    head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
    async with raw_endpoint.sending(head, body[:5], body[5:]) as endpoint:
        async with monitoring(endpoint.port, probe_path="/load") as monitor:
            await logged.wait_for("endpoint.leaving")
            assert monitor.is_leaving(B1)


def platform_list(count: int, padding: str = "") -> bytes:
    """Return a list of many instances, the last of which is leaving."""
    instances = [{"id": f"other-{n}", "state": "live"} for n in range(count)]
    instances.append({"id": B1, "state": "leaving"})
    listed = {"as_of_unix_ms": 1, "padding": padding, "instances": instances}
    return json.dumps(listed).encode()


# Guards against a list that is cut where its first piece ends.
async def test_platform_list_is_read_whole_if_it_comes_in_pieces(
    logged: LoggedEvents,
) -> None:
    body = platform_list(8_000)
    head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
    pieces = [body[start : start + 50_000] for start in range(0, len(body), 50_000)]
    async with raw_endpoint.sending(head, *pieces) as endpoint:
        url = f"http://127.0.0.1:{endpoint.port}/list"
        async with monitoring(endpoint.port, platform_list_url=url) as monitor:
            await logged.wait_for("endpoint.leaving")
            assert monitor.is_leaving(B1)
    assert "platform.list-failed" not in logged.fields_by_name


# Guards against a list above the limit that is taken for one that ends there, and
# against one whose instances take many times its bytes.
@pytest.mark.parametrize(
    "body",
    [
        platform_list(0) + 4 * MEBIBYTE * b" ",
        platform_list(0, 4 * MEBIBYTE * "x"),
        platform_list(20_000),
    ],
    ids=["spaces", "padding", "instances"],
)
@pytest.mark.parametrize("has_length", [True, False])
async def test_platform_list_above_a_limit_is_refused(
    logged: LoggedEvents, body: bytes, has_length: bool
) -> None:
    framing = b"Content-Length: %d" % len(body) if has_length else b"Connection: close"
    answer = HEAD + framing + b"\r\n\r\n" + body
    async with raw_endpoint.sending_endlessly(answer, PIECE) as endpoint:
        url = f"http://127.0.0.1:{endpoint.port}/list"
        async with monitoring(endpoint.port, platform_list_url=url) as monitor:
            failed = await logged.wait_for("platform.list-failed")
            assert not monitor.is_leaving(B1)
    assert "Timeout" not in failed["reason"]


# Guards against a time that ends the read with an error which nobody sees.
async def test_platform_list_with_an_impossible_time_is_refused(
    logged: LoggedEvents,
) -> None:
    body = b'{"as_of_unix_ms": 1%s, "instances": [{"id": "x", "state": "live"}]}'
    body %= 400 * b"0"
    answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    async with raw_endpoint.sending(answer) as endpoint:
        url = f"http://127.0.0.1:{endpoint.port}/list"
        async with monitoring(endpoint.port, platform_list_url=url):
            await logged.wait_for("platform.list-failed")


# Guards against lists that name other instances each time and are kept for ever.
async def test_platform_lists_keep_no_instances_that_are_listed_no_more(
    monkeypatch: pytest.MonkeyPatch, logged: LoggedEvents
) -> None:
    monkeypatch.setattr(endpoint_monitor, "PLATFORM_LIST_INTERVAL_S", 0.0)
    lists = [numbered_list(number) for number in range(3)]
    async with answering_in_turn(*lists, numbered_list(3, B1)) as port:
        url = f"http://127.0.0.1:{port}/list"
        async with monitoring(port, platform_list_url=url) as monitor:
            async with asyncio.timeout(20):
                while leaving_ids(monitor) != {B1, "other-3"}:
                    await asyncio.sleep(0.01)


INSTANCE_IDS = [B1, *(ids.EndpointId(f"other-{number}") for number in range(4))]


def leaving_ids(monitor: endpoint_monitor.EndpointMonitor) -> set[str]:
    """Return the ids that are taken for leaving."""
    return {i for i in INSTANCE_IDS if monitor.is_leaving(i)}


def numbered_list(number: int, *instance_ids: str) -> bytes:
    """Return the list of a time, in which an instance of that number is leaving."""
    instances = [
        {"id": instance_id, "state": "leaving"}
        for instance_id in (f"other-{number}", *instance_ids)
    ]
    return json.dumps({"as_of_unix_ms": number + 1, "instances": instances}).encode()


@contextlib.asynccontextmanager
async def answering_in_turn(*bodies: bytes) -> AsyncIterator[int]:
    """Yield the port of a server that sends one body after the other."""
    unsent = list(bodies)

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        body = unsent.pop(0) if len(unsent) > 1 else unsent[0]
        writer.write(HEAD + b"Connection: close\r\n")
        writer.write(b"Content-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    yield server.sockets[0].getsockname()[1]
    server.close()
