"""Leader: replicates and commits entries, keeps its lease and changes members."""

from __future__ import annotations

import enum

import result

from yuccapitch.consensus import (
    effects,
    membership,
    replication,
    silent_members,
    state as core_state,
)
from yuccapitch.protocol import consensus_messages as messages

# Lag behind the commit index up to which a learner may be promoted to a voter.
MAX_PROMOTION_LAG_ENTRIES = 100


class ChangeError(enum.Enum):
    """Reason why the membership cannot be changed now."""

    NOT_LEADER = "this replica is not the leader"
    TERM_NOT_COMMITTED = "no entry of this term is committed yet"
    CHANGE_PENDING = "an earlier membership change is not committed yet"
    TOO_MANY_VOTERS = "more than one voter would change at once"
    NOT_CAUGHT_UP = "the learner has not caught up"
    SUPERSEDED = "a later membership change removed the learner"


def become_leader(state: core_state.State, now: float) -> None:
    """Become leader of the term in which this replica won the election."""
    initial_members = None if state.is_bootstrapped else _initial_membership(state)
    state.leader_state = core_state.LeaderState(
        term_start_index=state.log.last_index + 1,
        started_at=now,
        next_heartbeat_at=now,
        observed_at=now,
    )
    core_state.set_role(state, effects.Role.LEADER, state.identity, state.instance_id)
    if initial_members:
        append(state, messages.EntryKind.MEMBERSHIP, membership.encode(initial_members))
    else:
        append(state, messages.EntryKind.NOOP, b"")
    _track_members(state)


def append(state: core_state.State, kind: messages.EntryKind, payload: bytes) -> int:
    """Append an entry of the current term and return its index."""
    entry = messages.LogEntry(state.log.last_index + 1, state.term, kind.value, payload)
    state.log.append(entry)
    core_state.persist_entries(state, (entry,))
    core_state.report_members(state, entry)
    if state.leader_state:
        state.leader_state.needs_broadcast = True
    return entry.index


def tick(state: core_state.State, now: float) -> None:
    """Send heartbeats, remove silent members, step down without a quorum."""
    leader_state = state.leader_state
    if leader_state is None:
        return
    confirmed_at = leader_state.confirmed_sent_at
    last_contact_at = leader_state.started_at if confirmed_at is None else confirmed_at
    if now - last_contact_at > state.timing.max_election_timeout_s:
        core_state.become_follower(state, state.term, now)
        return
    if _holds_up_group(state, now):
        core_state.become_follower(state, state.term, now)
        return
    if now >= leader_state.next_heartbeat_at:
        leader_state.needs_broadcast = True
    silent_members.observe(state, leader_state, now)
    _remove_silent_member(state, leader_state)


def on_durable(state: core_state.State, now: float) -> None:
    """Count this replica's own copy of the entries that have become durable."""
    if state.leader_state is not None:
        _commit(state, state.leader_state, now)


def flush(state: core_state.State, now: float) -> None:
    """Broadcast new entries, or a heartbeat, if a broadcast is due."""
    leader_state = state.leader_state
    if leader_state is None or not leader_state.needs_broadcast:
        return
    leader_state.needs_broadcast = False
    leader_state.next_heartbeat_at = now + state.timing.heartbeat_interval_s
    replication.start_round(leader_state, now)
    for member in core_state.other_members(state):
        progress = leader_state.progress_by_identity[member.identity]
        replication.send_append(state, leader_state, member, progress)
    _confirm_rounds(state, leader_state)
    _commit(state, leader_state, now)


def on_append_reply(
    state: core_state.State, peer_id: str, message: messages.AppendReply, now: float
) -> None:
    """Record how far a follower's log matches and send further entries."""
    found = _find_progress(state, peer_id, message, now)
    if found is None:
        return
    leader_state, member, progress = found
    progress.round_number = max(progress.round_number, message.round_number)
    _confirm_rounds(state, leader_state)
    if message.success:
        replication.record_match(progress, message.match_index)
        _commit(state, leader_state, now)
        has_more = progress.next_index <= state.log.last_index
        if has_more and state.leader_state is leader_state:
            replication.send_in_new_round(state, leader_state, member, progress, now)
    elif message.round_number >= progress.last_probe_round:
        # One missing entry makes the follower reject every pipelined request after it.
        # Only the first rejection moves the next index back.
        hint = min(progress.next_index, message.match_index + 1)
        progress.next_index = max(progress.match_index + 1, hint)
        replication.send_in_new_round(state, leader_state, member, progress, now)
        progress.last_probe_round = leader_state.round_number


def on_snapshot_reply(
    state: core_state.State, peer_id: str, message: messages.SnapshotReply, now: float
) -> None:
    """Send the next chunk, or entries once the snapshot is installed."""
    found = _find_progress(state, peer_id, message, now)
    if found is None:
        return
    leader_state, member, progress = found
    progress.round_number = max(progress.round_number, message.round_number)
    _confirm_rounds(state, leader_state)
    if replication.record_snapshot_reply(progress, message):
        _commit(state, leader_state, now)
        if state.leader_state is leader_state:
            replication.send_in_new_round(state, leader_state, member, progress, now)


def change_members(
    state: core_state.State, members: membership.Membership
) -> result.Result[int, ChangeError]:
    """Append an entry that sets the membership, if the change is allowed now."""
    leader_state = state.leader_state
    if leader_state is None:
        return result.Err(ChangeError.NOT_LEADER)
    if state.commit_index < leader_state.term_start_index:
        return result.Err(ChangeError.TERM_NOT_COMMITTED)
    if state.log.membership_index > state.commit_index:
        return result.Err(ChangeError.CHANGE_PENDING)
    if not members.can_replace(state.log.members):
        return result.Err(ChangeError.TOO_MANY_VOTERS)
    for identity in members.voters() - state.log.members.voters():
        if not _is_caught_up(state, leader_state, identity):
            return result.Err(ChangeError.NOT_CAUGHT_UP)
    payload = membership.encode(members)
    index = append(state, messages.EntryKind.MEMBERSHIP, payload)
    _track_members(state)
    return result.Ok(index)


def add_barrier(state: core_state.State, token: int) -> bool:
    """Register a read for the next round; false if this is not the leader."""
    leader_state = state.leader_state
    if leader_state is None:
        return False
    index = max(state.commit_index, leader_state.term_start_index)
    barrier = core_state.ReadBarrier(token, leader_state.round_number + 1, index)
    leader_state.barriers.append(barrier)
    leader_state.needs_broadcast = True
    return True


def lease_expires_at(state: core_state.State) -> float:
    """Return the end of the leader lease, or minus infinity if there is none.

    No other replica can become leader before that time.
    """
    leader_state = state.leader_state
    if leader_state is None or leader_state.confirmed_sent_at is None:
        return float("-inf")
    if state.commit_index < leader_state.term_start_index:
        return float("-inf")
    usable_fraction = 1.0 - core_state.CLOCK_DRIFT_MARGIN
    return (
        leader_state.confirmed_sent_at
        + state.timing.min_election_timeout_s * usable_fraction
    )


def _holds_up_group(state: core_state.State, now: float) -> bool:
    """Return whether the disk has stalled although the others' disks have not.

    A group whose other disks don't commit either has no better leader: this one still
    confirms reads.
    """
    is_behind = state.durability.log_index < state.commit_index
    return is_behind and state.durability.is_stalled(now)


def _remove_silent_member(
    state: core_state.State, leader_state: core_state.LeaderState
) -> None:
    member = silent_members.find_removable(state, leader_state)
    if member is None:
        return
    silent_s = leader_state.progress_by_identity[member.identity].silent_s
    # An error means that an earlier change is pending; the next tick tries again.
    if change_members(state, state.log.members.without(member.instance_id)).is_ok():
        removed = effects.MemberRemoved(member.instance_id, member.identity, silent_s)
        state.effects.append(removed)


def _initial_membership(state: core_state.State) -> membership.Membership:
    own = membership.Member(state.instance_id, state.identity, is_voter=True)
    others = (
        membership.Member(instance_id, identity, is_voter=True)
        for instance_id, identity in sorted(state.voter_identity_by_instance_id.items())
    )
    return membership.Membership((own, *others))


def _track_members(state: core_state.State) -> None:
    leader_state = state.leader_state
    if leader_state is None:
        return
    previous = leader_state.progress_by_identity
    next_index = max(state.log.last_index, 1)
    leader_state.progress_by_identity = {
        m.identity: previous.get(m.identity) or core_state.Progress(next_index)
        for m in core_state.other_members(state)
    }


def _find_progress(
    state: core_state.State,
    peer_id: str,
    message: messages.AppendReply | messages.SnapshotReply,
    now: float,
) -> tuple[core_state.LeaderState, membership.Member, core_state.Progress] | None:
    if message.term > state.term:
        core_state.become_follower(state, message.term, now)
        return None
    leader_state = state.leader_state
    if leader_state is None or message.request_term != state.term:
        return None
    member = state.log.members.find(message.sender)
    if member is None:
        reason = messages.RefusalReason.NOT_A_MEMBER
        core_state.refuse(state, peer_id, message.sender, reason)
        return None
    progress = leader_state.progress_by_identity[member.identity]
    progress.silent_s = 0.0
    return leader_state, member, progress


def _confirm_rounds(
    state: core_state.State, leader_state: core_state.LeaderState
) -> None:
    number = _quorum_value(
        state,
        own=leader_state.round_number,
        value_by_identity={
            i: p.round_number for i, p in leader_state.progress_by_identity.items()
        },
    )
    if number <= leader_state.confirmed_round:
        return
    leader_state.confirmed_round = number
    leader_state.confirmed_sent_at = leader_state.sent_at_by_round[number]
    for confirmed_number in [n for n in leader_state.sent_at_by_round if n <= number]:
        del leader_state.sent_at_by_round[confirmed_number]
    reached = [b for b in leader_state.barriers if b.round_number <= number]
    leader_state.barriers = [
        b for b in leader_state.barriers if b.round_number > number
    ]
    for barrier in reached:
        state.effects.append(effects.BarrierReached(barrier.token, barrier.index))


def _commit(
    state: core_state.State, leader_state: core_state.LeaderState, now: float
) -> None:
    index = _quorum_value(
        state,
        own=state.durability.log_index,
        value_by_identity={
            i: p.match_index for i, p in leader_state.progress_by_identity.items()
        },
    )
    if not _is_committable(state, index):
        return
    core_state.advance_commit(state, index)
    # A removed leader steps down only now, as it has to commit its own removal.
    is_committed = state.log.membership_index <= state.commit_index
    if is_committed and state.identity not in state.log.members.voters():
        core_state.become_follower(state, state.term, now)


def _is_committable(state: core_state.State, index: int) -> bool:
    # An entry of an earlier term can still be replaced even if a majority has it. It is
    # committed together with the first entry of this term after it.
    return state.log.term_at(index) == state.term


def _quorum_value(
    state: core_state.State, own: int, value_by_identity: dict[str, int]
) -> int:
    """Return the highest value that a majority of the voters has reached."""
    voters = state.log.members.voters()
    values = sorted(
        own if identity == state.identity else value_by_identity[identity]
        for identity in voters
    )
    return values[(len(values) - 1) // 2] if values else 0


def _is_caught_up(
    state: core_state.State, leader_state: core_state.LeaderState, identity: str
) -> bool:
    progress = leader_state.progress_by_identity.get(identity)
    if progress is None:
        return False
    min_index = state.commit_index - MAX_PROMOTION_LAG_ENTRIES
    # A learner that has the entry that admitted it is known to be running.
    return progress.match_index >= max(min_index, state.log.membership_index)
