"""An upstream's answer goes on without end, after the last chunk of its body."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins import case, client, deployment, platform, upstream  # noqa: E402

SERVICE = "dele69a"
CALM_S = 8.0
TROUBLE_S = 5.5
AFTER_S = 10.0
# Dose of ``garble`` on the site's list of troubles: a share of the upstreams spoils
# some of its answers. Here it is two of six, and each 50th answer.
FAULTY = 2
EACH_NTH = 50
# One trailer line, as an upstream might repeat it.
LINE = b"x-trace: 7f3a91c2\r\n"


async def play(record) -> int:
    with deployment.running(3, 2, record) as deployed:
        return await play_on(deployed, record)


async def play_on(deployed, record) -> int:
    net = deployed.net
    upstreams = [
        upstream.Upstream(
            n + 1,
            SERVICE,
            list(deployment.ZONES)[n % 2],
            net,
            lambda request: 0.8 if request.method == "POST" else 0.05,
        )
        for n in range(6)
    ]
    servers = [await u.start() for u in upstreams]
    servers.append(await platform.List(upstreams).start(f"{net}.0.1"))
    supervisor = asyncio.create_task(deployed.supervise())
    operator = platform.Operator(deployed.controls, record)
    config = platform.make_config(
        1,
        [SERVICE],
        [
            platform.make_route("r-1", "/lot/", "unsafe", SERVICE, "4000ms", "600ms"),
            platform.make_route("r-2", "/bin/", "safe", SERVICE, "3000ms", "500ms"),
        ],
    )
    if not await operator.put(config, 20.0):
        record("the configuration was not acknowledged")
        return case.NOT_RUN
    if not await client.wait_ready(deployed.entries, 15.0):
        record("the entry machines were not ready")
        return case.NOT_RUN
    clients = []
    for entry in deployed.entries:
        clients += [
            client.Client(entry, "unsafe", "/lot/", "POST", 4000) for _ in range(8)
        ]
        clients += [
            client.Client(entry, "safe", "/bin/", "GET", 3000) for _ in range(4)
        ]
    started_at = time.monotonic()
    ends_at = started_at + CALM_S + TROUBLE_S + AFTER_S
    tasks = [
        asyncio.create_task(c.run(ends_at, 0.2 if c.kind == "unsafe" else 0.02))
        for c in clients
    ]
    await asyncio.sleep(CALM_S)
    calm_peaks = {m.name: round(m.peak_mb) for m in deployed.machines}
    record(f"{CALM_S} s of calm traffic; peak MB so far {calm_peaks}")
    if case.TROUBLE:
        record(f"{FAULTY} of {len(upstreams)} upstreams spoil each {EACH_NTH}th answer")
        for faulty in upstreams[:FAULTY]:
            faulty.answers = 0
            faulty.spoil = lambda *args: spoil(record, *args)
    await asyncio.sleep(TROUBLE_S)
    for faulty in upstreams:
        faulty.spoil = None
    await asyncio.gather(*tasks)
    supervisor.cancel()
    return judge(record, deployed, upstreams, clients)


async def spoil(record, server, request, headers, writer) -> bool:
    """Write a whole chunked answer but for the end of its trailer section."""
    if server.answers % EACH_NTH:
        return False
    attempt = headers["Attempt-Id"]
    record(f"{server.id} answers {attempt} without end")
    head = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers.items())
    writer.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
    writer.write(b"4\r\nbody\r\n0\r\n")
    sent_bytes = 0
    block = LINE * 2000
    try:
        while True:
            writer.write(block)
            await writer.drain()
            sent_bytes += len(block)
    except OSError:
        record(f"the caller closed after {sent_bytes / 2**20:.0f} MB of {attempt}")
    return True


def judge(record, deployed, upstreams, clients) -> int:
    record.requests([s for c in clients for s in c.sent], upstreams)
    sound = upstreams[FAULTY:]
    ran_at_sound = {a for u in sound for a in u.runs}
    reached_sound = {a for u in sound for _, a in u.arrivals}
    all_sent = [s for c in clients for s in c.sent]
    outcomes: dict[str, int] = {}
    for s in all_sent:
        key = f"{s.kind} {s.outcome}"
        outcomes[key] = outcomes.get(key, 0) + 1
    record(f"sent {len(all_sent)} requests, by kind and outcome: {outcomes}")
    lost = [
        s
        for s in all_sent
        if s.outcome == "closed" and s.is_kept and s.attempt in reached_sound
    ]
    for s in lost:
        record(
            f"LOST: {s.kind} {s.attempt} at {s.entry}, on a kept connection, reached a"
            f" sound upstream{', ran there,' if s.attempt in ran_at_sound else ''}"
            " and its connection was closed without an answer"
        )
    for machine in deployed.machines:
        record(
            f"{machine.name}: peak {machine.peak_mb:.0f} MB, starts {machine.starts},"
            f" killed for memory {machine.memory_kills}, ended {machine.other_ends}"
        )
    answered = sum(s.outcome == "200" for s in all_sent)
    if answered < 100:
        record("too few requests were answered")
        return case.NOT_RUN
    record(f"lost on kept connections at sound upstreams: {len(lost)}; allowed: 3")
    return case.BROKEN if len(lost) > 3 else case.HELD


if __name__ == "__main__":
    case.main(str(pathlib.Path(__file__).parent), play)
