"""A yuccapitchd whose log cannot be written serves on and stops as planned."""

from __future__ import annotations

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing
import urllib.request
from collections.abc import Iterator

import pytest

from tests import ports, processes

pytestmark = pytest.mark.processes

WAIT_S = 30.0
POLL_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 5.0
FILL_BYTES = 4096
RUN = """
from yuccapitch.node import main
main.run()
"""
# As the interpreter does if its standard error is closed.
CLOSE_STDERR = """
import os, sys
os.close(2)
sys.stderr = None
"""
# A library logs an error outside the registry of events.
RUN_WITH_LIBRARY = """
import logging
from yuccapitch.node import control_role, main

start = control_role.start

async def start_logged(*arguments):
    logging.getLogger("library").error("a library reports")
    return await start(*arguments)

control_role.start = start_logged
main.run()
"""


class Daemon:
    """A control instance with a given standard error."""

    def __init__(
        self, folder: pathlib.Path, stderr: typing.IO[bytes] | int, script: str
    ) -> None:
        self._port, inner_port = ports.free_ports(2)
        settings = {
            "YUCCAPITCH_ROLE": "control",
            "YUCCAPITCH_HTTP_PORT": str(self._port),
            "YUCCAPITCH_INNER_PORT": str(inner_port),
            "YUCCAPITCH_DATA_DIR": str(folder),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-c", script],
            env=processes.environment(settings),
            stderr=stderr,
        )

    def get(self, path: str) -> str:
        """Return the text of a page, once it can be read."""
        deadline = time.monotonic() + WAIT_S
        while True:
            try:
                url = f"http://127.0.0.1:{self._port}{path}"
                with urllib.request.urlopen(url, timeout=REQUEST_TIMEOUT_S) as page:
                    return str(page.read().decode())
            except OSError:
                assert time.monotonic() < deadline, f"{path}: no response"
                assert self.process.poll() is None, "the process has ended"
                time.sleep(POLL_INTERVAL_S)

    def stop(self) -> int:
        """Stop the process as planned and return its exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT_S)


class Start(typing.Protocol):
    """Starts an instance with a standard error."""

    def __call__(self, stderr: typing.IO[bytes] | int, script: str = RUN) -> Daemon:
        """Start the script."""


@pytest.fixture
def start(tmp_path: pathlib.Path) -> Iterator[Start]:
    """Yield a function that starts an instance with a standard error."""
    started = []

    def start_daemon(stderr: typing.IO[bytes] | int, script: str = RUN) -> Daemon:
        daemon = Daemon(tmp_path, stderr, script)
        started.append(daemon)
        return daemon

    yield start_daemon
    for daemon in started:
        daemon.process.kill()
        daemon.process.wait()


@pytest.fixture
def full_pipe() -> Iterator[tuple[int, int]]:
    """Yield both ends of a pipe that takes nothing until it is read."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(write_end, bytes(FILL_BYTES))
    os.set_blocking(write_end, True)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


# Guards against a full log disk that changes the exit code of a planned stop.
def test_daemon_serves_and_stops_as_planned_with_a_full_log_disk(start: Start) -> None:
    with open("/dev/full", "wb") as full:
        daemon = start(full)
    assert daemon.get("/healthz") == "ok\n"
    assert 'yuccapitch_log_failed_writes{reason="ENOSPC"}' in daemon.get("/metrics")
    assert daemon.stop() == 0


# Guards against an event loop that waits for the reader of the log.
@pytest.mark.parametrize("script", [RUN, RUN_WITH_LIBRARY], ids=["own", "library"])
def test_daemon_serves_and_stops_as_planned_if_nobody_reads_its_log(
    start: Start, full_pipe: tuple[int, int], script: str
) -> None:
    daemon = start(full_pipe[1], script)
    assert daemon.get("/healthz") == "ok\n"
    assert daemon.stop() == 0


# Guards against a log whose reader is gone and that ends the instance.
def test_daemon_serves_and_stops_as_planned_if_the_reader_of_its_log_is_gone(
    start: Start,
) -> None:
    read_end, write_end = os.pipe()
    daemon = start(write_end)
    os.close(write_end)
    os.close(read_end)
    assert daemon.get("/healthz") == "ok\n"
    assert daemon.stop() == 0


# Guards against a file or connection that takes the place of a closed standard error.
def test_daemon_serves_and_stops_as_planned_without_a_standard_error(
    start: Start,
) -> None:
    daemon = start(subprocess.DEVNULL, CLOSE_STDERR + RUN)
    assert daemon.get("/healthz") == "ok\n"
    assert 'yuccapitch_log_lost_lines{reason="closed"}' in daemon.get("/metrics")
    descriptor = pathlib.Path(f"/proc/{daemon.process.pid}/fd/2")
    assert descriptor.readlink() == pathlib.Path(os.devnull)
    assert daemon.stop() == 0
