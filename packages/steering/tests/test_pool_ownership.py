"""State machine: no pool ever has two owners."""

from __future__ import annotations

import dataclasses
import random

import hypothesis
import pytest
from hypothesis import stateful, strategies as st

from yuccapitch.catalogue import ids
from yuccapitch.protocol import slot_messages
from yuccapitch.steering import owners, pool_ownership

LEASE_S = 4.0
REGION = ids.RegionId("east")
POOLS = tuple(
    owners.Pool(ids.ServiceId("shop"), ids.FailureDomainId(f"domain-{n}"))
    for n in (1, 2, 3)
)
INSTANCES = tuple(ids.InstanceId(f"entry-{n}") for n in (1, 2, 3))


@dataclasses.dataclass
class Owner:
    """One incarnation of an instance, with its own clock rate."""

    key: pool_ownership.OwnerKey
    rate: float
    owned: set[owners.Pool] = dataclasses.field(default_factory=set)
    lease_until: float = float("-inf")
    term: int = 0
    applied: int = 0

    def owns_now(self, now: float) -> set[owners.Pool]:
        return self.owned if now * self.rate < self.lease_until else set()


@dataclasses.dataclass(frozen=True)
class Request:
    key: pool_ownership.OwnerKey
    owned: frozenset[owners.Pool]
    term: int
    applied: int
    sent_at: float


@dataclasses.dataclass(frozen=True)
class Grant:
    request: Request
    term: int
    number: int
    pools: tuple[slot_messages.PoolGrant, ...]


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Messages are lost, delayed and reordered; instances and leaders change."""

    ownership_type = pool_ownership.PoolOwnership

    def __init__(self) -> None:
        super().__init__()
        self.rng = random.Random(7)
        self.now = 0.0
        self.term = 0
        self.incarnation = 0
        self.owners_by_id = {name: self.new_owner(name) for name in INSTANCES}
        self.requests: list[Request] = []
        self.grants: list[Grant] = []
        self.elect()

    def new_owner(self, name: ids.InstanceId) -> Owner:
        self.incarnation += 1
        rate = self.rng.choice((0.99, 1.0, 1.01))
        return Owner(pool_ownership.OwnerKey(name, self.incarnation), rate)

    def elect(self) -> None:
        self.term += 1
        self.number = 0
        self.seen: set[Request] = set()
        self.leader = self.ownership_type(self.now, LEASE_S, self.term == 1)
        self.leader.set_pools(dict.fromkeys(POOLS, REGION), self.now)

    @stateful.rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 3.0, 5.0)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule()
    def change_leader(self) -> None:
        self.elect()

    @stateful.rule(name=st.sampled_from(INSTANCES))
    def restart(self, name: ids.InstanceId) -> None:
        self.owners_by_id[name] = self.new_owner(name)

    @stateful.rule(name=st.sampled_from(INSTANCES))
    def send_request(self, name: ids.InstanceId) -> None:
        owner = self.owners_by_id[name]
        self.requests.append(
            Request(
                owner.key,
                frozenset(owner.owns_now(self.now)),
                owner.term,
                owner.applied,
                self.now * owner.rate,
            )
        )

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(data=st.data())
    def serve(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(self.requests))
        self.requests.remove(request)
        served = [r for r in self.seen if r.key == request.key]
        if any(r.sent_at >= request.sent_at for r in served):
            return
        self.seen.add(request)
        self.number += 1
        leader = self.leader
        leader.expire_leases(self.now)
        applied = request.applied if request.term == self.term else 0
        leader.apply_report(request.key, request.owned, {}, applied, self.now)
        domain = ids.FailureDomainId("domain-1")
        leader.add_instance(request.key, owners.Location(REGION, domain))
        pools = leader.grant_pools(request.key, self.number, self.now)
        self.grants.append(Grant(request, self.term, self.number, pools))

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule(data=st.data(), is_lost=st.booleans())
    def deliver(self, data: st.DataObject, is_lost: bool) -> None:
        grant = data.draw(st.sampled_from(self.grants))
        self.grants.remove(grant)
        if not is_lost:
            self.accept(grant)

    def accept(self, grant: Grant) -> None:
        owner = self.owners_by_id[grant.request.key.instance_id]
        if owner.key != grant.request.key:
            return
        if (grant.term, grant.number) <= (owner.term, owner.applied):
            return
        lease_until = grant.request.sent_at + LEASE_S
        if self.now * owner.rate >= lease_until:
            return
        held = owner.owns_now(self.now)
        owner.term, owner.applied = grant.term, grant.number
        owner.owned = {
            pool
            for item in grant.pools
            for pool in POOLS
            if pool.failure_domain == item.failure_domain
            and (item.number != pool_ownership.ADOPTED_GRANT or pool in held)
        }
        owner.lease_until = max(owner.lease_until, lease_until)

    @stateful.invariant()
    def no_pool_has_two_owners(self) -> None:
        owned = [
            pool
            for owner in self.owners_by_id.values()
            for pool in owner.owns_now(self.now)
        ]
        assert len(owned) == len(set(owned))


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = hypothesis.settings(
    max_examples=50, stateful_step_count=50, deadline=None
)


class NoWaitOwnership(pool_ownership.PoolOwnership):
    """Broken variant: a new leader does not wait for its predecessor's leases."""

    def __init__(self, now: float, lease_duration_s: float, is_first_term: bool):
        super().__init__(now, lease_duration_s, is_first_term=True)


def renew_lease(machine: OwnershipMachine, name: ids.InstanceId) -> None:
    """Renew an instance's lease without loss or delay of messages."""
    machine.send_request(name)
    request = machine.requests.pop()
    machine.number += 1
    machine.leader.expire_leases(machine.now)
    applied = request.applied if request.term == machine.term else 0
    machine.leader.apply_report(request.key, request.owned, {}, applied, machine.now)
    location = owners.Location(REGION, ids.FailureDomainId("domain-1"))
    machine.leader.add_instance(request.key, location)
    pools = machine.leader.grant_pools(request.key, machine.number, machine.now)
    machine.accept(Grant(request, machine.term, machine.number, pools))


def change_leader_while_owner_is_disconnected(machine: OwnershipMachine) -> None:
    """Disconnect the owner of every pool while the leader changes."""
    renew_lease(machine, INSTANCES[0])
    machine.pass_time(1.0)
    machine.elect()
    renew_lease(machine, INSTANCES[1])
    machine.no_pool_has_two_owners()


class NoWaitMachine(OwnershipMachine):
    """Runs the checks of the state machine on the broken variant."""

    ownership_type = NoWaitOwnership


def test_ownership_stays_exclusive_over_change_of_leader() -> None:
    machine = OwnershipMachine()
    change_leader_while_owner_is_disconnected(machine)
    assert len(machine.owners_by_id[INSTANCES[0]].owns_now(machine.now)) == len(POOLS)


def test_ownership_without_waiting_for_leases_fails() -> None:
    with pytest.raises(AssertionError):
        change_leader_while_owner_is_disconnected(NoWaitMachine())
