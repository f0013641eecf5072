"""Faults injected from outside the processes; each is undone after its duration."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator

from tests.soak import deployment, endpoints, invalid_answers, network, operator


class FaultContext:
    """The deployment and its environment, which faults act on."""

    def __init__(
        self,
        cluster: deployment.Deployment,
        links: network.Network,
        endpoint_list: list[endpoints.Endpoint],
        platform: endpoints.PlatformList,
        config_operator: operator.Operator,
        rng: random.Random,
    ) -> None:
        self.cluster = cluster
        self.links = links
        self.endpoints = endpoint_list
        self.platform = platform
        self.config_operator = config_operator
        self.rng = rng
        self.link_disruptions: list[tuple[float, float]] = []
        """Starts and ends of faults of the links between instances."""
        self._log_sizes_at_loss: dict[str, int] | None = None
        self._reserved: list[endpoints.Endpoint] = []

    def sample_instances(self, role: str, count: int) -> list[deployment.Instance]:
        """Return a random sample of instances of a role."""
        instances = self.cluster.of_role(role)
        return self.rng.sample(instances, min(count, len(instances)))

    def has_replaced_lost_data(self) -> bool:
        """Whether the group has made up for the last loss of data."""
        sizes = self._log_sizes_at_loss
        return sizes is None or self.cluster.has_replaced_lost_data(sizes)

    def try_lose_data(self) -> bool:
        """Record a loss of data if the group tolerates one; return whether it does."""
        if not self.has_replaced_lost_data():
            return False
        self._log_sizes_at_loss = self.cluster.log_sizes()
        return True

    @contextlib.contextmanager
    def reserve_endpoints(self, fraction: float) -> Iterator[list[endpoints.Endpoint]]:
        """Reserve random endpoints that no other running fault uses."""
        free = [e for e in self.endpoints if e not in self._reserved]
        count = min(len(free), max(2, round(fraction * len(self.endpoints))))
        chosen = self.rng.sample(free, count)
        self._reserved += chosen
        try:
            yield chosen
        finally:
            for endpoint in chosen:
                self._reserved.remove(endpoint)


# Of how many requests one is answered invalidly, and for how long at least.
INVALID_INTERVALS = (1, 2, 3, 5)
MIN_INVALID_S = 2.0
# A few deadlines, so that what is kept of requests that were given up adds up.
MIN_ENDLESS_S = 3 * operator.ROUTE_TIMEOUT_S
CLOCK_STEPS_S = (-600.0, -2.4, 2.4, 600.0)

Fault = Callable[[FaultContext, float], Awaitable[None]]
FAULTS_BY_NAME: dict[str, Fault] = {}


def _register_fault(fault: Fault) -> Fault:
    FAULTS_BY_NAME[fault.__name__] = fault
    return fault


@contextlib.contextmanager
def _disrupting_links(context: FaultContext) -> Iterator[None]:
    started_at = time.monotonic()
    try:
        yield
    finally:
        context.link_disruptions.append((started_at, time.monotonic()))


@_register_fault
async def kill_entries(context: FaultContext, duration_s: float) -> None:
    for instance in context.sample_instances("entry", 2):
        instance.send_signal(signal.SIGKILL)


@_register_fault
async def kill_controls(context: FaultContext, duration_s: float) -> None:
    for instance in context.sample_instances("control", context.rng.randrange(1, 3)):
        instance.send_signal(signal.SIGKILL)


@_register_fault
async def kill_all_controls(context: FaultContext, duration_s: float) -> None:
    for instance in context.cluster.of_role("control"):
        instance.send_signal(signal.SIGKILL)


@_register_fault
async def kill_everything(context: FaultContext, duration_s: float) -> None:
    for instance in context.cluster.instances_by_name.values():
        instance.send_signal(signal.SIGKILL)


@_register_fault
async def kill_with_torn_write(context: FaultContext, duration_s: float) -> None:
    """Kill a control instance and leave an incomplete record at the end of its log."""
    instance = context.sample_instances("control", 1)[0]
    instance.should_run = False
    await instance.kill()
    instance.append_torn_record(context.rng)
    instance.should_run = True


@_register_fault
async def lose_disk(context: FaultContext, duration_s: float) -> None:
    if context.try_lose_data():
        instance = context.sample_instances("control", 1)[0]
        instance.should_run = False
        await instance.kill()
        instance.delete_data()
        instance.should_run = True


@_register_fault
async def replace_control(context: FaultContext, duration_s: float) -> None:
    """Replace a control instance by an empty one at another address."""
    if not context.try_lose_data():
        return
    instance, *others = context.sample_instances("control", 4)
    instance.should_run = False
    await instance.kill()
    seeds = [f"{other.ip}:{deployment.CONTROL_PORT}" for other in others]
    instance.move(context.cluster.next_control_ip(), seeds)
    await context.links.add(
        instance.instance_id, (instance.ip, deployment.PROCESS_PORT)
    )
    await asyncio.sleep(duration_s / 2)
    instance.should_run = True


@_register_fault
async def kill_everything_and_lose_a_disk(
    context: FaultContext, duration_s: float
) -> None:
    if context.try_lose_data():
        instance = context.sample_instances("control", 1)[0]
        instance.should_run = False
        await kill_everything(context, duration_s)
        await instance.kill()
        instance.delete_data()
        instance.should_run = True


@_register_fault
async def suspend(context: FaultContext, duration_s: float) -> None:
    chosen = [
        *context.sample_instances("control", 1),
        *context.sample_instances("entry", 1),
    ]
    for instance in chosen:
        instance.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    for instance in chosen:
        instance.send_signal(signal.SIGCONT)


@_register_fault
async def stop_in_turn(context: FaultContext, duration_s: float) -> None:
    """Stop up to three entry instances one after another."""
    for instance in context.sample_instances("entry", 3):
        instance.send_signal(signal.SIGTERM)
        await asyncio.sleep(duration_s / 3)


@_register_fault
async def stop_in_series(context: FaultContext, duration_s: float) -> None:
    """Stop most entry instances shortly one after another, some between reloads."""
    entries = context.cluster.of_role("entry")
    for instance in context.sample_instances("entry", max(1, 2 * len(entries) // 3)):
        if context.rng.random() < 0.3:
            instance.write_settings()
            instance.send_signal(signal.SIGHUP)
        instance.send_signal(signal.SIGTERM)
        await asyncio.sleep(duration_s * context.rng.random() / 4)
        if context.rng.random() < 0.3:
            instance.send_signal(context.rng.choice((signal.SIGTERM, signal.SIGHUP)))


@_register_fault
async def change_in_series(context: FaultContext, duration_s: float) -> None:
    """Change the configuration repeatedly while instances reload their settings."""
    end_at = time.monotonic() + duration_s
    while time.monotonic() < end_at:
        await asyncio.gather(
            reload(context, 0.0), context.config_operator.put_configuration(2.0)
        )
        await asyncio.sleep(0.5 * context.rng.random())


@_register_fault
async def stop_beside_held_requests(context: FaultContext, duration_s: float) -> None:
    """Stop entry instances with requests that take longer than the stop."""
    with context.reserve_endpoints(0.3) as chosen:
        for endpoint in chosen:
            endpoint.held_fraction = 0.5
        await asyncio.sleep(1.0)
        await stop_in_turn(context, duration_s)
        for endpoint in chosen:
            endpoint.held_fraction = 0.0


@_register_fault
async def stop_beside_silent_links(context: FaultContext, duration_s: float) -> None:
    """Stop entry instances and change routes while most links are silent for good."""
    with _disrupting_links(context):
        for connection in context.links.connections():
            if context.rng.random() < 0.7:
                connection.is_stalled = True
    await asyncio.gather(
        change_routes(context, duration_s), stop_in_turn(context, duration_s)
    )


@_register_fault
async def stop_control(context: FaultContext, duration_s: float) -> None:
    context.sample_instances("control", 1)[0].send_signal(signal.SIGTERM)


@_register_fault
async def reload(context: FaultContext, duration_s: float) -> None:
    seeds = [
        f"{i.ip}:{deployment.CONTROL_PORT}"
        for i in context.sample_instances("control", 3)
    ]
    for instance in context.cluster.instances_by_name.values():
        instance.seeds = seeds
        instance.write_settings()
        if context.rng.random() < 0.7:
            instance.send_signal(signal.SIGHUP)


@_register_fault
async def cut_off_control(context: FaultContext, duration_s: float) -> None:
    instance = context.sample_instances("control", 1)[0]
    others = [i for i in context.links.ids() if i != instance.instance_id]
    pairs = {(instance.instance_id, other) for other in others}
    if context.rng.random() < 0.5:
        # Otherwise the block is one-way: the instance still receives bytes.
        pairs |= {(other, instance.instance_id) for other in others}
    await _block_pairs(context, pairs, duration_s)


@_register_fault
async def cut_off_entry(context: FaultContext, duration_s: float) -> None:
    instance = context.sample_instances("entry", 1)[0]
    others = [i for i in context.links.ids() if i != instance.instance_id]
    pairs = {(other, instance.instance_id) for other in others}
    pairs |= {(instance.instance_id, other) for other in others}
    await _block_pairs(context, pairs, duration_s)


@_register_fault
async def split_controls(context: FaultContext, duration_s: float) -> None:
    ids = [i.instance_id for i in context.cluster.of_role("control")]
    context.rng.shuffle(ids)
    half, rest = ids[: len(ids) // 2], ids[len(ids) // 2 :]
    pairs = {(a, b) for a in half for b in rest} | {(b, a) for a in half for b in rest}
    await _block_pairs(context, pairs, duration_s)


@_register_fault
async def reset_links(context: FaultContext, duration_s: float) -> None:
    with _disrupting_links(context):
        for connection in context.links.connections():
            if context.rng.random() < 0.5:
                connection.reset()


@_register_fault
async def silence_links(context: FaultContext, duration_s: float) -> None:
    """Stall random connections permanently, without closing them."""
    with _disrupting_links(context):
        for connection in context.links.connections():
            if context.rng.random() < 0.3:
                connection.is_stalled = True


@_register_fault
async def delay_links(context: FaultContext, duration_s: float) -> None:
    with _disrupting_links(context):
        context.links.delay_s = 0.08
        await asyncio.sleep(duration_s)
        context.links.delay_s = 0.0


@_register_fault
async def crash_endpoints(context: FaultContext, duration_s: float) -> None:
    with context.reserve_endpoints(0.2) as chosen:
        for endpoint in chosen:
            await endpoint.stop()
        await asyncio.sleep(duration_s)
        for endpoint in chosen:
            endpoint.incarnation += context.rng.randrange(2)
            await endpoint.start()


@_register_fault
async def swap_addresses(context: FaultContext, duration_s: float) -> None:
    with context.reserve_endpoints(0.0) as chosen:
        if len(chosen) < 2:
            return
        first, second = chosen
        for endpoint in chosen:
            await endpoint.stop()
        first.host, second.host = second.host, first.host
        for endpoint in chosen:
            endpoint.incarnation += 1
            await endpoint.start()


@_register_fault
async def spoil_answers(context: FaultContext, duration_s: float) -> None:
    """Let endpoints lose or truncate responses and shed requests."""
    with context.reserve_endpoints(0.5) as chosen:
        for endpoint in chosen:
            endpoint.lost_fraction, endpoint.truncated_fraction = 0.03, 0.03
            endpoint.shed_fraction = 0.1
        await asyncio.sleep(duration_s)
        for endpoint in chosen:
            endpoint.lost_fraction = endpoint.truncated_fraction = (
                endpoint.shed_fraction
            ) = 0.0


@_register_fault
async def slow_endpoints(context: FaultContext, duration_s: float) -> None:
    with context.reserve_endpoints(0.3) as chosen:
        for endpoint in chosen:
            endpoint.slowness = 8.0
        await asyncio.sleep(duration_s)
        for endpoint in chosen:
            endpoint.slowness = 1.0


@_register_fault
async def repeat_refusals(context: FaultContext, duration_s: float) -> None:
    """Let endpoints write a refusal without id while they run a request."""
    with context.reserve_endpoints(0.3) as chosen:
        for endpoint in chosen:
            endpoint.repeated_fraction = 0.2
        await asyncio.sleep(duration_s)
        for endpoint in chosen:
            endpoint.repeated_fraction = 0.0


@_register_fault
async def read_late(context: FaultContext, duration_s: float) -> None:
    """Let endpoints read the bodies of requests only once they are executed."""
    with context.reserve_endpoints(0.3) as chosen:
        for endpoint in chosen:
            endpoint.late_read_fraction = 0.5
        await asyncio.sleep(duration_s)
        for endpoint in chosen:
            endpoint.late_read_fraction = 0.0


@_register_fault
async def limit_endpoints(context: FaultContext, duration_s: float) -> None:
    """Let endpoints name limits far below what their slots take."""
    with context.reserve_endpoints(0.3) as chosen:
        for endpoint in chosen:
            endpoint.limit_rate(context.rng.uniform(0.5, 4.0))
        await asyncio.sleep(endpoints.LIMIT_NOTICE_S + 2 * duration_s)
        for endpoint in chosen:
            endpoint.limit_rate(None)


@_register_fault
async def drain_endpoints(context: FaultContext, duration_s: float) -> None:
    with context.reserve_endpoints(0.0) as chosen:
        for endpoint in chosen:
            endpoint.is_leaving = True
        await asyncio.sleep(max(3.0, duration_s))
        for endpoint in chosen:
            await endpoint.stop()
            endpoint.incarnation += 1
            endpoint.is_leaving = False
            await endpoint.start()


@_register_fault
async def fail_list(context: FaultContext, duration_s: float) -> None:
    """Let the platform's endpoint list fail."""
    context.platform.is_failing = True
    await asyncio.sleep(duration_s)
    context.platform.is_failing = False


@_register_fault
async def change_routes(context: FaultContext, duration_s: float) -> None:
    for _ in range(context.rng.randrange(1, 4)):
        await context.config_operator.put_configuration(timeout_s=8.0)
    await context.config_operator.put_invalid_configuration()
    await context.config_operator.resend_configuration()


@_register_fault
async def evacuate(context: FaultContext, duration_s: float) -> None:
    zone = context.rng.choice(list(deployment.ZONES))
    await context.config_operator.evacuate(zone, "start")
    await asyncio.sleep(duration_s)
    await context.config_operator.evacuate(zone, "end")


@_register_fault
async def exchange_seeds(context: FaultContext, duration_s: float) -> None:
    """Make other control instances the seeds while entry instances are stopped."""
    cluster, rng = context.cluster, context.rng
    instances = list(cluster.instances_by_name.values())
    names = [i.name for i in cluster.of_role("control")]
    others = [name for name in names if name not in cluster.seed_names]
    if not others:
        return
    cluster.set_seeds(rng.sample(others, min(deployment.SEED_COUNT, len(others))))
    stopping = asyncio.ensure_future(stop_in_series(context, duration_s))
    for instance in rng.sample(instances, len(instances)):
        instance.write_settings()
        if rng.random() < 0.6:
            instance.send_signal(signal.SIGHUP)
        await asyncio.sleep(rng.random() * duration_s / len(instances))
    await stopping


@_register_fault
async def step_clock(context: FaultContext, duration_s: float) -> None:
    """Let the time of day of some instances jump, and back later."""
    instances = list(context.cluster.instances_by_name.values())
    chosen = context.rng.sample(instances, max(2, round(0.3 * len(instances))))
    for instance in chosen:
        instance.step_clock(context.rng.choice(CLOCK_STEPS_S))
    await asyncio.sleep(duration_s)
    for instance in chosen:
        instance.step_clock(0.0)


async def _block_pairs(
    context: FaultContext, pairs: set[tuple[str, str]], duration_s: float
) -> None:
    with _disrupting_links(context):
        context.links.blocked_pairs |= pairs
        await asyncio.sleep(duration_s)
        context.links.blocked_pairs -= pairs


@_register_fault
async def fill_disk(context: FaultContext, duration_s: float) -> None:
    instance = context.sample_instances("control", 1)[0]
    instance.disk_full_until = time.monotonic() + max(4.5, duration_s)
    instance.limit_files()
    await asyncio.sleep(max(4.5, duration_s))
    instance.limit_files()


@_register_fault
async def reset_endpoint_connections(context: FaultContext, duration_s: float) -> None:
    for endpoint in context.rng.sample(context.endpoints, 8):
        endpoint.reset_connections()


@_register_fault
async def garble_answers(context: FaultContext, duration_s: float) -> None:
    with context.reserve_endpoints(0.4) as chosen:
        for endpoint in chosen:
            endpoint.garbled_fraction = 0.03
        await asyncio.sleep(duration_s)
        for endpoint in chosen:
            endpoint.garbled_fraction = 0.0


@_register_fault
async def respond_without_end(context: FaultContext, duration_s: float) -> None:
    """Let endpoints answer some requests with bytes without end."""
    duration_s = max(MIN_ENDLESS_S, duration_s)
    await _answer_invalidly(context, duration_s, invalid_answers.WITHOUT_END)


@_register_fault
async def break_off(context: FaultContext, duration_s: float) -> None:
    """Let endpoints break off answers to uploads that are still being written."""
    await _answer_invalidly(context, duration_s, invalid_answers.BROKEN_OFF)


@_register_fault
async def answer_with_invalid_status(context: FaultContext, duration_s: float) -> None:
    await _answer_invalidly(context, duration_s, invalid_answers.INVALID_STATUS)


async def _answer_invalidly(
    context: FaultContext, duration_s: float, group: str
) -> None:
    answers = invalid_answers.ANSWERS_BY_GROUP[group]
    with context.reserve_endpoints(0.4) as chosen:
        for endpoint in chosen:
            endpoint.invalid_answers = tuple(answers)
            endpoint.is_broken_off = group == invalid_answers.BROKEN_OFF
            endpoint.invalid_interval = context.rng.choice(INVALID_INTERVALS)
        await asyncio.sleep(max(MIN_INVALID_S, duration_s))
        for endpoint in chosen:
            endpoint.invalid_answers = ()
