"""Tests of the selection of endpoints, pools, owners, entries and probes."""

from __future__ import annotations

import collections
import dataclasses
import random

import pytest

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import (
    endpoint_choice,
    entry_choice,
    owners,
    pool_choice,
    probes,
)

IMPATIENT = endpoint_choice.RequestProfile(model.Patience.IMPATIENT, 0.02)
PATIENT = endpoint_choice.RequestProfile(model.Patience.PATIENT, 0.06)
R1 = ids.RegionId("r1")
R2 = ids.RegionId("r2")
D1 = ids.FailureDomainId("r1a")
D2 = ids.FailureDomainId("r1b")


def _candidate(
    name: str, free: int, slowness: float = 1.0, doubtful: bool = False
) -> endpoint_choice.Candidate:
    return endpoint_choice.Candidate(ids.EndpointId(name), 4, free, slowness, doubtful)


def test_endpoint_choice_waits_instead_of_using_slow_slot() -> None:
    candidates = [_candidate("fast", 0), _candidate("slow", 4, 4.0)]
    rng = random.Random(1)
    profile = dataclasses.replace(IMPATIENT, expected_wait_s=0.01)
    assert endpoint_choice.choose(candidates, profile, rng) is None
    profile = dataclasses.replace(IMPATIENT, expected_wait_s=0.1)
    assert endpoint_choice.choose(candidates, profile, rng) == "slow"


def test_endpoint_choice_sends_patient_work_to_slow_slot() -> None:
    candidates = [_candidate("fast", 4), _candidate("slow", 4, 4.0)]
    rng = random.Random(1)
    assert endpoint_choice.choose(candidates, PATIENT, rng) == "slow"
    assert endpoint_choice.choose(candidates, IMPATIENT, rng) == "fast"


def test_endpoint_choice_occasionally_measures_slow_endpoint_again() -> None:
    candidates = [_candidate("fast", 4), _candidate("slow", 4, 4.0)]
    rng = random.Random(1)
    chosen = [endpoint_choice.choose(candidates, IMPATIENT, rng) for _ in range(5000)]
    assert 5 < chosen.count(ids.EndpointId("slow")) < 50


@pytest.mark.parametrize("policy", ["power-of-two", "least-outstanding"])
def test_endpoint_choice_skips_avoided(policy: str) -> None:
    profile = dataclasses.replace(IMPATIENT, avoided=frozenset({ids.EndpointId("a")}))
    candidates = [_candidate("a", 4), _candidate("b", 1)]
    rng = random.Random(1)
    for _ in range(20):
        assert endpoint_choice.choose(candidates, profile, rng, policy) == "b"


def test_endpoint_policy_registered_twice_is_rejected() -> None:
    with pytest.raises(ValueError, match="registered twice"):
        endpoint_choice.register("random")(endpoint_choice.choose_random)


def _view(name: str, distance_s: float, **counts: float) -> pool_choice.PoolView:
    view = pool_choice.PoolView(
        owners.Pool(ids.ServiceId("s"), ids.FailureDomainId(name)),
        ids.InstanceId(name),
        distance_s,
        slots=12,
        free=2,
        waiting_impatient=0,
        waiting_patient=0,
        counted_at=0.0,
        heard_at=0.0,
    )
    return dataclasses.replace(view, **counts)  # type: ignore[arg-type]


def _choose(*views: pool_choice.PoolView, now: float = 0.1) -> str:
    chosen = pool_choice.choose_pool(views, model.Patience.IMPATIENT, 0.02, now)
    assert chosen is not None
    return chosen.owner


def test_pool_choice_leaves_own_pool_only_for_shorter_wait() -> None:
    near, far = _view("near", 0.0), _view("far", 0.003)
    assert _choose(near, far) == "near"
    busy = dataclasses.replace(near, free=0, waiting_impatient=12)
    assert _choose(busy, far) == "far"
    patient_only = dataclasses.replace(near, free=0, waiting_patient=500)
    assert _choose(patient_only, far) == "near"


def test_pool_choice_includes_outstanding_requests() -> None:
    near = _view("near", 0.0, free=0, waiting_impatient=12)
    far = _view("far", 0.003, outstanding=40)
    assert _choose(near, far) == "near"


def test_pool_choice_skips_silent_owner_unless_there_is_no_other() -> None:
    now = pool_choice.OWNER_SILENCE_S
    near, far = _view("near", 0.001), _view("far", 0.055, heard_at=now)
    assert _choose(near, far, now=now) == "far"
    assert _choose(near, now=now) == "near"


# Guards against requests refused for up to half a second after an owner's slots are
# usable again, since its last counts were taken before.
def test_pool_choice_uses_pool_without_counted_slots_as_last_resort() -> None:
    near, far = _view("near", 0.003, slots=0, free=0), _view("far", 0.055)
    assert _choose(near, far) == "far"
    assert _choose(near) == "near"
    assert _choose(near, _view("own", 0.0, slots=0, free=0)) == "own"


def test_pool_choice_skips_pool_that_takes_no_requests() -> None:
    closed = _view("closed", 0.0, slots=0, free=0, is_open=False)
    assert _choose(closed, _view("near", 0.003, slots=0, free=0)) == "near"
    patience = model.Patience.IMPATIENT
    assert pool_choice.choose_pool([closed], patience, 0.02, 0.1) is None


def _locations(count: int) -> dict[ids.InstanceId, owners.Location]:
    regions = [ids.RegionId(f"r{i}") for i in range(3)]
    return {
        ids.InstanceId(f"e{i:02}"): owners.Location(
            regions[i % 3], ids.FailureDomainId(f"r{i % 3}{'ab'[i // 3 % 2]}")
        )
        for i in range(count)
    }


def _pools() -> dict[owners.Pool, ids.RegionId]:
    return {
        owners.Pool(ids.ServiceId(s), ids.FailureDomainId(f"r{i}{d}")): ids.RegionId(
            f"r{i}"
        )
        for s in ("batch", "pigment")
        for i in range(3)
        for d in "ab"
    }


@pytest.mark.parametrize("count", [10, 11])
def test_owners_are_local_and_evenly_loaded(count: int) -> None:
    locations = _locations(count)
    owned = owners.assign_pools(_pools(), locations)
    for pool, owner in owned.items():
        assert locations[owner].failure_domain == pool.failure_domain
    assert max(collections.Counter(owned.values()).values()) <= 2


def test_owners_move_only_pools_of_lost_instance() -> None:
    locations = _locations(11)
    before = owners.assign_pools(_pools(), locations)
    lost = before[min(before)]
    del locations[lost]
    after = owners.assign_pools(_pools(), locations)
    moved = [pool for pool in before if before[pool] != after[pool]]
    assert all(before[pool] == lost for pool in moved)


def test_owners_without_domain_instances_stay_in_region() -> None:
    locations = {i: p for i, p in _locations(11).items() if p.failure_domain != "r0a"}
    for pool, owner in owners.assign_pools(_pools(), locations).items():
        assert locations[owner].region == _pools()[pool]


def test_owners_pools_of_region_without_instances_have_none() -> None:
    locations = {i: p for i, p in _locations(11).items() if p.region != "r0"}
    owned = owners.assign_pools(_pools(), locations)
    assert {pool for pool in _pools() if pool not in owned} == {
        pool for pool, region in _pools().items() if region == "r0"
    }


def _entry(
    name: str,
    slots: int,
    state: entry_choice.EntryState = entry_choice.EntryState.SERVING,
    region: ids.RegionId = R1,
) -> entry_choice.EntryView:
    return entry_choice.EntryView(
        ids.InstanceId(name), region, D1, state, slots, 0.5, 0.0
    )


def test_entry_choice_ranks_first_in_proportion_to_owned_slots() -> None:
    entries = [_entry("e1", 16), _entry("e2", 8), _entry("e3", 0)]
    first = collections.Counter(
        entry_choice.choose_entries(entries, [R1], f"c{i}", 0.0)[0].instance_id
        for i in range(3000)
    )
    assert 1850 < first[ids.InstanceId("e1")] < 2150
    assert 850 < first[ids.InstanceId("e2")] < 1150


@pytest.mark.parametrize(
    "state",
    [
        entry_choice.EntryState.STOPPING,
        entry_choice.EntryState.UNLEASED,
        entry_choice.EntryState.DEAD,
    ],
)
def test_entry_choice_lists_only_serving_entries(
    state: entry_choice.EntryState,
) -> None:
    entries = [_entry("e1", 16, state), _entry("e2", 1), _entry("e3", 9, region=R2)]
    listed = entry_choice.choose_entries(entries, [R1, R2], "c", 0.0)
    assert [entry.instance_id for entry in listed] == ["e2", "e3"]


def test_probes_only_without_other_health_information() -> None:
    b1 = ids.EndpointId("b1")
    target = probes.ProbeTarget(b1, 5.0, heard_at=10.0, probed_at=None)
    assert probes.due_probes([target], 14.0) == ()
    assert probes.due_probes([target], 15.6) == (b1,)
    doubtful = dataclasses.replace(target, probed_at=14.0, doubtful=True)
    assert probes.due_probes([doubtful], 15.0) == (b1,)


def test_probes_stay_within_budget() -> None:
    target = probes.ProbeTarget(ids.EndpointId("b1"), 0.001, None, 0.0)
    spacing_s = probes.next_probe_at(target)
    assert probes.PROBE_COST_S / spacing_s <= probes.PROBE_BUDGET
