from __future__ import annotations

import zlib

import pytest
import result

from yuccapitch.protocol import decompression


@pytest.mark.parametrize("size", [0, 1, 999, 1000])
def test_decompress_returns_content_up_to_the_limit(size: int) -> None:
    content = zlib.compress(bytes(size))
    assert decompression.decompress(content, 1000) == result.Ok(bytes(size))


@pytest.mark.parametrize(
    "content",
    [zlib.compress(bytes(1001)), zlib.compress(b"routes")[:-1], b"routes", b""],
    ids=["above the limit", "truncated", "not compressed", "empty"],
)
def test_decompress_refuses_what_it_cannot_return(content: bytes) -> None:
    assert isinstance(decompression.decompress(content, 1000), result.Err)
