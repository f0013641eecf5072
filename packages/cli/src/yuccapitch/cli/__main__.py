"""Runs the command line as `python -m yuccapitch.cli`."""

from __future__ import annotations

from yuccapitch.cli import main

main.run()
