"""Admission of replicas with a new identity to the group."""

from __future__ import annotations

from yuccapitch.consensus import effects, state as core_state
from yuccapitch.protocol import consensus_messages as messages

_NONCE_BITS = 62


def needs_admission(state: core_state.State) -> bool:
    """Return whether this replica has to ask for admission.

    Having a log does not prove admission: the leader that sent it may have lost its
    leadership before the entry that admits this replica was committed. A replica that
    was removed learns so from a refusal, as it is sent no further entries.
    """
    return state.is_refused or not state.log.contains_voter(state.identity)


def on_refusal(
    state: core_state.State, peer_id: str, message: messages.Refusal, now: float
) -> None:
    """Report a refusal; ask for admission if a member does not know this replica."""
    reason = messages.RefusalReason(message.reason)
    if reason is messages.RefusalReason.NOT_A_MEMBER:
        state.is_refused = True
    state.effects.append(effects.MessageRefused(peer_id, reason))


def send_join_requests(state: core_state.State) -> None:
    """Ask all known instances for admission; only the leader answers."""
    member_ids = [member.instance_id for member in core_state.other_members(state)]
    for peer_id in sorted(state.join_target_ids.union(state.peer_ids, member_ids)):
        _send_request(state, peer_id, messages.NO_NONCE)


def on_join_request(
    state: core_state.State, peer_id: str, message: messages.JoinRequest, now: float
) -> None:
    """Challenge an identity that asks to join; report it once it has answered."""
    leader_state = state.leader_state
    is_member = state.log.members.find(message.sender) is not None
    if leader_state is None or is_member or message.instance_id != peer_id:
        return
    # A delayed request may name an identity whose disk has been lost since. Only an
    # identity that is still in use can answer a challenge, and only the latest
    # challenge to an instance is valid.
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
    """Answer a challenge if this replica still needs admission."""
    if needs_admission(state):
        _send_request(state, peer_id, message.nonce)


def _send_request(state: core_state.State, peer_id: str, nonce: int) -> None:
    request = messages.JoinRequest(
        state.identity, messages.ANY_IDENTITY, state.instance_id, nonce
    )
    core_state.send(state, peer_id, request)
