"""Reading of files of the process itself, whose size may be anything."""

from __future__ import annotations

import errno
import pathlib


def read(path: pathlib.Path, max_bytes: int) -> bytes:
    """Return the content of a file; raise ``OSError`` if it is larger."""
    with open(path, "rb") as file:
        content = file.read(max_bytes + 1)
    if len(content) > max_bytes:
        reason = f"larger than {max_bytes} bytes; check that it is the right file"
        raise OSError(errno.EFBIG, reason, str(path))
    return content
