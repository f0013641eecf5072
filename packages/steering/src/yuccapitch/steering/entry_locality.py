"""Which entry instances a caller is told to use."""

from __future__ import annotations

from collections.abc import Iterable

from yuccapitch.protocol import subscription_messages as messages

# Instances named to a caller, so that it has another if one fails.
MIN_ENTRIES = 2
MAX_ENTRIES = 64


def select_entries(
    instances: Iterable[messages.EntryInstance], region_id: str, failure_domain: str
) -> list[messages.EntryInstance]:
    """Return the instances for a caller, the nearest group that is large enough.

    Instances of other regions are named only where the caller's has none: what it
    sends may have to stay in its region.
    """
    listed = list(instances)
    ready = [instance for instance in listed if instance.is_ready]
    # Where none is ready, one that just started is the best guess.
    usable = ready or listed
    in_domain = [i for i in usable if i.failure_domain == failure_domain]
    in_region = [i for i in usable if i.region_id == region_id]
    for group in (in_domain, in_region):
        if len(group) >= MIN_ENTRIES:
            return group[:MAX_ENTRIES]
    return (in_region or usable)[:MAX_ENTRIES]
