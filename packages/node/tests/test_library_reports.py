"""Tests of the events for reports of the interpreter and of libraries."""

from __future__ import annotations

import logging
import sys

from yuccapitch.node.routed import library_reports


class Broken:
    def __del__(self) -> None:
        raise ValueError("not freed")


# Guards against an event loop that waits for the reader of standard error.
def test_logged_as_events_logs_warnings_of_libraries(logged, capfd):
    with library_reports.logged_as_events():
        logging.getLogger("asyncio").warning("socket.send() raised exception.")
        logging.getLogger("asyncio").info("Using selector")
    [message] = logged
    assert message["library"] == "asyncio"
    assert message["text"] == "socket.send() raised exception."
    assert capfd.readouterr().err == ""


def test_emit_survives_arguments_that_do_not_match(logged):
    record = logging.LogRecord("other", logging.ERROR, "", 0, "%d", ("none",), None)
    library_reports._EventHandler(logging.WARNING).emit(record)
    assert "%d" in logged[0]["text"]


def test_logged_as_events_logs_errors_that_nothing_catches(logged, capfd):
    hook = sys.unraisablehook
    with library_reports.logged_as_events():
        Broken()
    assert sys.unraisablehook is hook
    [message] = logged
    assert "not freed" in message["reason"]
    assert capfd.readouterr().err == ""
