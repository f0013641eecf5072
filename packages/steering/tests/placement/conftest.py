from __future__ import annotations

import pathlib
import sys

# The builders stand beside the tests, which importlib mode does not put on the path.
sys.path.insert(0, str(pathlib.Path(__file__).parent))
