"""Messages between claimants and the instances that vote on claims (holders)."""

from __future__ import annotations

import dataclasses
import enum

from yuccapitch.protocol import registry


class Verdict(enum.Enum):
    """A holder's decision on a message."""

    GRANTED = "granted"
    VOIDED = "voided"
    REFUSED = "refused"
    ABSTAINED = "abstained"
    """The holder may have lost its earlier votes on the key."""
    FULL = "full"
    EXPIRED = "expired"
    MALFORMED = "malformed"


class RecordState(enum.Enum):
    """State of a key in a holder's record."""

    NONE = "none"
    CLAIMED = "claimed"
    VOID = "void"
    DONE = "done"


@registry.message(40)
@dataclasses.dataclass(frozen=True)
class StoredResponse:
    """The response to a request; the body is None if it was not stored."""

    status: int
    content_type: str
    body: bytes | None


@registry.message(41)
@dataclasses.dataclass(frozen=True)
class ClaimRequest:
    """Requests the exclusive right to dispatch an attempt of a key."""

    key: str
    attempt: int
    claimant: str


@registry.message(42)
@dataclasses.dataclass(frozen=True)
class VoidRequest:
    """Requests that an attempt of a key and all earlier ones are never granted."""

    key: str
    attempt: int
    claimant: str


@registry.message(43)
@dataclasses.dataclass(frozen=True)
class CompletionNotice:
    """Reports the response to a dispatched attempt."""

    key: str
    attempt: int
    claimant: str
    response: StoredResponse


@registry.message(44)
@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """A holder's reply to a claim request, void request or completion notice."""

    key: str
    attempt: int
    """Attempt named in the message that this replies to."""
    claimant: str
    holder_id: str
    verdict: str
    """Value of a `Verdict`."""
    record_state: str
    """Value of a `RecordState`."""
    record_attempt: int
    record_claimant: str
    response: StoredResponse | None
