"""Frames of an inner link: a validated header, then an encoded message.

The checksum is verified before the payload is decoded, so bytes of another protocol
never reach the decoder.
"""

from __future__ import annotations

import dataclasses
import enum
import struct

import crc32c
import result

MAGIC = b"YP"
VERSION = 1
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024
_HEADER = struct.Struct(">2sBBQII")
HEADER_BYTES = _HEADER.size


class Kind(enum.IntEnum):
    """Type of a frame."""

    HELLO = 1
    ONE_WAY = 2
    REQUEST = 3
    RESPONSE = 4
    FAILURE = 5
    HEARTBEAT = 6


@dataclasses.dataclass(frozen=True)
class Header:
    """The decoded header of a frame."""

    kind: Kind
    correlation_id: int
    length: int
    checksum: int


@dataclasses.dataclass(frozen=True)
class FrameError:
    """Bytes that are not a valid frame."""

    reason: str


def pack(kind: Kind, correlation_id: int, payload: bytes = b"") -> bytes:
    """Return a frame with header and payload."""
    checksum = _checksum(kind, correlation_id, payload)
    header = _HEADER.pack(MAGIC, VERSION, kind, correlation_id, len(payload), checksum)
    return header + payload


def unpack_header(data: bytes) -> result.Result[Header, FrameError]:
    """Return the header, or the reason why the bytes are invalid."""
    magic, version, kind, correlation_id, length, checksum = _HEADER.unpack(data)
    if magic != MAGIC:
        return result.Err(FrameError("the peer does not speak the inner protocol"))
    if version != VERSION:
        return result.Err(FrameError(f"protocol version {version} is not supported"))
    if kind not in Kind.__members__.values():
        return result.Err(FrameError(f"frame kind {kind} is unknown"))
    if length > MAX_PAYLOAD_BYTES:
        return result.Err(FrameError(f"a frame of {length} bytes is too large"))
    return result.Ok(Header(Kind(kind), correlation_id, length, checksum))


def is_intact(header: Header, payload: bytes) -> bool:
    """Return whether the payload matches the checksum in the header."""
    expected = _checksum(header.kind, header.correlation_id, payload)
    return expected == header.checksum


def _checksum(kind: Kind, correlation_id: int, payload: bytes) -> int:
    prefix = bytes((kind,)) + correlation_id.to_bytes(8, "big")
    return crc32c.crc32c(payload, crc32c.crc32c(prefix))
