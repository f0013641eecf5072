"""Apportionment of an endpoint's limits among instances that place by themselves.

A limit of all instances, divided by their number, may be less than one request each.
Rounding each part up would exceed the limit by as much as the number of instances.
Instead, rendezvous hashing (Thaler and Ravishankar, 1998) ranks the instances for each
endpoint, and the first ranked ones get the requests. It needs no messages, spreads the
endpoints over the instances, and moves few of them when an instance joins or leaves.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import hashing

# Fraction of a rate that all instances use together that place by themselves. The
# region's dispatcher may go on with the whole rate for others that still reach it, and
# platforms tolerate one and a half times the rate.
SELF_PLACED_RATE_FRACTION = 0.45
# Least rate for which a further instance uses an endpoint. Each one may send its first
# request at any moment, which adds up to a burst.
MIN_RATE_PER_INSTANCE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Part of the limits of one endpoint that one instance or region uses."""

    rank: int = 0
    """Position among those that use the endpoint, from 0."""
    instance_count: int = 1
    rate_fraction: float = 1.0
    """Fraction of a rate that all of them use together."""

    def of_count(self, limit: int) -> int:
        """Return how many of ``limit`` requests this instance may have in flight.

        It is one at least, though all instances together may then exceed the limit:
        with none at most endpoints, instances refuse what endpoints queue and serve.
        """
        return max(1, limit // self.instance_count)

    def of_rate(self, rate_per_s: float) -> float:
        """Return the fraction of a rate that this instance uses; it may be 0."""
        shared_per_s = self.rate_fraction * rate_per_s
        user_count = max(1, int(shared_per_s / MIN_RATE_PER_INSTANCE_S))
        user_count = min(user_count, self.instance_count)
        return self.rate_fraction / user_count if self.rank < user_count else 0.0

    @property
    def is_first(self) -> bool:
        """Whether this instance is the first to use an endpoint of limited use."""
        return self.rank == 0


WHOLE = Share()


def find_whole(endpoint_id: ids.EndpointId) -> Share:
    """Return the share of an instance that places for all others."""
    return WHOLE


class Apportionment:
    """Shares of one instance of the limits of all endpoints."""

    def __init__(
        self, instance_id: ids.InstanceId, peer_ids: Iterable[ids.InstanceId]
    ) -> None:
        """Share with ``peer_ids``, which may include this instance."""
        self._instance_id = instance_id
        self._instance_ids = frozenset((*peer_ids, instance_id))

    def __eq__(self, other: object) -> bool:
        """Return whether another apportionment gives the same shares."""
        return (
            isinstance(other, Apportionment)
            and self._instance_id == other._instance_id
            and self._instance_ids == other._instance_ids
        )

    @property
    def instance_count(self) -> int:
        """Number of instances that share, including this one."""
        return len(self._instance_ids)

    def share(self, endpoint_id: ids.EndpointId) -> Share:
        """Return the share of an endpoint's limits."""
        return Share(
            rank(endpoint_id, self._instance_id, self._instance_ids),
            self.instance_count,
            SELF_PLACED_RATE_FRACTION,
        )


def rank(endpoint_id: ids.EndpointId, own_id: str, all_ids: Iterable[str]) -> int:
    """Return the position of ``own_id`` among the users of an endpoint, from 0."""
    own_order = _order(endpoint_id, own_id)
    return sum(_order(endpoint_id, user_id) < own_order for user_id in all_ids)


def _order(endpoint_id: ids.EndpointId, user_id: str) -> tuple[int, str]:
    # Users with equal hashes are ordered by their ids.
    return hashing.hash32(f"{endpoint_id}/{user_id}"), user_id
