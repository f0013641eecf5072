"""Storage interface of a replica, and an in-memory implementation for tests."""

from __future__ import annotations

import dataclasses
import pathlib
import typing

import result

from yuccapitch.consensus import core, effects, log
from yuccapitch.protocol import consensus_messages as messages

REPLACE_DISK_REMEDY = (
    "move the data folder away and restart to join the group with a new identity"
)


@dataclasses.dataclass(frozen=True)
class StorageError:
    """Corruption that cannot be repaired automatically, with a remedy for operators."""

    path: str
    offset: int
    reason: str
    remedy: str = REPLACE_DISK_REMEDY

    def __str__(self) -> str:
        """Return the location, the reason and the remedy."""
        return f"{self.path}, byte {self.offset}: {self.reason}; {self.remedy}"


def too_large_error(path: pathlib.Path, max_bytes: int) -> StorageError | None:
    """Return the error of a file that is too large to be read, or None."""
    if path.stat().st_size <= max_bytes:
        return None
    return StorageError(str(path), 0, f"larger than {max_bytes} bytes")


class Storage(typing.Protocol):
    """Durable storage of a replica; writes are durable only after ``sync``."""

    def load(self) -> result.Result[core.RecoveredState, StorageError]:
        """Read the stored state; a new disk gets a new identity."""

    def write_hard_state(self, hard_state: effects.HardState) -> None:
        """Write the term and vote."""

    def write_entries(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Write entries, replacing all entries from the first one's index on."""

    def write_snapshot(self, snapshot: log.Snapshot, keeps_suffix: bool) -> None:
        """Write a snapshot and drop the log entries that it replaces."""

    def sync(self) -> None:
        """Block until everything written is on disk."""

    def close(self) -> None:
        """Close the files."""


@dataclasses.dataclass
class _StoredState:
    hard_state: effects.HardState = effects.HardState(0, None)
    snapshot: log.Snapshot | None = None
    entries: list[messages.LogEntry] = dataclasses.field(default_factory=list)

    def copy(self) -> _StoredState:
        return dataclasses.replace(self, entries=list(self.entries))


class MemoryStorage:
    """In-memory storage; ``crash`` discards everything that was not synced."""

    def __init__(self, identity: str) -> None:
        """Create an empty disk with this identity."""
        self.identity = identity
        self._synced = _StoredState()
        self._written = _StoredState()

    def load(self) -> result.Result[core.RecoveredState, StorageError]:
        """Return the stored state."""
        stored = self._written
        recovered = core.RecoveredState(
            self.identity,
            stored.hard_state,
            stored.snapshot,
            tuple(stored.entries),
        )
        return result.Ok(recovered)

    def write_hard_state(self, hard_state: effects.HardState) -> None:
        """Write the term and vote."""
        self._written.hard_state = hard_state

    def write_entries(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Write entries, replacing all entries from the first one's index on."""
        kept = self._written.entries
        while kept and kept[-1].index >= entries[0].index:
            kept.pop()
        kept.extend(entries)

    def write_snapshot(self, snapshot: log.Snapshot, keeps_suffix: bool) -> None:
        """Write a snapshot and drop the log entries that it replaces."""
        kept = self._written.entries if keeps_suffix else []
        self._written.entries = [e for e in kept if e.index > snapshot.last_index]
        self._written.snapshot = snapshot

    def sync(self) -> None:
        """Make everything written survive a crash."""
        self._synced = self._written.copy()

    def crash(self) -> None:
        """Discard everything that was not synced."""
        self._written = self._synced.copy()

    def close(self) -> None:
        """Do nothing, as there are no files to close."""
