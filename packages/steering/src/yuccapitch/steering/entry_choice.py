"""Order and weight of entry instances in look-up responses."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Sequence

import xxhash

from yuccapitch.catalogue import ids

MAX_ENTRIES = 4
MAX_REMOTE_ENTRIES = 2
"""Largest number of entries for each region after the first, which are a fallback."""
REPORT_TTL_S = 5.0
BASE_WEIGHT = 0.05
"""Weight of an entry that owns no slot of the service."""
HIGH_LOAD_THRESHOLD = 0.85


class EntryState(enum.Enum):
    """State of an entry instance; only serving instances are listed."""

    SERVING = "serving"
    STOPPING = "stopping"
    UNLEASED = "unleased"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True)
class EntryView:
    """An entry instance as known to the instance that answers the look-up."""

    instance_id: ids.InstanceId
    region: ids.RegionId
    failure_domain: ids.FailureDomainId
    state: EntryState
    owned_slots: int
    """Usable slots of the requested service that the instance owns."""
    load: float
    """Fraction of these slots in use at the last report."""
    reported_at: float


@dataclasses.dataclass(frozen=True)
class WeightedEntry:
    """One entry of a look-up response."""

    instance_id: ids.InstanceId
    weight: float


def choose_entries(
    entries: Sequence[EntryView],
    regions_by_preference: Sequence[ids.RegionId],
    client: str,
    now: float,
) -> tuple[WeightedEntry, ...]:
    """Return the entries for a client, the preferred one first.

    Owners of the service's slots have the largest weights because they need not
    forward the request to another instance. The order within a region is drawn
    per client in proportion to the weights, so that clients that use only the
    first entry are spread as well.
    """
    serving = [entry for entry in entries if entry.state is EntryState.SERVING]
    weighted: list[WeightedEntry] = []
    for region in regions_by_preference:
        local = [entry for entry in serving if entry.region == region]
        if not local:
            continue
        limit = MAX_REMOTE_ENTRIES if weighted else MAX_ENTRIES
        weighted += _weighted_order(local, client, now)[:limit]
    return tuple(weighted[: MAX_ENTRIES + MAX_REMOTE_ENTRIES])


def _weighted_order(
    entries: Sequence[EntryView], client: str, now: float
) -> list[WeightedEntry]:
    weights = [_raw_weight(entry, now) for entry in entries]
    total = sum(weights)
    weighted = [
        WeightedEntry(entry.instance_id, weight / total)
        for entry, weight in zip(entries, weights, strict=True)
    ]
    return sorted(weighted, key=lambda candidate: -_rendezvous_score(candidate, client))


def _raw_weight(entry: EntryView, now: float) -> float:
    weight = BASE_WEIGHT + entry.owned_slots
    if now - entry.reported_at >= REPORT_TTL_S:
        # An expired load report counts as normal load.
        return weight
    if entry.load <= HIGH_LOAD_THRESHOLD:
        return weight
    # Load reports are delayed: a stronger effect would move all clients at once.
    return weight * max(0.5, 1.0 - (entry.load - HIGH_LOAD_THRESHOLD))


def _rendezvous_score(candidate: WeightedEntry, client: str) -> float:
    # Weighted rendezvous hashing: an entry ranks first in proportion to its weight.
    digest = xxhash.xxh64_intdigest(f"{client}|{candidate.instance_id}".encode())
    uniform = (digest + 1) / (2.0**64 + 2)
    return float(uniform ** (1.0 / candidate.weight))
