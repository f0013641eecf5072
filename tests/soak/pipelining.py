"""Clients that send requests on a connection before earlier ones are answered."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import http.client
import io
import random

from tests.soak import deployment, endpoints, history, operator

MAX_UNANSWERED = 4
DEADLINE_S = 12.0
PAUSE_S = 0.1
RECONNECT_DELAY_S = 0.2


class PipeliningCaller:
    """One client, which keeps a connection to one entry instance."""

    def __init__(
        self,
        entry: deployment.Instance,
        observations: history.History,
        rng: random.Random,
    ) -> None:
        self._entry = entry
        self._observations = observations
        self._rng = rng
        self._count = 0
        self._unanswered: collections.deque[tuple[history.Attempt, str]]
        self._unanswered = collections.deque()
        """Attempts on the connection in the order of their responses, with targets."""
        self._targets: collections.deque[str] = collections.deque()
        """Targets that are requested again on the next connection."""

    async def run(self) -> None:
        """Use one connection after another until cancelled."""
        while True:
            await asyncio.sleep(RECONNECT_DELAY_S)
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(
                    self._entry.ip, deployment.CALLERS_PORT
                )
                await self._use_connection(reader, writer)

    async def _use_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sending = asyncio.ensure_future(self._send_requests(writer))
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self.receive(reader):
                    pass
        finally:
            sending.cancel()
            writer.close()
        # Also requests sent behind an announced close, which count as not read.
        now = asyncio.get_running_loop().time()
        while self._unanswered:
            attempt, target = self._unanswered.popleft()
            self._observations.record_end(attempt, None, now)
            self._targets.append(target)

    async def _send_requests(self, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(PAUSE_S * (0.5 + self._rng.random()))
                if len(self._unanswered) < MAX_UNANSWERED:
                    writer.write(self.next_request())
                    await writer.drain()

    def next_request(self) -> bytes:
        """Record the next request and return its bytes, which are sent at once."""
        self._count += 1
        attempt_id = f"l-{self._entry.name}-{self._count}"
        target = f"{operator.LONG_PATH}{self._rng.randrange(20)}?n={self._count}"
        if self._targets:
            target = self._targets.popleft()
        address = f"{self._entry.ip}:{deployment.CALLERS_PORT}"
        now = asyncio.get_running_loop().time()
        attempt = history.Attempt(attempt_id, "safe", address, now, is_sent_whole=True)
        self._observations.record_start(attempt)
        self._unanswered.append((attempt, target))
        return (
            f"GET {target} HTTP/1.1\r\nHost: {operator.HOST}\r\n"
            f"Attempt-Id: {attempt_id}\r\nAffinity-Key: {target.partition('?')[0]}\r\n"
            f"Deadline-Ms: {round(DEADLINE_S * 1000)}\r\n\r\n"
        ).encode()

    async def receive(self, reader: asyncio.StreamReader) -> bool:
        """Check the next response; return whether others may follow."""
        status_line = await reader.readuntil(b"\r\n")
        fields = await reader.readuntil(b"\r\n\r\n")
        headers = http.client.parse_headers(io.BytesIO(fields))
        content = await reader.readexactly(int(headers["Content-Length"]))
        status, attempt_id = int(status_line.split()[1]), headers["Attempt-Id"]
        due = [attempt.attempt_id for attempt, _ in self._unanswered]
        is_in_turn = due[:1] == [attempt_id]
        detail = f"{self._entry.name}: status {status} for {attempt_id}, due are {due}"
        self._observations.check("responses come in order", is_in_turn, detail)
        if not is_in_turn:
            return False
        attempt, target = self._unanswered.popleft()
        now = asyncio.get_running_loop().time()
        self._observations.record_end(attempt, status, now)
        if status == 200:
            expected = endpoints.response_body(attempt_id, target, b"")
            self._observations.check(
                "complete responses", content == expected, f"{attempt}"
            )
        return (headers["Connection"] or "").lower() != "close"
