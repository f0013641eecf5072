"""The journal of a fake endpoint: its actual actions, one JSON line per entry."""

from __future__ import annotations

import dataclasses
import enum
import json
import pathlib
import time
import typing


class Step(enum.Enum):
    """A step in the processing of a request by the endpoint."""

    SHED = "shed"
    INCOMPLETE = "incomplete"
    """The request body was truncated; the request was not executed."""
    BEGIN = "begin"
    """The request arrived completely, holds a slot and is being executed."""
    END = "end"
    """Execution is complete and the response is being sent."""
    CANCEL = "cancel"
    """The client disconnected before execution was complete."""


@dataclasses.dataclass(frozen=True)
class Entry:
    """One entry of a journal."""

    step: Step
    endpoint: str
    key: str
    method: str
    path: str
    body_sha256: str
    timeout_ms: str
    """The deadline header as received."""
    state: str
    in_flight: int
    monotonic_s: float
    unix_s: float


class Journal:
    """Entries in memory and, if a path is given, in a file."""

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self.entries: list[Entry] = []
        self._file = path.open("a") if path is not None else None

    def add(self, step: Step, **fields: typing.Any) -> None:
        """Add an entry with the current time."""
        entry = Entry(
            step=step, monotonic_s=time.monotonic(), unix_s=time.time(), **fields
        )
        self.entries.append(entry)
        if self._file is not None:
            line = dataclasses.asdict(entry) | {"step": step.value}
            # Flush each line, as the process can be killed at any time.
            self._file.write(json.dumps(line) + "\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


def read(path: pathlib.Path) -> list[Entry]:
    """Return the entries of a journal file, without an incomplete last line."""
    entries = []
    for line in path.read_text().splitlines(keepends=True):
        if line.endswith("\n"):
            fields = json.loads(line)
            entries.append(Entry(**fields | {"step": Step(fields["step"])}))
    return entries
