"""Tests of control and entry instances: membership, configuration and requests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import shutil

import pytest

from tests import ports, routed
from yuccapitch.control import coordinator, state_leases


@pytest.fixture
async def group(tmp_path: pathlib.Path):
    created = routed.Group(tmp_path)
    yield created
    await created.aclose()


def configuration(version: int, prefix: str = "/a/", **changes: object) -> bytes:
    route = {
        "host": "shop.example",
        "pathPrefix": prefix,
        "kind": "safe",
        "timeout": "5s",
        "targetLatency": "2s",
        "priority": 1,
        "service": "orders",
        "maxAttempts": 2,
        "sticky": True,
        "homeRegions": [],
        **changes,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 65536,
        "headerTimeout": "3s",
        "idleTimeout": "15s",
    }
    service = {"maxConns": 9, "coldStart": "0s", "coldPerS": 100.0}
    resources = [
        {"resourceKind": "routes", "metadata": {"name": "r"}, "spec": route},
        {"resourceKind": "services", "metadata": {"name": "orders"}, "spec": service},
        {"resourceKind": "limits", "metadata": {}, "spec": limits},
    ]
    return json.dumps({"version": version, "resources": resources}).encode()


async def put(control: routed.Instance, body: bytes):
    target = "/api/config/put"
    return await routed.call(
        control.node_settings.operator_address, "POST", target, body
    )


async def get(control: routed.Instance):
    return await routed.call(
        control.node_settings.operator_address, "GET", "/api/config/get"
    )


def voters(instance: routed.Instance) -> int:
    return len(instance.node._replica.core.members.voters())


def member_ids(instance: routed.Instance) -> list[str]:
    members = instance.node._replica.core.members.members
    return [member.instance_id for member in members]


async def test_group_admits_instances_outside_the_seeds(group):
    seeds = group.seeds(3)
    others = [group.control(), group.control()]
    await group.start()
    for instance in (*seeds, *others):
        await routed.wait_until(lambda: voters(instance) == 5, "five voters")


# Guards against a control instance that counts as a voter after it was replaced, until
# the group can't elect a leader any more.
async def test_group_removes_an_instance_that_was_replaced_at_another_address(group):
    seeds = group.seeds(3)
    others = [group.control(), group.control()]
    await group.start()
    for instance in (*seeds, *others):
        await routed.wait_until(lambda: voters(instance) == 5, "five voters")
    await seeds[0].kill()
    successor = group.control(is_bootstrap=False)
    await successor.start()
    running = (*seeds[1:], *others, successor)
    running_ids = sorted(i.node_settings.instance_id for i in running)
    for instance in running:
        await routed.wait_until(
            lambda: sorted(member_ids(instance)) == running_ids,
            "the members that run",
        )
        await routed.wait_until(lambda: voters(instance) == 5, "five voters again")


async def test_group_accepts_a_configuration_at_any_instance(group):
    seeds = group.seeds(3)
    await group.start()
    first, second = configuration(4), configuration(9, "/b/")
    await routed.wait_for_status(
        200, lambda: put(seeds[0], first), "the first configuration"
    )
    await routed.wait_for_status(
        200, lambda: put(seeds[1], second), "the second configuration"
    )
    # An older version, or the same version with other content, has no effect.
    for body in (first, configuration(9, "/c/")):
        await routed.wait_for_status(
            200, lambda: put(seeds[2], body), "an older configuration"
        )
    for instance in seeds:
        response = await routed.wait_for_status(200, lambda: get(instance), "a read")
        assert response.body == second


async def test_group_keeps_configuration_when_all_instances_are_killed(group):
    seeds = group.seeds(3)
    await group.start()
    body = configuration(4)
    await routed.wait_for_status(
        200, lambda: put(seeds[0], body), "the first configuration"
    )
    for instance in seeds:
        await instance.kill()
    await group.start()
    response = await routed.wait_for_status(200, lambda: get(seeds[1]), "a read")
    assert response.body == body


async def test_group_readmits_an_instance_after_data_loss(group):
    seeds = group.seeds(3)
    await group.start()
    body = configuration(4)
    await routed.wait_for_status(
        200, lambda: put(seeds[0], body), "the first configuration"
    )
    restarted = seeds[1]
    old_identity = restarted.node._replica.core.identity
    await restarted.kill()
    shutil.rmtree(restarted.node_settings.data_dir)
    restarted.node_settings = routed.replace_fields(
        restarted.node_settings, is_bootstrap=False
    )
    await restarted.start()
    new_identity = restarted.node._replica.core.identity
    await routed.wait_until(
        lambda: new_identity in seeds[0].node._replica.core.members.voters(),
        "its new identity",
    )
    assert old_identity not in seeds[0].node._replica.core.members.voters()
    await seeds[2].kill()
    response = await routed.wait_for_status(
        200, lambda: get(restarted), "a read by two of three"
    )
    assert response.body == body


# Guards against the loss of what was acknowledged when a disk is lost while all other
# instances, entry instances too, end at the same moment.
async def test_group_keeps_orders_when_all_end_and_one_loses_its_disk(group):
    seeds = group.seeds(3)
    entry = group.entry()
    await group.start()
    body = configuration(4)
    await routed.wait_for_status(200, lambda: put(seeds[0], body), "a configuration")
    target = "/api/evacuations/north-a/start"
    address = seeds[1].node_settings.operator_address
    await routed.wait_for_status(
        200, lambda: routed.call(address, "POST", target), "an evacuation"
    )
    for instance in (*seeds, entry):
        await instance.kill()
    shutil.rmtree(seeds[0].node_settings.data_dir)
    for seed in seeds:
        seed.node_settings = routed.replace_fields(
            seed.node_settings, is_bootstrap=False
        )
    await group.start()
    for seed in seeds:
        response = await routed.wait_for_status(200, lambda: get(seed), "a read")
        assert response.body == body
    await routed.wait_until(
        lambda: entry.node._dispatcher_inputs.evacuated_domains == {"north-a"},
        "the evacuation at the entry instance",
    )


async def test_group_rejects_reads_without_a_quorum(group):
    seeds = group.seeds(3)
    await group.start()
    body = configuration(4)
    await routed.wait_for_status(
        200, lambda: put(seeds[0], body), "the first configuration"
    )
    for instance in seeds[1:]:
        await instance.kill()
    response = await get(seeds[0])
    assert response.status == 503


async def test_group_rejects_an_invalid_configuration_with_its_errors(group):
    (seed,) = group.seeds(1)
    await group.start()
    response = await put(seed, configuration(4, timeout="0s", maxAttempts=0))
    assert response.status == 400
    reason = json.loads(response.body)["error"]
    assert "timeout" in reason and "attempt" in reason


@contextlib.asynccontextmanager
async def serving(group, *names: str):
    """Run one control and one entry instance that serve these endpoints."""
    (seed,) = group.seeds(1)
    entry = group.entry()
    entry.node_settings = routed.replace_fields(
        entry.node_settings, seed_ids=seed.node_settings.seed_ids
    )
    endpoints = [routed.Endpoint(name) for name in names]
    for endpoint in endpoints:
        await endpoint.start()
    group.source.records = tuple(endpoint.record() for endpoint in endpoints)
    await group.start()
    await routed.wait_for_status(
        200, lambda: put(seed, configuration(1)), "a configuration"
    )
    try:
        yield seed, entry, endpoints
    finally:
        for endpoint in endpoints:
            endpoint.stop()


def send(entry: routed.Instance, request_id: str, target: str = "/a/1"):
    return routed.call(
        entry.node_settings.caller_address,
        "GET",
        target,
        attempt_id=request_id,
        deadline_ms="4000",
    )


async def test_entry_serves_requests_to_configured_routes(group):
    async with serving(group, "e1") as (_, entry, endpoints):
        response = await routed.wait_for_status(
            200, lambda: send(entry, "q1"), "a response"
        )
        assert response.body == b"e1"
        assert response.header(b"server-seal") == b"x"
        assert (await send(entry, "q2", "/b/1")).status == 404
        assert endpoints[0].executed_attempt_ids[-1] == "q1"


async def test_lookup_lists_an_entry_until_it_drains(group):
    async with serving(group, "e1") as (seed, entry, _):
        target = "/api/resolve?name=shop.example&region=north&zone=north-a"

        def look_up():
            return routed.call(seed.node_settings.lookup_address, "GET", target)

        response = await routed.wait_for_status(200, look_up, "a lookup")
        port = entry.node_settings.caller_address.port
        assert json.loads(response.body)["addresses"] == [f"127.0.0.1:{port}"]
        await entry.node.drain(coordinator.boot_time_s())
        await routed.wait_for_status(503, look_up, "no entry")


async def test_entry_avoids_an_evacuated_failure_domain(group):
    async with serving(group, "e1") as (seed, entry, _):
        await routed.wait_for_status(200, lambda: send(entry, "q1"), "a response")
        for verb, status in (("start", 503), ("end", 200)):
            target = f"/api/evacuations/north-a/{verb}"
            response = await routed.call(
                seed.node_settings.operator_address, "POST", target
            )
            assert response.status == 200
            await routed.wait_for_status(status, lambda: send(entry, "q"), verb)


async def test_entry_retries_when_an_endpoint_is_unreachable(group):
    async with serving(group, "e1", "e2") as (_, entry, endpoints):
        await routed.wait_for_status(200, lambda: send(entry, "q1"), "a response")
        endpoints[0].stop()
        for number in range(6):
            response = await send(entry, f"r{number}")
            assert response.status == 200


# Guards against an endpoint in need that gets as many requests as its slots take,
# although it has named a limit that is far lower.
async def test_entry_keeps_to_the_limit_that_an_endpoint_names(group):
    async with serving(group, "e1", "e2") as (_, entry, endpoints):
        limited, _ = endpoints
        limited.rate_limit = "1.5"
        while not limited.executed_attempt_ids:
            await send(entry, "first")
        limited.executed_attempt_ids.clear()
        started_at = asyncio.get_running_loop().time()
        for number in range(100):
            response = await send(entry, f"q{number}")
            assert response.status == 200
        elapsed_s = asyncio.get_running_loop().time() - started_at
        assert len(limited.executed_attempt_ids) <= 1.5 * 1.5 * elapsed_s + 5
        limited.rate_limit = None
        limited.executed_attempt_ids.clear()
        while len(limited.executed_attempt_ids) < 20:
            await send(entry, "later")


async def test_entry_serves_requests_without_a_leader(group):
    async with serving(group, "e1") as (seed, entry, _):
        await routed.wait_for_status(200, lambda: send(entry, "q1"), "a response")
        await seed.kill()
        assert (await send(entry, "q2")).status == 200


# Guards against an acknowledged change while an entry instance that is cut off from the
# leader still acts on the state before it.
async def test_configuration_is_acknowledged_once_a_cut_off_entry_lost_its_lease(group):
    async with serving(group, "e1") as (seed, entry, _):
        await routed.wait_for_status(200, lambda: send(entry, "q1"), "a response")
        routed.cut_off(entry)
        await routed.wait_for_status(
            200, lambda: put(seed, configuration(2, "/b/")), "a second configuration"
        )
        state = entry.node._routing_state
        age_s = coordinator.boot_time_s() - state.confirmed_at
        assert age_s > state_leases.LEASE_DURATION_S


# Guards against requests that are answered by a state of any age.
async def test_cut_off_entry_refuses_what_its_state_cannot_decide(group):
    async with serving(group, "e1") as (seed, entry, _):
        await routed.wait_for_status(200, lambda: send(entry, "q1"), "a response")
        routed.cut_off(entry)
        await routed.wait_for_status(
            200, lambda: put(seed, configuration(2, "/b/")), "a second configuration"
        )
        # A route that was added, and one that was dropped.
        assert (await send(entry, "q2", "/b/1")).status == 503
        await routed.wait_for_status(503, lambda: send(entry, "q3"), "a refusal")


async def test_entry_finds_the_leader_after_a_reload_of_seeds(group):
    async with serving(group, "e1") as (seed, _, _):
        late = group.entry()
        unreachable_seeds = (
            routed.ids.InstanceId(f"127.0.0.1:{ports.free_ports(1)[0]}"),
        )
        late.node_settings = routed.replace_fields(
            late.node_settings, seed_ids=unreachable_seeds
        )
        await late.start()
        assert (await send(late, "q1")).status == 503
        late.node.reload(
            routed.replace_fields(
                late.node_settings, seed_ids=seed.node_settings.seed_ids
            )
        )
        await routed.wait_for_status(200, lambda: send(late, "q2"), "a response")
