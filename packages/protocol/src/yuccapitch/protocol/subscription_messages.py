"""Messages for polling the control leader, and the commands of its log."""

from __future__ import annotations

import dataclasses

from yuccapitch.protocol import registry


@registry.message(90)
@dataclasses.dataclass(frozen=True)
class RouteDeclaration:
    """Log command: a complete declaration of routes with the owner's revision."""

    revision: int
    content: bytes


@registry.message(91)
@dataclasses.dataclass(frozen=True)
class EvacuationOrder:
    """Log command: start or end the evacuation of a failure domain."""

    failure_domain: str
    is_evacuated: bool
    based_on: int | None = None
    """Log index of the last order for the failure domain that the accepting instance
    knew. The order has no effect after a later one; None puts no condition."""


@registry.message(126)
@dataclasses.dataclass(frozen=True)
class EvacuationIndex:
    """Log index of the last order that was in effect for a failure domain."""

    failure_domain: str
    index: int


@registry.message(92)
@dataclasses.dataclass(frozen=True)
class StateSnapshot:
    """The complete replicated state."""

    revision: int
    content: bytes
    evacuated_domains: tuple[str, ...]
    evacuation_indexes: tuple[EvacuationIndex, ...] | None = None
    """None in snapshots of versions that had no conditions on orders."""


@registry.message(106)
@dataclasses.dataclass(frozen=True)
class StateUpdate:
    """The replicated state for a polling instance, compressed for slow links."""

    revision: int
    compressed_content: bytes
    """In zlib format; empty if the polling instance already has this revision."""
    evacuated_domains: tuple[str, ...]


@registry.message(93)
@dataclasses.dataclass(frozen=True)
class ServiceDemand:
    """Smoothed number of slots busy with a region's requests for a service."""

    service_id: str
    region_id: str
    busy_slots: float


@registry.message(94)
@dataclasses.dataclass(frozen=True)
class PollRequest:
    """Asks the leader for changes; also the heartbeat of the sender."""

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
    """Term of the last response; 0 for none."""
    state_index: int
    """Index of the state that the sender has; only a newer one is returned."""
    endpoints_version: int
    instances_version: int
    demands: tuple[ServiceDemand, ...]
    link_bits_per_s: float
    """Bandwidth of the sender's link; infinite if not configured."""
    dispatcher_id: str
    """The dispatcher that the sender uses; empty for none."""
    revision: int
    """Revision of the sender's routes; -1 for none."""


@registry.message(95)
@dataclasses.dataclass(frozen=True)
class EntryInstance:
    """An entry instance that polls the leader."""

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
    """An endpoint of the platform's list, with the region whose requests it serves."""

    endpoint_id: str
    service_id: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_leaving: bool
    cold_left_ms: int
    """Remaining warm-up time."""
    incarnation: int
    """Changes when the endpoint restarts with an empty cache."""
    serving_region_id: str


@registry.message(105)
@dataclasses.dataclass(frozen=True)
class EndpointChanges:
    """Changes of the endpoints since the version of a polling instance."""

    changed: tuple[EndpointRecord, ...]
    removed_ids: tuple[str, ...]


@registry.message(104)
@dataclasses.dataclass(frozen=True)
class RegionDispatcher:
    """The instance that grants places to the requests of a region."""

    region_id: str
    instance_id: str


@registry.message(108)
@dataclasses.dataclass(frozen=True)
class EndpointList:
    """All endpoints, compressed for many followers at once."""

    endpoints: tuple[EndpointRecord, ...]


@registry.message(109)
@dataclasses.dataclass(frozen=True)
class InstanceList:
    """The entry instances that one region's followers are told of, compressed."""

    instances: tuple[EntryInstance, ...]


@registry.message(97)
@dataclasses.dataclass(frozen=True)
class PollResponse:
    """Changes since the versions of the request; None for unchanged parts.

    An entry instance gets only the entry instances of its own region.
    """

    term: int
    state_index: int
    state: StateUpdate | None
    endpoints_version: int
    endpoints: tuple[EndpointRecord, ...] | None
    endpoints_age_ms: int
    """Time since the platform's list was last read; -1 if never read."""
    instances_version: int
    instances: tuple[EntryInstance, ...] | None
    control_ids: tuple[str, ...]
    poll_interval_ms: int
    dispatchers: tuple[RegionDispatcher, ...]
    """Sent together with the instances."""
    endpoint_changes: EndpointChanges | None
    """Sent instead of `endpoints` if the leader has the polling instance's version."""
    entry_count: int
    """Number of entry instances in all regions."""
    compressed_endpoints: bytes = b""
    """An ``EndpointList`` in zlib format, sent instead of `endpoints`."""
    compressed_instances: bytes = b""
    """An ``InstanceList`` in zlib format, sent instead of `instances`."""


@registry.message(98)
@dataclasses.dataclass(frozen=True)
class PollRefusal:
    """The asked instance is not the confirmed leader."""

    leader_id: str
    """The instance to ask instead; empty if unknown."""


@registry.message(99)
@dataclasses.dataclass(frozen=True)
class PollNotice:
    """Notifies a polling instance that a poll would return changes."""

    term: int


@registry.message(107)
@dataclasses.dataclass(frozen=True)
class StateApplied:
    """Reports to the leader that the sender acts on a state from now on."""

    state_index: int


@registry.message(100)
@dataclasses.dataclass(frozen=True)
class SubmitRequest:
    """Forwards an operator's order to the leader."""

    command: bytes


@registry.message(101)
@dataclasses.dataclass(frozen=True)
class SubmitResponse:
    """Reports whether the leader committed the order."""

    is_committed: bool
    detail: str
    superseded_by: int | None = None
    """Set if a later order for the failure domain was committed before: its index."""


@registry.message(102)
@dataclasses.dataclass(frozen=True)
class ReadRequest:
    """Asks the leader for the latest state, confirmed by a quorum."""


@registry.message(103)
@dataclasses.dataclass(frozen=True)
class ReadResponse:
    """The latest state; None if the asked instance could not confirm it."""

    state: StateSnapshot | None
