"""Setup of the entry role: lease, lookups, slot pools, limits and request path."""

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
    pool_load_exchange,
    pool_service,
    region_states,
    request_path,
    share_service,
)
from yuccapitch.node import entry_views, http_server, settings_table, tasks
from yuccapitch.protocol import events, peers as inner_peers, slot_messages
from yuccapitch.steering import clock_drift, entry_choice, health, resources

CONNECTIONS_PER_ENDPOINT = 64
LOAD_REPORT_INTERVAL_S = 0.5
"""Interval of load reports to the instances of the local region."""
REMOTE_LOAD_REPORT_PERIOD = 2
"""Every this many load reports, one is also sent to the other regions."""
DRAIN_CHECK_INTERVAL_S = 0.05
STOP_CONFIRMATION_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True)
class EntryRoleDependencies:
    """Settings and services that the entry role requires."""

    settings: settings_table.Settings
    links: inner_peers.Peers
    description: lease_client.InstanceDescription
    metrics: gateway_metrics.Metrics
    clock: Callable[[], float]
    rng: random.Random
    on_failed: tasks.OnFailed
    """Called when a background task of the role fails."""


class EntryRole:
    """The running entry role of one instance."""

    def __init__(self, dependencies: EntryRoleDependencies) -> None:
        self._dependencies = dependencies
        settings, instance_description = dependencies.settings, dependencies.description
        self._instance_id = ids.InstanceId(instance_description.instance_id)
        control_ids = [peer.instance_id for peer in settings.control_peers]
        self.lease = lease_client.LeaseClient(
            instance_description,
            control_ids or [settings.instance_id],
            dependencies.links,
            settings.renew_interval_s,
            dependencies.clock,
            dependencies.rng,
        )
        self.state = request_path.GatewayState(
            lease_until=lambda: self.lease.lease_until
        )
        self._health_view = health.HealthView()
        self._endpoint_monitor = endpoint_monitor.EndpointMonitor(
            self._health_view,
            self._owned_endpoints,
            self._on_leaving,
            dependencies.clock,
        )
        self._pools = pool_service.PoolService(
            self._instance_id,
            self._health_view,
            self._endpoint_monitor.is_leaving,
            dependencies.clock,
            dependencies.rng,
        )
        self._load_exchange = pool_load_exchange.PoolLoadExchange(
            self._instance_id, self._pools, lambda: self.state.view, dependencies.clock
        )
        self._region_states = region_states.RegionStateCache(
            lambda endpoint_id: not self._endpoint_monitor.is_leaving(endpoint_id)
        )
        self._forward_tokens = forwarding.ForwardTokens()
        self._claims = claim_service.ClaimService(
            self._instance_id,
            instance_description.incarnation,
            dependencies.links,
            lambda: self.lease.is_leased(dependencies.clock()),
            dependencies.clock,
            time.time,
        )
        self._shares: share_service.ShareService | None = None
        self._exchange_client = exchange.ExchangeClient()
        self._load_sequence = itertools.count(1)
        self._request_path = self._create_request_path()

    async def start(
        self, application: web.Application, stack: contextlib.AsyncExitStack
    ) -> None:
        """Add the client routes to the application and start the background tasks.

        One of the tasks acquires and renews the configuration lease.
        """
        await self._exchange_client.start(CONNECTIONS_PER_ENDPOINT)
        stack.push_async_callback(self._exchange_client.aclose)
        stack.push_async_callback(self._claims.aclose)
        self.lease.in_flight = lambda: self.state.in_flight
        self.lease.build_pool_reports = self._pools.build_reports
        self.lease.apply_pool_grants = self._pools.apply_grants
        self._pools.on_pools_released = self.lease.wake
        subscription = self.lease.configurations.subscribe(on_next=self._configure)
        stack.callback(subscription.dispose)
        self._dependencies.links.handle(slot_messages.PoolLoads, self._on_load_report)
        self._dependencies.links.on_link_closed = self._on_link_lost
        application.on_response_prepare.append(self._close_if_stopping)
        application.router.add_get("/v1/entries", self._create_lookup_handler().handle)
        application.router.add_route(
            "*", "/s/{service}{path:/.*|}", self._request_path.handle
        )
        self._register_gauges()
        for coroutine in (
            self.lease.run(),
            self._endpoint_monitor.run(),
            self._run_pools(),
            self._watch_lease(),
            self._send_load_reports(),
        ):
            tasks.start(coroutine, stack, self._dependencies.on_failed)

    def not_ready_reason(self) -> str | None:
        """Return why the instance is not ready for requests, or None if it is ready."""
        if not self.state.accepts_requests or self.lease.is_stopping:
            return "stopping"
        if not self.lease.is_leased(self._dependencies.clock()):
            return "no configuration lease"
        if self._shares is None or self.state.region is None:
            return "the catalogue does not declare this instance"
        region = resources.region_resource_id(self.state.region)
        if not self._shares.share(region, self._dependencies.clock()):
            return "no share of the region's capacity"
        if not all(map(self._has_load_report_from, self._pool_owners_in_region())):
            return "no counts from the owner of a pool"
        if not self._claims.can_vote:
            return "no votes on new keys yet"
        return None

    async def drain(self) -> None:
        """Drain the instance.

        The instance leaves the lookup responses, waits until cached ones have expired,
        stops accepting requests and completes those in flight. It does not wait beyond
        their deadlines: a client that does not read its response is no reason to.
        """
        started_at = self._dependencies.clock()
        events.event("entry.drain-started", in_flight=self.state.in_flight)
        self.lease.is_stopping = True
        await self._wait_until_stop_known(started_at)
        await asyncio.sleep(self._cached_response_lifetime_s())
        self.state.accepts_requests = False
        expired_at = self._dependencies.clock() + self._longest_deadline_s()
        while self.state.in_flight and self._dependencies.clock() < expired_at:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        duration_s = self._dependencies.clock() - started_at
        self._dependencies.metrics.record_drain("instance", duration_s)
        events.event(
            "entry.drain-finished",
            duration_s=round(duration_s, 3),
            in_flight=self.state.in_flight,
        )

    def _register_gauges(self) -> None:
        metrics = self._dependencies.metrics
        metrics.register_gauge(
            metric_table.LIMIT_SHARE,
            lambda: [] if self._shares is None else self._shares.read_share_gauge(),
        )
        metrics.register_gauge(
            metric_table.LIMIT_SHARE_USED,
            lambda: [] if self._shares is None else self._shares.read_used_gauge(),
        )
        metrics.register_gauge(
            metric_table.REGION_HEADROOM, self._load_exchange.read_headroom_gauge
        )

    def _pool_owners_in_region(self) -> set[ids.InstanceId]:
        view = self.state.view
        assert view is not None
        return {
            owner
            for pool, owner in self.lease.configuration.owners_by_pool.items()
            if pool.failure_domain in view.declaration.failure_domains_by_id
            and view.region_of_domain(pool.failure_domain) == self.state.region
        }

    def _has_load_report_from(self, owner: ids.InstanceId) -> bool:
        return owner == self._instance_id or self._forward_tokens.has_token(owner)

    async def _wait_until_stop_known(self, started_at: float) -> None:
        """Wait until no other instance returns this one in lookup responses.

        The leader confirms this once every instance with a lease knows of the shutdown.
        Without its confirmation, wait until all leases have expired under which another
        instance may not know of it: an instance without a lease refuses lookups.
        """
        settings = self._dependencies.settings
        longest_s = settings.lease_duration_s * clock_drift.CLOCK_DRIFT_FACTOR**2
        while self._dependencies.clock() < started_at + longest_s:
            if self.lease.is_stop_propagated:
                return
            self.lease.wake()
            await asyncio.sleep(STOP_CONFIRMATION_INTERVAL_S)

    def _cached_response_lifetime_s(self) -> float:
        view = self.state.view
        if view is None:
            return 0.0
        services = view.declaration.services_by_id.values()
        ttl_s = max((service.answer_ttl_s for service in services), default=0.0)
        return ttl_s + self._dependencies.settings.drain_linger_s

    def _longest_deadline_s(self) -> float:
        view = self.state.view
        if view is None:
            return 0.0
        services = view.declaration.services_by_id
        return max(map(view.longest_deadline_s, services), default=0.0)

    async def _close_if_stopping(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.lease.is_stopping:
            http_server.close_after_last_response(request, response)

    def _create_request_path(self) -> request_path.RequestPath:
        dependencies = self._dependencies
        runner = attempt_runner.AttemptRunner(
            self._instance_id,
            self._pools,
            self._endpoint_monitor,
            self._health_view,
            self._exchange_client,
            self._forward_tokens,
            self._address,
            dependencies.clock,
            dependencies.rng,
        )
        return request_path.RequestPath(
            self.state,
            lambda: self._shares,
            self._claims,
            runner,
            self._forward_tokens,
            self._region_states,
            dependencies.metrics,
            dependencies.settings.max_in_flight,
            dependencies.clock,
            dependencies.rng,
        )

    def _create_lookup_handler(self) -> lookup.LookupHandler:
        clock = self._dependencies.clock
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
        now = self._dependencies.clock()
        view = self.state.view
        if view is None or view.version != configuration.version:
            view = config_view.ConfigView(configuration.version, declaration)
            self.state.view = view
            instance = declaration.instances_by_id.get(self._instance_id)
            if instance is not None:
                self.state.region = view.region_of_domain(instance.failure_domain)
                self._update_shares(view, now)
            self._endpoint_monitor.configure(view)
        self._pools.configure(view, configuration, now)
        self._claims.configure(
            declaration, configuration.holder_lists, configuration.live_by_id
        )

    def _update_shares(self, view: config_view.ConfigView, now: float) -> None:
        assert self.state.region is not None
        if self._shares is None:
            self._shares = share_service.ShareService(
                self._instance_id,
                self._dependencies.description.incarnation,
                self.state.region,
                self.lease.wake,
                self._dependencies.clock,
                self._dependencies.settings.lease_duration_s,
            )
            self.lease.build_share_renewal = self._shares.next_renewal
            self.lease.apply_share_answer = self._shares.apply_answer
        self._shares.update_resources(view.declaration, now)

    def _entry_views(self, service: ids.ServiceId) -> list[entry_choice.EntryView]:
        if self.state.view is None:
            return []
        views = entry_views.build_entry_views(
            self.state.view,
            self.lease.configuration,
            service,
            self._load_exchange,
            self._dependencies.clock(),
        )
        if not self.lease.is_stopping:
            return views
        return [view for view in views if view.instance_id != self._instance_id]

    def _owned_endpoints(self) -> set[ids.EndpointId]:
        return {
            endpoint_id
            for owned_pool in self._pools.owned_pools.values()
            for endpoint_id in owned_pool.table.endpoint_ids
        }

    def _on_leaving(self) -> None:
        self._region_states.invalidate()
        self._pools.tick()

    def _address(self, instance_id: ids.InstanceId) -> tuple[str, int] | None:
        live = self.lease.configuration.live_by_id.get(instance_id)
        return None if live is None else (live.http_host, live.http_port)

    def _on_load_report(self, peer_id: str, loads: slot_messages.PoolLoads) -> None:
        if loads.instance == peer_id:
            self._forward_tokens.set_token(ids.InstanceId(peer_id), loads.forward_token)
            self._load_exchange.update_counts(loads)

    def _on_link_lost(self, peer_id: str) -> None:
        self._pools.directory.mark_link_lost(ids.InstanceId(peer_id))

    async def _run_pools(self) -> None:
        while True:
            await asyncio.sleep(pool_service.TICK_INTERVAL_S)
            self._pools.tick()
            self._report_readiness()

    async def _watch_lease(self) -> None:
        # A task of its own, since requests in flight must respect the lease also while
        # the instance stops after a failure of the pools.
        while True:
            await asyncio.sleep(pool_service.TICK_INTERVAL_S)
            self._abort_after_lease_expiry()

    def _abort_after_lease_expiry(self) -> None:
        # After the lease has expired, the leader counts the requests of this instance
        # for at most MAX_IN_FLIGHT_LINGER_S. Requests that still run then are aborted.
        counted_until = self.lease.lease_until + resources.MAX_IN_FLIGHT_LINGER_S
        if self._dependencies.clock() >= counted_until:
            self._request_path.abort_all()

    def _report_readiness(self) -> None:
        is_ready = self.not_ready_reason() is None
        if is_ready and not self.lease.is_ready:
            # Readiness is not withdrawn: while its shares are missing, an instance
            # refuses requests but remains in the lookup responses.
            self.lease.is_ready = True
            self.lease.wake()

    async def _send_load_reports(self) -> None:
        while True:
            sequence = next(self._load_sequence)
            message = self._load_exchange.build_loads(
                sequence, self._forward_tokens.local_token
            )
            for peer_id in self._load_report_peers(
                sequence % REMOTE_LOAD_REPORT_PERIOD == 0
            ):
                self._dependencies.links.send(peer_id, message)
            await asyncio.sleep(LOAD_REPORT_INTERVAL_S)

    def _load_report_peers(self, include_remote: bool) -> list[ids.InstanceId]:
        view = self.state.view
        if view is None:
            return []
        peers = []
        for instance_id in self.lease.configuration.live_by_id:
            instance = view.declaration.instances_by_id.get(instance_id)
            if instance is None or instance_id == self._instance_id:
                continue
            region = view.region_of_domain(instance.failure_domain)
            if include_remote or region == self.state.region:
                peers.append(instance_id)
        return peers


async def start(
    dependencies: EntryRoleDependencies,
    application: web.Application,
    stack: contextlib.AsyncExitStack,
) -> EntryRole:
    """Start the entry role."""
    role = EntryRole(dependencies)
    await role.start(application, stack)
    return role
