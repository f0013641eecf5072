"""The yuccapitchd command."""

from __future__ import annotations

import asyncio
import os
import sys

from yuccapitch.node import daemon, logs, settings
from yuccapitch.protocol import events


def run() -> None:
    """Read the settings, run the instance until it stops, and exit with its code."""
    daemon_settings = settings.load(sys.argv[1:], os.environ)
    with logs.write_to(
        sys.stderr, daemon_settings.instance_id, daemon_settings.log_level
    ):
        for name in settings.unknown_variables(os.environ):
            events.event("settings.unknown-variable", variable=name)
        code = asyncio.run(daemon.run(daemon_settings))
    sys.exit(code)
