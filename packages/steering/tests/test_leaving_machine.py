"""State machine: a leaving sign is undone only by a newer sign of its source."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful, strategies

from yuccapitch.catalogue import ids
from yuccapitch.steering import leaving

B1 = ids.EndpointId("b1")


class LeavingMachine(stateful.RuleBasedStateMachine):
    """Signs are sent in order and arrive in any order, some twice."""

    def __init__(self) -> None:
        super().__init__()
        self.signs = leaving.LeavingTracker()
        self.now = 0
        self.sequence = 0
        self.incarnation = 0
        self.sent: list = []
        self.heard: list = []

    @stateful.rule(restart=strategies.booleans(), gone=strategies.booleans())
    def endpoint_speaks(self, restart: bool, gone: bool) -> None:
        """Send the endpoint's own sign, of a new process after a restart."""
        self.now += 2
        self.sequence += 1
        if restart:
            self.incarnation = self.now * 1000
            self.sequence = 0
        self.sent.append(
            leaving.EndpointNotice(B1, self.incarnation, self.sequence, gone)
        )

    @stateful.rule(gone=strategies.booleans())
    def platform_publishes(self, gone: bool) -> None:
        """Publish a list."""
        self.now += 2
        self.sent.append(leaving.PlatformNotice(B1, float(self.now), gone))

    @stateful.rule(gone=strategies.booleans())
    def operator_decides(self, gone: bool) -> None:
        """Accept a version of the catalogue."""
        self.now += 2
        self.sent.append(leaving.OperatorNotice(B1, ids.Version(self.now), gone))

    @stateful.rule(index=strategies.integers(0, 200))
    def deliver(self, index: int) -> None:
        """Deliver any sign that was sent."""
        if not self.sent:
            return
        sign = self.sent[index % len(self.sent)]
        self.heard.append(sign)
        self._hear(sign)

    def _hear(self, sign: object) -> None:
        match sign:
            case leaving.EndpointNotice():
                self.signs.record_endpoint_notice(sign)
            case leaving.PlatformNotice():
                self.signs.record_platform_notice(sign)
            case leaving.OperatorNotice():
                self.signs.record_operator_notice(sign)

    @stateful.invariant()
    def matches_newest_heard(self) -> None:
        """Compare with the newest heard sign of each source, however ordered."""
        order = {sign: place for place, sign in enumerate(self.sent)}
        newest: dict[type, object] = {}
        for sign in self.heard:
            known = newest.get(type(sign))
            if known is None or order[sign] > order[known]:
                newest[type(sign)] = sign
        expected = [s for s in newest.values() if s.leaving]
        own = newest.get(leaving.EndpointNotice)
        platform = newest.get(leaving.PlatformNotice)
        if own is not None and platform in expected:
            if own.incarnation / 1000.0 > platform.published_at + leaving.CLOCK_SKEW_S:
                expected.remove(platform)
        assert self.signs.is_leaving(B1) == bool(expected)


class _LastWins(leaving.LeavingTracker):
    """Broken variant: whatever arrives last counts."""

    def __init__(self) -> None:
        super().__init__()
        self.last = False

    def record_endpoint_notice(self, sign: leaving.EndpointNotice) -> bool:
        self.last = sign.leaving
        return False

    def is_leaving(self, endpoint_id: ids.EndpointId) -> bool:
        return self.last


TestLeavingMachine = LeavingMachine.TestCase
TestLeavingMachine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


def _leaving_after_late_sign_of_life(signs: leaving.LeavingTracker) -> bool:
    signs.record_endpoint_notice(leaving.EndpointNotice(B1, 1, 2, True))
    signs.record_endpoint_notice(leaving.EndpointNotice(B1, 1, 1, False))
    return signs.is_leaving(B1)


def test_leaving_late_sign_of_life_undoes_nothing() -> None:
    assert _leaving_after_late_sign_of_life(leaving.LeavingTracker())
    assert not _leaving_after_late_sign_of_life(_LastWins())


def test_leaving_platform_list_cannot_undo_endpoint() -> None:
    signs = leaving.LeavingTracker()
    signs.record_endpoint_notice(leaving.EndpointNotice(B1, 1, 1, True))
    signs.record_platform_notice(leaving.PlatformNotice(B1, 1e9, False))
    assert signs.leaving_sources(B1) == {leaving.NoticeSource.ENDPOINT}


def test_leaving_new_incarnation_comes_back() -> None:
    signs = leaving.LeavingTracker()
    signs.record_endpoint_notice(leaving.EndpointNotice(B1, 1_000, 5, True))
    signs.record_platform_notice(leaving.PlatformNotice(B1, 10.0, True))
    assert signs.record_endpoint_notice(leaving.EndpointNotice(B1, 20_000, 0, False))
    assert not signs.is_leaving(B1)
