"""Runs seeds of the soak test: ``python -m tests.soak --seeds 50``."""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import secrets
import signal
import sys
import tempfile
from collections.abc import Callable

from tests.soak import deployment, load, run, site

SITE_DEFAULTS = {"entries": 10, "callers": 24, "faults": 2, "clinging": 9}


def main() -> int:
    """Run the seeds and print a report for each; return 1 after a violation."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seed", type=int, action="append", help="run this seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of random seeds")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="duration of fault injection"
    )
    parser.add_argument("--controls", type=int, default=5)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--faults", type=int, default=3, help="concurrent faults")
    parser.add_argument(
        "--clinging", type=int, default=4, help="callers that cling to each entry"
    )
    parser.add_argument(
        "--idle", type=int, default=0, help="more of these, which are idle for long"
    )
    parser.add_argument(
        "--routes", type=int, default=0, help="more routes in each configuration"
    )
    parser.add_argument("--fault", action="append", help="inject only these faults")
    parser.add_argument(
        "--cores", type=_parse_cores, default=frozenset(), help="cores of all instances"
    )
    parser.add_argument(
        "--busy", type=int, default=0, help="busy processes on these cores"
    )
    parser.add_argument("--burst", type=float, default=0.6, help="s in which they run")
    parser.add_argument("--period", type=float, default=2.0, help="s from run to run")
    parser.add_argument(
        "--memory-mb",
        type=float,
        default=deployment.MEMORY_LIMIT_MB,
        help="memory above which an instance is killed",
    )
    parser.add_argument("--site", choices=site.SITES_BY_PROFILE, help="large site")
    parser.add_argument("--folder", type=pathlib.Path, help="folder for logs")
    if parser.parse_args().site:
        parser.set_defaults(**SITE_DEFAULTS)
    options = parser.parse_args()
    its_site = site.SITES_BY_PROFILE.get(options.site, site.SMALL)
    names = tuple(options.fault or its_site.faults)
    if options.site:
        names += site.PLANNED_FAULTS
    folder = options.folder or pathlib.Path(tempfile.mkdtemp(prefix="yuccapitch-soak-"))
    seeds = options.seed or [secrets.randbelow(10**9) for _ in range(options.seeds)]
    seeds_with_violations = 0
    for number, seed in enumerate(seeds, start=1):
        plan = run.Plan(
            seed,
            options.seconds,
            options.controls,
            options.entries,
            options.callers,
            options.faults,
            fault_names=names or run.Plan.fault_names,
            clinging_callers=options.clinging,
            idle_callers=options.idle,
            more_routes=options.routes,
            load=load.Load(options.cores, options.busy, options.period, options.burst),
            site=its_site,
            memory_limit_mb=options.memory_mb,
        )

        def report_progress(line: str, seed: int = seed, number: int = number) -> None:
            print(f"[{number}/{len(seeds)}] seed {seed}: {line}", file=sys.stderr)

        report = asyncio.run(
            _run_until_signal(plan, folder / str(seed), report_progress)
        )
        seeds_with_violations += bool(report.violations)
        print(
            json.dumps(
                {
                    "seed": seed,
                    "served": report.served,
                    "attempts": report.attempts,
                    "max lag of clients": round(report.max_lag_s, 3),
                    "peak MB": {
                        role: round(peak_mb)
                        for role, peak_mb in sorted(report.peak_mb_by_role.items())
                    },
                    "faults": dict(sorted(report.faults_by_name.items())),
                    "checks": dict(sorted(report.checks_by_guarantee.items())),
                    "broken": [f"{v.guarantee}: {v.detail}" for v in report.violations],
                }
            ),
            flush=True,
        )
    print(
        f"{len(seeds)} seeds, {seeds_with_violations} with violations; logs in {folder}"
    )
    return 1 if seeds_with_violations else 0


def _parse_cores(text: str) -> frozenset[int]:
    return frozenset(map(int, text.split(",")))


async def _run_until_signal(
    plan: run.Plan, folder: pathlib.Path, report_progress: Callable[[str], None]
) -> run.Report:
    """Run a plan; on SIGTERM, cancel it and end its processes."""
    task = asyncio.ensure_future(run.run(plan, folder, report_progress))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


if __name__ == "__main__":
    sys.exit(main())
