"""Messages from the leader to a member: entries, heartbeats and snapshot chunks."""

from __future__ import annotations

from yuccapitch.consensus import log, membership, state as core_state
from yuccapitch.protocol import consensus_messages as messages

MAX_APPEND_BYTES = 256 * 1024
MAX_APPEND_ENTRIES = 512
MAX_IN_FLIGHT_ENTRIES = 4096
SNAPSHOT_CHUNK_BYTES = 256 * 1024


def start_round(leader_state: core_state.LeaderState, now: float) -> None:
    """Start a new round and record when it is sent."""
    leader_state.round_number += 1
    leader_state.sent_at_by_round[leader_state.round_number] = now


def send_in_new_round(
    state: core_state.State,
    leader_state: core_state.LeaderState,
    member: membership.Member,
    progress: core_state.Progress,
    now: float,
) -> None:
    """Send to one member outside a broadcast, in a new round."""
    start_round(leader_state, now)
    send_append(state, leader_state, member, progress)


def send_append(
    state: core_state.State,
    leader_state: core_state.LeaderState,
    member: membership.Member,
    progress: core_state.Progress,
) -> None:
    """Send the entries or the snapshot chunk that a member needs next."""
    if progress.snapshot is None and progress.next_index <= state.log.base_index:
        progress.snapshot, progress.snapshot_offset = state.snapshot, 0
    if progress.snapshot is not None:
        _send_chunk(state, leader_state, member, progress, progress.snapshot)
        return
    previous_index = progress.next_index - 1
    entries = _select_entries(state, progress)
    request = messages.AppendRequest(
        term=state.term,
        sender=state.identity,
        recipient=member.identity,
        previous_index=previous_index,
        previous_term=state.log.term_at(previous_index) or 0,
        entries=entries,
        commit_index=state.commit_index,
        round_number=leader_state.round_number,
    )
    core_state.send(state, member.instance_id, request)
    # Sends are pipelined. If this message is lost, the member rejects the next one, as
    # the previous entry is missing.
    progress.next_index += len(entries)


def record_match(progress: core_state.Progress, match_index: int) -> None:
    """Record up to which index a member's log is known to match."""
    progress.match_index = max(progress.match_index, match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)


def record_snapshot_reply(
    progress: core_state.Progress, message: messages.SnapshotReply
) -> bool:
    """Record the reply to a snapshot chunk; return whether to send more."""
    if message.installed:
        was_transferring = progress.snapshot is not None
        progress.snapshot = None
        record_match(progress, message.last_index)
        return was_transferring
    if progress.snapshot is None or progress.snapshot.last_index != message.last_index:
        return False
    # An unchanged offset is the reply to a duplicate chunk. Sending again in response
    # would duplicate all further chunks.
    if message.next_offset == progress.snapshot_offset:
        return False
    progress.snapshot_offset = message.next_offset
    return True


def _select_entries(
    state: core_state.State, progress: core_state.Progress
) -> tuple[messages.LogEntry, ...]:
    in_flight = progress.next_index - 1 - progress.match_index
    if in_flight >= MAX_IN_FLIGHT_ENTRIES:
        return ()
    last = min(state.log.last_index, progress.next_index + MAX_APPEND_ENTRIES - 1)
    selected: list[messages.LogEntry] = []
    size = 0
    for entry in state.log.slice(progress.next_index, last):
        size += len(entry.payload)
        if selected and size > MAX_APPEND_BYTES:
            break
        selected.append(entry)
    return tuple(selected)


def _send_chunk(
    state: core_state.State,
    leader_state: core_state.LeaderState,
    member: membership.Member,
    progress: core_state.Progress,
    snapshot: log.Snapshot,
) -> None:
    end = progress.snapshot_offset + SNAPSHOT_CHUNK_BYTES
    request = messages.SnapshotRequest(
        term=state.term,
        sender=state.identity,
        recipient=member.identity,
        last_index=snapshot.last_index,
        last_term=snapshot.last_term,
        membership=membership.encode(snapshot.members),
        offset=progress.snapshot_offset,
        data=snapshot.data[progress.snapshot_offset : end],
        is_last=end >= len(snapshot.data),
        round_number=leader_state.round_number,
    )
    core_state.send(state, member.instance_id, request)
