"""Tests of route lookup by host and longest prefix, and of declaration faults."""

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


def create_table(*listed: routes.Route) -> routes.RouteTable:
    return routes.RouteTable(
        routes.Revision(1), listed, [SERVICE], routes.CallerLimits()
    )


def route_with_prefix(prefix: str) -> routes.Route:
    return dataclasses.replace(ROUTE, path_prefix=prefix, route_id=ids.RouteId(prefix))


SEGMENTS = strategies.lists(strategies.sampled_from(["a", "b", "ab"]), max_size=4)


def join_segments(segments: list[str]) -> str:
    return "/" + "".join(f"{segment}/" for segment in segments)


@hypothesis.given(
    strategies.lists(SEGMENTS, max_size=8), SEGMENTS, strategies.text("ab")
)
def test_find_matches_search_through_all_prefixes(prefixes, path_segments, rest):
    listed = sorted({join_segments(segments) for segments in prefixes})
    path = join_segments(path_segments) + rest
    matching = [prefix for prefix in listed if path.startswith(prefix)]
    expected = max(matching, key=len, default=None)
    found = create_table(*map(route_with_prefix, listed)).find("shop", path)
    assert (found and found.path_prefix) == expected


def test_find_ignores_undeclared_hosts():
    assert create_table(ROUTE).find("other", "/a/") is None


def test_faults_of_a_valid_declaration_are_none():
    assert create_table(ROUTE, route_with_prefix("/b/")).faults() == []


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
    faults = create_table(dataclasses.replace(ROUTE, **changes)).faults()
    assert [fault.subject for fault in faults] == ["r"]


def test_faults_name_duplicate_routes():
    assert len(create_table(ROUTE, ROUTE).faults()) == 1
