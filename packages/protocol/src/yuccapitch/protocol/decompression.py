"""Decompression up to a limit."""

from __future__ import annotations

import zlib

import result


def decompress(content: bytes, max_bytes: int) -> result.Result[bytes, str]:
    """Return content in zlib format decompressed, or why it can't be."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(content, max_bytes + 1)
    except zlib.error as error:
        return result.Err(f"cannot be decompressed: {error}")
    if len(data) > max_bytes:
        return result.Err(f"more than {max_bytes} bytes once decompressed")
    if not decompressor.eof:
        return result.Err("cannot be decompressed: it ends too early")
    return result.Ok(data)
