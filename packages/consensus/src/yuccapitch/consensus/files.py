"""File operations whose effect survives a crash."""

from __future__ import annotations

import contextlib
import fcntl
import os
import pathlib
from collections.abc import Iterator

LOCK_NAME = "lock"
_TEMPORARY_SUFFIX = ".tmp"


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
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
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
