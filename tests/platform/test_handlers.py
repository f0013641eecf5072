"""Tests of the handlers of operators' requests."""

from __future__ import annotations

import json
import tracemalloc

import pytest
import result

from tests.platform import test_declaration
from yuccapitch.gateway.http1 import messages
from yuccapitch.platform import handlers

MEBIBYTE = 1024 * 1024
# Memory that one upload may take beside its bytes, in a process of 200 MB.
MAX_DECODED_BYTES = 64 * MEBIBYTE


class FakeControl:
    """Coordinator that commits every order."""

    def __init__(self) -> None:
        self.orders = []

    async def submit(self, order, is_wanted):
        self.orders.append(order)
        return result.Ok(None)


def put(body: bytes) -> messages.Request:
    return messages.Request(b"POST", b"/api/config/put", [], body, 0.0)


# Guards against a control instance that ends by a body of a few MiB, whose values take
# up to 50 times its size once they are decoded.
@pytest.mark.parametrize(
    "value",
    [b"{}", b"[]", b'{"":{}}', b"[" * 900 + b"]" * 900, b"0", b'"ab"', b"[0]"],
    ids=["objects", "lists", "nested", "deep", "numbers", "texts", "lists of one"],
)
async def test_put_bounds_the_memory_of_decoded_values(value):
    count = 8 * MEBIBYTE // (len(value) + 1)
    body = b'{"version":1,"resources":[' + b",".join([value] * count) + b"]}"
    control = FakeControl()
    tracemalloc.start()
    try:
        response = await handlers.operator_handler(control)(put(body))
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_DECODED_BYTES
    assert (response.status, control.orders) == (413, [])
    error = json.loads(response.body)["error"]
    assert "4194304 bytes" in error and "fewer routes" in error


# Guards against the same by a body that is small enough.
async def test_put_refuses_too_many_values():
    body = b'{"version":1,"resources":[' + b",".join([b"{}"] * 500_000) + b"]}"
    control = FakeControl()
    response = await handlers.operator_handler(control)(put(body))
    assert (response.status, control.orders) == (413, [])
    error = json.loads(response.body)["error"]
    assert "300000 values" in error and "fewer routes" in error


# Guards against values whose memory is more than the limit on their number supposes.
@pytest.mark.parametrize(
    "value",
    [b'{"":0}', b'{"":{}}', b"[0]", b'"ab"', b"[" * 900 + b"]" * 900],
    ids=["objects", "nested", "lists of one", "texts", "deep"],
)
async def test_put_bounds_the_memory_of_as_many_values_as_are_allowed(value):
    values = value.count(b"[") + value.count(b"{") + 1
    body = b'{"version":1,"resources":[' + b",".join([value] * (299_000 // values))
    control = FakeControl()
    tracemalloc.start()
    try:
        response = await handlers.operator_handler(control)(put(body + b"]}"))
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert (response.status, control.orders) == (400, [])
    assert peak_bytes < MAX_DECODED_BYTES


# Guards against an answer and a log that are many times as large as the upload, as each
# error contains a name of its length.
async def test_put_bounds_the_size_of_the_errors():
    resource = {"resourceKind": "routes", "metadata": {"name": "x" * 100_000}}
    resources = [{**resource, "spec": {"kind": "safe"}}] * 30
    body = json.dumps({"version": 1, "resources": resources}).encode()
    response = await handlers.operator_handler(FakeControl())(put(body))
    assert response.status == 400
    assert len(response.body) < 100_000
    assert "more errors" in json.loads(response.body)["error"]


async def test_put_accepts_thousands_of_routes():
    routes = [
        test_declaration.route(pathPrefix=f"/orders-{number}/")
        for number in range(8_000)
    ]
    body = test_declaration.content(*routes)
    control = FakeControl()
    response = await handlers.operator_handler(control)(put(body))
    assert (response.status, len(control.orders)) == (200, 1)
