"""Tests of placement dispatching by a control instance."""

from __future__ import annotations

import pathlib

import pytest
import result

from yuccapitch.catalogue import ids, routes
from yuccapitch.control import fleet as control_fleet, orders
from yuccapitch.gateway.front import request_path
from yuccapitch.node.routed import control_dispatching, settings
from yuccapitch.protocol import (
    codec,
    place_messages,
    subscription_messages as messages,
)

OWN, ENTRY = "10.0.0.1:7000", "10.0.1.1:7000"
DOMAIN, REGION = ids.FailureDomainId("north-a"), ids.RegionId("north")
SERVICE = ids.ServiceId("orders")


class FakeLinks:
    def __init__(self) -> None:
        self.handlers_by_type: dict[type, object] = {}
        self.sent: list[tuple[str, object]] = []

    def handle(self, message_type, handler) -> None:
        self.handlers_by_type[message_type] = handler

    def set_address(self, peer_id, address) -> None:
        return

    def send(self, peer_id, message) -> bool:
        self.sent.append((peer_id, message))
        return True


class FakeAdapter:
    def decode_routes(self, content):
        if content != b"routes":
            return result.Err("unreadable")
        service = routes.RoutedService(SERVICE, "/health", 9, 0.0, 0.0)
        table = routes.RouteTable(
            routes.Revision(1), [], [service], routes.CallerLimits()
        )
        return result.Ok(table)


def endpoint_record(name: str, **changes: object) -> messages.EndpointRecord:
    fields: dict[str, object] = {
        "endpoint_id": name,
        "service_id": SERVICE,
        "host": "10.0.2.1",
        "port": 80,
        "failure_domain": DOMAIN,
        "slots": 1,
        "is_leaving": False,
        "cold_left_ms": 0,
        "incarnation": 0,
        "serving_region_id": REGION,
    }
    return messages.EndpointRecord(**{**fields, **changes})  # type: ignore[arg-type]


class DispatchingControl:
    """A dispatching control instance with fleet and orders set by the test."""

    def __init__(self) -> None:
        inner_address = settings.ListenAddress("10.0.0.1", 7000)
        node_settings = settings.RoutedSettings(
            ids.InstanceId(OWN), "control-1", inner_address, REGION, DOMAIN,
            {DOMAIN: REGION}, (), False, 6.0, 1.0,
            request_path.FleetRetryBudget(0.2, 60.0, 10.0),
            data_dir=pathlib.Path(),
        )  # fmt: skip
        self.now = 0.0
        self.links = FakeLinks()
        self.fleet = control_fleet.Fleet()
        self.state = orders.OrderState()
        self.dispatching = control_dispatching.ControlDispatching(
            node_settings,
            FakeAdapter(),
            self.links,
            self.fleet,
            self.state,
            lambda: self.now,
        )

    def declare(self, content: bytes) -> None:
        order = messages.RouteDeclaration(self.state.revision + 1, content)
        self.state.apply(self.state.index + 1, codec.encode(order))

    def send_query(self, name: str = "1"):
        query = place_messages.PlaceQuery(
            name, SERVICE, "read", "7", 1, (), 1000, 5000, (), 0
        )
        return self.links.handlers_by_type[type(query)](ENTRY, query)


@pytest.fixture
def control() -> DispatchingControl:
    control_instance = DispatchingControl()
    control_instance.declare(b"routes")
    control_instance.fleet.update_endpoints([endpoint_record("e1")], 0.0)
    return control_instance


def test_query_is_granted_from_the_published_state(control):
    assert control.send_query() == place_messages.PlaceGrant("1", "e1")
    assert control.send_query("2") == place_messages.PlaceWait("2")
    assert control.dispatching.granted_count() == 1
    assert control.dispatching.waiting_count() == 1


@pytest.mark.parametrize("missing", ["routes", "endpoints"])
def test_query_is_rejected_without_routes_or_endpoints(missing):
    control = DispatchingControl()
    if missing == "routes":
        control.fleet.update_endpoints([endpoint_record("e1")], 0.0)
    else:
        control.declare(b"routes")
    assert control.send_query() == place_messages.DispatcherNotReady("1")


def test_query_gets_no_place_in_an_evacuated_domain(control):
    control.send_query()
    evacuation = messages.EvacuationOrder(DOMAIN, True)
    control.state.apply(control.state.index + 1, codec.encode(evacuation))
    response = control.send_query("2")
    assert isinstance(response, place_messages.PlaceRefusal)


# Guards against an evacuation that a dispatcher ignores because the routes in use are
# ones that its release cannot read.
def test_query_gets_no_place_in_an_evacuated_domain_with_unreadable_routes(control):
    control.send_query()
    control.declare(b"nonsense")
    evacuation = messages.EvacuationOrder(DOMAIN, True)
    control.state.apply(control.state.index + 1, codec.encode(evacuation))
    response = control.send_query("2")
    assert isinstance(response, place_messages.PlaceRefusal)


def test_query_uses_the_previous_routes_when_new_ones_are_invalid(control):
    control.send_query()
    control.declare(b"nonsense")
    assert control.send_query("2") == place_messages.PlaceWait("2")


def test_demands_are_reported_by_the_dispatcher_only(control):
    control.send_query()
    assert control.dispatching.demands() == ()
    control.fleet.dispatcher_ids_by_region = {REGION: OWN}
    control.dispatching._update_dispatcher()
    assert [d.service_id for d in control.dispatching.demands()] == [SERVICE]


def test_warm_objects_are_sent_to_the_new_region_of_an_endpoint(control):
    control.fleet.dispatcher_ids_by_region = {REGION: OWN, "south": "10.9.0.1:7000"}
    control.dispatching._update_dispatcher()
    control.send_query()
    control.fleet.update_endpoints(
        [endpoint_record("e1", serving_region_id="south")], 1.0
    )
    control.send_query("2")
    reports = [m for peer_id, m in control.links.sent if peer_id == "10.9.0.1:7000"]
    assert [w.object_id for m in reports for w in m.objects] == ["read/7"]
