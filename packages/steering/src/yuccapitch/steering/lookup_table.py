"""The table from a client's address to its region: sorted runs of equal region."""

from __future__ import annotations

import array
import bisect
import dataclasses
import ipaddress
import socket
import typing
from collections.abc import Iterable, Iterator, Sequence

import result

from yuccapitch.catalogue import ids

NO_REGION = 0xFFFF
"""Index of addresses that no block covers."""
MAX_REGIONS = NO_REGION
IPV4_BITS = 32
IPV6_BITS = 128
HALF_BITS = 64
_HALF_MASK = (1 << HALF_BITS) - 1
_IPV4_MASK = (1 << IPV4_BITS) - 1
_MAPPED_PREFIX = 0xFFFF
"""Upper 96 bits of an IPv4 address in IPv6 notation."""

Address = typing.NewType("Address", int)
"""A client's address as an IPv6 number; IPv4 is mapped into ::ffff:0:0/96."""


@dataclasses.dataclass(frozen=True)
class Runs:
    """Runs of addresses with one region index: each lasts until the next start."""

    starts: array.array[int]
    values: array.array[int]

    def value_at(self, address: int) -> int:
        """Return the region index of the run that holds the address."""
        return self.values[bisect.bisect_right(self.starts, address) - 1]

    def append(self, start: int, value: int) -> None:
        """Add a run at or after the last start, merged with an equal neighbour."""
        if self.starts and self.starts[-1] == start:
            self.starts.pop()
            self.values.pop()
        if not self.values or self.values[-1] != value:
            self.starts.append(start)
            self.values.append(value)

    @property
    def size_bytes(self) -> int:
        """Memory of the two arrays."""
        return (
            len(self.starts) * self.starts.itemsize
            + len(self.values) * self.values.itemsize
        )


@dataclasses.dataclass(frozen=True)
class BlockFault:
    """A block that cannot be part of a table."""

    block: str
    reason: str


@dataclasses.dataclass(frozen=True)
class LookupTable:
    """Regions by client address; never changed once it is built."""

    region_ids: tuple[ids.RegionId, ...]
    ipv4: Runs
    ipv6: Runs
    """Runs over the upper half of an IPv6 address."""
    ipv6_low_by_high: dict[int, Runs]
    """Runs over the lower half, for the few upper halves that span regions."""

    def region_of(self, address: Address) -> ids.RegionId | None:
        """Return the region of the longest block that covers the address."""
        index = self.index_of(address)
        return None if index == NO_REGION else self.region_ids[index]

    def index_of(self, address: Address) -> int:
        """Return the region index of the address, or NO_REGION."""
        if address >> IPV4_BITS == _MAPPED_PREFIX:
            return self.ipv4.value_at(address & _IPV4_MASK)
        high = address >> HALF_BITS
        low_runs = self.ipv6_low_by_high.get(high)
        if low_runs is not None:
            return low_runs.value_at(address & _HALF_MASK)
        return self.ipv6.value_at(high)

    @property
    def size_bytes(self) -> int:
        """Memory of all runs."""
        low = sum(runs.size_bytes for runs in self.ipv6_low_by_high.values())
        return self.ipv4.size_bytes + self.ipv6.size_bytes + low


def parse_address(text: str) -> result.Result[Address, BlockFault]:
    """Return the client address that the text names."""
    number = _parse_ip(text)
    if number is None:
        return result.Err(BlockFault(text, "not an IPv4 or IPv6 address"))
    return result.Ok(number)


def build(
    blocks: Iterable[tuple[str, ids.RegionId]], region_ids: Sequence[ids.RegionId]
) -> result.Result[LookupTable, list[BlockFault]]:
    """Return the table of blocks in CIDR notation, the longest prefix first.

    The order of `region_ids` is kept: append new regions to an older table's order to
    be able to send differences from it.
    """
    if len(region_ids) > MAX_REGIONS:
        return result.Err([BlockFault("", f"more than {MAX_REGIONS} regions")])
    indexes_by_region = {region: index for index, region in enumerate(region_ids)}
    faults: list[BlockFault] = []
    packed_by_bits: dict[int, list[int]] = {IPV4_BITS: [], IPV6_BITS: []}
    for block, region in blocks:
        match _pack_block(block, region, indexes_by_region):
            case result.Ok((bits, packed)):
                packed_by_bits[bits].append(packed)
            case result.Err(fault):
                faults.append(fault)
    for bits, packed_blocks in packed_by_bits.items():
        packed_blocks.sort()
        faults.extend(_duplicate_blocks(packed_blocks, bits))
    if faults:
        return result.Err(faults)
    ipv6, ipv6_low_by_high = _split_halves(
        _flatten(packed_by_bits[IPV6_BITS], IPV6_BITS)
    )
    ipv4 = Runs(array.array("I"), array.array("H"))
    for start, value in _flatten(packed_by_bits[IPV4_BITS], IPV4_BITS):
        ipv4.append(start, value)
    return result.Ok(LookupTable(tuple(region_ids), ipv4, ipv6, ipv6_low_by_high))


# A block packs into one integer that sorts by start, then outer block before inner:
# start, prefix length (8 bits), region index (16 bits).
_LENGTH_SHIFT = 16
_START_SHIFT = 24


def _pack_block(
    block: str, region: ids.RegionId, indexes_by_region: dict[ids.RegionId, int]
) -> result.Result[tuple[int, int], BlockFault]:
    index = indexes_by_region.get(region)
    if index is None:
        return result.Err(BlockFault(block, f"there is no region {region!r}"))
    address_text, _, length_text = block.partition("/")
    address = _parse_ip(address_text)
    if address is None or not (length_text.isascii() and length_text.isdigit()):
        return result.Err(BlockFault(block, "not an address and a prefix length"))
    is_ipv4 = ":" not in address_text
    bits = IPV4_BITS if is_ipv4 else IPV6_BITS
    length = int(length_text)
    if length > bits:
        return result.Err(BlockFault(block, f"the prefix is longer than {bits} bits"))
    start = address & _IPV4_MASK if is_ipv4 else address
    if start & ((1 << (bits - length)) - 1):
        return result.Err(BlockFault(block, "bits after the prefix are set"))
    packed = start << _START_SHIFT | length << _LENGTH_SHIFT | index
    return result.Ok((bits, packed))


def _parse_ip(text: str) -> Address | None:
    # inet_pton only converts; the ipaddress module takes several times as long.
    try:
        if ":" in text:
            return Address(int.from_bytes(socket.inet_pton(socket.AF_INET6, text)))
        ipv4 = int.from_bytes(socket.inet_pton(socket.AF_INET, text))
    except (OSError, ValueError):
        # Whoever asks says which text is no address.
        return None
    return Address(_MAPPED_PREFIX << IPV4_BITS | ipv4)


def _duplicate_blocks(packed_blocks: list[int], bits: int) -> Iterator[BlockFault]:
    for i in range(len(packed_blocks) - 1):
        if packed_blocks[i] >> _LENGTH_SHIFT == packed_blocks[i + 1] >> _LENGTH_SHIFT:
            start = packed_blocks[i] >> _START_SHIFT
            length = packed_blocks[i] >> _LENGTH_SHIFT & 0xFF
            is_ipv4 = bits == IPV4_BITS
            first = (ipaddress.IPv4Address if is_ipv4 else ipaddress.IPv6Address)(start)
            yield BlockFault(f"{first}/{length}", "the block is given twice")


def _flatten(packed_blocks: list[int], bits: int) -> Iterator[tuple[int, int]]:
    """Yield the starts of runs in order; of equal starts, the last one counts."""
    yield 0, NO_REGION
    open_blocks: list[tuple[int, int]] = []
    for packed in packed_blocks:
        start = packed >> _START_SHIFT
        yield from _close_blocks(open_blocks, start)
        length = packed >> _LENGTH_SHIFT & 0xFF
        value = packed & 0xFFFF
        open_blocks.append((start + (1 << (bits - length)), value))
        yield start, value
    for start, value in _close_blocks(open_blocks, 1 << bits):
        if start < 1 << bits:
            yield start, value


def _close_blocks(
    open_blocks: list[tuple[int, int]], until: int
) -> Iterator[tuple[int, int]]:
    """Yield the run after each open block that ends by then."""
    while open_blocks and open_blocks[-1][0] <= until:
        end, _ = open_blocks.pop()
        yield end, open_blocks[-1][1] if open_blocks else NO_REGION


def _split_halves(
    runs: Iterable[tuple[int, int]],
) -> tuple[Runs, dict[int, Runs]]:
    high_runs = Runs(array.array("Q"), array.array("H"))
    low_by_high: dict[int, Runs] = {}
    for start, value in runs:
        high, low = start >> HALF_BITS, start & _HALF_MASK
        if low == 0:
            high_runs.append(high, value)
            continue
        if high not in low_by_high:
            low_runs = Runs(array.array("Q"), array.array("H"))
            low_runs.append(0, high_runs.value_at(high))
            low_by_high[high] = low_runs
        low_by_high[high].append(low, value)
        if high < _HALF_MASK:
            high_runs.append(high + 1, value)
    return high_runs, low_by_high
