"""Selection of the entry instances listed to a caller, by locality."""

from __future__ import annotations

from collections.abc import Iterable

from yuccapitch.protocol import subscription_messages as messages

# Smallest group listed, so that a caller has another instance if one fails.
MIN_ENTRIES = 2
MAX_ENTRIES = 64


def select_entries(
    instances: Iterable[messages.EntryInstance], region_id: str, failure_domain: str
) -> list[messages.EntryInstance]:
    """Return the nearest group of instances that is large enough.

    Instances of other regions are listed only if the caller's region has none,
    because its requests may have to stay in the region.
    """
    listed = list(instances)
    ready = [instance for instance in listed if instance.is_ready]
    # If none is ready, fall back to instances that may have just started.
    usable = ready or listed
    in_domain = [i for i in usable if i.failure_domain == failure_domain]
    in_region = [i for i in usable if i.region_id == region_id]
    for group in (in_domain, in_region):
        if len(group) >= MIN_ENTRIES:
            return group[:MAX_ENTRIES]
    return (in_region or usable)[:MAX_ENTRIES]
