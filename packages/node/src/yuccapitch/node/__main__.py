"""Entry point for `python -m yuccapitch.node`, which runs yuccapitchd."""

from __future__ import annotations

from yuccapitch.node import main

main.run()
