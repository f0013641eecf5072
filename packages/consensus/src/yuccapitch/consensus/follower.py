"""Follower: accepts entries and snapshots from the leader of the current term."""

from __future__ import annotations

from yuccapitch.consensus import effects, log, membership, state as core_state
from yuccapitch.protocol import consensus_messages as messages


def on_append_request(
    state: core_state.State, peer_id: str, message: messages.AppendRequest, now: float
) -> None:
    """Append the entries if the log matches up to the entry before them."""
    if message.term < state.term:
        _reply_to_append(state, peer_id, message, success=False, match_index=0)
        return
    _accept_leader(state, peer_id, message.sender, message.term, now)
    hint = _find_mismatch(state, message)
    if hint is not None:
        _reply_to_append(state, peer_id, message, success=False, match_index=hint)
        return
    _append_entries(state, message.entries)
    match_index = message.previous_index + len(message.entries)
    core_state.advance_commit(state, min(message.commit_index, match_index))
    _reply_to_match(
        state,
        core_state.PendingMatch(
            peer_id, message.sender, message.term, match_index, message.round_number
        ),
    )


def on_durable(state: core_state.State) -> None:
    """Answer for entries that have become durable."""
    pending, state.pending_match = state.pending_match, None
    if pending is not None and pending.term == state.term:
        _reply_to_match(state, pending)


def on_snapshot_request(
    state: core_state.State,
    peer_id: str,
    message: messages.SnapshotRequest,
    now: float,
) -> None:
    """Collect the chunks of a snapshot and install it once complete."""
    if message.term < state.term:
        _reply_to_chunk(state, peer_id, message, next_offset=0, installed=False)
        return
    _accept_leader(state, peer_id, message.sender, message.term, now)
    if message.last_index <= state.commit_index:
        _reply_to_installed(state, peer_id, message)
        return
    incoming = _get_incoming_snapshot(state, message)
    if message.offset == len(incoming.data):
        incoming.data.extend(message.data)
        if message.is_last:
            _install_snapshot(state, message, bytes(incoming.data))
            number = state.durability.latest_number
            _reply_to_installed(state, peer_id, message, number)
            return
    _reply_to_chunk(
        state, peer_id, message, next_offset=len(incoming.data), installed=False
    )


def _accept_leader(
    state: core_state.State, peer_id: str, sender: str, term: int, now: float
) -> None:
    if state.role is effects.Role.LEADER and term == state.term:
        raise AssertionError(f"{sender} and {state.identity} both lead term {term}")
    core_state.become_follower(state, term, now, sender, peer_id)
    state.last_leader_contact_at = now
    state.is_refused = False
    core_state.reset_election_deadline(state, now)


def _find_mismatch(
    state: core_state.State, message: messages.AppendRequest
) -> int | None:
    """Return the index after which the leader should retry, or None on a match."""
    previous = message.previous_index
    if previous > state.log.last_index:
        return state.log.last_index
    # Compacted entries are committed, so every later leader has the same ones.
    if previous < state.log.base_index:
        return None
    own_term = state.log.term_at(previous)
    if own_term == message.previous_term:
        return None
    # Skip all entries of the conflicting term at once, instead of one per round trip.
    hint = previous - 1
    while hint > state.commit_index and state.log.term_at(hint) == own_term:
        hint -= 1
    return hint


def _append_entries(
    state: core_state.State, entries: tuple[messages.LogEntry, ...]
) -> None:
    own_log = state.log
    known_count = 0
    for entry in entries:
        is_compacted = entry.index <= own_log.base_index
        if not is_compacted and own_log.term_at(entry.index) != entry.term:
            break
        known_count += 1
    missing = entries[known_count:]
    if not missing:
        return
    if missing[0].index <= state.commit_index:
        raise AssertionError(f"committed entry {missing[0].index} would be replaced")
    if missing[0].index <= own_log.last_index:
        own_log.truncate(missing[0].index)
    core_state.persist_entries(state, missing)
    for entry in missing:
        own_log.append(entry)
        core_state.report_members(state, entry)


def _reply_to_match(state: core_state.State, pending: core_state.PendingMatch) -> None:
    """Tell the leader how far the log matches, as far as it is durable."""
    match_index = min(pending.match_index, state.durability.log_index)
    reply = messages.AppendReply(
        state.term,
        state.identity,
        pending.leader_identity,
        pending.term,
        True,
        match_index,
        pending.round_number,
    )
    core_state.send(state, pending.peer_id, reply)
    if match_index < pending.match_index:
        # Replies of one term are for one log, so the longest match covers the others.
        earlier = state.pending_match
        if (
            earlier is None
            or earlier.term != pending.term
            or earlier.match_index <= pending.match_index
        ):
            state.pending_match = pending


def _reply_to_append(
    state: core_state.State,
    peer_id: str,
    message: messages.AppendRequest,
    success: bool,
    match_index: int,
) -> None:
    reply = messages.AppendReply(
        state.term,
        state.identity,
        message.sender,
        message.term,
        success,
        match_index,
        message.round_number,
    )
    core_state.send(state, peer_id, reply)


def _get_incoming_snapshot(
    state: core_state.State, message: messages.SnapshotRequest
) -> core_state.IncomingSnapshot:
    incoming = state.incoming_snapshot
    last_position = (message.last_index, message.last_term)
    is_same = incoming and (incoming.last_index, incoming.last_term) == last_position
    if incoming is None or not is_same or message.offset == 0:
        incoming = core_state.IncomingSnapshot(*last_position)
        state.incoming_snapshot = incoming
    return incoming


def _install_snapshot(
    state: core_state.State, message: messages.SnapshotRequest, data: bytes
) -> None:
    members = membership.decode(message.membership)
    snapshot = log.Snapshot(message.last_index, message.last_term, members, data)
    # The leader may have counted entries after the snapshot towards a quorum, so they
    # are kept if the log matches the snapshot at its last entry.
    keeps_suffix = state.log.term_at(snapshot.last_index) == snapshot.last_term
    if keeps_suffix:
        state.log.compact(snapshot.last_index)
    else:
        state.log = log.Log(snapshot)
    state.snapshot, state.incoming_snapshot = snapshot, None
    core_state.persist_snapshot(state, snapshot, keeps_suffix)
    state.commit_index = snapshot.last_index
    state.effects.append(effects.Restore(snapshot))


def _reply_to_installed(
    state: core_state.State,
    peer_id: str,
    message: messages.SnapshotRequest,
    after_number: int | None = None,
) -> None:
    """Reply that the snapshot is part of the log, as soon as that is durable.

    Until then, an unchanged offset confirms the leader and asks for no further chunk.
    With ``after_number``, a second reply follows the write with that number.
    """
    is_durable = message.last_index <= state.durability.log_index
    _reply_to_chunk(
        state,
        peer_id,
        message,
        next_offset=0 if is_durable else message.offset,
        installed=is_durable,
    )
    if not is_durable and after_number is not None:
        _reply_to_chunk(state, peer_id, message, 0, True, after_number)


def _reply_to_chunk(
    state: core_state.State,
    peer_id: str,
    message: messages.SnapshotRequest,
    next_offset: int,
    installed: bool,
    after_number: int | None = None,
) -> None:
    reply = messages.SnapshotReply(
        state.term,
        state.identity,
        message.sender,
        message.term,
        message.last_index,
        next_offset,
        installed,
        message.round_number,
    )
    core_state.send(state, peer_id, reply, after_number)
