"""Inputs and decisions of request placement."""

from __future__ import annotations

import dataclasses
import enum
import typing

from yuccapitch.catalogue import ids

AttemptId = typing.NewType("AttemptId", str)
"""Identifies one attempt to place a request, unique across all entry instances."""


class Outcome(enum.Enum):
    """Result of sending a request to an endpoint."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The endpoint itself responded with an error."""
    SHED = "shed"
    """The endpoint rejected the request before processing it."""
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    """The exchange failed or gave no valid response."""
    MISDIRECTED = "misdirected"
    """Another endpoint responds at the address."""
    ABANDONED = "abandoned"
    """The client left or the deadline passed; says nothing about the endpoint."""


class RefusalReason(enum.Enum):
    """Why a request is refused a slot; the values are sent between instances."""

    NO_ENDPOINT = "no endpoint may serve it"
    LATE = "no place is expected in time"
    QUEUE_FULL = "too many requests wait"
    EXPIRED = "no place came free in time"
    STOPPING = "the instance stops before it would end"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Endpoint as listed by the platform."""

    endpoint_id: ids.EndpointId
    service_id: ids.ServiceId
    host: str
    port: int
    failure_domain: ids.FailureDomainId
    region_id: ids.RegionId
    slots: int
    is_leaving: bool
    cold_left_s: float
    incarnation: int
    """Changes when the endpoint restarts with an empty cache."""
    serving_region_id: ids.RegionId
    """Region whose requests the endpoint serves."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs a slot at an endpoint."""

    attempt_id: AttemptId
    entry_id: ids.InstanceId
    service_id: ids.ServiceId
    route_id: ids.RouteId
    key: str
    """Affinity key, which names the object of the request; empty if unknown."""
    rank: int
    """Lower ranks are served first."""
    home_region_ids: frozenset[ids.RegionId]
    """Regions whose endpoints may serve the request; all regions if empty."""
    objective_at: float
    """Time by which a response meets the latency objective."""
    deadline_at: float
    excluded_endpoint_ids: frozenset[ids.EndpointId] = frozenset()
    body_bytes: int = 0

    @property
    def object_id(self) -> str:
        """Identifier of the object, from route and key; empty if the key is unknown."""
        return f"{self.route_id}/{self.key}" if self.key else ""


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A slot: the request may be sent to the endpoint now."""

    attempt_id: AttemptId
    endpoint: Endpoint
    is_cold: bool = False
    """Whether the dispatcher takes the endpoint to be warming up."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A refusal: the request gets no slot and was not executed."""

    attempt_id: AttemptId
    reason: RefusalReason
    retry_after_s: float
    detail: str = ""
    """Load figures at the time of the decision, for the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that an endpoint reports about itself."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitReport:
    """What a response of an endpoint says about a limit of its request rate."""

    rate_per_s: float | None
    """Requests per second from all instances together; None if it names no limit."""


Decision = Granted | Refused
