"""Binary encoding of look-up tables and of differences between them."""

from __future__ import annotations

import array
import bisect
import dataclasses
import struct
import sys
import typing
import zlib
from collections.abc import Iterator

import result

from yuccapitch.catalogue import ids
from yuccapitch.steering import lookup_table

MAGIC = b"YPLT"
FORMAT_VERSION = 1
MAX_DECODED_BYTES = 256 * 1024 * 1024
_HEADER = struct.Struct("<4sHBII")
"""Magic number, format version, kind, and length and CRC of the uncompressed body."""
_UINT32 = struct.Struct("<I")
_UINT64 = struct.Struct("<Q")
_KIND_TABLE = 1
_KIND_DIFFERENCE = 2
_CHUNK_RUNS = 128
_Buffer = typing.Union[bytes, "array.array[int]"]
_COMPRESSION_LEVEL = 3


@dataclasses.dataclass(frozen=True)
class DecodeFault:
    """Reason why a table or difference cannot be decoded or used."""

    reason: str


@dataclasses.dataclass(frozen=True)
class RunsDifference:
    """Removed run starts, and runs that are new or have a different value."""

    removed: array.array[int]
    changed: lookup_table.Runs


@dataclasses.dataclass(frozen=True)
class Difference:
    """Changes that turn a base table into a target table."""

    base_crc: int
    target_crc: int
    region_ids: tuple[ids.RegionId, ...]
    ipv4: RunsDifference
    ipv6: RunsDifference
    ipv6_low_by_high: dict[int, lookup_table.Runs]
    """Changed runs of lower halves; empty runs remove the entry."""


def checksum(table: lookup_table.LookupTable) -> int:
    """Return the CRC of the table's content."""
    crc = 0
    for part in _table_parts(table):
        crc = zlib.crc32(part, crc)
    return crc


def encode_table(table: lookup_table.LookupTable) -> bytes:
    """Encode a table as compressed bytes."""
    return _add_header(_KIND_TABLE, b"".join(_table_parts(table)))


def decode_table(
    data: bytes,
) -> result.Result[lookup_table.LookupTable, DecodeFault]:
    """Decode a table from compressed bytes."""
    return _strip_header(_KIND_TABLE, data).and_then(_read_table)


def difference(
    base: lookup_table.LookupTable, target: lookup_table.LookupTable
) -> result.Result[Difference, DecodeFault]:
    """Return the difference that turns the base into the target."""
    if target.region_ids[: len(base.region_ids)] != base.region_ids:
        return result.Err(DecodeFault("the region order differs; send the full table"))
    empty = lookup_table.Runs(array.array("Q"), array.array("H"))
    highs = base.ipv6_low_by_high.keys() | target.ipv6_low_by_high.keys()
    return result.Ok(
        Difference(
            base_crc=checksum(base),
            target_crc=checksum(target),
            region_ids=target.region_ids,
            ipv4=_runs_difference(base.ipv4, target.ipv4),
            ipv6=_runs_difference(base.ipv6, target.ipv6),
            ipv6_low_by_high={
                high: target.ipv6_low_by_high.get(high, empty)
                for high in sorted(highs)
                if base.ipv6_low_by_high.get(high) != target.ipv6_low_by_high.get(high)
            },
        )
    )


def apply_difference(
    base: lookup_table.LookupTable, change: Difference
) -> result.Result[lookup_table.LookupTable, DecodeFault]:
    """Return the target table, leaving the base unchanged."""
    if checksum(base) != change.base_crc:
        return result.Err(DecodeFault("the base table is not that of the difference"))
    low_by_high = {**base.ipv6_low_by_high, **change.ipv6_low_by_high}
    table = lookup_table.LookupTable(
        change.region_ids,
        _apply_runs(base.ipv4, change.ipv4),
        _apply_runs(base.ipv6, change.ipv6),
        {high: runs for high, runs in sorted(low_by_high.items()) if runs.starts},
    )
    if checksum(table) != change.target_crc:
        return result.Err(DecodeFault("the result differs from the target table"))
    return result.Ok(table)


def encode_difference(change: Difference) -> bytes:
    """Encode a difference as compressed bytes."""
    parts: list[_Buffer] = [
        _UINT32.pack(change.base_crc),
        _UINT32.pack(change.target_crc),
        _regions_bytes(change.region_ids),
    ]
    for runs in (change.ipv4, change.ipv6):
        parts += [*_array_parts(runs.removed), *_runs_parts(runs.changed)]
    parts += _low_parts(change.ipv6_low_by_high)
    return _add_header(_KIND_DIFFERENCE, b"".join(parts))


def decode_difference(data: bytes) -> result.Result[Difference, DecodeFault]:
    """Decode a difference from compressed bytes."""
    return _strip_header(_KIND_DIFFERENCE, data).and_then(_read_difference)


def _runs_difference(
    base: lookup_table.Runs, target: lookup_table.Runs
) -> RunsDifference:
    typecode = base.starts.typecode
    removed = array.array(typecode)
    changed = lookup_table.Runs(array.array(typecode), array.array("H"))
    i = j = 0
    while i < len(base.starts) or j < len(target.starts):
        if _chunk(base, i) == _chunk(target, j):
            i, j = i + _CHUNK_RUNS, j + _CHUNK_RUNS
            continue
        # Compare one chunk run by run, then return to comparing whole chunks.
        for _ in range(_CHUNK_RUNS):
            if j >= len(target.starts):
                removed.extend(base.starts[i:])
                return RunsDifference(removed, changed)
            start = target.starts[j]
            if i < len(base.starts) and base.starts[i] < start:
                removed.append(base.starts[i])
                i += 1
                continue
            same_start = i < len(base.starts) and base.starts[i] == start
            if not same_start or base.values[i] != target.values[j]:
                changed.starts.append(start)
                changed.values.append(target.values[j])
            i, j = i + same_start, j + 1
    return RunsDifference(removed, changed)


def _chunk(
    runs: lookup_table.Runs, position: int
) -> tuple[array.array[int], array.array[int]]:
    end = position + _CHUNK_RUNS
    return runs.starts[position:end], runs.values[position:end]


def _apply_runs(base: lookup_table.Runs, change: RunsDifference) -> lookup_table.Runs:
    removed = set(change.removed)
    values_by_start = dict(zip(change.changed.starts, change.changed.values))
    starts = array.array(base.starts.typecode)
    values = array.array("H")
    copied = 0
    for start in sorted(removed | values_by_start.keys()):
        position = bisect.bisect_left(base.starts, start)
        starts.extend(base.starts[copied:position])
        values.extend(base.values[copied:position])
        is_in_base = position < len(base.starts) and base.starts[position] == start
        copied = position + is_in_base
        if start in values_by_start:
            starts.append(start)
            values.append(values_by_start[start])
    starts.extend(base.starts[copied:])
    values.extend(base.values[copied:])
    return lookup_table.Runs(starts, values)


def _add_header(kind: int, body: bytes) -> bytes:
    head = _HEADER.pack(MAGIC, FORMAT_VERSION, kind, len(body), zlib.crc32(body))
    return head + zlib.compress(body, _COMPRESSION_LEVEL)


def _strip_header(kind: int, data: bytes) -> result.Result[bytes, DecodeFault]:
    if len(data) < _HEADER.size or data[:4] != MAGIC:
        return result.Err(DecodeFault("not a look-up table"))
    _, version, found_kind, length, crc = _HEADER.unpack_from(data)
    if version != FORMAT_VERSION:
        return result.Err(DecodeFault(f"format version {version} is not supported"))
    if found_kind != kind:
        return result.Err(DecodeFault(f"found kind {found_kind}, expected {kind}"))
    if length > MAX_DECODED_BYTES:
        return result.Err(DecodeFault(f"body of {length} bytes exceeds the limit"))
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data[_HEADER.size :], length + 1)
    except zlib.error as error:
        return result.Err(DecodeFault(f"cannot decompress the body: {error}"))
    if not decompressor.eof or decompressor.unused_data:
        return result.Err(
            DecodeFault("the body is truncated or followed by extra bytes")
        )
    if len(body) != length or zlib.crc32(body) != crc:
        return result.Err(DecodeFault("the body is corrupt: wrong length or checksum"))
    return result.Ok(body)


def _table_parts(table: lookup_table.LookupTable) -> Iterator[_Buffer]:
    # Do not copy large arrays: nodes compute checksums while serving requests.
    yield _regions_bytes(table.region_ids)
    yield from _runs_parts(table.ipv4)
    yield from _runs_parts(table.ipv6)
    yield from _low_parts(table.ipv6_low_by_high)


def _regions_bytes(region_ids: tuple[ids.RegionId, ...]) -> bytes:
    names = [region.encode() for region in region_ids]
    return b"".join(
        [_UINT32.pack(len(names)), *(_UINT32.pack(len(name)) + name for name in names)]
    )


def _runs_parts(runs: lookup_table.Runs) -> Iterator[_Buffer]:
    yield from _array_parts(runs.starts)
    yield from _array_parts(runs.values)


def _low_parts(low_by_high: dict[int, lookup_table.Runs]) -> Iterator[_Buffer]:
    yield _UINT32.pack(len(low_by_high))
    for high, runs in sorted(low_by_high.items()):
        yield _UINT64.pack(high)
        yield from _runs_parts(runs)


def _array_parts(items: array.array[int]) -> Iterator[_Buffer]:
    if sys.byteorder == "big":
        items = items[:]
        items.byteswap()
    yield _UINT32.pack(len(items))
    yield items


class _Reader:
    """Reader of a body whose checksum has been verified."""

    def __init__(self, body: bytes) -> None:
        self._body = memoryview(body)
        self._position = 0

    def read_bytes(self, length: int) -> memoryview:
        end = self._position + length
        if end > len(self._body):
            raise ValueError("unexpected end of the body")
        part = self._body[self._position : end]
        self._position = end
        return part

    def read_uint32(self) -> int:
        return int(_UINT32.unpack(self.read_bytes(_UINT32.size))[0])

    def region_ids(self) -> tuple[ids.RegionId, ...]:
        names = (
            bytes(self.read_bytes(self.read_uint32()))
            for _ in range(self.read_uint32())
        )
        return tuple(ids.RegionId(name.decode()) for name in names)

    def read_array(self, typecode: str) -> array.array[int]:
        read: array.array[int] = array.array(typecode)
        read.frombytes(self.read_bytes(self.read_uint32() * read.itemsize))
        if sys.byteorder == "big":
            read.byteswap()
        return read

    def read_runs(self, typecode: str) -> lookup_table.Runs:
        starts, values = self.read_array(typecode), self.read_array("H")
        if len(starts) != len(values):
            raise ValueError("the numbers of run starts and values differ")
        return lookup_table.Runs(starts, values)

    def read_low_by_high(self) -> dict[int, lookup_table.Runs]:
        count = self.read_uint32()
        return {
            int(_UINT64.unpack(self.read_bytes(_UINT64.size))[0]): self.read_runs("Q")
            for _ in range(count)
        }

    def expect_end(self) -> None:
        if self._position != len(self._body):
            raise ValueError("unexpected bytes after the last part")


def _read_table(
    body: bytes,
) -> result.Result[lookup_table.LookupTable, DecodeFault]:
    reader = _Reader(body)
    try:
        table = lookup_table.LookupTable(
            reader.region_ids(),
            reader.read_runs("I"),
            reader.read_runs("Q"),
            reader.read_low_by_high(),
        )
        reader.expect_end()
    except ValueError as error:
        return result.Err(DecodeFault(f"cannot decode the table: {error}"))
    return result.Ok(table)


def _read_difference(body: bytes) -> result.Result[Difference, DecodeFault]:
    reader = _Reader(body)
    try:
        change = Difference(
            reader.read_uint32(),
            reader.read_uint32(),
            reader.region_ids(),
            RunsDifference(reader.read_array("I"), reader.read_runs("I")),
            RunsDifference(reader.read_array("Q"), reader.read_runs("Q")),
            reader.read_low_by_high(),
        )
        reader.expect_end()
    except ValueError as error:
        return result.Err(DecodeFault(f"cannot decode the difference: {error}"))
    return result.Ok(change)
