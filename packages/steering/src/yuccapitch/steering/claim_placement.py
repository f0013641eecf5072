"""Which instances hold the claims of a key."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping, Sequence

import xxhash

from yuccapitch.catalogue import ids
from yuccapitch.steering import claim_keys, ledger

HOLDERS_PER_KEY = 3
MIN_HOME_REGION_HOLDERS = 2
MEMBER_LIST_OVERLAP_S = (
    ledger.LEASE_DURATION_S * ledger.CLOCK_DRIFT_FACTOR + 2 * claim_keys.CLOCK_SKEW_S
)
"""Time for which a superseded list still decides about new keys."""


@dataclasses.dataclass(frozen=True)
class Member:
    """An entry instance that can hold claims."""

    instance_id: ids.InstanceId
    region_id: ids.RegionId
    failure_domain_id: ids.FailureDomainId


@dataclasses.dataclass(frozen=True)
class MemberList:
    """The accepted entry instances over a span of time."""

    members: tuple[Member, ...]
    superseded_at: float | None
    """When the next list was accepted, by the leader's clock."""


def holder_lists(
    key: claim_keys.Key, lists: Sequence[MemberList]
) -> tuple[tuple[ids.InstanceId, ...], ...]:
    """Chooses the key's holders in each list that may decide about it."""
    chosen = [
        choose_holders(key, members.members)
        for members in lists
        if members.superseded_at is None
        or key.time_s <= members.superseded_at + MEMBER_LIST_OVERLAP_S
    ]
    return tuple(dict.fromkeys(chosen))


def prune_member_lists(
    lists: Sequence[MemberList], now: float
) -> tuple[MemberList, ...]:
    """Drops lists that decide about no key that is still accepted."""
    kept_s = claim_keys.KEY_LIFETIME_S + MEMBER_LIST_OVERLAP_S + claim_keys.CLOCK_SKEW_S
    return tuple(
        members
        for members in lists
        if members.superseded_at is None or now <= members.superseded_at + kept_s
    )


def choose_holders(
    key: claim_keys.Key, members: Sequence[Member]
) -> tuple[ids.InstanceId, ...]:
    """Ranks by rendezvous hash and spreads the choice over failure domains.

    A home region with two failure domains keeps the last holder in another
    region, so that either domain may fail.
    """
    ranked = sorted(
        members, key=lambda member: _rendezvous_hash(key, member), reverse=True
    )
    home = [member for member in ranked if member.region_id == key.region_id]
    away = [member for member in ranked if member.region_id != key.region_id]
    domains = {member.failure_domain_id for member in home}
    chosen = _spread_over_domains(
        home, HOLDERS_PER_KEY - 1 if len(domains) == 2 and away else HOLDERS_PER_KEY
    )
    if home:
        chosen += _spread_over_domains(away, HOLDERS_PER_KEY - len(chosen))
    return tuple(member.instance_id for member in chosen)


def choose_home_region(
    region_id: ids.RegionId,
    live_holders_by_region: Mapping[ids.RegionId, int],
    delay_ms_by_region: Mapping[ids.RegionId, float],
) -> ids.RegionId:
    """Region that new keys of a client should name as their home."""
    if live_holders_by_region.get(region_id, 0) >= MIN_HOME_REGION_HOLDERS:
        return region_id
    candidates = [
        (delay_ms_by_region.get(other, float("inf")), other)
        for other, live in live_holders_by_region.items()
        if live >= MIN_HOME_REGION_HOLDERS
    ]
    return min(candidates)[1] if candidates else region_id


def _spread_over_domains(ranked: Sequence[Member], count: int) -> list[Member]:
    chosen: list[Member] = []
    remaining = list(ranked)
    used: collections.Counter[ids.FailureDomainId] = collections.Counter()
    while remaining and len(chosen) < count:
        # min() keeps the rank order among equally used failure domains.
        member = min(remaining, key=lambda member: used[member.failure_domain_id])
        remaining.remove(member)
        used[member.failure_domain_id] += 1
        chosen.append(member)
    return chosen


def _rendezvous_hash(key: claim_keys.Key, member: Member) -> int:
    text = f"{key.text}\n{member.instance_id}"
    return xxhash.xxh64_intdigest(text.encode())
