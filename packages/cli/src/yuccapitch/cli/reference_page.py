"""Renders commands and exit codes as Markdown for docs/reference/command-line.md.

Run `python -m yuccapitch.cli.reference_page PAGE` to update the page.
"""

from __future__ import annotations

import pathlib
import sys

from cleo.io.inputs import option as cleo_option

from yuccapitch.catalogue import schema_page
from yuccapitch.cli import exit_codes, main as command_line
from yuccapitch.cli.commands import base

BEGIN = "<!-- commands: begin -->"
END = "<!-- commands: end -->"


def render() -> str:
    """Return the Markdown of all commands with their options and the exit codes."""
    command_line.application()
    lines = ["## Commands", ""]
    for command_class in sorted(base.command_classes, key=lambda item: item.name or ""):
        lines += _render_command(command_class)
    lines += ["## Exit codes", "", "| code | name | meaning |", "| --- | --- | --- |"]
    for code, meaning in exit_codes.meanings_by_code.items():
        lines.append(f"| {code.value} | `{code.name}` | {meaning} |")
    return "\n".join(lines) + "\n"


def main(path: str) -> None:
    """Replace the generated part of the page."""
    page = pathlib.Path(path)
    text = page.read_text(encoding="utf-8")
    updated = schema_page.replace_between_markers(text, BEGIN, END, render())
    page.write_text(updated, encoding="utf-8")


def _render_command(command_class: type[base.BaseCommand]) -> list[str]:
    arguments = " ".join(
        item.name.upper() if item.is_required() else f"[{item.name.upper()}]"
        for item in command_class.arguments
    )
    heading = f"### `yuccapitch {command_class.name} {arguments}".rstrip() + "`"
    lines = [heading, "", command_class.description, ""]
    for item in command_class.arguments:
        lines.append(f"- `{item.name.upper()}`: {item.description}")
    lines += [
        f"- `{_render_option(item)}`: {item.description}"
        for item in command_class.options
    ]
    return [*lines, ""]


def _render_option(item: cleo_option.Option) -> str:
    text = f"--{item.name}" if item.is_flag() else f"--{item.name} {item.name.upper()}"
    return f"{text}, -{item.shortcut}" if item.shortcut else text


if __name__ == "__main__":
    main(sys.argv[1])
