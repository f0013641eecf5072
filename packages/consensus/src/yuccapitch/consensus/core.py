"""Raft replica as a deterministic state machine that performs no I/O.

Events and the current time go in, effects come out.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Iterable
from typing import Any

import result

from yuccapitch.consensus import (
    durability,
    effects,
    election,
    follower,
    joining,
    leader,
    log as core_log,
    membership,
    state as core_state,
)
from yuccapitch.protocol import consensus_messages as messages

# Entries, and bytes of them, kept in memory before the snapshot index, so that members
# that lag slightly do not need the snapshot.
RETAINED_ENTRIES = 1000
RETAINED_BYTES = 8 * 1024 * 1024

Handler = Callable[[core_state.State, str, Any, float], None]


@dataclasses.dataclass(frozen=True)
class RecoveredState:
    """State that a replica reads from its disk at startup."""

    identity: str
    hard_state: effects.HardState
    snapshot: core_log.Snapshot | None
    entries: tuple[messages.LogEntry, ...]


@dataclasses.dataclass(frozen=True)
class Settings:
    """Configuration of one replica and its group."""

    instance_id: str
    peer_ids: tuple[str, ...]
    is_founder: bool
    """Whether this instance may bootstrap the group."""
    timing: core_state.Timing = core_state.Timing()
    started_at_s: float | None = None
    """Time at which the process started, on the core's clock.

    The process answered no messages before it. None stands for the time at which the
    core is created.
    """


class Core:
    """State machine of one replica; ``take_effects`` returns what it has to do."""

    def __init__(
        self,
        settings: Settings,
        recovered: RecoveredState,
        random_source: random.Random,
        now: float,
    ) -> None:
        """Resume from the state recovered from the disk."""
        snapshot = recovered.snapshot
        recovered_log = core_log.Log(snapshot)
        for entry in recovered.entries:
            recovered_log.append(entry)
        process_start = now if settings.started_at_s is None else settings.started_at_s
        is_new_disk = recovered.hard_state == effects.HardState(0, None)
        self._state = core_state.State(
            instance_id=settings.instance_id,
            identity=recovered.identity,
            peer_ids=settings.peer_ids,
            is_founder=settings.is_founder,
            timing=settings.timing,
            random_source=random_source,
            log=recovered_log,
            snapshot=snapshot,
            term=recovered.hard_state.term,
            voted_for=recovered.hard_state.voted_for,
            commit_index=recovered_log.base_index,
            # The previous process may have answered a leader up to the start of this
            # one, so votes are denied as after a contact then. A new disk has answered
            # no leader.
            last_leader_contact_at=(
                float("-inf") if is_new_disk else min(process_start, now)
            ),
            election_deadline=now,
            durability=durability.Durability(recovered_log.last_index),
        )
        if snapshot:
            self._state.effects.append(effects.Restore(snapshot))
        if self._state.is_bootstrapped and not self._is_sole_voter():
            core_state.reset_election_deadline(self._state, min(process_start, now))

    @property
    def identity(self) -> str:
        """The identity stored on this replica's disk."""
        return self._state.identity

    @property
    def peer_ids(self) -> tuple[str, ...]:
        """The other instances listed in the settings."""
        return self._state.peer_ids

    def add_join_targets(self, peer_ids: Iterable[str]) -> None:
        """Also send join requests to these instances while admission is needed."""
        own_id = self._state.instance_id
        self._state.join_target_ids.update(i for i in peer_ids if i != own_id)

    @property
    def term(self) -> int:
        """The current term."""
        return self._state.term

    @property
    def role(self) -> effects.Role:
        """The current role."""
        return self._state.role

    @property
    def leader_id(self) -> str | None:
        """The instance of the current leader, if known."""
        return self._state.leader_id

    @property
    def commit_index(self) -> int:
        """The index of the last committed entry."""
        return self._state.commit_index

    @property
    def durable_index(self) -> int:
        """The index up to which the entries of the log are on this replica's disk."""
        return self._state.durability.log_index

    @property
    def members(self) -> membership.Membership:
        """The latest membership in the log, committed or not."""
        return self._state.log.members

    @property
    def log(self) -> core_log.Log:
        """The log, for read access."""
        return self._state.log

    def take_effects(self, now: float) -> list[effects.Effect]:
        """Return the pending effects in order and clear them.

        Messages among them may be sent at once; those that rest on a write that is not
        durable yet come after ``on_durable``.
        """
        leader.flush(self._state, now)
        self._state.durability.observe(now)
        pending, self._state.effects = self._state.effects, []
        return pending

    def on_durable(self, count: int, duration_s: float, now: float) -> None:
        """Record that the first ``count`` writes since the start are durable.

        ``duration_s`` is the duration of the latest, with its syncs.
        """
        state = self._state
        was_term_durable = state.durability.is_term_durable
        state.durability.advance(count, duration_s, now)
        state.effects.extend(state.durability.release())
        if state.durability.is_term_durable and not was_term_durable:
            election.on_term_durable(state, now)
        leader.on_durable(state, now)
        follower.on_durable(state)

    def tick(self, now: float) -> None:
        """Process the timeouts that are due."""
        leader.tick(self._state, now)
        election.tick(self._state, now)

    def receive(self, peer_id: str, message: messages.Message, now: float) -> None:
        """Process a message from an instance."""
        state = self._state
        if message.recipient not in (messages.ANY_IDENTITY, state.identity):
            if not isinstance(message, messages.Refusal):
                reason = messages.RefusalReason.WRONG_RECIPIENT
                core_state.refuse(state, peer_id, message.sender, reason)
            return
        _HANDLERS[type(message)](state, peer_id, message, now)

    def propose(self, command: bytes) -> int | None:
        """Append a command and return its index, or None if this is not the leader."""
        if self._state.leader_state is None:
            return None
        return leader.append(self._state, messages.EntryKind.COMMAND, command)

    def read_barrier(self, token: int) -> bool:
        """Register a read for a quorum to confirm; false if this is not the leader."""
        return leader.add_barrier(self._state, token)

    def change_members(
        self, members: membership.Membership
    ) -> result.Result[int, leader.ChangeError]:
        """Append an entry that sets the membership and return its index."""
        return leader.change_members(self._state, members)

    def leader_lease_expires_at(self) -> float:
        """Return the time before which no other replica can become leader."""
        return leader.lease_expires_at(self._state)

    def compact(self, index: int, data: bytes) -> None:
        """Store a snapshot taken at an applied index and compact the log."""
        state = self._state
        term = state.log.term_at(index)
        if term is None or index > state.commit_index:
            raise AssertionError(f"cannot take a snapshot at {index}")
        members = state.log.members_at(index)
        state.snapshot = core_log.Snapshot(index, term, members, data)
        core_state.persist_snapshot(state, state.snapshot, keeps_suffix=True)
        first = max(state.log.base_index, index - RETAINED_ENTRIES) + 1
        state.log.compact(state.log.last_before(first, index, RETAINED_BYTES))

    def _is_sole_voter(self) -> bool:
        return self.members.voters() == {self.identity}


_HANDLERS: dict[type, Handler] = {
    messages.PreVoteRequest: election.on_pre_vote_request,
    messages.PreVoteReply: election.on_pre_vote_reply,
    messages.VoteRequest: election.on_vote_request,
    messages.VoteReply: election.on_vote_reply,
    messages.AppendRequest: follower.on_append_request,
    messages.AppendReply: leader.on_append_reply,
    messages.SnapshotRequest: follower.on_snapshot_request,
    messages.SnapshotReply: leader.on_snapshot_reply,
    messages.JoinRequest: joining.on_join_request,
    messages.JoinChallenge: joining.on_join_challenge,
    messages.Refusal: joining.on_refusal,
}
