"""Messages by which instances follow the leader, and by which it keeps its state."""

from __future__ import annotations

import dataclasses

from yuccapitch.protocol import registry


@registry.message(90)
@dataclasses.dataclass(frozen=True)
class RouteDeclaration:
    """Log command: a whole declaration of routes under the owner's revision."""

    revision: int
    content: bytes


@registry.message(91)
@dataclasses.dataclass(frozen=True)
class EvacuationOrder:
    """Log command: keep requests away from a failure domain, or end that."""

    failure_domain: str
    is_evacuated: bool


@registry.message(92)
@dataclasses.dataclass(frozen=True)
class StateSnapshot:
    """The replicated state as a whole."""

    revision: int
    content: bytes
    evacuated_domains: tuple[str, ...]


@registry.message(106)
@dataclasses.dataclass(frozen=True)
class StateUpdate:
    """The replicated state for a follower on what may be a slow link."""

    revision: int
    compressed_content: bytes
    """In zlib's format; empty where the follower has the revision."""
    evacuated_domains: tuple[str, ...]


@registry.message(93)
@dataclasses.dataclass(frozen=True)
class ServiceDemand:
    """Slots that a region's requests for a service keep busy, smoothed."""

    service_id: str
    region_id: str
    busy_slots: float


@registry.message(94)
@dataclasses.dataclass(frozen=True)
class PollRequest:
    """Asks the leader for what changed, and shows that the sender is alive."""

    instance_id: str
    """Inner address of the sender, as host:port."""
    is_entry: bool
    region_id: str
    failure_domain: str
    http_host: str
    http_port: int
    is_ready: bool
    is_stopping: bool
    term: int
    """Term of the last answer; 0 for none."""
    state_index: int
    endpoints_version: int
    instances_version: int
    demands: tuple[ServiceDemand, ...]
    link_bits_per_s: float
    """What the sender's link carries; infinite if it is not told."""
    dispatcher_id: str
    """The dispatcher that the sender uses; empty without one."""
    revision: int
    """Revision of the routes that the sender has; -1 for none."""


@registry.message(95)
@dataclasses.dataclass(frozen=True)
class EntryInstance:
    """An entry instance that the leader has heard from."""

    instance_id: str
    region_id: str
    failure_domain: str
    http_host: str
    http_port: int
    is_ready: bool
    has_slow_link: bool


@registry.message(96)
@dataclasses.dataclass(frozen=True)
class EndpointRecord:
    """An endpoint of the platform's list, and the region whose requests it takes."""

    endpoint_id: str
    service_id: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_leaving: bool
    cold_left_ms: int
    incarnation: int
    serving_region_id: str


@registry.message(105)
@dataclasses.dataclass(frozen=True)
class EndpointChanges:
    """What became of the endpoints since the version that a follower has."""

    changed: tuple[EndpointRecord, ...]
    removed_ids: tuple[str, ...]


@registry.message(104)
@dataclasses.dataclass(frozen=True)
class RegionDispatcher:
    """The instance that grants the places for the requests of a region."""

    region_id: str
    instance_id: str


@registry.message(97)
@dataclasses.dataclass(frozen=True)
class PollResponse:
    """What changed since the request's versions; None for unchanged parts.

    An entry instance is told of the entry instances of its region only.
    """

    term: int
    state_index: int
    state: StateUpdate | None
    endpoints_version: int
    endpoints: tuple[EndpointRecord, ...] | None
    endpoints_age_ms: int
    """Time since the platform's list was last read; -1 if never."""
    instances_version: int
    instances: tuple[EntryInstance, ...] | None
    control_ids: tuple[str, ...]
    poll_interval_ms: int
    dispatchers: tuple[RegionDispatcher, ...]
    """Sent with the instances."""
    endpoint_changes: EndpointChanges | None
    """Sent in place of the endpoints where the follower's version is known."""
    entry_count: int
    """Entry instances of all regions."""


@registry.message(98)
@dataclasses.dataclass(frozen=True)
class PollRefusal:
    """The asked instance is not the confirmed leader."""

    leader_id: str
    """The instance to ask instead; empty if unknown."""


@registry.message(99)
@dataclasses.dataclass(frozen=True)
class PollNotice:
    """Tells a follower that asking now would bring something new."""

    term: int


@registry.message(100)
@dataclasses.dataclass(frozen=True)
class SubmitRequest:
    """Forwards an operator's order to the leader."""

    command: bytes


@registry.message(101)
@dataclasses.dataclass(frozen=True)
class SubmitResponse:
    """Whether the leader committed the order."""

    is_committed: bool
    detail: str


@registry.message(102)
@dataclasses.dataclass(frozen=True)
class ReadRequest:
    """Asks the leader for the newest state, confirmed by a quorum."""


@registry.message(103)
@dataclasses.dataclass(frozen=True)
class ReadResponse:
    """The newest state; None if the asked instance cannot be sure."""

    state: StateSnapshot | None
