from __future__ import annotations

import datetime
from typing import Any

import pytest

from tests import catalogue_sample
from yuccapitch.catalogue import authorization, ids, loading, model

AMBER, BIRCH = ids.OwnerId("amber"), ids.OwnerId("birch")


def fault_paths(data: dict[str, Any], owner: ids.OwnerId) -> list[str]:
    """Return the paths that the owner may not change in December, birch's month."""
    before = catalogue_sample.declaration()
    after = loading.load_object(data).unwrap()
    time_ms = catalogue_sample.DECEMBER_MS
    faults = authorization.check_permissions(before, after, owner, time_ms)
    return [fault.path for fault in faults]


@pytest.mark.parametrize(
    ("year", "month", "owner"),
    [(2026, 1, "amber"), (2026, 11, "amber"), (2026, 12, "birch"), (2027, 1, "amber")],
)
def test_owner_in_turn_follows_months(year: int, month: int, owner: str) -> None:
    turns = model.Turns(first_month="2026-11", order=(AMBER, BIRCH))
    moment = datetime.datetime(year, month, 1, tzinfo=datetime.UTC)
    assert authorization.owner_in_turn(turns, int(moment.timestamp() * 1000)) == owner


@pytest.mark.parametrize(
    ("section", "entry", "path"),
    [
        ("owners", {"carrot": {}}, "owners.carrot"),
        ("regions", {"west": {"capacity": 1}}, "regions.west"),
        ("client_blocks", {"12.0.0.0/8": "north"}, "client_blocks.12.0.0.0/8"),
        ("drains", {"d": {"kind": "instance", "target": "e1"}}, "drains.d"),
    ],
)
def test_check_shared_entry_needs_owner_in_turn(
    section: str, entry: dict[str, Any], path: str
) -> None:
    data = catalogue_sample.plain()
    data[section] = {**data.get(section, {}), **entry}
    assert fault_paths(data, AMBER) == [path]
    assert fault_paths(data, BIRCH) == []


def test_check_turns_are_shared() -> None:
    data = catalogue_sample.plain()
    data["turns"]["order"] = ["amber"]
    assert fault_paths(data, AMBER) == ["turns"]


def test_check_drain_belongs_to_endpoints_owner() -> None:
    data = catalogue_sample.plain()
    data["drains"] = {"d": {"kind": "endpoint", "target": "bins-1"}}
    assert fault_paths(data, AMBER) == []
    assert fault_paths(data, BIRCH) == ["drains.d"]


def test_check_owner_change_needs_both_owners() -> None:
    data = catalogue_sample.plain()
    data["services"]["bins"]["owner"] = "birch"
    assert fault_paths(data, AMBER) == ["services.bins"]
    assert fault_paths(data, BIRCH) == ["services.bins"]


def test_check_route_overlapping_other_owner_needs_turn() -> None:
    before = catalogue_sample.declaration()
    data = catalogue_sample.plain()
    lookup = data["routes"]["lookup"]
    data["routes"]["mine"] = {**lookup, "owner": "birch", "path_prefix": "/lots"}
    after = loading.load_object(data).unwrap()
    november_ms = catalogue_sample.DECEMBER_MS - 1
    faults = authorization.check_permissions(before, after, BIRCH, november_ms)
    assert [fault.path for fault in faults] == ["routes.mine"]
    assert fault_paths(data, BIRCH) == []
