"""Clients that send requests to entry processes and record a history."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import hashlib
import random
import time

import aiohttp

from tests import processes
from tests.fakes import endpoint as fake_endpoint

RESPONSE_BYTES = 20_000
UPLOAD_BYTES = 300_000


@dataclasses.dataclass
class Attempt:
    """One attempt of a client and its outcome."""

    request_id: str
    kind: str
    key: str | None
    entry: str
    started_at: float
    ended_at: float = 0.0
    outcome: str = "lost"
    """The outcome header, `lost` after a broken connection, `refused` without one."""
    status: int = 0
    is_complete: bool = False
    code: str = ""


class Caller:
    """A client that sends requests of one kind sequentially."""

    def __init__(
        self,
        name: str,
        kind: str,
        cluster: processes.Cluster,
        region: str,
        rng: random.Random,
        history: list[Attempt],
    ) -> None:
        self.name = name
        self.kind = kind
        self.cluster = cluster
        self.region = region
        self.rng = rng
        self.history = history
        self.count = 0
        self._entry_ids: list[str] = []
        self._entries_expire_at = float("-inf")

    async def run(self, deadline: float, pause_s: float = 0.02) -> None:
        """Send requests until a point in monotonic time."""
        while time.monotonic() < deadline:
            await self.send_request()
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.5))

    async def send_request(self) -> None:
        """Send one request; resend its key once if the outcome is unknown."""
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        key = None
        if self.kind != "read":
            stamp = int(time.time() * 1000)
            key = f"{self.region}.{stamp}.{self.rng.getrandbits(96):024x}"
        attempt = await self._send(request_id, key, await self._choose_entry())
        if attempt.outcome in ("lost", "unknown"):
            await self._send(request_id, key, await self._choose_entry())

    async def _choose_entry(self) -> processes.Process:
        return self.rng.choice(await self._lookup_entries())

    async def request_succeeds(self) -> bool:
        """Send one request and return whether its last attempt was answered."""
        await self.send_request()
        return self.history[-1].outcome == "answered"

    async def _lookup_entries(self) -> list[processes.Process]:
        """Return the entries from a lookup, cached for its TTL."""
        while time.monotonic() >= self._entries_expire_at:
            process = self.rng.choice(self.cluster.of_role("entry"))
            url = f"{process.url}/v1/entries?service=shop&client=192.0.2.1"
            sent_at = time.monotonic()
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                status, content = await self.cluster.get(url)
                if status == 200 and content["entries"]:
                    self._entry_ids = [item["instance"] for item in content["entries"]]
                    self._entries_expire_at = sent_at + content["ttl_s"]
                    break
            await asyncio.sleep(0.05)
        return [self.cluster.processes_by_id[name] for name in self._entry_ids]

    async def _send(
        self, request_id: str, key: str | None, entry: processes.Process
    ) -> Attempt:
        attempt = Attempt(
            request_id, self.kind, key, entry.instance_id, time.monotonic()
        )
        self.history.append(attempt)
        headers = {"Request-Id": request_id, "Request-Timeout-Ms": "4000"}
        if key is not None:
            headers["Idempotency-Key"] = key
        method, path, body = {
            "read": ("GET", f"/designs?bytes={RESPONSE_BYTES}", None),
            "order": ("POST", f"/orders?bytes={RESPONSE_BYTES}", b"order"),
            "upload": ("PUT", "/uploads?bytes=100", self._upload_body(request_id)),
        }[self.kind]
        try:
            async with self.cluster.session.request(
                method, f"{entry.url}/s/shop{path}", headers=headers, data=body
            ) as response:
                content = await response.read()
                attempt.outcome = response.headers.get("Yuccapitch-Outcome", "missing")
                attempt.status = response.status
                size = 100 if self.kind == "upload" else RESPONSE_BYTES
                attempt.is_complete = content == fake_endpoint.response_body(
                    request_id, size
                )
                if attempt.outcome != "answered":
                    attempt.code = content.decode(errors="replace")[:200]
        except aiohttp.ClientConnectorError:
            attempt.outcome = "refused"
        except (aiohttp.ClientError, OSError, TimeoutError):
            attempt.outcome = "lost"
        attempt.ended_at = time.monotonic()
        return attempt

    def _upload_body(self, request_id: str) -> bytes:
        block = hashlib.sha256(request_id.encode()).digest()
        return (block * (UPLOAD_BYTES // len(block) + 1))[:UPLOAD_BYTES]
