"""Messages by which holders renew their leased shares of limits."""

from __future__ import annotations

import dataclasses

from yuccapitch.protocol import registry


@registry.message(50)
@dataclasses.dataclass(frozen=True)
class ShareReport:
    """What a holder tells the grantor about one resource."""

    resource_id: str
    held: int
    """Units that the holder may use or still uses."""
    demand: int
    """Units that the holder could use now."""


@registry.message(51)
@dataclasses.dataclass(frozen=True)
class ShareRenewal:
    """A holder's request to renew all its shares."""

    holder_id: str
    incarnation: int
    """Number that differs for each start of the holder's process."""
    renewal_seq: int
    epoch: int
    """Leader term that the holder follows; 0 before the first answer."""
    grant_seq: int
    """Last grant of that term that the holder applied."""
    reports: tuple[ShareReport, ...]


@registry.message(52)
@dataclasses.dataclass(frozen=True)
class ShareGrant:
    """The share of one resource that a holder may use."""

    resource_id: str
    share: int
    limit: int
    """Limit in force, in the same units."""


@registry.message(53)
@dataclasses.dataclass(frozen=True)
class ShareResponse:
    """The grantor's answer to one renewal."""

    holder_id: str
    incarnation: int
    renewal_seq: int
    epoch: int
    grant_seq: int
    """0 if the answer only announces the grantor's term."""
    grants: tuple[ShareGrant, ...]
