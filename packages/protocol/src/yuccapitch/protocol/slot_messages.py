"""Messages between entry instances about the slots of endpoints."""

from __future__ import annotations

import dataclasses

from yuccapitch.protocol import registry


@registry.message(60)
@dataclasses.dataclass(frozen=True)
class PoolLoad:
    """Slot counts of one pool: a service's endpoints in a failure domain."""

    service: str
    failure_domain: str
    term: int
    slots: int
    free: int
    waiting_impatient: int
    """Queued requests for whose response a person waits."""
    waiting_patient: int
    """Queued requests of background tasks."""


@registry.message(61)
@dataclasses.dataclass(frozen=True)
class PoolLoads:
    """Slot counts of all pools of an owner, for the entry instances of all regions."""

    instance: str
    sequence: int
    forward_token: str
    """Token required in requests that are forwarded to the owner."""
    pools: tuple[PoolLoad, ...]


@registry.message(62)
@dataclasses.dataclass(frozen=True)
class HeldSlot:
    """A slot in use when an endpoint changes its owner."""

    endpoint: str
    remaining_ms: int


@registry.message(80)
@dataclasses.dataclass(frozen=True)
class PoolGrant:
    """A pool that an instance owns for the duration of its lease."""

    service: str
    failure_domain: str
    number: int
    """Number of the grant that first contained the pool."""
    expired_ms_ago: int | None
    """Time since the lease of the previous owner expired without a handover."""
    held: tuple[HeldSlot, ...]
    """Slots in use when the previous owner handed over."""


@registry.message(81)
@dataclasses.dataclass(frozen=True)
class PoolReport:
    """A pool that an instance owns or has just released."""

    service: str
    failure_domain: str
    is_owned: bool
    held: tuple[HeldSlot, ...]


@registry.message(82)
@dataclasses.dataclass(frozen=True)
class PoolOwner:
    """The instance that owns a pool."""

    service: str
    failure_domain: str
    instance_id: str
