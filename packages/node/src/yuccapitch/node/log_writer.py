"""Writer of the log, which neither delays nor ends the instance.

A write to a file on a hung disk, or to a pipe that nobody reads, waits without end. The
writes are therefore done by a thread that decides nothing.
"""

from __future__ import annotations

import collections
import dataclasses
import errno
import os
import select
import threading

MAX_PENDING_BYTES = 1024 * 1024
MAX_WRITE_BYTES = 64 * 1024
RETRY_INTERVAL_S = 1.0
CLOSE_LIMIT_S = 1.0
"""Time for which the end of a process waits for its last lines to be written."""
FINAL_ERRORS = frozenset({errno.EBADF, errno.EPIPE})
"""Errors after which a descriptor never takes a line again."""
CLOSED = "closed"
"""Reason for which lines are lost without a standard error, or after the close."""
BUFFER_FULL = "buffer-full"
"""Reason for which lines are lost while earlier ones wait to be written."""


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
    """Writes text to a descriptor in the background.

    Lines that cannot be written are kept up to a limit and tried again.
    """

    def __init__(self, descriptor: int | None) -> None:
        """Initialize with a descriptor, or None if there is none to write to."""
        self._descriptor = descriptor
        self.losses = Losses()
        """What was lost since the start."""
        self._unreported = Losses()
        self._pending = bytearray()
        self._lost_reason = CLOSED if descriptor is None else None
        self._has_failed = False
        self._is_closing = False
        # A finalizer may write to the log while its own thread holds the lock.
        self._changed = threading.Condition(threading.RLock())
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        if descriptor is not None:
            self._thread.start()

    @property
    def is_writable(self) -> bool:
        """Whether a line is likely to be written soon."""
        with self._changed:
            is_open = self._lost_reason is None and not self._has_failed
            return is_open and len(self._pending) <= MAX_PENDING_BYTES // 2

    def write(self, text: str) -> None:
        """Write whole lines in the background."""
        data = text.encode(errors="backslashreplace")
        with self._changed:
            if self._lost_reason is not None:
                self._count_lost(self._lost_reason, data)
            elif len(self._pending) + len(data) > MAX_PENDING_BYTES:
                self._count_lost(BUFFER_FULL, data)
            else:
                self._pending += data
                self._changed.notify()

    def take_unreported(self) -> Losses:
        """Return what was lost since the last call."""
        with self._changed:
            unreported, self._unreported = self._unreported, Losses()
        return unreported

    def close(self) -> None:
        """Wait for a limited time until all lines are written; drop the others."""
        with self._changed:
            self._is_closing = True
            self._changed.notify()
        if self._descriptor is not None:
            self._thread.join(CLOSE_LIMIT_S)
        with self._changed:
            self._drop_pending(self._lost_reason or CLOSED)

    def _run(self) -> None:
        assert self._descriptor is not None
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._pending or self._is_closing)
                data = bytes(self._pending[:MAX_WRITE_BYTES])
            if not data:
                return
            try:
                written = _write_some(self._descriptor, data)
            except OSError as error:
                if not self._may_retry(error):
                    return
            else:
                with self._changed:
                    self._has_failed = False
                    del self._pending[:written]

    def _may_retry(self, error: OSError) -> bool:
        """Count a failed write; return whether to try again, once it is time to."""
        reason = errno.errorcode.get(error.errno or 0, type(error).__name__)
        with self._changed:
            self._has_failed = True
            for losses in (self.losses, self._unreported):
                losses.failed_writes_by_reason[reason] += 1
            if error.errno in FINAL_ERRORS or self._is_closing:
                self._drop_pending(reason)
                return False
            self._changed.wait_for(lambda: self._is_closing, RETRY_INTERVAL_S)
        return True

    def _drop_pending(self, reason: str) -> None:
        self._count_lost(reason, bytes(self._pending))
        self._pending.clear()
        self._lost_reason = reason

    def _count_lost(self, reason: str, data: bytes) -> None:
        lines = data.count(b"\n")
        if lines:
            for losses in (self.losses, self._unreported):
                losses.lost_lines_by_reason[reason] += lines


def _write_some(descriptor: int, data: bytes) -> int:
    """Write the start of the data, which may be empty; return its length."""
    try:
        return os.write(descriptor, data)
    except BlockingIOError:
        # Whoever shares the descriptor has made it non-blocking.
        select.select([], [descriptor], [], RETRY_INTERVAL_S)
        return 0
