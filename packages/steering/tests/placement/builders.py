"""Builders of endpoints, requests and dispatchers for the placement tests."""

from __future__ import annotations

import random

from yuccapitch.catalogue import ids, routes
from yuccapitch.steering.placement import apportionment, dispatcher, model

SERVICE = ids.ServiceId("orders")
NORTH, SOUTH = ids.RegionId("north"), ids.RegionId("south")
ENTRY = ids.InstanceId("10.0.0.1:7000")


def service(cold_rate_per_s: float = 4.0) -> routes.RoutedService:
    return routes.RoutedService(SERVICE, "/health", 100, 3.0, cold_rate_per_s)


def endpoint(
    name: str,
    region: ids.RegionId = NORTH,
    slots: int = 2,
    serving: ids.RegionId | None = None,
    **changes: object,
) -> model.Endpoint:
    fields: dict[str, object] = {
        "endpoint_id": ids.EndpointId(name),
        "service_id": SERVICE,
        "host": "10.0.1.1",
        "port": 80,
        "failure_domain": ids.FailureDomainId(f"{region}-a"),
        "region_id": region,
        "slots": slots,
        "is_leaving": False,
        "cold_left_s": 0.0,
        "incarnation": 0,
        "serving_region_id": serving or region,
    }
    return model.Endpoint(**{**fields, **changes})  # type: ignore[arg-type]


def request(number: int, key: str = "", now: float = 0.0, **changes: object):
    fields: dict[str, object] = {
        "attempt_id": model.AttemptId(str(number)),
        "entry_id": ENTRY,
        "service_id": SERVICE,
        "route_id": ids.RouteId("read"),
        "key": key,
        "rank": 1,
        "home_region_ids": frozenset(),
        "objective_at": now + 1.0,
        "deadline_at": now + 5.0,
    }
    return model.PlacementRequest(**{**fields, **changes})  # type: ignore[arg-type]


def make_dispatcher(
    *endpoints: model.Endpoint,
    evacuated: frozenset[ids.FailureDomainId] = frozenset(),
    cold_rate_per_s: float = 4.0,
    region: ids.RegionId = NORTH,
) -> dispatcher.Dispatcher:
    region_dispatcher = dispatcher.Dispatcher(
        region, lambda entry: None, random.Random(1)
    )
    services = {SERVICE: service(cold_rate_per_s)}
    region_dispatcher.table.update(endpoints, services, evacuated, 0.0)
    return region_dispatcher


def instance_ids(count: int) -> list[ids.InstanceId]:
    return [ids.InstanceId(f"10.0.0.{number}:7000") for number in range(count)]


def share_endpoints(
    dispatchers: list[dispatcher.Dispatcher], now: float = 0.0
) -> list[dispatcher.Dispatcher]:
    """Let the dispatchers place by themselves, each with its part of the limits."""
    peer_ids = instance_ids(len(dispatchers))
    for instance_id, own_dispatcher in zip(peer_ids, dispatchers, strict=True):
        shares = apportionment.Apportionment(instance_id, peer_ids)
        own_dispatcher.table.set_apportionment(shares, now)
    return dispatchers
