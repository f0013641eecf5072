"""Tests of the fake endpoint and the fake platform."""

from __future__ import annotations

import asyncio
import hashlib
import os
import pathlib
import sys
from collections.abc import AsyncIterator

import aiohttp
import pytest

from tests.fakes import behaviour, endpoint, journal, platform

ROOT = pathlib.Path(__file__).parents[1]


@pytest.fixture
async def client() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
async def fake(tmp_path: pathlib.Path) -> AsyncIterator[endpoint.FakeEndpoint]:
    built = endpoint.FakeEndpoint("e1", journal_path=tmp_path / "journal")
    async with endpoint.running(built):
        yield built


def url(fake: endpoint.FakeEndpoint, path: str = "/work") -> str:
    return f"http://127.0.0.1:{fake.runner.addresses[0][1]}{path}"


def steps(fake: endpoint.FakeEndpoint) -> list[journal.Step]:
    return [entry.step for entry in fake.journal.entries]


async def wait_until(fake: endpoint.FakeEndpoint, step: journal.Step) -> None:
    while step not in steps(fake):
        await asyncio.sleep(0.001)


async def test_endpoint_answers_own_request(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession, tmp_path: pathlib.Path
) -> None:
    headers = {"Idempotency-Key": "k1"}
    async with client.post(
        url(fake, "/work?bytes=100001"), data=b"x" * 9999, headers=headers
    ) as answer:
        assert await answer.read() == endpoint.response_body("k1", 100001)
        assert answer.headers["Request-Id"] == "k1"
        digest = hashlib.sha256(b"x" * 9999).hexdigest()
        assert answer.headers["Request-Body-Sha256"] == digest
        expected = "in_flight=1;slots=4;state=serving"
        assert answer.headers["Yuccapitch-Load"] == expected
    assert steps(fake) == [journal.Step.BEGIN, journal.Step.END]
    assert journal.read(tmp_path / "journal") == fake.journal.entries


async def test_endpoint_sheds(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(shed_ratio=1)
    async with client.get(url(fake)) as answer:
        assert answer.status == 503
        assert answer.headers["Yuccapitch-Endpoint-Shed"] == "1"
    assert steps(fake) == [journal.Step.SHED]


async def test_endpoint_keeps_to_its_slots(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(slots=2, mean_s=0.005)
    await asyncio.gather(*(client.get(url(fake)) for _ in range(6)))
    running = most = 0
    for step in steps(fake):
        running += 1 if step is journal.Step.BEGIN else -1
        most = max(most, running)
    assert (most, fake.watermark, fake.in_flight) == (2, 6, 0)


@pytest.mark.parametrize("kind", ["length", "chunked"])
async def test_endpoint_truncates(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession, kind: str
) -> None:
    fake.set_behaviour(truncation=kind)
    with pytest.raises(aiohttp.ClientPayloadError):
        async with client.get(url(fake)) as answer:
            await answer.read()


async def test_endpoint_notes_cancellation(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(stall="head")
    exchange = asyncio.ensure_future(client.get(url(fake)))
    await wait_until(fake, journal.Step.BEGIN)
    exchange.cancel()
    await wait_until(fake, journal.Step.CANCEL)


async def test_endpoint_stall_ends_with_behaviour(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(stall="body")
    async with client.get(url(fake)) as answer:
        fake.set_behaviour(stall="none")
        assert len(await answer.read()) == 256


async def test_endpoint_forgets_connections(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(stall="head")
    started = asyncio.ensure_future(client.get(url(fake)))
    await wait_until(fake, journal.Step.BEGIN)
    assert fake.blackhole_connections() == 1
    fake.set_behaviour(stall="none")
    async with aiohttp.ClientSession() as other:
        for _ in range(20):
            async with other.get(url(fake, "/probe")) as answer:
                assert answer.status == 200
    assert not started.done()
    assert journal.Step.END not in steps(fake)
    started.cancel()


async def test_endpoint_warms_up(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(cold_requests=1)
    states = []
    for _ in range(2):
        async with client.get(url(fake, "/probe")) as answer:
            states.append((await answer.json())["state"])
        await client.get(url(fake))
    assert states == ["cold", "serving"]


async def test_endpoint_control(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    change = {"draining": True, "report_in_flight": 99}
    async with client.post(url(fake, "/control"), json=change) as answer:
        assert (await answer.json())["draining"] is True
    async with client.get(url(fake, "/probe")) as answer:
        report = {"in_flight": 99, "slots": 4, "state": "draining"}
        assert await answer.json() == report
    async with client.post(url(fake, "/control"), json={"slot": 1}) as answer:
        assert answer.status == 400


@pytest.mark.processes
async def test_endpoint_as_process(
    client: aiohttp.ClientSession, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "journal"
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "tests.fakes.endpoint", "--journal", str(path)),
        *("--behaviour", '{"slots": 7}'),
        stdout=asyncio.subprocess.PIPE,
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
    )
    try:
        assert process.stdout is not None
        port = int(await process.stdout.readline())
        headers = {"Request-Id": "r1"}
        async with client.get(f"http://127.0.0.1:{port}/x", headers=headers) as answer:
            assert "slots=7" in answer.headers["Yuccapitch-Load"]
    finally:
        process.terminate()
        assert await process.wait() == 0
    assert [entry.key for entry in journal.read(path)] == ["r1", "r1"]


def test_behaviour_delays_are_complete() -> None:
    assert set(behaviour.DELAY_FUNCTIONS_BY_KIND) == set(behaviour.DelayDistribution)


async def test_platform_list_lags(client: aiohttp.ClientSession) -> None:
    fake = platform.FakePlatform(lag_s=5)
    fake.set_instances({"e1": platform.InstanceState.LIVE}, now=100)
    fake.set_instances({"e1": platform.InstanceState.LEAVING}, now=110)
    assert fake.published(now=104) == (0.0, {})
    assert fake.published(now=114) == (100, {"e1": platform.InstanceState.LIVE})
    assert fake.published(now=115) == (110, {"e1": platform.InstanceState.LEAVING})
    async with platform.running(fake) as port:
        async with client.get(f"http://127.0.0.1:{port}/instances") as answer:
            assert await answer.json() == {
                "as_of_unix_ms": 110_000,
                "instances": [{"id": "e1", "state": "leaving"}],
            }
