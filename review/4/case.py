"""Clients that have sent many requests ahead leave before they are answered."""

from __future__ import annotations

import asyncio
import pathlib
import secrets
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins import case, client, deployment, http, platform, upstream  # noqa: E402

SERVICE = "xano55b"
WORK_S = 1.4
DEADLINE_MS = 12_000
UPSTREAMS = 12
# Requests that a pipelining client sends before the first one is answered.
DEPTH = 8
CLIENTS_PER_ENTRY = 5
# Dose of ``give_up`` in the site's list of troubles: a fifth of the clients, for 5.5 s.
# ``fleetbench kinds``: they leave within half of the objective, which is 1500 ms.
LEAVING_PER_ENTRY = 1
LEAVES_AFTER_S = 0.75
WAVES_AT_S = (0.0, 4.6)
GRACE_S = 0.5
# RULES.md: "more than a few", and "more than a quarter".
FEW, QUARTER = 5, 0.25


async def play(record) -> int:
    with deployment.running(3, 2, record) as deployed:
        return await play_on(deployed, record)


async def play_on(deployed, record) -> int:
    net = deployed.net
    upstreams = [
        upstream.Upstream(
            n + 1, SERVICE, list(deployment.ZONES)[n % 2], net, lambda request: WORK_S
        )
        for n in range(UPSTREAMS)
    ]
    servers = [await u.start() for u in upstreams]
    servers.append(await platform.List(upstreams).start(f"{net}.0.1"))
    supervisor = asyncio.create_task(deployed.supervise())
    operator = platform.Operator(deployed.controls, record)
    route = platform.make_route("r-1", "/rep/", "safe", SERVICE, "12000ms", "1500ms")
    if not await operator.put(platform.make_config(1, [SERVICE], [route]), 20.0):
        record("the configuration was not acknowledged")
        return case.NOT_RUN
    if not await client.wait_ready(deployed.entries, 15.0):
        record("the entry machines were not ready")
        return case.NOT_RUN
    await asyncio.sleep(5.0)
    left_at: dict[str, float] = {}
    answered: list[int] = []
    sent: list[client.Sent] = []

    async def visit(entry, leaves: bool) -> None:
        reader, writer = await asyncio.open_connection(entry.ip, deployment.FRONT_PORT)
        attempts = [secrets.token_hex(8) for _ in range(DEPTH)]
        now = time.monotonic()
        own = [client.Sent(a, entry.name, "safe", False, now) for a in attempts]
        sent.extend(own)
        for attempt in attempts:
            headers = {
                "Host": "ficu95.example",
                "Attempt-Id": attempt,
                "Deadline-Ms": DEADLINE_MS,
            }
            writer.write(http.encode(f"GET /rep/{attempt} HTTP/1.1", headers))
        await writer.drain()
        if leaves and case.TROUBLE:
            await asyncio.sleep(LEAVES_AFTER_S)
            writer.transport.abort()
            left_at.update(dict.fromkeys(attempts, time.monotonic()))
            for s in own:
                s.outcome, s.ended_at = "its client leaves", time.monotonic()
            return
        for s in own:
            answer = await http.read_message(reader)
            answered.append(0 if answer is None else answer.status)
            s.outcome, s.ended_at = str(answered[-1]), time.monotonic()
        writer.transport.abort()

    tasks = []
    started_at = time.monotonic()
    for wave_at in WAVES_AT_S:
        await asyncio.sleep(started_at + wave_at - time.monotonic())
        record(f"{2 * CLIENTS_PER_ENTRY} clients send {DEPTH} requests each")
        tasks += [
            asyncio.create_task(visit(entry, number < LEAVING_PER_ENTRY))
            for entry in deployed.entries
            for number in range(CLIENTS_PER_ENTRY)
        ]
    await asyncio.gather(*tasks)
    await asyncio.sleep(5.0)
    supervisor.cancel()
    record(f"answers: { {s: answered.count(s) for s in set(answered)} }")
    return judge(record, upstreams, sent, left_at)


def judge(record, upstreams, sent, left_at) -> int:
    runs = {a: at for u in upstreams for a, times in u.runs.items() for at in times}
    ends = {a: at for u in upstreams for a, at in u.ends.items()}
    arrivals = {a: at for u in upstreams for at, a in u.arrivals}
    record.requests(sent, upstreams)
    late = [
        a for a, at in arrivals.items() if at > left_at.get(a, float("inf")) + GRACE_S
    ]
    # Requests at work as the client left, which would last half a second or more then.
    lasting = [
        a
        for a, left in left_at.items()
        if a in runs and runs[a] <= left and runs[a] + WORK_S > left + GRACE_S
    ]
    at_work = [a for a in lasting if ends.get(a, 0.0) > left_at[a] + GRACE_S]
    record(
        f"requests left behind: {len(left_at)}, at work then: {len(lasting)},"
        f" still at work {GRACE_S} s later: {len(at_work)}"
    )
    share = len(at_work) / len(lasting) if lasting else 0.0
    record(f"reached an upstream too late: {len(late)}, allowed: a few ({FEW})")
    record(f"share still at work: {share:.2f}, allowed: {QUARTER}")
    is_broken = len(late) > FEW or share > QUARTER
    return case.BROKEN if is_broken else case.HELD


if __name__ == "__main__":
    case.main(str(pathlib.Path(__file__).parent), play)
