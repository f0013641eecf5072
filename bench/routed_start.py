"""Measures processor time and memory of the routed roles until they have started.

Run after `sh deploy/build.sh`: `python -m bench.routed_start`.
"""

from __future__ import annotations

import os
import pathlib
import statistics
import subprocess
import sys
import tempfile

from tests.platform import test_process

ROOT = pathlib.Path(__file__).parents[1]
RUNS = 5
START_EVENTS_BY_ROLE = {"control": "process.started", "entry": "process.started"}
ENTRY_LISTEN_SETTINGS = (
    'front = "127.0.0.1:{front}"\nreadiness = "127.0.0.1:{readiness}"\n'
)


def main() -> None:
    """Print the median of several runs for each role."""
    print("role     processor ms  memory MB")
    for role, event in START_EVENTS_BY_ROLE.items():
        runs = [measure_start(role, event) for _ in range(RUNS)]
        processor_ms = statistics.median(run[0] for run in runs)
        memory_mb = statistics.median(run[1] for run in runs)
        print(f"{role:8} {processor_ms:12.0f} {memory_mb:10.1f}")


def measure_start(role: str, event: str) -> tuple[float, float]:
    """Return processor time in ms and memory in MB once the role logs the event."""
    with tempfile.TemporaryDirectory() as folder:
        path = test_process.write_settings(pathlib.Path(folder))
        if role == "entry":
            ports = {n: test_process.routed.free_port() for n in ("front", "readiness")}
            text = path.read_text().replace(
                "[listen]\n", "[listen]\n" + ENTRY_LISTEN_SETTINGS.format(**ports)
            )
            path.write_text(text)
        environment = {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "YUCCAPITCH_NODE_FILE": str(path),
        }
        with subprocess.Popen(
            [sys.executable, "-S", "-m", "yuccapitch.platform", role],
            env=environment,
            stdout=subprocess.PIPE,
            text=True,
        ) as process:
            assert process.stdout is not None
            for line in process.stdout:
                if f"event={event} " in line:
                    break
            usage = read_usage(process.pid)
            process.terminate()
            process.stdout.read()
    return usage


def read_usage(pid: int) -> tuple[float, float]:
    """Return processor time in ms and resident memory in MB of a process."""
    # The command name may contain spaces; split only the fields after it.
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    return (
        1000 * ticks / os.sysconf("SC_CLK_TCK"),
        pages * os.sysconf("SC_PAGE_SIZE") / 2**20,
    )


if __name__ == "__main__":
    main()
