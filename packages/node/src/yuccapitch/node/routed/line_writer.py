"""Output of lines to a descriptor, from a bounded buffer and without waiting.

What only reports must neither end a process nor delay it. An error of a write leaves
the lines in the buffer, which is written again once the destination takes bytes.
"""

from __future__ import annotations

import contextlib
import dataclasses
import errno
import io
import os
import stat
import sys
import threading
import time
import typing
from collections.abc import Iterator

# Maximum buffered output while the destination takes none.
MAX_PENDING_BYTES = 256 * 1024
MAX_WRITE_BYTES = 64 * 1024
# Time after a failed write until the next one. A full file system may take long to
# refuse a write.
RETRY_INTERVAL_S = 0.5
# Usual wait for a disk that takes the last lines of a process.
LAST_WRITES_S = 0.1


@dataclasses.dataclass(frozen=True)
class WriteFailure:
    """Writes that failed until the destination took bytes again."""

    error: OSError
    lost_lines: int
    """Number of lines that did not fit into the buffer meanwhile."""

    @property
    def error_name(self) -> str:
        """Symbolic name of the error, such as ENOSPC."""
        return errno.errorcode.get(self.error.errno or 0, "unknown")


class LineWriter:
    """Writes to a pipe, a socket or a character device in non-blocking mode."""

    def __init__(self, descriptor: int | None) -> None:
        """Write to a descriptor, or count all lines as lost without one."""
        self._descriptor = descriptor
        # A finalizer may log at an allocation while its own thread holds the lock.
        self._lock = threading.RLock()
        self._pending = bytearray()
        self._last_error: OSError | None = None
        self._is_failing = False
        self._is_blocked = False
        self._retry_at = float("-inf")
        self._failed_lines = 0
        self.lost_lines = 0
        """Number of lines that did not fit into the buffer."""

    @property
    def is_failing(self) -> bool:
        """Whether the last write has failed."""
        return self._is_failing

    def append(self, line: bytes) -> bool:
        """Buffer a line; return False if the buffer is full."""
        with self._lock:
            if len(self._pending) <= MAX_PENDING_BYTES:
                self._pending += line
                return True
            self.lost_lines += 1
            self._failed_lines += self._is_failing
            return False

    def flush(self) -> None:
        """Write as much as the destination takes."""
        if self._is_failing and time.monotonic() < self._retry_at:
            return
        while self._write_once():
            pass

    def take_failure(self) -> WriteFailure | None:
        """Return, once, the failure from which the destination has recovered."""
        with self._lock:
            error = self._last_error
            if error is None or self._is_failing:
                return None
            failure = WriteFailure(error, self._failed_lines)
            self._last_error, self._failed_lines = None, 0
        return failure

    def close(self, max_wait_s: float = LAST_WRITES_S) -> None:
        """Write the last lines, without waiting for the destination."""
        self._retry_at = float("-inf")
        self.flush()

    def _write_once(self) -> bool:
        """Write once; return whether more can be written at once."""
        with self._lock:
            piece = bytes(self._pending[:MAX_WRITE_BYTES])
        if not piece:
            return False
        try:
            written = self._write(piece)
        except BlockingIOError:
            # The reader is slow; the next line or report retries the write.
            self._is_blocked = True
            return False
        except OSError as error:
            with self._lock:
                self._last_error, self._is_failing = error, True
                self._retry_at = time.monotonic() + RETRY_INTERVAL_S
            return False
        with self._lock:
            del self._pending[:written]
            self._is_failing = self._is_blocked = False
            return bool(self._pending)

    def _write(self, piece: bytes) -> int:
        if self._descriptor is None:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        return os.write(self._descriptor, piece)


class ThreadedLineWriter(LineWriter):
    """Writes in a thread, for what ignores the non-blocking mode or is without it."""

    def __init__(self, descriptor: int) -> None:
        """Start the thread; raise RuntimeError if there can't be another one."""
        super().__init__(descriptor)
        self._has_work = threading.Condition(self._lock)
        self._is_closing = threading.Event()
        # A daemon thread doesn't hold up the exit while it waits for the disk.
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def flush(self) -> None:
        """Let the thread write what is buffered."""
        with self._has_work:
            self._has_work.notify()

    def close(self, max_wait_s: float = LAST_WRITES_S) -> None:
        """Write the last lines unless the disk takes longer than ``max_wait_s``."""
        self._is_closing.set()
        self.flush()
        self._thread.join(max_wait_s)

    def _run(self) -> None:
        while not self._is_closing.is_set():
            with self._has_work:
                self._has_work.wait_for(self._needs_run)
            while self._write_once():
                pass
            if self._is_failing or self._is_blocked:
                self._is_closing.wait(RETRY_INTERVAL_S)
        # Lines that came while the thread was about to end.
        while self._write_once():
            pass

    def _needs_run(self) -> bool:
        return bool(self._pending) or self._is_closing.is_set()


def create(descriptor: int | None) -> LineWriter:
    """Return the writer for the kind of file that a descriptor refers to."""
    if descriptor is None:
        return LineWriter(None)
    try:
        is_regular = stat.S_ISREG(os.fstat(descriptor).st_mode)
    except OSError:
        # It is closed; whatever is opened with its number later is no log.
        return LineWriter(None)
    if is_regular:
        try:
            return ThreadedLineWriter(descriptor)
        except RuntimeError:
            # No thread can be started now.
            return LineWriter(descriptor)
    return LineWriter(descriptor)


def find_descriptor(stream: typing.TextIO | None) -> int | None:
    """Return the descriptor of a standard stream; None if it has none."""
    try:
        return None if stream is None else stream.fileno()
    except (OSError, ValueError):
        return None


def write_line(stream: typing.TextIO | None, line: str) -> None:
    """Write one line to a standard stream, waiting at most ``LAST_WRITES_S``."""
    descriptor = find_descriptor(stream)
    if descriptor is None:
        return
    try:
        # A pipe in blocking mode can hold up the caller as well.
        writer: LineWriter = ThreadedLineWriter(descriptor)
    except RuntimeError:
        return
    writer.append(line.encode(errors="backslashreplace") + b"\n")
    writer.close()


@contextlib.contextmanager
def standard_error_in_background() -> Iterator[None]:
    """Write what libraries and the interpreter report without waiting for its reader.

    asyncio, for example, logs to standard error from the event loop.
    """
    descriptor = find_descriptor(sys.stderr)
    if descriptor is None:
        yield
        return
    try:
        writer = ThreadedLineWriter(descriptor)
    except RuntimeError:
        yield
        return
    text = typing.cast(typing.TextIO, _BackgroundText(writer, descriptor))
    try:
        with contextlib.redirect_stderr(text):
            yield
    finally:
        writer.close()


class _BackgroundText(io.TextIOBase):
    """Text stream that writes through a line writer."""

    def __init__(self, writer: LineWriter, descriptor: int) -> None:
        super().__init__()
        self._writer = writer
        self._descriptor = descriptor

    def writable(self) -> bool:
        """Return that text can be written."""
        return True

    def fileno(self) -> int:
        """Return the descriptor of the stream that this one replaces."""
        return self._descriptor

    def write(self, text: str) -> int:
        """Write text, which may be a part of a line."""
        self._writer.append(text.encode(errors="backslashreplace"))
        self._writer.flush()
        return len(text)
