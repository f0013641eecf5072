"""What the placement of requests takes in and what it decides."""

from __future__ import annotations

import dataclasses
import enum
import typing

from yuccapitch.catalogue import ids

AttemptId = typing.NewType("AttemptId", str)
"""Names one attempt to place one request, unique among all entry instances."""


class Outcome(enum.Enum):
    """How a send to an endpoint ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The endpoint answered with a failure of its own."""
    SHED = "shed"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    MISDIRECTED = "misdirected"
    """Another endpoint answers at the address."""
    ABANDONED = "abandoned"
    """The caller left or the time ran out; nothing is said about the endpoint."""


class RefusalReason(enum.Enum):
    """Why a request gets no place."""

    NO_ENDPOINT = "no endpoint may serve it"
    LATE = "no place is expected in time"
    QUEUE_FULL = "too many requests wait"
    EXPIRED = "no place came free in time"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as the platform's list has it."""

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
    serving_region_id: ids.RegionId
    """Region whose requests the endpoint takes."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request that needs a place at an endpoint."""

    attempt_id: AttemptId
    entry_id: ids.InstanceId
    service_id: ids.ServiceId
    route_id: ids.RouteId
    key: str
    """Object that the request is about; empty if unknown."""
    rank: int
    home_region_ids: frozenset[ids.RegionId]
    objective_at: float
    """Time up to which an answer is worth most."""
    deadline_at: float
    excluded_endpoint_ids: frozenset[ids.EndpointId] = frozenset()
    body_bytes: int = 0

    @property
    def object_id(self) -> str:
        """Name of the object that the request is about; empty if unknown."""
        return f"{self.route_id}/{self.key}" if self.key else ""


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent to the endpoint now."""

    attempt_id: AttemptId
    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request gets no place; it has not run."""

    attempt_id: AttemptId
    reason: RefusalReason
    retry_after_s: float
    detail: str = ""
    """The figures that decided, for the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """An endpoint's report about itself."""

    running: int
    waiting: int
    slots: int


Decision = Granted | Refused
