"""Tests of the replicated state of operators' orders."""

from __future__ import annotations

import pytest

from yuccapitch.control import orders
from yuccapitch.protocol import codec, subscription_messages as messages

APPLIED, UNCHANGED = orders.OrderOutcome.APPLIED, orders.OrderOutcome.UNCHANGED


def declare(revision: int, content: bytes) -> bytes:
    return codec.encode(messages.RouteDeclaration(revision, content))


def evacuate(domain: str, is_evacuated: bool = True) -> bytes:
    return codec.encode(messages.EvacuationOrder(domain, is_evacuated))


def test_apply_keeps_the_highest_revision():
    state = orders.OrderState()
    outcomes = [
        state.apply(index, declare(revision, b"%d" % revision))
        for index, revision in enumerate((3, 9, 5), start=1)
    ]
    assert outcomes == [APPLIED, APPLIED, UNCHANGED]
    assert (state.revision, state.message().content) == (9, b"9")


def test_apply_keeps_the_first_content_of_a_revision():
    state = orders.OrderState()
    state.apply(1, declare(3, b"first"))
    assert state.apply(2, declare(3, b"other")) is UNCHANGED
    assert state.message().content == b"first"


def test_apply_starts_and_ends_an_evacuation():
    state = orders.OrderState()
    assert state.apply(1, evacuate("a")) is APPLIED
    assert state.apply(2, evacuate("a")) is UNCHANGED
    assert state.message().evacuated_domains == ("a",)
    assert state.apply(3, evacuate("a", False)) is APPLIED
    assert state.message().evacuated_domains == ()


def test_index_rises_only_with_changes():
    state = orders.OrderState()
    state.apply(4, declare(3, b"first"))
    state.apply(5, declare(2, b"older"))
    assert state.index == 4


def test_restore_replaces_the_state_by_a_snapshot():
    state, other = orders.OrderState(), orders.OrderState()
    state.apply(4, declare(3, b"first"))
    state.apply(5, evacuate("a"))
    other.restore(state.snapshot())
    assert other.message() == state.message()
    assert other.index == 5


def test_apply_rejects_bytes_that_are_not_an_order():
    with pytest.raises(AssertionError):
        orders.OrderState().apply(1, b"rubbish")
