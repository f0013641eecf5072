"""Elections: pre-vote, vote, and the bootstrap of a group by its first replica."""

from __future__ import annotations

from yuccapitch.consensus import effects, joining, leader, state as core_state
from yuccapitch.protocol import consensus_messages as messages

# Writes of a voter until its vote is durable: one under way, and that of the vote.
WRITES_BEFORE_VOTE = 2
# Longest write for which an election leaves time; a disk that is slower is stalled.
MAX_WRITE_ALLOWANCE_S = 4.0


def tick(state: core_state.State, now: float) -> None:
    """Start an election or ask for admission once the election timeout has expired."""
    if state.role is effects.Role.LEADER or now < state.election_deadline:
        return
    if not state.durability.is_term_durable:
        # Others learn of the term and vote only once they are durable.
        return
    _set_retry_deadline(state, now)
    _report_failed_round(state)
    if joining.needs_admission(state):
        joining.send_join_requests(state)
    if _can_start_election(state, now):
        _start_pre_vote(state, now)


def on_term_durable(state: core_state.State, now: float) -> None:
    """Go on with an election once the term and vote are durable."""
    if state.role is effects.Role.LEADER:
        raise AssertionError("this replica led a term that was not durable")
    if state.role is not effects.Role.CANDIDATE:
        core_state.reset_election_deadline(state, now)
        return
    _set_vote_deadline(state, now)
    state.votes.add(state.identity)
    if _has_won(state):
        leader.become_leader(state, now)


def on_pre_vote_request(
    state: core_state.State,
    peer_id: str,
    message: messages.PreVoteRequest,
    now: float,
) -> None:
    """Reply whether a vote would be granted."""
    if not state.durability.is_term_durable:
        # An answer that waits for the disk would disturb a leader elected meanwhile.
        return
    if _refuse_unknown_candidate(state, peer_id, message):
        return
    granted = (
        message.term > state.term
        and not _has_active_leader(state, now)
        and _is_up_to_date(state, message)
    )
    if granted:
        _defer_to(state, now)
    reply = messages.PreVoteReply(
        state.term, state.identity, message.sender, message.term, granted
    )
    core_state.send(state, peer_id, reply)


def on_pre_vote_reply(
    state: core_state.State, peer_id: str, message: messages.PreVoteReply, now: float
) -> None:
    """Count a pre-vote; start the vote once enough are granted."""
    if message.term > state.term and not message.granted:
        core_state.become_follower(state, message.term, now)
        return
    is_current = message.requested_term == state.term + 1
    is_candidate = state.role is effects.Role.PRE_CANDIDATE and is_current
    if is_candidate and _wins_with(state, peer_id, message):
        _start_vote(state, now)


def on_vote_request(
    state: core_state.State, peer_id: str, message: messages.VoteRequest, now: float
) -> None:
    """Grant or deny a vote."""
    if _refuse_unknown_candidate(state, peer_id, message):
        return
    granted = False
    if not _has_active_leader(state, now):
        if message.term > state.term:
            core_state.become_follower(state, message.term, now)
        granted = _can_grant_vote(state, message)
    if granted:
        if state.voted_for is None:
            core_state.set_term(state, state.term, message.sender)
        core_state.reset_election_deadline(state, now)
    reply = messages.VoteReply(state.term, state.identity, message.sender, granted)
    core_state.send(state, peer_id, reply)


def on_vote_reply(
    state: core_state.State, peer_id: str, message: messages.VoteReply, now: float
) -> None:
    """Count a vote; become leader once enough are granted."""
    if message.term > state.term:
        core_state.become_follower(state, message.term, now)
        return
    is_candidate = state.role is effects.Role.CANDIDATE and message.term == state.term
    if is_candidate and _wins_with(state, peer_id, message):
        leader.become_leader(state, now)


def _can_start_election(state: core_state.State, now: float) -> bool:
    if state.durability.is_stalled(now):
        return False
    if not state.is_bootstrapped:
        return state.is_founder
    return state.identity in state.log.members.voters()


def _report_failed_round(state: core_state.State) -> None:
    is_candidate = state.role in (effects.Role.PRE_CANDIDATE, effects.Role.CANDIDATE)
    if not is_candidate or not state.is_bootstrapped:
        return
    voters = [m for m in state.log.members.members if m.is_voter]
    answered = state.votes | state.denials
    failed = effects.ElectionFailed(
        state.term,
        len(voters),
        tuple(m.instance_id for m in voters if m.identity in state.votes),
        tuple(m.instance_id for m in voters if m.identity in state.denials),
        tuple(m.instance_id for m in voters if m.identity not in answered),
    )
    state.effects.append(failed)


def _set_retry_deadline(state: core_state.State, now: float) -> None:
    # The leader has already been silent for a whole election timeout, so a retry after
    # a split vote only needs a random delay.
    timing = state.timing
    state.election_deadline = now + state.random_source.uniform(
        timing.heartbeat_interval_s, timing.min_election_timeout_s
    )


def _set_vote_deadline(state: core_state.State, now: float) -> None:
    # A voter may have to complete another write before its vote. All candidates wait
    # for their disks alike, so that their retries have to be further apart as well.
    write_s = _write_allowance_s(state)
    timing = state.timing
    state.election_deadline = now + state.random_source.uniform(
        timing.heartbeat_interval_s + WRITES_BEFORE_VOTE * write_s,
        timing.min_election_timeout_s + 2 * WRITES_BEFORE_VOTE * write_s,
    )


def _defer_to(state: core_state.State, now: float) -> None:
    """Leave another candidate the time in which it writes its own vote.

    Only once until the next contact with a leader or attempt of its own, as the other
    one may be unable to receive the answers.
    """
    if state.has_deferred:
        return
    state.has_deferred = True
    deferred_until = now + WRITES_BEFORE_VOTE * _write_allowance_s(state)
    state.election_deadline = max(state.election_deadline, deferred_until)


def _write_allowance_s(state: core_state.State) -> float:
    return min(state.durability.write_duration_s, MAX_WRITE_ALLOWANCE_S)


def _start_pre_vote(state: core_state.State, now: float) -> None:
    state.has_deferred = False
    core_state.set_role(state, effects.Role.PRE_CANDIDATE, None, None)
    _request_votes(state, messages.PreVoteRequest, state.term + 1)
    if _has_won(state):
        _start_vote(state, now)


def _start_vote(state: core_state.State, now: float) -> None:
    core_state.set_term(state, state.term + 1, state.identity)
    core_state.set_role(state, effects.Role.CANDIDATE, None, None)
    _request_votes(state, messages.VoteRequest, state.term)
    # Its own vote counts once it is durable.
    state.votes.clear()


def _request_votes(
    state: core_state.State,
    request_type: type[messages.PreVoteRequest] | type[messages.VoteRequest],
    term: int,
) -> None:
    state.votes, state.denials = {state.identity}, set()
    state.voter_identity_by_instance_id = {}
    for peer_id, identity in _other_voters(state):
        request = request_type(
            term, state.identity, identity, state.log.last_index, state.log.last_term
        )
        core_state.send(state, peer_id, request)


def _other_voters(state: core_state.State) -> list[tuple[str, str]]:
    if not state.is_bootstrapped:
        return [(peer_id, messages.ANY_IDENTITY) for peer_id in state.peer_ids]
    others = core_state.other_members(state)
    return [(m.instance_id, m.identity) for m in others if m.is_voter]


def _wins_with(
    state: core_state.State,
    peer_id: str,
    message: messages.PreVoteReply | messages.VoteReply,
) -> bool:
    """Count the answer to a vote request; return whether the votes suffice now."""
    if not message.granted:
        state.denials.add(message.sender)
        return False
    state.votes.add(message.sender)
    state.voter_identity_by_instance_id[peer_id] = message.sender
    return _has_won(state)


def _has_won(state: core_state.State) -> bool:
    if not state.is_bootstrapped:
        # Every listed instance must answer. Otherwise a replica with a new disk could
        # bootstrap a second group beside one that it does not know of.
        return set(state.voter_identity_by_instance_id) >= set(state.peer_ids)
    return state.log.members.is_quorum(state.votes)


def _has_active_leader(state: core_state.State, now: float) -> bool:
    silence_s = now - state.last_leader_contact_at
    is_leader = state.role is effects.Role.LEADER
    return is_leader or silence_s < state.timing.min_election_timeout_s


def _can_grant_vote(state: core_state.State, message: messages.VoteRequest) -> bool:
    return (
        message.term == state.term
        and state.voted_for in (None, message.sender)
        and _is_up_to_date(state, message)
    )


def _is_up_to_date(
    state: core_state.State, message: messages.PreVoteRequest | messages.VoteRequest
) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (message.last_term, message.last_index) >= own


def _refuse_unknown_candidate(
    state: core_state.State,
    peer_id: str,
    message: messages.PreVoteRequest | messages.VoteRequest,
) -> bool:
    """Refuse a candidate that is not a member; return whether it was refused."""
    own = (state.log.last_term, state.log.last_index)
    # A candidate with a more recent log may have been admitted by an entry that this
    # replica has not received.
    is_ahead = (message.last_term, message.last_index) > own
    is_known = state.log.members.find(message.sender) is not None
    if is_known or is_ahead or not state.is_bootstrapped:
        return False
    core_state.refuse(
        state, peer_id, message.sender, messages.RefusalReason.NOT_A_MEMBER
    )
    return True
