"""Wires the entry role: the configuration lease, look-ups and the request path."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import Callable

from aiohttp import web

from yuccapitch.catalogue import ids, model
from yuccapitch.control import lease_client
from yuccapitch.gateway import (
    config_view,
    exchange,
    lookup,
    metrics as gateway_metrics,
    request_path,
)
from yuccapitch.node import settings_table
from yuccapitch.protocol import peers as inner_peers
from yuccapitch.steering import entry_choice

CONNECTIONS_PER_ENDPOINT = 100


@dataclasses.dataclass
class EntryRole:
    """The running entry role of one instance."""

    lease: lease_client.LeaseClient
    state: request_path.GatewayState
    clock: Callable[[], float]

    def not_ready_reason(self) -> str | None:
        """Return why the instance takes no new work, or None if it does."""
        if not self.state.takes_new_work:
            return "stopping"
        if not self.lease.is_leased(self.clock()):
            return "no configuration lease"
        return None


async def start(
    settings: settings_table.Settings,
    links: inner_peers.Peers,
    own: lease_client.Self,
    application: web.Application,
    metrics: gateway_metrics.Metrics,
    clock: Callable[[], float],
    rng: random.Random,
    stack: contextlib.AsyncExitStack,
) -> EntryRole:
    """Add the callers' paths to the application and begin to hold the lease."""
    control_ids = [peer.instance_id for peer in settings.control_peers]
    lease = lease_client.LeaseClient(
        own,
        control_ids or [settings.instance_id],
        links,
        settings.renew_interval_s,
        clock,
        rng,
    )
    state = request_path.GatewayState(lease_until=lambda: lease.lease_until)
    lease.in_flight = lambda: state.in_flight
    subscription = lease.configurations.subscribe(
        on_next=lambda configuration: _take(state, configuration)
    )
    stack.callback(subscription.dispose)
    exchanges = exchange.Exchanges()
    await exchanges.start(CONNECTIONS_PER_ENDPOINT)
    stack.push_async_callback(exchanges.aclose)
    role = EntryRole(lease, state, clock)
    path = request_path.RequestPath(
        state, exchanges, metrics, settings.max_in_flight, clock, rng
    )
    lookups = lookup.LookupHandler(
        lambda: state.view,
        lambda: lease.is_leased(clock()),
        lambda service: _entry_views(lease.configuration, clock()),
        lambda instance_id: _address(lease.configuration, instance_id),
        lambda region: region,
        clock,
        time.time,
    )
    application.router.add_get("/v1/entries", lookups.handle)
    application.router.add_route("*", "/s/{service}{path:/.*|}", path.handle)
    task = asyncio.create_task(lease.run())
    stack.push_async_callback(_cancel, task)
    return role


def _take(
    state: request_path.GatewayState, configuration: lease_client.Configuration
) -> None:
    if configuration.declaration is None:
        return
    if state.view is None or state.view.version != configuration.version:
        state.view = config_view.ConfigView(
            configuration.version, configuration.declaration
        )


def _entry_views(
    configuration: lease_client.Configuration, now: float
) -> list[entry_choice.EntryView]:
    declaration = configuration.declaration
    if declaration is None:
        return []
    views = []
    for instance_id, instance in declaration.instances_by_id.items():
        if model.Role.ENTRY not in instance.roles:
            continue
        views.append(
            entry_choice.EntryView(
                instance_id,
                declaration.failure_domains_by_id[instance.failure_domain].region,
                instance.failure_domain,
                _entry_state(configuration, instance_id),
                owned_slots=1,
                load=0.0,
                reported_at=now,
            )
        )
    return views


def _entry_state(
    configuration: lease_client.Configuration, instance_id: ids.InstanceId
) -> entry_choice.EntryState:
    live = configuration.live_by_id.get(instance_id)
    if live is None:
        return entry_choice.EntryState.DEAD
    if live.is_stopping:
        return entry_choice.EntryState.STOPPING
    return entry_choice.EntryState.SERVING


def _address(
    configuration: lease_client.Configuration, instance_id: ids.InstanceId
) -> tuple[str, int]:
    live = configuration.live_by_id[instance_id]
    return live.http_host, live.http_port


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
