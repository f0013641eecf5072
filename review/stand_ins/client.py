"""Clients that keep their connections and send one request after the other."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import secrets
import time

from stand_ins import deployment as deployments, http


@dataclasses.dataclass
class Sent:
    """One client attempt and what became of it."""

    attempt: str
    entry: str
    kind: str
    is_kept: bool
    """Whether the connection had carried a request before."""
    sent_at: float
    ended_at: float = 0.0
    outcome: str = "open"
    is_final: bool = True
    """Whether the client did not send the request again."""


class Client:
    """Sends requests to one entry machine over one kept connection."""

    def __init__(
        self,
        entry,
        kind: str,
        prefix: str,
        method: str,
        deadline_ms: int,
        retries: int = 0,
    ) -> None:
        self.entry, self.kind, self.prefix, self.method = entry, kind, prefix, method
        self.deadline_ms, self.retries = deadline_ms, retries
        self.sent: list[Sent] = []

    async def run(self, ends_at: float, pause_s: float) -> None:
        reader = writer = None
        used = 0
        retries_left = self.retries
        while time.monotonic() < ends_at:
            if writer is None:
                try:
                    async with asyncio.timeout(1.0):
                        reader, writer = await asyncio.open_connection(
                            self.entry.ip, deployments.FRONT_PORT
                        )
                    used = 0
                except (OSError, TimeoutError):
                    await asyncio.sleep(0.2)
                    continue
            attempt = secrets.token_hex(8)
            sent = Sent(attempt, self.entry.name, self.kind, used > 0, time.monotonic())
            self.sent.append(sent)
            used += 1
            body = b"x" * 300 if self.method == "POST" else b""
            headers = {
                "Host": "ficu95.example",
                "Attempt-Id": attempt,
                "Deadline-Ms": self.deadline_ms,
            }
            answer = None
            try:
                first_line = f"{self.method} {self.prefix}{attempt} HTTP/1.1"
                writer.write(http.encode(first_line, headers, body))
                async with asyncio.timeout(self.deadline_ms / 1000):
                    answer = await http.read_message(reader)
                sent.outcome = "closed" if answer is None else str(answer.status)
            except TimeoutError:
                sent.outcome = "deadline"
            except OSError:
                sent.outcome = "closed"
            sent.ended_at = time.monotonic()
            closes = answer is None or answer.headers.get("connection") == "close"
            if closes:
                with contextlib.suppress(Exception):
                    writer.transport.abort()
                writer = None
            # Safe requests are sent again after any failure, on a new connection.
            failed = sent.outcome not in ("200", "deadline")
            if failed and self.kind == "safe" and retries_left > 0:
                retries_left -= 1
                sent.is_final = False
                if writer is not None:
                    writer.transport.abort()
                    writer = None
                continue
            retries_left = self.retries
            await asyncio.sleep(pause_s)
        if writer is not None:
            writer.transport.abort()


async def wait_ready(entries: list, limit_s: float) -> bool:
    """Wait until the readiness address of each entry machine answers 200."""
    ends_at = time.monotonic() + limit_s
    while time.monotonic() < ends_at:
        answers = [
            await http.call(e.ip, deployments.READINESS_PORT, "GET /api/ready HTTP/1.1")
            for e in entries
        ]
        if all(a is not None and a.status == 200 for a in answers):
            return True
        await asyncio.sleep(0.2)
    return False
