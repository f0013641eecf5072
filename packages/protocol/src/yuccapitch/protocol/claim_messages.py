"""Messages between claimants and the holders of claims."""

from __future__ import annotations

import dataclasses
import enum

from yuccapitch.protocol import registry


class Verdict(enum.Enum):
    """What a holder did with a message."""

    GRANTED = "granted"
    VOIDED = "voided"
    REFUSED = "refused"
    ABSTAINED = "abstained"
    """The holder may have forgotten earlier votes about the key."""
    FULL = "full"
    EXPIRED = "expired"
    MALFORMED = "malformed"


class RecordState(enum.Enum):
    """What a holder has recorded about a key."""

    NONE = "none"
    CLAIMED = "claimed"
    VOID = "void"
    DONE = "done"


@registry.message(40)
@dataclasses.dataclass(frozen=True)
class StoredResponse:
    """The answer that a request got; the body only if it was kept."""

    status: int
    content_type: str
    body: bytes | None


@registry.message(41)
@dataclasses.dataclass(frozen=True)
class ClaimRequest:
    """Asks for the sole right to dispatch an attempt of a key."""

    key: str
    attempt: int
    claimant: str


@registry.message(42)
@dataclasses.dataclass(frozen=True)
class VoidRequest:
    """Asks that an attempt of a key and all before it never be claimed."""

    key: str
    attempt: int
    claimant: str


@registry.message(43)
@dataclasses.dataclass(frozen=True)
class CompletionNotice:
    """Tells the answer of an attempt that was dispatched."""

    key: str
    attempt: int
    claimant: str
    response: StoredResponse


@registry.message(44)
@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """A holder's reply to a claim, a void or an answer."""

    key: str
    attempt: int
    """Attempt that the replied message named."""
    claimant: str
    holder_id: str
    verdict: str
    """Value of a `Verdict`."""
    record_state: str
    """Value of a `RecordState`."""
    record_attempt: int
    record_claimant: str
    response: StoredResponse | None
