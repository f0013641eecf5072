"""Lists of the leader, encoded once for all followers.

After a start, or when another leader takes over, every follower needs the whole lists.
Encoding them for each one would take the leader seconds in a fleet of hundreds.
"""

from __future__ import annotations

import dataclasses
import typing
import zlib
from collections.abc import Callable, Hashable

import result

from yuccapitch.protocol import (
    codec,
    decompression,
    subscription_messages as messages,
)

# Size of a list once it is decompressed. The longest list, of 20,000 endpoints, leaves
# 800 bytes for each.
MAX_LIST_BYTES = 16 * 1024 * 1024


class CompressedLists:
    """Encoded lists by kind, each kept until its version changes."""

    def __init__(self) -> None:
        """Create a cache without lists."""
        self._contents_by_kind: dict[Hashable, tuple[int, bytes]] = {}

    def get(self, kind: Hashable, version: int, build: Callable[[], object]) -> bytes:
        """Return the encoded message that ``build`` returns for a version."""
        known_version, content = self._contents_by_kind.get(kind, (-1, b""))
        if known_version != version:
            content = zlib.compress(codec.encode(build()))
            self._contents_by_kind[kind] = (version, content)
        return content

    def clear(self) -> None:
        """Forget all lists; a new leader counts versions anew."""
        self._contents_by_kind.clear()


def expand(
    answer: messages.PollResponse,
) -> result.Result[messages.PollResponse, str]:
    """Return an answer with its compressed lists decoded, or why they can't be."""
    endpoints, instances = answer.endpoints, answer.instances
    if answer.compressed_endpoints:
        decoded = _decode(answer.compressed_endpoints)
        if isinstance(decoded, result.Err):
            return result.Err(f"the list of endpoints: {decoded.err_value}")
        if not isinstance(decoded.ok_value, messages.EndpointList):
            return result.Err("the list of endpoints is unreadable")
        endpoints = decoded.ok_value.endpoints
    if answer.compressed_instances:
        decoded = _decode(answer.compressed_instances)
        if isinstance(decoded, result.Err):
            return result.Err(f"the list of instances: {decoded.err_value}")
        if not isinstance(decoded.ok_value, messages.InstanceList):
            return result.Err("the list of instances is unreadable")
        instances = decoded.ok_value.instances
    return result.Ok(
        dataclasses.replace(
            answer,
            endpoints=endpoints,
            instances=instances,
            compressed_endpoints=b"",
            compressed_instances=b"",
        )
    )


def _decode(content: bytes) -> result.Result[typing.Any, str]:
    encoded = decompression.decompress(content, MAX_LIST_BYTES)
    if isinstance(encoded, result.Err):
        return encoded
    return codec.decode(encoded.ok_value).map_err(lambda error: error.reason)
