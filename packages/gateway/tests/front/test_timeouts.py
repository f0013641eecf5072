"""Tests of timeouts that are shortened together."""

from __future__ import annotations

import asyncio

import pytest

from yuccapitch.gateway.front import timeouts


async def wait_forever(group: timeouts.TimeoutGroup[str], delay_s: float) -> None:
    async with group.timeout("owner", delay_s):
        await asyncio.Event().wait()


async def test_shorten_brings_timeouts_forward():
    group = timeouts.TimeoutGroup[str]()
    waiting = asyncio.create_task(wait_forever(group, 60.0))
    await asyncio.sleep(0)
    group.shorten(lambda owner: 0.0)
    async with asyncio.timeout(20):
        with pytest.raises(TimeoutError):
            await waiting


async def test_shorten_keeps_earlier_timeouts():
    group = timeouts.TimeoutGroup[str]()
    waiting = asyncio.create_task(wait_forever(group, 0.0))
    later = asyncio.create_task(wait_forever(group, 60.0))
    await asyncio.sleep(0)
    group.shorten(lambda owner: 30.0)
    async with asyncio.timeout(20):
        with pytest.raises(TimeoutError):
            await waiting
    assert not later.done()
    later.cancel()


# Guards against a planned stop that fails, and ends the process with all requests in
# progress, because one of them has just run into its timeout.
async def test_shorten_passes_over_a_timeout_that_has_just_expired():
    group = timeouts.TimeoutGroup[str]()
    loop = asyncio.get_running_loop()
    waiting = asyncio.create_task(wait_forever(group, 0.0))
    await asyncio.sleep(0)
    # Runs between the expiry of the timeout and the end of its block.
    loop.call_soon(group.shorten, lambda owner: -1.0)
    with pytest.raises(TimeoutError):
        await waiting


async def test_timeout_that_has_passed_raises_at_once():
    group = timeouts.TimeoutGroup[str]()
    async with asyncio.timeout(20):
        with pytest.raises(TimeoutError):
            await wait_forever(group, -1.0)


async def test_shorten_brings_each_timeout_forward_by_its_owner():
    group = timeouts.TimeoutGroup[float]()

    async def wait(owner: float) -> None:
        async with group.timeout(owner, 60.0):
            await asyncio.Event().wait()

    waiting, later = (asyncio.create_task(wait(owner)) for owner in (0.0, 50.0))
    await asyncio.sleep(0)
    group.shorten(lambda owner: owner)
    async with asyncio.timeout(20):
        with pytest.raises(TimeoutError):
            await waiting
    assert not later.done()
    later.cancel()
