"""Tests of the entry instances listed to a caller."""

from __future__ import annotations

from yuccapitch.protocol import subscription_messages as messages
from yuccapitch.steering import entry_locality


def entry(name: str, region: str, domain: str, is_ready: bool = True):
    return messages.EntryInstance(name, region, domain, "10.0.0.1", 80, is_ready, False)


FLEET = [
    entry("a1", "north", "north-a"),
    entry("a2", "north", "north-a"),
    entry("b1", "north", "north-b"),
    entry("c1", "south", "south-a"),
]


def selected_ids(region: str, domain: str, fleet=FLEET) -> list[str]:
    found = entry_locality.select_entries(fleet, region, domain)
    return [instance.instance_id for instance in found]


def test_select_entries_prefers_the_callers_failure_domain():
    assert selected_ids("north", "north-a") == ["a1", "a2"]


def test_select_entries_uses_the_region_if_the_domain_has_only_one():
    assert selected_ids("north", "north-b") == ["a1", "a2", "b1"]


def test_select_entries_stays_in_the_region():
    assert selected_ids("south", "south-a") == ["c1"]


def test_select_entries_leaves_the_region_only_if_it_has_none():
    assert selected_ids("west", "west-a") == ["a1", "a2", "b1", "c1"]


def test_select_entries_skips_instances_that_are_not_ready():
    fleet = [entry("a0", "north", "north-a", is_ready=False), *FLEET]
    assert selected_ids("north", "north-a", fleet) == ["a1", "a2"]
