"""Tests of leased shares, limiters, ramps, shifts and resources."""

from __future__ import annotations

import random

import pytest
import result

from yuccapitch.catalogue import ids, model
from yuccapitch.protocol import lease_messages
from yuccapitch.steering import (
    fair_shares,
    ledger,
    limiters,
    ramp,
    resources,
    share_holder,
    shifts,
)

ID = resources.ResourceId("r")
KINDS = resources.LimiterKind
HOME, TARGET = ids.RegionId("home"), ids.RegionId("target")
OWNER = ids.OwnerId("o")
SERVICE = ids.ServiceId("s")
SHIFT = ids.ShiftId("shift")
LIVE = shifts.RegionState(frozenset([OWNER]), has_capacity=True)


class NoDriftMarginLedger(ledger.Ledger):
    """Assumes that all clocks run at the same rate."""

    def _expiry_time(self, now: float) -> float:
        return now + self.lease_duration_s


@pytest.mark.parametrize(
    ("ledger_class", "shared"), [(ledger.Ledger, 10), (NoDriftMarginLedger, 20)]
)
def test_ledger_slow_holder_keeps_share_until_its_expiry(ledger_class, shared) -> None:
    resource = resources.Resource(ID, KINDS.CONCURRENCY, 10)
    share_ledger = ledger_class(1, {ID: resource}, 0.0)
    slow, other = (share_holder.ShareHolder(name, 1) for name in "ab")
    exchange(share_ledger, slow, 20.0 * 1.01, 20.0 * 0.99)
    assert slow.share(ID, 20.0 * 0.99) == 10
    expiry = 20.0 + 4.0
    exchange(share_ledger, other, expiry * 1.01, expiry)
    assert slow.share(ID, expiry * 0.99) + other.share(ID, expiry) == shared


def test_ledger_unused_shares_move_within_two_renewals() -> None:
    resource = resources.Resource(ID, KINDS.CONCURRENCY, 100)
    share_ledger = ledger.Ledger(1, {ID: resource}, 0.0)
    idle, busy = (share_holder.ShareHolder(name, 1) for name in "ab")
    exchange(share_ledger, idle, 20.0, 20.0, demand=90)
    exchange(share_ledger, busy, 20.0, 20.0, demand=0)
    for now in (21.0, 22.0):
        exchange(share_ledger, idle, now, now, demand=0)
        exchange(share_ledger, busy, now, now, demand=90)
    assert busy.share(ID, 22.0) >= 90


def test_ledger_lowered_limit_is_reported_until_shares_shrink() -> None:
    share_ledger = ledger.Ledger(
        1, {ID: resources.Resource(ID, KINDS.CONCURRENCY, 10)}, 0.0
    )
    holder = share_holder.ShareHolder("a", 1)
    exchange(share_ledger, holder, 20.0, 20.0)
    share_ledger.update_resources({ID: resources.Resource(ID, KINDS.CONCURRENCY, 4)})
    assert share_ledger.limit_in_force(ID, 20.0) == ledger.LimitInForce(4, 10, True)
    exchange(share_ledger, holder, 21.0, 21.0)
    exchange(share_ledger, holder, 22.0, 22.0)
    assert share_ledger.limit_in_force(ID, 22.0) == ledger.LimitInForce(4, 4, True)


def exchange(
    share_ledger: ledger.Ledger,
    holder: share_holder.ShareHolder,
    leader_now: float,
    now: float,
    demand: int = 10,
) -> None:
    """Renew until the answer does not require another renewal at once."""
    while True:
        renewal = holder.next_renewal({ID: share_holder.Usage(demand)}, now)
        answer: lease_messages.ShareResponse = share_ledger.renew(
            renewal, leader_now
        ).unwrap()
        if holder.apply(answer, now) == result.Ok(share_holder.AppliedChange.SHARES):
            return


def test_demand_estimate_peak_decays() -> None:
    demand = share_holder.DemandEstimate(half_life_s=2.0)
    demand.observe(8, 10.0)
    demand.observe(1, 12.0)
    assert demand.value(14.0) == 2.0


def test_resources_by_id_lists_every_shared_limit() -> None:
    link = model.Link(source=HOME, target=TARGET, mbit_per_s=280, delay_ms=55)
    declaration = model.Declaration.model_construct(
        regions_by_id={HOME: model.Region(capacity=7)},
        shifts_by_id=shift(),
        links_by_id={ids.LinkId("l"): link},
        routes_by_id={},
    )
    limits_by_id = {
        resource_id: resource.limit
        for resource_id, resource in resources.resources_by_id(declaration).items()
    }
    assert limits_by_id == {"region:home": 7, "shift:shift": 1, "link:l": 8_750_000}


def test_fair_shares_small_demands_first() -> None:
    shares = fair_shares.fair_shares(10, {"a": 2, "b": 9, "c": 9})
    assert shares == {"a": 2, "b": 4, "c": 4}


def test_fair_shares_surplus_is_distributed_evenly() -> None:
    assert fair_shares.fair_shares(10, {"a": 0, "b": 2}) == {"a": 4, "b": 6}


def test_fair_shares_rotation_serves_every_key() -> None:
    demand_by_key = dict.fromkeys("abcde", 4)
    served = set()
    for turn in range(5):
        shares = fair_shares.fair_shares(2, demand_by_key, turn)
        assert sum(shares.values()) == 2
        served |= {key for key, share in shares.items() if share}
    assert served == set(demand_by_key)


def test_shift_arrivals_within_cap_over_varying_delays() -> None:
    declaration = model.Declaration.model_construct(
        regions_by_id={}, links_by_id={}, routes_by_id={}, shifts_by_id=shift()
    )
    resource = resources.resources_by_id(declaration)[
        resources.shift_resource_id(SHIFT)
    ]
    limiter = limiters.create_limiter(resource)
    rng = random.Random(1)
    arrivals = []
    for tick in range(2000):
        now = tick * 0.01
        if limiter.admit(resource.limit, 1, now).is_ok():
            arrivals.append(now + rng.uniform(0.0, 0.15))
    gaps = [after - before for before, after in zip(arrivals, arrivals[1:])]
    assert len(arrivals) > 15
    assert min(gaps) >= resources.RATE_WINDOW_S


def test_concurrency_limiter_admits_again_after_release() -> None:
    limiter = limiters.create_limiter(resources.Resource(ID, KINDS.CONCURRENCY, 1))
    admitted = limiter.admit(1, 1, 0.0).unwrap()
    assert limiter.admit(1, 1, 0.0).is_err()
    limiter.release(admitted)
    assert limiter.admit(1, 1, 0.0).is_ok()


def test_rate_limiter_any_window_within_share() -> None:
    rng = random.Random(1)
    limiter = limiters.create_limiter(
        resources.Resource(ID, KINDS.RATE, 5, window_s=1.0, linger_s=1.0)
    )
    times = sorted(rng.uniform(0, 20) for _ in range(400))
    admitted = [now for now in times if limiter.admit(5, 1, now).is_ok()]
    assert len(admitted) > 60
    for start in admitted:
        assert sum(start <= now < start + 1.0 for now in admitted) <= 5


def test_rate_limiter_retry_after_is_enough() -> None:
    limiter = limiters.create_limiter(
        resources.Resource(ID, KINDS.RATE, 1, window_s=1.0)
    )
    limiter.admit(1, 1, 0.25)
    refused = limiter.admit(1, 1, 0.5).unwrap_err()
    assert limiter.admit(1, 1, 0.5 + refused.retry_after_s).is_ok()


def test_bytes_limiter_backs_off_and_recovers() -> None:
    limiter = limiters.BytesLimiter(
        resources.Resource(ID, KINDS.BYTES, 1000, window_s=0.25)
    )
    measurement = limiters.LinkMeasurement(
        loss=0.05, round_trip_s=0.11, base_round_trip_s=0.11
    )
    limiter.observe(measurement, 0.0)
    limiter.observe(measurement, 0.01)
    assert limiter.fraction(0.01) == pytest.approx(0.5, abs=0.01)
    assert limiter.admit(1000, 450, 0.01).is_ok()
    assert limiter.admit(1000, 150, 0.02).is_err()
    assert limiter.admit(1000, 450, 5.0).is_ok()
    assert limiter.admit(1000, 150, 5.01).is_ok()
    assert limiter.fraction(60.0) == 1.0


def test_bytes_limiter_any_window_within_share() -> None:
    rng = random.Random(2)
    resource = resources.Resource(ID, KINDS.BYTES, 1000, window_s=0.25)
    limiter = limiters.create_limiter(resource)
    admitted = []
    for now in sorted(rng.uniform(0, 10) for _ in range(2000)):
        units = rng.randint(1, 200)
        if limiter.admit(1000, units, now).is_ok():
            admitted.append((now, units))
    assert sum(units for _, units in admitted) > 20_000
    for start, _ in admitted:
        window = [units for now, units in admitted if start <= now < start + 0.25]
        assert sum(window) <= 1000


def test_bytes_limiter_admits_one_chunk_above_usable_fraction() -> None:
    resource = resources.Resource(ID, KINDS.BYTES, 1000, window_s=0.25)
    limiter = limiters.BytesLimiter(resource)
    for number in range(10):
        limiter.observe(limiters.LinkMeasurement(0.05, 0.1, 0.1), float(number) / 2)
    assert limiter.admit(1000, 600, 5.0).is_ok()
    assert limiter.admit(1000, 600, 5.1).is_err()
    assert limiter.admit(1000, 1001, 9.0).is_err()


def test_admit_all_releases_on_refusal() -> None:
    capacity = limiters.create_limiter(resources.Resource(ID, KINDS.CONCURRENCY, 1))
    rate = limiters.create_limiter(resources.Resource(ID, KINDS.RATE, 1, window_s=1.0))
    wanted = [
        limiters.AdmissionRequest(rate, 0),
        limiters.AdmissionRequest(capacity, 1),
    ]
    assert limiters.admit_all(wanted, 0.0).is_err()
    assert capacity.in_use(0.0) == 0


def test_ramp_grows_from_minimum_and_restarts_when_cold() -> None:
    ramp_state = ramp.record_load(None, 100.0)
    assert ramp.allowance(ramp_state, 100, 100.0) == 10
    ramp_state = ramp.record_load(ramp_state, 115.0)
    assert ramp.allowance(ramp_state, 100, 115.0) == 55
    assert ramp.allowance(ramp_state, 100, 130.0) == 100
    assert ramp.allowance(ramp_state, 100, 115.0 + ramp.COLD_AFTER_IDLE_S + 1) == 10


def shift(fraction: float = 0.0) -> dict[ids.ShiftId, model.Shift]:
    """Return one shift from the home to the target region."""
    return {
        SHIFT: model.Shift(
            service=SERVICE,
            source=HOME,
            target=TARGET,
            endpoint_owner=OWNER,
            cap_per_s=1,
            fraction=fraction,
        )
    }


def admit(_: ids.ShiftId) -> limiters.Admission:
    """Admit the request, as the limiter of a shift below its cap does."""
    return result.Ok(limiters.Admitted(ID, 1))


def refuse(_: ids.ShiftId) -> limiters.Admission:
    """Refuse the request, as the limiter of a shift at its cap does."""
    return result.Err(limiters.Refused(ID, 0.4))


DRAINED = shifts.RegionState(frozenset([OWNER]), has_capacity=True, drained=True)
FULL = shifts.RegionState(frozenset([OWNER]), has_capacity=False)
NO_ENDPOINTS = shifts.RegionState(frozenset(), has_capacity=True)
SHIFTED = shifts.UseShift(SHIFT, TARGET, OWNER, limiters.Admitted(ID, 1))


@pytest.mark.parametrize(
    ("home", "target", "fraction", "take", "expected"),
    [
        (LIVE, LIVE, 0.0, admit, shifts.ServeAtHome()),
        (LIVE, LIVE, 0.6, admit, SHIFTED),
        (LIVE, LIVE, 0.4, admit, shifts.ServeAtHome()),
        (LIVE, LIVE, 0.6, refuse, shifts.ServeAtHome()),
        (FULL, LIVE, 0.0, admit, SHIFTED),
        (DRAINED, LIVE, 0.0, admit, SHIFTED),
        (NO_ENDPOINTS, LIVE, 0.0, refuse, shifts.NotRun(0.4, shifts.Refusal.CAP)),
        (
            NO_ENDPOINTS,
            DRAINED,
            0.0,
            admit,
            shifts.NotRun(1.0, shifts.Refusal.NO_SHIFT),
        ),
        (FULL, FULL, 0.0, admit, shifts.NotRun(1.0, shifts.Refusal.CAPACITY)),
    ],
)
def test_route_by_state(home, target, fraction, take, expected) -> None:
    states = {HOME: home, TARGET: target}
    assert shifts.route(SERVICE, HOME, shift(fraction), states, take, 0.5) == expected
