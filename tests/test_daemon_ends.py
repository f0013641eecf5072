"""A yuccapitchd that ends by its own decision answers what it has taken."""

from __future__ import annotations

import pathlib
import signal

import pytest

from tests import single_process

pytestmark = pytest.mark.processes

WAIT_S = 60.0
FAILING_CALLBACK = """
import asyncio, signal
from yuccapitch.node import entry_role

start = entry_role.start

def fail():
    raise AssertionError("injected")

async def start_failing(*arguments):
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, fail)
    return await start(*arguments)

entry_role.start = start_failing
"""


def logged(deployment: single_process.Deployment, event: str) -> list[str]:
    """Return the lines of an event."""
    lines = deployment.process.log_path.read_text().splitlines()
    return [line for line in lines if f" event={event} " in line]


async def test_daemon_logs_an_error_in_a_callback_and_goes_on(
    tmp_path: pathlib.Path,
) -> None:
    async with single_process.running(tmp_path, prelude=FAILING_CALLBACK) as deployment:
        deployment.process.signal(signal.SIGUSR1)
        await deployment.wait_until(
            "the error is logged",
            lambda: bool(logged(deployment, "process.callback-failed")),
        )
        deployment.process.signal(signal.SIGTERM)
        assert await deployment.process.wait(WAIT_S) == 0
