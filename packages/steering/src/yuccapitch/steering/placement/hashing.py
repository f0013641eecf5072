"""Hash for consistent placement of objects, identical in every instance."""

from __future__ import annotations

import xxhash

MAX_HASH = 1 << 32


def hash32(text: str) -> int:
    """Return a hash value from 0 to ``MAX_HASH`` - 1."""
    digest: int = xxhash.xxh32_intdigest(text.encode())
    return digest
