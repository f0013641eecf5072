"""Tests of the packages that the platform's roles import."""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
# Heavy dependencies of the daemon and the command line that routed roles must not
# import.
EXCLUDED_PACKAGES = (
    "pydantic",
    "aiohttp",
    "cryptography",
    "opentelemetry",
    "cleo",
    "reactivex",
)
SCRIPT = """
import sys
import yuccapitch.platform.startup
import yuccapitch.node.routed.control_node
import yuccapitch.node.routed.entry_node
print(*sorted({name.partition(".")[0] for name in sys.modules}))
"""


def imported_packages() -> set[str]:
    """Return the top-level modules of a process that imports both roles."""
    sources = [*ROOT.glob("packages/*/src"), ROOT / "platform" / "src"]
    packages = next(p for p in sys.path if p.endswith("site-packages"))
    paths = ":".join(map(str, [*sources, packages]))
    completed = subprocess.run(
        [sys.executable, "-S", "-c", SCRIPT],
        env={"PYTHONPATH": paths},
        capture_output=True,
        text=True,
        check=True,
    )
    return set(completed.stdout.split())


def test_routed_roles_import_no_excluded_package():
    assert imported_packages().isdisjoint(EXCLUDED_PACKAGES)


def test_build_installs_only_pinned_packages():
    names = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    installed = {name for name in names if name and not name.startswith("#")}
    pins = (ROOT / "constraints.txt").read_text()
    pinned = set(re.findall(r"^([\w.-]+)==", pins, re.MULTILINE))
    assert installed <= pinned
