"""Runs the command line as `python -m yuccapitch.cli`."""

from __future__ import annotations

import sys

from yuccapitch.cli import main

sys.exit(main.run())
