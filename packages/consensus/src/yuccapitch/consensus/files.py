"""File operations whose effect survives a crash."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import pathlib
from collections.abc import Iterator
from typing import BinaryIO

LOCK_NAME = "lock"
_TEMPORARY_SUFFIX = ".tmp"
_NO_SPACE_ERRORS = {errno.ENOSPC, errno.EDQUOT, errno.EFBIG}


class NoSpaceError(OSError):
    """The disk, a quota or a limit leaves no space; the write can be tried again.

    What was synced before is intact. A sync that fails for lack of space is another
    error, as the contents of the disk are unknown after it.
    """


@contextlib.contextmanager
def detecting_no_space() -> Iterator[None]:
    """Turn errors for lack of space into ``NoSpaceError``."""
    try:
        yield
    except OSError as error:
        if error.errno not in _NO_SPACE_ERRORS:
            raise
        raise NoSpaceError(error.errno, error.strerror) from error


def write(file: BinaryIO, data: bytes | bytearray) -> None:
    """Write to a buffered file; close it after an error, without what is buffered."""
    try:
        with detecting_no_space():
            file.write(data)
            file.flush()
    except NoSpaceError:
        # Closing the file itself would write the rest, and fail again.
        file.raw.close()  # type: ignore[attr-defined]
        raise


@contextlib.contextmanager
def lock(folder: pathlib.Path) -> Iterator[None]:
    """Lock the folder; raise BlockingIOError if another process holds the lock."""
    with open(folder / LOCK_NAME, "ab") as file:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        yield


def create_folder(folder: pathlib.Path) -> None:
    """Create the folder and its missing parents; their names survive a crash."""
    missing = [path for path in (folder, *folder.parents) if not path.is_dir()]
    for path in reversed(missing):
        path.mkdir(exist_ok=True)
        sync_folder(path.parent)
    if not missing:
        # The process that created it may have been killed before it synced the name.
        sync_folder(folder.parent)


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replace a file atomically: after a crash it holds the old bytes or the new."""
    temporary = path.with_name(path.name + _TEMPORARY_SUFFIX)
    try:
        with detecting_no_space():
            file = open(temporary, "wb")
        with file:
            write(file, data)
            os.fsync(file.fileno())
        with detecting_no_space():
            os.replace(temporary, path)
    except NoSpaceError:
        temporary.unlink(missing_ok=True)
        raise
    sync_folder(path.parent)


def remove_temporary_files(folder: pathlib.Path) -> None:
    """Remove temporary files that an interrupted ``replace_file`` left behind."""
    for path in folder.glob("*" + _TEMPORARY_SUFFIX):
        path.unlink()


def sync_folder(folder: pathlib.Path) -> None:
    """Sync the folder, so that created, renamed and deleted names survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
