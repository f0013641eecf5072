"""Check of encoded messages before the thrift decoder reads them.

The decoder trusts each length: for a string it returns as much memory as is claimed,
and for a list it creates as many values, also where the message has ended.
"""

from __future__ import annotations

import struct

# Values of a message, which take up to 150 bytes each. The longest list of endpoints
# has 240,000.
MAX_VALUES = 300_000
MAX_DEPTH = 16

_STOP = 0
_STRING = 11
_STRUCT = 12
_LIST = 15
_BYTES_BY_TYPE = {2: 1, 4: 8, 10: 8}
"""Sizes of booleans, doubles and integers."""
_FIELD_HEADER_BYTES = 3
_LENGTH = struct.Struct(">I")
_LIST_HEADER = struct.Struct(">BI")


class _Budget:
    """Number of values that a message may still have."""

    def __init__(self) -> None:
        self.remaining_values = MAX_VALUES

    def spend(self, count: int) -> None:
        self.remaining_values -= count
        if self.remaining_values < 0:
            raise ValueError(f"more than {MAX_VALUES} values")


def check_struct(data: bytes, offset: int) -> None:
    """Raise ``ValueError`` unless a complete struct begins at the offset."""
    try:
        _find_struct_end(data, offset, MAX_DEPTH, _Budget())
    except (IndexError, struct.error):
        raise ValueError("it ends too early") from None


def _find_struct_end(data: bytes, offset: int, depth: int, budget: _Budget) -> int:
    """Return the offset after a struct."""
    if not depth:
        raise ValueError(f"it is nested more than {MAX_DEPTH} deep")
    field_count = 0
    while (wire_type := data[offset]) != _STOP:
        field_count += 1
        offset += _FIELD_HEADER_BYTES
        size = _BYTES_BY_TYPE.get(wire_type)
        if size is not None:
            offset += size
        elif wire_type == _STRING:
            offset += _LENGTH.size + _LENGTH.unpack_from(data, offset)[0]
        elif wire_type == _STRUCT:
            offset = _find_struct_end(data, offset, depth - 1, budget)
        elif wire_type == _LIST:
            offset = _find_list_end(data, offset, depth - 1, budget)
        else:
            raise ValueError(f"it has a field of type {wire_type}")
    budget.spend(field_count + 1)
    return offset + 1


def _find_list_end(data: bytes, offset: int, depth: int, budget: _Budget) -> int:
    """Return the offset after a list; that of a truncated one is after the data."""
    wire_type, count = _LIST_HEADER.unpack_from(data, offset)
    offset += _LIST_HEADER.size
    size = _BYTES_BY_TYPE.get(wire_type)
    if size is not None:
        budget.spend(count)
        return offset + size * int(count)
    if wire_type == _STRING:
        budget.spend(count)
        for _ in range(count):
            offset += _LENGTH.size + _LENGTH.unpack_from(data, offset)[0]
        return offset
    if wire_type == _STRUCT:
        for _ in range(count):
            offset = _find_struct_end(data, offset, depth, budget)
        return offset
    raise ValueError(f"it has a list of type {wire_type}")
