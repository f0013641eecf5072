"""Which of the writes requested by the core are durable, and what waits for the rest.

Writes are numbered in the order in which they are requested, and become durable in that
order. Messages may rest on writes; they are held until those are durable.
"""

from __future__ import annotations

import collections
import dataclasses

from yuccapitch.consensus import effects

# Messages kept for a disk that stalls; the oldest are dropped, as a network would.
MAX_HELD_MESSAGES = 1000
# Time without a completed write after which the disk counts as stalled.
STALL_TIMEOUT_S = 10.0


@dataclasses.dataclass
class _PendingWrite:
    number: int
    last_index: int
    """Index up to which the log is durable once this write is."""


class Durability:
    """Progress of the writes of one replica."""

    def __init__(self, log_index: int) -> None:
        """Start with a log that is durable up to ``log_index``."""
        self.log_index = log_index
        """Index up to which the entries of the current log are durable."""
        self.write_duration_s = 0.0
        """Recent duration of a write with its syncs; halved by each faster one."""
        self._requested = 0
        self._durable = 0
        self._term_number = 0
        self._pending: collections.deque[_PendingWrite] = collections.deque()
        self._held: collections.deque[tuple[int, effects.Send]] = collections.deque()
        self._waiting_since: float | None = None

    @property
    def latest_number(self) -> int:
        """Number of the write requested last."""
        return self._requested

    @property
    def term_number(self) -> int:
        """Number of the write of the current term and vote."""
        return self._term_number

    @property
    def is_term_durable(self) -> bool:
        """Whether the current term and vote are durable."""
        return self._durable >= self._term_number

    def add_hard_state(self) -> None:
        """Count a write of the term and vote."""
        self._term_number = self._add(last_index=0)

    def add_entries(self, first: int, last: int) -> None:
        """Count a write of entries that replaces the log from ``first`` on."""
        self.drop_after(first - 1)
        self._add(last)

    def add_snapshot(self, last_index: int) -> None:
        """Count a write of a snapshot."""
        self._add(last_index)

    def drop_after(self, index: int) -> None:
        """Forget the entries after ``index``: they are no longer part of the log."""
        self.log_index = min(self.log_index, index)
        for write in self._pending:
            write.last_index = min(write.last_index, index)

    def advance(self, number: int, duration_s: float, now: float) -> None:
        """Record that the writes up to ``number`` are durable."""
        self._durable = number
        self.write_duration_s = max(duration_s, self.write_duration_s / 2)
        while self._pending and self._pending[0].number <= number:
            write = self._pending.popleft()
            self.log_index = max(self.log_index, write.last_index)
        self._waiting_since = now if self._pending else None

    def observe(self, now: float) -> None:
        """Note from when on the pending writes have waited."""
        if self._pending and self._waiting_since is None:
            self._waiting_since = now

    def is_stalled(self, now: float) -> bool:
        """Whether no write has completed for long although some are pending."""
        since = self._waiting_since
        return since is not None and now - since >= STALL_TIMEOUT_S

    def is_durable(self, number: int) -> bool:
        """Whether the write with this number, and all before it, are durable."""
        return self._durable >= number

    def hold(self, number: int, send: effects.Send) -> None:
        """Keep a message until the write with this number is durable."""
        self._held.append((number, send))
        if len(self._held) > MAX_HELD_MESSAGES:
            self._held.popleft()

    def release(self) -> list[effects.Send]:
        """Return, in order, the messages that no longer have to be held."""
        released = [send for number, send in self._held if self.is_durable(number)]
        self._held = collections.deque(
            item for item in self._held if not self.is_durable(item[0])
        )
        return released

    def _add(self, last_index: int) -> int:
        self._requested += 1
        self._pending.append(_PendingWrite(self._requested, last_index))
        return self._requested
