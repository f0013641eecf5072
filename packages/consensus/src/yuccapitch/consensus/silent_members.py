"""Removal of members that no longer answer, so that no majority has to count them.

An instance that was replaced under another address never answers again. A group that
keeps it as a voter needs the votes of more and more of the others, until it can't elect
a leader once it has lost its own. The leader therefore removes silent members, one
voter an entry, so that the majorities before and after an entry have a replica in
common (Ongaro's thesis, section 4.1). A removed instance that runs on asks to join.
"""

from __future__ import annotations

from yuccapitch.consensus import membership, state as core_state

# Silence, in election timeouts, after which a member may be removed. A process that is
# killed is back within this time.
REMOVAL_ELECTION_TIMEOUTS = 3
# Silence after which two voters of an odd number may be removed. Links and machines
# that fail for a time are usually back within it.
PAIR_REMOVAL_ELECTION_TIMEOUTS = 20
# A group of fewer voters does not survive the loss of one.
MIN_VOTERS = 3
# Time that counts as silence between two ticks, in heartbeat intervals. A leader that
# was suspended or waited for its disk has received no answers meanwhile.
MAX_COUNTED_HEARTBEATS = 2


def observe(
    state: core_state.State, leader_state: core_state.LeaderState, now: float
) -> None:
    """Add the time since the last call to the silence of every member."""
    max_elapsed_s = MAX_COUNTED_HEARTBEATS * state.timing.heartbeat_interval_s
    elapsed_s = min(now - leader_state.observed_at, max_elapsed_s)
    leader_state.observed_at = now
    for progress in leader_state.progress_by_identity.values():
        progress.silent_s += elapsed_s


def find_removable(
    state: core_state.State, leader_state: core_state.LeaderState
) -> membership.Member | None:
    """Return the member to remove next, if any.

    Without one voter of an even number, each set of the others that was a majority with
    it still is one, so nothing depends on whether it comes back. An odd number loses
    voters two at a time, and only after a long silence: if both came back while others
    fail, fewer of the instances would be voters than before.
    """
    timeout_s = state.timing.max_election_timeout_s
    silent = _silent_members(state, leader_state, REMOVAL_ELECTION_TIMEOUTS * timeout_s)
    learners = [member for member in silent if not member.is_voter]
    if learners:
        return learners[0]
    voter_count = len(state.log.members.voters())
    if voter_count % 2 == 0:
        return silent[0] if silent and voter_count > MIN_VOTERS else None
    long_silent = _silent_members(
        state, leader_state, PAIR_REMOVAL_ELECTION_TIMEOUTS * timeout_s
    )
    can_lose_two = len(long_silent) >= 2 and voter_count >= MIN_VOTERS + 2
    return long_silent[0] if can_lose_two else None


def _silent_members(
    state: core_state.State, leader_state: core_state.LeaderState, silence_s: float
) -> list[membership.Member]:
    """Return the members silent for ``silence_s`` or more, the longest first."""
    progress_by_identity = leader_state.progress_by_identity
    silent = [
        member
        for member in core_state.other_members(state)
        if progress_by_identity[member.identity].silent_s >= silence_s
    ]
    return sorted(
        silent, key=lambda member: -progress_by_identity[member.identity].silent_s
    )
