"""Which instance grants the places for a region's requests.

An entry instance goes on when control is lost. Where bodies fill the links of entry
instances, answers would wait behind them: there a control instance dispatches, rather
one that does not lead, as the leader has other work.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Mapping

# Time after which an instance that joined knows enough to dispatch.
WARM_UP_S = 3.0


class CandidateRank(enum.IntEnum):
    """What an instance does beside dispatching; the lowest is preferred."""

    ENTRY = 0
    CONTROL = 1
    LEADER = 2
    SLOW_ENTRY = 3
    """An entry instance on a link that a few bodies fill."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may dispatch for its region."""

    instance_id: str
    region_id: str
    rank: CandidateRank
    joined_at: float


def choose(
    candidates: Iterable[Candidate],
    former_by_region: Mapping[str, str],
    now: float,
) -> dict[str, str]:
    """Return the dispatcher of each region that has a candidate.

    A dispatcher is kept while it lives, as a new one has to learn what it knew, unless
    one of a better standing is there.
    """
    groups: dict[str, dict[str, Candidate]] = {}
    for candidate in candidates:
        group = groups.setdefault(candidate.region_id, {})
        group[candidate.instance_id] = candidate
    chosen: dict[str, str] = {}
    for region_id, group in groups.items():
        best = min(group.values(), key=lambda c: _preference(c, now))
        former = group.get(former_by_region.get(region_id, ""))
        if former is not None and not _replaces(best, former, now):
            best = former
        chosen[region_id] = best.instance_id
    return chosen


def _preference(candidate: Candidate, now: float) -> tuple[bool, int, float, str]:
    # Instances that are stopped and started in turn stop in the order of their joining.
    return (
        not _is_warmed_up(candidate, now),
        candidate.rank,
        -candidate.joined_at,
        candidate.instance_id,
    )


def _replaces(best: Candidate, former: Candidate, now: float) -> bool:
    if best.rank >= former.rank:
        return False
    return _is_warmed_up(best, now) or not _is_warmed_up(former, now)


def _is_warmed_up(candidate: Candidate, now: float) -> bool:
    return now - candidate.joined_at >= WARM_UP_S
