"""Records of a log file: checksummed framing and payload encoding."""

from __future__ import annotations

import dataclasses
import struct
from collections.abc import Iterator

import crc32c
import result

from yuccapitch.protocol import consensus_messages as messages

# Length and checksum of the payload, then a checksum of these two. Without the latter,
# a corrupt length within the file would look like a record truncated at the end.
_HEADER = struct.Struct(">II")
_HEADER_CHECKSUM = struct.Struct(">I")
HEADER_BYTES = _HEADER.size + _HEADER_CHECKSUM.size

_ENTRY = struct.Struct(">BQQB")
_TRUNCATION = struct.Struct(">BQ")
_ENTRY_TAG = 1
_TRUNCATION_TAG = 2


@dataclasses.dataclass(frozen=True)
class Truncation:
    """Record that removes the entries from ``first`` on."""

    first: int


Record = messages.LogEntry | Truncation


@dataclasses.dataclass(frozen=True)
class Corruption:
    """Offset and reason of corrupt data in a file."""

    offset: int
    reason: str


def frame(payload: bytes) -> bytes:
    """Return the payload with its header prepended."""
    header = _HEADER.pack(len(payload), crc32c.crc32c(payload))
    return header + _HEADER_CHECKSUM.pack(crc32c.crc32c(header)) + payload


def read_frames(data: bytes) -> Iterator[result.Result[tuple[int, bytes], Corruption]]:
    """Yield the offset and payload of each record, up to the first corruption.

    A record truncated by the end of the file ends the iteration without an error, as it
    was never acknowledged. So do zeros up to the end of the file: the file grew, but
    its data was not written before the crash.
    """
    offset = 0
    while offset + HEADER_BYTES <= len(data):
        header = data[offset : offset + _HEADER.size]
        (checksum,) = _HEADER_CHECKSUM.unpack_from(data, offset + _HEADER.size)
        if crc32c.crc32c(header) != checksum:
            if any(data[offset:]):
                yield result.Err(Corruption(offset, "header checksum does not match"))
            return
        length, payload_checksum = _HEADER.unpack(header)
        end = offset + HEADER_BYTES + length
        if end > len(data):
            return
        payload = data[offset + HEADER_BYTES : end]
        if crc32c.crc32c(payload) != payload_checksum:
            yield result.Err(Corruption(offset, "payload checksum does not match"))
            return
        yield result.Ok((offset, payload))
        offset = end


def encode(record: Record) -> bytes:
    """Encode a record with its frame."""
    if isinstance(record, Truncation):
        return frame(_TRUNCATION.pack(_TRUNCATION_TAG, record.first))
    head = _ENTRY.pack(_ENTRY_TAG, record.index, record.term, record.kind)
    return frame(head + record.payload)


def decode(payload: bytes) -> Record:
    """Decode the payload of a frame."""
    if payload[0] == _TRUNCATION_TAG:
        return Truncation(_TRUNCATION.unpack(payload)[1])
    _, index, term, kind = _ENTRY.unpack_from(payload)
    return messages.LogEntry(index, term, kind, payload[_ENTRY.size :])
