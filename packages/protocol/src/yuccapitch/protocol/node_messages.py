"""Messages between entry and control instances."""

from __future__ import annotations

import dataclasses

from yuccapitch.protocol import lease_messages, registry, slot_messages


@registry.message(1)
@dataclasses.dataclass(frozen=True)
class Hello:
    """The first message of each side of a link."""

    instance_id: str


@registry.message(2)
@dataclasses.dataclass(frozen=True)
class LeaseRequest:
    """Asks the leader to renew the configuration lease and the limit shares."""

    instance_id: str
    incarnation: int
    """Identifies one start of the sender's process."""
    version: int
    """Configuration version applied by the instance; 0 for none."""
    is_ready: bool
    """Whether the instance can serve clients."""
    is_stopping: bool
    http_host: str
    http_port: int
    inner_host: str
    inner_port: int
    failure_domain: str
    in_flight: int
    live_sequence: int
    """Sequence number of the sender's list of live instances; 0 for none."""
    shares: lease_messages.ShareRenewal | None
    sequence: int
    """Number of the request since the start; a late older request is refused."""
    applied_term: int
    applied_grant: int
    """Number of the last grant of `applied_term` that was applied; 0 for none."""
    pools: tuple[slot_messages.PoolReport, ...]


@registry.message(3)
@dataclasses.dataclass(frozen=True)
class LiveInstance:
    """An entry instance that reports to the leader."""

    instance_id: str
    incarnation: int
    http_host: str
    http_port: int
    inner_host: str
    inner_port: int
    failure_domain: str
    is_ready: bool
    is_stopping: bool


@registry.message(4)
@dataclasses.dataclass(frozen=True)
class LeaseGrant:
    """Grants a configuration lease; its duration starts when the request was sent."""

    term: int
    version: int
    duration_s: float
    declaration: bytes | None
    """The declaration of the version, if the holder has not applied it yet."""
    holder_lists: bytes | None
    """The instances that vote on claims, sent together with the declaration."""
    live_sequence: int
    live_instances: tuple[LiveInstance, ...] | None
    """The live instances, if the holder's list is outdated."""
    shares: lease_messages.ShareResponse | None
    number: int
    """Increases with each grant to an instance in a term."""
    pools: tuple[slot_messages.PoolGrant, ...]
    pool_owners: tuple[slot_messages.PoolOwner, ...] | None
    """Owners of all pools, sent together with the live instances."""
    is_stop_propagated: bool
    """Whether no live instance still lists the stopping holder in lookup responses."""


@registry.message(5)
@dataclasses.dataclass(frozen=True)
class LeaseRefusal:
    """The control instance grants no lease."""

    leader_id: str
    """The instance to ask instead; empty if unknown."""
    reason: str


@registry.message(6)
@dataclasses.dataclass(frozen=True)
class RenewalNotice:
    """Notifies an entry instance that a renewal would return new data."""

    version: int
    live_sequence: int


@registry.message(7)
@dataclasses.dataclass(frozen=True)
class RemoteFailure:
    """Reports that the peer could not handle a request."""

    reason: str
