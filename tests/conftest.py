from __future__ import annotations

import contextlib
import pathlib
from collections.abc import AsyncIterator

import aiohttp
import pytest

from tests import processes
from tests.fakes import relay


@pytest.fixture
async def cluster(tmp_path: pathlib.Path) -> AsyncIterator[processes.Cluster]:
    """Yield an empty cluster; kill the processes added to it at teardown."""
    async with contextlib.AsyncExitStack() as stack:
        timeout = aiohttp.ClientTimeout(total=20)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout)
        )
        deployment = processes.Cluster(tmp_path, session)
        stack.callback(deployment.close)
        yield deployment


@pytest.fixture
async def mesh() -> AsyncIterator[relay.Mesh]:
    """Yield an empty mesh of relays between instances; close it at teardown."""
    relays = relay.Mesh()
    yield relays
    await relays.aclose()
