"""Results of commands: reports and errors, as text and as data."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Sequence
from typing import Any

from yuccapitch.cli import exit_codes


@dataclasses.dataclass(frozen=True)
class Report:
    """Result of a successful command, as text and as data for JSON output."""

    text: str
    data: Any
    exit_code: exit_codes.ExitCode = exit_codes.ExitCode.OK


@dataclasses.dataclass(frozen=True)
class CommandError:
    """Reason why a command failed, and the suggested next step."""

    exit_code: exit_codes.ExitCode
    message: str
    next_step: str = ""
    details: tuple[str, ...] = ()
    data: Any = None

    def to_text(self) -> str:
        """Return the error as text."""
        lines = [f"error: {self.message}", *(f"  {line}" for line in self.details)]
        if self.next_step:
            lines.append(f"next: {self.next_step}")
        return "\n".join(lines)

    def to_data(self) -> dict[str, Any]:
        """Return the error as data for JSON output."""
        return {
            "error": self.exit_code.name.lower().replace("_", "-"),
            "message": self.message,
            "next_step": self.next_step,
            "details": list(self.details),
            "data": self.data,
        }


def usage_error(message: str, next_step: str = "", *details: str) -> CommandError:
    """Return an error for invalid arguments or files."""
    return CommandError(exit_codes.ExitCode.USAGE, message, next_step, details)


def to_json(data: Any) -> str:
    """Return the data as indented JSON."""
    return json.dumps(data, indent=2, ensure_ascii=False)


def table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Format a table with columns as wide as their longest cell."""
    cells = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
