"""Loading of declarations from YAML, their canonical encoding and their digest."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Mapping
from typing import Any

import pydantic
import result
import yaml

from yuccapitch.catalogue import model, validation


@dataclasses.dataclass(frozen=True)
class LoadError:
    """A declaration that cannot be loaded, with all faults found in it."""

    faults: tuple[validation.Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


def load_yaml(text: str) -> result.Result[model.Declaration, LoadError]:
    """Return the declaration parsed from YAML, or all its faults."""
    loader = _UniqueKeyLoader(text)
    try:
        data = loader.get_single_data()
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return result.Err(
            LoadError((validation.Fault("(file)", f"invalid YAML: {error}"),))
        )
    finally:
        loader.dispose()
    return load_object(data, tuple(loader.faults))


def load_object(
    data: object, yaml_faults: tuple[validation.Fault, ...] = ()
) -> result.Result[model.Declaration, LoadError]:
    """Return the declaration built from plain data, or all faults.

    `yaml_faults` are those that the YAML loader has found already.
    """
    if not isinstance(data, Mapping):
        message = "expected a mapping of sections such as 'owners'"
        return result.Err(
            LoadError((*yaml_faults, validation.Fault("(file)", message)))
        )
    try:
        declaration = model.Declaration.model_validate(data)
    except pydantic.ValidationError as error:
        return result.Err(LoadError((*yaml_faults, *_schema_faults(error))))
    faults = (*yaml_faults, *validation.validate(declaration))
    if faults:
        return result.Err(LoadError(faults))
    return result.Ok(declaration)


def to_plain(declaration: model.Declaration) -> dict[str, Any]:
    """Return the declaration as plain data, without values that equal the default.

    Defaults are omitted so that adding a field to the model does not change the
    digest of declarations that do not use it.
    """
    return declaration.model_dump(mode="json", by_alias=True, exclude_defaults=True)


def to_yaml(declaration: model.Declaration) -> str:
    """Return the declaration as YAML text."""
    return yaml.safe_dump(
        to_plain(declaration), sort_keys=False, allow_unicode=True, width=88
    )


def canonical_bytes(declaration: model.Declaration) -> bytes:
    """Return the canonical JSON encoding, over which digests are computed."""
    return canonical_json(to_plain(declaration))


def canonical_json(data: object) -> bytes:
    """Return the data as JSON with sorted keys and without spaces."""
    return json.dumps(
        data, sort_keys=True, separators=(",", ":"), allow_nan=False
    ).encode("ascii")


def digest(declaration: model.Declaration) -> str:
    """Return the SHA-256 digest of the canonical bytes in hexadecimal."""
    return hashlib.sha256(canonical_bytes(declaration)).hexdigest()


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that reports duplicate keys, which PyYAML silently discards."""

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.faults: list[validation.Fault] = []

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        seen: set[str] = set()
        for key, _ in node.value:
            if not isinstance(key, yaml.ScalarNode):
                continue
            if key.value in seen:
                line = key.start_mark.line + 1
                self.faults.append(
                    validation.Fault(f"(line {line})", f"duplicate key {key.value!r}")
                )
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def _schema_faults(error: pydantic.ValidationError) -> tuple[validation.Fault, ...]:
    return tuple(
        validation.Fault(
            ".".join(str(part) for part in item["loc"]) or "(file)", item["msg"]
        )
        for item in error.errors(include_url=False, include_input=False)
    )
