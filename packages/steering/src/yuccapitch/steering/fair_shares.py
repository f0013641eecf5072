"""Max-min fair division of a limit by demand, in integer units."""

from __future__ import annotations

import typing
from collections.abc import Mapping

K = typing.TypeVar("K", bound=typing.Any)


def fair_shares(
    limit: int, demand_by_key: Mapping[K, int], rotation: int = 0
) -> dict[K, int]:
    """Return max-min fair shares; the units beyond all demands are spread evenly.

    Units that do not divide evenly go to different keys at each `rotation`.
    """
    keys = sorted(demand_by_key)
    offset = rotation % len(keys) if keys else 0
    keys = keys[offset:] + keys[:offset]
    shares_by_key: dict[K, int] = {}
    remaining = limit
    # The sort is stable: keys with equal demands stay in rotated order.
    for index, key in enumerate(sorted(keys, key=demand_by_key.__getitem__)):
        level = remaining // (len(keys) - index)
        shares_by_key[key] = min(demand_by_key[key], level)
        remaining -= shares_by_key[key]
    for index, key in enumerate(keys):
        extra = remaining // (len(keys) - index)
        shares_by_key[key] += extra
        remaining -= extra
    return shares_by_key
