"""Coordinator with a stub of the replica, links and the platform's list."""

from __future__ import annotations

import asyncio
import math
import types

import result

from yuccapitch.control import compressed_lists, coordinator, endpoint_reading, orders
from yuccapitch.protocol import subscription_messages as messages

A, B = "10.0.0.1:7000", "10.0.0.2:7000"
DOMAIN = "north-a"


def record(endpoint_id: str) -> messages.EndpointRecord:
    return messages.EndpointRecord(
        endpoint_id, "orders", "10.0.1.1", 80, "north-a", 4, False, 0, 0, "north"
    )


class FakeLinks:
    def __init__(self) -> None:
        self.handlers_by_type: dict[type, object] = {}
        self.sent: list[tuple[str, object]] = []
        self.requests: list[object] = []
        self.replies: list[object] = []

    async def request(self, peer_id, message, timeout_s):
        self.requests.append(message)
        return result.Ok(self.replies.pop(0))

    def handle(self, message_type, handler) -> None:
        self.handlers_by_type[message_type] = handler

    def set_address(self, peer_id, address) -> None:
        return

    def send(self, peer_id, message) -> bool:
        self.sent.append((peer_id, message))
        return True


class FakeEndpointSource:
    """Endpoint list with four endpoints in the south and none in the north."""

    def __init__(self) -> None:
        self.reads = 0
        self.failure_domains = ("north-a", "south-a")
        self.max_calls_per_s = math.inf
        self.before_answer = lambda: None
        self.records = tuple(
            messages.EndpointRecord(
                f"e{n}", "orders", "10.0.1.1", 80, "south-a", 4, False, 0, 0, "south"
            )
            for n in range(4)
        )

    async def read(self, failure_domain=None):
        assert failure_domain is None, "a short list is read whole"
        self.reads += 1
        self.before_answer()
        return result.Ok(endpoint_reading.ListReading(self.records, 1))


class CoordinatorHarness:
    """Coordinator whose leadership is confirmed until second 10."""

    def __init__(self) -> None:
        self.now = 9.0
        self.links = FakeLinks()
        self.state = orders.OrderState()
        self.source = FakeEndpointSource()
        self.coordinator = coordinator.Coordinator(
            A, self.state, self.links, self.source, lambda: self.now
        )
        members = types.SimpleNamespace(members=())
        self.replica = types.SimpleNamespace(
            core=types.SimpleNamespace(term=3, members=members, commit_index=0),
            applied_index=0,
            is_leader=True,
            leader_id=A,
            leader_lease_expires_at=10.0,
            propose=self.propose,
        )
        self.coordinator.attach(self.replica, self.heartbeat)

    async def propose(self, command: bytes):
        """Commit at once, like a group whose majority answers."""
        return result.Ok(self.state.apply(self.state.index + 1, command))

    def declare(self, revision: int) -> asyncio.Task:
        """Start to submit routes with a revision."""
        order = messages.RouteDeclaration(revision, b"routes")
        return asyncio.ensure_future(self.coordinator.submit(order, lambda: True))

    def evacuate(
        self, is_evacuated: bool, is_awaited=lambda: True
    ) -> asyncio.Task[result.Result[None, str]]:
        """Start to submit an order for the domain ``DOMAIN``."""
        order = messages.EvacuationOrder(DOMAIN, is_evacuated)
        return asyncio.ensure_future(self.coordinator.submit(order, is_awaited))

    def report_applied(self, instance_id: str, state_index: int) -> None:
        """Deliver the report that an instance acts on a state."""
        handler = self.links.handlers_by_type[messages.StateApplied]
        handler(instance_id, messages.StateApplied(state_index))

    def advance_clock(self, duration_s: float) -> None:
        self.now += duration_s

    def heartbeat(self) -> messages.PollRequest:
        return messages.PollRequest(
            A,
            False,
            "north",
            "north-a",
            "10.0.0.1",
            80,
            True,
            False,
            3,
            0,
            0,
            0,
            (),
            math.inf,
        )

    def poll(self, **changes: object):
        fields: dict[str, object] = {
            "instance_id": B,
            "is_entry": True,
            "region_id": "north",
            "failure_domain": "north-a",
            "http_host": "10.0.0.2",
            "http_port": 80,
            "is_ready": True,
            "is_stopping": False,
            "term": 0,
            "state_index": 0,
            "endpoints_version": 0,
            "instances_version": 0,
            "demands": (),
            "link_bits_per_s": math.inf,
            "dispatcher_id": "",
            "revision": -1,
        }
        request = messages.PollRequest(**{**fields, **changes})
        handler = self.links.handlers_by_type[messages.PollRequest]
        answer = handler(request.instance_id, request)
        if isinstance(answer, messages.PollResponse):
            return compressed_lists.expand(answer).ok_value
        return answer
