"""Max-min fair division of a limit by demand, in whole units."""

from __future__ import annotations

import typing
from collections.abc import Mapping

K = typing.TypeVar("K", bound=typing.Any)


def fair_shares(limit: int, demand_by_key: Mapping[K, int]) -> dict[K, int]:
    """Meets the smallest demands first and spreads what is left over evenly."""
    shares_by_key: dict[K, int] = {}
    remaining = limit
    ordered = sorted(demand_by_key.items(), key=lambda item: (item[1], item[0]))
    for index, (key, demand) in enumerate(ordered):
        level = remaining // (len(ordered) - index)
        shares_by_key[key] = min(demand, level)
        remaining -= shares_by_key[key]
    return _spread(remaining, shares_by_key)


def _spread(spare: int, shares_by_key: Mapping[K, int]) -> dict[K, int]:
    spread_by_key: dict[K, int] = {}
    for index, key in enumerate(sorted(shares_by_key)):
        extra = spare // (len(shares_by_key) - index)
        spread_by_key[key] = shares_by_key[key] + extra
        spare -= extra
    return spread_by_key
