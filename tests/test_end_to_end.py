"""Separate control and entry processes serve requests end to end."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import signal
import time

import pytest

from tests import callers, declarations, processes, request_history
from tests.fakes import behaviour, endpoint as fake_endpoint

pytestmark = pytest.mark.processes


async def test_end_to_end_serves_a_request(cluster: processes.Cluster) -> None:
    cluster.add(
        {"control-1": "domain-1"}, {"entry-1": "domain-1", "entry-2": "domain-2"}
    )
    cluster.start()
    entry = cluster.processes_by_id["entry-2"]
    async with fake_endpoint.running(fake_endpoint.FakeEndpoint()) as port:
        declaration = declarations.small(cluster.instances(), {"shop-1": port})
        await cluster.apply(declaration)
        await cluster.wait_until_ready(*cluster.of_role("entry"))
        url = entry.url + "/v1/entries?service=shop&client=192.0.2.1"

        async def both_are_listed() -> bool:
            _, payload = await cluster.get(url)
            names = {line["instance"] for line in payload["entries"]}
            return names == {"entry-1", "entry-2"}

        await cluster.wait_until("the lookup returns both instances", both_are_listed)
        async with cluster.session.get(
            entry.url + "/s/shop/designs?bytes=500000", headers={"Request-Id": "r-1"}
        ) as response:
            body = await response.read()
        assert response.headers["Yuccapitch-Outcome"] == "answered", body
        assert body == fake_endpoint.response_body("r-1", 500_000)


async def test_end_to_end_keeps_uploads(cluster: processes.Cluster) -> None:
    cluster.add(
        {"control-1": "domain-1"},
        {"entry-1": "domain-1", "entry-2": "domain-2", "entry-3": "domain-2"},
    )
    cluster.start()
    history: list[callers.Attempt] = []
    fake = fake_endpoint.FakeEndpoint("shop-1")
    async with fake_endpoint.running(fake) as port:
        declaration = declarations.small(cluster.instances(), {"shop-1": port})
        await cluster.apply(declaration)
        await cluster.wait_until_ready(*cluster.of_role("entry"))
        caller = callers.Caller(
            "upload", "upload", cluster, "east", random.Random(1), history
        )
        for _ in range(10):
            await caller.send_request()
    assert request_history.find_violations(history, [fake]) == []
    assert [attempt.code for attempt in history] == [""] * 10


async def test_end_to_end_survives_a_kill_and_a_stop_under_load(
    cluster: processes.Cluster,
) -> None:
    cluster.add(
        {"control-1": "domain-1"},
        {"entry-1": "domain-1", "entry-2": "domain-2", "entry-3": "domain-2"},
    )
    cluster.start()
    rng = random.Random(20261204)
    history: list[callers.Attempt] = []
    async with contextlib.AsyncExitStack() as stack:
        fakes = [
            fake_endpoint.FakeEndpoint(
                f"shop-{number}", behaviour.Behaviour(mean_s=0.05), seed=number
            )
            for number in (1, 2, 3)
        ]
        ports = {
            fake.endpoint_id: await stack.enter_async_context(
                fake_endpoint.running(fake)
            )
            for fake in fakes
        }
        declaration = declarations.small(cluster.instances(), ports)
        await cluster.apply(declaration)
        await cluster.wait_until_ready(*cluster.of_role("entry"))
        deadline = time.monotonic() + 12
        load = [
            asyncio.create_task(
                callers.Caller(
                    f"{kind}-{number}-{index}", kind, cluster, "east", rng, history
                ).run(deadline)
            )
            for index, kind in enumerate(("read", "read", "order", "upload"))
            for number in range(2)
        ]
        await asyncio.sleep(2)
        killed = cluster.processes_by_id["entry-1"]
        killed.kill()
        await asyncio.sleep(2)
        killed.start()
        stopped = cluster.processes_by_id["entry-2"]
        stopped.signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        stopped.signal(signal.SIGTERM)
        assert await stopped.wait(30) == 0
        await asyncio.gather(*load)
        for kind in ("read", "order", "upload"):
            caller = callers.Caller(
                f"after-{kind}", kind, cluster, "east", rng, history
            )
            await cluster.wait_until(
                f"a {kind} is answered again", caller.request_succeeds
            )
    assert request_history.find_violations(history, fakes) == []
    lost_attempts = [a for a in history if a.entry == "entry-2" and a.outcome == "lost"]
    lost_ids = {attempt.request_id for attempt in lost_attempts}
    # If the check fails, it shows all attempts of the lost requests.
    assert [attempt for attempt in history if attempt.request_id in lost_ids] == []
    print(collections.Counter((attempt.kind, attempt.outcome) for attempt in history))
