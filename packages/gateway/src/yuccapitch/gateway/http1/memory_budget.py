"""Limit on the memory of the HTTP messages that a process holds."""

from __future__ import annotations

import typing

from yuccapitch.protocol import events

# A body of 64 MiB is held twice, as received and in the transport that sends it on, and
# leaves room for the rest of a process of 200 MB.
MAX_BUFFERED_BYTES = 80 * 1024 * 1024


class Receiver(typing.Protocol):
    """Connection on which a message is being received."""

    def shed(self, reason: str) -> None:
        """Discard the incomplete message and free its memory."""


class MemoryBudget:
    """Memory of all messages together, incomplete and complete ones.

    Above the limit, the largest incomplete message is discarded: its sender may never
    end it. Complete ones are kept, as work was done for them or depends on them.
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        """Allow ``max_bytes`` of messages together."""
        self._max_bytes = max_bytes
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
        while self.used_bytes > self._max_bytes and sizes:
            largest = max(sizes, key=sizes.__getitem__)
            events.event(
                "message.discarded", bytes=sizes[largest], used_bytes=self.used_bytes
            )
            self.release(largest)
            largest.shed("largest of too many bytes of incomplete messages")

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
