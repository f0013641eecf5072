"""Rules that assign the ownership of endpoints to entry instances."""

from __future__ import annotations

from collections.abc import Callable

from bench.steering import simulation
from yuccapitch.catalogue import ids
from yuccapitch.steering import owners

SERVICE = ids.ServiceId("service")
OwnersByEndpoint = dict[ids.EndpointId, "ids.InstanceId | None"]
OwnerRule = Callable[[simulation.Simulation], OwnersByEndpoint]
RULES_BY_NAME: dict[str, OwnerRule] = {}


def register(name: str) -> Callable[[OwnerRule], OwnerRule]:
    """Register an ownership rule under a name."""

    def add(rule: OwnerRule) -> OwnerRule:
        RULES_BY_NAME[name] = rule
        return rule

    return add


@register("domain")
def assign_by_domain(sim: simulation.Simulation) -> OwnersByEndpoint:
    """Assign all endpoints of a failure domain to one instance."""
    regions_by_pool = {
        owners.Pool(SERVICE, e.location.failure_domain): e.location.region
        for e in sim.endpoints
    }
    assigned = owners.assign_pools(regions_by_pool, _live_locations(sim))
    return {
        e.endpoint_id: assigned.get(owners.Pool(SERVICE, e.location.failure_domain))
        for e in sim.endpoints
    }


@register("split")
def assign_by_split_domain(sim: simulation.Simulation) -> OwnersByEndpoint:
    """Distribute the endpoints of a failure domain evenly over its instances."""
    owners_by_id: OwnersByEndpoint = {}
    for endpoint in sim.endpoints:
        local = _local_instances(sim, endpoint)
        locations = _live_locations(sim)
        domain = endpoint.location.failure_domain
        in_domain = [i for i in local if locations[i].failure_domain == domain]
        order = owners.rank_instances(domain, in_domain or local)
        index = int(endpoint.endpoint_id[1:]) // 6
        owners_by_id[endpoint.endpoint_id] = (
            order[index % len(order)] if order else None
        )
    return owners_by_id


@register("endpoint")
def assign_by_endpoint(sim: simulation.Simulation) -> OwnersByEndpoint:
    """Assign each endpoint independently to an instance of its region."""
    return {
        e.endpoint_id: _first(
            owners.rank_instances(e.endpoint_id, _local_instances(sim, e))
        )
        for e in sim.endpoints
    }


@register("region")
def assign_by_region(sim: simulation.Simulation) -> OwnersByEndpoint:
    """Assign all endpoints of a region to one instance."""
    return {
        e.endpoint_id: _first(
            owners.rank_instances(e.location.region, _local_instances(sim, e))
        )
        for e in sim.endpoints
    }


def _live_locations(
    sim: simulation.Simulation,
) -> dict[ids.InstanceId, owners.Location]:
    return {e.instance_id: e.location for e in sim.entries if e.alive}


def _local_instances(
    sim: simulation.Simulation, endpoint: simulation.Endpoint
) -> list[ids.InstanceId]:
    region = endpoint.location.region
    return [i for i, p in _live_locations(sim).items() if p.region == region]


def _first(order: list[ids.InstanceId]) -> ids.InstanceId | None:
    return order[0] if order else None
