"""Look-up table from client addresses to regions, stored as sorted runs."""

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
"""Region index of addresses that no block covers."""
MAX_REGIONS = NO_REGION
IPV4_BITS = 32
IPV6_BITS = 128
HALF_BITS = 64
_HALF_MASK = (1 << HALF_BITS) - 1
_IPV4_MASK = (1 << IPV4_BITS) - 1
_MAPPED_PREFIX = 0xFFFF
"""Upper 96 bits of an IPv4-mapped IPv6 address."""

Address = typing.NewType("Address", int)
"""Client address as a 128-bit integer; IPv4 is mapped into ::ffff:0:0/96."""


@dataclasses.dataclass(frozen=True)
class Runs:
    """Address runs with one region index each; a run ends at the start of the next."""

    starts: array.array[int]
    values: array.array[int]

    def value_at(self, address: int) -> int:
        """Return the region index of the run that contains the address."""
        return self.values[bisect.bisect_right(self.starts, address) - 1]

    def append(self, start: int, value: int) -> None:
        """Append a run that starts at or after the start of the last one.

        A run with the same start is replaced; one with the same value is extended.
        """
        if self.starts and self.starts[-1] == start:
            self.starts.pop()
            self.values.pop()
        if not self.values or self.values[-1] != value:
            self.starts.append(start)
            self.values.append(value)

    @property
    def size_bytes(self) -> int:
        """Memory used by the two arrays."""
        return (
            len(self.starts) * self.starts.itemsize
            + len(self.values) * self.values.itemsize
        )


@dataclasses.dataclass(frozen=True)
class BlockFault:
    """An invalid block or address, with the reason."""

    block: str
    reason: str


@dataclasses.dataclass(frozen=True)
class LookupTable:
    """Immutable mapping from client addresses to regions."""

    region_ids: tuple[ids.RegionId, ...]
    ipv4: Runs
    ipv6: Runs
    """Runs over the upper half of IPv6 addresses."""
    ipv6_low_by_high: dict[int, Runs]
    """Runs over the lower half, for the few upper halves with several regions."""

    def region_of(self, address: Address) -> ids.RegionId | None:
        """Return the region of the longest prefix that matches the address, or None."""
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
        """Memory used by all runs."""
        low = sum(runs.size_bytes for runs in self.ipv6_low_by_high.values())
        return self.ipv4.size_bytes + self.ipv6.size_bytes + low


def parse_address(text: str) -> result.Result[Address, BlockFault]:
    """Parse an IPv4 or IPv6 address."""
    number = _parse_ip(text)
    if number is None:
        return result.Err(BlockFault(text, "not an IPv4 or IPv6 address"))
    return result.Ok(number)


def build(
    blocks: Iterable[tuple[str, ids.RegionId]], region_ids: Sequence[ids.RegionId]
) -> result.Result[LookupTable, list[BlockFault]]:
    """Build a table from blocks in CIDR notation; the longest prefix wins.

    The order of `region_ids` is kept. A difference from an older table can be sent
    only if new regions are appended to the order of that table.
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


# A block is packed into one integer of start, prefix length (8 bits) and region index
# (16 bits), so that blocks sort by start, and outer blocks before inner ones.
_LENGTH_SHIFT = 16
_START_SHIFT = 24


def _pack_block(
    block: str, region: ids.RegionId, indexes_by_region: dict[ids.RegionId, int]
) -> result.Result[tuple[int, int], BlockFault]:
    index = indexes_by_region.get(region)
    if index is None:
        return result.Err(BlockFault(block, f"unknown region {region!r}"))
    address_text, _, length_text = block.partition("/")
    address = _parse_ip(address_text)
    if address is None or not (length_text.isascii() and length_text.isdigit()):
        return result.Err(
            BlockFault(block, "not an address and prefix length in CIDR notation")
        )
    is_ipv4 = ":" not in address_text
    bits = IPV4_BITS if is_ipv4 else IPV6_BITS
    length = int(length_text)
    if length > bits:
        return result.Err(BlockFault(block, f"the prefix is longer than {bits} bits"))
    start = address & _IPV4_MASK if is_ipv4 else address
    if start & ((1 << (bits - length)) - 1):
        return result.Err(BlockFault(block, "host bits are set"))
    packed = start << _START_SHIFT | length << _LENGTH_SHIFT | index
    return result.Ok((bits, packed))


def _parse_ip(text: str) -> Address | None:
    # inet_pton only converts; the ipaddress module is several times slower.
    try:
        if ":" in text:
            return Address(int.from_bytes(socket.inet_pton(socket.AF_INET6, text)))
        ipv4 = int.from_bytes(socket.inet_pton(socket.AF_INET, text))
    except (OSError, ValueError):
        # The caller reports the invalid text.
        return None
    return Address(_MAPPED_PREFIX << IPV4_BITS | ipv4)


def _duplicate_blocks(packed_blocks: list[int], bits: int) -> Iterator[BlockFault]:
    for i in range(len(packed_blocks) - 1):
        if packed_blocks[i] >> _LENGTH_SHIFT == packed_blocks[i + 1] >> _LENGTH_SHIFT:
            start = packed_blocks[i] >> _START_SHIFT
            length = packed_blocks[i] >> _LENGTH_SHIFT & 0xFF
            is_ipv4 = bits == IPV4_BITS
            network_address = (
                ipaddress.IPv4Address if is_ipv4 else ipaddress.IPv6Address
            )(start)
            yield BlockFault(f"{network_address}/{length}", "duplicate block")


def _flatten(packed_blocks: list[int], bits: int) -> Iterator[tuple[int, int]]:
    """Yield run starts and values in order.

    If several runs have the same start, the last one applies.
    """
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
    """Yield the run that follows each open block that ends at or before `until`."""
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
