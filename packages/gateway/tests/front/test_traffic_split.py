"""Tests of the weighted split of a route's requests among services."""

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


def choose_many(
    round_robin: traffic_split.WeightedRoundRobin,
    weighted_route: routes.Route,
    count: int,
):
    return collections.Counter(round_robin.choose(weighted_route) for _ in range(count))


def test_choose_keeps_the_weights_in_every_cycle():
    round_robin, weighted_route = traffic_split.WeightedRoundRobin(), route(a=90, b=10)
    for _ in range(20):
        assert choose_many(round_robin, weighted_route, 10) == {"a": 9, "b": 1}


def test_choose_skips_a_service_with_weight_zero():
    assert choose_many(traffic_split.WeightedRoundRobin(), route(a=1, b=0), 50) == {
        "a": 50
    }


def test_choose_applies_changed_weights():
    round_robin = traffic_split.WeightedRoundRobin()
    choose_many(round_robin, route(a=90, b=10), 7)
    assert choose_many(round_robin, route(a=50, b=50), 10) == {"a": 5, "b": 5}
