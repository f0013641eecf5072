"""What becomes of a request that is sent to an endpoint."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

import pytest

from yuccapitch.catalogue import ids
from yuccapitch.gateway.front import endpoint_sender, headers
from yuccapitch.gateway.http1 import messages
from yuccapitch.steering.placement import model

NAMES = headers.HeaderNames(
    b"request-id", b"time-left", b"object", b"proof", b"expected", b"load", b"not-run"
)
ENDPOINT = model.Endpoint(
    ids.EndpointId("e1"), ids.ServiceId("s"), "127.0.0.1", 0,
    ids.FailureDomainId("north-a"), ids.RegionId("north"), 4, False, 0.0, 0,
    ids.RegionId("north"),
)  # fmt: skip
Outcome, Execution = model.Outcome, endpoint_sender.Execution


def answer(status: str, *fields: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", "request-id: q1", "content-length: 2", *fields]
    return ("\r\n".join(lines) + "\r\n\r\nok").encode()


class Endpoint:
    """Answers each request with the next of these bytes, and keeps what it got."""

    def __init__(self, *answers: bytes) -> None:
        self.answers, self.requests = list(answers), []
        self.connection_count = 0
        self.go_on = asyncio.Event()
        self.go_on.set()

    @contextlib.asynccontextmanager
    async def serving(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        sender = endpoint_sender.Sender(NAMES, asyncio.get_running_loop().time)
        try:
            yield sender, dataclasses.replace(ENDPOINT, port=port)
        finally:
            sender.close()
            server.close()

    async def _serve(self, reader, writer) -> None:
        self.connection_count += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while self.answers:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                await self.go_on.wait()
                writer.write(self.answers.pop(0))
        writer.close()


async def send(
    sender, endpoint, is_idempotent: bool = True
) -> endpoint_sender.SendResult:
    now = asyncio.get_running_loop().time()
    listed = [(b"host", b"h"), (b"request-id", b"q1"), (b"connection", b"x-hop")]
    listed += [(b"x-hop", b"1"), (b"time-left", b"9"), (b"x-kept", b"2")]
    request = messages.Request(b"GET", b"/a", listed, b"", now)
    async with asyncio.timeout(20):
        return await sender.send(request, endpoint, now + 10.0, is_idempotent)


@pytest.mark.parametrize(
    ("data", "outcome", "execution"),
    [
        (answer("200 OK", "proof: x"), Outcome.ANSWERED, Execution.POSSIBLE),
        (answer("200 OK"), Outcome.BROKEN, Execution.POSSIBLE),
        (answer("500 Error", "proof: x"), Outcome.FAILED, Execution.POSSIBLE),
        (answer("503 Full", "not-run: 1"), Outcome.SHED, Execution.REJECTED),
        (answer("503 Full"), Outcome.FAILED, Execution.POSSIBLE),
        (answer("421 Other"), Outcome.MISDIRECTED, Execution.REJECTED),
        (answer("404 None", "proof: x"), Outcome.ANSWERED, Execution.POSSIBLE),
        (b"rubbish", Outcome.BROKEN, Execution.POSSIBLE),
    ],
)
async def test_send_tells_what_became_of_a_request(data, outcome, execution):
    async with Endpoint(data).serving() as (sender, endpoint):
        exchanged = await send(sender, endpoint)
    assert (exchanged.outcome, exchanged.execution) == (outcome, execution)


async def test_send_passes_on_what_concerns_more_than_one_connection():
    served = Endpoint(answer("200 OK", "proof: x"))
    async with served.serving() as (sender, endpoint):
        await send(sender, endpoint)
    head = served.requests[0].lower()
    assert b"x-kept: 2" in head and b"expected: e1" in head
    assert b"x-hop" not in head and b"time-left: 9\r\n" not in head


async def test_send_reads_the_load_report():
    data = answer("200 OK", "proof: x", "load: 3,1,4")
    async with Endpoint(data).serving() as (sender, endpoint):
        exchanged = await send(sender, endpoint)
    assert exchanged.load == model.Load(3, 1, 4)


async def test_send_measures_only_new_connections():
    data = answer("200 OK", "proof: x")
    served = Endpoint(data, data, data)
    async with served.serving() as (sender, endpoint):
        first = await send(sender, endpoint)
        # Another connection is opened while the first is used again.
        served.go_on.clear()
        again = asyncio.create_task(send(sender, endpoint))
        while len(served.requests) < 2:
            await asyncio.sleep(0)
        other = asyncio.create_task(send(sender, endpoint))
        while served.connection_count < 2:
            await asyncio.sleep(0)
        served.go_on.set()
        assert first.connect_s is not None
        assert (await other).connect_s is not None
        assert (await again).connect_s is None


async def test_send_reports_an_endpoint_that_cannot_be_reached():
    async with Endpoint().serving() as (sender, endpoint):
        pass
    exchanged = await send(sender, endpoint)
    assert exchanged.outcome is Outcome.UNREACHABLE
    assert exchanged.execution is Execution.NOT_SENT
