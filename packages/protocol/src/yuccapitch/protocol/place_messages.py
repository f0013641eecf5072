"""Messages between entry instances and the dispatcher of their region.

A place is a granted slot at an endpoint for one request. Clocks differ between
instances, so every time is relative to the time of sending.
"""

from __future__ import annotations

import dataclasses

from yuccapitch.protocol import registry


@registry.message(110)
@dataclasses.dataclass(frozen=True)
class PlaceQuery:
    """Requests a place at an endpoint."""

    attempt_id: str
    service_id: str
    route_id: str
    key: str
    rank: int
    home_region_ids: tuple[str, ...]
    objective_in_ms: int
    """Time left until the latency objective of the route is missed."""
    deadline_in_ms: int
    excluded_endpoint_ids: tuple[str, ...]
    body_bytes: int


@registry.message(111)
@dataclasses.dataclass(frozen=True)
class PlaceGrant:
    """Allows the request to be sent to the endpoint now."""

    attempt_id: str
    endpoint_id: str


@registry.message(112)
@dataclasses.dataclass(frozen=True)
class PlaceRefusal:
    """Reports that the request gets no place."""

    attempt_id: str
    reason: str
    retry_after_ms: int
    detail: str
    """The numbers on which the decision was based, for the log."""


@registry.message(113)
@dataclasses.dataclass(frozen=True)
class PlaceWait:
    """Reports that the request is queued; a grant or refusal follows."""

    attempt_id: str


@registry.message(127)
@dataclasses.dataclass(frozen=True)
class WaitingPlaces:
    """Asks the dispatcher for lost decisions on the requests that still wait."""

    attempt_ids: tuple[str, ...]


@registry.message(128)
@dataclasses.dataclass(frozen=True)
class WaitingPlacesStatus:
    """Reports the decisions on waiting requests; those not named are still queued."""

    grants: tuple[PlaceGrant, ...]
    """Grants that were sent before."""
    unknown_attempt_ids: tuple[str, ...]
    """Requests that the dispatcher doesn't have, such as refused ones."""


NO_RATE_LIMIT = -1.0
"""Stands for a response that names no limit."""


@registry.message(124)
@dataclasses.dataclass(frozen=True)
class RateLimitReport:
    """What a response of an endpoint says of a limit of its request rate."""

    rate_per_s: float


@registry.message(114)
@dataclasses.dataclass(frozen=True)
class PlaceRelease:
    """Returns a place to the dispatcher."""

    attempt_id: str
    outcome: str
    connect_ms: int
    """Time to open a new connection; -1 if none was opened."""
    running: int
    """From the endpoint's load report, as are `waiting` and `slots`; -1 without one."""
    waiting: int
    slots: int
    rate_limit: RateLimitReport | None = None
    """None without a response of the endpoint, or from an earlier release."""
    is_leaving: bool = False
    """Whether the endpoint announced in its response that it is leaving."""


@registry.message(115)
@dataclasses.dataclass(frozen=True)
class PlaceCancel:
    """Cancels a queued request."""

    attempt_id: str


@registry.message(116)
@dataclasses.dataclass(frozen=True)
class HeldPlace:
    """Reports to a new dispatcher a place that its predecessor granted."""

    query: PlaceQuery
    endpoint_id: str
    held_ms: int


@registry.message(117)
@dataclasses.dataclass(frozen=True)
class WarmObject:
    """An object that an endpoint has served recently."""

    object_id: str
    endpoint_id: str
    age_ms: int


@registry.message(118)
@dataclasses.dataclass(frozen=True)
class WarmObjects:
    """Reports to a dispatcher which objects its endpoints have served recently."""

    objects: tuple[WarmObject, ...]


@registry.message(119)
@dataclasses.dataclass(frozen=True)
class RouteDurations:
    """Times that requests of a route occupy a slot; -1 if unknown."""

    route_id: str
    warm_ms: int
    cold_ms: int
    mean_ms: int


@registry.message(120)
@dataclasses.dataclass(frozen=True)
class ServiceSummary:
    """A dispatcher's estimates for one service."""

    service_id: str
    spillover_fraction: float
    """Fraction of the requests that other regions serve."""
    cache_capacity: float
    """Estimated number of objects in an endpoint's cache."""


@registry.message(121)
@dataclasses.dataclass(frozen=True)
class EndpointHealth:
    """An endpoint that is slower or fails more often than usual."""

    endpoint_id: str
    slowness: float
    """Smoothed ratio of actual to expected request durations."""
    failure_rate: float


@registry.message(125)
@dataclasses.dataclass(frozen=True)
class EndpointRateLimit:
    """The limit that an endpoint names, for all instances together."""

    endpoint_id: str
    rate_per_s: float


@registry.message(129)
@dataclasses.dataclass(frozen=True)
class EndpointWarmUp:
    """An endpoint that the dispatcher takes to be warming up."""

    endpoint_id: str
    incarnation: int
    left_ms: int
    """Remaining warm-up time."""


@registry.message(122)
@dataclasses.dataclass(frozen=True)
class DispatcherSummary:
    """A dispatcher's estimates, passed on to its successor."""

    durations: tuple[RouteDurations, ...]
    services: tuple[ServiceSummary, ...]
    unhealthy: tuple[EndpointHealth, ...]
    rate_limits: tuple[EndpointRateLimit, ...] | None = None
    """None from an earlier release."""
    warming_up: tuple[EndpointWarmUp, ...] | None = None
    """None from an earlier release."""


@registry.message(123)
@dataclasses.dataclass(frozen=True)
class DispatcherNotReady:
    """Reports that the asked instance lacks the state to grant places."""

    attempt_id: str
