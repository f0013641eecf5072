"""The hash by which objects find their endpoints, the same in every instance."""

from __future__ import annotations

import xxhash

MAX_HASH = 1 << 32


def hash32(text: str) -> int:
    """Return a number from 0 to below ``MAX_HASH``."""
    digest: int = xxhash.xxh32_intdigest(text.encode())
    return digest
