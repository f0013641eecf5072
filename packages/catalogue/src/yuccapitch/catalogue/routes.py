"""Route table by host and path prefix.

An external owner declares the whole table and numbers its revisions. The table is
separate from the routes of the catalogue's declaration, `model.Route`.
"""

from __future__ import annotations

import dataclasses
import enum
import typing
from collections.abc import Iterable

from yuccapitch.catalogue import ids

Revision = typing.NewType("Revision", int)
"""Number that the external owner gives to a route table; the highest is in force."""


class Repeatability(enum.Enum):
    """Whether a request may be sent again after an endpoint may have executed it."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and the relative weight of its share of a route's requests."""

    service_id: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A rule: the requests that it matches and how they are handled."""

    route_id: ids.RouteId
    host: str
    path_prefix: str
    repeatability: Repeatability
    timeout_s: float
    latency_objective_s: float
    rank: int
    """Priority; 0 is the highest."""
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    is_sticky: bool
    home_region_ids: frozenset[ids.RegionId]
    """Regions that may serve the route; empty means all regions."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedService:
    """Settings common to all endpoints of a service."""

    service_id: ids.ServiceId
    health_path: str
    max_connections: int
    """Maximum connections to one endpoint, from all entry instances together."""
    cold_duration_s: float
    cold_rate_per_s: float
    """Maximum requests per second to one cold endpoint; 0 for no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a client's requests and on the time to send them."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteFault:
    """Why a declaration is invalid, with the name of the invalid part."""

    subject: str
    reason: str


class RouteTable:
    """A complete declaration of routes and services, indexed for route lookup."""

    def __init__(
        self,
        revision: Revision,
        routes: Iterable[Route],
        services: Iterable[RoutedService],
        limits: CallerLimits,
    ) -> None:
        """Index the routes by host and path prefix."""
        self.revision = revision
        self.routes = tuple(routes)
        self.services_by_id = {service.service_id: service for service in services}
        self.limits = limits
        self._routes_by_host_and_prefix: dict[tuple[str, str], Route] = {}
        self._prefixes_by_host: dict[str, frozenset[str]] = {}
        prefixes: dict[str, set[str]] = {}
        for route in self.routes:
            self._routes_by_host_and_prefix[route.host, route.path_prefix] = route
            prefixes.setdefault(route.host, set()).add(route.path_prefix)
        self._prefixes_by_host = {
            route_host: frozenset(paths) for route_host, paths in prefixes.items()
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        prefixes = self._prefixes_by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            prefix = path[: slash + 1]
            if prefix in prefixes:
                return self._routes_by_host_and_prefix[host, prefix]
            end = slash
        return None

    def faults(self) -> list[RouteFault]:
        """Return every reason why the declaration is invalid."""
        found = [fault for route in self.routes for fault in self._route_faults(route)]
        seen: set[tuple[str, str]] = set()
        for route in self.routes:
            match = (route.host, route.path_prefix)
            if match in seen:
                reason = f"{route.host}{route.path_prefix} has two routes; remove one"
                found.append(RouteFault(route.route_id, reason))
            seen.add(match)
        return found

    def _route_faults(self, route: Route) -> Iterable[RouteFault]:
        def fault(reason: str) -> RouteFault:
            return RouteFault(route.route_id, reason)

        if not route.host:
            yield fault("the host is empty; name the host that callers use")
        if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
            yield fault("the path prefix must begin and end with a slash")
        if route.timeout_s <= 0:
            yield fault("the timeout must be above 0")
        if route.max_attempts < 1:
            yield fault("at least 1 attempt must be allowed")
        if not route.shares:
            yield fault("the route names no service")
        for share in route.shares:
            if share.service_id not in self.services_by_id:
                yield fault(f"service {share.service_id!r} is not declared")
            if share.weight < 0:
                yield fault(f"the weight of {share.service_id!r} is below 0")
