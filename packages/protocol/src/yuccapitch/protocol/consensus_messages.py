"""Raft messages between the replicas of the log."""

from __future__ import annotations

import dataclasses
import enum

from yuccapitch.protocol import registry

ANY_IDENTITY = ""
NO_NONCE = 0


class EntryKind(enum.IntEnum):
    """Type of a log entry's payload."""

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
    """Asks whether a vote would be granted in ``term``, without starting the term."""

    term: int
    sender: str
    recipient: str
    last_index: int
    last_term: int


@registry.message(22)
@dataclasses.dataclass(frozen=True)
class PreVoteReply:
    """Reply to a pre-vote request; ``requested_term`` is the term of the request."""

    term: int
    sender: str
    recipient: str
    requested_term: int
    granted: bool


@registry.message(23)
@dataclasses.dataclass(frozen=True)
class VoteRequest:
    """Requests the vote of the recipient in ``term``."""

    term: int
    sender: str
    recipient: str
    last_index: int
    last_term: int


@registry.message(24)
@dataclasses.dataclass(frozen=True)
class VoteReply:
    """Reply to a vote request; a granted vote is durable before the reply is sent."""

    term: int
    sender: str
    recipient: str
    granted: bool


@registry.message(25)
@dataclasses.dataclass(frozen=True)
class AppendRequest:
    """Log entries from the leader of ``term``; a heartbeat if there are none."""

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
    """Reports up to which index the logs match, or after which index to retry.

    ``request_term`` and ``round_number`` are copied from the request: by the time of a
    late reply, the replica may be in a newer term that the same leader has won.
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
    """One chunk of the leader's snapshot."""

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
    """Reports the next expected chunk, or the log index once installed."""

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
    """Asks the leader to admit a new identity; ``nonce`` echoes a challenge."""

    sender: str
    recipient: str
    instance_id: str
    nonce: int


@registry.message(30)
@dataclasses.dataclass(frozen=True)
class JoinChallenge:
    """Asks a joining identity to confirm that it is still in use."""

    sender: str
    recipient: str
    nonce: int


@registry.message(31)
@dataclasses.dataclass(frozen=True)
class Refusal:
    """Reports an unprocessed message; ``reason`` is a ``RefusalReason`` value."""

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
