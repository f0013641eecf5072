from __future__ import annotations

import pathlib
import sys

# coordinator_harness.py is next to the tests, a directory that importlib mode does not
# put on the path.
sys.path.insert(0, str(pathlib.Path(__file__).parent))
