"""Limit on the memory of the HTTP messages that a process holds."""

from __future__ import annotations

import typing

from yuccapitch.protocol import events

# Memory of a process beside the messages: interpreter, modules, lists of endpoints and
# instances, inner links.
RESERVED_BYTES = 60_000_000
# Memory of what has arrived and isn't read yet, in the kernel: full receive buffers of
# some 300 connections.
UNREAD_BYTES = 40_000_000
# A body is held twice while its pieces are joined, and while the transport that sends
# it on has a copy.
COPIES = 2
# Assumed if the memory of a process isn't limited by its settings.
DEFAULT_MEMORY_LIMIT_BYTES = 200_000_000
# Part of the largest message from which on one without a known length goes in its
# place. Messages with a length that come slowly would else keep all others out.
UNBOUNDED_MESSAGE_FRACTION = 0.5
# Least budget, which still takes the usual messages of a few connections.
MIN_BUFFERED_BYTES = 8 * 1024 * 1024


class Receiver(typing.Protocol):
    """Connection on which a message is being received."""

    @property
    def has_known_length(self) -> bool:
        """Whether the message says how long its body is."""

    def shed(self, reason: str) -> None:
        """Discard the incomplete message and free its memory."""


def buffered_bytes(memory_limit_bytes: int) -> int:
    """Return the budget of a process that may use ``memory_limit_bytes`` in all."""
    available_bytes = (memory_limit_bytes - RESERVED_BYTES - UNREAD_BYTES) // COPIES
    return max(MIN_BUFFERED_BYTES, available_bytes)


class MemoryBudget:
    """Memory of all messages together, incomplete and complete ones.

    Above the limit, the largest incomplete message is discarded: its sender may never
    end it. One that doesn't say how long it is goes in its place, unless it is much
    smaller. Complete ones are kept, as work was done for them or depends on them.
    """

    def __init__(
        self, max_bytes: int = buffered_bytes(DEFAULT_MEMORY_LIMIT_BYTES)
    ) -> None:
        """Allow ``max_bytes`` of messages together."""
        self.max_bytes = max_bytes
        self._incomplete_bytes_by_receiver: dict[Receiver, int] = {}
        self._complete_bytes_by_holder: dict[object, int] = {}
        self.used_bytes = 0
        self.peak_bytes = 0
        """Most bytes held at a time, for the metrics."""

    def charge(self, receiver: Receiver, byte_count: int) -> None:
        """Record bytes of an incomplete message; shed the largest above the limit."""
        sizes = self._incomplete_bytes_by_receiver
        sizes[receiver] = sizes.get(receiver, 0) + byte_count
        self.used_bytes += byte_count
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        while self.used_bytes > self.max_bytes and sizes:
            largest = self._find_largest()
            events.event(
                "message.discarded", bytes=sizes[largest], used_bytes=self.used_bytes
            )
            self.release(largest)
            largest.shed("largest of too many bytes of incomplete messages")

    def _find_largest(self) -> Receiver:
        sizes = self._incomplete_bytes_by_receiver
        least_bytes = max(sizes.values()) * UNBOUNDED_MESSAGE_FRACTION
        unbounded = [
            receiver
            for receiver, size in sizes.items()
            if not receiver.has_known_length and size > least_bytes
        ]
        return max(unbounded or sizes, key=sizes.__getitem__)

    def release(self, receiver: Receiver) -> None:
        """Forget a message that is complete or discarded."""
        self.used_bytes -= self._incomplete_bytes_by_receiver.pop(receiver, 0)

    def retain(self, holder: object, byte_count: int) -> None:
        """Record the size of what ``holder`` keeps of complete messages; 0 for none."""
        self.used_bytes -= self._complete_bytes_by_holder.pop(holder, 0)
        if byte_count:
            self._complete_bytes_by_holder[holder] = byte_count
            self.used_bytes += byte_count
            self.peak_bytes = max(self.peak_bytes, self.used_bytes)
