"""Wires the entry role: the lease, look-ups, pools, limits and the request path."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time
from collections.abc import Callable

from aiohttp import web

from yuccapitch.catalogue import ids
from yuccapitch.control import lease_client
from yuccapitch.gateway import (
    attempt_runner,
    claim_service,
    config_view,
    endpoint_monitor,
    exchange,
    forwarding,
    lookup,
    metric_table,
    metrics as gateway_metrics,
    pool_counts,
    pool_service,
    region_states,
    request_path,
    share_service,
)
from yuccapitch.node import entry_views, http_server, settings_table, tasks
from yuccapitch.protocol import events, peers as inner_peers, slot_messages
from yuccapitch.steering import entry_choice, health, ledger, resources

CONNECTIONS_PER_ENDPOINT = 64
LOADS_INTERVAL_S = 0.5
"""Time between counts to the instances of the own region."""
FAR_LOADS_EVERY = 2
"""Of so many counts, one goes to the instances of other regions as well."""
DRAIN_POLL_S = 0.05
STOP_POLL_S = 0.1


@dataclasses.dataclass(frozen=True)
class Parts:
    """What the entry role is built from."""

    settings: settings_table.Settings
    links: inner_peers.Peers
    own: lease_client.InstanceDescription
    metrics: gateway_metrics.Metrics
    clock: Callable[[], float]
    rng: random.Random
    on_failed: tasks.OnFailed
    """Called when a background task of the role fails."""


class EntryRole:
    """The running entry role of one instance."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        settings, own = parts.settings, parts.own
        self._instance_id = ids.InstanceId(own.instance_id)
        control_ids = [peer.instance_id for peer in settings.control_peers]
        self.lease = lease_client.LeaseClient(
            own,
            control_ids or [settings.instance_id],
            parts.links,
            settings.renew_interval_s,
            parts.clock,
            parts.rng,
        )
        self.state = request_path.GatewayState(
            lease_until=lambda: self.lease.lease_until
        )
        self._health_view = health.HealthView()
        self._watch = endpoint_monitor.EndpointMonitor(
            self._health_view, self._owned_endpoints, self._on_leaving, parts.clock
        )
        self._pools = pool_service.PoolService(
            self._instance_id,
            self._health_view,
            self._watch.is_leaving,
            parts.clock,
            parts.rng,
        )
        self._counts = pool_counts.PoolCounts(
            self._instance_id, self._pools, lambda: self.state.view, parts.clock
        )
        self._region_states = region_states.RegionStates(
            lambda endpoint_id: not self._watch.is_leaving(endpoint_id)
        )
        self._tokens = forwarding.ForwardTokens()
        self._claims = claim_service.Claims(
            self._instance_id,
            own.incarnation,
            parts.links,
            lambda: self.lease.is_leased(parts.clock()),
            parts.clock,
            time.time,
        )
        self._shares: share_service.Shares | None = None
        self._exchanges = exchange.ExchangeClient()
        self._load_sequence = itertools.count(1)
        self._path = self._request_path()

    async def start(
        self, application: web.Application, stack: contextlib.AsyncExitStack
    ) -> None:
        """Add the callers' paths to the application and begin to hold the lease."""
        await self._exchanges.start(CONNECTIONS_PER_ENDPOINT)
        stack.push_async_callback(self._exchanges.aclose)
        stack.push_async_callback(self._claims.aclose)
        self.lease.in_flight = lambda: self.state.in_flight
        self.lease.build_pool_reports = self._pools.reports
        self.lease.apply_pool_grants = self._pools.take_grants
        self._pools.on_given_up = self.lease.wake
        subscription = self.lease.configurations.subscribe(on_next=self._configure)
        stack.callback(subscription.dispose)
        self._parts.links.handle(slot_messages.PoolLoads, self._on_loads)
        self._parts.links.on_lost = self._on_link_lost
        application.on_response_prepare.append(self._close_if_stopping)
        application.router.add_get("/v1/entries", self._lookup_handler().handle)
        application.router.add_route("*", "/s/{service}{path:/.*|}", self._path.handle)
        self._read_gauges()
        for coroutine in (
            self.lease.run(),
            self._watch.run(),
            self._run_pools(),
            self._send_loads(),
        ):
            tasks.start(coroutine, stack, self._parts.on_failed)

    def not_ready_reason(self) -> str | None:
        """Return why the instance takes no new work, or None if it does."""
        if not self.state.accepts_requests or self.lease.is_stopping:
            return "stopping"
        if not self.lease.is_leased(self._parts.clock()):
            return "no configuration lease"
        if self._shares is None or self.state.region is None:
            return "the catalogue does not declare this instance"
        region = resources.region_resource_id(self.state.region)
        if not self._shares.share(region, self._parts.clock()):
            return "no share of the region's capacity"
        if not all(map(self._can_reach, self._owners_in_region())):
            return "no counts from the owner of a pool"
        if not self._claims.votes:
            return "no votes on new keys yet"
        return None

    async def drain(self) -> None:
        """Leave the answers, outlast cached ones, then finish what is in flight."""
        began_at = self._parts.clock()
        events.event("entry.drain-started", in_flight=self.state.in_flight)
        self.lease.is_stopping = True
        await self._until_stop_known(began_at)
        await asyncio.sleep(self._cached_answers_s())
        self.state.accepts_requests = False
        while self.state.in_flight:
            await asyncio.sleep(DRAIN_POLL_S)
        duration_s = self._parts.clock() - began_at
        self._parts.metrics.record_drain("instance", duration_s)
        events.event("entry.drain-finished", duration_s=round(duration_s, 3))

    def _read_gauges(self) -> None:
        metrics = self._parts.metrics
        metrics.read_gauge(
            metric_table.LIMIT_SHARE,
            lambda: [] if self._shares is None else self._shares.read_shares(),
        )
        metrics.read_gauge(
            metric_table.LIMIT_SHARE_USED,
            lambda: [] if self._shares is None else self._shares.read_used(),
        )
        metrics.read_gauge(metric_table.REGION_HEADROOM, self._counts.headroom)

    def _owners_in_region(self) -> set[ids.InstanceId]:
        view = self.state.view
        assert view is not None
        return {
            owner
            for pool, owner in self.lease.configuration.owners_by_pool.items()
            if pool.failure_domain in view.declaration.failure_domains_by_id
            and view.region_of_domain(pool.failure_domain) == self.state.region
        }

    def _can_reach(self, owner: ids.InstanceId) -> bool:
        return owner == self._instance_id or self._tokens.has_token(owner)

    async def _until_stop_known(self, began_at: float) -> None:
        """Wait until no other instance names this one.

        Without a leader that says so, it suffices that every lease under which
        another instance may not know of the stop has lapsed.
        """
        settings = self._parts.settings
        longest_s = settings.lease_duration_s * ledger.CLOCK_DRIFT_FACTOR**2
        while self._parts.clock() < began_at + longest_s:
            if self.lease.is_stop_known:
                return
            self.lease.wake()
            await asyncio.sleep(STOP_POLL_S)

    def _cached_answers_s(self) -> float:
        view = self.state.view
        if view is None:
            return 0.0
        services = view.declaration.services_by_id.values()
        ttl_s = max((service.answer_ttl_s for service in services), default=0.0)
        return ttl_s + self._parts.settings.drain_linger_s

    async def _close_if_stopping(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.lease.is_stopping:
            http_server.announce_close(response)

    def _request_path(self) -> request_path.RequestPath:
        parts = self._parts
        runner = attempt_runner.AttemptRunner(
            self._instance_id,
            self._pools,
            self._watch,
            self._health_view,
            self._exchanges,
            self._tokens,
            self._address,
            parts.clock,
            parts.rng,
        )
        return request_path.RequestPath(
            self.state,
            lambda: self._shares,
            self._claims,
            runner,
            self._tokens,
            self._region_states,
            parts.metrics,
            parts.settings.max_in_flight,
            parts.clock,
            parts.rng,
        )

    def _lookup_handler(self) -> lookup.LookupHandler:
        clock = self._parts.clock
        return lookup.LookupHandler(
            lambda: self.state.view,
            lambda: self.lease.is_leased(clock()),
            self._entry_views,
            lambda instance_id: self._address(instance_id) or ("", 0),
            self._claims.home_region,
            clock,
            time.time,
        )

    def _configure(self, configuration: lease_client.Configuration) -> None:
        declaration = configuration.declaration
        if declaration is None:
            return
        now = self._parts.clock()
        view = self.state.view
        if view is None or view.version != configuration.version:
            view = config_view.ConfigView(configuration.version, declaration)
            self.state.view = view
            instance = declaration.instances_by_id.get(self._instance_id)
            if instance is not None:
                self.state.region = view.region_of_domain(instance.failure_domain)
                self._declare_shares(view, now)
            self._watch.configure(view)
        self._pools.configure(view, configuration, now)
        self._claims.configure(
            declaration, configuration.holder_lists, configuration.live_by_id
        )

    def _declare_shares(self, view: config_view.ConfigView, now: float) -> None:
        assert self.state.region is not None
        if self._shares is None:
            self._shares = share_service.Shares(
                self._instance_id,
                self._parts.own.incarnation,
                self.state.region,
                self.lease.wake,
                self._parts.clock,
                self._parts.settings.lease_duration_s,
            )
            self.lease.build_share_renewal = self._shares.renewal
            self.lease.apply_share_answer = self._shares.on_answer
        self._shares.declare(view.declaration, now)

    def _entry_views(self, service: ids.ServiceId) -> list[entry_choice.EntryView]:
        if self.state.view is None:
            return []
        views = entry_views.entry_views(
            self.state.view,
            self.lease.configuration,
            service,
            self._counts,
            self._parts.clock(),
        )
        if not self.lease.is_stopping:
            return views
        return [view for view in views if view.instance_id != self._instance_id]

    def _owned_endpoints(self) -> set[ids.EndpointId]:
        return {
            endpoint_id
            for own in self._pools.own_pools.values()
            for endpoint_id in own.table.endpoint_ids
        }

    def _on_leaving(self) -> None:
        self._region_states.forget()
        self._pools.tick()

    def _address(self, instance_id: ids.InstanceId) -> tuple[str, int] | None:
        live = self.lease.configuration.live_by_id.get(instance_id)
        return None if live is None else (live.http_host, live.http_port)

    def _on_loads(self, peer_id: str, loads: slot_messages.PoolLoads) -> None:
        if loads.instance == peer_id:
            self._tokens.set_token(ids.InstanceId(peer_id), loads.forward_token)
            self._counts.hear(loads)

    def _on_link_lost(self, peer_id: str) -> None:
        self._pools.directory.mark_link_lost(ids.InstanceId(peer_id))

    async def _run_pools(self) -> None:
        while True:
            await asyncio.sleep(pool_service.TICK_INTERVAL_S)
            self._pools.tick()
            self._tell_readiness()
            self._abort_after_lapse()

    def _abort_after_lapse(self) -> None:
        # The leader counts this instance's work so long after its lease lapsed.
        ends_at = self.lease.lease_until + resources.MAX_IN_FLIGHT_LINGER_S
        if self._parts.clock() >= ends_at:
            self._path.abort_all()

    def _tell_readiness(self) -> None:
        is_ready = self.not_ready_reason() is None
        if is_ready and not self.lease.is_ready:
            # Once ready, an instance stays so: a gap in its shares is a reason to
            # refuse requests, not to leave the answers.
            self.lease.is_ready = True
            self.lease.wake()

    async def _send_loads(self) -> None:
        while True:
            sequence = next(self._load_sequence)
            message = self._counts.loads(sequence, self._tokens.local_token)
            for peer_id in self._peers_to_tell(sequence % FAR_LOADS_EVERY == 0):
                self._parts.links.send(peer_id, message)
            await asyncio.sleep(LOADS_INTERVAL_S)

    def _peers_to_tell(self, with_far: bool) -> list[ids.InstanceId]:
        view = self.state.view
        if view is None:
            return []
        peers = []
        for instance_id in self.lease.configuration.live_by_id:
            instance = view.declaration.instances_by_id.get(instance_id)
            if instance is None or instance_id == self._instance_id:
                continue
            region = view.region_of_domain(instance.failure_domain)
            if with_far or region == self.state.region:
                peers.append(instance_id)
        return peers


async def start(
    parts: Parts, application: web.Application, stack: contextlib.AsyncExitStack
) -> EntryRole:
    """Start the entry role."""
    role = EntryRole(parts)
    await role.start(application, stack)
    return role
