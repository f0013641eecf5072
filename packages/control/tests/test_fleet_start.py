"""Load on the leader while hundreds of instances start at the same moment.

The pattern is a herd: each instance that joins changes the list that all others hold.
"""

from __future__ import annotations

import collections

import coordinator_harness
import pytest
from hypothesis import given, settings, strategies

from yuccapitch.consensus import effects
from yuccapitch.control import compressed_lists, coordinator
from yuccapitch.protocol import codec, subscription_messages as messages

INSTANCES = 185
REGIONS = ("north", "south", "east")


def instance_id(number: int) -> str:
    return f"10.1.{number // 200}.{number % 200}:7000"


def join(harness: coordinator_harness.CoordinatorHarness, number: int, **changes):
    return harness.poll(
        instance_id=instance_id(number),
        region_id=REGIONS[number % len(REGIONS)],
        **changes,
    )


def notices(harness) -> collections.Counter:
    return collections.Counter(
        peer_id
        for peer_id, message in harness.links.sent
        if isinstance(message, messages.PollNotice)
    )


# Guards against a leader that is busy with notices until long after the start: 185
# instances that joined one by one made 17,205 of them, each answered by a poll.
def test_start_of_the_fleet_sends_each_instance_few_notices():
    harness = coordinator_harness.CoordinatorHarness()
    for number in range(INSTANCES):
        harness.advance_clock(1.0 / INSTANCES)
        join(harness, number)
    sent = notices(harness)
    assert sum(sent.values()) < 10 * INSTANCES
    assert max(sent.values(), default=0) < 10


# Guards against coalescing that forgets the last change.
def test_run_notifies_of_the_last_instance_that_joined():
    harness = coordinator_harness.CoordinatorHarness()
    join(harness, 0)
    harness.links.sent.clear()
    join(harness, 3)
    assert not notices(harness)
    harness.advance_clock(coordinator.INSTANCE_NOTICE_INTERVAL_S)
    harness.coordinator._notify_of_instances(harness.now)
    assert notices(harness)[instance_id(0)] == 1


def test_loss_of_a_dispatcher_is_noticed_at_once():
    harness = coordinator_harness.CoordinatorHarness()
    for number in range(6):
        join(harness, number)
    harness.coordinator._notify_of_instances(harness.now)
    harness.links.sent.clear()
    dispatcher_id = harness.coordinator.fleet.dispatcher_ids_by_region["north"]
    harness.poll(instance_id=dispatcher_id, region_id="north", is_stopping=True)
    assert len(notices(harness)) == 5


# Guards against a new leader that encodes the whole lists anew for each follower.
def test_answers_to_all_followers_encode_each_list_once(monkeypatch):
    harness = coordinator_harness.CoordinatorHarness()
    harness.coordinator.fleet.update_endpoints(
        (coordinator_harness.record(f"e{n}") for n in range(407)), harness.now
    )
    for number in range(INSTANCES):
        join(harness, number)
    encoded: collections.Counter = collections.Counter()
    encode = codec.encode

    def counting_encode(message):
        encoded[type(message)] += 1
        return encode(message)

    monkeypatch.setattr(compressed_lists.codec, "encode", counting_encode)
    harness.coordinator._compressed_lists.clear()
    for number in range(INSTANCES):
        answer = join(harness, number)
        assert len(answer.endpoints) == 407
        assert {i.region_id for i in answer.instances} == {REGIONS[number % 3]}
    assert encoded == {
        messages.EndpointList: 1,
        messages.InstanceList: len(REGIONS),
    }


def test_answer_follows_a_change_of_the_instances():
    harness = coordinator_harness.CoordinatorHarness()
    assert len(join(harness, 0).instances) == 1
    join(harness, 3)
    assert len(join(harness, 0).instances) == 2


@given(strategies.binary(max_size=64))
@settings(deadline=None)
def test_expand_refuses_lists_that_cannot_be_read(content):
    harness = coordinator_harness.CoordinatorHarness()
    answer = harness.poll()
    for name in ("compressed_endpoints", "compressed_instances"):
        broken = compressed_lists.dataclasses.replace(answer, **{name: content})
        expanded = compressed_lists.expand(broken)
        assert expanded.is_err() is bool(content)


@pytest.mark.parametrize("count", [2, INSTANCES])
def test_instances_are_those_that_are_tracked(count):
    harness = coordinator_harness.CoordinatorHarness()
    for number in range(count):
        join(harness, number)
    join(harness, 0, is_ready=False)
    listed = harness.coordinator.fleet.instances
    assert [i.instance_id for i in listed if not i.is_ready] == [instance_id(0)]
    join(harness, 1, is_stopping=True)
    assert len(harness.coordinator.fleet.instances) == count - 1


# Guards against a leader that sends the state to all followers for each control
# instance that joins: with 15 of them and 185 others, some 6,000 messages in a start.
async def test_log_entries_that_change_no_order_are_not_sent_to_the_followers():
    harness = coordinator_harness.CoordinatorHarness()
    for number in range(INSTANCES):
        join(harness, number)
    harness.coordinator.on_effect(effects.Apply(()))
    harness.links.sent.clear()
    for _ in range(30):
        harness.coordinator.on_effect(effects.Apply(()))
    assert not harness.links.sent
    await harness.declare(1)
    harness.coordinator.on_effect(effects.Apply(()))
    pushed = {peer_id for peer_id, _ in harness.links.sent}
    assert len(pushed) == INSTANCES


def test_new_leader_asks_its_followers_to_poll():
    harness = coordinator_harness.CoordinatorHarness()
    for number in range(4):
        join(harness, number)
    harness.links.sent.clear()
    harness.replica.core.term += 1
    harness.advance_clock(coordinator.INSTANCE_NOTICE_INTERVAL_S)
    harness.coordinator._ensure_leadership_begun(harness.now)
    harness.coordinator._notify_of_instances(harness.now)
    assert len(notices(harness)) == 4
