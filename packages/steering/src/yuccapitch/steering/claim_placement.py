"""Selection of the instances that hold the claim records of a key."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping, Sequence

import xxhash

from yuccapitch.catalogue import ids
from yuccapitch.steering import claim_keys, clock_drift, ledger

HOLDERS_PER_KEY = 3
MIN_HOME_REGION_HOLDERS = 2
MEMBER_LIST_OVERLAP_S = (
    ledger.LEASE_DURATION_S * clock_drift.CLOCK_DRIFT_FACTOR
    + 2 * claim_keys.CLOCK_SKEW_S
)
"""Time during which a superseded list still applies to new keys.

Covers the lease of an instance that has not seen the new list yet, and the clock skew.
"""


@dataclasses.dataclass(frozen=True)
class Member:
    """An entry instance that can hold claim records."""

    instance_id: ids.InstanceId
    region_id: ids.RegionId
    failure_domain_id: ids.FailureDomainId


@dataclasses.dataclass(frozen=True)
class MemberList:
    """The entry instances that were members during one period."""

    members: tuple[Member, ...]
    superseded_at: float | None
    """Time on the leader's clock at which the next list was accepted."""


def holder_lists(
    key: claim_keys.Key, lists: Sequence[MemberList]
) -> tuple[tuple[ids.InstanceId, ...], ...]:
    """Return the holders of the key in each member list that applies to it."""
    chosen = [
        choose_holders(key, member_list.members)
        for member_list in lists
        if member_list.superseded_at is None
        or key.time_s <= member_list.superseded_at + MEMBER_LIST_OVERLAP_S
    ]
    return tuple(dict.fromkeys(chosen))


def prune_member_lists(
    lists: Sequence[MemberList], now: float
) -> tuple[MemberList, ...]:
    """Return the lists without those that apply to expired keys only."""
    retention_s = (
        claim_keys.KEY_LIFETIME_S + MEMBER_LIST_OVERLAP_S + claim_keys.CLOCK_SKEW_S
    )
    return tuple(
        member_list
        for member_list in lists
        if member_list.superseded_at is None
        or now <= member_list.superseded_at + retention_s
    )


def choose_holders(
    key: claim_keys.Key, members: Sequence[Member]
) -> tuple[ids.InstanceId, ...]:
    """Return the holders of a key: ranked by rendezvous hash, spread over domains.

    If the home region has two failure domains, the last holder is in another region,
    so that a majority survives the failure of either domain.
    """
    ranked = sorted(
        members, key=lambda member: _rendezvous_score(key, member), reverse=True
    )
    home_members = [member for member in ranked if member.region_id == key.region_id]
    remote_members = [member for member in ranked if member.region_id != key.region_id]
    domains = {member.failure_domain_id for member in home_members}
    chosen = _spread_over_domains(
        home_members,
        (
            HOLDERS_PER_KEY - 1
            if len(domains) == 2 and remote_members
            else HOLDERS_PER_KEY
        ),
    )
    if home_members:
        chosen += _spread_over_domains(remote_members, HOLDERS_PER_KEY - len(chosen))
    return tuple(member.instance_id for member in chosen)


def choose_home_region(
    region_id: ids.RegionId,
    live_holders_by_region: Mapping[ids.RegionId, int],
    delay_ms_by_region: Mapping[ids.RegionId, float],
) -> ids.RegionId:
    """Return the home region for new keys of a client.

    This is the client's region if it has enough live holders, else the region with
    enough holders at the smallest delay.
    """
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
    count_by_domain: collections.Counter[ids.FailureDomainId] = collections.Counter()
    while remaining and len(chosen) < count:
        # min() returns the best ranked member of the least used failure domains.
        member = min(
            remaining, key=lambda member: count_by_domain[member.failure_domain_id]
        )
        remaining.remove(member)
        count_by_domain[member.failure_domain_id] += 1
        chosen.append(member)
    return chosen


def _rendezvous_score(key: claim_keys.Key, member: Member) -> int:
    text = f"{key.text}\n{member.instance_id}"
    return xxhash.xxh64_intdigest(text.encode())
