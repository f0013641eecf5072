"""Clients that send requests on a connection before earlier ones are answered."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random

from tests.soak import clients, deployment, endpoints, history, operator

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
        monitor: clients.LoopMonitor,
    ) -> None:
        self._entry = entry
        self._observations = observations
        self._rng = rng
        self._monitor = monitor
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
        is_close_announced = False
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self.receive(reader):
                    pass
                is_close_announced = True
        finally:
            sending.cancel()
            writer.close()
        now = asyncio.get_running_loop().time()
        while self._unanswered:
            attempt, target = self._unanswered.popleft()
            attempt.is_behind_close = is_close_announced
            attempt.is_cut = True
            attempt.seen_open_at = self._monitor.seen_open_at(now)
            self._observations.record_end(attempt, None, now)
            self._targets.append(target)

    async def _send_requests(self, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(PAUSE_S * (0.5 + self._rng.random()))
                if len(self._unanswered) < MAX_UNANSWERED:
                    message = self.next_request()
                    await clients.send(writer, self._unanswered[-1][0], message)

    def next_request(self) -> bytes:
        """Record the next request and return its bytes, which are sent at once."""
        self._count += 1
        attempt_id = f"l-{self._entry.name}-{self._count}"
        target = f"{operator.LONG_PATH}{self._rng.randrange(20)}?n={self._count}"
        if self._targets:
            target = self._targets.popleft()
        address = f"{self._entry.ip}:{deployment.CALLERS_PORT}"
        now = asyncio.get_running_loop().time()
        attempt = history.Attempt(
            attempt_id,
            "safe",
            address,
            now,
            is_kept=True,
            is_behind=bool(self._unanswered),
            time_limit_s=min(DEADLINE_S, operator.LONG_TIMEOUT_S),
        )
        self._observations.record_start(attempt)
        self._unanswered.append((attempt, target))
        headers = {
            "Host": operator.HOST,
            "Attempt-Id": attempt_id,
            "Affinity-Key": target.partition("?")[0],
            "Deadline-Ms": str(round(DEADLINE_S * 1000)),
        }
        return clients.message("GET", target, headers, b"")

    async def receive(self, reader: asyncio.StreamReader) -> bool:
        """Check the next response; return whether others may follow."""
        status, headers, content = await clients.read_response(reader)
        attempt_id = headers["Attempt-Id"]
        due = [attempt.attempt_id for attempt, _ in self._unanswered]
        is_in_turn = due[:1] == [attempt_id]
        detail = f"{self._entry.name}: status {status} for {attempt_id}, due are {due}"
        self._observations.check("responses come in order", is_in_turn, detail)
        if not is_in_turn:
            return False
        attempt, target = self._unanswered.popleft()
        attempt.is_from_endpoint = headers["Server-Seal"] is not None
        now = asyncio.get_running_loop().time()
        self._observations.record_end(attempt, status, now)
        expected = endpoints.response_body(attempt_id, target, b"")
        self._observations.check_response(attempt, status, content, expected)
        return (headers["Connection"] or "").lower() != "close"
