"""Order and weight of entry instances in the answer to a look-up."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Sequence

import xxhash

from yuccapitch.catalogue import ids

MAX_ENTRIES = 4
MAX_REMOTE_ENTRIES = 2
"""Entries of other regions named last, for a client whose region is lost."""
REPORT_TTL_S = 5.0
BASE_WEIGHT = 0.05
"""Weight of an entry that owns no slot of the service."""
HIGH_LOAD_THRESHOLD = 0.85


class EntryState(enum.Enum):
    """Whether an entry instance may be named."""

    SERVING = "serving"
    STOPPING = "stopping"
    UNLEASED = "unleased"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True)
class EntryView:
    """An entry instance as the answering instance sees it."""

    instance_id: ids.InstanceId
    region: ids.RegionId
    failure_domain: ids.FailureDomainId
    state: EntryState
    owned_slots: int
    """Usable slots of the asked service that it owns."""
    load: float
    """Part of those slots in use when it last reported."""
    reported_at: float


@dataclasses.dataclass(frozen=True)
class WeightedEntry:
    """One line of a look-up's answer."""

    instance_id: ids.InstanceId
    weight: float


def choose_entries(
    entries: Sequence[EntryView],
    regions_by_preference: Sequence[ids.RegionId],
    client: str,
    now: float,
) -> tuple[WeightedEntry, ...]:
    """Return the entries a client is to use, the preferred one first.

    Owners of the service's slots go first, since their requests need no inner
    message. The order differs by client, in proportion to the weights, so that
    clients that use only the first line are spread as well.
    """
    serving = [entry for entry in entries if entry.state is EntryState.SERVING]
    lines: list[WeightedEntry] = []
    for region in regions_by_preference:
        local = [entry for entry in serving if entry.region == region]
        if not local:
            continue
        most = MAX_REMOTE_ENTRIES if lines else MAX_ENTRIES
        lines += _weighted_order(local, client, now)[:most]
    return tuple(lines[: MAX_ENTRIES + MAX_REMOTE_ENTRIES])


def _weighted_order(
    entries: Sequence[EntryView], client: str, now: float
) -> list[WeightedEntry]:
    raw = [_raw_weight(entry, now) for entry in entries]
    total = sum(raw)
    lines = [
        WeightedEntry(entry.instance_id, weight / total)
        for entry, weight in zip(entries, raw, strict=True)
    ]
    return sorted(lines, key=lambda line: -_rendezvous_score(line, client))


def _raw_weight(entry: EntryView, now: float) -> float:
    weight = BASE_WEIGHT + entry.owned_slots
    if now - entry.reported_at >= REPORT_TTL_S:
        # A load that nobody confirms counts as an ordinary one.
        return weight
    if entry.load <= HIGH_LOAD_THRESHOLD:
        return weight
    # Late loads may only shade the weights, or all clients move at once.
    return weight * max(0.5, 1.0 - (entry.load - HIGH_LOAD_THRESHOLD))


def _rendezvous_score(line: WeightedEntry, client: str) -> float:
    # Weighted rendezvous: the first place falls to each entry by its weight.
    digest = xxhash.xxh64_intdigest(f"{client}|{line.instance_id}".encode())
    uniform = (digest + 1) / (2.0**64 + 2)
    return float(uniform ** (1.0 / line.weight))
