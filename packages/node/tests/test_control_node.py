"""Tests of a control instance without its group."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import socket
import time
from unittest import mock

import pytest

from yuccapitch.catalogue import ids, routes
from yuccapitch.control import coordinator
from yuccapitch.gateway.front import request_path
from yuccapitch.gateway.http1 import memory_budget, messages, server
from yuccapitch.node.routed import control_node, server_limits, settings, timing


class FakeAdapter:
    """Adapter without endpoints and with handlers that answer with nothing."""

    def endpoint_source(self):
        return None

    def operator_handler(self, control):
        return answer_nothing

    def lookup_handler(self, directory):
        return answer_nothing


async def answer_nothing(request: messages.Request) -> messages.Response:
    return messages.Response(200, [], b"")


@pytest.fixture
def node(tmp_path: pathlib.Path) -> control_node.ControlNode:
    node_settings = settings.RoutedSettings(
        instance_id=ids.InstanceId("10.0.0.1:7000"),
        name="control-1",
        inner_address=settings.ListenAddress("10.0.0.1", 7000),
        region_id=ids.RegionId("north"),
        failure_domain=ids.FailureDomainId("north-a"),
        region_by_domain={},
        seed_ids=(ids.InstanceId("10.0.0.1:7000"),),
        is_bootstrap=True,
        stop_grace_s=20.0,
        lookup_ttl_s=1.0,
        retry_budget=request_path.FleetRetryBudget(0.2, 60.0, 10.0),
        data_dir=tmp_path,
    )
    return control_node.ControlNode(
        node_settings, FakeAdapter(), contextlib.AsyncExitStack(), print
    )


def listen_on(node: control_node.ControlNode, *fields: str) -> None:
    addresses = {field: settings.ListenAddress("127.0.0.1", 0) for field in fields}
    node._node_settings = dataclasses.replace(node._node_settings, **addresses)


# Guards against a control instance whose servers each hold as many bytes as the process
# may, so that uploads and lookups without end together take it beyond its memory.
async def test_servers_share_the_memory_that_the_settings_allow(node):
    listen_on(node, "operator_address", "lookup_address", "metrics_address")
    async with node._stack:
        await node._listen()
        budgets = {server._state.budget for server in node._servers}
    assert len(node._servers) == 3
    limit_bytes = node._node_settings.memory_limit_bytes
    # Lookups and scrapes share a small one, which orders can't use up.
    assert sorted(budget.max_bytes for budget in budgets) == [
        server_limits.MAX_QUERIES_BYTES,
        memory_budget.buffered_bytes(limit_bytes),
    ]


# Guards against uploads that are received up to 64 MiB, though they are of no use.
@pytest.mark.parametrize(
    ("field", "size_bytes"),
    [
        ("operator_address", 9 * 1024 * 1024),
        ("lookup_address", 100_000),
        ("metrics_address", 100_000),
    ],
)
async def test_servers_refuse_bodies_that_are_of_no_use(node, field, size_bytes):
    listen_on(node, field)
    async with node._stack:
        await node._listen()
        port = node._servers[0]._listener.address[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % size_bytes + b"x" * size_bytes)
        async with asyncio.timeout(60):
            status_line = await reader.readline()
        writer.transport.abort()
    assert status_line.split()[1] == b"413"


# Guards against an order that a control instance has read and leaves without a response
# because it is stopped while the order is being committed.
async def test_drain_answers_requests_in_progress(node, monkeypatch):
    is_committed = asyncio.Event()

    async def commit(request: messages.Request) -> messages.Response:
        await is_committed.wait()
        return messages.Response(200, [], b"done")

    monkeypatch.setattr(control_node, "STOP_NOTICE_S", 0.0)
    monkeypatch.setattr(control_node, "MAX_FINISH_S", 15.0)
    operators = server.Server(commit, node._clock, routes.CallerLimits)
    port = await operators.start("127.0.0.1", 0)
    node._servers.append(operators)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    while not operators.requests_in_flight:
        await asyncio.sleep(0)
    drain = asyncio.create_task(node.drain(coordinator.boot_time_s()))
    while operators.is_listening:
        await asyncio.sleep(0)
        assert not drain.done()
    is_committed.set()
    async with asyncio.timeout(60):
        await drain
        received = await reader.read(-1)
    writer.close()
    assert operators.find_unfinished() == []
    assert received.endswith(b"done")


# Guards against a leader that stops but leads on for the whole grace, because a client
# has not sent the rest of its request.
async def test_drain_does_not_wait_for_a_slow_client(node, monkeypatch):
    monkeypatch.setattr(control_node, "STOP_NOTICE_S", 0.0)
    monkeypatch.setattr(control_node, "MAX_FINISH_S", 0.1)
    node._node_settings = dataclasses.replace(node._node_settings, stop_grace_s=600.0)
    operators = server.Server(None, node._clock, routes.CallerLimits)
    port = await operators.start("127.0.0.1", 0)
    node._servers.append(operators)
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
    while not operators.connection_count:
        await asyncio.sleep(0)
    async with asyncio.timeout(60):
        await node.drain(coordinator.boot_time_s())
    assert operators.connection_count == 1
    writer.close()


# Guards against a lookup or an order that the kernel has received when a control
# instance stops, and that is reset because the event loop runs late.
@pytest.mark.parametrize("is_connected", [False, True])
async def test_stop_of_a_late_event_loop_answers_what_is_unread(
    node, monkeypatch, is_connected
):
    async def answer(request: messages.Request) -> messages.Response:
        return messages.Response(200, [], b"done")

    monkeypatch.setattr(control_node, "STOP_NOTICE_S", 0.0)
    operators = server.Server(answer, node._clock, routes.CallerLimits)
    port = await operators.start("127.0.0.1", 0)
    node._servers.append(operators)
    with socket.create_connection(("127.0.0.1", port)) as client:
        client.settimeout(20)
        while is_connected and not operators.connection_count:
            await asyncio.sleep(0)
        client.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        # Each iteration of the event loop takes longer than the checks of a stop wait.
        late = asyncio.create_task(delay_event_loop(0.1))
        async with asyncio.timeout(60):
            # The grace of 20 s is over.
            await node.drain(coordinator.boot_time_s() - 20.0)
            await operators.aclose()
        late.cancel()
        received = client.recv(1000)
    assert received.endswith(b"done")


# Guards against a control instance that is killed before it has answered, as it counts
# the grace from when it handled a late signal.
async def test_drain_counts_the_grace_from_before_a_late_signal(node, monkeypatch):
    monkeypatch.setattr(control_node, "STOP_NOTICE_S", 0.0)
    finish = mock.AsyncMock()
    node._servers.append(mock.Mock(finish=finish, requests_in_flight=0))
    handled_at = coordinator.boot_time_s()
    # The grace is 20 s.
    await node.drain(handled_at, 0.0, 19.0)
    finish.assert_awaited_once_with(
        pytest.approx(handled_at + 1.0 - timing.EXIT_MARGIN_S)
    )


async def delay_event_loop(duration_s: float) -> None:
    while True:
        await asyncio.sleep(0)
        time.sleep(duration_s)


# Guards against messages of other instances that take more than the process has.
async def test_links_allow_what_the_process_can_hold(node):
    assert node._links._budget.max_frame_bytes == 8 * 1024 * 1024
