"""Writer of the log's lines that counts those it cannot write."""

from __future__ import annotations

import collections
import dataclasses
import errno
import os

CLOSED = "closed"
"""Reason for which lines are lost without a standard error."""


@dataclasses.dataclass
class Losses:
    """Failed writes and lost lines, by reason: the name of an error."""

    failed_writes_by_reason: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    lost_lines_by_reason: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class LogWriter:
    """Writes text to a descriptor; no error of the descriptor leaves it."""

    def __init__(self, descriptor: int | None) -> None:
        """Initialize with a descriptor, or None if there is none to write to."""
        self._descriptor = descriptor
        self.losses = Losses()
        """What was lost since the start."""
        self.is_writable = descriptor is not None
        """Whether the last write succeeded."""
        self._unreported = Losses()

    def write(self, text: str) -> None:
        """Write whole lines."""
        data = text.encode(errors="backslashreplace")
        if self._descriptor is None:
            self._count_lost(CLOSED, data)
            return
        while data:
            try:
                written = os.write(self._descriptor, data)
            except OSError as error:
                self.is_writable = False
                self._count_failure(error_name(error))
                self._count_lost(error_name(error), data)
                return
            self.is_writable = True
            data = data[written:]

    def take_unreported(self) -> Losses:
        """Return what was lost since the last call."""
        unreported, self._unreported = self._unreported, Losses()
        return unreported

    def _count_failure(self, reason: str) -> None:
        for losses in (self.losses, self._unreported):
            losses.failed_writes_by_reason[reason] += 1

    def _count_lost(self, reason: str, data: bytes) -> None:
        for losses in (self.losses, self._unreported):
            losses.lost_lines_by_reason[reason] += data.count(b"\n")


def error_name(error: OSError) -> str:
    """Return the name of a system error, such as ENOSPC."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)
