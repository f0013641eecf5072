"""Messages between entry and control instances."""

from __future__ import annotations

import dataclasses

from yuccapitch.protocol import lease_messages, registry


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
    is_stopping: bool
    http_host: str
    http_port: int
    inner_host: str
    inner_port: int
    failure_domain: str
    in_flight: int
    shares: lease_messages.ShareRenewal | None


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
    is_stopping: bool
    in_flight: int


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
    live_instances: tuple[LiveInstance, ...]
    shares: lease_messages.ShareAnswer | None


@registry.message(5)
@dataclasses.dataclass(frozen=True)
class NotLeader:
    """The control instance does not lead, or cannot confirm that it does."""

    leader_id: str


@registry.message(6)
@dataclasses.dataclass(frozen=True)
class VersionNotice:
    """Tells an entry instance that a later version was accepted."""

    version: int


@registry.message(7)
@dataclasses.dataclass(frozen=True)
class RemoteFailure:
    """Says that the peer could not handle a request."""

    reason: str
