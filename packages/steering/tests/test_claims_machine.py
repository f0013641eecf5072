"""No key runs twice and `not-run` is true, over any order of messages and faults."""

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
    """An instance in the failure domain of its first letter."""
    domain = ids.FailureDomainId(name[0])
    return claim_placement.Member(ids.InstanceId(name), REGION, domain)


@dataclasses.dataclass
class Claimant:
    """One instance's handling of one arrival of a request."""

    attempt: claim_attempt.ClaimAttempt
    ran: bool = False
    proved: bool = False


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Callers, claimants, holders and a network without any promise."""

    holder_class: type[claims.ClaimHolder] = claims.ClaimHolder
    attempt_class: type[claim_attempt.ClaimAttempt] = claim_attempt.ClaimAttempt
    max_records = 100
    uses_joint_lists = True

    @stateful.initialize()
    def start(self) -> None:
        """Starts every holder long before the first key."""
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
        """Every instance of any version."""
        return sorted({name for version in VERSIONS for name in version})

    def new_holder(self, name: str, started_at: float) -> claims.ClaimHolder:
        """A holder without any memory."""
        return self.holder_class(name, started_at, max_records=self.max_records)

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.3, 1.0, 2.6, 5.0]))
    def advance(self, seconds: float) -> None:
        """Lets time pass and ticks every claimant."""
        self.now += seconds
        for claimant in self.claimants:
            self.take_step(claimant, claimant.attempt.tick(self.now))

    @stateful.precondition(lambda self: len(self.key_texts) < 2)
    @stateful.rule(offset_s=strategies.sampled_from([-1.0, 0.0, 1.0]))
    def make_key(self, offset_s: float) -> None:
        """A caller makes a key by its own clock."""
        text = f"r1.{int((self.now + offset_s) * 1000)}.{len(self.key_texts):016d}"
        self.key_texts.append(text)
        self.last_attempts[text] = 1

    @stateful.precondition(lambda self: self.key_texts)
    @stateful.rule(
        data=strategies.data(), lags=strategies.booleans(), voids=strategies.booleans()
    )
    def arrive(self, data: strategies.DataObject, lags: bool, voids: bool) -> None:
        """A request or a late duplicate of it arrives at an instance."""
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
        """Starts a claimant that may not have learned of the newest list yet."""
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
        self.take_step(claimant, step)
        return claimant

    def known_lists(self, lags: bool) -> list[claim_placement.MemberList]:
        """The lists that an instance with a live lease may know of."""
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
    @stateful.rule(data=strategies.data(), doubled=strategies.booleans())
    def deliver_send(self, data: strategies.DataObject, doubled: bool) -> None:
        """Delivers any message to its holder."""
        self.replies.append(self.handle(take(data, self.sends, doubled)))

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(data=strategies.data(), doubled=strategies.booleans())
    def deliver_reply(self, data: strategies.DataObject, doubled: bool) -> None:
        """Delivers any reply to its claimant."""
        self.receive(take(data, self.replies, doubled))

    @stateful.rule(skipped=strategies.sampled_from([None, *VERSIONS[0]]))
    def deliver_all(self, skipped: str | None) -> None:
        """Delivers all that is under way, but to one holder."""
        self.flush([skipped] if skipped else [])

    def flush(self, skipped: list[str]) -> None:
        """Delivers messages and replies until none is left."""
        while self.sends:
            send = self.sends.pop(0)
            if send.holder_id not in skipped:
                self.receive(self.handle(send))

    def handle(self, send: claim_attempt.Send) -> claim_messages.ClaimReply:
        """Lets a holder handle a message by its own clock."""
        holder = self.holders[send.holder_id]
        now = self.now + CLOCK_OFFSETS.get(send.holder_id, 0.0)
        if isinstance(send.message, claim_messages.Claim):
            return holder.on_claim(send.message, now)
        if isinstance(send.message, claim_messages.Void):
            return holder.on_void(send.message, now)
        return holder.on_done(send.message, now)

    def receive(self, reply: claim_messages.ClaimReply) -> None:
        """Hands a reply to its claimant, unless that died."""
        for claimant in self.claimants:
            if claimant.attempt.claimant == reply.claimant:
                step = claimant.attempt.on_reply(reply, self.now)
                self.take_step(claimant, step)

    def take_step(self, claimant: Claimant, step: claim_attempt.Step) -> None:
        """Checks a claimant's decision against the truth."""
        self.sends.extend(step.sends)
        key_attempt = (claimant.attempt.key, claimant.attempt.attempt)
        if isinstance(step.decision, claim_attempt.Dispatch):
            key, number = key_attempt
            others = [run for run in self.runs if run[0] == key]
            assert not others, f"ran twice: {others} and {key_attempt}"
            denied = [said for said in self.not_run if said[0] == key]
            assert all(
                said < number for _, said in denied
            ), f"dispatched after not-run: {key_attempt}"
            self.runs.append(key_attempt)
            claimant.ran = True
        if isinstance(step.decision, claim_attempt.Voided):
            own = claimant.proved
            ran = [run for run in self.runs if run[0] == key_attempt[0]]
            lower = [run for run in ran if run[1] <= key_attempt[1]]
            assert not lower, f"not-run was false: {lower}, proved {own}"
            self.not_run.append(key_attempt)
            key, number = key_attempt
            self.last_attempts[key] = max(self.last_attempts[key], number + 1)

    @stateful.rule(index=strategies.integers(0, 9), sheds=strategies.booleans())
    def end_dispatch(self, index: int, sheds: bool) -> None:
        """The endpoint answers, or sheds every try."""
        running = [
            claimant
            for claimant in self.claimants
            if claimant.attempt.phase is claim_attempt.Phase.DISPATCHED
        ]
        if running:
            self.end(running[index % len(running)], sheds)

    def end(self, claimant: Claimant, sheds: bool) -> None:
        """Ends one dispatch."""
        if sheds:
            self.runs.remove((claimant.attempt.key, claimant.attempt.attempt))
            claimant.proved = True
            step = claimant.attempt.void_after_dispatch(self.now)
        else:
            answer = claim_messages.ClaimAnswer(200, "text/plain", b"ok")
            step = claimant.attempt.done(answer)
        self.take_step(claimant, step)

    @stateful.precondition(lambda self: self.claimants)
    @stateful.rule(index=strategies.integers(0, 9))
    def kill_claimant(self, index: int) -> None:
        """An instance dies; a request that it dispatched still counts as run."""
        self.claimants.pop(index % len(self.claimants))

    @stateful.rule(name=strategies.sampled_from(["a1", "b1", "c1", "b2", "c2", "a2"]))
    def restart_holder(self, name: str) -> None:
        """A holder loses its memory."""
        now = self.now + CLOCK_OFFSETS.get(name, 0.0)
        self.holders[name] = self.new_holder(name, now)

    @stateful.precondition(lambda self: len(self.accepted_at) < len(VERSIONS))
    @stateful.rule()
    def change_members(self) -> None:
        """The leader accepts a new member list."""
        self.accepted_at.append(self.now)


def take(data: strategies.DataObject, messages: list, doubled: bool) -> object:
    """Picks a message and leaves a copy if it is doubled."""
    index = data.draw(strategies.integers(0, len(messages) - 1))
    return messages[index] if doubled else messages.pop(index)


class RememberlessHolder(claims.ClaimHolder):
    """Votes at once after a restart."""

    def __init__(self, holder_id, started_at, **options):
        super().__init__(holder_id, started_at - 1000.0, **options)


class OverridingHolder(claims.ClaimHolder):
    """Voids claims of any claimant."""

    def on_void(self, message, now):
        record = self._records_by_key.get(message.key)
        if record and record.state is claim_messages.RecordState.CLAIMED:
            del self._records_by_key[message.key]
        return super().on_void(message, now)


class UnblockedHolder(claims.ClaimHolder):
    """Grants an attempt that was voided before."""

    def on_claim(self, message, now):
        record = self._records_by_key.get(message.key)
        if record and record.state is claim_messages.RecordState.VOID:
            del self._records_by_key[message.key]
        return super().on_claim(message, now)


class ForgettingHolder(claims.ClaimHolder):
    """Drops records to make room."""

    def on_claim(self, message, now):
        if len(self) >= self._max_records:
            self._records_by_key.clear()
            self._keys_by_time.clear()
        return super().on_claim(message, now)


class SingleVoteAttempt(claim_attempt.ClaimAttempt):
    """Takes one vote for a majority."""

    def _is_majority(self, holders):
        return bool(holders)


class EagerAttempt(claim_attempt.ClaimAttempt):
    """Says `not-run` because its claim failed, without a void."""

    def _start_void(self, now):
        return self._end(claim_attempt.Voided())


def two_at_once(machine: ClaimsMachine) -> None:
    """Two duplicates, each of which reaches other holders first."""
    text = new_key(machine)
    machine.request(text, 1)
    machine.flush(skipped=["b1", "c1"])
    machine.request(text, 1)
    machine.flush(skipped=["a1"])


def restarted_holder(machine: ClaimsMachine) -> None:
    """A voter restarts between two duplicates."""
    text = new_key(machine)
    machine.request(text, 1)
    machine.flush(skipped=["c1"])
    machine.restart_holder("a1")
    machine.request(text, 1)
    machine.flush(skipped=[])


def refused_then_told(machine: ClaimsMachine) -> None:
    """A duplicate is refused while the first attempt is out."""
    text = new_key(machine)
    machine.request(text, 1)
    machine.flush(skipped=[])
    machine.request(text, 1)
    machine.flush(skipped=[])
    machine.advance(2.6)
    machine.flush(skipped=[])


def voided_then_late(machine: ClaimsMachine) -> None:
    """A duplicate arrives after `not-run` was said."""
    text = new_key(machine)
    machine.request(text, 1, voids=True)
    machine.flush(skipped=["c1"])
    assert machine.not_run
    machine.request(text, 1)
    machine.flush(skipped=[])


def full_holders(machine: ClaimsMachine) -> None:
    """More keys than records between two duplicates."""
    text = new_key(machine)
    machine.request(text, 1)
    machine.flush(skipped=[])
    for _ in range(machine.max_records):
        machine.request(new_key(machine), 1)
        machine.flush(skipped=[])
    machine.request(text, 1)
    machine.flush(skipped=[])


def changed_members(machine: ClaimsMachine) -> None:
    """One duplicate knows the former member list only, the other the new one."""
    machine.change_members()
    text = new_key(machine)
    machine.request(text, 1, lags=True)
    machine.flush(skipped=["a1"])
    machine.request(text, 1)
    machine.flush(skipped=[])


def new_key(machine: ClaimsMachine) -> str:
    """A key of this moment."""
    machine.make_key(0.0)
    return machine.key_texts[-1]


REAL = {}
SCENARIOS = [
    (two_at_once, {"attempt_class": SingleVoteAttempt}),
    (restarted_holder, {"holder_class": RememberlessHolder}),
    (refused_then_told, {"attempt_class": EagerAttempt}),
    (refused_then_told, {"holder_class": OverridingHolder}),
    (voided_then_late, {"holder_class": UnblockedHolder}),
    (full_holders, {"holder_class": ForgettingHolder}),
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
    """The real holder and claimant keep both promises."""
    stateful.run_state_machine_as_test(ClaimsMachine, settings=SETTINGS)


@pytest.mark.parametrize("scenario", sorted({row[0] for row in SCENARIOS}, key=str))
def test_claims_scenario_holds(scenario) -> None:
    """The real classes keep both promises in each scenario, and one request runs."""
    run_scenario(scenario, REAL)


@pytest.mark.parametrize(("scenario", "broken"), SCENARIOS)
def test_claims_scenario_broken_variant(scenario, broken) -> None:
    """Without its mechanism each scenario breaks a promise."""
    with pytest.raises(AssertionError, match="ran twice|dispatched after|was false"):
        run_scenario(scenario, broken)


def run_scenario(scenario, broken) -> None:
    """Runs one scenario with some parts replaced."""
    machine = ClaimsMachine()
    machine.max_records = 2
    for name, value in broken.items():
        setattr(machine, name, value)
    machine.start()
    scenario(machine)
