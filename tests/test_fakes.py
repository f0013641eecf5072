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


async def test_endpoint_responds_to_each_request(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession, tmp_path: pathlib.Path
) -> None:
    headers = {"Idempotency-Key": "k1"}
    async with client.post(
        url(fake, "/work?bytes=100001"), data=b"x" * 9999, headers=headers
    ) as response:
        assert await response.read() == endpoint.response_body("k1", 100001)
        assert response.headers["Request-Id"] == "k1"
        digest = hashlib.sha256(b"x" * 9999).hexdigest()
        assert response.headers["Request-Body-Sha256"] == digest
        expected = "in_flight=1;slots=4;state=serving"
        assert response.headers["Yuccapitch-Load"] == expected
    assert steps(fake) == [journal.Step.BEGIN, journal.Step.END]
    assert journal.read(tmp_path / "journal") == fake.journal.entries


async def test_endpoint_sheds_requests(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(shed_ratio=1)
    async with client.get(url(fake)) as response:
        assert response.status == 503
        assert response.headers["Yuccapitch-Endpoint-Shed"] == "1"
    assert steps(fake) == [journal.Step.SHED]


async def test_endpoint_limits_concurrency_to_slots(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(slots=2, mean_s=0.005)
    await asyncio.gather(*(client.get(url(fake)) for _ in range(6)))
    running = max_running = 0
    for step in steps(fake):
        running += 1 if step is journal.Step.BEGIN else -1
        max_running = max(max_running, running)
    assert (max_running, fake.watermark, fake.in_flight) == (2, 6, 0)


@pytest.mark.parametrize("kind", ["length", "chunked"])
async def test_endpoint_truncates_responses(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession, kind: str
) -> None:
    fake.set_behaviour(truncation=kind)
    with pytest.raises(aiohttp.ClientPayloadError):
        async with client.get(url(fake)) as response:
            await response.read()


async def test_endpoint_records_cancellation(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(stall="head")
    exchange = asyncio.ensure_future(client.get(url(fake)))
    await wait_until(fake, journal.Step.BEGIN)
    exchange.cancel()
    await wait_until(fake, journal.Step.CANCEL)


async def test_endpoint_stall_ends_when_behaviour_changes(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(stall="body")
    async with client.get(url(fake)) as response:
        fake.set_behaviour(stall="none")
        assert len(await response.read()) == 256


async def test_endpoint_blackholes_connections(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(stall="head")
    started = asyncio.ensure_future(client.get(url(fake)))
    await wait_until(fake, journal.Step.BEGIN)
    assert fake.blackhole_connections() == 1
    fake.set_behaviour(stall="none")
    async with aiohttp.ClientSession() as other:
        for _ in range(20):
            async with other.get(url(fake, "/probe")) as response:
                assert response.status == 200
    assert not started.done()
    assert journal.Step.END not in steps(fake)
    started.cancel()


async def test_endpoint_warms_up(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    fake.set_behaviour(cold_requests=1)
    states = []
    for _ in range(2):
        async with client.get(url(fake, "/probe")) as response:
            states.append((await response.json())["state"])
        await client.get(url(fake))
    assert states == ["cold", "serving"]


async def test_endpoint_control_changes_behaviour(
    fake: endpoint.FakeEndpoint, client: aiohttp.ClientSession
) -> None:
    change = {"draining": True, "report_in_flight": 99}
    async with client.post(url(fake, "/control"), json=change) as response:
        assert (await response.json())["draining"] is True
    async with client.get(url(fake, "/probe")) as response:
        report = {"in_flight": 99, "slots": 4, "state": "draining"}
        assert await response.json() == report
    async with client.post(url(fake, "/control"), json={"slot": 1}) as response:
        assert response.status == 400


@pytest.mark.processes
async def test_endpoint_runs_as_process(
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
        async with client.get(
            f"http://127.0.0.1:{port}/x", headers=headers
        ) as response:
            assert "slots=7" in response.headers["Yuccapitch-Load"]
    finally:
        process.terminate()
        assert await process.wait() == 0
    assert [entry.key for entry in journal.read(path)] == ["r1", "r1"]


def test_every_delay_distribution_has_a_function() -> None:
    assert set(behaviour.DELAY_FUNCTIONS_BY_KIND) == set(behaviour.DelayDistribution)


async def test_platform_list_lags(client: aiohttp.ClientSession) -> None:
    fake = platform.FakePlatform(lag_s=5)
    fake.set_instances({"e1": platform.InstanceState.LIVE}, now=100)
    fake.set_instances({"e1": platform.InstanceState.LEAVING}, now=110)
    assert fake.published(now=104) == (0.0, {})
    assert fake.published(now=114) == (100, {"e1": platform.InstanceState.LIVE})
    assert fake.published(now=115) == (110, {"e1": platform.InstanceState.LEAVING})
    async with platform.running(fake) as port:
        async with client.get(f"http://127.0.0.1:{port}/instances") as response:
            assert await response.json() == {
                "as_of_unix_ms": 110_000,
                "instances": [{"id": "e1", "state": "leaving"}],
            }
