"""Messages between entry instances and the dispatcher of their region.

Clocks differ between instances, so that every time is counted from the sending.
"""

from __future__ import annotations

import dataclasses

from yuccapitch.protocol import registry


@registry.message(110)
@dataclasses.dataclass(frozen=True)
class PlaceQuery:
    """Asks for a place at an endpoint."""

    attempt_id: str
    service_id: str
    route_id: str
    key: str
    rank: int
    home_region_ids: tuple[str, ...]
    objective_in_ms: int
    deadline_in_ms: int
    excluded_endpoint_ids: tuple[str, ...]
    body_bytes: int


@registry.message(111)
@dataclasses.dataclass(frozen=True)
class PlaceGrant:
    """The request may be sent to the endpoint now."""

    attempt_id: str
    endpoint_id: str


@registry.message(112)
@dataclasses.dataclass(frozen=True)
class PlaceRefusal:
    """The request gets no place."""

    attempt_id: str
    reason: str
    retry_after_ms: int
    detail: str
    """The figures that decided, for the log."""


@registry.message(113)
@dataclasses.dataclass(frozen=True)
class PlaceWait:
    """The request waits; a grant or refusal follows."""

    attempt_id: str


@registry.message(114)
@dataclasses.dataclass(frozen=True)
class PlaceRelease:
    """Gives a place back."""

    attempt_id: str
    outcome: str
    connect_ms: int
    """Time that a new connection took; -1 if there was none."""
    running: int
    """What the endpoint reported of itself; -1 if nothing."""
    waiting: int
    slots: int


@registry.message(115)
@dataclasses.dataclass(frozen=True)
class PlaceCancel:
    """The request no longer waits."""

    attempt_id: str


@registry.message(116)
@dataclasses.dataclass(frozen=True)
class HeldPlace:
    """Tells a new dispatcher of a place that was granted before it began."""

    query: PlaceQuery
    endpoint_id: str
    held_ms: int


@registry.message(117)
@dataclasses.dataclass(frozen=True)
class WarmObject:
    """An object that an endpoint has served lately."""

    object_id: str
    endpoint_id: str
    age_ms: int


@registry.message(118)
@dataclasses.dataclass(frozen=True)
class WarmObjects:
    """Tells a new dispatcher what the sender's requests left at the endpoints."""

    objects: tuple[WarmObject, ...]


@registry.message(119)
@dataclasses.dataclass(frozen=True)
class RouteDurations:
    """How long requests of a route keep a slot; -1 where it is not known."""

    route_id: str
    warm_ms: int
    cold_ms: int
    mean_ms: int


@registry.message(120)
@dataclasses.dataclass(frozen=True)
class ServiceSummary:
    """What a dispatcher has learned of one service."""

    service_id: str
    spillover_fraction: float
    """Part of the requests that other regions serve."""
    cache_capacity: float
    """Objects that an endpoint keeps at hand."""


@registry.message(121)
@dataclasses.dataclass(frozen=True)
class EndpointHealth:
    """An endpoint that is slower, or fails more often, than is usual."""

    endpoint_id: str
    slowness: float
    failure_rate: float


@registry.message(122)
@dataclasses.dataclass(frozen=True)
class DispatcherSummary:
    """What a dispatcher has learned, for whoever dispatches after it."""

    durations: tuple[RouteDurations, ...]
    services: tuple[ServiceSummary, ...]
    unhealthy: tuple[EndpointHealth, ...]


@registry.message(123)
@dataclasses.dataclass(frozen=True)
class DispatcherNotReady:
    """The asked instance does not know enough to grant places."""

    attempt_id: str
