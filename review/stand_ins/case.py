"""Frame of a case: record, exit code and time limit."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time
import traceback

BROKEN, HELD, NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of ``record.txt``, with the time since the start of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self._started_at:8.3f} s  {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)

    def detail(self, at: float, text: str) -> None:
        """Write a line to the file only; ``at`` is on the monotonic clock."""
        print(f"{at - self._started_at:8.3f} s  {text}", file=self._file)

    def requests(self, all_sent: list, upstreams: list) -> None:
        """Write what was sent and answered, and what ran, in the order of time."""
        lines = []
        for s in all_sent:
            again = "" if s.is_final else ", sent again"
            text = f"{s.kind} {s.attempt} sent to {s.entry}"
            lines.append((s.sent_at, text))
            lines.append((s.ended_at, f"{s.kind} {s.attempt} ends: {s.outcome}{again}"))
        for u in upstreams:
            lines += [(at, f"{attempt} reaches {u.id}") for at, attempt in u.arrivals]
            for attempt, times in u.runs.items():
                lines += [(at, f"{attempt} runs at {u.id}") for at in times]
            lines += [(at, f"{a} has run at {u.id}") for a, at in u.ends.items()]
        for at, text in sorted(lines):
            self.detail(at, text)


def main(folder: str, play, limit_s: float = 115.0) -> None:
    """Run ``play(record)`` and exit with its code."""
    record = Record(pathlib.Path(folder))
    record(f"TROUBLE={int(TROUBLE)}")

    async def limited() -> int:
        async with asyncio.timeout(limit_s):
            return await play(record)

    try:
        code = asyncio.run(limited())
    except BaseException:
        record("the case could not run: " + traceback.format_exc())
        code = NOT_RUN
    record(f"exit code {code}")
    sys.exit(code)
