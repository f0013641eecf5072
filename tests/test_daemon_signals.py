"""Signals that yuccapitchd receives while it starts, runs and ends."""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator

import pytest

from tests import processes

pytestmark = pytest.mark.processes

WAIT_S = 60.0
RUN = """
from yuccapitch.node import main
main.run()
"""
SIGNAL_WHILE_IMPORTING = """
import os, signal, sys

class Signaller:
    def find_spec(self, name, path=None, target=None):
        if name == "yuccapitch.node.daemon":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Signaller())
"""
SIGNAL_WHILE_STARTING = """
import os, signal
from yuccapitch.node import control_role

start = control_role.start

async def start_signalled(*arguments):
    os.kill(os.getpid(), signal.{name})
    return await start(*arguments)

control_role.start = start_signalled
"""
SIGNAL_WHILE_EXITING = """
import atexit, os, signal

atexit.register(os.kill, os.getpid(), signal.{name})
"""

Start = Callable[[str], subprocess.Popen[str]]


@pytest.fixture
def start(tmp_path: pathlib.Path) -> Iterator[Start]:
    """Yield a function that runs a script with the settings of a control instance."""
    started = []

    def start_script(script: str) -> subprocess.Popen[str]:
        settings = {
            "YUCCAPITCH_ROLE": "control",
            "YUCCAPITCH_HTTP_PORT": "0",
            "YUCCAPITCH_INNER_PORT": "0",
            "YUCCAPITCH_DATA_DIR": str(tmp_path),
        }
        process = subprocess.Popen(
            [sys.executable, "-c", script],
            env=processes.environment(settings),
            stderr=subprocess.PIPE,
            text=True,
        )
        started.append(process)
        return process

    yield start_script
    for process in started:
        process.kill()
        process.communicate()


def read_until(process: subprocess.Popen[str], event: str) -> None:
    """Read the log up to an event."""
    assert process.stderr is not None
    lines = []
    while line := process.stderr.readline():
        lines.append(line)
        if f"event={event} " in line:
            return
    code = process.wait(WAIT_S)
    raise AssertionError(f"exit code {code} without {event}: {''.join(lines)}")


# Guards against a SIGHUP that ends a process with all its requests.
def test_daemon_goes_on_after_a_hangup(start: Start) -> None:
    process = start(RUN)
    read_until(process, "process.started")
    process.send_signal(signal.SIGHUP)
    read_until(process, "settings.reload-ignored")
    process.send_signal(signal.SIGTERM)
    read_until(process, "process.stopped")
    assert process.wait(WAIT_S) == 0


# Guards against a SIGHUP that ends a process which still imports its modules.
def test_daemon_ignores_a_hangup_while_it_imports(start: Start) -> None:
    process = start(SIGNAL_WHILE_IMPORTING + RUN)
    read_until(process, "process.started")


# Guards against a signal that ends a process before it has handlers.
@pytest.mark.parametrize(
    "number", [signal.SIGTERM, signal.SIGINT], ids=lambda number: str(number.name)
)
def test_daemon_stops_as_planned_if_signalled_while_it_starts(
    start: Start, number: signal.Signals
) -> None:
    process = start(SIGNAL_WHILE_STARTING.format(name=number.name) + RUN)
    read_until(process, "process.stopped")
    assert process.wait(WAIT_S) == 0


def test_daemon_logs_a_hangup_while_it_starts(start: Start) -> None:
    process = start(SIGNAL_WHILE_STARTING.format(name="SIGHUP") + RUN)
    read_until(process, "settings.reload-ignored")
    process.send_signal(signal.SIGTERM)
    read_until(process, "process.stopped")
    assert process.wait(WAIT_S) == 0


# Guards against a repeated signal that makes a planned stop look like a crash.
@pytest.mark.parametrize(
    "number",
    [signal.SIGTERM, signal.SIGINT, signal.SIGHUP],
    ids=lambda number: str(number.name),
)
def test_daemon_keeps_its_exit_code_if_signalled_while_it_exits(
    start: Start, number: signal.Signals
) -> None:
    process = start(SIGNAL_WHILE_EXITING.format(name=number.name) + RUN)
    read_until(process, "process.started")
    process.send_signal(signal.SIGTERM)
    read_until(process, "process.stopped")
    assert process.wait(WAIT_S) == 0
