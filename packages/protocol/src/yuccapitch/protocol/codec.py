"""Encodes message dataclasses as thrift structs in the binary protocol.

The thrift definition of a message is derived from the dataclass: field n of
the class is field n of the struct, so new fields may only be added at the end. The
decoder does not check for truncated or corrupt input: frames carry the length and a
checksum, and `wire_format` checks the lengths within a message.
"""

from __future__ import annotations

import dataclasses
import enum
import types
import typing
from typing import Any

import result
from thriftpy2 import protocol as thrift_protocol, thrift, utils

from yuccapitch.protocol import registry, wire_format

_new_factory: Any = thrift_protocol.TCyBinaryProtocolFactory
_FACTORY = _new_factory()
_NUMBER_BYTES = 2

_THRIFT_TYPES_BY_TYPE: dict[type, int] = {
    bool: thrift.TType.BOOL,
    int: thrift.TType.I64,
    float: thrift.TType.DOUBLE,
    str: thrift.TType.STRING,
    bytes: thrift.TType.BINARY,
}


@dataclasses.dataclass(frozen=True)
class CodecError:
    """Bytes that are not a valid message."""

    reason: str


def encode(message: object) -> bytes:
    """Return the message number followed by the thrift struct."""
    number = registry.NUMBERS_BY_TYPE[type(message)]
    body: bytes = utils.serialize(_to_payload(message), _FACTORY)
    return number.to_bytes(_NUMBER_BYTES, "big") + body


def decode(data: bytes) -> result.Result[Any, CodecError]:
    """Return the decoded message."""
    number = int.from_bytes(data[:_NUMBER_BYTES], "big")
    cls = registry.TYPES_BY_NUMBER.get(number)
    if cls is None:
        return result.Err(CodecError(f"unknown message number {number}"))
    try:
        wire_format.check_struct(data, _NUMBER_BYTES)
        payload = utils.deserialize(
            _get_schema(cls).payload_type(), data[_NUMBER_BYTES:], _FACTORY
        )
        return result.Ok(_from_payload(cls, payload))
    except Exception as error:
        # The decoder raises many exception types on malformed input.
        return result.Err(CodecError(f"malformed {cls.__name__}: {error!r}"))


@dataclasses.dataclass(frozen=True)
class _Field:
    name: str
    base: Any
    is_list: bool
    is_optional: bool


@dataclasses.dataclass(frozen=True)
class _StructSchema:
    payload_type: type
    fields: tuple[_Field, ...]


_SCHEMAS_BY_TYPE: dict[Any, _StructSchema] = {}


def _get_schema(cls: Any) -> _StructSchema:
    schema = _SCHEMAS_BY_TYPE.get(cls)
    if schema is None:
        schema = _SCHEMAS_BY_TYPE[cls] = _build_schema(cls)
    return schema


def _build_schema(cls: Any) -> _StructSchema:
    hints = typing.get_type_hints(cls)
    fields = tuple(
        _parse_field(field.name, hints[field.name]) for field in dataclasses.fields(cls)
    )
    spec = {number: _field_spec(field) for number, field in enumerate(fields, start=1)}
    attributes = {
        "thrift_spec": spec,
        "default_spec": [(field.name, None) for field in fields],
    }
    metaclass: Any = type(thrift.TPayload)
    payload_type = metaclass(cls.__name__, (thrift.TPayload,), attributes)
    return _StructSchema(payload_type, fields)


def _parse_field(name: str, hint: Any) -> _Field:
    is_optional = False
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        (hint,) = (arg for arg in typing.get_args(hint) if arg is not type(None))
        is_optional = True
    is_list = typing.get_origin(hint) is tuple
    if is_list:
        hint = typing.get_args(hint)[0]
    return _Field(name, hint, is_list, is_optional)


def _field_spec(field: _Field) -> tuple[Any, ...]:
    if dataclasses.is_dataclass(field.base):
        element: Any = (thrift.TType.STRUCT, _get_schema(field.base).payload_type)
    elif issubclass(field.base, enum.Enum):
        element = thrift.TType.STRING
    else:
        element = _THRIFT_TYPES_BY_TYPE[field.base]
    if field.is_list:
        return (thrift.TType.LIST, field.name, element, False)
    if isinstance(element, tuple):
        return (element[0], field.name, element[1], False)
    return (element, field.name, False)


def _to_payload(message: Any) -> Any:
    schema = _get_schema(type(message))
    payload = schema.payload_type()
    for field in schema.fields:
        value = getattr(message, field.name)
        if value is not None:
            setattr(payload, field.name, _to_thrift(field, value))
    return payload


def _to_thrift(field: _Field, value: Any) -> Any:
    if field.is_list:
        return [_element_to_thrift(item) for item in value]
    return _element_to_thrift(value)


def _element_to_thrift(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return _to_payload(value)
    if isinstance(value, enum.Enum) and not isinstance(value, int):
        return value.value
    return value


def _from_payload(cls: type, payload: Any) -> Any:
    values = {}
    for field in _get_schema(cls).fields:
        value = getattr(payload, field.name)
        if value is None and not field.is_optional:
            raise ValueError(f"field {field.name} is missing")
        values[field.name] = value if value is None else _from_thrift(field, value)
    return cls(**values)


def _from_thrift(field: _Field, value: Any) -> Any:
    if field.is_list:
        return tuple(_element_from_thrift(field.base, item) for item in value)
    return _element_from_thrift(field.base, value)


def _element_from_thrift(base: Any, value: Any) -> Any:
    if dataclasses.is_dataclass(base):
        return _from_payload(typing.cast(type, base), value)
    if issubclass(base, enum.Enum):
        return base(value)
    # The decoder returns an empty value as str even for a bytes field.
    if base is bytes and isinstance(value, str):
        return value.encode()
    return value
