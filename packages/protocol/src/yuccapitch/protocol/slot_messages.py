"""Messages between entry instances about the slots of endpoints."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class PoolLoad:
    """An owner's counts of one pool: a service's endpoints in a failure domain."""

    service: str
    failure_domain: str
    term: int
    slots: int
    free: int
    waiting_impatient: int
    waiting_patient: int


@dataclasses.dataclass(frozen=True)
class PoolLoads:
    """An owner's counts of all its pools, for the entry instances of all regions."""

    instance: str
    sequence: int
    pools: tuple[PoolLoad, ...]


@dataclasses.dataclass(frozen=True)
class SlotsInUse:
    """Slots of an endpoint that requests of the former owner may still occupy."""

    endpoint: str
    slots: int
    remaining_ms: int
    """Time left when the message was sent; counting it from arrival is safe."""


@dataclasses.dataclass(frozen=True)
class SlotHandover:
    """A former owner, which gives no more slots, tells its successor what is used."""

    instance: str
    service: str
    failure_domain: str
    term: int
    in_use: tuple[SlotsInUse, ...]


@dataclasses.dataclass(frozen=True)
class SlotHandoverReply:
    """The successor has taken the hand-over in and gives slots from now on."""

    instance: str
    service: str
    failure_domain: str
    term: int
