"""What the core asks its runner to do, in order."""

from __future__ import annotations

import dataclasses
import enum

from yuccapitch.consensus import log
from yuccapitch.protocol import consensus_messages as messages


class Role(enum.Enum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class HardState:
    """Term and vote, on disk before any message that depends on them."""

    term: int
    voted_for: str | None


@dataclasses.dataclass(frozen=True)
class PersistHardState:
    """Write term and vote."""

    hard_state: HardState


@dataclasses.dataclass(frozen=True)
class PersistEntries:
    """Write entries; whatever was at or after the first of them is replaced."""

    entries: tuple[messages.LogEntry, ...]


@dataclasses.dataclass(frozen=True)
class PersistSnapshot:
    """Write a snapshot; later entries stay only if ``keeps_suffix``."""

    snapshot: log.Snapshot
    keeps_suffix: bool


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message once everything persisted before it is synced."""

    peer_id: str
    message: messages.Message


@dataclasses.dataclass(frozen=True)
class Apply:
    """Apply committed entries to the state machine."""

    entries: tuple[messages.LogEntry, ...]


@dataclasses.dataclass(frozen=True)
class Restore:
    """Replace the state machine by a snapshot."""

    snapshot: log.Snapshot


@dataclasses.dataclass(frozen=True)
class RoleChanged:
    """The replica took another role, term or leader."""

    role: Role
    term: int
    leader_id: str | None


@dataclasses.dataclass(frozen=True)
class BarrierReached:
    """A read that waited with ``token`` may read once ``index`` is applied."""

    token: int
    index: int


@dataclasses.dataclass(frozen=True)
class JoinRequested:
    """A new identity asks this leader to be admitted."""

    instance_id: str
    identity: str


@dataclasses.dataclass(frozen=True)
class MessageRefused:
    """A peer did not process a message of this replica."""

    peer_id: str
    reason: messages.RefusalReason


Effect = (
    PersistHardState
    | PersistEntries
    | PersistSnapshot
    | Send
    | Apply
    | Restore
    | RoleChanged
    | BarrierReached
    | JoinRequested
    | MessageRefused
)
