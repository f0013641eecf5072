"""What became of the endpoints, version by version, so that differences are sent.

The whole list of some hundred endpoints is tens of kilobytes, which every follower
would get with each change.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping

from yuccapitch.protocol import subscription_messages as messages

# Versions kept; a follower that is further behind gets the whole list.
MAX_VERSIONS = 64

RecordsById = Mapping[str, messages.EndpointRecord]


@dataclasses.dataclass(frozen=True)
class _VersionChange:
    version: int
    changed_by_id: dict[str, messages.EndpointRecord]
    removed_ids: frozenset[str]


class EndpointHistory:
    """The latest changes, one step a version."""

    def __init__(self) -> None:
        self._steps: collections.deque[_VersionChange] = collections.deque(
            maxlen=MAX_VERSIONS
        )

    def add(self, version: int, former: RecordsById, listed: RecordsById) -> None:
        """Note what led to a version."""
        known, new = without_warm_up_time(former), without_warm_up_time(listed)
        changed = {i: listed[i] for i in listed if known.get(i) != new[i]}
        removed = frozenset(former.keys() - listed.keys())
        self._steps.append(_VersionChange(version, changed, removed))

    def clear(self) -> None:
        """Forget all versions."""
        self._steps.clear()

    def changes_since(
        self, version: int, newest: int
    ) -> messages.EndpointChanges | None:
        """Return what changed after a version; None if not all steps are known."""
        steps = [step for step in self._steps if step.version > version]
        if version >= newest or len(steps) != newest - version:
            return None
        changed: dict[str, messages.EndpointRecord] = {}
        removed: set[str] = set()
        for step in steps:
            changed = {i: r for i, r in changed.items() if i not in step.removed_ids}
            changed |= step.changed_by_id
            removed = (removed | step.removed_ids) - step.changed_by_id.keys()
        return messages.EndpointChanges(
            tuple(record for _, record in sorted(changed.items())),
            tuple(sorted(removed)),
        )


def apply(
    records_by_id: RecordsById, changes: messages.EndpointChanges
) -> dict[str, messages.EndpointRecord]:
    """Return the records after the changes."""
    changed = {record.endpoint_id: record for record in changes.changed}
    kept = {i: r for i, r in records_by_id.items() if i not in changes.removed_ids}
    return {**kept, **changed}


def without_warm_up_time(
    records_by_id: RecordsById,
) -> dict[str, messages.EndpointRecord]:
    """Return the records without what changes by the mere passing of time."""
    return {
        endpoint_id: dataclasses.replace(record, cold_left_ms=0)
        for endpoint_id, record in records_by_id.items()
    }
