"""Messages for renewing leased shares of limits."""

from __future__ import annotations

import dataclasses

from yuccapitch.protocol import registry


@registry.message(50)
@dataclasses.dataclass(frozen=True)
class ShareReport:
    """A holder's usage and demand of one resource."""

    resource_id: str
    held: int
    """Units that the holder is allowed to use or is still using."""
    demand: int
    """Units that the holder could use at present."""


@registry.message(51)
@dataclasses.dataclass(frozen=True)
class ShareRenewal:
    """A holder's request to renew all its shares."""

    holder_id: str
    incarnation: int
    """Identifies one start of the holder's process."""
    renewal_seq: int
    epoch: int
    """Last known leader term; 0 before the first response."""
    grant_seq: int
    """Last grant of that term applied by the holder."""
    reports: tuple[ShareReport, ...]


@registry.message(52)
@dataclasses.dataclass(frozen=True)
class ShareGrant:
    """The share of one resource that a holder may use."""

    resource_id: str
    share: int
    limit: int
    """The total limit in force, in the same units."""


@registry.message(53)
@dataclasses.dataclass(frozen=True)
class ShareResponse:
    """The grantor's response to one renewal."""

    holder_id: str
    incarnation: int
    renewal_seq: int
    epoch: int
    grant_seq: int
    """0 if the response only announces the grantor's term."""
    grants: tuple[ShareGrant, ...]
