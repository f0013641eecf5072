"""Scenarios of the steering experiment: load, faults and measured values."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from bench.steering import designs, simulation, slot_designs
from yuccapitch.catalogue import ids, model

WARM_UP_S = 2.0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A load and, optionally, a fault that is injected during the run."""

    name: str
    load: float = 0.8
    duration_s: float = 10.0
    report_delay_s: float = 0.1
    shape: float = 4.0
    fault_at: float = 0.0
    patient_s: float | None = None
    endpoint_queue: int = 4
    """Queued requests per slot above which an endpoint sheds."""
    fault: Callable[[simulation.Simulation, object], None] | None = None


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Measured values of one run."""

    impatient_p50_ms: float
    impatient_p99_ms: float
    patient_p50_ms: float
    patient_p99_ms: float
    goodput: float
    patient_goodput: float
    arrivals_over_slots: int
    """Arrivals at endpoints whose slots were all in use."""
    remote_fraction: float
    """Slot requests sent to another instance, per request."""
    goodput_by_second: tuple[float, ...]


def run(
    setting: simulation.Setting, spec: designs.DesignSpec, scenario: Scenario, seed: int
) -> RunResult:
    """Run one design under one scenario with a seed."""
    if scenario.patient_s is not None:
        setting = dataclasses.replace(setting, patient_s=scenario.patient_s)
    sim = simulation.Simulation(setting, seed, scenario.shape)
    for endpoint in sim.endpoints:
        endpoint.queue_limit = scenario.endpoint_queue * endpoint.slots
    design_class = (
        slot_designs.SlotDesign if spec.kind == "slots" else designs.UncoordinatedDesign
    )
    design = design_class(sim, spec, scenario.report_delay_s)
    _schedule_arrivals(sim, design, scenario)
    if scenario.fault is not None:
        sim.at(scenario.fault_at, scenario.fault, sim, design)
    # New arrivals have ended by then; waiting requests are served or expire.
    sim.run(scenario.duration_s + setting.patient_deadline_s)
    return _summarize(sim, design.remote)


def fail_first_owner(sim: simulation.Simulation, design: object) -> None:
    """Fail the entry instance that owns the first endpoint.

    In designs without owners, fail the first entry instance.
    """
    entry = sim.entries[0]
    if isinstance(design, slot_designs.SlotDesign):
        owner = design.owners_by_endpoint[sim.endpoints[0].endpoint_id]
        design.fail_entry(sim.entries_by_id[owner])
    else:
        entry.alive = False


def fail_first_region(sim: simulation.Simulation, design: object) -> None:
    """Fail all endpoints and entry instances of the first region."""
    region = ids.RegionId(simulation.REGIONS[0])
    for endpoint in sim.endpoints:
        if endpoint.location.region == region:
            endpoint.alive = False
    for entry in sim.entries:
        if entry.location.region == region:
            entry.alive = False
            if isinstance(design, slot_designs.SlotDesign):
                design.mark_links_lost(entry.instance_id)


def halve_capacity(sim: simulation.Simulation, design: object) -> None:
    """Halve the speed of all endpoints for five seconds."""
    sim.capacity_factor = 0.5
    sim.after(5.0, setattr, sim, "capacity_factor", 1.0)


def slow_first_endpoint(sim: simulation.Simulation, design: object) -> None:
    """Make one endpoint four times slower."""
    sim.endpoints[0].slow_factor = 4.0


def broken(sim: simulation.Simulation, design: object) -> None:
    """Make one endpoint fail every request immediately."""
    sim.endpoints[0].broken = True


def shedding(sim: simulation.Simulation, design: object) -> None:
    """Limit one endpoint to a single request at a time; it sheds all others."""
    sim.endpoints[0].max_accepted = 1


def cold(sim: simulation.Simulation, design: object) -> None:
    """Empty the cache of one endpoint."""
    sim.endpoints[0].cold_requests_left = simulation.COLD_REQUESTS


def false_reports(sim: simulation.Simulation, design: object) -> None:
    """Make one endpoint twice as slow and let it report that it is idle."""
    sim.endpoints[0].false_reports = True
    sim.endpoints[0].slow_factor = 2.0


def _schedule_arrivals(
    sim: simulation.Simulation, design: object, scenario: Scenario
) -> None:
    setting = sim.setting
    for region in simulation.REGIONS:
        slots = sum(e.slots for e in sim.endpoints if e.location.region == region)
        rate = scenario.load * slots / setting.mean_s
        sim.after(
            sim.rng.expovariate(rate), _arrive, sim, design, region, rate, scenario
        )


def _arrive(
    sim: simulation.Simulation,
    design: object,
    region: ids.RegionId,
    rate: float,
    scenario: Scenario,
) -> None:
    setting = sim.setting
    patient = sim.rng.random() < setting.patient_part
    patience = model.Patience.PATIENT if patient else model.Patience.IMPATIENT
    limit_s = setting.patient_deadline_s if patient else setting.impatient_deadline_s
    request = simulation.Request(
        len(sim.requests),
        region,
        patience,
        sim.now,
        sim.now + limit_s,
        sim.draw_service_s(patience),
    )
    sim.requests.append(request)
    design.submit(request)
    if sim.now < scenario.duration_s:
        sim.after(
            sim.rng.expovariate(rate), _arrive, sim, design, region, rate, scenario
        )


def _summarize(sim: simulation.Simulation, remote: int) -> RunResult:
    latencies: dict[model.Patience, list[float]] = {p: [] for p in model.Patience}
    impatient_by_second: dict[int, list[bool]] = {}
    for request in sim.requests:
        in_time = request.finished_at <= request.deadline
        if request.patience is model.Patience.IMPATIENT:
            second = int(request.sent_at)
            impatient_by_second.setdefault(second, []).append(in_time)
        limit_s = request.deadline - request.sent_at
        if request.sent_at < WARM_UP_S:
            continue
        latency = request.finished_at - request.sent_at if in_time else limit_s
        latencies[request.patience].append(latency)
    impatient = sorted(latencies[model.Patience.IMPATIENT])
    patient = sorted(latencies[model.Patience.PATIENT])
    setting = sim.setting
    return RunResult(
        _quantile_ms(impatient, 0.5),
        _quantile_ms(impatient, 0.99),
        _quantile_ms(patient, 0.5),
        _quantile_ms(patient, 0.99),
        _fraction_below(impatient, setting.impatient_deadline_s),
        _fraction_below(patient, setting.patient_deadline_s),
        sum(endpoint.arrivals_over_slots for endpoint in sim.endpoints),
        remote / max(1, len(sim.requests)),
        tuple(sum(ends) / len(ends) for _, ends in sorted(impatient_by_second.items())),
    )


def _quantile_ms(values: list[float], part: float) -> float:
    if not values:
        return math.nan
    return 1000 * values[min(len(values) - 1, int(part * len(values)))]


def _fraction_below(values: list[float], limit: float) -> float:
    return sum(value < limit for value in values) / max(1, len(values))
