"""Scenarios: what is loaded, what fails, and what is measured."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from bench.steering import designs, slot_designs, world as world_module
from yuccapitch.catalogue import ids, model

WARM_UP_S = 2.0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A disturbance under a load."""

    name: str
    load: float = 0.8
    duration_s: float = 10.0
    report_delay_s: float = 0.1
    shape: float = 4.0
    fault_at: float = 0.0
    patient_s: float | None = None
    endpoint_queue: int = 4
    """Requests that an endpoint queues for each slot before it sheds."""
    fault: Callable[[world_module.World, object], None] | None = None


@dataclasses.dataclass(frozen=True)
class Figures:
    """What a run measured."""

    impatient_p50_ms: float
    impatient_p99_ms: float
    patient_p50_ms: float
    patient_p99_ms: float
    goodput: float
    patient_goodput: float
    passes: int
    """Arrivals at an endpoint whose slots were all in use."""
    remote_part: float
    """Requests that needed an inner message."""
    goodput_by_second: tuple[float, ...]


def run(
    setting: world_module.Setting, spec: designs.Spec, scenario: Scenario, seed: int
) -> Figures:
    """Run one design under one scenario."""
    if scenario.patient_s is not None:
        setting = dataclasses.replace(setting, patient_s=scenario.patient_s)
    world = world_module.World(setting, seed, scenario.shape)
    for endpoint in world.endpoints:
        endpoint.queue_limit = scenario.endpoint_queue * endpoint.slots
    make = slot_designs.Slotted if spec.kind == "slots" else designs.Unshared
    design = make(world, spec, scenario.report_delay_s)
    _schedule_arrivals(world, design, scenario)
    if scenario.fault is not None:
        world.at(scenario.fault_at, scenario.fault, world, design)
    # Arrivals have ended by then; what still waits is served or expires.
    world.run(scenario.duration_s + setting.patient_deadline_s)
    return _figures(world, design.remote)


def lost_entry(world: world_module.World, design: object) -> None:
    """Let the first entry that owns most be lost."""
    entry = world.entries[0]
    if isinstance(design, slot_designs.Slotted):
        owner = design.owners_by_endpoint[world.endpoints[0].endpoint_id]
        design.lose_entry(world.entries_by_id[owner])
    else:
        entry.alive = False


def lost_region(world: world_module.World, design: object) -> None:
    """Let the first region be lost with all that runs there."""
    region = ids.RegionId(world_module.REGIONS[0])
    for endpoint in world.endpoints:
        if endpoint.place.region == region:
            endpoint.alive = False
    for entry in world.entries:
        if entry.place.region == region:
            entry.alive = False
            if isinstance(design, slot_designs.Slotted):
                design.lose_links(entry.instance_id)


def dip(world: world_module.World, design: object) -> None:
    """Halve the capacity for five seconds."""
    world.capacity_factor = 0.5
    world.after(5.0, setattr, world, "capacity_factor", 1.0)


def slow(world: world_module.World, design: object) -> None:
    """Make one endpoint four times slower."""
    world.endpoints[0].slow_factor = 4.0


def broken(world: world_module.World, design: object) -> None:
    """Let one endpoint fail each request at once."""
    world.endpoints[0].broken = True


def shedding(world: world_module.World, design: object) -> None:
    """Let one endpoint accept one request at a time and shed the others."""
    world.endpoints[0].shed_above = 1


def cold(world: world_module.World, design: object) -> None:
    """Empty the cache of one endpoint."""
    world.endpoints[0].cold_left = world_module.COLD_REQUESTS


def false_reports(world: world_module.World, design: object) -> None:
    """Let one slow endpoint claim that it is idle."""
    world.endpoints[0].false_reports = True
    world.endpoints[0].slow_factor = 2.0


def _schedule_arrivals(
    world: world_module.World, design: object, scenario: Scenario
) -> None:
    setting = world.setting
    for region in world_module.REGIONS:
        slots = sum(e.slots for e in world.endpoints if e.place.region == region)
        rate = scenario.load * slots / setting.mean_s
        world.after(
            world.rng.expovariate(rate), _arrive, world, design, region, rate, scenario
        )


def _arrive(
    world: world_module.World,
    design: object,
    region: ids.RegionId,
    rate: float,
    scenario: Scenario,
) -> None:
    setting = world.setting
    patient = world.rng.random() < setting.patient_part
    patience = model.Patience.PATIENT if patient else model.Patience.IMPATIENT
    limit_s = setting.patient_deadline_s if patient else setting.impatient_deadline_s
    request = world_module.Request(
        len(world.requests),
        region,
        patience,
        world.now,
        world.now + limit_s,
        world.demand(patience),
    )
    world.requests.append(request)
    design.submit(request)
    if world.now < scenario.duration_s:
        world.after(
            world.rng.expovariate(rate), _arrive, world, design, region, rate, scenario
        )


def _figures(world: world_module.World, remote: int) -> Figures:
    latencies: dict[model.Patience, list[float]] = {p: [] for p in model.Patience}
    impatient_by_second: dict[int, list[bool]] = {}
    for request in world.requests:
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
    setting = world.setting
    return Figures(
        _quantile_ms(impatient, 0.5),
        _quantile_ms(impatient, 0.99),
        _quantile_ms(patient, 0.5),
        _quantile_ms(patient, 0.99),
        _below(impatient, setting.impatient_deadline_s),
        _below(patient, setting.patient_deadline_s),
        sum(endpoint.passes for endpoint in world.endpoints),
        remote / max(1, len(world.requests)),
        tuple(sum(ends) / len(ends) for _, ends in sorted(impatient_by_second.items())),
    )


def _quantile_ms(values: list[float], part: float) -> float:
    if not values:
        return math.nan
    return 1000 * values[min(len(values) - 1, int(part * len(values)))]


def _below(values: list[float], limit: float) -> float:
    return sum(value < limit for value in values) / max(1, len(values))
