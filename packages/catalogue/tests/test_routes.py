"""Routes by host and longest path prefix, and what makes a declaration invalid."""

from __future__ import annotations

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from yuccapitch.catalogue import ids, routes

SERVICE = routes.RoutedService(ids.ServiceId("s"), "/health", 9, 0.0, 0.0)
ROUTE = routes.Route(
    ids.RouteId("r"), "shop", "/a/", routes.Repeatability.IDEMPOTENT, 2.0, 0.5, 1,
    (routes.ServiceShare(ids.ServiceId("s"), 1.0),), 2, True, frozenset(),
)  # fmt: skip


def table(*listed: routes.Route) -> routes.RouteTable:
    return routes.RouteTable(
        routes.Revision(1), listed, [SERVICE], routes.CallerLimits()
    )


def with_prefix(prefix: str) -> routes.Route:
    return dataclasses.replace(ROUTE, path_prefix=prefix, route_id=ids.RouteId(prefix))


SEGMENTS = strategies.lists(strategies.sampled_from(["a", "b", "ab"]), max_size=4)


def prefix_of(segments: list[str]) -> str:
    return "/" + "".join(f"{segment}/" for segment in segments)


@hypothesis.given(
    strategies.lists(SEGMENTS, max_size=8), SEGMENTS, strategies.text("ab")
)
def test_find_equals_a_search_through_all_prefixes(prefixes, path_segments, rest):
    listed = sorted({prefix_of(segments) for segments in prefixes})
    path = prefix_of(path_segments) + rest
    matching = [prefix for prefix in listed if path.startswith(prefix)]
    expected = max(matching, key=len, default=None)
    found = table(*map(with_prefix, listed)).find("shop", path)
    assert (found and found.path_prefix) == expected


def test_find_knows_only_declared_hosts():
    assert table(ROUTE).find("other", "/a/") is None


def test_faults_of_a_valid_declaration_are_none():
    assert table(ROUTE, with_prefix("/b/")).faults() == []


@pytest.mark.parametrize(
    "changes",
    [
        {"host": ""},
        {"path_prefix": "a/"},
        {"path_prefix": "/a"},
        {"timeout_s": 0.0},
        {"max_attempts": 0},
        {"shares": ()},
        {"shares": (routes.ServiceShare(ids.ServiceId("none"), 1.0),)},
        {"shares": (routes.ServiceShare(ids.ServiceId("s"), -1.0),)},
    ],
)
def test_faults_name_the_route(changes):
    faults = table(dataclasses.replace(ROUTE, **changes)).faults()
    assert [fault.subject for fault in faults] == ["r"]


def test_faults_name_two_routes_of_one_place():
    assert len(table(ROUTE, ROUTE).faults()) == 1
