"""Stateful tests of the claim protocol.

For any order of messages and faults, no key is executed twice and an attempt that was
reported as `not-run` is never executed.
"""

from __future__ import annotations

import dataclasses

import hypothesis
import pytest
from hypothesis import stateful, strategies

from yuccapitch.catalogue import ids
from yuccapitch.protocol import claim_messages
from yuccapitch.steering import claim_attempt, claim_keys, claim_placement, claims

START = 1000.0
LEASE_S = 4.0
REGION = ids.RegionId("r1")
VERSIONS = (("a1", "b1", "c1"), ("a1", "b2", "c2"), ("a2", "b2", "c1"))
CLOCK_OFFSETS = {"a1": 0.5, "b1": -0.5, "b2": 0.7}


def member(name: str) -> claim_placement.Member:
    """Return an instance; the first letter of its name is its failure domain."""
    domain = ids.FailureDomainId(name[0])
    return claim_placement.Member(ids.InstanceId(name), REGION, domain)


@dataclasses.dataclass
class Claimant:
    """Handling of one arrival of a request at one instance."""

    attempt: claim_attempt.ClaimAttempt
    ran: bool = False
    voided_after_dispatch: bool = False


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Callers, claimants, holders; the network loses, reorders and copies messages."""

    holder_class: type[claims.ClaimHolder] = claims.ClaimHolder
    attempt_class: type[claim_attempt.ClaimAttempt] = claim_attempt.ClaimAttempt
    max_records = 100
    uses_joint_lists = True

    @stateful.initialize()
    def start(self) -> None:
        """Start all holders long before the first key is created."""
        self.now = START
        self.holders = {name: self.new_holder(name, START - 100) for name in self.names}
        self.accepted_at = [START - 1000]
        self.key_texts: list[str] = []
        self.last_attempts: dict[str, int] = {}
        self.claimants: list[Claimant] = []
        self.arrivals = 0
        self.sends: list[claim_attempt.Send] = []
        self.replies: list[claim_messages.ClaimReply] = []
        self.runs: list[tuple[str, int]] = []
        self.not_run: list[tuple[str, int]] = []

    @property
    def names(self) -> list[str]:
        """Return the names of the instances of all versions."""
        return sorted({name for version in VERSIONS for name in version})

    def new_holder(self, name: str, started_at: float) -> claims.ClaimHolder:
        """Return a holder without any records."""
        return self.holder_class(name, started_at, max_records=self.max_records)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.3, 1.0, 2.6, 5.0]))
    def advance(self, seconds: float) -> None:
        """Advance the time and tick all claimants."""
        self.now += seconds
        for claimant in self.claimants:
            self.apply_step(claimant, claimant.attempt.tick(self.now))

    @stateful.precondition(lambda self: len(self.key_texts) < 2)
    @stateful.rule(offset_s=strategies.sampled_from([-1.0, 0.0, 1.0]))
    def make_key(self, offset_s: float) -> None:
        """Create a key on a caller whose clock has the given offset."""
        text = f"r1.{int((self.now + offset_s) * 1000)}.{len(self.key_texts):016d}"
        self.key_texts.append(text)
        self.last_attempts[text] = 1

    @stateful.precondition(lambda self: self.key_texts)
    @stateful.rule(
        data=strategies.data(), lags=strategies.booleans(), voids=strategies.booleans()
    )
    def arrive(self, data: strategies.DataObject, lags: bool, voids: bool) -> None:
        """Deliver a request or a late duplicate of it to an instance."""
        text = data.draw(strategies.sampled_from(self.key_texts))
        number = data.draw(strategies.integers(1, self.last_attempts[text]))
        self.request(
            text,
            number,
            lags=lags,
            voids=voids and not data.draw(strategies.integers(0, 3)),
        )

    def request(
        self, text: str, number: int, lags: bool = False, voids: bool = False
    ) -> Claimant | None:
        """Start a claimant, possibly on an instance without the newest member list."""
        parsed = claim_keys.parse(text, self.now)
        if parsed.is_err():
            return None
        self.arrivals += 1
        lists = claim_placement.holder_lists(parsed.unwrap(), self.known_lists(lags))
        attempt = self.attempt_class(
            text, number, f"claimant-{self.arrivals}", lists, self.now + 2.0
        )
        claimant = Claimant(attempt)
        self.claimants.append(claimant)
        step = attempt.start_void(self.now) if voids else attempt.start(self.now)
        self.apply_step(claimant, step)
        return claimant

    def known_lists(self, lags: bool) -> list[claim_placement.MemberList]:
        """Return the member lists that an instance with a live lease may know."""
        count = len(self.accepted_at)
        while lags and count > 1 and self.now < self.accepted_at[count - 1] + LEASE_S:
            count -= 1
        first = 0 if self.uses_joint_lists else count - 1
        return [
            claim_placement.MemberList(
                tuple(member(name) for name in VERSIONS[index]),
                self.accepted_at[index + 1] if index + 1 < count else None,
            )
            for index in range(first, count)
        ]

    @stateful.precondition(lambda self: self.sends)
    @stateful.rule(data=strategies.data(), duplicated=strategies.booleans())
    def deliver_send(self, data: strategies.DataObject, duplicated: bool) -> None:
        """Deliver any pending message to its holder."""
        self.replies.append(self.handle(pick_message(data, self.sends, duplicated)))

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(data=strategies.data(), duplicated=strategies.booleans())
    def deliver_reply(self, data: strategies.DataObject, duplicated: bool) -> None:
        """Deliver any pending reply to its claimant."""
        self.receive(pick_message(data, self.replies, duplicated))

    @stateful.rule(skipped=strategies.sampled_from([None, *VERSIONS[0]]))
    def deliver_all(self, skipped: str | None) -> None:
        """Deliver all pending messages except those to the skipped holder."""
        self.deliver_pending([skipped] if skipped else [])

    def deliver_pending(self, skipped: list[str]) -> None:
        """Deliver all messages and replies; drop the messages to skipped holders."""
        while self.sends:
            send = self.sends.pop(0)
            if send.holder_id not in skipped:
                self.receive(self.handle(send))

    def handle(self, send: claim_attempt.Send) -> claim_messages.ClaimReply:
        """Pass a message to its holder, which uses its own clock."""
        holder = self.holders[send.holder_id]
        now = self.now + CLOCK_OFFSETS.get(send.holder_id, 0.0)
        if isinstance(send.message, claim_messages.ClaimRequest):
            return holder.on_claim(send.message, now)
        if isinstance(send.message, claim_messages.VoidRequest):
            return holder.on_void(send.message, now)
        return holder.on_done(send.message, now)

    def receive(self, reply: claim_messages.ClaimReply) -> None:
        """Pass a reply to its claimant, unless the claimant was killed."""
        for claimant in self.claimants:
            if claimant.attempt.claimant == reply.claimant:
                step = claimant.attempt.on_reply(reply, self.now)
                self.apply_step(claimant, step)

    def apply_step(self, claimant: Claimant, step: claim_attempt.Step) -> None:
        """Send the messages of a step and check its decision against the executions."""
        self.sends.extend(step.sends)
        key_attempt = (claimant.attempt.key, claimant.attempt.attempt)
        if isinstance(step.decision, claim_attempt.Dispatch):
            key, number = key_attempt
            others = [run for run in self.runs if run[0] == key]
            assert not others, f"executed twice: {others} and {key_attempt}"
            not_run_attempts = [
                reported for reported in self.not_run if reported[0] == key
            ]
            assert all(
                reported < number for _, reported in not_run_attempts
            ), f"dispatched after not-run was reported: {key_attempt}"
            self.runs.append(key_attempt)
            claimant.ran = True
        if isinstance(step.decision, claim_attempt.Voided):
            after_dispatch = claimant.voided_after_dispatch
            ran = [run for run in self.runs if run[0] == key_attempt[0]]
            lower = [run for run in ran if run[1] <= key_attempt[1]]
            assert (
                not lower
            ), f"reported not-run after execution: {lower}, shed: {after_dispatch}"
            self.not_run.append(key_attempt)
            key, number = key_attempt
            self.last_attempts[key] = max(self.last_attempts[key], number + 1)

    @stateful.rule(index=strategies.integers(0, 9), sheds=strategies.booleans())
    def end_dispatch(self, index: int, sheds: bool) -> None:
        """End a dispatch: the endpoint answers, or all endpoints shed the request."""
        running = [
            claimant
            for claimant in self.claimants
            if claimant.attempt.phase is claim_attempt.Phase.DISPATCHED
        ]
        if running:
            self.end(running[index % len(running)], sheds)

    def end(self, claimant: Claimant, sheds: bool) -> None:
        """End the dispatch of one claimant."""
        if sheds:
            self.runs.remove((claimant.attempt.key, claimant.attempt.attempt))
            claimant.voided_after_dispatch = True
            step = claimant.attempt.void_after_dispatch(self.now)
        else:
            answer = claim_messages.StoredResponse(200, "text/plain", b"ok")
            step = claimant.attempt.done(answer)
        self.apply_step(claimant, step)

    @stateful.precondition(lambda self: self.claimants)
    @stateful.rule(index=strategies.integers(0, 9))
    def kill_claimant(self, index: int) -> None:
        """Kill a claimant; a request that it dispatched still counts as executed."""
        self.claimants.pop(index % len(self.claimants))

    @stateful.rule(name=strategies.sampled_from(["a1", "b1", "c1", "b2", "c2", "a2"]))
    def restart_holder(self, name: str) -> None:
        """Restart a holder, which loses its records."""
        now = self.now + CLOCK_OFFSETS.get(name, 0.0)
        self.holders[name] = self.new_holder(name, now)

    @stateful.precondition(lambda self: len(self.accepted_at) < len(VERSIONS))
    @stateful.rule()
    def change_members(self) -> None:
        """Accept the next member list."""
        self.accepted_at.append(self.now)


def pick_message(
    data: strategies.DataObject, messages: list, duplicated: bool
) -> object:
    """Return any message, and keep a copy of it if it is duplicated."""
    index = data.draw(strategies.integers(0, len(messages) - 1))
    return messages[index] if duplicated else messages.pop(index)


class NoAbstentionHolder(claims.ClaimHolder):
    """Votes at once after a restart, without abstaining."""

    def __init__(self, holder_id, started_at, **options):
        super().__init__(holder_id, started_at - 1000.0, **options)


class VoidsAnyClaimHolder(claims.ClaimHolder):
    """Voids an attempt even if another claimant has claimed it."""

    def on_void(self, message, now):
        record = self._records_by_key.get(message.key)
        if record and record.state is claim_messages.RecordState.CLAIMED:
            del self._records_by_key[message.key]
        return super().on_void(message, now)


class GrantsVoidedHolder(claims.ClaimHolder):
    """Grants an attempt that was voided earlier."""

    def on_claim(self, message, now):
        record = self._records_by_key.get(message.key)
        if record and record.state is claim_messages.RecordState.VOID:
            del self._records_by_key[message.key]
        return super().on_claim(message, now)


class EvictingHolder(claims.ClaimHolder):
    """Evicts all records when the limit is reached."""

    def on_claim(self, message, now):
        if len(self) >= self._max_records:
            self._records_by_key.clear()
            self._keys_by_time.clear()
        return super().on_claim(message, now)


class SingleVoteAttempt(claim_attempt.ClaimAttempt):
    """Treats one vote as a majority."""

    def _is_majority(self, holders):
        return bool(holders)


class UnconfirmedVoidAttempt(claim_attempt.ClaimAttempt):
    """Reports `not-run` after a failed claim without voiding the attempt."""

    def _start_void(self, now):
        return self._end(claim_attempt.Voided())


def concurrent_duplicates(machine: ClaimsMachine) -> None:
    """Claim two duplicates, each at different holders."""
    text = new_key(machine)
    machine.request(text, 1)
    machine.deliver_pending(skipped=["b1", "c1"])
    machine.request(text, 1)
    machine.deliver_pending(skipped=["a1"])


def restarted_holder(machine: ClaimsMachine) -> None:
    """Restart a holder that voted, between two duplicates."""
    text = new_key(machine)
    machine.request(text, 1)
    machine.deliver_pending(skipped=["c1"])
    machine.restart_holder("a1")
    machine.request(text, 1)
    machine.deliver_pending(skipped=[])


def refused_duplicate(machine: ClaimsMachine) -> None:
    """Refuse a duplicate while the first attempt is dispatched."""
    text = new_key(machine)
    machine.request(text, 1)
    machine.deliver_pending(skipped=[])
    machine.request(text, 1)
    machine.deliver_pending(skipped=[])
    machine.advance(2.6)
    machine.deliver_pending(skipped=[])


def duplicate_after_void(machine: ClaimsMachine) -> None:
    """Deliver a duplicate after `not-run` was reported."""
    text = new_key(machine)
    machine.request(text, 1, voids=True)
    machine.deliver_pending(skipped=["c1"])
    assert machine.not_run
    machine.request(text, 1)
    machine.deliver_pending(skipped=[])


def record_limit_reached(machine: ClaimsMachine) -> None:
    """Claim more keys than the record limit between two duplicates."""
    text = new_key(machine)
    machine.request(text, 1)
    machine.deliver_pending(skipped=[])
    for _ in range(machine.max_records):
        machine.request(new_key(machine), 1)
        machine.deliver_pending(skipped=[])
    machine.request(text, 1)
    machine.deliver_pending(skipped=[])


def changed_members(machine: ClaimsMachine) -> None:
    """Claim one duplicate with the previous member list and one with the new list."""
    machine.change_members()
    text = new_key(machine)
    machine.request(text, 1, lags=True)
    machine.deliver_pending(skipped=["a1"])
    machine.request(text, 1)
    machine.deliver_pending(skipped=[])


def new_key(machine: ClaimsMachine) -> str:
    """Return a key with the current time."""
    machine.make_key(0.0)
    return machine.key_texts[-1]


NO_REPLACEMENTS = {}
SCENARIOS = [
    (concurrent_duplicates, {"attempt_class": SingleVoteAttempt}),
    (restarted_holder, {"holder_class": NoAbstentionHolder}),
    (refused_duplicate, {"attempt_class": UnconfirmedVoidAttempt}),
    (refused_duplicate, {"holder_class": VoidsAnyClaimHolder}),
    (duplicate_after_void, {"holder_class": GrantsVoidedHolder}),
    (record_limit_reached, {"holder_class": EvictingHolder}),
    (changed_members, {"uses_joint_lists": False}),
]
SETTINGS = hypothesis.settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_claims_machine() -> None:
    """The real holder and claimant keep both guarantees."""
    stateful.run_state_machine_as_test(ClaimsMachine, settings=SETTINGS)


@pytest.mark.parametrize("scenario", sorted({row[0] for row in SCENARIOS}, key=str))
def test_claims_scenario_holds(scenario) -> None:
    """The real classes keep both guarantees in each scenario."""
    run_scenario(scenario, NO_REPLACEMENTS)


@pytest.mark.parametrize(("scenario", "broken"), SCENARIOS)
def test_claims_scenario_broken_variant(scenario, broken) -> None:
    """Each scenario violates a guarantee if its protection is disabled."""
    with pytest.raises(
        AssertionError, match="executed twice|dispatched after|reported not-run after"
    ):
        run_scenario(scenario, broken)


def run_scenario(scenario, broken) -> None:
    """Run one scenario with the given attributes of the machine replaced."""
    machine = ClaimsMachine()
    machine.max_records = 2
    for name, value in broken.items():
        setattr(machine, name, value)
    machine.start()
    scenario(machine)
