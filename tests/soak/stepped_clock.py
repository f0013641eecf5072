"""Runs an instance whose time of day is off by an offset that a file contains."""

from __future__ import annotations

import os
import pathlib
import runpy
import time
from collections.abc import Callable

NS_PER_S = 1_000_000_000


def offset_path(folder: pathlib.Path) -> pathlib.Path:
    """Return the file with the offset, in seconds, of an instance with this folder."""
    return folder / "clock-offset"


def _step(path: pathlib.Path) -> None:
    """Let the functions of ``time`` that return the time of day add the offset."""
    read_time_ns = time.time_ns
    read_clock_ns = time.clock_gettime_ns

    def time_ns() -> int:
        try:
            offset_s = float(path.read_text() or 0)
        except FileNotFoundError:
            offset_s = 0.0
        return read_time_ns() + round(offset_s * NS_PER_S)

    def clock_gettime_ns(clock_id: int) -> int:
        is_time_of_day = clock_id == time.CLOCK_REALTIME
        return time_ns() if is_time_of_day else read_clock_ns(clock_id)

    replacements: dict[str, Callable[..., float]] = {
        "time_ns": time_ns,
        "time": lambda: time_ns() / NS_PER_S,
        "clock_gettime_ns": clock_gettime_ns,
        "clock_gettime": lambda clock_id: clock_gettime_ns(clock_id) / NS_PER_S,
    }
    for name, replacement in replacements.items():
        setattr(time, name, replacement)


if __name__ == "__main__":
    _step(offset_path(pathlib.Path(os.environ["YUCCAPITCH_NODE_FILE"]).parent))
    runpy.run_module("yuccapitch.platform", run_name="__main__", alter_sys=True)
