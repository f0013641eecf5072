"""Selection of the dispatcher, which grants places to a region's requests.

A place is a slot at an endpoint that is granted to one request.

Entry instances are preferred, since they keep working when all control instances are
lost. On entry instances with slow links, the dispatcher's answers would queue behind
request bodies; in such a region a control instance dispatches, preferably one that does
not lead, because the leader also serves polls and commits orders.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Mapping

# Time after joining in which an instance collects the state that a dispatcher needs.
# Instances that joined earlier than that are preferred.
WARM_UP_S = 3.0


class CandidateRank(enum.IntEnum):
    """Suitability of an instance as dispatcher by its role; lower is better."""

    ENTRY = 0
    CONTROL = 1
    LEADER = 2
    SLOW_ENTRY = 3
    """Entry instance whose link is saturated by a few request bodies."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Instance that may dispatch for its region."""

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

    A dispatcher is replaced only when it is no longer a candidate or when one of a
    better rank is available, because a new dispatcher has to learn the region's state.
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
    # The instance that joined last is preferred: a rolling restart stops instances in
    # the order in which they joined.
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
