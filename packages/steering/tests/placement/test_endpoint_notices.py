"""Endpoints that announce their leaving or ask one instance for a pause."""

from __future__ import annotations

import dataclasses

import builders
import hypothesis
import pytest
from hypothesis import stateful, strategies

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import endpoint_notices, model

E1 = builders.endpoint("e1")
SERVICE = E1.service_id
NAMES = ("e1", "e2", "e3")


def test_record_leaving_is_news_once():
    notices = endpoint_notices.EndpointNotices()
    assert notices.record_leaving(E1)
    assert not notices.record_leaving(E1)
    assert not notices.may_send(E1, 1e6)


# Guards against an endpoint that is used again because the platform's list lags.
def test_update_keeps_a_leaving_endpoint_out_while_the_list_names_it_ready():
    notices = endpoint_notices.EndpointNotices()
    notices.record_leaving(E1)
    notices.update([E1])
    notices.update([])
    notices.update([E1])
    assert notices.is_leaving(E1)


def test_update_takes_a_restarted_endpoint_back():
    notices = endpoint_notices.EndpointNotices()
    notices.record_leaving(E1)
    notices.record_pause(E1, 9.0, 0.0)
    restarted = dataclasses.replace(E1, incarnation=E1.incarnation + 1)
    notices.update([restarted])
    assert notices.may_send(restarted, 0.0)


# Guards against a late response of the process before, which would close a new one.
def test_record_leaving_of_an_earlier_incarnation_spares_a_later_one():
    notices = endpoint_notices.EndpointNotices()
    restarted = dataclasses.replace(E1, incarnation=E1.incarnation + 1)
    notices.update([restarted])
    notices.record_leaving(E1)
    assert not notices.is_leaving(restarted)


def test_record_pause_ends_by_time():
    notices = endpoint_notices.EndpointNotices()
    assert notices.record_pause(E1, 2.0, 10.0)
    assert not notices.may_send(E1, 11.9)
    assert notices.paused_ids(SERVICE, 11.9) == {E1.endpoint_id}
    assert notices.paused_ids(ids.ServiceId("other"), 11.9) == frozenset()
    assert notices.first_pause_ends_in_s(SERVICE, 11.5) == 0.5
    assert notices.may_send(E1, 12.0)
    assert notices.first_pause_ends_in_s(SERVICE, 12.0) is None


def test_record_pause_never_shortens_an_earlier_one():
    notices = endpoint_notices.EndpointNotices()
    notices.record_pause(E1, 5.0, 0.0)
    assert not notices.record_pause(E1, 1.0, 1.0)
    assert not notices.may_send(E1, 4.9)


def test_record_pause_is_bounded():
    notices = endpoint_notices.EndpointNotices()
    notices.record_pause(E1, 1e9, 0.0)
    assert notices.may_send(E1, endpoint_notices.MAX_PAUSE_S)


def test_place_grants_nothing_at_an_endpoint_that_announced_its_leaving():
    dispatcher = builders.make_dispatcher(E1, builders.endpoint("e2"))
    dispatcher.record_leaving(E1.endpoint_id)
    granted = [dispatcher.place(builders.request(n), 0.0) for n in range(4)]
    assert {g.endpoint.endpoint_id for g in granted if g} == {"e2"}


def test_release_of_a_leaving_endpoint_places_its_queue_elsewhere():
    e2 = builders.endpoint("e2", slots=1)
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=1), e2)
    held = [dispatcher.place(builders.request(n), 0.0) for n in range(2)]
    assert dispatcher.place(builders.request(2), 0.0) is None
    on_e1 = next(g for g in held if g.endpoint.endpoint_id == "e1")
    on_e2 = next(g for g in held if g.endpoint.endpoint_id == "e2")
    outcome = model.Outcome.ANSWERED
    decided = dispatcher.release(
        on_e1.attempt_id, outcome, None, None, 0.1, is_leaving=True
    )
    assert not decided and not dispatcher.tick(0.1)
    decided = dispatcher.release(on_e2.attempt_id, outcome, None, None, 0.2)
    assert [d.endpoint.endpoint_id for d in decided] == ["e2"]


# Guards against requests that wait until their deadline for endpoints that have left.
def test_tick_refuses_queued_requests_whose_last_endpoint_is_leaving():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=1))
    dispatcher.place(builders.request(1), 0.0)
    assert dispatcher.place(builders.request(2), 0.0) is None
    dispatcher.record_leaving(E1.endpoint_id)
    (refused,) = dispatcher.tick(0.1)
    assert refused.reason is model.RefusalReason.NO_ENDPOINT


class Notices(stateful.RuleBasedStateMachine):
    """Compares the notices with a plain model over announcements, lists and time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.notices = endpoint_notices.EndpointNotices()
        self.listed = {name: builders.endpoint(name) for name in NAMES}
        self.leaving: set[model.Endpoint] = set()
        self.paused_until: dict[model.Endpoint, float] = {}
        self.notices.update(self.listed.values())

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def announce_leaving(self, name):
        self.notices.record_leaving(self.listed[name])
        self.leaving.add(self.listed[name])

    @stateful.rule(name=strategies.sampled_from(NAMES), pause_s=strategies.floats(0, 9))
    def ask_for_pause(self, name, pause_s):
        endpoint = self.listed[name]
        self.notices.record_pause(endpoint, pause_s, self.now)
        ends_at = max(self.paused_until.get(endpoint, 0.0), self.now + pause_s)
        self.paused_until[endpoint] = ends_at

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def restart(self, name):
        former = self.listed[name]
        self.listed[name] = dataclasses.replace(
            former, incarnation=former.incarnation + 1
        )
        self.notices.update(self.listed.values())

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def leave_out_of_one_list(self, name):
        self.notices.update(e for e in self.listed.values() if e.endpoint_id != name)

    @stateful.rule(duration_s=strategies.floats(0, 5))
    def wait(self, duration_s):
        self.now += duration_s

    @stateful.invariant()
    def agrees_with_the_model(self):
        for endpoint in self.listed.values():
            is_paused = self.now < self.paused_until.get(endpoint, 0.0)
            expected = endpoint not in self.leaving and not is_paused
            assert self.notices.may_send(endpoint, self.now) is expected
            paused_ids = self.notices.paused_ids(SERVICE, self.now)
            assert (endpoint.endpoint_id in paused_ids) is is_paused


TestNotices = Notices.TestCase
TestNotices.settings = hypothesis.settings(max_examples=50, deadline=None)


@pytest.mark.parametrize("instance_count", [1, 4])
def test_leaving_endpoints_count_as_no_slots(instance_count):
    dispatchers = [
        builders.make_dispatcher(E1, builders.endpoint("e2"))
        for _ in range(instance_count)
    ]
    dispatcher = builders.share_endpoints(dispatchers)[0]
    before, _ = dispatcher.table.local_and_remote_slots(SERVICE, 0.0)
    dispatcher.record_leaving(E1.endpoint_id)
    after, _ = dispatcher.table.local_and_remote_slots(SERVICE, 0.0)
    assert after == before / 2
