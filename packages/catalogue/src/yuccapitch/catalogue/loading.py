"""Reading declarations: YAML to model with all faults, canonical bytes and digest."""

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
    """A declaration that cannot be used, with every fault found in it."""

    faults: tuple[validation.Fault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)


def load_yaml(text: str) -> result.Result[model.Declaration, LoadError]:
    """Return the declaration written in YAML, or all its faults."""
    loader = _UniqueKeyLoader(text)
    try:
        data = loader.get_single_data()
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return result.Err(
            LoadError((validation.Fault("(file)", f"not YAML: {error}"),))
        )
    finally:
        loader.dispose()
    return load_object(data, tuple(loader.faults))


def load_object(
    data: object, found: tuple[validation.Fault, ...] = ()
) -> result.Result[model.Declaration, LoadError]:
    """Return the declaration held in plain data, or all its faults."""
    if not isinstance(data, Mapping):
        message = "a declaration is a mapping of sections such as 'owners'"
        return result.Err(LoadError((*found, validation.Fault("(file)", message))))
    try:
        declaration = model.Declaration.model_validate(data)
    except pydantic.ValidationError as error:
        return result.Err(LoadError((*found, *_schema_faults(error))))
    faults = (*found, *validation.validate(declaration))
    if faults:
        return result.Err(LoadError(faults))
    return result.Ok(declaration)


def to_plain(declaration: model.Declaration) -> dict[str, Any]:
    """Return the declaration as plain data without values that equal the default.

    Defaults are left out so that a field added to the model later does not
    change the digest of declarations that do not use it.
    """
    return declaration.model_dump(mode="json", by_alias=True, exclude_defaults=True)


def to_yaml(declaration: model.Declaration) -> str:
    """Return the declaration as YAML text."""
    return yaml.safe_dump(
        to_plain(declaration), sort_keys=False, allow_unicode=True, width=88
    )


def canonical_bytes(declaration: model.Declaration) -> bytes:
    """Return the one JSON encoding of the declaration that digests are taken of."""
    return canonical_json(to_plain(declaration))


def canonical_json(data: object) -> bytes:
    """Return JSON with sorted keys and without spaces."""
    return json.dumps(
        data, sort_keys=True, separators=(",", ":"), allow_nan=False
    ).encode("ascii")


def digest(declaration: model.Declaration) -> str:
    """Return the SHA-256 of the canonical bytes, hexadecimal."""
    return hashlib.sha256(canonical_bytes(declaration)).hexdigest()


class _UniqueKeyLoader(yaml.SafeLoader):
    """A YAML loader that reports keys given twice, which YAML drops silently."""

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
                    validation.Fault(f"(line {line})", f"key {key.value!r} given twice")
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
