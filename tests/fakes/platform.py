"""A fake platform: `python -m tests.fakes.platform --port 0` prints its port.

It publishes the instance list of docs/reference/platform-format.md with a delay.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import time
from collections.abc import AsyncIterator

from aiohttp import web

from tests.fakes import serving


class InstanceState(enum.Enum):
    """The state of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class FakePlatform:
    """The current list and its previous versions, published with a delay."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.fails = False
        self._versions: list[tuple[float, dict[str, InstanceState]]] = [(0.0, {})]
        self.runner = serving.create_runner(self._app())

    def set_instances(self, states_by_id: dict[str, InstanceState], now: float) -> None:
        """Replace the current list; it is published after the lag."""
        self._versions.append((now, dict(states_by_id)))

    def published(self, now: float) -> tuple[float, dict[str, InstanceState]]:
        """Return the timestamp and content of the published list."""
        published_versions = [
            version for version in self._versions if version[0] <= now - self.lag_s
        ]
        return published_versions[-1] if published_versions else self._versions[0]

    def _app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/instances", self._read)
        app.router.add_post("/control", self._write_control)
        return app

    async def _read(self, request: web.Request) -> web.Response:
        if self.fails:
            return web.json_response({"error": "the list fails"}, status=500)
        as_of_s, states_by_id = self.published(time.time())
        return web.json_response(
            {
                "as_of_unix_ms": int(as_of_s * 1000),
                "instances": [
                    {"id": instance_id, "state": state.value}
                    for instance_id, state in sorted(states_by_id.items())
                ],
            }
        )

    async def _write_control(self, request: web.Request) -> web.Response:
        change = json.loads(await request.text())
        self.lag_s = change.get("lag_s", self.lag_s)
        self.fails = change.get("fails", self.fails)
        if "instances" in change:
            states = change["instances"].items()
            self.set_instances(
                {name: InstanceState(state) for name, state in states}, time.time()
            )
        return web.json_response({})


@contextlib.asynccontextmanager
async def running(fake: FakePlatform, port: int = 0) -> AsyncIterator[int]:
    """Serve the platform in this process; yield its port."""
    async with serving.listen(fake.runner, port) as bound_port:
        yield bound_port


async def main() -> None:
    """Serve according to the command line until SIGTERM or SIGINT."""
    parser = serving.create_parser(__doc__)
    parser.add_argument("--lag-s", type=float, default=0.0)
    flags = parser.parse_args()
    fake = FakePlatform(flags.lag_s)
    await serving.serve_until_signal(fake.runner, flags.port, flags.host)


if __name__ == "__main__":
    asyncio.run(main())
