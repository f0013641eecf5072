"""What a leader does: replicate, commit, confirm its leadership, change members."""

from __future__ import annotations

import enum

import result

from yuccapitch.consensus import effects, membership, replication, state as core_state
from yuccapitch.protocol import consensus_messages as messages

# How far behind the commit index a learner may be when it becomes a voter.
CAUGHT_UP_LAG_ENTRIES = 100


class ChangeError(enum.Enum):
    """Why the members cannot change now."""

    NOT_LEADER = "this replica does not lead"
    TERM_NOT_COMMITTED = "no entry of this term is committed yet"
    CHANGE_PENDING = "an earlier change is not committed yet"
    TOO_MANY_VOTERS = "more than one voter would change at once"
    NOT_CAUGHT_UP = "the learner has not caught up"
    SUPERSEDED = "a later change removed the learner"


def start(state: core_state.State, now: float) -> None:
    """Take the lead of the term just won."""
    founding = None if state.is_formed else _founding_membership(state)
    state.leadership = core_state.Leadership(
        first_index=state.log.last_index + 1, started_s=now, next_heartbeat_s=now
    )
    core_state.set_role(state, effects.Role.LEADER, state.identity, state.instance_id)
    if founding:
        append(state, messages.EntryKind.MEMBERSHIP, membership.encode(founding))
    else:
        append(state, messages.EntryKind.NOOP, b"")
    _track_members(state)


def append(state: core_state.State, kind: messages.EntryKind, payload: bytes) -> int:
    """Add an entry of this term and return its index."""
    entry = messages.LogEntry(state.log.last_index + 1, state.term, kind.value, payload)
    state.log.append(entry)
    state.effects.append(effects.PersistEntries((entry,)))
    if state.leadership:
        state.leadership.needs_broadcast = True
    return entry.index


def tick(state: core_state.State, now: float) -> None:
    """Send a heartbeat when due; stand down when no quorum has answered."""
    leading = state.leadership
    if leading is None:
        return
    confirmed_s = leading.confirmed_sent_s
    heard_s = leading.started_s if confirmed_s is None else confirmed_s
    if now - heard_s > state.timing.max_election_timeout_s:
        core_state.become_follower(state, state.term, now)
    elif now >= leading.next_heartbeat_s:
        leading.needs_broadcast = True


def flush(state: core_state.State, now: float) -> None:
    """Send what was appended since the last flush."""
    leading = state.leadership
    if leading is None or not leading.needs_broadcast:
        return
    leading.needs_broadcast = False
    leading.next_heartbeat_s = now + state.timing.heartbeat_interval_s
    replication.start_round(leading, now)
    for member in core_state.other_members(state):
        progress = leading.progress_by_identity[member.identity]
        replication.send_append(state, leading, member, progress)
    _confirm_rounds(state, leading)
    _commit(state, leading, now)


def on_append_reply(
    state: core_state.State, peer_id: str, message: messages.AppendReply, now: float
) -> None:
    """Take in how far a follower's log matches."""
    found = _find_progress(state, peer_id, message, now)
    if found is None:
        return
    leading, member, progress = found
    progress.round_number = max(progress.round_number, message.round_number)
    _confirm_rounds(state, leading)
    if message.success:
        replication.take_match(progress, message.match_index)
        _commit(state, leading, now)
        has_more = progress.next_index <= state.log.last_index
        if has_more and state.leadership is leading:
            replication.send_in_new_round(state, leading, member, progress, now)
    elif message.round_number >= progress.probe_round:
        hint = min(progress.next_index, message.match_index + 1)
        progress.next_index = max(progress.match_index + 1, hint)
        replication.send_in_new_round(state, leading, member, progress, now)
        progress.probe_round = leading.round_number


def on_snapshot_reply(
    state: core_state.State, peer_id: str, message: messages.SnapshotReply, now: float
) -> None:
    """Send the next chunk, or go on with entries once the snapshot is installed."""
    found = _find_progress(state, peer_id, message, now)
    if found is None:
        return
    leading, member, progress = found
    progress.round_number = max(progress.round_number, message.round_number)
    _confirm_rounds(state, leading)
    if replication.take_snapshot_reply(progress, message):
        _commit(state, leading, now)
        if state.leadership is leading:
            replication.send_in_new_round(state, leading, member, progress, now)


def change_members(
    state: core_state.State, members: membership.Membership
) -> result.Result[int, ChangeError]:
    """Append an entry that sets the members, if they may change now."""
    leading = state.leadership
    if leading is None:
        return result.Err(ChangeError.NOT_LEADER)
    if state.commit_index < leading.first_index:
        return result.Err(ChangeError.TERM_NOT_COMMITTED)
    if state.log.membership_index > state.commit_index:
        return result.Err(ChangeError.CHANGE_PENDING)
    if not members.can_follow(state.log.members):
        return result.Err(ChangeError.TOO_MANY_VOTERS)
    for identity in members.voters() - state.log.members.voters():
        if not _is_caught_up(state, leading, identity):
            return result.Err(ChangeError.NOT_CAUGHT_UP)
    payload = membership.encode(members)
    index = append(state, messages.EntryKind.MEMBERSHIP, payload)
    _track_members(state)
    return result.Ok(index)


def add_barrier(state: core_state.State, token: int) -> bool:
    """Register a read for the next round; false if this replica does not lead."""
    leading = state.leadership
    if leading is None:
        return False
    index = max(state.commit_index, leading.first_index)
    barrier = core_state.Barrier(token, leading.round_number + 1, index)
    leading.barriers.append(barrier)
    leading.needs_broadcast = True
    return True


def confirmed_until(state: core_state.State) -> float:
    """Return the time before which no other replica can lead, or minus infinity."""
    leading = state.leadership
    if leading is None or leading.confirmed_sent_s is None:
        return float("-inf")
    if state.commit_index < leading.first_index:
        return float("-inf")
    safe_share = 1.0 - core_state.CLOCK_DRIFT_MARGIN
    return leading.confirmed_sent_s + state.timing.min_election_timeout_s * safe_share


def _founding_membership(state: core_state.State) -> membership.Membership:
    own = membership.Member(state.instance_id, state.identity, is_voter=True)
    others = (
        membership.Member(instance_id, identity, is_voter=True)
        for instance_id, identity in sorted(state.founding_by_instance_id.items())
    )
    return membership.Membership((own, *others))


def _track_members(state: core_state.State) -> None:
    leading = state.leadership
    if leading is None:
        return
    known = leading.progress_by_identity
    next_index = max(state.log.last_index, 1)
    leading.progress_by_identity = {
        m.identity: known.get(m.identity) or core_state.Progress(next_index)
        for m in core_state.other_members(state)
    }


def _find_progress(
    state: core_state.State,
    peer_id: str,
    message: messages.AppendReply | messages.SnapshotReply,
    now: float,
) -> tuple[core_state.Leadership, membership.Member, core_state.Progress] | None:
    if message.term > state.term:
        core_state.become_follower(state, message.term, now)
        return None
    leading = state.leadership
    if leading is None or message.request_term != state.term:
        return None
    member = state.log.members.find(message.sender)
    if member is None:
        reason = messages.RefusalReason.NOT_A_MEMBER
        core_state.refuse(state, peer_id, message.sender, reason)
        return None
    return leading, member, leading.progress_by_identity[member.identity]


def _confirm_rounds(state: core_state.State, leading: core_state.Leadership) -> None:
    number = _quorum_value(
        state,
        own=leading.round_number,
        value_by_identity={
            i: p.round_number for i, p in leading.progress_by_identity.items()
        },
    )
    if number <= leading.confirmed_round:
        return
    leading.confirmed_round = number
    leading.confirmed_sent_s = leading.sent_s_by_round[number]
    for earlier in [n for n in leading.sent_s_by_round if n <= number]:
        del leading.sent_s_by_round[earlier]
    reached = [b for b in leading.barriers if b.round_number <= number]
    leading.barriers = [b for b in leading.barriers if b.round_number > number]
    for barrier in reached:
        state.effects.append(effects.BarrierReached(barrier.token, barrier.index))


def _commit(
    state: core_state.State, leading: core_state.Leadership, now: float
) -> None:
    index = _quorum_value(
        state,
        own=state.log.last_index,
        value_by_identity={
            i: p.match_index for i, p in leading.progress_by_identity.items()
        },
    )
    if not _is_committable(state, index):
        return
    core_state.advance_commit(state, index)
    is_settled = state.log.membership_index <= state.commit_index
    if is_settled and state.identity not in state.log.members.voters():
        core_state.become_follower(state, state.term, now)


def _is_committable(state: core_state.State, index: int) -> bool:
    # An entry of an older term that a majority holds can still be replaced; it is
    # committed by the first entry of this term after it.
    return state.log.term_at(index) == state.term


def _quorum_value(
    state: core_state.State, own: int, value_by_identity: dict[str, int]
) -> int:
    voters = state.log.members.voters()
    values = sorted(
        own if identity == state.identity else value_by_identity[identity]
        for identity in voters
    )
    return values[(len(values) - 1) // 2] if values else 0


def _is_caught_up(
    state: core_state.State, leading: core_state.Leadership, identity: str
) -> bool:
    progress = leading.progress_by_identity.get(identity)
    if progress is None:
        return False
    least = state.commit_index - CAUGHT_UP_LAG_ENTRIES
    # A learner that holds the entry that admitted it is known to be there at all.
    return progress.match_index >= max(least, state.log.membership_index)
