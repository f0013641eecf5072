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
