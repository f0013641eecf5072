"""Runs yuccapitchd as `python -m yuccapitch.node`."""

from __future__ import annotations

from yuccapitch.node import main

main.run()
