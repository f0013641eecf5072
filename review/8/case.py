"""Part of an answer that was reset on the way reaches the client as a whole one."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2 import deployment, peers  # noqa: E402

# Size of an upload; the largest one of sapxanh-lb has 360,000 bytes.
UPLOAD_BYTES = 300_000
# Three of five upstreams (share 0.6) break off each 34th answer (x = 0.03), for 5.5 s.
UPSTREAMS, FAULTY_UPSTREAMS, INTERVAL, DURATION_S = 5, 3, 34, 5.5
CLIENTS = 12
READ_FIRST_BYTES, ANSWER_BYTES, WORK_S = 4_096, 4_000, 0.03


class Photos:
    """Upstreams of which some answer some requests without a length."""

    def __init__(self, record: deployment.Record, has_trouble: bool) -> None:
        self._record, self._has_trouble = record, has_trouble
        self._counts: collections.Counter[str] = collections.Counter()
        self.whole_answers_by_id: dict[str, bytes] = {}
        self.broken_off_ids: set[str] = set()

    async def handle(
        self,
        upstream: peers.Upstream,
        request: peers.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer an upload; some answers have no length and end the connection."""
        self._counts[upstream.name] += 1
        number = int(upstream.name.removeprefix("i-"))
        is_unframed = (
            number < FAULTY_UPSTREAMS and self._counts[upstream.name] % INTERVAL == 0
        )
        whole = request.attempt_id.encode().ljust(ANSWER_BYTES, b".")
        self.whole_answers_by_id[request.attempt_id] = whole
        seal = f"Server-Seal: {peers.seal(whole)}"
        if is_unframed and self._has_trouble:
            await self._break_off(upstream, request, reader, writer, whole)
            return False
        await reader.readexactly(request.length)
        await asyncio.sleep(WORK_S)
        length = None if is_unframed else len(whole)
        writer.write(peers.head(200, request.attempt_id, length, seal) + whole)
        await writer.drain()
        return not is_unframed

    async def _break_off(
        self,
        upstream: peers.Upstream,
        request: peers.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        whole: bytes,
    ) -> None:
        """Answer before the body is read, with half an answer, and reset."""
        await reader.readexactly(min(READ_FIRST_BYTES, request.length))
        writer.transport.pause_reading()
        self.broken_off_ids.add(request.attempt_id)
        half = whole[: len(whole) // 2]
        seal = f"Server-Seal: {peers.seal(whole)}"
        writer.write(peers.head(200, request.attempt_id, None, seal) + half)
        await asyncio.sleep(WORK_S)
        self._record.add(
            f"run {request.attempt_id} by {upstream.name}: {len(half)} of {len(whole)}"
            " bytes of the answer sent, then reset"
        )
        # Most of the upload is unread, so that the kernel resets the connection.
        writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
        writer.transport.abort()


async def run(record: deployment.Record, has_trouble: bool) -> list[str]:
    """Send uploads for some seconds; compare the answers with those of upstreams."""
    system = deployment.Deployment(record, controls=3, entries=2)
    photos = Photos(record, has_trouble)
    answers_by_id: dict[str, peers.Answer] = {}
    try:
        zones = list(deployment.ZONES)
        upstreams = [
            peers.Upstream(
                f"i-{n}", "photos", zones[n % len(zones)], system.upstream_ip(n)
            )
            for n in range(UPSTREAMS)
        ]
        for upstream in upstreams:
            upstream.handler = photos.handle
            await upstream.start()
        await peers.Platform(system.list_ip, upstreams).start()
        system.start()
        route = {"prefix": "/photos/", "service": "photos", "kind": "upload"}
        await system.put_config(deployment.config(1, [route]))
        await system.wait_ready()
        ends_at = time.monotonic() + DURATION_S

        async def send_uploads(number: int) -> None:
            nodes = system.entry_nodes
            client = peers.Client(nodes[number % len(nodes)].front)
            body = bytes([number]) * UPLOAD_BYTES
            while time.monotonic() < ends_at:
                attempt_id, answer = await client.send("/photos/p", "POST", body)
                answers_by_id[attempt_id] = answer
            client.close()

        await asyncio.gather(*(send_uploads(number) for number in range(CLIENTS)))
    finally:
        await system.aclose()
    return judge(record, photos, answers_by_id)


def judge(
    record: deployment.Record,
    photos: Photos,
    answers_by_id: dict[str, peers.Answer],
) -> list[str]:
    """Return the successes whose body isn't the upstream's whole body."""
    statuses = collections.Counter(a.status for a in answers_by_id.values())
    record.add(f"answers by status: {dict(statuses)}")
    if statuses[200] < len(answers_by_id) / 2:
        raise deployment.NotRun("most uploads were not served")
    broken = []
    for attempt_id, answer in answers_by_id.items():
        if attempt_id in photos.broken_off_ids:
            size = len(answer.body)
            record.add(f"client got for {attempt_id}: {answer.status}, {size} bytes")
        is_success = answer.status is not None and 200 <= answer.status < 300
        whole = photos.whole_answers_by_id.get(attempt_id)
        if is_success and answer.body != whole:
            broken.append(
                f"MIXED: {attempt_id} was answered {answer.status} with"
                f" {len(answer.body)} bytes of the upstream's {ANSWER_BYTES}"
            )
    return broken


if __name__ == "__main__":
    sys.exit(deployment.main(run, FOLDER))
