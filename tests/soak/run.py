"""One run of the soak: a deployment, its callers, faults, and the end."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import functools
import pathlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine

import aiohttp

from tests.soak import (
    callers,
    deployment,
    endpoints,
    faults,
    history,
    network,
    operator,
)

ENDPOINTS_PER_SERVICE = 6
ENDPOINT_PORT = 8080
LONGEST_FAULT_S = 4.0
PROGRESS_S = 5.0
# Ends a run that does not recover; the promise is in seconds, machines differ.
RECOVERY_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a run is to be like."""

    seed: int
    seconds: float = 20.0
    controls: int = 5
    entries: int = 6
    callers: int = 12
    concurrent_faults: int = 3


@dataclasses.dataclass
class Report:
    """What a run injected and found."""

    seed: int
    faults_by_name: collections.Counter[str]
    checks_by_promise: collections.Counter[str]
    violations: list[history.Violation]
    served: int
    attempts: int


async def run(
    plan: Plan, folder: pathlib.Path, tell: Callable[[str], None] = lambda line: None
) -> Report:
    """Play one seed; the logs stay in the folder."""
    rng = random.Random(plan.seed)
    seen = history.History()
    injected: collections.Counter[str] = collections.Counter()
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        world = await _start_world(plan, folder, session, seen, rng, stack)
        caller = _start_observers(plan, world, seen, rng, stack)
        _spawn(_tell_progress(seen, injected, tell), stack)
        await _inject(world, plan, injected)
        await _recover(world, seen, caller, session)
        for ended in world.machines.own_ends:
            seen.check("no process ends by itself", False, ended)
    seen.checks_by_promise["no process ends by itself"] += plan.controls + plan.entries
    return Report(
        plan.seed,
        injected,
        seen.checks_by_promise,
        seen.violations,
        seen.served(),
        len(seen.attempts_by_id),
    )


async def _start_world(
    plan: Plan,
    folder: pathlib.Path,
    session: aiohttp.ClientSession,
    seen: history.History,
    rng: random.Random,
    stack: contextlib.AsyncExitStack,
) -> faults.World:
    """Start all processes and what stands around them, with a first configuration."""
    machines = deployment.Deployment(folder, plan.controls, plan.entries)
    stack.push_async_callback(machines.aclose)
    links = network.Network()
    stack.push_async_callback(links.aclose)
    for instance in machines.instances_by_name.values():
        await links.add(instance.instance_id, (instance.ip, deployment.BOUND_PORT))
    listed = await _start_endpoints(machines.endpoint_net, seen, rng, stack)
    platform = endpoints.PlatformList(listed)
    runner = await platform.start(machines.list_host, deployment.LIST_PORT)
    stack.push_async_callback(runner.cleanup)
    orders = operator.Operator(session, machines.of_role("control"), seen, rng)
    _spawn(machines.supervise(), stack)
    await _until(lambda: orders.put(5.0), "the first configuration is taken")
    return faults.World(machines, links, listed, platform, orders, rng)


def _start_observers(
    plan: Plan,
    world: faults.World,
    seen: history.History,
    rng: random.Random,
    stack: contextlib.AsyncExitStack,
) -> callers.Caller:
    """Start the callers and all that watches; return one of the callers."""
    controls = world.machines.of_role("control")
    zones = list(deployment.ZONES)
    crowd = [
        callers.Caller(n, zones[n % len(zones)], controls, seen, rng)
        for n in range(plan.callers)
    ]
    for caller in crowd:
        _spawn(caller.run(), stack)
    for entry in world.machines.of_role("entry"):
        _spawn(callers.Prober(entry, world.orders, seen).run(), stack)
    _spawn(_read_often(world.orders, world.machines, rng), stack)
    return crowd[0]


async def _start_endpoints(
    net: str,
    seen: history.History,
    rng: random.Random,
    stack: contextlib.AsyncExitStack,
) -> list[endpoints.Endpoint]:
    listed = []
    zones = list(deployment.ZONES)
    for index in range(ENDPOINTS_PER_SERVICE * len(operator.SERVICES)):
        service = operator.SERVICES[index % len(operator.SERVICES)]
        zone = zones[(index // len(operator.SERVICES)) % len(zones)]
        host = f"{net}.{index + 1}"
        endpoint = endpoints.Endpoint(
            f"i-{index}", service, zone, host, ENDPOINT_PORT, seen, rng
        )
        await endpoint.start()
        stack.push_async_callback(endpoint.stop)
        listed.append(endpoint)
    return listed


async def _inject(
    world: faults.World, plan: Plan, injected: collections.Counter[str]
) -> None:
    """Inject faults in series that overlap, until the time is over."""
    end_at = time.monotonic() + plan.seconds
    under_way: set[asyncio.Task[None]] = set()
    names = sorted(faults.FAULTS_BY_NAME)
    while time.monotonic() < end_at:
        if len(under_way) < plan.concurrent_faults:
            name = world.rng.choice(names)
            for_s = LONGEST_FAULT_S * world.rng.random()
            injected[name] += 1
            fault = faults.FAULTS_BY_NAME[name](world, for_s)
            under_way.add(asyncio.ensure_future(fault))
        await asyncio.sleep(world.rng.random())
        for task in [task for task in under_way if task.done()]:
            under_way.discard(task)
            task.result()
    for task in under_way:
        await task
    world.links.heal()
    for instance in world.machines.instances_by_name.values():
        instance.send(signal.SIGCONT)


async def _recover(
    world: faults.World,
    seen: history.History,
    caller: callers.Caller,
    session: aiohttp.ClientSession,
) -> None:
    """Wait for what must be so after the last fault, and check what was kept."""
    orders, controls = world.orders, world.machines.of_role("control")

    async def reads_back() -> bool:
        revisions = [await orders.read(control) for control in controls]
        newest = orders.acknowledged_revision
        return all(r is not None and r >= newest for r in revisions)

    async def serves(path: str) -> bool:
        addresses = [
            f"{entry.ip}:{deployment.CALLERS_PORT}"
            for entry in world.machines.of_role("entry")
        ]
        statuses = [await caller.send(session, a, path) for a in addresses]
        return all(status == 200 for status in statuses)

    holds = await _reached(reads_back)
    seen.check("what was acknowledged is kept", holds, "not read back everywhere")
    for path in callers.KINDS_BY_PATH:
        holds = await _reached(functools.partial(serves, path))
        seen.check("service comes back", holds, f"{path} is not served everywhere")
    holds = await _reached(lambda: orders.put(1.0))
    seen.check("service comes back", holds, "no order is taken")


async def _reached(check: Callable[[], Awaitable[bool]]) -> bool:
    try:
        await _until(check, "a check at the end")
    except TimeoutError:
        return False
    return True


async def _until(check: Callable[[], Awaitable[bool]], what: str) -> None:
    try:
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while not await check():
                await asyncio.sleep(0.2)
    except TimeoutError:
        raise TimeoutError(f"not reached in {RECOVERY_TIMEOUT_S} s: {what}") from None


async def _read_often(
    orders: operator.Operator, machines: deployment.Deployment, rng: random.Random
) -> None:
    while True:
        await asyncio.sleep(0.2)
        await orders.read(rng.choice(machines.of_role("control")))


async def _tell_progress(
    seen: history.History,
    injected: collections.Counter[str],
    tell: Callable[[str], None],
) -> None:
    while True:
        await asyncio.sleep(PROGRESS_S)
        tell(
            f"{injected.total()} faults, {len(seen.attempts_by_id)} attempts,"
            f" {seen.served()} served, {seen.checks_by_promise.total()} checks,"
            f" {len(seen.violations)} broken"
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
