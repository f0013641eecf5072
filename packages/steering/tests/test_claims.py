"""Tests of claim keys, holder placement, holder limits and claim attempts."""

from __future__ import annotations

import pytest

from yuccapitch.catalogue import ids
from yuccapitch.protocol import claim_messages
from yuccapitch.steering import claim_attempt, claim_keys, claim_placement, claims

NOW = 1_000_000.0
R1, R2 = ids.RegionId("r1"), ids.RegionId("r2")


def key_text(age_s: float = 0.0, number: int = 0) -> str:
    """Return a key of the given age."""
    return f"r1.{int((NOW - age_s) * 1000)}.{number:016d}"


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("r1.5", claim_keys.KeyFault.PARTS),
        (".5.0123456789abcdef", claim_keys.KeyFault.REGION),
        ("r1.x.0123456789abcdef", claim_keys.KeyFault.TIME),
        ("r1.5.short", claim_keys.KeyFault.RANDOM),
        (key_text(age_s=-3.0), claim_keys.KeyFault.FUTURE),
        ("r" * 201, claim_keys.KeyFault.TOO_LONG),
    ],
)
def test_parse_returns_fault(text, fault) -> None:
    assert claim_keys.parse(text, NOW).unwrap_err() == claim_keys.MalformedKey(fault)


def test_parse_expired() -> None:
    error = claim_keys.parse(key_text(age_s=601.0), NOW).unwrap_err()
    assert isinstance(error, claim_keys.ExpiredKey)


@pytest.mark.parametrize("text", ["0", "-1", "x", "", "1.5", "9" * 30])
def test_parse_attempt_malformed(text) -> None:
    assert claim_keys.parse_attempt(text).is_err()


def members(*names: str) -> list[claim_placement.Member]:
    """Return members for instance names of the form region-domain-number."""
    return [
        claim_placement.Member(
            ids.InstanceId(name),
            ids.RegionId(name.split("-")[0]),
            ids.FailureDomainId(name.rsplit("-", 1)[0]),
        )
        for name in names
    ]


def test_choose_holders_two_domains_and_another_region() -> None:
    listed = members("r1-a-1", "r1-a-2", "r1-b-1", "r1-b-2", "r2-a-1", "r2-b-1")
    for number in range(50):
        key = claim_keys.parse(key_text(number=number), NOW).unwrap()
        chosen = claim_placement.choose_holders(key, listed)
        domains = {name.rsplit("-", 1)[0] for name in chosen}
        assert len(chosen) == len(domains) == 3
        assert {"r1-a", "r1-b"} < domains


def test_choose_holders_fewer_when_fewer_exist() -> None:
    key = claim_keys.parse(key_text(), NOW).unwrap()
    assert claim_placement.choose_holders(key, members("r1-a-1")) == ("r1-a-1",)
    assert claim_placement.choose_holders(key, members("r2-a-1")) == ()


def test_choose_home_region_nearest_with_holders() -> None:
    delays = {R2: 55.0, ids.RegionId("r3"): 90.0}
    live = {R1: 1, R2: 4, ids.RegionId("r3"): 4}
    assert claim_placement.choose_home_region(R1, live, delays) == R2
    assert claim_placement.choose_home_region(R1, {R1: 2, R2: 4}, delays) == R1


def test_claim_holder_full_keeps_existing_records() -> None:
    holder = claims.ClaimHolder("h", NOW - 100, max_records=1)
    first = claim_messages.ClaimRequest(key_text(), 1, "x")
    second = claim_messages.ClaimRequest(key_text(number=1), 1, "x")
    assert holder.on_claim(first, NOW).verdict == "granted"
    assert holder.on_claim(second, NOW).verdict == "full"
    assert holder.on_claim(first, NOW).verdict == "granted"


def test_claim_holder_drops_records_after_lifetime() -> None:
    holder = claims.ClaimHolder("h", NOW - 100)
    claim = claim_messages.ClaimRequest(key_text(), 1, "x")
    holder.on_claim(claim, NOW)
    later = NOW + claim_keys.KEY_LIFETIME_S + claims.RECORD_RETENTION_MARGIN_S + 1
    assert holder.on_claim(claim, later).verdict == "expired"
    assert len(holder) == 0


def test_claim_holder_large_body_not_kept() -> None:
    holder = claims.ClaimHolder("h", NOW - 100)
    body = b"x" * (claims.MAX_BODY_BYTES + 1)
    answer = claim_messages.StoredResponse(201, "text/plain", body)
    done = claim_messages.CompletionNotice(key_text(), 1, "x", answer)
    assert holder.on_done(done, NOW).response == claim_messages.StoredResponse(
        201, "text/plain", None
    )


def test_claim_attempt_replays_answer_to_duplicate() -> None:
    holders = {name: claims.ClaimHolder(name, NOW - 100) for name in "abc"}
    first, second = (make_attempt(claimant) for claimant in ("x", "y"))
    deliver(first, first.start(NOW), holders)
    answer = claim_messages.StoredResponse(201, "text/plain", b"order 7")
    deliver(first, first.done(answer), holders)
    decision = deliver(second, second.start(NOW), holders)
    assert decision == claim_attempt.AlreadyDispatched(
        claim_messages.RecordState.DONE, answer
    )


def test_claim_attempt_split_votes_end_not_run() -> None:
    holders = {name: claims.ClaimHolder(name, NOW - 100) for name in "abc"}
    attempts = [make_attempt(claimant) for claimant in "xyz"]
    for attempt, name in zip(attempts, "abc"):
        message = claim_messages.ClaimRequest(attempt.key, 1, attempt.claimant)
        holders[name].on_claim(message, NOW)
    for attempt in attempts:
        decision = deliver(attempt, attempt.start(NOW), holders)
    assert decision == claim_attempt.Voided()


def test_claim_attempt_silent_holders_undecided() -> None:
    unanswered = make_attempt("x")
    unanswered.start(NOW)
    unanswered.tick(NOW + 2.0)
    assert unanswered.tick(NOW + 3.0).decision == claim_attempt.Undecided()


def make_attempt(claimant: str) -> claim_attempt.ClaimAttempt:
    """Return an attempt with three holders."""
    listed = [ids.InstanceId(name) for name in "abc"]
    return claim_attempt.ClaimAttempt(key_text(), 1, claimant, [listed], NOW + 2.0)


def deliver(
    attempt: claim_attempt.ClaimAttempt,
    step: claim_attempt.Step,
    holders: dict[str, claims.ClaimHolder],
) -> claim_attempt.Decision | None:
    """Deliver all messages and replies until the attempt is decided."""
    sends = list(step.sends)
    while sends:
        send = sends.pop(0)
        holder = holders[send.holder_id]
        if isinstance(send.message, claim_messages.ClaimRequest):
            reply = holder.on_claim(send.message, NOW)
        elif isinstance(send.message, claim_messages.VoidRequest):
            reply = holder.on_void(send.message, NOW)
        else:
            reply = holder.on_done(send.message, NOW)
        step = attempt.on_reply(reply, NOW)
        sends += step.sends
        if step.decision is not None:
            return step.decision
    return None
