"""Tests of the look-up table against a linear scan of all blocks."""

from __future__ import annotations

import ipaddress

import hypothesis
import hypothesis.strategies as st
import pytest

from yuccapitch.catalogue import ids
from yuccapitch.steering import lookup_codec, lookup_table

REGIONS = tuple(ids.RegionId(name) for name in ("hanoi", "da-nang", "saigon"))


def block_texts(bits: int, network: type) -> st.SearchStrategy[str]:
    """Generate blocks that often nest, touch and reach the ends of the range."""
    starts = st.sampled_from((0, 1 << (bits - 8), (1 << bits) - 1))
    near = st.integers(0, 7) | st.integers(0, (1 << bits) - 1)

    def text(start: int, offset: int, length: int) -> str:
        address = (start + offset) % (1 << bits)
        return str(network((address >> (bits - length) << (bits - length), length)))

    return st.builds(text, starts, near, st.integers(0, bits))


BLOCKS = st.dictionaries(
    block_texts(32, ipaddress.IPv4Network) | block_texts(128, ipaddress.IPv6Network),
    st.sampled_from(REGIONS),
    max_size=12,
)


def table_of(blocks: dict[str, ids.RegionId]) -> lookup_table.LookupTable:
    return lookup_table.build(blocks.items(), REGIONS).unwrap()


IpAddress = ipaddress.IPv4Address | ipaddress.IPv6Address


def scan(blocks: dict[str, ids.RegionId], address: IpAddress) -> ids.RegionId | None:
    networks = {ipaddress.ip_network(block): region for block, region in blocks.items()}
    covering = [network for network in networks if address in network]
    longest = max(covering, key=lambda network: network.prefixlen, default=None)
    return None if longest is None else networks[longest]


def boundary_addresses(blocks: dict[str, ids.RegionId]) -> set[IpAddress]:
    """Return the first and last address of each block and their neighbours."""
    found = {ipaddress.ip_address("0.0.0.0"), ipaddress.ip_address("::")}
    for network in map(ipaddress.ip_network, blocks):
        top = (1 << network.max_prefixlen) - 1
        first, last = int(network[0]), int(network[-1])
        numbers = (first, last, max(first - 1, 0), min(last + 1, top))
        found.update(type(network[0])(number) for number in numbers)
    # IPv4 clients in IPv6 notation are looked up as IPv4.
    return {a for a in found if a.version == 4 or a.ipv4_mapped is None}


@hypothesis.given(BLOCKS)
def test_region_of_equals_scan(blocks: dict[str, ids.RegionId]) -> None:
    table = table_of(blocks)
    for address in boundary_addresses(blocks):
        parsed = lookup_table.parse_address(str(address)).unwrap()
        assert table.region_of(parsed) == scan(blocks, address), address


@hypothesis.given(BLOCKS)
def test_encoded_table_decodes_to_same_table(blocks: dict[str, ids.RegionId]) -> None:
    table = table_of(blocks)
    assert lookup_codec.decode_table(lookup_codec.encode_table(table)).unwrap() == table


@hypothesis.given(BLOCKS, BLOCKS)
def test_applied_difference_equals_target(
    before: dict[str, ids.RegionId], after: dict[str, ids.RegionId]
) -> None:
    base, target = table_of(before), table_of(after)
    sent = lookup_codec.encode_difference(
        lookup_codec.difference(base, target).unwrap()
    )
    change = lookup_codec.decode_difference(sent).unwrap()
    assert lookup_codec.apply_difference(base, change).unwrap() == target
    if base != target:
        assert lookup_codec.apply_difference(target, change).is_err()


def test_difference_of_large_tables_is_small() -> None:
    before = {f"10.{i >> 8}.{i & 255}.0/24": REGIONS[i % 3] for i in range(20_000)}
    after = {**before, "10.7.7.0/24": REGIONS[(7 * 256 + 8) % 3]}
    del after["10.60.1.0/24"]
    change = lookup_codec.difference(table_of(before), table_of(after)).unwrap()
    assert len(lookup_codec.encode_difference(change)) < 200
    applied = lookup_codec.apply_difference(table_of(before), change).unwrap()
    assert applied == table_of(after)


def test_region_of_mapped_address() -> None:
    table = table_of({"192.0.2.0/24": REGIONS[1]})
    address = lookup_table.parse_address("::ffff:192.0.2.9").unwrap()
    assert table.region_of(address) == REGIONS[1]


@pytest.mark.parametrize(
    "text", ["", "192.0.2", "1.2.3.256", "::x", "a\0", "1.2.3.4/8"]
)
def test_parse_address_fault(text: str) -> None:
    assert lookup_table.parse_address(text).unwrap_err().block == text


def test_build_reports_every_fault() -> None:
    blocks = [
        ("10.0.0.1/8", REGIONS[0]),
        ("10.0.0.0/8", REGIONS[0]),
        ("10.0.0.0/8", REGIONS[1]),
        ("2001:db8::/32", ids.RegionId("lost")),
        ("10.0.0.0/33", REGIONS[0]),
        ("10.0.0.0", REGIONS[0]),
    ]
    faults = lookup_table.build(blocks, REGIONS).unwrap_err()
    assert [fault.block for fault in faults] == [
        "10.0.0.1/8",
        "2001:db8::/32",
        "10.0.0.0/33",
        "10.0.0.0",
        "10.0.0.0/8",
    ]


@pytest.mark.parametrize("position", range(0, 80, 3))
def test_decode_table_damaged(position: int) -> None:
    data = bytearray(lookup_codec.encode_table(table_of({"10.0.0.0/8": REGIONS[0]})))
    data[position % len(data)] ^= 0x55
    outcome = lookup_codec.decode_table(bytes(data))
    assert outcome.is_err()


def test_decode_table_truncated() -> None:
    data = lookup_codec.encode_table(table_of({"10.0.0.0/8": REGIONS[0]}))
    for length in range(len(data)):
        assert lookup_codec.decode_table(data[:length]).is_err()
