"""Tests of the leader's compressed lists."""

from __future__ import annotations

import dataclasses
import tracemalloc
import zlib

import coordinator_harness
import pytest
import result

from yuccapitch.control import compressed_lists

MEBIBYTE = 1024 * 1024


# Guards against a follower that ends by a list of some KB, which takes a thousand times
# that once it is decompressed.
@pytest.mark.parametrize("name", ["compressed_endpoints", "compressed_instances"])
def test_expand_bounds_the_memory_of_decompressed_lists(name):
    content = zlib.compress(bytes(128 * MEBIBYTE))
    answer = coordinator_harness.CoordinatorHarness().poll()
    answer = dataclasses.replace(answer, **{name: content})
    tracemalloc.start()
    try:
        expanded = compressed_lists.expand(answer)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert isinstance(expanded, result.Err)
    assert peak_bytes < 64 * MEBIBYTE
