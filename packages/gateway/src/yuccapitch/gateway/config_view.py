"""A configuration with the indexes that an entry instance needs."""

from __future__ import annotations

import dataclasses
import functools

import result

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import lookup_table, owners

SAME_DOMAIN_DELAY_S = 0.0005
"""One-way delay inside a failure domain."""
SAME_REGION_DELAY_S = 0.004
"""One-way delay between failure domains of one region."""
UNKNOWN_DELAY_S = 0.1
"""One-way delay between regions without a declared link."""


@dataclasses.dataclass(frozen=True)
class NamedRoute:
    """A route with its id."""

    route_id: ids.RouteId
    route: model.Route


@dataclasses.dataclass(frozen=True)
class ConfigView:
    """One version of the declaration, indexed on first use."""

    version: ids.Version
    declaration: model.Declaration

    def region_of_domain(self, domain: ids.FailureDomainId) -> ids.RegionId:
        """Return the region of a failure domain."""
        return self.declaration.failure_domains_by_id[domain].region

    def region_of_client(self, address: lookup_table.Address) -> ids.RegionId:
        """Return the home region of a client's address."""
        return self.declared_region(address) or self.declaration.default_region

    def declared_region(self, address: lookup_table.Address) -> ids.RegionId | None:
        """Return the region of the client block that contains an address, if any."""
        return self._lookup_table.region_of(address)

    def find_route(
        self, service: ids.ServiceId, method: str, path: str
    ) -> NamedRoute | None:
        """Return the matching route with the longest path prefix, if any."""
        for named_route in self._routes_by_service.get(service, ()):
            if method in named_route.route.methods and _matches_path(
                named_route.route, path
            ):
                return named_route
        return None

    def allowed_methods(self, service: ids.ServiceId, path: str) -> frozenset[str]:
        """Return the methods that the routes of a service allow at a path."""
        return frozenset(
            method
            for named_route in self._routes_by_service.get(service, ())
            if _matches_path(named_route.route, path)
            for method in named_route.route.methods
        )

    def pool_endpoints(self, pool: owners.Pool) -> dict[ids.EndpointId, model.Endpoint]:
        """Return the endpoints of a pool by their id."""
        return self._endpoints_by_pool.get(pool, {})

    def endpoints(
        self, service: ids.ServiceId, region: ids.RegionId
    ) -> dict[ids.EndpointId, model.Endpoint]:
        """Return the endpoints of a service in a region by their id."""
        return self._endpoints_by_service_region.get((service, region), {})

    def longest_deadline_s(self, service: ids.ServiceId) -> float:
        """Return the longest deadline of a service's routes."""
        deadlines_ms = [
            named_route.route.limits.deadline_ms
            for named_route in self._routes_by_service.get(service, ())
        ]
        return max(deadlines_ms, default=0) / 1000

    def delay_s(self, a: ids.FailureDomainId, b: ids.FailureDomainId) -> float:
        """Return the one-way delay between two failure domains."""
        if a == b:
            return SAME_DOMAIN_DELAY_S
        source, target = self.region_of_domain(a), self.region_of_domain(b)
        if source == target:
            return SAME_REGION_DELAY_S
        for link in self.declaration.links_by_id.values():
            if (link.source, link.target) == (source, target):
                return link.delay_ms / 1000
        return UNKNOWN_DELAY_S

    def regions_by_distance(self, home: ids.RegionId) -> tuple[ids.RegionId, ...]:
        """Return the home region, then the others by the delay of the link to them."""
        delays_ms = {
            link.target: link.delay_ms
            for link in self.declaration.links_by_id.values()
            if link.source == home
        }
        others = [region for region in self.declaration.regions_by_id if region != home]
        others.sort(key=lambda region: (delays_ms.get(region, float("inf")), region))
        return (home, *others)

    @functools.cached_property
    def _lookup_table(self) -> lookup_table.LookupTable:
        blocks = self.declaration.regions_by_client_block.items()
        built = lookup_table.build(blocks, tuple(self.declaration.regions_by_id))
        if isinstance(built, result.Err):
            raise AssertionError(
                f"invalid client blocks in an accepted declaration: {built}"
            )
        return built.ok_value

    @functools.cached_property
    def _routes_by_service(self) -> dict[ids.ServiceId, tuple[NamedRoute, ...]]:
        routes_by_service: dict[ids.ServiceId, list[NamedRoute]] = {}
        for route_id, route in self.declaration.routes_by_id.items():
            named_route = NamedRoute(route_id, route)
            routes_by_service.setdefault(route.service, []).append(named_route)
        return {
            service: tuple(
                sorted(
                    routes, key=lambda named_route: -len(named_route.route.path_prefix)
                )
            )
            for service, routes in routes_by_service.items()
        }

    @functools.cached_property
    def _endpoints_by_service_region(
        self,
    ) -> dict[tuple[ids.ServiceId, ids.RegionId], dict[ids.EndpointId, model.Endpoint]]:
        endpoints_by_service_region: dict[
            tuple[ids.ServiceId, ids.RegionId], dict[ids.EndpointId, model.Endpoint]
        ] = {}
        for pool, endpoints_by_id in self._endpoints_by_pool.items():
            service_region = (pool.service, self.region_of_domain(pool.failure_domain))
            endpoints_by_service_region.setdefault(service_region, {}).update(
                endpoints_by_id
            )
        return endpoints_by_service_region

    @functools.cached_property
    def _endpoints_by_pool(
        self,
    ) -> dict[owners.Pool, dict[ids.EndpointId, model.Endpoint]]:
        endpoints_by_pool: dict[owners.Pool, dict[ids.EndpointId, model.Endpoint]] = {}
        for endpoint_id, endpoint in self.declaration.endpoints_by_id.items():
            pool = owners.Pool(endpoint.service, endpoint.failure_domain)
            endpoints_by_pool.setdefault(pool, {})[endpoint_id] = endpoint
        return endpoints_by_pool


def _matches_path(route: model.Route, path: str) -> bool:
    prefix = route.path_prefix.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")
