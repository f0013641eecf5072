"""Separate processes serve requests from end to end."""

from __future__ import annotations

import pytest

from tests import declarations, processes
from tests.fakes import endpoint as fake_endpoint

pytestmark = pytest.mark.processes


async def test_whole_path_serves_a_request(cluster: processes.Cluster) -> None:
    cluster.add(
        {"control-1": "domain-1"}, {"entry-1": "domain-1", "entry-2": "domain-2"}
    )
    cluster.start()
    entry = cluster.processes_by_id["entry-2"]
    async with fake_endpoint.running(fake_endpoint.FakeEndpoint()) as port:
        declaration = declarations.small(cluster.instances(), {"shop-1": port})
        await cluster.apply(declaration)
        await cluster.until_ready(*cluster.of_role("entry"))
        status, answer = await cluster.get(
            entry.url + "/v1/entries?service=shop&client=192.0.2.1"
        )
        assert status == 200
        assert {line["instance"] for line in answer["entries"]} == {
            "entry-1",
            "entry-2",
        }
        async with cluster.session.get(
            entry.url + "/s/shop/designs?bytes=500000", headers={"Request-Id": "r-1"}
        ) as response:
            body = await response.read()
        assert response.headers["Yuccapitch-Outcome"] == "answered"
        assert body == fake_endpoint.answer_body("r-1", 500_000)
