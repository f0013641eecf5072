"""Startup of yuccapitchd: settings, logs and the event loop."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback

from yuccapitch.node import daemon, logs, settings
from yuccapitch.protocol import events


def run() -> int:
    """Read the settings, run the instance until it stops, and return its exit code."""
    daemon_settings = settings.load(sys.argv[1:], os.environ)
    # The interpreter has no sys.stderr if it was started without a standard error.
    descriptor = None if sys.stderr is None else sys.stderr.fileno()
    with logs.write_to(
        descriptor, daemon_settings.instance_id, daemon_settings.log_level
    ) as log:
        for name in settings.unknown_variables(os.environ):
            events.event("settings.unknown-variable", variable=name)
        try:
            return asyncio.run(daemon.run(daemon_settings, log))
        except Exception:
            # The interpreter would print it directly and wait for the log's reader.
            traceback.print_exc()
            return daemon.EXIT_FAILED
