"""Messages between entry instances about the slots of endpoints."""

from __future__ import annotations

import dataclasses

from yuccapitch.protocol import registry


@registry.message(60)
@dataclasses.dataclass(frozen=True)
class SlotAsk:
    """A borrower asks the owner of a pool for one slot."""

    request_id: str
    service: str
    failure_domain: str
    patience: str
    recallable: bool
    route: str
    remaining_ms: int
    """Time left when the borrower sent this; it counts its own deadline from then."""
    avoided_endpoints: tuple[str, ...]
    """Endpoints just seen to shed by an earlier attempt."""


@registry.message(61)
@dataclasses.dataclass(frozen=True)
class SlotGrant:
    """The owner lends a slot; the borrower dispatches to the endpoint itself."""

    request_id: str
    endpoint: str
    term: int
    number: int
    granted_ms: int
    """Of the remaining time asked for, how much the work may use; the borrower
    counts it from when it sent its ask."""


@registry.message(62)
@dataclasses.dataclass(frozen=True)
class SlotRefusal:
    """The owner gives no slot; the request has not been sent anywhere."""

    request_id: str
    reason: str
    retry_after_ms: int


@registry.message(63)
@dataclasses.dataclass(frozen=True)
class SlotCancel:
    """A borrower withdraws an ask that may still wait in the owner's queue."""

    request_id: str


@registry.message(64)
@dataclasses.dataclass(frozen=True)
class SlotRecall:
    """The owner wants a lent slot back: cancel the exchange and ask again."""

    request_id: str
    term: int
    number: int


@registry.message(65)
@dataclasses.dataclass(frozen=True)
class SlotRelease:
    """A borrower gives a slot back and tells how the exchange went."""

    request_id: str
    term: int
    number: int
    end: str
    service_us: int


@registry.message(66)
@dataclasses.dataclass(frozen=True)
class HeldSlot:
    """A slot in use when an endpoint changes its owner."""

    endpoint: str
    remaining_ms: int


@registry.message(67)
@dataclasses.dataclass(frozen=True)
class SlotHandover:
    """A former owner, which gives no more slots, tells its successor what is held."""

    service: str
    failure_domain: str
    term: int
    held: tuple[HeldSlot, ...]


@registry.message(68)
@dataclasses.dataclass(frozen=True)
class PoolLoad:
    """An owner's free and waiting counts of one pool."""

    service: str
    failure_domain: str
    slots: int
    free: int
    waiting_impatient: int
    waiting_patient: int
    sequence: int


@registry.message(69)
@dataclasses.dataclass(frozen=True)
class PoolLoads:
    """An owner's counts of all its pools, sent to the entries of its region."""

    instance: str
    pools: tuple[PoolLoad, ...]


@registry.message(80)
@dataclasses.dataclass(frozen=True)
class PoolGrant:
    """A pool that an instance owns while its lease lasts."""

    service: str
    failure_domain: str
    number: int
    """Number of the grant that first named the pool."""
    lapsed_ms_ago: int | None
    """Since when the lease of an owner that did not hand over has lapsed."""
    held: tuple[HeldSlot, ...]
    """Slots in use when the former owner handed over."""


@registry.message(81)
@dataclasses.dataclass(frozen=True)
class PoolReport:
    """A pool that an instance owns, or that it has just given up."""

    service: str
    failure_domain: str
    is_owned: bool
    held: tuple[HeldSlot, ...]


@registry.message(82)
@dataclasses.dataclass(frozen=True)
class PoolOwner:
    """Which instance owns a pool."""

    service: str
    failure_domain: str
    instance_id: str
