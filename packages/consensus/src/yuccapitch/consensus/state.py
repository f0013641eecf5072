"""State of a replica's core and the transitions shared by its modules."""

from __future__ import annotations

import dataclasses
import random

from yuccapitch.consensus import durability, effects, log as core_log, membership
from yuccapitch.protocol import consensus_messages as messages

# Fraction of the minimum election timeout by which the leader lease is shortened. It
# covers clock rates that are off by up to 5 % in either direction:
# 1 - 0.95 / 1.05 < 0.1.
CLOCK_DRIFT_MARGIN = 0.1


@dataclasses.dataclass(frozen=True)
class Timing:
    """Timeouts and intervals of the protocol."""

    heartbeat_interval_s: float = 0.25
    min_election_timeout_s: float = 1.0
    max_election_timeout_s: float = 2.0


@dataclasses.dataclass
class Progress:
    """Replication progress of one other member, as known to the leader."""

    next_index: int
    match_index: int = 0
    round_number: int = 0
    last_probe_round: int = 0
    """Round of the last request sent after a mismatch; earlier rejections are stale."""
    snapshot: core_log.Snapshot | None = None
    snapshot_offset: int = 0
    silent_s: float = 0.0
    """Time without an answer while the leader was able to receive one."""


@dataclasses.dataclass(frozen=True)
class ReadBarrier:
    """A linearizable read that waits until a quorum confirms a round."""

    token: int
    round_number: int
    index: int


@dataclasses.dataclass
class LeaderState:
    """Volatile state of a leader, discarded when it steps down.

    Every request to a member carries a round number. A round answered by a quorum
    confirms that this replica was the leader when the round was sent.
    """

    term_start_index: int
    started_at: float
    next_heartbeat_at: float
    observed_at: float
    """Time up to which the silence of the members has been counted."""
    progress_by_identity: dict[str, Progress] = dataclasses.field(default_factory=dict)
    sent_at_by_round: dict[int, float] = dataclasses.field(default_factory=dict)
    barriers: list[ReadBarrier] = dataclasses.field(default_factory=list)
    challenges_by_instance_id: dict[str, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    round_number: int = 0
    confirmed_round: int = 0
    confirmed_sent_at: float | None = None
    needs_broadcast: bool = False


@dataclasses.dataclass
class IncomingSnapshot:
    """A partially received snapshot."""

    last_index: int
    last_term: int
    data: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(frozen=True)
class PendingMatch:
    """A match with the leader's log that was answered for only in part.

    The rest is answered for once it is durable.
    """

    peer_id: str
    leader_identity: str
    term: int
    match_index: int
    round_number: int


@dataclasses.dataclass
class State:
    """Complete state of a replica's core."""

    instance_id: str
    identity: str
    peer_ids: tuple[str, ...]
    is_founder: bool
    timing: Timing
    random_source: random.Random
    log: core_log.Log
    snapshot: core_log.Snapshot | None
    term: int
    voted_for: str | None
    commit_index: int
    last_leader_contact_at: float
    election_deadline: float
    role: effects.Role = effects.Role.FOLLOWER
    leader_identity: str | None = None
    leader_id: str | None = None
    votes: set[str] = dataclasses.field(default_factory=set)
    denials: set[str] = dataclasses.field(default_factory=set)
    """Identities that denied a vote in the current round."""
    voter_identity_by_instance_id: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    leader_state: LeaderState | None = None
    incoming_snapshot: IncomingSnapshot | None = None
    durability: durability.Durability = dataclasses.field(
        default_factory=lambda: durability.Durability(0)
    )
    pending_match: PendingMatch | None = None
    has_deferred: bool = False
    """Whether the election timeout was extended for another candidate."""
    is_refused: bool = False
    """Whether a member has answered that this replica is none."""
    join_target_ids: set[str] = dataclasses.field(default_factory=set)
    """Further instances that may be the leader, discovered since the start."""
    effects: list[effects.Effect] = dataclasses.field(default_factory=list)

    @property
    def is_bootstrapped(self) -> bool:
        """Whether this replica has any part of a group's log."""
        return self.log.last_index > 0


def other_members(state: State) -> list[membership.Member]:
    """Return the members other than this replica."""
    return [m for m in state.log.members.members if m.identity != state.identity]


def send(
    state: State,
    peer_id: str,
    message: messages.Message,
    after_number: int | None = None,
) -> None:
    """Send a message once the current term and vote are durable.

    With ``after_number``, it also waits for the write with that number.
    """
    effect = effects.Send(peer_id, message)
    number = max(state.durability.term_number, after_number or 0)
    if state.durability.is_durable(number):
        state.effects.append(effect)
    else:
        state.durability.hold(number, effect)


def persist_entries(state: State, entries: tuple[messages.LogEntry, ...]) -> None:
    """Write entries, replacing all entries from the first one's index on."""
    state.durability.add_entries(entries[0].index, entries[-1].index)
    state.effects.append(effects.PersistEntries(entries))


def persist_snapshot(
    state: State, snapshot: core_log.Snapshot, keeps_suffix: bool
) -> None:
    """Write a snapshot that replaces the entries up to it, or the whole log."""
    if not keeps_suffix:
        # Entries that are committed are part of the snapshot.
        state.durability.drop_after(state.commit_index)
    state.durability.add_snapshot(snapshot.last_index)
    state.effects.append(effects.PersistSnapshot(snapshot, keeps_suffix))


def refuse(
    state: State, peer_id: str, identity: str, reason: messages.RefusalReason
) -> None:
    """Reply to a peer that its message is not processed."""
    send(
        state,
        peer_id,
        messages.Refusal(state.term, state.identity, identity, reason.value),
    )


def set_term(state: State, term: int, voted_for: str | None) -> None:
    """Set the term and vote; later messages wait until they are durable."""
    state.term, state.voted_for = term, voted_for
    state.durability.add_hard_state()
    hard_state = effects.HardState(term, voted_for)
    state.effects.append(effects.PersistHardState(hard_state))


def set_role(
    state: State, role: effects.Role, leader_identity: str | None, leader_id: str | None
) -> None:
    """Set the role and leader, and report the change."""
    state.role = role
    state.leader_identity, state.leader_id = leader_identity, leader_id
    state.effects.append(effects.RoleChanged(role, state.term, leader_id))


def become_follower(
    state: State,
    term: int,
    now: float,
    leader_identity: str | None = None,
    leader_id: str | None = None,
) -> None:
    """Become a follower in ``term``, of the given leader if it is known."""
    if state.role is effects.Role.LEADER:
        # This replica may have counted towards the quorum that confirmed its own leader
        # lease, so it must deny votes for as long as its followers do.
        state.last_leader_contact_at = now
    state.leader_state = None
    state.has_deferred = False
    is_new_term = term > state.term
    if is_new_term:
        set_term(state, term, None)
    is_same = (state.role, state.leader_identity) == (
        effects.Role.FOLLOWER,
        leader_identity,
    )
    if is_new_term or not is_same:
        set_role(state, effects.Role.FOLLOWER, leader_identity, leader_id)
        reset_election_deadline(state, now)


def reset_election_deadline(state: State, now: float) -> None:
    """Choose a random time after which this replica starts an election."""
    timing = state.timing
    timeout_s = state.random_source.uniform(
        timing.min_election_timeout_s, timing.max_election_timeout_s
    )
    state.election_deadline = now + timeout_s


def report_members(state: State, entry: messages.LogEntry) -> None:
    """Report the membership if the entry that was just appended sets it."""
    if entry.kind == messages.EntryKind.MEMBERSHIP:
        changed = effects.MembersChanged(entry.index, state.log.members)
        state.effects.append(changed)


def advance_commit(state: State, index: int) -> None:
    """Advance the commit index and apply the newly committed entries."""
    if index <= state.commit_index:
        return
    entries = state.log.slice(state.commit_index + 1, index)
    state.commit_index = index
    state.effects.append(effects.Apply(entries))
