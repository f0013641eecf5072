from __future__ import annotations

import pytest

from packages.gateway.tests import raw_endpoint
from yuccapitch.catalogue import api
from yuccapitch.cli import client, exit_codes, reports

HEAD = b"HTTP/1.1 200 OK\r\n"
PIECE = 65_536 * b" "
SMALL_LIMIT_BYTES = 1_000_000


async def get_status(
    port: int, monkeypatch: pytest.MonkeyPatch
) -> reports.CommandError:
    """Return the error of a command whose server answers with nothing of use."""
    # One attempt, which ends by its limits and not by the time that it takes.
    monkeypatch.setattr(client, "ATTEMPT_TIMEOUT_S", 15.0)
    monkeypatch.setattr(client, "INITIAL_RETRY_DELAY_S", 60.0)
    connection = client.Connection((f"http://127.0.0.1:{port}",), 20.0)
    async with client.connect(connection) as operator:
        answer = await operator.get("/v1/status", api.StatusBody)
    return answer.unwrap_err()


# Guards against a faulty server, or an address of something else, whose answer takes
# the memory of the operator's machine.
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (HEAD + b"Connection: close\r\n\r\n", PIECE),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            b"10000\r\n" + PIECE + b"\r\n",
        ),
    ],
    ids=["until-close", "chunks"],
)
async def test_request_bounds_an_answer_without_end(
    monkeypatch: pytest.MonkeyPatch, start: bytes, piece: bytes
) -> None:
    monkeypatch.setattr(client, "MAX_RESPONSE_BYTES", SMALL_LIMIT_BYTES)
    async with raw_endpoint.sending_endlessly(start, piece) as endpoint:
        error = await get_status(endpoint.port, monkeypatch)
        sent_bytes = await endpoint.wait_cut_off()
    assert error.exit_code is exit_codes.ExitCode.UNAVAILABLE
    assert f"larger than {SMALL_LIMIT_BYTES} bytes" in error.message
    assert "check --server" in error.next_step
    assert sent_bytes < raw_endpoint.MAX_UNREAD_BYTES


async def test_request_refuses_a_length_above_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    start = HEAD + b"Content-Length: 999999999999\r\n\r\n"
    async with raw_endpoint.sending_endlessly(start, PIECE) as endpoint:
        error = await get_status(endpoint.port, monkeypatch)
        sent_bytes = await endpoint.wait_cut_off()
    assert f"larger than {client.MAX_RESPONSE_BYTES} bytes" in error.message
    assert sent_bytes < raw_endpoint.MAX_UNREAD_BYTES


# Guards against a command that ends with a traceback.
@pytest.mark.parametrize("status", [b"200", b"400"])
async def test_request_reports_an_answer_that_is_nested_too_deeply(
    monkeypatch: pytest.MonkeyPatch, status: bytes
) -> None:
    body = 100_000 * b"["
    head = HEAD.replace(b"200", status) + b"Content-Length: %d\r\n\r\n" % len(body)
    async with raw_endpoint.sending(head, body) as endpoint:
        error = await get_status(endpoint.port, monkeypatch)
    assert error.exit_code is not exit_codes.ExitCode.OK
