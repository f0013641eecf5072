"""Lists of the leader, encoded once for all followers.

After a start, or when another leader takes over, every follower needs the whole lists.
Encoding them for each one would take the leader seconds in a fleet of hundreds.
"""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Callable, Hashable

import result

from yuccapitch.protocol import codec, subscription_messages as messages


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
        if not isinstance(decoded, messages.EndpointList):
            return result.Err("the list of endpoints is unreadable")
        endpoints = decoded.endpoints
    if answer.compressed_instances:
        decoded = _decode(answer.compressed_instances)
        if not isinstance(decoded, messages.InstanceList):
            return result.Err("the list of instances is unreadable")
        instances = decoded.instances
    return result.Ok(
        dataclasses.replace(
            answer,
            endpoints=endpoints,
            instances=instances,
            compressed_endpoints=b"",
            compressed_instances=b"",
        )
    )


def _decode(content: bytes) -> object:
    try:
        encoded = zlib.decompress(content)
    except zlib.error:
        return None
    decoded = codec.decode(encoded)
    return decoded.ok_value if isinstance(decoded, result.Ok) else None
