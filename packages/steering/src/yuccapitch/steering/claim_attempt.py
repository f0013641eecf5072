"""Claimant side of the claim protocol: one attempt of one idempotency key."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Sequence

from yuccapitch.catalogue import ids
from yuccapitch.protocol import claim_messages

RESEND_INTERVAL_S = 0.25
POLL_INTERVAL_S = 0.25
VOID_TIMEOUT_S = 1.0

_State = claim_messages.RecordState
_Verdict = claim_messages.Verdict


class Phase(enum.Enum):
    """Phase of a claim attempt."""

    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    VOIDING = "voiding"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """Only this claimant may send the request, to one endpoint at a time."""


@dataclasses.dataclass(frozen=True)
class AlreadyDispatched:
    """Another claimant may have sent the request.

    The client gets the recorded response or, without one, the outcome `unknown`.
    """

    state: claim_messages.RecordState
    answer: claim_messages.StoredResponse | None


@dataclasses.dataclass(frozen=True)
class Voided:
    """The attempt was not and will not be executed; the outcome is `not-run`."""


@dataclasses.dataclass(frozen=True)
class Undecided:
    """Too few holders voted before the deadline; the outcome is `unknown`."""


Decision = Dispatch | AlreadyDispatched | Voided | Undecided


@dataclasses.dataclass(frozen=True)
class Send:
    """An outgoing message to one holder."""

    holder_id: ids.InstanceId
    message: (
        claim_messages.ClaimRequest
        | claim_messages.VoidRequest
        | claim_messages.CompletionNotice
    )


@dataclasses.dataclass(frozen=True)
class Step:
    """Messages to send now, and the decision once the attempt has one."""

    sends: tuple[Send, ...] = ()
    decision: Decision | None = None


class ClaimAttempt:
    """State machine that claims or voids an attempt at its holders.

    Both need the votes of a majority of the holders in every holder list.
    """

    def __init__(
        self,
        key: str,
        attempt: int,
        claimant: str,
        holder_lists: Sequence[Sequence[ids.InstanceId]],
        deadline: float,
    ) -> None:
        self.key = key
        self.attempt = attempt
        self.claimant = claimant
        self.phase = Phase.CLAIMING
        self.next_tick_at = 0.0
        self._holder_lists = [tuple(holders) for holders in holder_lists]
        self._holders = tuple(
            dict.fromkeys(
                holder for holders in self._holder_lists for holder in holders
            )
        )
        self._deadline = deadline
        self._void_until = 0.0
        self._granted: set[str] = set()
        self._voided: set[str] = set()
        self._replied: set[str] = set()
        self._competitors_by_holder: dict[str, str] = {}

    def start(self, now: float) -> Step:
        """Send the claim to all holders."""
        return self._claim(self._holders, now)

    def start_void(self, now: float) -> Step:
        """Void the attempt without a claim, for a request that is already refused."""
        return self._start_void(now)

    def on_reply(self, reply: claim_messages.ClaimReply, now: float) -> Step:
        """Process the vote of a holder."""
        if (reply.key, reply.attempt, reply.claimant) != (
            self.key,
            self.attempt,
            self.claimant,
        ):
            return Step()
        self._record_reply(reply)
        if self.phase is Phase.CLAIMING:
            return self._after_claim_reply(reply, now)
        if self.phase is Phase.VOIDING:
            return self._after_void_reply(reply)
        return Step()

    def tick(self, now: float) -> Step:
        """Resend to holders that have not voted, and enforce the timeouts."""
        if self.phase is Phase.CLAIMING and now >= self._deadline:
            return self._start_void(now)
        if self.phase is Phase.VOIDING and now >= self._void_until:
            return self._end(self._decide_without_majority())
        if now < self.next_tick_at:
            return Step()
        if self.phase is Phase.CLAIMING:
            pending = [h for h in self._holders if h not in self._granted]
            return self._claim(pending, now)
        if self.phase is Phase.VOIDING:
            return self._void(now)
        return Step()

    def void_after_dispatch(self, now: float) -> Step:
        """Void a dispatched attempt that did not execute.

        Either no byte of the request was sent or every endpoint shed it.
        """
        assert self.phase is Phase.DISPATCHED, "attempt is not dispatched"
        return self._start_void(now)

    def done(self, answer: claim_messages.StoredResponse) -> Step:
        """Send the response to all holders, which replay it to later duplicates."""
        assert self.phase is Phase.DISPATCHED, "attempt is not dispatched"
        self.phase = Phase.ENDED
        message = claim_messages.CompletionNotice(
            self.key, self.attempt, self.claimant, answer
        )
        return Step(tuple(Send(holder, message) for holder in self._holders))

    def _record_reply(self, reply: claim_messages.ClaimReply) -> None:
        verdict = _Verdict(reply.verdict)
        state = _State(reply.record_state)
        if self.phase is Phase.CLAIMING or verdict is not _Verdict.GRANTED:
            # A late grant of the claim is not a reply to the void.
            self._replied.add(reply.holder_id)
        if verdict is _Verdict.GRANTED and state is _State.CLAIMED:
            self._granted.add(reply.holder_id)
        if state is _State.VOID and reply.record_attempt >= self.attempt:
            # A void is permanent: only a later attempt can replace it.
            self._voided.add(reply.holder_id)
        if state is _State.CLAIMED and reply.record_claimant != self.claimant:
            self._competitors_by_holder[reply.holder_id] = reply.record_claimant
        else:
            self._competitors_by_holder.pop(reply.holder_id, None)

    def _after_claim_reply(self, reply: claim_messages.ClaimReply, now: float) -> Step:
        if _State(reply.record_state) is _State.DONE:
            return self._end(AlreadyDispatched(_State.DONE, reply.response))
        if self._is_majority(self._granted):
            self.phase = Phase.DISPATCHED
            return Step(decision=Dispatch())
        if self._is_majority(self._voided):
            return self._end(Voided())
        if self._is_majority_impossible() and not self._may_competitor_win():
            return self._start_void(now)
        return Step()

    def _after_void_reply(self, reply: claim_messages.ClaimReply) -> Step:
        if _State(reply.record_state) is _State.DONE:
            return self._end(AlreadyDispatched(_State.DONE, reply.response))
        if self._is_majority(self._voided):
            return self._end(Voided())
        if self._replied >= set(self._holders):
            return self._end(self._decide_without_majority())
        return Step()

    def _decide_without_majority(self) -> Decision:
        if self._competitors_by_holder:
            return AlreadyDispatched(_State.CLAIMED, None)
        return Undecided()

    def _is_majority(self, holders: set[str]) -> bool:
        if not self._holder_lists or not all(self._holder_lists):
            return False
        return all(
            len(holders.intersection(listed)) > len(listed) // 2
            for listed in self._holder_lists
        )

    def _is_majority_impossible(self) -> bool:
        possible_grants = self._granted | (set(self._holders) - self._replied)
        return not self._is_majority(possible_grants)

    def _may_competitor_win(self) -> bool:
        without_reply = set(self._holders) - self._replied
        return any(
            self._is_majority(
                without_reply
                | {
                    h
                    for h, other in self._competitors_by_holder.items()
                    if other == competitor
                }
            )
            for competitor in set(self._competitors_by_holder.values())
        )

    def _claim(self, holders: Sequence[ids.InstanceId], now: float) -> Step:
        self.next_tick_at = now + RESEND_INTERVAL_S
        message = claim_messages.ClaimRequest(self.key, self.attempt, self.claimant)
        return Step(tuple(Send(holder, message) for holder in holders))

    def _start_void(self, now: float) -> Step:
        self.phase = Phase.VOIDING
        self._void_until = now + VOID_TIMEOUT_S
        self._replied.clear()
        return self._void(now)

    def _void(self, now: float) -> Step:
        self.next_tick_at = now + RESEND_INTERVAL_S
        message = claim_messages.VoidRequest(self.key, self.attempt, self.claimant)
        pending = [holder for holder in self._holders if holder not in self._voided]
        return Step(tuple(Send(holder, message) for holder in pending))

    def _end(self, decision: Decision) -> Step:
        self.phase = Phase.ENDED
        return Step(decision=decision)
