"""Raft messages between the replicas of the log.

``sender`` and ``recipient`` are replica identities. An identity is stored on the
replica's disk, so a replica whose disk was lost rejoins with a new one.
"""

from __future__ import annotations

import dataclasses
import enum

from yuccapitch.protocol import registry

ANY_IDENTITY = ""
"""Recipient of a message that a replica of any identity processes."""
NO_NONCE = 0
"""Nonce of a join request that does not answer a challenge."""


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
    """Reply to log entries.

    On success, the logs match up to ``match_index``; otherwise the leader retries with
    the entries after it.

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
    """Reports the offset of the next expected chunk, or that all are installed."""

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
    """Asks the leader to admit a new identity to the group.

    ``nonce`` is copied from the challenge that the request answers, or ``NO_NONCE``.
    """

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
    """Reports that a message was not processed.

    ``reason`` holds a ``RefusalReason`` value.
    """

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
