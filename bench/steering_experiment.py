"""Compares designs for sharing endpoint slots among entry instances.

Run from the root: `PYTHONPATH=.:$(echo packages/*/src | tr ' ' ':') python
bench/steering_experiment.py --service batch --seed 1`.
"""

from __future__ import annotations

import argparse
import multiprocessing
import re

from bench.steering import designs, scenarios, simulation

SPECS = (
    designs.DesignSpec("baseline", "baseline", "random"),
    designs.DesignSpec("power-of-two", "unshared", "power-of-two"),
    designs.DesignSpec("least-outstanding", "unshared", "least-outstanding"),
    designs.DesignSpec("endpoint/forward", owner_rule="endpoint", remote="forward"),
    designs.DesignSpec("endpoint/lend", owner_rule="endpoint"),
    designs.DesignSpec("region/lend", owner_rule="region"),
    designs.DesignSpec(
        "region/lend/unsteered", owner_rule="region", steer_entries=False
    ),
    designs.DesignSpec("region/forward", owner_rule="region", remote="forward"),
    designs.DesignSpec("domain/lend", owner_rule="domain"),
    designs.DesignSpec(
        "domain/lend/unsteered", owner_rule="domain", steer_entries=False
    ),
    designs.DesignSpec("domain/mixed", remote="mixed"),
    designs.DesignSpec("domain/mixed/unsteered", remote="mixed", steer_entries=False),
    designs.DesignSpec("domain/forward", remote="forward"),
    designs.DesignSpec("split/forward", owner_rule="split", remote="forward"),
    designs.DesignSpec(
        "domain/forward/unsteered", remote="forward", steer_entries=False
    ),
    designs.DesignSpec(
        "domain/forward/no-classes", remote="forward", use_patience_classes=False
    ),
    designs.DesignSpec(
        "domain/forward/no-recall", remote="forward", allow_preemption=False
    ),
    designs.DesignSpec(
        "domain/forward/no-overflow", remote="forward", allow_cross_region=False
    ),
    designs.DesignSpec(
        "domain/forward/no-deadlines", remote="forward", pass_deadlines=False
    ),
    designs.DesignSpec("domain/forward/no-limits", remote="forward", shed_limits=False),
    designs.DesignSpec(
        "domain/forward/no-doubt", remote="forward", detect_failures=False
    ),
    designs.DesignSpec(
        "power-of-two/no-budget", "unshared", "power-of-two", limit_retries=False
    ),
    designs.DesignSpec("domain/forward/lease 1 s", remote="forward", lease_s=1.0),
    designs.DesignSpec("domain/forward/proven", remote="forward", lease_s=0.2),
)
SCENARIOS = (
    scenarios.Scenario("steady 60%", load=0.6),
    scenarios.Scenario("steady 80%"),
    scenarios.Scenario("steady 80% exponential", shape=1.0),
    scenarios.Scenario("steady 90%", load=0.9),
    scenarios.Scenario("reports 1 s late", report_delay_s=1.0),
    scenarios.Scenario("reports 5 s late", report_delay_s=5.0),
    scenarios.Scenario("false reports", fault=scenarios.false_reports),
    scenarios.Scenario("slow endpoint", fault=scenarios.slow_first_endpoint),
    scenarios.Scenario("broken endpoint", fault=scenarios.broken, fault_at=3.0),
    scenarios.Scenario("shedding endpoint", fault=scenarios.shedding, fault_at=3.0),
    scenarios.Scenario("cold endpoint", fault=scenarios.cold, fault_at=3.0),
    scenarios.Scenario("lost entry", fault=scenarios.fail_first_owner, fault_at=3.0),
    scenarios.Scenario(
        "lost region 50%", 0.5, fault=scenarios.fail_first_region, fault_at=3
    ),
    scenarios.Scenario("long patient work", patient_s=0.6),
    scenarios.Scenario(
        "dip, unbounded endpoint queues",
        duration_s=20.0,
        fault=scenarios.halve_capacity,
        fault_at=3.0,
        endpoint_queue=1000,
    ),
    scenarios.Scenario(
        "dip", duration_s=20.0, fault=scenarios.halve_capacity, fault_at=3.0
    ),
)
LOADS = tuple(0.5 + 0.025 * step for step in range(53))
HEADING = (
    f"  {'design':26} {'imp p50':>8} {'p99 ms':>8} {'ratio':>6} {'pat p50':>8}"
    f" {'p99':>8} {'good':>7} {'pat good':>8} {'passes':>7} {'remote':>6}"
)


def main() -> None:
    """Run the selected designs and scenarios for a service and print the results."""
    args = _arguments()
    setting = simulation.SETTINGS_BY_NAME[args.service]
    specs = [s for s in SPECS if args.design is None or re.search(args.design, s.label)]
    if specs[0].kind != "baseline":
        specs = [SPECS[0], *specs]
    cases = [
        s
        for s in SCENARIOS
        if args.scenario is None or re.search(args.scenario, s.name)
    ]
    jobs = [(setting, spec, case, args.seed) for case in cases for spec in specs]
    print(f"service {args.service} seed {args.seed}: {setting}")
    with multiprocessing.Pool(args.processes) as workers:
        results = workers.starmap(scenarios.run, jobs, chunksize=1)
        _print_scenarios(jobs, results)
        if args.loads:
            maxima = workers.starmap(
                find_highest_load,
                [
                    (setting, s, args.seed, both)
                    for s in specs
                    for both in (False, True)
                ],
                chunksize=1,
            )
            _print_highest_loads(specs, maxima)


def find_highest_load(
    setting: simulation.Setting, spec: designs.DesignSpec, seed: int, all_classes: bool
) -> float:
    """Return the highest load at which p99 stays below the deadline.

    A bisection over LOADS finds it. Slot designs that exceed the slots of an endpoint
    get 0.
    """
    low, high = 0, len(LOADS)
    while low < high:
        middle = (low + high) // 2
        case = scenarios.Scenario("load", LOADS[middle], duration_s=8.0)
        result = scenarios.run(setting, spec, case, seed)
        if spec.kind == "slots" and result.arrivals_over_slots:
            return 0.0
        held = result.impatient_p99_ms < 1000 * setting.impatient_deadline_s
        if all_classes:
            held &= result.patient_p99_ms < 1000 * setting.patient_deadline_s
        if held:
            low = middle + 1
        else:
            high = middle
    return LOADS[low - 1] if low else 0.0


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--service", default="batch", choices=simulation.SETTINGS_BY_NAME
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--design", help="only designs whose label matches")
    parser.add_argument("--scenario", help="only scenarios whose name matches")
    parser.add_argument(
        "--loads", action="store_true", help="find the highest load of each design"
    )
    parser.add_argument("--processes", type=int, default=3)
    return parser.parse_args()


def _print_scenarios(jobs: list, results: list[scenarios.RunResult]) -> None:
    scenario_name = ""
    for (_, spec, case, _), f in zip(jobs, results, strict=True):
        if case.name != scenario_name:
            scenario_name = case.name
            print(f"\n{scenario_name}")
            print(HEADING)
        if spec.kind == "baseline":
            base = f
        print(
            f"  {spec.label:26} {f.impatient_p50_ms:8.1f} {f.impatient_p99_ms:8.1f}"
            f" {f.impatient_p99_ms / base.impatient_p99_ms:6.2f}"
            f" {f.patient_p50_ms:8.1f} {f.patient_p99_ms:8.1f}"
            f" {f.goodput:7.2%} {f.patient_goodput:8.2%} {f.arrivals_over_slots:7}"
            f" {f.remote_fraction:6.0%}"
        )
        if case.name.startswith(("dip", "lost entry")):
            seconds = " ".join(f"{part:.0%}" for part in f.goodput_by_second)
            print(f"    impatient goodput by second: {seconds}")


def _print_highest_loads(specs: list[designs.DesignSpec], maxima: list[float]) -> None:
    print("\nhighest load with p99 within the deadline")
    for number, spec in enumerate(specs):
        impatient, both = maxima[2 * number : 2 * number + 2]
        print(
            f"  {spec.label:26} impatient {impatient:6.1%} ratio"
            f" {impatient / max(maxima[0], 0.01):5.2f}, all classes {both:6.1%} ratio"
            f" {both / max(maxima[1], 0.01):5.2f}"
        )


if __name__ == "__main__":
    main()
