"""Tests of the operators' HTTP API, over an in-memory catalogue."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import test_utils, web

from tests import catalogue_sample, memory_backend
from yuccapitch.catalogue import changes, state
from yuccapitch.control import operator_api

MEBIBYTE = 1024 * 1024
NOW_S = catalogue_sample.DECEMBER_MS / 1000


@pytest.fixture
def backend() -> memory_backend.MemoryBackend:
    return memory_backend.MemoryBackend(state.CatalogueState(), lambda: NOW_S)


@pytest.fixture
async def client(
    backend: memory_backend.MemoryBackend,
) -> AsyncIterator[test_utils.TestClient[web.Request, web.Application]]:
    app = web.Application(client_max_size=operator_api.MAX_BODY_BYTES)
    app.add_routes(operator_api.OperatorApi(backend, lambda: NOW_S).routes())
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:
        yield client


def json_body(change: changes.Change) -> dict[str, Any]:
    return change.model_dump(mode="json", by_alias=True)


async def test_change_outcomes_map_to_http_statuses(client: Any) -> None:
    first = catalogue_sample.change("first", 0, catalogue_sample.declaration())
    response = await client.post("/v1/catalogue/changes", json=json_body(first))
    assert response.status == 200
    assert (await response.json())["outcome"] == {"outcome": "accepted", "version": 1}
    late = catalogue_sample.change("late", 0, catalogue_sample.declaration())
    response = await client.post("/v1/catalogue/changes", json=json_body(late))
    assert response.status == 409
    assert (await response.json())["outcome"]["winning_change_id"] == "first"
    unsigned = {**json_body(late), "change_id": "other", "signature": ""}
    response = await client.post("/v1/catalogue/changes", json=unsigned)
    assert response.status == 422
    head = (await (await client.get("/v1/audit")).json())["head_sequence"]
    assert head == 2


async def test_read_on_follower_names_leader(client: Any, backend: Any) -> None:
    backend.leader = "http://127.0.0.1:1"
    for path in ("/v1/catalogue", "/v1/audit", "/v1/catalogue/versions/1"):
        response = await client.get(path)
        assert response.status == 421
        assert (await response.json())["leader"] == backend.leader
    assert (await client.get("/v1/catalogue?stale=1")).status == 200
    status = await (await client.get("/v1/status")).json()
    assert status["in_force"] is None


async def test_plan_names_the_owner_in_turn(client: Any, backend: Any) -> None:
    first = catalogue_sample.change("first", 0, catalogue_sample.declaration())
    await backend.submit(first)
    data = catalogue_sample.plain()
    data["regions"]["north"]["capacity"] = 60
    response = await client.post(
        "/v1/catalogue/plan", json={"declaration": data, "owner": "amber"}
    )
    plan = await response.json()
    assert plan["owner_in_turn"] == "birch"
    assert [item["entry_id"] for item in plan["differences"]] == ["north"]
    assert [fault["path"] for fault in plan["faults"]] == ["regions.north"]


async def test_invalid_body_lists_faults(client: Any) -> None:
    response = await client.post("/v1/catalogue/plan", data=b'{"declaration": {}}')
    assert response.status == 400
    paths = {fault["path"] for fault in (await response.json())["faults"]}
    assert "declaration.owners" in paths


async def test_unknown_version_is_not_found(client: Any) -> None:
    assert (await client.get("/v1/catalogue/versions/7")).status == 404
    assert (await client.get("/v1/catalogue/versions/x")).status == 400


# Guards against a change that no frame can carry to the other control instances: the
# leader would send it again and again, and nothing after it.
@pytest.mark.parametrize("path", ["/v1/catalogue/changes", "/v1/catalogue/plan"])
async def test_body_above_the_limit_is_refused(client: Any, path: str) -> None:
    response = await client.post(path, data=bytes(57 * MEBIBYTE))
    assert response.status == 413
    body = await response.json()
    assert "58720256 bytes" in body["message"]
    assert "smaller" in body["next_step"]


# Guards against an instance that ends by several uploads at once, each of which is
# within the limit.
async def test_bodies_share_a_limit(client: Any) -> None:
    is_released = asyncio.Event()

    async def unfinished() -> AsyncIterator[bytes]:
        for _ in range(40):
            yield bytes(MEBIBYTE)
        await is_released.wait()

    path = "/v1/catalogue/changes"
    uploads = [
        asyncio.create_task(client.post(path, data=unfinished())) for _ in range(3)
    ]
    async with asyncio.timeout(60):
        done, _ = await asyncio.wait(uploads, return_when=asyncio.FIRST_COMPLETED)
    response = done.pop().result()
    assert response.status == 503
    assert (await response.json())["error"] == "unavailable"
    is_released.set()
    for upload in uploads:
        await asyncio.wait([upload])
    # What the refused upload held is free again.
    assert (await client.post(path, data=bytes(50 * MEBIBYTE))).status == 400


# Guards against an instance that ends by a body of a few MiB, whose values and the
# errors in them take hundreds of times its size.
@pytest.mark.parametrize(
    ("beginning", "value", "named"),
    [
        ("[", "{}", "100000 lists, objects and fields"),
        ("{", '"a" : 0', "100000 lists, objects and fields"),
        ("[", "0", "4000000 values"),
    ],
    ids=["objects", "fields", "numbers"],
)
async def test_body_of_too_many_values_is_refused(
    client: Any, beginning: str, value: str, named: str
) -> None:
    values = ",".join([value] * (9 * MEBIBYTE // (len(value) + 1)))
    end = "]" if beginning == "[" else "}"
    body = '{"declaration":{"regions":' + beginning + values + end + "}}"
    response = await client.post("/v1/catalogue/plan", data=body.encode())
    assert response.status == 413
    refusal = await response.json()
    assert named in refusal["message"] and "smaller" in refusal["next_step"]


# The size to design for.
async def test_body_with_all_client_blocks_is_decoded(client: Any) -> None:
    blocks = ",".join([f'"2001:db8:{number:x}::/48"' for number in range(60_000)] * 40)
    body = '{"declaration":{"regions":[' + blocks + "]}}"
    response = await client.post("/v1/catalogue/plan", data=body.encode())
    assert response.status == 400
