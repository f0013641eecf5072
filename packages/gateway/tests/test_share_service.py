from __future__ import annotations

import random
from typing import Any

import pytest

from tests import catalogue_sample, lease_requests
from yuccapitch.catalogue import ids, model, state as catalogue_state
from yuccapitch.control import leases
from yuccapitch.gateway import admissions, share_service, share_use
from yuccapitch.steering import ramp, resources, shifts

NORTH = ids.RegionId("north")
SOUTH = ids.RegionId("south")
BIRCH = ids.OwnerId("birch")
CAPACITY = 50
REGION = resources.region_resource_id(NORTH)
SHIFT = resources.shift_resource_id(ids.ShiftId("s"))
LINK = resources.link_resource_id(ids.LinkId("n-s"))
STATES = {
    NORTH: shifts.RegionState(frozenset({ids.OwnerId("amber")}), True),
    SOUTH: shifts.RegionState(frozenset({BIRCH}), True),
}
NORTH_ONLY = {NORTH: STATES[NORTH]}
NORTH_UNAVAILABLE = {**STATES, NORTH: shifts.RegionState(frozenset(), True)}
ENTRY_NAMES = ("e1", "e2", "e3")


def sample(**sections: object) -> model.Declaration:
    (instance,) = catalogue_sample.plain()["instances"].values()
    instances = {
        name: {**instance, "http_port": 8000 + n, "inner_port": 8100 + n}
        for n, name in enumerate(ENTRY_NAMES)
    }
    return catalogue_sample.declaration(instances=instances, **sections)


class Cluster:
    """The leases of one leader and three entry instances on a simulated clock."""

    def __init__(self) -> None:
        self.now = 100.0
        self.declaration = sample()
        self.state = catalogue_state.CatalogueState()
        self.term = leases.TermLeases(1, self.state, self.now, 4.0)
        change = catalogue_sample.change("first", 0, self.declaration, owner="birch")
        self.state.apply(1, catalogue_sample.command(change))
        self.term.apply_new_version(self.now)
        self.sequence = 0
        self.renewal_requests: list[str] = []
        self.shares_by_name = {name: self.start(name) for name in ENTRY_NAMES}

    def start(self, name: str) -> share_service.ShareService:
        shares = share_service.ShareService(
            name, 1, NORTH, lambda: self.renewal_requests.append(name), lambda: self.now
        )
        shares.update_resources(self.declaration, self.now)
        return shares

    def renew(self, name: str) -> int:
        """Renew until no further renewal is due; return the number of renewals."""
        shares = self.shares_by_name[name]
        for count in range(1, 5):
            self.sequence += 1
            request = lease_requests.lease_request(
                name,
                self.sequence,
                "n1",
                version=1,
                shares=shares.next_renewal(self.now),
            )
            answer = self.term.renew(request, self.now).unwrap().shares
            assert answer is not None
            if not shares.apply_answer(answer, self.now):
                return count
        raise AssertionError("every renewal requires another one")

    def admit(
        self,
        name: str,
        patience: model.Patience = model.Patience.IMPATIENT,
        states: dict[ids.RegionId, shifts.RegionState] = NORTH_ONLY,
        body_bytes: int = 0,
    ) -> admissions.Admitted | admissions.Refused:
        attributes = admissions.RequestAttributes(
            ids.ServiceId("bins"), NORTH, patience, body_bytes
        )
        return self.shares_by_name[name].admit(attributes, states, self.now, 0.5)

    def fill(self, name: str, **options: Any) -> list[admissions.Admitted]:
        admitted = []
        while isinstance(item := self.admit(name, **options), admissions.Admitted):
            admitted.append(item)
        return admitted


@pytest.fixture
def cluster() -> Cluster:
    return Cluster()


def test_shares_are_granted_in_two_renewals(cluster: Cluster) -> None:
    # The first response reports the leader's term, and the entry renews at once.
    assert cluster.renew("e1") == 2
    shares = cluster.shares_by_name["e1"]
    assert shares.share(REGION, cluster.now) == CAPACITY
    assert shares.share(SHIFT, cluster.now) == 10
    assert shares.share(LINK, cluster.now) > admissions.CHUNK_BYTES


def test_shares_new_entry_is_granted_on_its_second_renewal(
    cluster: Cluster,
) -> None:
    cluster.renew("e1")
    cluster.renew("e2")
    assert cluster.shares_by_name["e2"].share(REGION, cluster.now) == 0
    assert isinstance(cluster.admit("e2"), admissions.Refused)
    assert cluster.renewal_requests == ["e2"]
    cluster.now += 1.0
    cluster.renew("e1")
    cluster.renew("e2")
    assert isinstance(cluster.admit("e2"), admissions.Admitted)


def test_shares_refused_requests_trigger_one_renewal(
    cluster: Cluster,
) -> None:
    refused = [cluster.admit("e1") for _ in range(20)]
    assert all(isinstance(item, admissions.Refused) for item in refused)
    assert cluster.renewal_requests == ["e1"]
    cluster.renew("e1")
    assert isinstance(cluster.admit("e1"), admissions.Admitted)


def test_shares_unused_move_to_the_busy_entry(cluster: Cluster) -> None:
    for _ in range(4):
        for name in ENTRY_NAMES:
            cluster.renew(name)
        cluster.now += 1.0
    idle_share = cluster.shares_by_name["e1"].share(REGION, cluster.now)
    assert CAPACITY // 3 <= idle_share <= CAPACITY // 3 + 1
    held: list[admissions.Admitted] = []
    for _ in range(3):
        for _ in range(CAPACITY):
            item = cluster.admit("e1")
            if isinstance(item, admissions.Admitted):
                held.append(item)
        for name in ENTRY_NAMES:
            cluster.renew(name)
        cluster.now += 1.0
    # The two idle entries keep one baseline unit each.
    assert len(held) == CAPACITY - 2


def test_shares_idle_entry_of_a_small_region_keeps_a_unit(cluster: Cluster) -> None:
    regions = {"north": {"capacity": 10}, "south": {"capacity": 10}}
    change = catalogue_sample.change("second", 1, sample(regions=regions), "birch")
    cluster.state.apply(2, catalogue_sample.command(change))
    cluster.term.apply_new_version(cluster.now)
    for shares in cluster.shares_by_name.values():
        shares.update_resources(sample(regions=regions), cluster.now)
    for _ in range(4):
        served = [cluster.admit("e1") for _ in range(20)]
        for item in served:
            if isinstance(item, admissions.Admitted):
                item.release()
        for name in ENTRY_NAMES:
            cluster.renew(name)
        cluster.now += 1.0
    held = [s.share(REGION, cluster.now) for s in cluster.shares_by_name.values()]
    assert held == [8, 1, 1]


def test_shares_never_exceed_the_capacity_of_the_region(cluster: Cluster) -> None:
    rng = random.Random(5)
    held: dict[str, list[admissions.Admitted]] = {name: [] for name in ENTRY_NAMES}
    max_in_use = 0
    for _ in range(300):
        cluster.now += 0.1
        name = rng.choice(ENTRY_NAMES)
        if rng.random() < 0.3:
            cluster.renew(name)
        if rng.random() < 0.5:
            held[name] += cluster.fill(name)
        while held[name] and rng.random() < 0.9:
            held[name].pop().release()
        in_use = [
            shares.in_use(REGION, cluster.now)
            for shares in cluster.shares_by_name.values()
        ]
        assert sum(in_use) <= CAPACITY
        max_in_use = max(max_in_use, sum(in_use))
    assert max_in_use > CAPACITY * 0.8


def test_shares_patient_requests_cannot_use_the_reserve(cluster: Cluster) -> None:
    cluster.renew("e1")
    patient = cluster.fill("e1", patience=model.Patience.PATIENT)
    reserve = round(CAPACITY * share_service.IMPATIENT_RESERVE_FRACTION)
    assert 0 < len(patient) == CAPACITY - reserve < CAPACITY
    assert len(cluster.fill("e1")) == reserve


def test_shares_patient_request_is_admitted_after_starvation(cluster: Cluster) -> None:
    cluster.renew("e1")
    impatient = cluster.fill("e1")
    patience = model.Patience.PATIENT
    assert isinstance(cluster.admit("e1", patience), admissions.Refused)
    cluster.now += share_use.PATIENT_STARVATION_S
    cluster.renew("e1")
    impatient.pop().release()
    assert len(cluster.fill("e1", patience=patience)) == 1


def test_shares_second_release_has_no_effect(cluster: Cluster) -> None:
    cluster.renew("e1")
    first, *_ = cluster.fill("e1")
    first.release()
    first.release()
    assert len(cluster.fill("e1")) == 1


def test_shares_expired_lease_admits_nothing(cluster: Cluster) -> None:
    cluster.renew("e1")
    cluster.now += 4.0
    assert isinstance(cluster.admit("e1"), admissions.Refused)


def test_shares_capacity_change_counts_requests_in_flight(cluster: Cluster) -> None:
    cluster.renew("e1")
    held = cluster.fill("e1")
    regions = {"north": {"capacity": 10}, "south": {"capacity": 10}}
    cluster.shares_by_name["e1"].update_resources(sample(regions=regions), cluster.now)
    assert cluster.shares_by_name["e1"].in_use(REGION, cluster.now) == len(held)
    for item in held:
        item.release()
    assert cluster.shares_by_name["e1"].in_use(REGION, cluster.now) == 0


def test_shares_unavailable_home_shifts_requests_on_a_ramp(cluster: Cluster) -> None:
    cluster.renew("e1")
    shifted = cluster.fill("e1", states=NORTH_UNAVAILABLE)
    assert len(shifted) == max(1, int(10 * ramp.MIN_RAMP_FRACTION))
    assert (shifted[0].region, shifted[0].endpoint_owner) == (SOUTH, BIRCH)
    used = cluster.shares_by_name["e1"].in_use(
        resources.region_resource_id(SOUTH), cluster.now
    )
    assert used == len(shifted)


def test_shares_shifted_never_exceed_the_cap(cluster: Cluster) -> None:
    times = []
    for step in range(700):
        cluster.now += 0.1
        for number, name in enumerate(ENTRY_NAMES):
            if step % 10 == 3 * number:
                cluster.renew(name)
            for admitted in cluster.fill(name, states=NORTH_UNAVAILABLE):
                times.append(cluster.now)
                admitted.release()
    for start in times:
        assert sum(start <= now < start + 1.0 for now in times) <= 10
    late = [now for now in times if now > cluster.now - 20.0]
    assert len(late) > 100


def test_shares_request_is_shifted_if_the_home_region_is_full(cluster: Cluster) -> None:
    cluster.renew("e1")
    cluster.fill("e1")
    overflow = cluster.admit("e1", states=STATES)
    assert isinstance(overflow, admissions.Admitted)
    assert overflow.region == SOUTH


def test_shares_recovered_home_serves_requests_on_a_ramp(cluster: Cluster) -> None:
    def serve(states: dict[ids.RegionId, shifts.RegionState]) -> ids.RegionId:
        cluster.now += 1.5
        cluster.renew("e1")
        admitted = cluster.admit("e1", states=states)
        assert isinstance(admitted, admissions.Admitted)
        admitted.release()
        return admitted.region

    assert serve(STATES) == NORTH
    for _ in range(10):
        serve(NORTH_UNAVAILABLE)
    assert [serve(STATES) for _ in range(5)] == [NORTH] * 5
    for _ in range(int(ramp.COLD_AFTER_IDLE_S)):
        serve(NORTH_UNAVAILABLE)
    regions = [serve(STATES) for _ in range(30)]
    assert 0 < regions[:8].count(NORTH) < regions[8:16].count(NORTH)
    assert regions[-5:] == [NORTH] * 5


def test_shares_recovered_home_without_shift_serves_all(cluster: Cluster) -> None:
    cluster.renew("e1")
    cluster.admit("e1", states={NORTH: NORTH_UNAVAILABLE[NORTH]})
    cluster.now += ramp.COLD_AFTER_IDLE_S + 1.0
    cluster.renew("e1")
    admitted = [cluster.admit("e1") for _ in range(5)]
    assert all(isinstance(item, admissions.Admitted) for item in admitted)


def test_shares_gauges_report_leased_and_used_units(cluster: Cluster) -> None:
    cluster.renew("e1")
    cluster.admit("e1")
    shares = cluster.shares_by_name["e1"]
    assert ((REGION,), CAPACITY) in shares.read_share_gauge()
    assert ((REGION,), 1) in shares.read_used_gauge()


def test_shares_refused_shift_acquires_nothing(cluster: Cluster) -> None:
    cluster.renew("e1")
    cluster.fill("e1", states=NORTH_UNAVAILABLE)
    refused = cluster.admit("e1", states=NORTH_UNAVAILABLE)
    assert isinstance(refused, admissions.Refused)
    assert refused.code == "no-region-cap"
    south = resources.region_resource_id(SOUTH)
    assert cluster.shares_by_name["e1"].in_use(south, cluster.now) == 1


def test_shares_unavailable_home_without_shift_is_refused(cluster: Cluster) -> None:
    states = {NORTH: NORTH_UNAVAILABLE[NORTH]}
    refused = cluster.admit("e1", states=states)
    assert isinstance(refused, admissions.Refused)
    assert refused.code == "no-region-no-shift"


async def test_pacer_waits_for_the_links_share(cluster: Cluster) -> None:
    cluster.renew("e1")
    admitted = cluster.admit("e1", states=NORTH_UNAVAILABLE, body_bytes=10_000_000)
    assert isinstance(admitted, admissions.Admitted) and admitted.pacer is not None
    share = cluster.shares_by_name["e1"].share(LINK, cluster.now)
    sent_bytes = 0
    # The cluster's clock stands still, so a wait for more bytes would never end.
    while sent_bytes + admissions.CHUNK_BYTES <= share:
        await admitted.pacer.wait(admissions.CHUNK_BYTES)
        sent_bytes += admissions.CHUNK_BYTES
    assert share - sent_bytes < admissions.CHUNK_BYTES


async def test_pacer_uses_prepaid_bytes_first() -> None:
    requested: list[tuple[int, bool]] = []
    grants = iter([0, 5, 5])

    def acquire_bytes(units: int, is_repeated: bool) -> int:
        requested.append((units, is_repeated))
        return next(grants)

    pacer = admissions.Pacer(acquire_bytes, prepaid_bytes=4)
    await pacer.wait(4)
    assert requested == []
    await pacer.wait(10)
    assert requested == [(10, False), (10, True), (5, False)]
