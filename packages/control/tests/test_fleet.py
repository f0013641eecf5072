"""Tests of the leader's state of instances, dispatchers and endpoints."""

from __future__ import annotations

import dataclasses
import math

from yuccapitch.control import fleet as control_fleet
from yuccapitch.protocol import subscription_messages as messages


def heartbeat(instance_id: str, **changes: object) -> messages.PollRequest:
    request = messages.PollRequest(
        instance_id, True, "north", "north-a", "10.0.0.1", 80, True, False, 0, 0, 0, 0,
        (), math.inf, "", -1,
    )  # fmt: skip
    return dataclasses.replace(request, **changes)  # type: ignore[arg-type]


def record(endpoint_id: str, **changes: object) -> messages.EndpointRecord:
    base = messages.EndpointRecord(
        endpoint_id, "orders", "10.0.1.1", 80, "north-a", 4, False, 0, 0, "north"
    )
    return dataclasses.replace(base, **changes)  # type: ignore[arg-type]


def endpoints_answer(
    endpoints: tuple[messages.EndpointRecord, ...] | None, age_ms: int
) -> messages.PollResponse:
    return messages.PollResponse(
        1, 0, None, 1, endpoints, age_ms, 1, None, (), 500, (), None, 1
    )


def dispatchers(fleet: control_fleet.Fleet) -> list[str]:
    return [dispatcher.instance_id for dispatcher in fleet.dispatchers]


def test_record_entry_heartbeat_reports_only_changes():
    fleet = control_fleet.Fleet()
    assert fleet.record_entry_heartbeat(heartbeat("a"), 0.0)
    assert not fleet.record_entry_heartbeat(heartbeat("a"), 0.5)
    assert fleet.record_entry_heartbeat(heartbeat("a", is_ready=False), 1.0)


def test_expire_removes_instances_without_heartbeats():
    fleet = control_fleet.Fleet()
    fleet.record_entry_heartbeat(heartbeat("a"), 0.0)
    fleet.record_entry_heartbeat(heartbeat("b"), 2.0)
    assert fleet.expire(2.5, 2.0)
    assert [i.instance_id for i in fleet.instances] == ["b"]


def test_record_entry_heartbeat_removes_a_stopping_instance():
    fleet = control_fleet.Fleet()
    fleet.record_entry_heartbeat(heartbeat("a"), 0.0)
    assert fleet.record_entry_heartbeat(heartbeat("a", is_stopping=True), 0.1)
    assert fleet.instances == ()
    assert not fleet.record_entry_heartbeat(heartbeat("a", is_stopping=True), 0.2)


def test_dispatcher_is_kept_until_it_stops():
    fleet = control_fleet.Fleet()
    fleet.record_entry_heartbeat(heartbeat("b"), 0.0)
    fleet.record_entry_heartbeat(heartbeat("a"), 0.1)
    assert dispatchers(fleet) == ["b"]
    fleet.record_entry_heartbeat(heartbeat("b", is_stopping=True), 0.2)
    assert dispatchers(fleet) == ["a"]


def test_dispatcher_is_replaced_by_the_latest_warmed_up_instance():
    # A rolling restart stops the instances in the order in which they joined.
    fleet = control_fleet.Fleet()
    for name, joined_at in (("a", 0.0), ("b", 0.1), ("c", 5.0), ("d", 9.0)):
        fleet.record_entry_heartbeat(heartbeat(name), joined_at)
    assert dispatchers(fleet) == ["a"]
    fleet.record_entry_heartbeat(heartbeat("a", is_stopping=True), 10.0)
    assert dispatchers(fleet) == ["c"]


def test_apply_leader_answer_keeps_the_join_times():
    former, fleet = control_fleet.Fleet(), control_fleet.Fleet()
    for name, joined_at in (("a", 0.0), ("b", 5.0)):
        fleet.record_entry_heartbeat(heartbeat(name), joined_at)
        former.record_entry_heartbeat(heartbeat(name), joined_at)
    answer = messages.PollResponse(
        1,
        0,
        None,
        0,
        None,
        -1,
        1,
        former.instances,
        (),
        500,
        former.dispatchers,
        None,
        2,
    )
    fleet.apply_leader_answer(answer, 20.0)
    fleet.begin_leadership("control", 20.0)
    fleet.record_entry_heartbeat(heartbeat("a", is_stopping=True), 20.5)
    assert dispatchers(fleet) == ["b"]


def test_dispatcher_is_a_ready_instance_of_each_region():
    fleet = control_fleet.Fleet()
    fleet.record_entry_heartbeat(heartbeat("a", is_ready=False), 0.0)
    fleet.record_entry_heartbeat(heartbeat("b"), 0.0)
    fleet.record_entry_heartbeat(heartbeat("c", region_id="south"), 0.0)
    assert dispatchers(fleet) == ["b", "c"]


def test_update_endpoints_ignores_the_remaining_warm_up_time():
    fleet = control_fleet.Fleet()
    assert fleet.update_endpoints([record("a", cold_left_ms=900)], 0.0)
    assert not fleet.update_endpoints([record("a", cold_left_ms=100)], 1.0)
    assert fleet.update_endpoints([record("a", is_leaving=True)], 2.0)


# Guards against an endpoint that is cold again under the same start, of which nobody
# was told.
def test_update_endpoints_reports_an_endpoint_that_is_cold_again():
    fleet = control_fleet.Fleet()
    fleet.update_endpoints([record("a"), record("b")], 0.0)
    assert fleet.update_endpoints([record("a", cold_left_ms=900), record("b")], 1.0)
    changes = fleet.endpoint_changes(1)
    assert changes is not None
    assert [(r.endpoint_id, r.cold_left_ms) for r in changes.changed] == [("a", 900)]
    assert not fleet.update_endpoints(
        [record("a", cold_left_ms=1000), record("b")], 1.1
    )


# Guards against a follower that takes an endpoint for cold long after its warm-up,
# because it is told of the time that was left when the endpoint was first read.
def test_followers_are_told_of_the_warm_up_time_that_is_left():
    fleet = control_fleet.Fleet()
    fleet.update_endpoints([record("b")], 0.0)
    known_version = fleet.endpoints_version
    fleet.update_endpoints([record("a", cold_left_ms=900)], 0.1)
    former_reading = fleet.endpoints_reading
    fleet.update_endpoints([record("a", cold_left_ms=100)], 0.9)
    assert [r.cold_left_ms for r in fleet.endpoints] == [100]
    assert fleet.endpoints_reading > former_reading
    changes = fleet.endpoint_changes(known_version)
    assert changes is not None
    assert [r.cold_left_ms for r in changes.changed] == [100]


def test_apply_leader_answer_counts_down_the_remaining_warm_up_time():
    leader, fleet = control_fleet.Fleet(), control_fleet.Fleet()
    leader.update_endpoints([record("a", cold_left_ms=900)], 0.0)
    fleet.apply_leader_answer(endpoints_answer(leader.endpoints, age_ms=0), 10.0)
    fleet.apply_leader_answer(endpoints_answer(None, age_ms=100), 10.5)
    assert [r.cold_left_ms for r in fleet.endpoints] == [500]
    fleet.apply_leader_answer(endpoints_answer(None, age_ms=0), 20.0)
    assert [r.cold_left_ms for r in fleet.endpoints] == [0]


# Guards against an endpoint that the next leader takes for warm too soon, as each late
# answer shortens the time that is left once more.
def test_apply_leader_answer_counts_down_no_more_after_late_answers():
    leader, fleet = control_fleet.Fleet(), control_fleet.Fleet()
    leader.update_endpoints([record("a", cold_left_ms=3000)], 0.0)
    fleet.apply_leader_answer(endpoints_answer(leader.endpoints, age_ms=0), 10.0)
    for number in range(1, 5):
        # Each second, an answer is half a second late and the next one is in time.
        age_ms = number * 1000
        asked_at = 10.0 + number
        fleet.apply_leader_answer(endpoints_answer(None, age_ms), asked_at + 0.5)
        fleet.apply_leader_answer(endpoints_answer(None, age_ms + 500), asked_at + 0.5)
    assert [r.cold_left_ms for r in fleet.endpoints] == [2500]


def test_begin_leadership_restarts_the_heartbeat_timeout():
    fleet = control_fleet.Fleet()
    fleet.record_entry_heartbeat(heartbeat("a"), 0.0)
    fleet.begin_leadership("control", 10.0)
    assert not fleet.expire(11.0, 2.0)
    assert fleet.expire(13.0, 2.0)


def test_control_instance_dispatches_if_the_entry_has_a_slow_link():
    fleet = control_fleet.Fleet()
    # Request bodies saturate the slow link of the entry instance.
    fleet.record_entry_heartbeat(heartbeat("entry", link_bits_per_s=2e6), 0.0)
    assert fleet.record_control_heartbeat(heartbeat("control", is_entry=False), 0.1)
    assert dispatchers(fleet) == ["control"]
    assert not fleet.record_control_heartbeat(heartbeat("control", is_entry=False), 0.6)


def test_expire_replaces_an_unresponsive_dispatcher():
    fleet = control_fleet.Fleet()
    fleet.record_control_heartbeat(heartbeat("control-1"), 0.0)
    for at in (0.1, 1.0, 2.0, 3.0):
        fleet.record_control_heartbeat(heartbeat("control-2"), at)
    assert dispatchers(fleet) == ["control-1"]
    assert fleet.expire(3.1, 2.0)
    assert dispatchers(fleet) == ["control-2"]


def test_begin_leadership_keeps_unconfirmed_dispatchers():
    fleet = control_fleet.Fleet()
    fleet.record_control_heartbeat(heartbeat("control-1"), 0.0)
    fleet.begin_leadership("control-9", 1.0)
    fleet.record_control_heartbeat(heartbeat("control-9"), 1.0)
    assert dispatchers(fleet) == ["control-1"]
    assert fleet.expire(3.1, 2.0)


def test_record_entry_heartbeat_keeps_the_dispatcher_in_use():
    # A leader that has just started knows no instances. The dispatcher that the entry
    # instances report still grants places and must not be replaced.
    fleet = control_fleet.Fleet()
    fleet.begin_leadership("control", 0.0)
    fleet.record_entry_heartbeat(heartbeat("a", dispatcher_id="b"), 0.0)
    assert dispatchers(fleet) == ["b"]
    fleet.record_entry_heartbeat(heartbeat("b"), 0.4)
    fleet.record_entry_heartbeat(heartbeat("a", is_ready=False), 2.2)
    assert dispatchers(fleet) == ["b"]


def test_unconfirmed_dispatcher_is_replaced_after_its_timeout():
    fleet = control_fleet.Fleet()
    fleet.begin_leadership("control", 0.0)
    fleet.record_entry_heartbeat(heartbeat("a", dispatcher_id="gone"), 0.0)
    fleet.record_control_heartbeat(heartbeat("control"), 1.0)
    assert dispatchers(fleet) == ["gone"]
    fleet.record_control_heartbeat(heartbeat("control"), 2.1)
    assert dispatchers(fleet) == ["a"]


def test_begin_leadership_restarts_the_timeout_of_unconfirmed_dispatchers():
    fleet = control_fleet.Fleet()
    fleet.record_entry_heartbeat(heartbeat("a", dispatcher_id="b"), 0.0)
    fleet.begin_leadership("control", 20.0)
    fleet.record_control_heartbeat(heartbeat("control"), 20.1)
    assert dispatchers(fleet) == ["b"]
