"""Limit on the memory of the messages that a process receives from its peers."""

from __future__ import annotations

import typing

from yuccapitch.protocol import frames

# Two of the largest messages.
MAX_RECEIVED_BYTES = 2 * frames.MAX_PAYLOAD_BYTES
# Frames up to this size are not counted while they are received.
SMALL_FRAME_BYTES = 64 * 1024


class Receiver(typing.Protocol):
    """Link on which a frame is being received."""

    def discard(self, reason: str) -> None:
        """Close the link and free the memory of the frame."""


class ReceiveBudget:
    """Memory of large incomplete frames and of messages that are being handled.

    Above the limit, the link with the most bytes of an incomplete frame is closed.
    """

    def __init__(
        self,
        max_bytes: int = MAX_RECEIVED_BYTES,
        max_frame_bytes: int = frames.MAX_PAYLOAD_BYTES,
    ) -> None:
        """Allow ``max_bytes`` together and ``max_frame_bytes`` for each frame."""
        self.max_frame_bytes = max_frame_bytes
        self._max_bytes = max_bytes
        self._incomplete_bytes_by_receiver: dict[Receiver, int] = {}
        self._complete_bytes_by_holder: dict[object, int] = {}
        self._used_bytes = 0

    def charge(self, receiver: Receiver, byte_count: int) -> None:
        """Record bytes of an incomplete frame; discard the largest above the limit."""
        sizes = self._incomplete_bytes_by_receiver
        sizes[receiver] = sizes.get(receiver, 0) + byte_count
        self._used_bytes += byte_count
        while self._used_bytes > self._max_bytes and sizes:
            largest = max(sizes, key=sizes.__getitem__)
            size = sizes[largest]
            self.release(largest)
            largest.discard(
                f"{size} bytes of an incomplete message, the most of {self._max_bytes}"
                " bytes that all peers may send together"
            )

    def release(self, receiver: Receiver) -> None:
        """Forget a frame that is complete or discarded."""
        self._used_bytes -= self._incomplete_bytes_by_receiver.pop(receiver, 0)

    def has_room(self, byte_count: int) -> bool:
        """Whether so many bytes more stay within the limit."""
        return self._used_bytes + byte_count <= self._max_bytes

    def retain(self, holder: object, byte_count: int) -> None:
        """Record the size of a message that is being handled."""
        self._complete_bytes_by_holder[holder] = byte_count
        self._used_bytes += byte_count

    def release_handled(self, holder: object) -> None:
        """Forget a message that has been handled."""
        self._used_bytes -= self._complete_bytes_by_holder.pop(holder, 0)
