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
    """Asks the leader to renew the configuration lease and the shares."""

    instance_id: str
    incarnation: int
    version: int
    """Configuration version that the instance acts on; 0 for none."""
    is_ready: bool
    """Whether the instance can serve callers."""
    is_stopping: bool
    http_host: str
    http_port: int
    inner_host: str
    inner_port: int
    failure_domain: str
    in_flight: int
    live_sequence: int
    """Last list of live instances that the sender has; 0 for none."""
    shares: lease_messages.ShareRenewal | None
    sequence: int
    applied_term: int
    applied_grant: int
    """Term and number of the last grant that the sender applied; 0 for none."""
    pools: tuple[slot_messages.PoolReport, ...]


@registry.message(3)
@dataclasses.dataclass(frozen=True)
class LiveInstance:
    """An entry instance that the leader has heard from."""

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
    """Grants a configuration lease counted from the request's send time."""

    term: int
    version: int
    duration_s: float
    declaration: bytes | None
    """The declaration of the version, if the holder does not act on it yet."""
    holder_lists: bytes | None
    live_sequence: int
    live_instances: tuple[LiveInstance, ...] | None
    """The live instances, if the holder's list is an older one."""
    shares: lease_messages.ShareResponse | None
    number: int
    """Rises with each grant to an instance in a term."""
    pools: tuple[slot_messages.PoolGrant, ...]
    pool_owners: tuple[slot_messages.PoolOwner, ...] | None
    """Owners of all pools, sent with the live instances."""
    is_stop_propagated: bool
    """Whether no live instance can still name the holder, which is stopping."""


@registry.message(5)
@dataclasses.dataclass(frozen=True)
class LeaseRefusal:
    """The control instance grants no lease."""

    leader_id: str
    """The instance to ask instead, empty if unknown."""
    reason: str


@registry.message(6)
@dataclasses.dataclass(frozen=True)
class RenewalNotice:
    """Tells an entry instance that a renewal would bring it something new."""

    version: int
    live_sequence: int


@registry.message(7)
@dataclasses.dataclass(frozen=True)
class RemoteFailure:
    """Says that the peer could not handle a request."""

    reason: str
