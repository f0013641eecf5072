"""Where a replica keeps its log: the interface, and one in memory for tests."""

from __future__ import annotations

import dataclasses
import typing

import result

from yuccapitch.consensus import core, effects, log
from yuccapitch.protocol import consensus_messages as messages

REPLACE_DISK_REMEDY = "move the data folder away and restart, to be admitted anew"


@dataclasses.dataclass(frozen=True)
class StorageError:
    """Damage that recovery must not guess past, and what to do about it."""

    path: str
    offset: int
    reason: str
    remedy: str = REPLACE_DISK_REMEDY

    def __str__(self) -> str:
        """Say what is wrong, where, and how to go on."""
        return f"{self.path}, byte {self.offset}: {self.reason}; {self.remedy}"


class Storage(typing.Protocol):
    """What the runner asks of a disk; nothing counts as written before ``sync``."""

    def load(self) -> result.Result[core.RecoveredState, StorageError]:
        """Read what the disk holds; a new disk gets a new identity."""

    def write_hard_state(self, hard_state: effects.HardState) -> None:
        """Write term and vote."""

    def write_entries(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Write entries in place of whatever is at or after the first of them."""

    def write_snapshot(self, snapshot: log.Snapshot, keeps_suffix: bool) -> None:
        """Write a snapshot and drop the log that it replaces."""

    def sync(self) -> None:
        """Return once everything written is on disk."""

    def close(self) -> None:
        """Release the files."""


@dataclasses.dataclass
class _StoredState:
    hard_state: effects.HardState = effects.HardState(0, None)
    snapshot: log.Snapshot | None = None
    entries: list[messages.LogEntry] = dataclasses.field(default_factory=list)

    def copy(self) -> _StoredState:
        return dataclasses.replace(self, entries=list(self.entries))


class MemoryStorage:
    """A disk in memory that forgets on ``crash`` whatever was not synced."""

    def __init__(self, identity: str) -> None:
        """Start as a new disk with this identity."""
        self.identity = identity
        self._synced = _StoredState()
        self._written = _StoredState()

    def load(self) -> result.Result[core.RecoveredState, StorageError]:
        """Return what is on the disk."""
        stored = self._written
        recovered = core.RecoveredState(
            self.identity,
            stored.hard_state,
            stored.snapshot,
            tuple(stored.entries),
        )
        return result.Ok(recovered)

    def write_hard_state(self, hard_state: effects.HardState) -> None:
        """Write term and vote."""
        self._written.hard_state = hard_state

    def write_entries(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Write entries in place of whatever is at or after the first of them."""
        kept = self._written.entries
        while kept and kept[-1].index >= entries[0].index:
            kept.pop()
        kept.extend(entries)

    def write_snapshot(self, snapshot: log.Snapshot, keeps_suffix: bool) -> None:
        """Write a snapshot and drop the log that it replaces."""
        kept = self._written.entries if keeps_suffix else []
        self._written.entries = [e for e in kept if e.index > snapshot.last_index]
        self._written.snapshot = snapshot

    def sync(self) -> None:
        """Keep everything written over a crash."""
        self._synced = self._written.copy()

    def crash(self) -> None:
        """Forget what was not synced."""
        self._written = self._synced.copy()

    def close(self) -> None:
        """Do nothing, as there are no files."""
