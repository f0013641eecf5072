"""How finely the ownership of endpoints is divided among entry instances."""

from __future__ import annotations

from collections.abc import Callable

from bench.steering import world as world_module
from yuccapitch.catalogue import ids
from yuccapitch.steering import owners

SERVICE = ids.ServiceId("service")
OwnersByEndpoint = dict[ids.EndpointId, "ids.InstanceId | None"]
Grain = Callable[[world_module.World], OwnersByEndpoint]
GRAINS_BY_NAME: dict[str, Grain] = {}


def register(name: str) -> Callable[[Grain], Grain]:
    """Register a grain under a name."""

    def add(grain: Grain) -> Grain:
        GRAINS_BY_NAME[name] = grain
        return grain

    return add


@register("domain")
def own_by_domain(world: world_module.World) -> OwnersByEndpoint:
    """Give all endpoints of a failure domain to one instance."""
    regions_by_pool = {
        owners.Pool(SERVICE, e.place.failure_domain): e.place.region
        for e in world.endpoints
    }
    assigned = owners.assign_pools(regions_by_pool, _live_places(world))
    return {
        e.endpoint_id: assigned.get(owners.Pool(SERVICE, e.place.failure_domain))
        for e in world.endpoints
    }


@register("split")
def own_by_split_domain(world: world_module.World) -> OwnersByEndpoint:
    """Divide the endpoints of a failure domain evenly among its instances."""
    wanted: OwnersByEndpoint = {}
    for endpoint in world.endpoints:
        local = _local(world, endpoint)
        places = _live_places(world)
        domain = endpoint.place.failure_domain
        here = [i for i in local if places[i].failure_domain == domain]
        order = owners.rank_instances(domain, here or local)
        index = int(endpoint.endpoint_id[1:]) // 6
        wanted[endpoint.endpoint_id] = order[index % len(order)] if order else None
    return wanted


@register("endpoint")
def own_by_endpoint(world: world_module.World) -> OwnersByEndpoint:
    """Give each endpoint to an instance of its region by itself."""
    return {
        e.endpoint_id: _first(owners.rank_instances(e.endpoint_id, _local(world, e)))
        for e in world.endpoints
    }


@register("region")
def own_by_region(world: world_module.World) -> OwnersByEndpoint:
    """Give all endpoints of a region to one instance."""
    return {
        e.endpoint_id: _first(owners.rank_instances(e.place.region, _local(world, e)))
        for e in world.endpoints
    }


def _live_places(world: world_module.World) -> dict[ids.InstanceId, owners.Location]:
    return {e.instance_id: e.place for e in world.entries if e.alive}


def _local(
    world: world_module.World, endpoint: world_module.Endpoint
) -> list[ids.InstanceId]:
    region = endpoint.place.region
    return [i for i, p in _live_places(world).items() if p.region == region]


def _first(order: list[ids.InstanceId]) -> ids.InstanceId | None:
    return order[0] if order else None
