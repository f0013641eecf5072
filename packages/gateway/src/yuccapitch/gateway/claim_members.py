"""Merges the catalogue's holder lists of each region into lists of all members."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

from yuccapitch.catalogue import claim_holders
from yuccapitch.steering import claim_placement

MS_PER_S = 1000


def merge_holder_lists(
    holder_lists: Sequence[claim_holders.HolderList],
) -> tuple[claim_placement.MemberList, ...]:
    """Return the members for each time span in which no region's list changes."""
    times_ms = {holder_list.since_ms for holder_list in holder_lists}
    times_ms |= {
        holder_list.replaced_ms
        for holder_list in holder_lists
        if holder_list.replaced_ms is not None
    }
    starts_ms = sorted(times_ms)
    ends_ms = [*starts_ms[1:], None]
    spans = [
        claim_placement.MemberList(
            _members_at(holder_lists, start_ms),
            None if end_ms is None else end_ms / MS_PER_S,
        )
        for start_ms, end_ms in zip(starts_ms, ends_ms, strict=True)
    ]
    return tuple(_merge_equal_spans(spans))


def _members_at(
    holder_lists: Sequence[claim_holders.HolderList], time_ms: int
) -> tuple[claim_placement.Member, ...]:
    return tuple(
        claim_placement.Member(
            holder.instance_id, holder_list.region, holder.failure_domain
        )
        for holder_list in holder_lists
        if holder_list.since_ms <= time_ms
        and (holder_list.replaced_ms is None or time_ms < holder_list.replaced_ms)
        for holder in holder_list.holders
    )


def _merge_equal_spans(
    spans: Sequence[claim_placement.MemberList],
) -> list[claim_placement.MemberList]:
    # Adjacent spans have equal members if a list changed only a host or port. The last
    # of them is kept, since it ends latest.
    return [
        span
        for span, later in itertools.zip_longest(spans, spans[1:])
        if later is None or later.members != span.members
    ]
