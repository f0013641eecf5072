"""Effects that the core requests, to be performed in order."""

from __future__ import annotations

import dataclasses
import enum

from yuccapitch.consensus import log, membership
from yuccapitch.protocol import consensus_messages as messages


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class HardState:
    """Term and vote, persisted before any message that depends on them."""

    term: int
    voted_for: str | None


@dataclasses.dataclass(frozen=True)
class PersistHardState:
    """Write the term and vote."""

    hard_state: HardState


@dataclasses.dataclass(frozen=True)
class PersistEntries:
    """Write entries, replacing all entries from the first one's index on."""

    entries: tuple[messages.LogEntry, ...]


@dataclasses.dataclass(frozen=True)
class PersistSnapshot:
    """Write a snapshot; entries after it are kept only if ``keeps_suffix`` is set."""

    snapshot: log.Snapshot
    keeps_suffix: bool


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message; everything that it rests on is durable."""

    peer_id: str
    message: messages.Message


@dataclasses.dataclass(frozen=True)
class Apply:
    """Apply committed entries to the state machine."""

    entries: tuple[messages.LogEntry, ...]


@dataclasses.dataclass(frozen=True)
class Restore:
    """Replace the state machine's state with a snapshot."""

    snapshot: log.Snapshot


@dataclasses.dataclass(frozen=True)
class RoleChanged:
    """The role, term or leader of the replica changed."""

    role: Role
    term: int
    leader_id: str | None


@dataclasses.dataclass(frozen=True)
class MembersChanged:
    """An entry that sets the membership was added to this replica's log."""

    index: int
    members: membership.Membership


@dataclasses.dataclass(frozen=True)
class MemberRemoved:
    """This leader removes a member that does not answer."""

    instance_id: str
    identity: str
    silent_s: float


@dataclasses.dataclass(frozen=True)
class ElectionFailed:
    """A round of votes or pre-votes ended without a majority for this replica."""

    term: int
    voter_count: int
    granted_ids: tuple[str, ...]
    """Instances that granted their vote, with this one."""
    denied_ids: tuple[str, ...]
    silent_ids: tuple[str, ...]
    """Instances that did not answer."""


@dataclasses.dataclass(frozen=True)
class BarrierReached:
    """A quorum confirmed the read ``token``; it may run once ``index`` is applied."""

    token: int
    index: int


@dataclasses.dataclass(frozen=True)
class JoinRequested:
    """A new identity asked this leader for admission and answered its challenge."""

    instance_id: str
    identity: str


@dataclasses.dataclass(frozen=True)
class MessageRefused:
    """A peer refused to process a message from this replica."""

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
    | MembersChanged
    | MemberRemoved
    | ElectionFailed
    | BarrierReached
    | JoinRequested
    | MessageRefused
)
