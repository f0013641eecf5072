"""Bad input gets a specific error response, and the process stays up."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from tests import single_process

pytestmark = [pytest.mark.processes, pytest.mark.asyncio(loop_scope="module")]
RSS_BOUND_MB = 256


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> AsyncIterator[single_process.Deployment]:
    async with single_process.running(tmp_path_factory.mktemp("bad-input")) as running:
        yield running
        assert running.is_up()


def key_of_age(age_s: float) -> str:
    return f"east.{int((time.time() - age_s) * 1000)}.{'a' * 24}"


TIMEOUT = "Request-Timeout-Ms"
TOKEN = "Yuccapitch-Forward-Token"


@pytest.mark.parametrize(
    ("method", "path", "headers", "status", "code"),
    [
        ("GET", "nothing/x", {}, 404, "unknown-service"),
        ("POST", "shop/x", {}, 405, "wrong-method"),
        ("POST", "shop/orders", {}, 400, "key-missing"),
        ("POST", "shop/orders", {"Idempotency-Key": "x"}, 400, "malformed-key"),
        ("GET", "shop/", {TIMEOUT: "soon"}, 400, "malformed-header"),
        ("GET", "shop/", {TIMEOUT: "0"}, 400, "malformed-header"),
        ("GET", "shop/", {TIMEOUT: "9" * 400}, 400, "malformed-header"),
        ("GET", "shop/", {"Idempotency-Attempt": "-1"}, 400, "malformed-header"),
        ("GET", "shop/", {TOKEN: "x"}, 503, "wrong-token"),
        ("GET", "shop/", {TOKEN: "\u00e9"}, 503, "wrong-token"),
    ],
)
async def test_bad_input_gets_specific_error(
    deployment: single_process.Deployment,
    method: str,
    path: str,
    headers: dict[str, str],
    status: int,
    code: str,
) -> None:
    async with deployment.session.request(
        method, deployment.url(path), headers=headers
    ) as response:
        reply = json.loads(await response.read())
    assert (response.status, reply["error"]) == (status, code), reply
    assert reply["message"]
    assert response.headers["Yuccapitch-Outcome"] == "not-run"


@pytest.mark.parametrize(
    ("age_s", "status", "code"),
    [(40 * 24 * 3600, 410, "key-expired"), (-3600, 400, "malformed-key")],
)
async def test_bad_input_key_outside_time_window_gets_specific_error(
    deployment: single_process.Deployment, age_s: float, status: int, code: str
) -> None:
    headers = {"Idempotency-Key": key_of_age(age_s)}
    async with deployment.session.post(
        deployment.url("shop/orders"), headers=headers, data=b"x"
    ) as response:
        reply = json.loads(await response.read())
    assert (response.status, reply["error"]) == (status, code)
    # The key may have been used before, when the clock of an instance differed.
    assert response.headers["Yuccapitch-Outcome"] == "unknown"


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"GET /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        b"DELETE /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        b"GET /s/shop/ HTTP/1.1\r\nHost: x\r\nX-Long: " + b"y" * 40_000 + b"\r\n\r\n",
        b"GET /s/shop/" + b"y" * 40_000 + b" HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /s/shop/ HTTP/1.1\r\nHost: x\r\nBad Name: y\r\n\r\n",
        b"GET /s/shop/ HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03garbage\r\n\r\n",
        b"GET /s/shop/ HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ],
    ids=["path", "method", "head", "line", "name", "length", "garbage", "smuggled"],
)
async def test_bad_input_to_the_http_server_gets_error_response(
    deployment: single_process.Deployment, request_bytes: bytes
) -> None:
    reply = await deployment.send_raw(request_bytes)
    head, _, body = reply.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 4") or head.startswith(b"HTTP/1.0 4"), reply
    # The key of a request that cannot be parsed is unknown; an earlier request with
    # the same key may have been executed.
    is_parsed = request_bytes.startswith((b"GET /nowhere", b"DELETE"))
    outcome = b"not-run" if is_parsed else b"unknown"
    assert b"yuccapitch-outcome: " + outcome in head.lower(), reply
    assert json.loads(body)["error"] and json.loads(body)["message"]
    assert b"Traceback" not in reply


async def test_bad_input_many_headers_use_bounded_memory(
    deployment: single_process.Deployment,
) -> None:
    lines = b"".join(b"X-%d: %s\r\n" % (n, b"y" * 1000) for n in range(20_000))
    before = deployment.rss_mb()
    reply = await deployment.send_raw(b"GET /s/shop/ HTTP/1.1\r\nHost: x\r\n" + lines)
    # Unread bytes can reset the connection before the response arrives.
    if reply:
        # The library doesn't know the version of a head that it can't parse.
        assert reply.startswith((b"HTTP/1.0 4", b"HTTP/1.1 4")), reply[:200]
        assert b"yuccapitch-outcome: unknown\r\n" in reply.lower()
        assert json.loads(reply.partition(b"\r\n\r\n")[2])["error"]
    assert deployment.rss_mb() - before < 16


@pytest.mark.parametrize("announced", [True, False])
async def test_bad_input_oversized_body_is_rejected(
    deployment: single_process.Deployment, announced: bool
) -> None:
    body = b"x" * 5_000_000
    headers = {"Idempotency-Key": deployment.key()}
    framing = b"Content-Length: 5000000" if announced else b"Transfer-Encoding: chunked"
    head = (
        b"POST /s/shop/orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s\r\n%s\r\n\r\n"
    )
    reader, writer = await deployment.connect()
    writer.write(head % (headers["Idempotency-Key"].encode(), framing))
    writer.write(body if announced else b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
    reply = await reader.readuntil(b"\r\n\r\n")
    assert reply.startswith(b"HTTP/1.1 413"), reply
    writer.close()
    assert "begin" not in deployment.journal_steps(headers["Idempotency-Key"])


async def test_bad_input_slow_uploads_use_bounded_memory(
    deployment: single_process.Deployment,
) -> None:
    head = (
        b"PUT /s/shop/uploads HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s\r\n"
        b"Content-Length: 100000000\r\n\r\n"
    )
    writers = []
    for _ in range(100):
        _, writer = await deployment.connect()
        writer.write(head % deployment.key().encode() + b"x" * 1_000_000)
        writers.append(writer)
    await asyncio.sleep(1)
    assert deployment.rss_mb() < RSS_BOUND_MB
    async with deployment.session.get(deployment.process.url + "/healthz") as response:
        assert response.status == 200
    for writer in writers:
        writer.transport.abort()
    # Slots granted to the disconnected clients are released after a short delay.
    for _ in range(20):
        reads = [deployment.session.get(deployment.url("shop/")) for _ in range(8)]
        statuses = [response.status for response in await asyncio.gather(*reads)]
        if statuses == [200] * 8:
            break
    assert statuses == [200] * 8


async def test_bad_input_on_the_inner_port_is_discarded(
    deployment: single_process.Deployment,
) -> None:
    port = deployment.process.inner_port
    before = deployment.rss_mb()
    idle_connections = [
        await asyncio.open_connection("127.0.0.1", port) for _ in range(20)
    ]
    for garbage in (
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff" * 100_000,
        b"\x7f\xff\xff\xff" + b"x" * 1_000_000,
        b"\x00" * 1_000_000,
    ):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(garbage)
        async with asyncio.timeout(20):
            try:
                assert await reader.read() is not None
            except ConnectionError:
                pass
        writer.close()
    async with deployment.session.get(deployment.url("shop/")) as response:
        assert response.status == 200, await response.text()
    assert deployment.rss_mb() - before < 32
    for _, writer in idle_connections:
        writer.close()


async def test_bad_input_incomplete_head_times_out(
    deployment: single_process.Deployment,
) -> None:
    reply = await deployment.send_raw(b"GET /s/shop/ HTTP/1.1\r\nHost: x\r\nX-Slow: ")
    assert reply.startswith(b"HTTP/1.1 408"), reply
    assert b"Yuccapitch-Outcome: unknown" in reply


@pytest.mark.parametrize(
    ("given", "got"),
    [
        ("/s/raw/a%2Fb?q=%20x&y=a+b", "/a%2Fb?q=%20x&y=a+b"),
        ("/s/raw/a/../b/./c", "/a/../b/./c"),
        ("/s/raw", "/"),
        ("/s/raw?x=1", "/?x=1"),
        ("/s/raw//two//slashes/", "//two//slashes/"),
        ("/s/raw/%C3%A9%00", "/%C3%A9%00"),
        ("/s/raw/a;b=c,d:@!$&'()*", "/a;b=c,d:@!$&'()*"),
        ("/s/raw/?next=/s/raw/x?y", "/?next=/s/raw/x?y"),
        ("/s/%72aw/x", "/x"),
    ],
)
async def test_bad_input_path_and_query_reach_the_endpoint_unchanged(
    deployment: single_process.Deployment, given: str, got: str
) -> None:
    request = f"GET {given} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    reply = await deployment.send_raw(request.encode())
    assert reply.startswith(b"HTTP/1.1 200"), reply
    assert deployment.scripted.heads[-1].split(b" ")[1] == got.encode()
