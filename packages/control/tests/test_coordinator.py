"""Tests of the coordinator's answers to polls, with a stub of the replica."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import zlib

import coordinator_harness
import result

from yuccapitch.consensus import effects
from yuccapitch.control import (
    coordinator,
    state_leases,
)
from yuccapitch.protocol import codec, subscription_messages as messages

A, B = coordinator_harness.A, coordinator_harness.B


def test_poll_is_answered_by_a_confirmed_leader():
    answer = coordinator_harness.CoordinatorHarness().poll()
    assert isinstance(answer, messages.PollResponse)
    assert [i.instance_id for i in answer.instances] == [B]


async def test_poll_is_refused_after_the_leader_lease_expired():
    harness = coordinator_harness.CoordinatorHarness()
    # The clock advances while the machine is suspended, so the leader lease expires.
    harness.now = 60.0
    asyncio.get_running_loop().call_later(0.05, harness.advance_clock, 1.0)
    assert isinstance(await harness.poll(), messages.PollRefusal)
    assert not harness.coordinator.is_leader


def test_poll_refusal_names_the_known_leader():
    harness = coordinator_harness.CoordinatorHarness()
    harness.replica.leader_lease_expires_at = 0.0
    harness.replica.leader_id = B
    assert harness.poll() == messages.PollRefusal(B)


# Guards against a new leader that confirms an older state in the moment between the
# commit of its predecessor's orders and their application.
async def test_poll_is_answered_once_the_committed_orders_are_applied():
    harness = coordinator_harness.CoordinatorHarness()
    harness.replica.core.commit_index = 7
    waiting = asyncio.ensure_future(harness.poll())
    await asyncio.sleep(0.05)
    assert not waiting.done()
    harness.replica.applied_index = 7
    assert isinstance(await waiting, messages.PollResponse)


def test_poll_answer_contains_only_what_changed():
    harness = coordinator_harness.CoordinatorHarness()
    first = harness.poll()
    again = harness.poll(term=first.term, instances_version=first.instances_version)
    assert again.instances is None
    assert again.state is None


def test_poll_answer_contains_differences_of_a_known_endpoint_list():
    # Sending the full list of a large deployment would saturate a slow link.
    harness = coordinator_harness.CoordinatorHarness()
    fleet = harness.coordinator.fleet
    fleet.update_endpoints(
        [coordinator_harness.record("a"), coordinator_harness.record("b")], 9.0
    )
    first = harness.poll()
    assert [e.endpoint_id for e in first.endpoints] == ["a", "b"]
    fleet.update_endpoints(
        [coordinator_harness.record("b"), coordinator_harness.record("c")], 9.1
    )
    position = {"term": first.term, "endpoints_version": first.endpoints_version}
    again = harness.poll(**position)
    assert again.endpoints is None
    changes = messages.EndpointChanges((coordinator_harness.record("c"),), ("a",))
    assert again.endpoint_changes == changes
    assert harness.poll(**{**position, "term": 1}).endpoints is not None


# Guards against requests to an endpoint that is leaving, from an instance whose polls
# are delayed by bodies on its link.
async def test_endpoint_changes_are_sent_without_a_poll():
    harness = coordinator_harness.CoordinatorHarness()
    harness.replica.is_leader = True
    await harness.coordinator._update_endpoints()
    first = harness.poll()
    known = {"term": first.term, "endpoints_version": first.endpoints_version}
    harness.poll(**known, instances_version=first.instances_version)
    harness.links.sent.clear()
    leaving = [dataclasses.replace(e, is_leaving=True) for e in first.endpoints]
    harness.source.records = tuple(leaving)
    await harness.coordinator._update_endpoints()
    ((peer_id, changes),) = harness.links.sent
    assert peer_id == B
    assert all(e.is_leaving for e in changes.endpoint_changes.changed)
    assert changes.instances is None


def test_applied_order_is_sent_without_a_poll():
    harness = coordinator_harness.CoordinatorHarness()
    harness.poll()
    harness.links.sent.clear()
    order = messages.RouteDeclaration(3, b"routes")
    harness.state.apply(1, codec.encode(order))
    harness.coordinator.on_effect(effects.Apply(()))
    ((peer_id, changes),) = harness.links.sent
    assert peer_id == B
    assert changes.state.revision == 3


async def test_endpoint_list_counts_its_age_from_the_start_of_the_reading():
    # Pages that were read first may lack what changed during the reading.
    harness = coordinator_harness.CoordinatorHarness()
    source = harness.source
    source.before_answer = lambda: harness.advance_clock(0.4)
    await harness.coordinator._update_endpoints()
    assert harness.poll().endpoints_age_ms == 400


def test_poll_answer_contains_compressed_routes_once():
    # Uncompressed routes of 100 KB take a third of a second on a link of 2.45 Mbit/s.
    harness = coordinator_harness.CoordinatorHarness()
    content = b'{"pathPrefix": "/orders/"}' * 4000
    order = messages.RouteDeclaration(3, content)
    harness.state.apply(1, codec.encode(order))
    update = harness.poll().state
    assert zlib.decompress(update.compressed_content) == content
    assert len(update.compressed_content) < len(content) / 50
    evacuation = messages.EvacuationOrder("north-a", True)
    harness.state.apply(2, codec.encode(evacuation))
    update = harness.poll(state_index=1, revision=3).state
    assert update == messages.StateUpdate(3, b"", ("north-a",))


def test_poll_answer_to_an_entry_lists_instances_of_its_region():
    harness = coordinator_harness.CoordinatorHarness()
    harness.poll(instance_id="10.0.0.3:7000", region_id="south")
    answer = harness.poll()
    assert [i.instance_id for i in answer.instances] == [B]
    assert answer.entry_count == 2
    control_answer = harness.poll(instance_id="10.0.0.4:7000", is_entry=False)
    assert len(control_answer.instances) == 2


def test_poll_of_a_new_instance_notifies_the_others():
    harness = coordinator_harness.CoordinatorHarness()
    harness.poll()
    harness.links.sent.clear()
    harness.advance_clock(coordinator.INSTANCE_NOTICE_INTERVAL_S)
    harness.poll(instance_id="10.0.0.3:7000")
    assert B in [peer_id for peer_id, _ in harness.links.sent]


async def test_poll_answer_is_delayed_during_an_election():
    # After a loss of all instances, client requests fail until the entry instances know
    # a leader. Refusing the poll would delay that by a retry.
    harness = coordinator_harness.CoordinatorHarness()
    harness.replica.leader_lease_expires_at = 0.0
    harness.replica.leader_id = None
    waiting = asyncio.ensure_future(harness.poll())
    await asyncio.sleep(0)
    assert not waiting.done()
    harness.replica.leader_id = "10.0.0.3:7000"
    assert await waiting == messages.PollRefusal("10.0.0.3:7000")
    harness.replica.leader_id = A
    waiting = asyncio.ensure_future(harness.poll())
    await asyncio.sleep(0)
    harness.replica.leader_lease_expires_at = 10.0
    assert isinstance(await waiting, messages.PollResponse)


async def test_poll_registers_an_entry_without_a_leader():
    harness = coordinator_harness.CoordinatorHarness()
    harness.replica.leader_lease_expires_at = 0.0
    waiting = asyncio.ensure_future(harness.poll())
    await asyncio.sleep(0)
    harness.advance_clock(1.0)
    await waiting
    assert [i.instance_id for i in harness.coordinator.fleet.instances] == [B]


async def test_update_endpoints_allocates_by_instance_count_during_warm_up():
    # After a restart of all instances, the first heartbeats may come from one region
    # only. A final allocation by these would leave the other region without endpoints.
    harness = coordinator_harness.CoordinatorHarness()
    harness.poll(instance_id="10.0.0.3:7000", region_id="south")
    await harness.coordinator._update_endpoints()
    harness.poll(instance_id="10.0.0.4:7000", region_id="north")
    harness.advance_clock(0.5)
    await harness.coordinator._update_endpoints()
    endpoints = harness.coordinator.fleet.endpoints
    assert [e.serving_region_id for e in endpoints].count("north") == 2


async def test_run_endpoint_updates_reads_before_leadership_is_confirmed():
    harness = coordinator_harness.CoordinatorHarness()
    harness.replica.leader_lease_expires_at = 0.0
    source = harness.source
    running = asyncio.ensure_future(harness.coordinator.run_endpoint_updates())
    while not source.reads:
        await asyncio.sleep(0.01)
    running.cancel()
    assert harness.coordinator.fleet.endpoints_read_at is not None


# Guards against an acknowledged change that entry instances do not act on yet.
async def test_submit_awaits_the_entries_that_may_act_on_an_older_state():
    harness = coordinator_harness.CoordinatorHarness()
    assert await harness.declare(1) == result.Ok(None)
    harness.poll(state_index=1, revision=1)
    submitted = harness.declare(2)
    await asyncio.sleep(0.05)
    assert harness.state.revision == 2
    assert not submitted.done()
    harness.report_applied(B, 2)
    assert await submitted == result.Ok(None)


# Guards against a repeated call that acknowledges what is not in force yet.
async def test_submit_of_a_held_revision_awaits_the_same_entries():
    harness = coordinator_harness.CoordinatorHarness()
    await harness.declare(1)
    harness.poll(state_index=1, revision=1)
    submitted, repeated = harness.declare(2), harness.declare(2)
    await asyncio.sleep(0.05)
    assert not submitted.done() and not repeated.done()
    harness.report_applied(B, 2)
    assert await repeated == result.Ok(None)


# Guards against a new leader that acknowledges a change unknown to entry instances that
# still act on the state of its predecessor.
async def test_submit_awaits_the_leases_of_an_earlier_leader():
    harness = coordinator_harness.CoordinatorHarness()
    await harness.declare(1)
    harness.replica.core.term = 4
    submitted = harness.declare(2)
    await asyncio.sleep(0.05)
    assert not submitted.done()
    harness.advance_clock(1.1 * state_leases.LEASE_DURATION_S)
    harness.report_applied(B, 2)
    assert await submitted == result.Ok(None)


# Guards against an order that a suspended instance reads after its caller has given up
# and has given the opposite order through another instance.
async def test_submit_proposes_nothing_for_a_caller_who_has_left():
    harness = coordinator_harness.CoordinatorHarness()
    assert await harness.evacuate(True) == result.Ok(None)
    assert (await harness.evacuate(False, lambda: False)).is_err()
    assert harness.state.message().evacuated_domains == (coordinator_harness.DOMAIN,)


# Guards against the same where the copy was delayed on its link to the leader.
async def test_submit_request_does_not_undo_a_later_order():
    harness = coordinator_harness.CoordinatorHarness()
    assert await harness.evacuate(True) == result.Ok(None)
    known_index = harness.state.evacuation_index(coordinator_harness.DOMAIN)
    delayed = messages.EvacuationOrder(coordinator_harness.DOMAIN, False, known_index)
    assert await harness.evacuate(False) == result.Ok(None)
    assert await harness.evacuate(True) == result.Ok(None)
    submit = harness.links.handlers_by_type[messages.SubmitRequest]
    reply = await submit(B, messages.SubmitRequest(codec.encode(delayed)))
    latest_index = harness.state.evacuation_index(coordinator_harness.DOMAIN)
    assert (reply.is_committed, reply.superseded_by) == (False, latest_index)
    assert harness.state.message().evacuated_domains == (coordinator_harness.DOMAIN,)


def follower_harness(*replies: object) -> coordinator_harness.CoordinatorHarness:
    harness = coordinator_harness.CoordinatorHarness()
    harness.replica.is_leader = False
    harness.replica.leader_id = B
    harness.links.replies = list(replies)
    return harness


# Guards against an order that is refused because its instance lags behind the leader.
async def test_submit_repeats_a_superseded_order_of_a_caller_who_waits():
    harness = follower_harness(
        messages.SubmitResponse(False, "superseded", 7),
        messages.SubmitResponse(True, ""),
    )
    assert await harness.evacuate(False) == result.Ok(None)
    sent = [
        codec.decode(request.command).ok_value for request in harness.links.requests
    ]
    assert [order.based_on for order in sent] == [0, 7]


async def test_submit_drops_a_superseded_order_of_a_caller_who_has_left():
    harness = follower_harness(messages.SubmitResponse(False, "superseded", 7))
    answers = iter([True, False])
    assert (await harness.evacuate(False, lambda: next(answers))).is_err()
    assert len(harness.links.requests) == 1


async def test_submit_ends_in_time_though_other_orders_keep_coming_before():
    harness = follower_harness(*[messages.SubmitResponse(False, "superseded", 7)] * 99)
    request = harness.links.request

    async def delayed_request(*arguments):
        harness.advance_clock(0.1)
        return await request(*arguments)

    harness.links.request = delayed_request
    assert (await harness.evacuate(False)).is_err()
    assert harness.now <= 9.0 + 1.0


def test_boot_time_includes_suspended_time():
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    now = coordinator.boot_time_s()
    assert before <= now <= time.clock_gettime(time.CLOCK_BOOTTIME)


def count_events(monkeypatch, name: str) -> list[dict[str, object]]:
    """Return a list that receives the fields of each logged event of this name."""
    logged: list[dict[str, object]] = []

    def record_event(event_name: str, /, **fields: object) -> None:
        if event_name == name:
            logged.append(fields)

    monkeypatch.setattr(coordinator.events, "event", record_event)
    return logged


def test_failed_election_is_logged_when_its_answers_change(monkeypatch):
    logged = count_events(monkeypatch, "consensus.election-failed")
    harness = coordinator_harness.CoordinatorHarness()
    silent = effects.ElectionFailed(4, 8, (A,), (), (B,))
    denied = effects.ElectionFailed(4, 8, (A,), (B,), ())
    for failed in (silent, silent, denied, denied):
        harness.coordinator.on_effect(failed)
    assert [fields["silent"] for fields in logged] == [(B,), ()]
    harness.advance_clock(coordinator.FAILED_ELECTION_LOG_INTERVAL_S)
    harness.coordinator.on_effect(denied)
    assert len(logged) == 3
