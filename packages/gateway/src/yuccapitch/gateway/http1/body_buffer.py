"""Body of an HTTP message while it is being received."""

from __future__ import annotations

# Pieces of a body, such as its chunks, cost about the same work whatever their length.
# A limit on bytes alone would allow seconds of it in pieces of one byte. Beyond this
# number, a body may have as many small pieces as it would have of the least other size.
SMALL_PIECE_BYTES = 256
MAX_SMALL_PIECES = 16_384
# Memory of a piece beside its bytes: the bytes object and its slot in the list.
PIECE_OBJECT_BYTES = 48


class BodyBuffer:
    """Pieces of a body, joined once it is complete.

    A growing ``bytearray`` would be moved in memory time and again. Of several that
    grow beside each other, the allocator keeps the places that they have left, which
    together are as large as the bodies.
    """

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._small_count = 0
        self.size_bytes = 0
        """Length of the body so far."""

    @property
    def is_fragmented(self) -> bool:
        """Whether the body comes in more small pieces than are received."""
        allowed_count = MAX_SMALL_PIECES + self.size_bytes // SMALL_PIECE_BYTES
        return self._small_count > allowed_count

    @property
    def memory_bytes(self) -> int:
        """About how much memory the body takes so far."""
        return self.size_bytes + len(self._pieces) * PIECE_OBJECT_BYTES

    def append(self, piece: bytes) -> None:
        """Add a piece."""
        self._pieces.append(piece)
        self.size_bytes += len(piece)
        self._small_count += len(piece) < SMALL_PIECE_BYTES

    def join(self) -> bytes:
        """Return the body so far."""
        return b"".join(self._pieces)

    def clear(self) -> None:
        """Discard all pieces."""
        self._pieces, self._small_count, self.size_bytes = [], 0, 0
