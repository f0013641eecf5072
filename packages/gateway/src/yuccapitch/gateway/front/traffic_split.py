"""Weighted split of a route's requests among its services."""

from __future__ import annotations

from yuccapitch.catalogue import ids, routes


class WeightedRoundRobin:
    """Smooth weighted round robin, as in nginx's upstream module."""

    def __init__(self) -> None:
        self._credits_by_route: dict[
            tuple[ids.RouteId, tuple[routes.ServiceShare, ...]], list[float]
        ] = {}

    def choose(self, route: routes.Route) -> ids.ServiceId:
        """Choose the service of the next request."""
        if len(route.shares) == 1:
            return route.shares[0].service_id
        key = (route.route_id, route.shares)
        credits = self._credits_by_route.setdefault(key, [0.0] * len(route.shares))
        total_weight = 0.0
        for index, share in enumerate(route.shares):
            credits[index] += share.weight
            total_weight += share.weight
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= total_weight
        return route.shares[best].service_id
