"""Tests of the replicated state of operators' orders."""

from __future__ import annotations

import pytest

from yuccapitch.control import orders
from yuccapitch.protocol import codec, subscription_messages as messages

APPLIED, UNCHANGED = orders.OrderOutcome.APPLIED, orders.OrderOutcome.UNCHANGED
SUPERSEDED = orders.OrderOutcome.SUPERSEDED


def declare(revision: int, content: bytes) -> bytes:
    return codec.encode(messages.RouteDeclaration(revision, content))


def evacuate(
    domain: str, is_evacuated: bool = True, based_on: int | None = None
) -> bytes:
    return codec.encode(messages.EvacuationOrder(domain, is_evacuated, based_on))


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


# Guards against a delayed copy of an order that undoes an acknowledged later one.
def test_apply_ignores_an_evacuation_order_after_a_later_one():
    state = orders.OrderState()
    assert state.apply(1, evacuate("a", True, 0)) is APPLIED
    assert state.apply(2, evacuate("a", False, 1)) is APPLIED
    assert state.apply(3, evacuate("a", True, 2)) is APPLIED
    assert state.apply(4, evacuate("a", False, 1)) is SUPERSEDED
    assert state.message().evacuated_domains == ("a",)
    assert state.apply(5, evacuate("b", True, 0)) is APPLIED


# Guards against the same where the later order had nothing to change, but was
# acknowledged.
def test_apply_ignores_an_evacuation_order_after_a_repeated_one():
    state = orders.OrderState()
    state.apply(1, evacuate("a", True, 0))
    assert state.apply(2, evacuate("a", True, 1)) is UNCHANGED
    assert state.apply(3, evacuate("a", False, 1)) is SUPERSEDED


def test_restore_keeps_the_orders_that_supersede():
    state, other = orders.OrderState(), orders.OrderState()
    state.apply(1, evacuate("a", True, 0))
    state.apply(2, evacuate("a", True, 1))
    other.restore(state.snapshot())
    assert other.apply(3, evacuate("a", False, 1)) is SUPERSEDED
    assert other.evacuation_index("a") == 2


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
