"""One run of the soak test: deployment, clients, faults and recovery."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import functools
import itertools
import pathlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine

import aiohttp

from tests.soak import (
    callers,
    clients,
    deployment,
    endpoints,
    faults,
    history,
    load,
    losses,
    memory,
    network,
    operator,
    pipelining,
    site,
)

ENDPOINT_PORT = 8080
# Clients with large uploads, the first of their numbers, and the pause of each.
LARGE_UPLOADERS, LARGE_UPLOADER_NUMBER, LARGE_UPLOAD_PAUSE_S = 4, 1_000_000, 0.4
MAX_FAULT_S = 4.0
PROGRESS_INTERVAL_S = 5.0
# Ends a run that does not recover. Recovery is guaranteed within seconds, but the
# speed of test machines varies.
RECOVERY_TIMEOUT_S = 60.0
MEMORY = "processes stay within their memory limit"


@dataclasses.dataclass(frozen=True)
class Plan:
    """The parameters of a run."""

    seed: int
    seconds: float = 20.0
    controls: int = 5
    entries: int = 6
    callers: int = 12
    concurrent_faults: int = 3
    checks_rate_limits: bool = False
    """Whether limits are checked; instances that are killed or cut off are excused."""
    fault_names: tuple[str, ...] = tuple(sorted(faults.FAULTS_BY_NAME))
    clinging_callers: int = len(site.SMALL.clinging_ways)
    """Clients of each entry that keep coming to it while it is being stopped."""
    idle_callers: int = 0
    """More of those that pause about as long as a connection may be idle."""
    more_routes: int = 0
    """Routes that nobody requests, which make changes long to apply."""
    load: load.Load = load.Load()
    """Load beside the instances; it is no disruption."""
    site: site.Site = site.SMALL
    memory_limit_mb: float = deployment.MEMORY_LIMIT_MB
    """Memory above which an instance is killed, as the platform does."""


@dataclasses.dataclass
class Report:
    """The injected faults and the results of the checks."""

    seed: int
    faults_by_name: collections.Counter[str]
    checks_by_guarantee: collections.Counter[str]
    violations: list[history.Violation]
    served: int
    attempts: int
    max_lag_s: float
    """Longest time by which the event loop of the clients was late."""
    peak_mb_by_role: dict[str, float]
    """Most memory that a process of each role used, in MB."""


async def run(
    plan: Plan,
    folder: pathlib.Path,
    report_progress: Callable[[str], None] = lambda line: None,
) -> Report:
    """Run one seed; the logs stay in the folder."""
    rng = random.Random(plan.seed)
    observations = history.History()
    fault_counts: collections.Counter[str] = collections.Counter()
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        monitor = clients.LoopMonitor()
        _spawn(monitor.run(), stack)
        context = await _start_system(plan, folder, session, observations, rng, stack)
        watcher = memory.Watcher(
            context.cluster.instances_by_name.values(), plan.memory_limit_mb
        )
        _spawn(watcher.run(), stack)
        caller = _start_observers(plan, context, observations, rng, monitor, stack)
        _spawn(_report_progress(observations, fault_counts, report_progress), stack)
        async with plan.load.running():
            await _inject(context, plan, fault_counts)
        pool = await stack.enter_async_context(clients.Pool(monitor))
        await _recover(context, observations, caller, pool)
        surroundings = losses.Surroundings(
            context.cluster.of_role("entry"),
            context.cluster.of_role("control"),
            context.config_operator.changes,
            context.link_disruptions,
        )
        losses.check(observations, surroundings)
        for ended in context.cluster.unexpected_exits:
            observations.check("processes do not exit unexpectedly", False, ended)
        for ended in watcher.ends:
            observations.check(MEMORY, False, ended)
    for guarantee in ("processes do not exit unexpectedly", MEMORY):
        observations.checks_by_guarantee[guarantee] += plan.controls + plan.entries
    return Report(
        plan.seed,
        fault_counts,
        observations.checks_by_guarantee,
        observations.violations,
        observations.served(),
        len(observations.attempts_by_id),
        monitor.max_lag_s,
        dict(watcher.peak_mb_by_role),
    )


async def _start_system(
    plan: Plan,
    folder: pathlib.Path,
    session: aiohttp.ClientSession,
    observations: history.History,
    rng: random.Random,
    stack: contextlib.AsyncExitStack,
) -> faults.FaultContext:
    """Start all processes and their environment, and put a first configuration."""
    cluster = deployment.Deployment(
        folder,
        plan.controls,
        plan.entries,
        plan.load,
        plan.site,
        plan.memory_limit_mb,
    )
    stack.push_async_callback(cluster.aclose)
    links = network.Network()
    stack.push_async_callback(links.aclose)
    for instance in cluster.instances_by_name.values():
        instance.can_step_clock = faults.step_clock.__name__ in plan.fault_names
        await links.add(instance.instance_id, (instance.ip, deployment.PROCESS_PORT))
    endpoint_list = await _start_endpoints(
        plan.site, cluster.endpoint_net, observations, rng, stack
    )
    for endpoint in endpoint_list:
        endpoint.checks_rate_limit = plan.checks_rate_limits
    platform = endpoints.PlatformList(endpoint_list)
    runner = await platform.start(cluster.list_host, deployment.LIST_PORT)
    stack.push_async_callback(runner.cleanup)
    config_operator = operator.Operator(
        session, cluster.of_role("control"), observations, rng, plan.more_routes
    )
    _spawn(cluster.supervise(), stack)
    await _wait_until(
        lambda: config_operator.put_configuration(5.0),
        "the first configuration is accepted",
    )
    return faults.FaultContext(
        cluster, links, endpoint_list, platform, config_operator, rng
    )


def _start_observers(
    plan: Plan,
    context: faults.FaultContext,
    observations: history.History,
    rng: random.Random,
    monitor: clients.LoopMonitor,
    stack: contextlib.AsyncExitStack,
) -> callers.Caller:
    """Start the clients, probers and reads; return one of the clients."""
    controls = context.cluster.of_role("control")
    zones = list(plan.site.regions_by_zone)
    all_callers = [
        callers.Caller(n, zones[n % len(zones)], controls, observations, rng, monitor)
        for n in range(plan.callers)
    ]
    for caller in all_callers:
        _spawn(caller.run(), stack)
    pipelining_rng = random.Random(plan.seed)
    for entry in context.cluster.of_role("entry"):
        prober = callers.Prober(entry, context.config_operator, observations, monitor)
        _spawn(prober.run(), stack)
        pipelining_caller = pipelining.PipeliningCaller(
            entry, observations, pipelining_rng, monitor
        )
        _spawn(pipelining_caller.run(), stack)
    _start_clinging_callers(plan, context, observations, monitor, stack)
    if faults.break_off.__name__ in plan.fault_names:
        _start_large_uploads(plan, context, observations, monitor, stack)
    _spawn(_poll_configuration(context.config_operator, context.cluster, rng), stack)
    return all_callers[0]


def _start_clinging_callers(
    plan: Plan,
    context: faults.FaultContext,
    observations: history.History,
    monitor: clients.LoopMonitor,
    stack: contextlib.AsyncExitStack,
) -> None:
    """Start clients that keep coming to an entry while it is being stopped."""
    rng = random.Random(plan.seed)
    numbers = itertools.count(plan.callers)
    all_ways = plan.site.clinging_ways
    ways = [all_ways[n % len(all_ways)] for n in range(plan.clinging_callers)]
    ways += [all_ways[-1]] * plan.idle_callers
    for entry in context.cluster.of_role("entry"):
        for keeps, pause_s in ways:
            caller = callers.Caller(
                next(numbers),
                entry.zone,
                context.cluster.of_role("control"),
                observations,
                rng,
                monitor,
            )
            _spawn(caller.cling(entry, keeps, pause_s), stack)


def _start_large_uploads(
    plan: Plan,
    context: faults.FaultContext,
    observations: history.History,
    monitor: clients.LoopMonitor,
    stack: contextlib.AsyncExitStack,
) -> None:
    """Start a few clients whose uploads the kernel doesn't take at once.

    They load the event loop, so they send only while some uploads are broken off.
    """
    rng = random.Random(plan.seed)

    def is_due() -> bool:
        return any(e.is_broken_off and e.invalid_answers for e in context.endpoints)

    for number, zone in enumerate(list(plan.site.regions_by_zone)[:LARGE_UPLOADERS]):
        caller = callers.Caller(
            LARGE_UPLOADER_NUMBER + number,
            zone,
            context.cluster.of_role("control"),
            observations,
            rng,
            monitor,
            endpoints.LARGE_UPLOAD_BYTES,
        )
        _spawn(caller.upload(LARGE_UPLOAD_PAUSE_S, is_due), stack)


async def _start_endpoints(
    its_site: site.Site,
    net: str,
    observations: history.History,
    rng: random.Random,
    stack: contextlib.AsyncExitStack,
) -> list[endpoints.Endpoint]:
    endpoint_list = []
    zones = list(its_site.regions_by_zone)
    for index, service in enumerate(its_site.services):
        zone = zones[(index // len(operator.SERVICES)) % len(zones)]
        host = f"{net}.{index + 1}"
        endpoint = endpoints.Endpoint(
            f"i-{index}", service, zone, host, ENDPOINT_PORT, observations, rng,
            its_site,
        )  # fmt: skip
        await endpoint.start()
        stack.push_async_callback(endpoint.stop)
        endpoint_list.append(endpoint)
    return endpoint_list


async def _inject(
    context: faults.FaultContext, plan: Plan, fault_counts: collections.Counter[str]
) -> None:
    """Inject overlapping faults until the plan's time is over, then wait for them."""
    end_at = time.monotonic() + plan.seconds
    active: set[asyncio.Task[None]] = set()
    while time.monotonic() < end_at:
        if len(active) < plan.concurrent_faults:
            name = context.rng.choice(plan.fault_names)
            duration_s = MAX_FAULT_S * context.rng.random()
            fault_counts[name] += 1
            fault = faults.FAULTS_BY_NAME[name](context, duration_s)
            active.add(asyncio.ensure_future(fault))
        await asyncio.sleep(context.rng.random())
        for task in [task for task in active if task.done()]:
            active.discard(task)
            task.result()
    for task in active:
        await task
    context.links.heal()
    for instance in context.cluster.instances_by_name.values():
        instance.send_signal(signal.SIGCONT)
        instance.is_log_full = False


async def _recover(
    context: faults.FaultContext,
    observations: history.History,
    caller: callers.Caller,
    pool: clients.Pool,
) -> None:
    """Wait until service recovers; check that no acknowledged change is lost."""
    config_operator, controls = context.config_operator, context.cluster.of_role(
        "control"
    )

    async def is_read_back() -> bool:
        revisions = [await config_operator.read(control) for control in controls]
        newest = config_operator.acknowledged_revision
        return all(r is not None and r >= newest for r in revisions)

    async def serves(path: str) -> bool:
        addresses = [
            f"{entry.ip}:{deployment.CALLERS_PORT}"
            for entry in context.cluster.of_role("entry")
        ]
        statuses = [await caller.send(pool, a, path) for a in addresses]
        return all(status == 200 for status in statuses)

    holds = await _is_reached(is_read_back)
    observations.check(
        "acknowledged changes are durable", holds, "not read back everywhere"
    )
    for path in callers.KINDS_BY_PATH:
        holds = await _is_reached(functools.partial(serves, path))
        observations.check(
            "service recovers", holds, f"{path} is not served everywhere"
        )

    async def has_replaced_lost_data() -> bool:
        return context.has_replaced_lost_data()

    holds = await _is_reached(has_replaced_lost_data)
    observations.check(
        "the control instances that exist are the voters", holds, "others vote"
    )
    holds = await _is_reached(lambda: config_operator.put_configuration(1.0))
    observations.check("service recovers", holds, "no configuration is accepted")


async def _is_reached(check: Callable[[], Awaitable[bool]]) -> bool:
    try:
        await _wait_until(check, "a check after recovery")
    except TimeoutError:
        return False
    return True


async def _wait_until(check: Callable[[], Awaitable[bool]], description: str) -> None:
    try:
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while not await check():
                await asyncio.sleep(0.2)
    except TimeoutError:
        raise TimeoutError(
            f"not reached in {RECOVERY_TIMEOUT_S} s: {description}"
        ) from None


async def _poll_configuration(
    config_operator: operator.Operator,
    cluster: deployment.Deployment,
    rng: random.Random,
) -> None:
    while True:
        await asyncio.sleep(0.2)
        await config_operator.read(rng.choice(cluster.of_role("control")))


async def _report_progress(
    observations: history.History,
    fault_counts: collections.Counter[str],
    report_progress: Callable[[str], None],
) -> None:
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        report_progress(
            f"{fault_counts.total()} faults,"
            f" {len(observations.attempts_by_id)} attempts,"
            f" {observations.served()} served,"
            f" {observations.checks_by_guarantee.total()} checks,"
            f" {len(observations.violations)} violations"
        )


def _spawn(
    coroutine: Coroutine[object, object, None], stack: contextlib.AsyncExitStack
) -> None:
    task = asyncio.ensure_future(coroutine)

    async def end() -> None:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    stack.push_async_callback(end)
