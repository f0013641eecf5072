"""History of the endpoint list, used to send differences between versions.

The full list of a few hundred endpoints takes tens of kilobytes. Without differences,
every follower would receive all of it on each change.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping

from yuccapitch.protocol import subscription_messages as messages

# Longest rise of the remaining warm-up time that is no news: readings take time.
MAX_WARM_UP_JITTER_MS = 200
# Number of versions kept; a follower that is further behind gets the full list.
MAX_VERSIONS = 64

RecordsById = Mapping[str, messages.EndpointRecord]


@dataclasses.dataclass(frozen=True)
class _VersionChange:
    version: int
    changed_by_id: dict[str, messages.EndpointRecord]
    removed_ids: frozenset[str]


class EndpointHistory:
    """Most recent changes of the endpoint list, one entry per version."""

    def __init__(self) -> None:
        self._version_changes: collections.deque[_VersionChange] = collections.deque(
            maxlen=MAX_VERSIONS
        )

    def add(self, version: int, former: RecordsById, listed: RecordsById) -> None:
        """Record the difference between the former list and that of a version."""
        changed = {i: listed[i] for i in listed if is_changed(former.get(i), listed[i])}
        removed = frozenset(former.keys() - listed.keys())
        self._version_changes.append(_VersionChange(version, changed, removed))

    def clear(self) -> None:
        """Discard all versions."""
        self._version_changes.clear()

    def changes_since(
        self, version: int, newest: int
    ) -> messages.EndpointChanges | None:
        """Return the changes after a version.

        Return None if the history does not reach back to the version, or if the version
        is not older than the newest one.
        """
        later_changes = [
            change for change in self._version_changes if change.version > version
        ]
        if version >= newest or len(later_changes) != newest - version:
            return None
        changed: dict[str, messages.EndpointRecord] = {}
        removed: set[str] = set()
        for change in later_changes:
            changed = {i: r for i, r in changed.items() if i not in change.removed_ids}
            changed |= change.changed_by_id
            removed = (removed | change.removed_ids) - change.changed_by_id.keys()
        return messages.EndpointChanges(
            tuple(record for _, record in sorted(changed.items())),
            tuple(sorted(removed)),
        )


def apply(
    records_by_id: RecordsById, changes: messages.EndpointChanges
) -> dict[str, messages.EndpointRecord]:
    """Return the records with the changes applied."""
    changed = {record.endpoint_id: record for record in changes.changed}
    kept = {i: r for i, r in records_by_id.items() if i not in changes.removed_ids}
    return {**kept, **changed}


def is_changed(
    former: messages.EndpointRecord | None, listed: messages.EndpointRecord
) -> bool:
    """Return whether followers have to be told of a record.

    The remaining warm-up time decreases continuously, which they know. If it rises, the
    endpoint is cold again.
    """
    if former is None:
        return True
    rise_ms = listed.cold_left_ms - former.cold_left_ms
    if rise_ms > MAX_WARM_UP_JITTER_MS:
        return True
    return dataclasses.replace(former, cold_left_ms=listed.cold_left_ms) != listed


def count_down(
    records_by_id: RecordsById, elapsed_ms: int
) -> dict[str, messages.EndpointRecord]:
    """Return the records with the remaining warm-up time after ``elapsed_ms``."""
    return {
        endpoint_id: (
            dataclasses.replace(
                record, cold_left_ms=max(0, record.cold_left_ms - elapsed_ms)
            )
            if record.cold_left_ms
            else record
        )
        for endpoint_id, record in records_by_id.items()
    }
