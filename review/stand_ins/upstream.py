"""An upstream: slots, a queue, signed answers, and the faults that a case adds."""

from __future__ import annotations

import asyncio
import hashlib
import time

from stand_ins import deployment as deployments, http

QUEUE_PER_SLOT = 3


def seal(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()[:24]


class Upstream:
    """Serves one service; ``spoil`` may write a faulty answer in place of one."""

    def __init__(self, number: int, service: str, zone: str, net: str, work_s) -> None:
        self.id = f"i-{number:08x}"
        self.service, self.zone = service, zone
        self.host = f"{net}.3.{number}"
        self.slots = 4
        self.work_s = work_s
        self.born = int(time.time() * 1000) - 60_000
        self.runs: dict[str, list[float]] = {}
        self.ends: dict[str, float] = {}
        self.arrivals: list[tuple[float, str]] = []
        self.answers = 0
        self.spoil = None
        self._free = asyncio.Semaphore(self.slots)
        self._present = 0

    def row(self) -> list:
        address = f"{self.host}:{deployments.UPSTREAM_PORT}"
        return [
            self.service, address, self.zone, "v1", self.slots, "ready", "0ms",
            self.id, self.born,
        ]  # fmt: skip

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(
            self._serve, self.host, deployments.UPSTREAM_PORT
        )

    async def _serve(self, reader, writer) -> None:
        closed = asyncio.ensure_future(asyncio.Event().wait())
        try:
            while (request := await http.read_message(reader)) is not None:
                # An upstream drops a request when its connection closes.
                work = asyncio.ensure_future(self._answer(request, writer))
                gone = asyncio.ensure_future(_wait_closed(reader, writer))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                gone.cancel()
                if not work.done():
                    work.cancel()
                    return
                if not work.result():
                    return
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            closed.cancel()
            writer.close()

    async def _answer(self, request: http.Message, writer) -> bool:
        """Answer one request; return whether the connection is kept."""
        attempt = request.headers.get("attempt-id", "")
        self.arrivals.append((time.monotonic(), attempt))
        load = f"{self.slots - self._free._value},0,{self.slots}"
        headers = {"Attempt-Id": attempt, "Server-Load": load}
        expected = request.headers.get("expect-instance")
        if expected is not None and expected != self.id:
            headers["Not-Executed"] = "1"
            return await self._write(writer, "HTTP/1.1 421 Misdirected", headers, b"")
        if self._present >= self.slots * (1 + QUEUE_PER_SLOT):
            headers["Not-Executed"] = "1"
            return await self._write(writer, "HTTP/1.1 503 Full", headers, b"")
        self._present += 1
        try:
            async with self._free:
                self.runs.setdefault(attempt, []).append(time.monotonic())
                await asyncio.sleep(self.work_s(request))
                self.ends[attempt] = time.monotonic()
        finally:
            self._present -= 1
        body = f"{attempt} {request.path} {self.id} ".encode() + b"." * 1200
        headers["Server-Seal"] = seal(body)
        self.answers += 1
        if self.spoil is not None and await self.spoil(self, request, headers, writer):
            return False
        return await self._write(writer, "HTTP/1.1 200 OK", headers, body)

    async def _write(self, writer, first_line, headers, body) -> bool:
        writer.write(http.encode(first_line, headers, body))
        await writer.drain()
        return True


async def _wait_closed(reader, writer) -> None:
    """Wait until the caller has closed the connection."""
    while not reader.at_eof() and not writer.transport.is_closing():
        if reader._buffer:  # The next request is here already.
            await asyncio.Event().wait()
        await asyncio.sleep(0.02)
