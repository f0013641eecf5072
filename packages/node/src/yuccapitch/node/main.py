"""The yuccapitchd command."""

from __future__ import annotations

import os
import signal
import sys

STANDARD_DESCRIPTORS = (0, 1, 2)


def run() -> None:
    """Run the instance until it stops, and exit with its code."""
    # Ignore SIGHUP until its handler is installed; the imports below take long enough
    # for the signal to arrive before that and end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    _open_closed_descriptors()
    from yuccapitch.node import startup

    sys.exit(startup.run())


def _open_closed_descriptors() -> None:
    # Otherwise a file or connection that is opened later takes the place of a closed
    # standard stream, and receives what a library writes there.
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free descriptor is used.
            os.open(os.devnull, os.O_RDWR)
