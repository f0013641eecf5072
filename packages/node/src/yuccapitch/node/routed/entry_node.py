"""Entry instance: serves client requests by the state polled from the leader."""

from __future__ import annotations

import asyncio
import contextlib

import result

from yuccapitch.catalogue import ids, routes
from yuccapitch.control import coordinator, leader_polling, orders
from yuccapitch.gateway.front import (
    endpoint_sender,
    planned_stop,
    region_placer,
    request_path,
    routing_state,
)
from yuccapitch.gateway.http1 import (
    memory_budget,
    messages as http_messages,
    server as http_server,
)
from yuccapitch.node import loop_monitor, tasks
from yuccapitch.node.routed import (
    adapter as routed_adapter,
    dispatcher_inputs,
    memory_monitor,
    metrics,
    server_limits,
    settings,
    timing,
)
from yuccapitch.protocol import (
    decompression,
    events,
    peers as inner_peers,
    subscription_messages as messages,
)
from yuccapitch.steering.placement import apportionment

# Clients may use a cached lookup response for up to three times its TTL.
MAX_CACHED_TTLS = 3
# Part of the grace period that is reserved for the last responses and closing
# connections.
STOP_MARGIN_S = 0.5
# The same while the event loop is late: this many times its lag, for reading what has
# arrived and for sending the last responses, up to this fraction of the grace period.
STOP_MARGIN_LAGS = 3
MAX_STOP_MARGIN_FRACTION = 1 / 6
# Least time before those responses in which a request is still sent to an endpoint.
MIN_RESPONSE_TIME_S = 0.5
# Time after the stop signal within which requests are taken without regard to whether
# they end in time. Clients that follow the lookup send few later ones.
MAX_UNCHECKED_STOP_S = 3.0


class EntryNode:
    """One running entry instance."""

    def __init__(
        self,
        node_settings: settings.RoutedSettings,
        adapter: routed_adapter.Adapter,
        stack: contextlib.AsyncExitStack,
        on_failed: tasks.OnFailed,
    ) -> None:
        self._node_settings = node_settings
        self._adapter = adapter
        self._stack = stack
        self._on_failed = on_failed
        self._clock = coordinator.boot_time_s
        self._routing_state = routing_state.RoutingState(
            max_age_s=routing_state.max_state_age_s(node_settings.order_apply_limit_s)
        )
        self._is_stopping = False
        self.metrics = metrics.RoutedMetrics()
        self._links = inner_peers.Peers(
            node_settings.instance_id,
            timing.LINK_TIMING,
            budget=server_limits.inner_budget(),
        )
        self._leader_poller = leader_polling.LeaderPoller(
            self._links,
            node_settings.seed_ids,
            self._build_poll_request,
            self._on_poll_response,
            self._clock,
            node_settings.link_bits_per_s,
        )
        self._dispatcher_inputs = dispatcher_inputs.DispatcherInputs(
            node_settings, self._clock
        )
        self._dispatcher = self._dispatcher_inputs.dispatcher
        self._placer = region_placer.RegionPlacer(
            node_settings.instance_id,
            self._links,
            self._dispatcher,
            self._dispatcher_inputs.find_endpoint,
            self._clock,
            node_settings.link_bits_per_s,
        )
        self._links.on_link_closed = self._placer.mark_link_lost
        self._links.on_accepted_link_closed = self._placer.mark_accepted_link_lost
        # Requests and responses share one limit: the process has to stay below it.
        self._budget = memory_budget.MemoryBudget(
            memory_budget.buffered_bytes(node_settings.memory_limit_bytes)
        )
        self._sender = endpoint_sender.Sender(
            adapter.header_names,
            self._clock,
            self._dispatcher.table.notices,
            self._budget,
        )
        self._path = request_path.RequestPath(
            node_settings.instance_id,
            adapter.header_names,
            self._routing_state,
            self._placer,
            self._sender,
            node_settings.retry_budget,
            self._clock,
            self.metrics,
            self._dispatcher.table.notices,
        )
        self._server = http_server.Server(
            self._handle, self._clock, self._routing_state.limits, self._budget
        )

        self._memory_monitor = memory_monitor.MemoryMonitor(
            node_settings.memory_limit_bytes, self._budget, self._unread_bytes
        )

    async def start(self) -> result.Result[None, str]:
        """Start polling the leader and serving clients."""
        node_settings = self._node_settings
        if node_settings.caller_address is None:
            return result.Err("an entry instance requires an address for clients")
        await self._links.start(
            node_settings.inner_address.host, node_settings.inner_address.port
        )
        self._stack.push_async_callback(self._links.aclose)
        self._stack.callback(self._sender.close)
        tasks.start_optional(self._memory_monitor.run, self._stack)
        for run in (self._leader_poller.run, self._run_placer, self._run_wait_checks):
            tasks.start_needed(run, self._stack, self._on_failed)
        self._add_gauges()
        listeners = (
            (
                node_settings.readiness_address,
                self._adapter.readiness_handler(self._is_ready),
            ),
            (node_settings.metrics_address, self.metrics.handle),
        )
        budget = server_limits.query_budget()
        for address, handler in listeners:
            if address is not None:
                server = http_server.Server(
                    handler, self._clock, server_limits.query_limits, budget
                )
                await server.start(address.host, address.port)
                self._stack.push_async_callback(server.aclose)
        # The last step that can fail, so that a start that fails cuts no request.
        await self._server.start(
            node_settings.caller_address.host, node_settings.caller_address.port
        )
        self._stack.push_async_callback(self._server.aclose)
        return result.Ok(None)

    def reload(self, node_settings: settings.RoutedSettings) -> None:
        """Apply the settings that can change at runtime, such as the seeds."""
        self._node_settings = self._node_settings.reload(node_settings)
        self._leader_poller.set_seeds(node_settings.seed_ids)

    async def drain(
        self, stopped_at: float, loop_lag_s: float = 0.0, signal_age_s: float = 0.0
    ) -> None:
        """Drain the instance; the grace began at ``stopped_at``.

        The instance leaves the lookup responses, waits until cached ones have expired,
        and completes the requests that it has read. ``STOP_MARGIN_S`` before the grace
        ends, or sooner if the event loop is late by ``loop_lag_s``, those still in
        progress get their final response; until ``EXIT_MARGIN_S`` before it, responses
        are delivered and connections closed.

        Platforms count from when they sent the signal, up to ``signal_age_s`` before
        ``stopped_at``.
        """
        grace_s = self._node_settings.stop_grace_s
        signalled_at = stopped_at - loop_monitor.signal_delay_s(signal_age_s)
        grace_ends_at = signalled_at + grace_s
        ends_at = stop_ends_at(signalled_at, stopped_at, grace_s, loop_lag_s)
        cuts_at = grace_ends_at - timing.EXIT_MARGIN_S
        self._is_stopping = True
        self._leader_poller.wake()
        self._server.drain()
        cache_lifetime_s = MAX_CACHED_TTLS * self._node_settings.lookup_ttl_s
        # At least half of the grace period is left for the requests in flight.
        listens_for_s = min(cache_lifetime_s, self._node_settings.stop_grace_s / 2)
        handling_delay_s = max(loop_lag_s, signal_age_s)
        unchecked_s = max(0.0, MAX_UNCHECKED_STOP_S - handling_delay_s)
        schedule = planned_stop.StopSchedule(
            late_from=stopped_at + min(listens_for_s, unchecked_s),
            no_places_from=ends_at - MIN_RESPONSE_TIME_S,
            ends_at=ends_at,
        )
        try:
            self._path.stop(schedule)
        except Exception as error:
            # The requests in progress still end by their own deadlines.
            events.event("process.drain-failed", reason=repr(error))
            self._on_failed(repr(error))
        await asyncio.sleep(signalled_at + listens_for_s - self._clock())
        await self._server.finish(cuts_at)
        await self._sender.finish(cuts_at)
        for unfinished in self._server.find_unfinished():
            events.event(
                "entry.connection-cut",
                connection=unfinished.connection_id,
                unanswered_positions=unfinished.unanswered_positions,
                undelivered_positions=unfinished.undelivered_positions,
                unsent_bytes=unfinished.unsent_bytes,
            )
        events.event(
            "entry.drain-finished",
            in_flight=self._server.requests_in_flight,
            unsent=self._sender.flush_count,
            took_ms=round((self._clock() - stopped_at) * 1000),
            left_ms=round((grace_ends_at - self._clock()) * 1000),
        )

    async def _handle(self, request: http_messages.Request) -> http_messages.Response:
        return await self._path.handle(request)

    def _is_ready(self) -> bool:
        is_usable = self._routing_state.is_usable(self._clock())
        return is_usable and not self._is_stopping

    def _add_gauges(self) -> None:
        state, routed_metrics = self._routing_state, self.metrics
        routed_metrics.add_gauge(
            "revision",
            "Revision of the routes in use; -1 without any.",
            lambda: _revision(state),
        )
        routed_metrics.add_gauge(
            "confirmed_seconds",
            "Time since the leader confirmed the state.",
            lambda: min(1e6, self._clock() - state.confirmed_at),
        )
        routed_metrics.add_gauge(
            "endpoints",
            "Endpoints on the list.",
            lambda: len(self._dispatcher_inputs.endpoints),
        )
        routed_metrics.add_gauge(
            "endpoints_age_seconds",
            "Time since the leader's last reading of the list in use.",
            lambda: min(1e6, self._clock() - self._dispatcher_inputs.list_read_at),
        )
        routed_metrics.add_gauge(
            "requests_in_flight",
            "Requests read and not yet answered.",
            lambda: self._server.requests_in_flight,
        )
        routed_metrics.add_gauge(
            "caller_connections",
            "Open connections of callers.",
            lambda: self._server.connection_count,
        )
        routed_metrics.add_gauge(
            "message_bytes",
            "Bytes of the HTTP messages that this instance holds.",
            lambda: self._budget.used_bytes,
        )
        routed_metrics.add_gauge(
            "message_bytes_peak",
            "Most bytes of HTTP messages held at a time since the start.",
            lambda: self._budget.peak_bytes,
        )
        routed_metrics.add_gauge(
            "resident_bytes",
            "Resident memory of the process.",
            memory_monitor.resident_bytes,
        )
        routed_metrics.add_gauge(
            "unread_bytes",
            "Bytes that have arrived from clients and endpoints and are not read yet.",
            self._unread_bytes,
        )
        routed_metrics.add_gauge(
            "endpoint_connects",
            "Connections opened to the endpoints that are listed.",
            lambda: self._sender.connect_count,
        )
        routed_metrics.add_gauge(
            "endpoint_requests_unsent",
            "Requests that are still being sent though they were answered.",
            lambda: self._sender.flush_count,
        )
        routed_metrics.add_gauge(
            "places_waiting",
            "Requests that wait for a place of this dispatcher.",
            self._dispatcher.waiting_count,
        )
        routed_metrics.add_gauge(
            "places_granted",
            "Places that this dispatcher has granted and not got back.",
            self._dispatcher.granted_count,
        )
        routed_metrics.add_gauge(
            "endpoints_rate_limited",
            "Endpoints that name a limit of their request rate.",
            self._dispatcher.rate_limited_count,
        )

    def _unread_bytes(self) -> int:
        return self._server.unread_bytes() + self._sender.unread_bytes()

    async def _run_placer(self) -> None:
        while True:
            has_work = self._placer.needs_tick
            await asyncio.sleep(
                timing.TICK_INTERVAL_S if has_work else timing.IDLE_TICK_INTERVAL_S
            )
            self._placer.tick()

    async def _run_wait_checks(self) -> None:
        while True:
            await asyncio.sleep(region_placer.WAIT_CHECK_INTERVAL_S)
            await self._placer.check_waiting()

    def _build_poll_request(
        self, position: leader_polling.Position
    ) -> messages.PollRequest:
        node_settings = self._node_settings
        assert node_settings.caller_address is not None
        return messages.PollRequest(
            instance_id=node_settings.instance_id,
            is_entry=True,
            region_id=node_settings.region_id,
            failure_domain=node_settings.failure_domain,
            http_host=node_settings.caller_address.host,
            http_port=node_settings.caller_address.port,
            is_ready=self._is_ready(),
            is_stopping=self._is_stopping,
            term=position.term,
            state_index=self._routing_state.state_index,
            endpoints_version=position.endpoints_version,
            instances_version=position.instances_version,
            demands=self._dispatcher_inputs.service_demands(),
            link_bits_per_s=node_settings.link_bits_per_s,
            dispatcher_id=self._placer.dispatcher_id or "",
            revision=_revision(self._routing_state),
        )

    def _on_poll_response(self, response: messages.PollResponse) -> None:
        state = self._routing_state
        is_changed = False
        if response.state is not None and response.state_index > state.state_index:
            is_changed = True
            if self._apply_state(response.state, response.state_index):
                self._report_applied_state()
        has_current_list = self._has_current_list(response)
        if state.state_index >= response.state_index and has_current_list:
            state.confirmed_at = self._leader_poller.confirmed_at
        if response.endpoints is not None:
            self._dispatcher_inputs.set_endpoints(
                response.endpoints, response.endpoints_age_ms
            )
            is_changed = True
        elif response.endpoint_changes is not None:
            self._dispatcher_inputs.apply_endpoint_changes(
                response.endpoint_changes, response.endpoints_age_ms
            )
            is_changed = True
        elif has_current_list and response.endpoints_age_ms >= 0:
            self._dispatcher_inputs.confirm_list(response.endpoints_age_ms)
        if is_changed:
            self._sender.close_unlisted(self._dispatcher_inputs.endpoints)
        self._routing_state.instance_count = max(1, response.entry_count)
        if response.instances is not None:
            self._apply_instances(response.instances, response.dispatchers)
        if is_changed and self._routing_state.table is not None:
            reassigned = self._dispatcher_inputs.update_dispatcher(
                self._routing_state.table
            )
            for dispatcher_id, endpoint_ids in reassigned.items():
                leader_polling.set_address_from_id(self._links, dispatcher_id)
                self._placer.send_warm_objects(endpoint_ids, dispatcher_id)

    def _has_current_list(self, response: messages.PollResponse) -> bool:
        """Whether the endpoints in use are those that the leader has read last."""
        # A leader without a list replaces none.
        has_list = response.endpoints_age_ms >= 0
        held_version = self._leader_poller.position.endpoints_version
        return not has_list or held_version >= response.endpoints_version

    def _apply_state(self, state: messages.StateUpdate, index: int) -> bool:
        """Apply a state; return whether its routes could be read."""
        self._dispatcher_inputs.set_evacuated_domains(state.evacuated_domains)
        if state.compressed_content and state.revision > _revision(self._routing_state):
            decoded = self._decode_routes(state.compressed_content)
            if isinstance(decoded, result.Err):
                events.event(
                    "routes.refused",
                    revision=state.revision,
                    reason=decoded.err_value,
                )
                return False
            self._routing_state.table = decoded.ok_value
        self._routing_state.state_index = index
        events.event(
            "routes.applied",
            revision=state.revision,
            index=index,
            evacuated=sorted(state.evacuated_domains),
        )
        return True

    def _decode_routes(
        self, compressed_content: bytes
    ) -> result.Result[routes.RouteTable, str]:
        content = decompression.decompress(
            compressed_content, server_limits.MAX_ORDER_BYTES
        )
        if isinstance(content, result.Err):
            return content
        return self._adapter.decode_routes(content.ok_value)

    def _report_applied_state(self) -> None:
        # The next poll reports it as well, so a lost message only delays the leader.
        leader_id = self._leader_poller.leader_id
        if leader_id is not None:
            applied = messages.StateApplied(self._routing_state.state_index)
            self._links.send(leader_id, applied)

    def _apply_instances(
        self,
        instances: tuple[messages.EntryInstance, ...],
        dispatchers: tuple[messages.RegionDispatcher, ...],
    ) -> None:
        node_settings = self._node_settings
        removed_ids = self._dispatcher_inputs.set_entries(instances)
        peers = [i for i in instances if i.region_id == node_settings.region_id]
        for peer in peers:
            leader_polling.set_address_from_id(self._links, peer.instance_id)
        self._dispatcher_inputs.set_dispatchers(dispatchers)
        dispatcher_id = self._dispatcher_inputs.dispatcher_id
        if dispatcher_id is not None:
            leader_polling.set_address_from_id(self._links, dispatcher_id)
        is_dispatcher = dispatcher_id == node_settings.instance_id
        # If the region's dispatcher is unavailable, every entry instance of the region
        # places its own requests and uses its part of each endpoint's limits.
        peer_ids = [ids.InstanceId(peer.instance_id) for peer in peers]
        shares = apportionment.Apportionment(node_settings.instance_id, peer_ids)
        self._dispatcher.table.set_apportionment(
            None if is_dispatcher else shares, self._clock()
        )
        self._placer.set_peers(peer_ids)
        self._placer.set_dispatcher(dispatcher_id)
        # A stopping instance leaves the list, and still places what it has taken.
        for removed_id in removed_ids - {node_settings.instance_id}:
            self._placer.remove_entry(ids.InstanceId(removed_id))


def stop_ends_at(
    signalled_at: float, stopped_at: float, grace_s: float, loop_lag_s: float
) -> float:
    """Return when the requests in progress get their final response.

    The signal was sent between ``signalled_at`` and ``stopped_at``, so that the process
    may be killed a grace after the former. Platforms expect that endpoints are waited
    for until the last part of a grace that began with the latter.
    """
    grace_ends_at = signalled_at + grace_s
    waits_until = stopped_at + (1 - MAX_STOP_MARGIN_FRACTION) * grace_s
    return max(
        grace_ends_at - stop_margin_s(grace_s, loop_lag_s),
        min(waits_until, grace_ends_at - STOP_MARGIN_S),
    )


def stop_margin_s(grace_s: float, loop_lag_s: float) -> float:
    """Return the part of the grace period for the last responses."""
    max_margin_s = MAX_STOP_MARGIN_FRACTION * grace_s
    return max(STOP_MARGIN_S, min(STOP_MARGIN_LAGS * loop_lag_s, max_margin_s))


def _revision(state: routing_state.RoutingState) -> int:
    return orders.NO_REVISION if state.table is None else state.table.revision
