"""Prints docs/reference/settings.md: `python -m yuccapitch.node.settings_page`."""

from __future__ import annotations

from yuccapitch.node import settings_table

_HEAD = """\
# Settings of yuccapitchd

Written by `python -m yuccapitch.node.settings_page` from the table in code.

Each setting is a flag with an environment variable. A flag goes before its variable;
an empty variable counts as not given. All settings are checked at the start: every
fault is printed, each with the flag, the variable and how to mend it, and the exit
code is 2.

| flag | variable | value | unit | default | meaning |
| --- | --- | --- | --- | --- | --- |
"""


def text() -> str:
    """Return the page."""
    return _HEAD + "".join(_line(row) for row in settings_table.rows())


def _line(row: settings_table.Row) -> str:
    default = f"`{row.default_text}`" if row.default_text else ""
    cells = (
        f"`{row.flag}`",
        f"`{row.variable}`",
        row.value_description,
        row.unit,
        default,
        row.help_text,
    )
    return "| " + " | ".join(cells) + " |\n"


if __name__ == "__main__":
    print(text(), end="")
