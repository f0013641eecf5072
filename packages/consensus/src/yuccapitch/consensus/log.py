"""In-memory log of one replica: the entries after a compacted prefix."""

from __future__ import annotations

import dataclasses

from yuccapitch.consensus import membership
from yuccapitch.protocol import consensus_messages as messages


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """State of the state machine at one index, with the membership at that index."""

    last_index: int
    last_term: int
    members: membership.Membership
    data: bytes


class Log:
    """Entries after ``base_index``, with the membership at each index."""

    def __init__(self, snapshot: Snapshot | None) -> None:
        """Create an empty log that starts after the snapshot, if there is one."""
        self.base_index = snapshot.last_index if snapshot else 0
        self.base_term = snapshot.last_term if snapshot else 0
        self._entries: list[messages.LogEntry] = []
        base_members = snapshot.members if snapshot else membership.Membership()
        self._memberships: list[tuple[int, membership.Membership]] = [
            (self.base_index, base_members)
        ]

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> membership.Membership:
        """The latest membership in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """The index of the entry that set the latest membership."""
        return self._memberships[-1][0]

    def members_at(self, index: int) -> membership.Membership:
        """Return the membership in effect at an index not before ``base_index``."""
        return next(m for i, m in reversed(self._memberships) if i <= index)

    def contains_voter(self, identity: str) -> bool:
        """Return whether the identity is a voter in any membership still in the log."""
        return any(identity in members.voters() for _, members in self._memberships)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is compacted or absent."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def slice(self, first: int, last: int) -> tuple[messages.LogEntry, ...]:
        """Return the entries from ``first`` to ``last`` inclusive."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def last_before(self, first: int, last: int, max_bytes: int) -> int:
        """Return the index before the longest end of a range within ``max_bytes``.

        The range is that of the entries from ``first`` to ``last`` inclusive.
        """
        size = 0
        for entry in reversed(self.slice(first, last)):
            size += len(entry.payload)
            if size > max_bytes:
                return entry.index
        return first - 1

    def append(self, entry: messages.LogEntry) -> None:
        """Append an entry; its index must follow the last one."""
        if entry.index != self.last_index + 1:
            raise AssertionError(f"entry {entry.index} follows entry {self.last_index}")
        self._entries.append(entry)
        if entry.kind == messages.EntryKind.MEMBERSHIP:
            self._memberships.append((entry.index, membership.decode(entry.payload)))

    def truncate(self, first: int) -> None:
        """Drop the entries from ``first`` on."""
        del self._entries[first - self.base_index - 1 :]
        # The first membership is that of the compacted prefix, which is never dropped.
        self._memberships = [
            item
            for position, item in enumerate(self._memberships)
            if not position or item[0] < first
        ]

    def compact(self, index: int) -> None:
        """Drop the entries up to ``index``, keeping its term and membership."""
        term, members = self.term_at(index), self.members_at(index)
        if term is None:
            raise AssertionError(f"cannot compact to entry {index}: not in the log")
        base = next(i for i, _ in reversed(self._memberships) if i <= index)
        later_memberships = [item for item in self._memberships if item[0] > index]
        del self._entries[: index - self.base_index]
        self.base_index, self.base_term = index, term
        self._memberships = [(base, members), *later_memberships]
