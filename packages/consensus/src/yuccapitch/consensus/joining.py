"""How a replica with a new identity asks to be admitted."""

from __future__ import annotations

from yuccapitch.consensus import effects, state as core_state
from yuccapitch.protocol import consensus_messages as messages

_NONCE_BITS = 62


def needs_admission(state: core_state.State) -> bool:
    """Tell whether this replica was never admitted, as far as its log tells.

    A log does not prove admission: the leader that sent it may have lost its term
    before the entry that admits this replica was committed. A removed one does not ask.
    """
    return not state.log.contains_voter(state.identity)


def send_join_requests(state: core_state.State) -> None:
    """Ask every other instance, of which the leader will answer."""
    for peer_id in sorted(state.join_target_ids.union(state.peer_ids)):
        _send_request(state, peer_id, messages.NO_NONCE)


def on_join_request(
    state: core_state.State, peer_id: str, message: messages.JoinRequest, now: float
) -> None:
    """Challenge an identity that asks to join; report it once it has answered."""
    leader_state = state.leader_state
    is_member = state.log.members.find(message.sender) is not None
    if leader_state is None or is_member or message.instance_id != peer_id:
        return
    # A request may arrive after the disk it speaks for was lost in its turn. Only an
    # identity still in use can answer a challenge, and only the last one counts.
    expected = leader_state.challenges_by_instance_id.get(peer_id)
    if expected == (message.sender, message.nonce):
        del leader_state.challenges_by_instance_id[peer_id]
        state.effects.append(effects.JoinRequested(peer_id, message.sender))
        return
    if message.nonce == messages.NO_NONCE:
        nonce = 1 + state.random_source.getrandbits(_NONCE_BITS)
        leader_state.challenges_by_instance_id[peer_id] = (message.sender, nonce)
        challenge = messages.JoinChallenge(state.identity, message.sender, nonce)
        core_state.send(state, peer_id, challenge)


def on_join_challenge(
    state: core_state.State, peer_id: str, message: messages.JoinChallenge, now: float
) -> None:
    """Answer a challenge while still not admitted."""
    if needs_admission(state):
        _send_request(state, peer_id, message.nonce)


def _send_request(state: core_state.State, peer_id: str, nonce: int) -> None:
    request = messages.JoinRequest(
        state.identity, messages.ANY_IDENTITY, state.instance_id, nonce
    )
    core_state.send(state, peer_id, request)
