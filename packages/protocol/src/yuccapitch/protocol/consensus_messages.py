"""Messages that the replicas of the log exchange."""

from __future__ import annotations

import dataclasses
import enum

from yuccapitch.protocol import registry

ANY_IDENTITY = ""
NO_NONCE = 0


class EntryKind(enum.IntEnum):
    """What a log entry carries."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class RefusalReason(enum.IntEnum):
    """Why a replica did not process a message."""

    NOT_A_MEMBER = 1
    WRONG_RECIPIENT = 2


@registry.message(20)
@dataclasses.dataclass(frozen=True)
class LogEntry:
    """One entry of the log; ``kind`` holds an ``EntryKind`` value."""

    index: int
    term: int
    kind: int
    payload: bytes


@registry.message(21)
@dataclasses.dataclass(frozen=True)
class PreVoteRequest:
    """Asks whether a vote would be granted in ``term``, without starting it."""

    term: int
    sender: str
    recipient: str
    last_index: int
    last_term: int


@registry.message(22)
@dataclasses.dataclass(frozen=True)
class PreVoteReply:
    """Answers a pre-vote; ``requested_term`` repeats the term asked about."""

    term: int
    sender: str
    recipient: str
    requested_term: int
    granted: bool


@registry.message(23)
@dataclasses.dataclass(frozen=True)
class VoteRequest:
    """Asks for the vote of the recipient in ``term``."""

    term: int
    sender: str
    recipient: str
    last_index: int
    last_term: int


@registry.message(24)
@dataclasses.dataclass(frozen=True)
class VoteReply:
    """Answers a vote request; a granted vote is on disk before it is sent."""

    term: int
    sender: str
    recipient: str
    granted: bool


@registry.message(25)
@dataclasses.dataclass(frozen=True)
class AppendRequest:
    """Carries entries, or none as a heartbeat, from the leader of ``term``."""

    term: int
    sender: str
    recipient: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round_number: int


@registry.message(26)
@dataclasses.dataclass(frozen=True)
class AppendReply:
    """Tells how far the logs match, or after which index to try again.

    ``request_term`` and ``round_number`` repeat those of the request: the term of a
    replica that answers late may be one in which the same leader was elected again.
    """

    term: int
    sender: str
    recipient: str
    request_term: int
    success: bool
    match_index: int
    round_number: int


@registry.message(27)
@dataclasses.dataclass(frozen=True)
class SnapshotRequest:
    """Carries one chunk of the leader's snapshot."""

    term: int
    sender: str
    recipient: str
    last_index: int
    last_term: int
    membership: bytes
    offset: int
    data: bytes
    is_last: bool
    round_number: int


@registry.message(28)
@dataclasses.dataclass(frozen=True)
class SnapshotReply:
    """Names the next chunk wanted, or the log index reached once installed."""

    term: int
    sender: str
    recipient: str
    request_term: int
    last_index: int
    next_offset: int
    installed: bool
    round_number: int


@registry.message(29)
@dataclasses.dataclass(frozen=True)
class JoinRequest:
    """Asks the leader to admit a new identity; ``nonce`` answers a challenge."""

    sender: str
    recipient: str
    instance_id: str
    nonce: int


@registry.message(30)
@dataclasses.dataclass(frozen=True)
class JoinChallenge:
    """Asks an identity that wants to join whether it is still in use."""

    sender: str
    recipient: str
    nonce: int


@registry.message(31)
@dataclasses.dataclass(frozen=True)
class Refusal:
    """Says that a message was not processed; ``reason`` is a ``RefusalReason``."""

    term: int
    sender: str
    recipient: str
    reason: int


Message = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | JoinRequest
    | JoinChallenge
    | Refusal
)
