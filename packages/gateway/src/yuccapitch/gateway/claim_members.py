"""Turns the catalogue's lists by region into lists of all members over time."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

from yuccapitch.catalogue import claim_holders
from yuccapitch.steering import claim_placement

MS_PER_S = 1000


def member_lists(
    lists_by_region: Sequence[claim_holders.HolderList],
) -> tuple[claim_placement.MemberList, ...]:
    """Return the members of every span of time in which no region's list changes."""
    times_ms = {item.since_ms for item in lists_by_region}
    times_ms |= {
        item.replaced_ms for item in lists_by_region if item.replaced_ms is not None
    }
    starts_ms = sorted(times_ms)
    ends_ms = [*starts_ms[1:], None]
    spans = [
        claim_placement.MemberList(
            _members_at(lists_by_region, start_ms),
            None if end_ms is None else end_ms / MS_PER_S,
        )
        for start_ms, end_ms in zip(starts_ms, ends_ms, strict=True)
    ]
    return tuple(_without_repeats(spans))


def _members_at(
    lists_by_region: Sequence[claim_holders.HolderList], time_ms: int
) -> tuple[claim_placement.Member, ...]:
    return tuple(
        claim_placement.Member(holder.instance_id, item.region, holder.failure_domain)
        for item in lists_by_region
        if item.since_ms <= time_ms
        and (item.replaced_ms is None or time_ms < item.replaced_ms)
        for holder in item.holders
    )


def _without_repeats(
    spans: Sequence[claim_placement.MemberList],
) -> list[claim_placement.MemberList]:
    # A change of host or port only is no change of members.
    return [
        span
        for span, later in itertools.zip_longest(spans, spans[1:])
        if later is None or later.members != span.members
    ]
