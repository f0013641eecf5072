"""Reports of the interpreter and of libraries, logged as events.

They would go to standard error, where a write may fail or wait for a reader.
"""

from __future__ import annotations

import contextlib
import logging
import sys
import typing
from collections.abc import Iterator

from yuccapitch.node import tasks
from yuccapitch.protocol import events


class _EventHandler(logging.Handler):
    """Logs the records of libraries as events."""

    def emit(self, record: logging.LogRecord) -> None:
        events.event(
            "process.library-message",
            library=record.name,
            level_name=record.levelname,
            text=_format(record),
        )


@contextlib.contextmanager
def logged_as_events() -> Iterator[None]:
    """Log what libraries report, and errors that nothing catches, as events."""
    handler, root = _EventHandler(logging.WARNING), logging.getLogger()
    former_hook = sys.unraisablehook
    root.addHandler(handler)
    sys.unraisablehook = _log_unraisable
    try:
        yield
    finally:
        sys.unraisablehook = former_hook
        root.removeHandler(handler)


def _format(record: logging.LogRecord) -> str:
    try:
        text = record.getMessage()
    except Exception as error:
        # The arguments don't match the format.
        return f"{record.msg!r}: {error!r}"
    logged = record.exc_info[1] if record.exc_info else None
    return text if logged is None else f"{text}: {logged!r} {tasks.locate(logged)}"


def _log_unraisable(unraisable: typing.Any) -> None:
    error = unraisable.exc_value
    events.event(
        "process.callback-failed",
        message=unraisable.err_msg or f"ignored in {unraisable.object!r}",
        reason=repr(error),
        location="" if error is None else tasks.locate(error),
    )
