from __future__ import annotations

from typing import Any

import pytest

from yuccapitch.gateway import claim_outcomes, outcomes
from yuccapitch.protocol import claim_messages
from yuccapitch.steering import claim_attempt, claim_keys

KEY = claim_keys.parse("east.1000.abcdefghijklmnop", 1.0).unwrap()
CLAIMED = claim_attempt.AlreadyDispatched(claim_messages.RecordState.CLAIMED, None)
FULL = outcomes.Failure(503, "no-share", "full", retry_after_s=1.0)


def done(body: bytes | None) -> claim_attempt.AlreadyDispatched:
    answer = claim_messages.ClaimAnswer(201, "text/plain; charset=utf-8", body)
    return claim_attempt.AlreadyDispatched(claim_messages.RecordState.DONE, answer)


class Decided:
    """Stands for the claims or a dispatch and decides as told."""

    def __init__(self, decision: object) -> None:
        self.decision = decision

    async def void(self, key: claim_keys.Key, attempt: int) -> object:
        return self.decision

    async def prove_not_run(self) -> object:
        return self.decision


@pytest.mark.parametrize(
    ("decided", "status", "outcome"),
    [
        (done(b""), 201, "answered"),
        (done(None), 409, "unknown"),
        (CLAIMED, 409, "unknown"),
        (claim_attempt.Voided(), 409, "not-run"),
        (claim_attempt.Undecided(), 503, "unknown"),
    ],
)
def test_claim_outcomes_answer(decided: Any, status: int, outcome: str) -> None:
    response = claim_outcomes.answer(decided, 7)
    assert response.status == status
    assert response.headers[outcomes.OUTCOME_HEADER] == outcome


def test_claim_outcomes_replay_keeps_the_content_type() -> None:
    response = claim_outcomes.answer(done(b"kept"), 7)
    assert response.body == b"kept"
    assert response.headers["Content-Type"] == "text/plain; charset=utf-8"


@pytest.mark.parametrize(
    ("decided", "outcome"),
    [
        (claim_attempt.Voided(), outcomes.Outcome.NOT_RUN),
        (claim_attempt.Undecided(), outcomes.Outcome.UNKNOWN),
        (CLAIMED, outcomes.Outcome.UNKNOWN),
    ],
)
async def test_claim_outcomes_refusal_needs_a_void(
    decided: Any, outcome: outcomes.Outcome
) -> None:
    claims: Any = Decided(decided)
    assert (await claim_outcomes.refuse(claims, KEY, 1, FULL)).outcome is outcome
    assert (await claim_outcomes.give_up(claims, FULL)).outcome is outcome


async def test_claim_outcomes_refusal_without_key_needs_none() -> None:
    claims: Any = Decided(claim_attempt.Undecided())
    assert await claim_outcomes.refuse(claims, None, 1, FULL) == FULL
    assert await claim_outcomes.give_up(None, FULL) == FULL


def test_claim_outcomes_unread_key_is_unknown() -> None:
    refused = claim_outcomes.refuse_unread({"Idempotency-Key": "x"}, FULL)
    assert refused.outcome is outcomes.Outcome.UNKNOWN
    assert claim_outcomes.refuse_unread({}, FULL) == FULL
