"""Tests of the differences between versions of the endpoint list."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies

from yuccapitch.control import endpoint_history
from yuccapitch.protocol import subscription_messages as messages


def record(name: str, **changes: object) -> messages.EndpointRecord:
    base = messages.EndpointRecord(
        name, "orders", "10.0.1.1", 80, "north-a", 4, False, 0, 0, "north"
    )
    return dataclasses.replace(base, **changes)  # type: ignore[arg-type]


@hypothesis.given(
    strategies.lists(
        strategies.dictionaries(
            strategies.sampled_from("abcdef"), strategies.integers(1, 3)
        ),
        min_size=2,
        max_size=10,
    ),
    strategies.data(),
)
def test_changes_since_any_version_lead_to_the_newest(slots_by_name_lists, data):
    history = endpoint_history.EndpointHistory()
    lists = [
        {name: record(name, slots=slots) for name, slots in listed.items()}
        for listed in slots_by_name_lists
    ]
    for version in range(1, len(lists)):
        history.add(version, lists[version - 1], lists[version])
    newest = len(lists) - 1
    known = data.draw(strategies.integers(0, newest - 1))
    changes = history.changes_since(known, newest)
    assert changes is not None
    assert endpoint_history.apply(lists[known], changes) == lists[newest]


def test_changes_since_contains_only_what_changed():
    history = endpoint_history.EndpointHistory()
    former = {name: record(name) for name in "abc"}
    listed = {**former, "a": record("a", is_leaving=True)}
    del listed["c"]
    history.add(1, former, listed)
    assert history.changes_since(0, 1) == messages.EndpointChanges(
        (listed["a"],), ("c",)
    )


def test_changes_since_ignores_the_remaining_warm_up_time():
    history = endpoint_history.EndpointHistory()
    former = {"a": record("a", cold_left_ms=900), "b": record("b")}
    listed = {"a": record("a", cold_left_ms=100), "b": record("b", slots=9)}
    history.add(1, former, listed)
    changes = history.changes_since(0, 1)
    assert changes is not None
    assert [r.endpoint_id for r in changes.changed] == ["b"]


def test_changes_since_is_none_before_the_first_retained_version():
    history = endpoint_history.EndpointHistory()
    for version in range(5, 7 + endpoint_history.MAX_VERSIONS):
        history.add(version, {}, {})
    newest = 6 + endpoint_history.MAX_VERSIONS
    assert history.changes_since(3, newest) is None
    assert history.changes_since(newest - 1, newest) is not None
    assert history.changes_since(newest, newest) is None
