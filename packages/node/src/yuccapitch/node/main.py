"""The yuccapitchd command."""

from __future__ import annotations

import signal
import sys


def run() -> None:
    """Run the instance until it stops, and exit with its code."""
    # Ignore SIGHUP until its handler is installed; the imports below take long enough
    # for the signal to arrive before that and end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from yuccapitch.node import startup

    sys.exit(startup.run())
