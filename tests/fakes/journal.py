"""A fake endpoint's journal: what it truly did, one JSON line an entry."""

from __future__ import annotations

import dataclasses
import enum
import json
import pathlib
import time
import typing


class Step(enum.Enum):
    """What happened to a request at the endpoint."""

    SHED = "shed"
    INCOMPLETE = "incomplete"
    """The request's body did not arrive whole; it did not run."""
    BEGIN = "begin"
    """The request runs: it arrived whole and holds a slot."""
    END = "end"
    """The work is done and the answer is being sent."""
    CANCEL = "cancel"
    """The caller went away before the work was done."""


@dataclasses.dataclass(frozen=True)
class Entry:
    """One line of a journal."""

    step: Step
    endpoint: str
    key: str
    method: str
    path: str
    body_sha256: str
    timeout_ms: str
    """The deadline header as it arrived."""
    state: str
    in_flight: int
    monotonic_s: float
    unix_s: float


class Journal:
    """Keeps entries and, given a path, appends them to its file."""

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self.entries: list[Entry] = []
        self._file = path.open("a") if path is not None else None

    def add(self, step: Step, **fields: typing.Any) -> None:
        """Add an entry with the present time."""
        entry = Entry(
            step=step, monotonic_s=time.monotonic(), unix_s=time.time(), **fields
        )
        self.entries.append(entry)
        if self._file is not None:
            line = dataclasses.asdict(entry) | {"step": step.value}
            # Flushed line by line: the process may be killed at any moment.
            self._file.write(json.dumps(line) + "\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


def read(path: pathlib.Path) -> list[Entry]:
    """Return the entries of a journal's file; a torn last line is left out."""
    entries = []
    for line in path.read_text().splitlines(keepends=True):
        if line.endswith("\n"):
            fields = json.loads(line)
            entries.append(Entry(**fields | {"step": Step(fields["step"])}))
    return entries
