"""Placement of requests by the dispatcher of a region."""

from __future__ import annotations

import builders
import pytest

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import model

ANSWERED = model.Outcome.ANSWERED


def place_and_grant(dispatcher, request, now=0.0):
    decision = dispatcher.place(request, now)
    assert isinstance(decision, model.Granted), decision
    return decision


def test_place_prefers_the_endpoint_that_caches_the_object():
    dispatcher = builders.make_dispatcher(
        *(builders.endpoint(f"e{n}") for n in range(8))
    )
    first = place_and_grant(dispatcher, builders.request(1, key="7"))
    dispatcher.release(first.attempt_id, ANSWERED, None, None, 0.5)
    for number in range(2, 6):
        repeated = place_and_grant(dispatcher, builders.request(number, "7", 1.0), 1.0)
        assert repeated.endpoint == first.endpoint
        dispatcher.release(repeated.attempt_id, ANSWERED, None, None, 1.2)


def test_place_selects_the_same_endpoint_for_a_new_object_in_every_dispatcher():
    endpoints = [builders.endpoint(f"e{n}") for n in range(8)]
    chosen = {
        place_and_grant(
            builders.make_dispatcher(*group), builders.request(1, key="7")
        ).endpoint.endpoint_id
        for group in (endpoints, endpoints[::-1])
    }
    assert len(chosen) == 1


def test_place_never_exceeds_the_slots():
    dispatcher = builders.make_dispatcher(
        builders.endpoint("e1"), builders.endpoint("e2")
    )
    decisions = [dispatcher.place(builders.request(n), 0.0) for n in range(8)]
    granted = [d for d in decisions if isinstance(d, model.Granted)]
    assert len(granted) == 4
    assert dispatcher.waiting_count() == 4


def test_place_refuses_requests_that_would_start_too_late():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1"))
    decisions = [dispatcher.place(builders.request(n), 0.0) for n in range(12)]
    refused = [d for d in decisions if isinstance(d, model.Refused)]
    assert refused
    assert {r.reason for r in refused} == {model.RefusalReason.LATE}
    assert all(r.retry_after_s > 0.1 for r in refused)


def test_place_spreads_the_retries_of_requests_refused_together():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1"))
    decisions = [dispatcher.place(builders.request(n), 0.0) for n in range(30)]
    refused = [d for d in decisions if isinstance(d, model.Refused)]
    assert len({round(r.retry_after_s, 3) for r in refused}) > len(refused) / 2


def test_place_refuses_requests_without_an_endpoint():
    decision = builders.make_dispatcher().place(builders.request(1), 0.0)
    assert isinstance(decision, model.Refused)
    assert decision.reason is model.RefusalReason.NO_ENDPOINT


def test_place_before_the_first_list_asks_for_an_early_retry():
    # After a restart of all instances, the leader soon reads the endpoint list. Clients
    # need not wait as long as for a service without endpoints.
    refused = builders.make_dispatcher().place(builders.request(1), 0.0)
    assert refused.retry_after_s < 0.5
    other_service = builders.endpoint("e1", service_id=ids.ServiceId("another"))
    with_endpoint_list = builders.make_dispatcher(
        builders.endpoint("e2"), other_service
    )
    request = builders.request(1, service_id=ids.ServiceId("another"))
    assert with_endpoint_list.place(request, 0.0).retry_after_s >= 1.0


def test_release_grants_the_slot_to_the_most_urgent_request():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=1))
    held = place_and_grant(dispatcher, builders.request(1))
    assert dispatcher.place(builders.request(2, rank=2), 0.0) is None
    assert dispatcher.place(builders.request(3, rank=0), 0.0) is None
    decisions = dispatcher.release(held.attempt_id, ANSWERED, None, None, 0.2)
    assert [d.attempt_id for d in decisions] == ["3"]


def test_release_grants_requests_that_meet_their_objective_before_late_ones():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=1))
    held = place_and_grant(dispatcher, builders.request(1))
    late = builders.request(2, rank=0, objective_at=0.0, deadline_at=9.0)
    assert dispatcher.place(late, 0.0) is None
    assert dispatcher.place(builders.request(3, rank=2), 0.0) is None
    decisions = dispatcher.release(held.attempt_id, ANSWERED, None, None, 0.2)
    assert [d.attempt_id for d in decisions] == ["3"]


def test_tick_refuses_requests_without_a_free_slot_in_time():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=1))
    place_and_grant(dispatcher, builders.request(1))
    assert dispatcher.place(builders.request(2), 0.0) is None
    decisions = dispatcher.tick(0.9)
    assert [d.reason for d in decisions] == [model.RefusalReason.EXPIRED]


def test_tick_reclaims_the_slot_of_an_unresponsive_entry():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=1))
    place_and_grant(dispatcher, builders.request(1))
    dispatcher.tick(6.5)
    place_and_grant(dispatcher, builders.request(2, now=6.5), 6.5)


def test_remove_entry_grants_its_slots_to_queued_requests():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=1))
    place_and_grant(dispatcher, builders.request(1))
    other = ids.InstanceId("10.0.0.2:7000")
    assert dispatcher.place(builders.request(2, entry_id=other), 0.0) is None
    decisions = dispatcher.remove_entry(builders.ENTRY, 0.1)
    assert [d.attempt_id for d in decisions] == ["2"]


@pytest.mark.parametrize(
    "changes",
    [{"is_leaving": True}, {"failure_domain": ids.FailureDomainId("north-z")}],
)
def test_place_avoids_leaving_and_evacuated_endpoints(changes):
    dispatcher = builders.make_dispatcher(
        builders.endpoint("e1", **changes),
        evacuated=frozenset({ids.FailureDomainId("north-z")}),
    )
    assert isinstance(dispatcher.place(builders.request(1), 0.0), model.Refused)


def test_place_keeps_a_request_in_its_home_regions():
    dispatcher = builders.make_dispatcher(
        builders.endpoint("n"), builders.endpoint("s", builders.SOUTH, slots=9)
    )
    homes = frozenset({builders.SOUTH})
    for number in range(6):
        granted = place_and_grant(
            dispatcher, builders.request(number, home_region_ids=homes)
        )
        assert granted.endpoint.region_id == builders.SOUTH


def test_place_skips_endpoints_that_serve_another_region():
    dispatcher = builders.make_dispatcher(
        builders.endpoint("n1"), builders.endpoint("n2", serving=builders.SOUTH)
    )
    decisions = [dispatcher.place(builders.request(n), 0.0) for n in range(4)]
    granted = [d for d in decisions if isinstance(d, model.Granted)]
    assert {g.endpoint.endpoint_id for g in granted} == {"n1"}


def test_place_limits_the_request_rate_at_a_cold_endpoint():
    dispatcher = builders.make_dispatcher(
        builders.endpoint("e1", slots=100, cold_left_s=3.0)
    )
    granted = 0
    for step in range(100):
        now = step / 100
        decision = dispatcher.place(builders.request(step, now=now), now)
        if isinstance(decision, model.Granted):
            granted += 1
            dispatcher.release(decision.attempt_id, ANSWERED, None, None, now)
        granted += sum(isinstance(d, model.Granted) for d in dispatcher.tick(now))
    assert 2 <= granted <= 4.0 + 2


def test_update_treats_a_new_incarnation_as_cold_with_an_empty_cache():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=9))
    first = place_and_grant(dispatcher, builders.request(1, key="7"))
    dispatcher.release(first.attempt_id, ANSWERED, None, None, 0.1)
    services = {builders.SERVICE: builders.service(cold_rate_per_s=1.0)}
    restarted = builders.endpoint("e1", slots=9, incarnation=5)
    dispatcher.table.update([restarted], services, frozenset(), 1.0)
    decisions = [dispatcher.place(builders.request(n, "7", 1.0), 1.0) for n in range(9)]
    assert sum(isinstance(d, model.Granted) for d in decisions) == 1


# Guards against an endpoint that is listed as cold again, with the same start, and that
# dispatchers went on to take for warm.
def test_update_treats_an_endpoint_as_cold_that_is_listed_so_again():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=9))
    first = place_and_grant(dispatcher, builders.request(1, key="7"))
    dispatcher.release(first.attempt_id, ANSWERED, None, None, 0.1)
    services = {builders.SERVICE: builders.service(cold_rate_per_s=1.0)}
    cold_again = builders.endpoint("e1", slots=9, cold_left_s=3.0)
    dispatcher.table.update([cold_again], services, frozenset(), 1.0)
    decisions = [dispatcher.place(builders.request(n, "7", 1.0), 1.0) for n in range(9)]
    assert sum(isinstance(d, model.Granted) for d in decisions) == 1
    assert dispatcher.warm_objects(ids.EndpointId("e1"), 0.5) == [("read/7", 1.0)]


def test_update_does_not_prolong_a_warm_up_by_an_entry_applied_before():
    cold = builders.endpoint("e1", slots=9, cold_left_s=3.0)
    dispatcher = builders.make_dispatcher(cold)
    services = {builders.SERVICE: builders.service(cold_rate_per_s=1.0)}
    dispatcher.table.update([cold], services, frozenset(), 2.5)
    # A full list repeats the time that is left, with the delay of its way.
    delayed = builders.endpoint("e1", slots=9, cold_left_s=0.5)
    dispatcher.table.update([delayed], services, frozenset(), 2.6)
    state = dispatcher.table.states_by_id[ids.EndpointId("e1")]
    assert not state.is_cold(3.0)


def test_update_treats_endpoints_as_cold_after_their_evacuation():
    domain = ids.FailureDomainId("north-a")
    dispatcher = builders.make_dispatcher(
        builders.endpoint("e1", slots=9), evacuated=frozenset({domain})
    )
    services = {builders.SERVICE: builders.service(cold_rate_per_s=1.0)}
    dispatcher.table.update(
        [builders.endpoint("e1", slots=9)], services, frozenset(), 1.0
    )
    decisions = [dispatcher.place(builders.request(n, now=1.0), 1.0) for n in range(9)]
    assert sum(isinstance(d, model.Granted) for d in decisions) == 1


def test_place_backs_off_from_an_unreachable_endpoint():
    dispatcher = builders.make_dispatcher(
        builders.endpoint("e1"), builders.endpoint("e2")
    )
    first = place_and_grant(dispatcher, builders.request(1))
    unreachable = model.Outcome.UNREACHABLE
    dispatcher.release(first.attempt_id, unreachable, None, None, 0.0)
    for number in range(2, 4):
        repeated = place_and_grant(dispatcher, builders.request(number, now=0.1), 0.1)
        assert repeated.endpoint != first.endpoint


def test_restore_grant_occupies_a_slot_of_a_previous_dispatcher():
    endpoint = builders.endpoint("e1", slots=1)
    dispatcher = builders.make_dispatcher(endpoint)
    restored = dispatcher.restore_grant(builders.request(1), endpoint, 0.0)
    assert restored is not None
    assert dispatcher.place(builders.request(2), 0.0) is None
    decisions = dispatcher.release(restored.attempt_id, ANSWERED, None, None, 0.2)
    assert [d.attempt_id for d in decisions] == ["2"]


def place_and_release(dispatcher, outcome, count, now=0.0):
    """Place ``count`` requests and release each with ``outcome``."""
    for number in range(count):
        decision = dispatcher.place(builders.request(1000 + number, now=now), now)
        if isinstance(decision, model.Granted):
            dispatcher.release(decision.attempt_id, outcome, None, None, now)


def test_place_uses_all_endpoints_when_all_fail_equally():
    dispatcher = builders.make_dispatcher(
        *(builders.endpoint(f"e{n}") for n in range(4))
    )
    for _ in range(10):
        place_and_release(dispatcher, model.Outcome.SHED, 4)
    decisions = [dispatcher.place(builders.request(n), 0.0) for n in range(8)]
    assert all(isinstance(d, model.Granted) for d in decisions)


def test_place_avoids_an_endpoint_that_fails_more_than_the_others():
    dispatcher = builders.make_dispatcher(
        *(builders.endpoint(f"e{n}") for n in range(4))
    )
    failing = None
    for number in range(200):
        granted = place_and_grant(dispatcher, builders.request(number))
        failing = failing or granted.endpoint
        outcome = model.Outcome.SHED if granted.endpoint == failing else ANSWERED
        dispatcher.release(granted.attempt_id, outcome, None, None, 0.0)
    chosen = set()
    for number in range(200, 206):
        chosen.add(place_and_grant(dispatcher, builders.request(number)).endpoint)
    assert failing not in chosen


def test_release_pauses_an_endpoint_that_reports_a_queue():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=1))
    granted = place_and_grant(dispatcher, builders.request(1))
    load = model.Load(running=1, waiting=2, slots=1)
    dispatcher.release(granted.attempt_id, ANSWERED, load, None, 0.0)
    assert dispatcher.place(builders.request(2), 0.0) is None
    assert [d.attempt_id for d in dispatcher.tick(0.1)] == ["2"]


def test_place_sends_a_trial_request_to_an_endpoint_that_joined():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=9))
    first = place_and_grant(dispatcher, builders.request(1, key="7"))
    dispatcher.release(first.attempt_id, ANSWERED, None, None, 0.2)
    joined = [builders.endpoint("e1", slots=9), builders.endpoint("e2", slots=9)]
    services = {builders.SERVICE: builders.service()}
    dispatcher.table.update(joined, services, frozenset(), 1.0)
    chosen = [
        place_and_grant(
            dispatcher, builders.request(n, "7", 2.5), 2.5
        ).endpoint.endpoint_id
        for n in range(2, 5)
    ]
    assert chosen == ["e2", "e1", "e1"]


def test_place_keeps_most_objects_in_one_region_during_spillover():
    endpoints = [builders.endpoint(f"n{n}", slots=9) for n in range(3)]
    endpoints += [
        builders.endpoint(f"s{n}", builders.SOUTH, slots=9, serving=builders.NORTH)
        for n in range(3)
    ]
    dispatcher = builders.make_dispatcher(*endpoints)
    regions_by_key = {}
    for number in range(400):
        now = number / 100
        granted = place_and_grant(
            dispatcher, builders.request(number, f"{number % 40}", now), now
        )
        dispatcher.release(granted.attempt_id, ANSWERED, None, None, now)
        dispatcher.tick(now)
        regions = regions_by_key.setdefault(number % 40, set())
        regions.add(granted.endpoint.region_id)
    assert sum(len(regions) > 1 for regions in regions_by_key.values()) <= 8


def test_place_refuses_requests_that_cannot_finish_before_the_deadline():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=9))
    for number in range(3):
        granted = place_and_grant(dispatcher, builders.request(number, str(number)))
        dispatcher.release(granted.attempt_id, ANSWERED, None, None, 2.0)
    decision = dispatcher.place(
        builders.request(9, "9", 2.0, objective_at=2.5, deadline_at=3.0), 2.0
    )
    assert isinstance(decision, model.Refused)


def test_record_warm_object_keeps_the_endpoint_of_a_previous_dispatcher():
    endpoints = [builders.endpoint(f"e{n}", slots=9) for n in range(8)]
    first = place_and_grant(
        builders.make_dispatcher(*endpoints), builders.request(1, key="7")
    ).endpoint
    other = next(e for e in endpoints if e != first)
    dispatcher = builders.make_dispatcher(*endpoints)
    dispatcher.record_warm_object(other.endpoint_id, "read/7", 0.0)
    assert place_and_grant(dispatcher, builders.request(2, key="7")).endpoint == other


@pytest.mark.parametrize(
    ("outcome", "is_kept"), [(model.Outcome.FAILED, True), (model.Outcome.SHED, False)]
)
def test_release_keeps_objects_only_if_the_request_was_processed(outcome, is_kept):
    dispatcher = builders.make_dispatcher(
        *(builders.endpoint(f"e{n}", slots=9) for n in range(8))
    )
    first = place_and_grant(dispatcher, builders.request(1, key="7"))
    dispatcher.release(first.attempt_id, outcome, None, None, 0.1)
    state = dispatcher.table.states_by_id[first.endpoint.endpoint_id]
    assert state.is_warm("read/7", 0.2) is is_kept


def test_place_keeps_requests_with_large_bodies_in_the_region():
    endpoints = [builders.endpoint("n", slots=30)]
    endpoints += [
        builders.endpoint("s", builders.SOUTH, slots=30, serving=builders.NORTH)
    ]
    dispatcher = builders.make_dispatcher(*endpoints)
    dispatcher.place(builders.request(0), 0.0)
    dispatcher.tick(0.0)
    regions = {True: [], False: []}
    for number in range(1, 40):
        is_large_body = number % 2 == 0
        size = 60_000 if is_large_body else 0
        request = builders.request(number, f"{number}", body_bytes=size)
        regions[is_large_body].append(
            place_and_grant(dispatcher, request).endpoint.region_id
        )
    assert set(regions[True]) == {builders.NORTH}
    assert builders.SOUTH in regions[False]


def test_update_returns_the_endpoints_that_were_reassigned():
    dispatcher = builders.make_dispatcher(
        builders.endpoint("e1"), builders.endpoint("e2")
    )
    services = {builders.SERVICE: builders.service()}
    listed = [builders.endpoint("e1", serving=builders.SOUTH), builders.endpoint("e2")]
    assert dispatcher.table.update(listed, services, frozenset(), 1.0) == ["e1"]
    assert dispatcher.table.update(listed, services, frozenset(), 2.0) == []
