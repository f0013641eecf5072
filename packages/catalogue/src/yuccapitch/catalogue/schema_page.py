"""The schema of declarations as Markdown, for docs/reference/catalogue.md.

Run `python -m yuccapitch.catalogue.schema_page PAGE` to update the page.
"""

from __future__ import annotations

import enum
import pathlib
import sys
import typing
from collections.abc import Iterator
from typing import Any

import pydantic
from pydantic import fields

from yuccapitch.catalogue import model

BEGIN = "<!-- schema: begin -->"
END = "<!-- schema: end -->"


def render() -> str:
    """Return the tables of all models in a declaration."""
    parts = [_render_model("Declaration", model.Declaration)]
    parts.extend(
        _render_model(kind.__name__, kind) for kind in _nested_models(model.Declaration)
    )
    return "\n".join(parts)


def replace_between_markers(page: str, begin: str, end: str, text: str) -> str:
    """Return the page with the content between two markers replaced by the text."""
    head, _, rest = page.partition(begin)
    _, _, tail = rest.partition(end)
    return f"{head}{begin}\n\n{text}\n{end}{tail}"


def main(path: str) -> None:
    """Write the schema into the page."""
    page = pathlib.Path(path)
    text = page.read_text(encoding="utf-8")
    page.write_text(
        replace_between_markers(text, BEGIN, END, render()), encoding="utf-8"
    )


def _render_model(title: str, kind: type[pydantic.BaseModel]) -> str:
    lines = [f"### {title}", "", (kind.__doc__ or "").strip(), ""]
    lines += ["| field | type | default | meaning |", "| --- | --- | --- | --- |"]
    for name, field in kind.model_fields.items():
        row = (
            f"`{field.alias or name}`",
            _format_type(field.annotation) + _format_bounds(field),
            _format_default(field),
            field.description or "",
        )
        lines.append(f"| {' | '.join(row)} |")
    return "\n".join(lines) + "\n"


def _nested_models(
    kind: type[pydantic.BaseModel],
) -> Iterator[type[pydantic.BaseModel]]:
    seen: set[type] = set()
    pending = [field.annotation for field in kind.model_fields.values()]
    while pending:
        annotation = pending.pop(0)
        pending[:0] = typing.get_args(annotation)
        if not isinstance(annotation, type) or annotation in seen:
            continue
        seen.add(annotation)
        if issubclass(annotation, pydantic.BaseModel):
            yield annotation
            pending[:0] = [item.annotation for item in annotation.model_fields.values()]


def _format_type(annotation: Any) -> str:
    arguments = typing.get_args(annotation)
    origin = typing.get_origin(annotation)
    if origin is dict:
        return (
            f"mapping of {_format_type(arguments[0])} to {_format_type(arguments[1])}"
        )
    if origin is tuple:
        return f"list of {_format_type(arguments[0])}"
    if arguments:
        named = [item for item in arguments if item is not type(None)]
        return " or ".join(_format_type(item) for item in named)
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return ", ".join(f"`{item.value}`" for item in annotation)
    names = {str: "text", int: "whole number", float: "number"}
    return names.get(annotation, getattr(annotation, "__name__", str(annotation)))


def _format_bounds(field: fields.FieldInfo) -> str:
    comparisons = {"gt": "above", "ge": "at least", "lt": "below", "le": "at most"}
    texts = [
        f"{text} {getattr(item, constraint)}"
        for item in field.metadata
        for constraint, text in comparisons.items()
        if getattr(item, constraint, None) is not None
    ]
    return f", {', '.join(texts)}" if texts else ""


def _format_default(field: fields.FieldInfo) -> str:
    if field.is_required():
        return "required"
    value = field.get_default(call_default_factory=True)
    if value is None or value in ((), {}, ""):
        return "none"
    if isinstance(value, tuple):
        return ", ".join(f"`{item.value}`" for item in value)
    return f"`{value.value if isinstance(value, enum.Enum) else value}`"


if __name__ == "__main__":
    main(sys.argv[1])
