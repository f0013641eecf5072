"""A control machine freezes with an order in hand, and sends it on when it wakes."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins import case, client, deployment, http, platform, upstream  # noqa: E402

SERVICE = "dele69a"
ZONE = "hanoi-b"
FREEZE_S = 1.9
PATIENCE_S = 1.0
PAUSE_S = 0.3
EVACUATION_S = 5.0
WATCH_S = 8.0


async def play(record) -> int:
    with deployment.running(3, 2, record) as deployed:
        return await play_on(deployed, record)


async def find_follower(deployed):
    """Return a control machine that does not lead, by its metrics."""
    for machine in deployed.controls:
        answer = await http.call(machine.ip, 9464, "GET /metrics HTTP/1.1")
        lines = [] if answer is None else answer.body.decode().splitlines()
        values = [
            line.split()[-1]
            for line in lines
            if "is_leader" in line[:60] and not line.startswith("#")
        ]
        if values and float(values[0]) == 0.0:
            return machine
    return None


async def play_on(deployed, record) -> int:
    net = deployed.net
    upstreams = [
        upstream.Upstream(
            n + 1, SERVICE, list(deployment.ZONES)[n % 2], net, lambda request: 0.05
        )
        for n in range(6)
    ]
    servers = [await u.start() for u in upstreams]
    servers.append(await platform.List(upstreams).start(f"{net}.0.1"))
    supervisor = asyncio.create_task(deployed.supervise())
    operator = platform.Operator(deployed.controls, record)
    route = platform.make_route("r-1", "/bin/", "safe", SERVICE, "3000ms", "500ms")
    config = platform.make_config(1, [SERVICE], [route])
    if not await operator.put(config, 20.0):
        record("the configuration was not acknowledged")
        return case.NOT_RUN
    if not await client.wait_ready(deployed.entries, 15.0):
        record("the entry machines were not ready")
        return case.NOT_RUN
    clients = [
        client.Client(entry, "safe", "/bin/", "GET", 3000)
        for entry in deployed.entries
        for _ in range(4)
    ]
    traffic_ends_at = time.monotonic() + 60.0
    tasks = [asyncio.create_task(c.run(traffic_ends_at, 0.05)) for c in clients]
    await asyncio.sleep(6.0)

    async def order(verb: str, targets: list) -> float | None:
        """Send an order to the machines in turn; return when it was acknowledged."""
        sent_at = time.monotonic()
        for target in targets * 3:
            if time.monotonic() - sent_at > EVACUATION_S:
                return None
            path = f"POST /api/evacuations/{ZONE}/{verb} HTTP/1.1"
            answer = await http.call(
                target.ip, deployment.CONTROL_PORT, path, timeout_s=PATIENCE_S
            )
            status = "no answer" if answer is None else answer.status
            record(f"{verb} of {ZONE} at {target.name}: {status}")
            if answer is not None and answer.status == 200:
                return time.monotonic()
        return None

    follower = await find_follower(deployed)
    if follower is None:
        record("no control machine says that it does not lead")
        return case.NOT_RUN
    others = [m for m in deployed.controls if m is not follower]
    if await order("start", others) is None:
        record("the first evacuation was not acknowledged")
        return case.NOT_RUN
    await asyncio.sleep(EVACUATION_S + 1.0)
    frozen_at = time.monotonic()
    if case.TROUBLE:
        record(f"{follower.name} freezes for {FREEZE_S} s")
        follower.send_signal(signal.SIGSTOP)
    waker = asyncio.create_task(wake(record, follower, frozen_at))
    if await order("end", [follower, *others]) is None:
        record("the withdrawal was not acknowledged")
        return case.NOT_RUN
    await asyncio.sleep(PAUSE_S)
    acknowledged_at = await order("start", others)
    if acknowledged_at is None:
        record("the second evacuation was not acknowledged")
        return case.NOT_RUN
    await waker
    await asyncio.sleep(acknowledged_at + EVACUATION_S + WATCH_S - time.monotonic())
    ended_at = time.monotonic()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    supervisor.cancel()
    return judge(record, upstreams, clients, acknowledged_at, ended_at)


async def wake(record, machine, frozen_at: float) -> None:
    await asyncio.sleep(frozen_at + FREEZE_S - time.monotonic())
    if case.TROUBLE:
        machine.send_signal(signal.SIGCONT)
        record(f"{machine.name} wakes")


def judge(record, upstreams, clients, acknowledged_at, ended_at) -> int:
    record.requests([s for c in clients for s in c.sent], upstreams)
    counted_from = acknowledged_at + EVACUATION_S
    for server in upstreams:
        late = [at for at, _ in server.arrivals if counted_from < at < ended_at]
        record(
            f"{server.id} in {server.zone}: {len(server.arrivals)} arrivals,"
            f" {len(late)} later than {EVACUATION_S} s after the last evacuation"
        )
    outcomes: dict[str, int] = {}
    for s in (s for c in clients for s in c.sent):
        outcomes[s.outcome] = outcomes.get(s.outcome, 0) + 1
    record(f"requests by outcome: {outcomes}")
    late_count = sum(
        counted_from < at < ended_at
        for server in upstreams
        if server.zone == ZONE
        for at, _ in server.arrivals
    )
    record(f"requests that reached {ZONE} although it is evacuated: {late_count}")
    return case.BROKEN if late_count else case.HELD


if __name__ == "__main__":
    case.main(str(pathlib.Path(__file__).parent), play)
