"""Measures processor time and control traffic of idle routed instances.

Run ``python -m bench.routed_idle``. It starts five control and eleven entry instances
as real processes without client traffic, behind proxies that count the bytes between
them.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import os
import pathlib
import random
import statistics
import tempfile

import aiohttp

from tests.soak import deployment, endpoints, history, network, operator

CONTROL_COUNT, ENTRY_COUNT = 5, 11
WARM_UP_S, MEASUREMENT_S = 8.0, 20.0
ENDPOINTS_PER_SERVICE = 17


async def main() -> None:
    """Start the instances, leave them idle, and print the resources they use."""
    rng, observations = random.Random(1), history.History()
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        cluster = deployment.Deployment(
            pathlib.Path(folder), CONTROL_COUNT, ENTRY_COUNT
        )
        stack.push_async_callback(cluster.aclose)
        links = network.Network()
        stack.push_async_callback(links.aclose)
        for instance in cluster.instances_by_name.values():
            bind_address = (instance.ip, deployment.PROCESS_PORT)
            await links.add(instance.instance_id, bind_address)
        platform_endpoints = _create_endpoints(cluster.endpoint_net, observations, rng)
        runner = await endpoints.PlatformList(platform_endpoints).start(
            cluster.list_host, deployment.LIST_PORT
        )
        stack.push_async_callback(runner.cleanup)
        for instance in cluster.instances_by_name.values():
            instance.start()
        controls = cluster.of_role("control")
        config_operator = operator.Operator(session, controls, observations, rng)
        async with asyncio.timeout(60):
            while not await config_operator.put_configuration(5.0):
                await asyncio.sleep(0.2)
        await asyncio.sleep(WARM_UP_S)
        before_s, before = _read_cpu_s(cluster), links.bytes_by_instance_id.copy()
        await asyncio.sleep(MEASUREMENT_S)
        _print_usage(cluster, before_s, before, _read_cpu_s(cluster), links)


def _create_endpoints(
    net: str, observations: history.History, rng: random.Random
) -> list[endpoints.Endpoint]:
    zones = list(deployment.ZONES)
    return [
        endpoints.Endpoint(
            f"i-{n}",
            service,
            zones[n % len(zones)],
            f"{net}.{n + 1}",
            8080,
            observations,
            rng,
        )
        for n in range(ENDPOINTS_PER_SERVICE)
        for service in operator.SERVICES
    ]


def _read_cpu_s(cluster: deployment.Deployment) -> dict[str, float]:
    """Return the processor time of each process, in seconds."""
    ticks_per_s = os.sysconf("SC_CLK_TCK")
    cpu_s_by_name = {}
    for name, instance in cluster.instances_by_name.items():
        assert instance.popen is not None
        fields = pathlib.Path(f"/proc/{instance.popen.pid}/stat").read_text()
        user, system = fields.rpartition(")")[2].split()[11:13]
        cpu_s_by_name[name] = (int(user) + int(system)) / ticks_per_s
    return cpu_s_by_name


def _print_usage(
    cluster: deployment.Deployment,
    before_s: dict[str, float],
    before: collections.Counter[str],
    after_s: dict[str, float],
    links: network.Network,
) -> None:
    for role in ("control", "entry"):
        instances = cluster.of_role(role)
        shares = [
            100 * (after_s[i.name] - before_s[i.name]) / MEASUREMENT_S
            for i in instances
        ]
        rates = [
            (links.bytes_by_instance_id[i.instance_id] - before[i.instance_id])
            / MEASUREMENT_S
            / 1000
            for i in instances
        ]
        print(
            f"{role}: {statistics.mean(shares):.2f} % of a core (maximum"
            f" {max(shares):.2f} %),"
            f" {statistics.mean(rates):.2f} KB/s in both directions"
            f" (maximum {max(rates):.2f})"
        )


if __name__ == "__main__":
    asyncio.run(main())
