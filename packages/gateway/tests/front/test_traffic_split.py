"""Sharing of a route's requests among services."""

from __future__ import annotations

import collections

from yuccapitch.catalogue import ids, routes
from yuccapitch.gateway.front import traffic_split


def route(**weights: float) -> routes.Route:
    shares = tuple(
        routes.ServiceShare(ids.ServiceId(name), weight)
        for name, weight in weights.items()
    )
    return routes.Route(
        ids.RouteId("r"), "shop", "/a/", routes.Repeatability.IDEMPOTENT, 2.0, 0.5, 1,
        shares, 2, True, frozenset(),
    )  # fmt: skip


def chosen(splitter: traffic_split.WeightedRoundRobin, given: routes.Route, count: int):
    return collections.Counter(splitter.choose(given) for _ in range(count))


def test_choose_keeps_the_weights_in_every_stretch():
    splitter, given = traffic_split.WeightedRoundRobin(), route(a=90, b=10)
    for _ in range(20):
        assert chosen(splitter, given, 10) == {"a": 9, "b": 1}


def test_choose_sends_nothing_to_a_weight_of_zero():
    assert chosen(traffic_split.WeightedRoundRobin(), route(a=1, b=0), 50) == {"a": 50}


def test_choose_takes_up_changed_weights():
    splitter = traffic_split.WeightedRoundRobin()
    chosen(splitter, route(a=90, b=10), 7)
    assert chosen(splitter, route(a=50, b=50), 10) == {"a": 5, "b": 5}
