from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import random
from collections.abc import Iterator

import pytest
from aiohttp import web

from tests import catalogue_sample
from yuccapitch.catalogue import ids
from yuccapitch.control import lease_client
from yuccapitch.gateway import config_view, metrics as gateway_metrics, pool_service
from yuccapitch.node import entry_role, settings_table
from yuccapitch.protocol import link, peers as inner_peers


@pytest.fixture
def role() -> Iterator[entry_role.EntryRole]:
    """Yield a role that is not started, whose clock advances with each reading."""
    settings = settings_table.Settings(drain_linger_s=0.0)
    address = inner_peers.Address("127.0.0.1", 1)
    metrics = gateway_metrics.Metrics()
    ticks = itertools.count()
    dependencies = entry_role.EntryRoleDependencies(
        settings,
        inner_peers.Peers(settings.instance_id, link.LinkTiming(), None),
        lease_client.InstanceDescription(
            settings.instance_id, 1, settings.failure_domain, address, address
        ),
        metrics,
        lambda: float(next(ticks)),
        random.Random(1),
        print,
    )
    yield entry_role.EntryRole(dependencies)
    metrics.close()


# Guards against a stop without end: a client that does not read its response keeps
# the request in flight.
@pytest.mark.timeout(30)
async def test_drain_does_not_wait_beyond_the_deadlines_of_requests(
    role: entry_role.EntryRole,
    logged: list[dict[str, object]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(role, "_cached_response_lifetime_s", lambda: 0.0)
    role.state.view = config_view.ConfigView(
        ids.Version(1), catalogue_sample.declaration()
    )
    role.state.in_flight = 1
    await role.drain()
    assert [
        message["in_flight"]
        for message in logged
        if message.get("message_type") == "entry.drain-finished"
    ] == [1]


# Guards against requests that outlive the lease while an instance ends because of a
# failure of its pools.
@pytest.mark.timeout(30)
async def test_requests_are_aborted_after_the_lease_if_the_pools_fail(
    role: entry_role.EntryRole, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail() -> None:
        raise AssertionError("injected")

    failures: list[str] = []
    aborted = asyncio.Event()
    monkeypatch.setattr(pool_service, "TICK_INTERVAL_S", 0.0)
    monkeypatch.setattr(role._pools, "tick", fail)
    monkeypatch.setattr(role._request_path, "abort_all", aborted.set)
    dependencies = dataclasses.replace(role._dependencies, on_failed=failures.append)
    monkeypatch.setattr(role, "_dependencies", dependencies)
    async with contextlib.AsyncExitStack() as stack:
        await role.start(web.Application(), stack)
        while not failures:
            await asyncio.sleep(0)
        aborted.clear()
        await aborted.wait()
    assert failures == ["AssertionError('injected')"]
