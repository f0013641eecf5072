"""State machine: a leaving notice is undone only by a newer one of its source."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful, strategies

from yuccapitch.catalogue import ids
from yuccapitch.steering import leaving

B1 = ids.EndpointId("b1")


class LeavingMachine(stateful.RuleBasedStateMachine):
    """Notices are sent in order and arrive in any order, some twice."""

    def __init__(self) -> None:
        super().__init__()
        self.tracker = leaving.LeavingTracker()
        self.now = 0
        self.sequence = 0
        self.incarnation = 0
        self.sent: list = []
        self.received: list = []

    @stateful.rule(restart=strategies.booleans(), says_leaving=strategies.booleans())
    def send_endpoint_notice(self, restart: bool, says_leaving: bool) -> None:
        """Send the endpoint's own notice, from a new process after a restart."""
        self.now += 2
        self.sequence += 1
        if restart:
            self.incarnation = self.now * 1000
            self.sequence = 0
        self.sent.append(
            leaving.EndpointNotice(B1, self.incarnation, self.sequence, says_leaving)
        )

    @stateful.rule(says_leaving=strategies.booleans())
    def publish_platform_list(self, says_leaving: bool) -> None:
        """Publish an instance list."""
        self.now += 2
        self.sent.append(leaving.PlatformNotice(B1, float(self.now), says_leaving))

    @stateful.rule(says_leaving=strategies.booleans())
    def accept_catalogue_version(self, says_leaving: bool) -> None:
        """Accept a catalogue version."""
        self.now += 2
        self.sent.append(
            leaving.OperatorNotice(B1, ids.Version(self.now), says_leaving)
        )

    @stateful.rule(index=strategies.integers(0, 200))
    def deliver(self, index: int) -> None:
        """Deliver any notice that was sent."""
        if not self.sent:
            return
        notice = self.sent[index % len(self.sent)]
        self.received.append(notice)
        self._record(notice)

    def _record(self, notice: object) -> None:
        match notice:
            case leaving.EndpointNotice():
                self.tracker.record_endpoint_notice(notice)
            case leaving.PlatformNotice():
                self.tracker.record_platform_notice(notice)
            case leaving.OperatorNotice():
                self.tracker.record_operator_notice(notice)

    @stateful.invariant()
    def matches_newest_received(self) -> None:
        """Compare with the newest notice received from each source, in any order."""
        order = {notice: position for position, notice in enumerate(self.sent)}
        newest: dict[type, object] = {}
        for notice in self.received:
            known = newest.get(type(notice))
            if known is None or order[notice] > order[known]:
                newest[type(notice)] = notice
        expected = [s for s in newest.values() if s.leaving]
        own = newest.get(leaving.EndpointNotice)
        platform = newest.get(leaving.PlatformNotice)
        if own is not None and platform in expected:
            if own.incarnation / 1000.0 > platform.published_at + leaving.CLOCK_SKEW_S:
                expected.remove(platform)
        assert self.tracker.is_leaving(B1) == bool(expected)


class _LastArrivalTracker(leaving.LeavingTracker):
    """Broken variant: the notice that arrives last is used."""

    def __init__(self) -> None:
        super().__init__()
        self.last = False

    def record_endpoint_notice(self, notice: leaving.EndpointNotice) -> bool:
        self.last = notice.leaving
        return False

    def is_leaving(self, endpoint_id: ids.EndpointId) -> bool:
        return self.last


TestLeavingMachine = LeavingMachine.TestCase
TestLeavingMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


def _is_leaving_after_late_older_notice(tracker: leaving.LeavingTracker) -> bool:
    tracker.record_endpoint_notice(leaving.EndpointNotice(B1, 1, 2, True))
    tracker.record_endpoint_notice(leaving.EndpointNotice(B1, 1, 1, False))
    return tracker.is_leaving(B1)


def test_leaving_late_older_notice_is_ignored() -> None:
    assert _is_leaving_after_late_older_notice(leaving.LeavingTracker())
    assert not _is_leaving_after_late_older_notice(_LastArrivalTracker())


def test_leaving_platform_list_does_not_override_endpoint() -> None:
    tracker = leaving.LeavingTracker()
    tracker.record_endpoint_notice(leaving.EndpointNotice(B1, 1, 1, True))
    tracker.record_platform_notice(leaving.PlatformNotice(B1, 1e9, False))
    assert tracker.leaving_sources(B1) == {leaving.NoticeSource.ENDPOINT}


def test_leaving_new_incarnation_gets_requests_again() -> None:
    tracker = leaving.LeavingTracker()
    tracker.record_endpoint_notice(leaving.EndpointNotice(B1, 1_000, 5, True))
    tracker.record_platform_notice(leaving.PlatformNotice(B1, 10.0, True))
    assert tracker.record_endpoint_notice(leaving.EndpointNotice(B1, 20_000, 0, False))
    assert not tracker.is_leaving(B1)
