"""Runs an entry instance: callers' requests, and what it follows of the leader."""

from __future__ import annotations

import asyncio
import contextlib
import zlib

import result

from yuccapitch.catalogue import ids, routes
from yuccapitch.control import coordinator, leader_polling, orders
from yuccapitch.gateway.front import (
    endpoint_sender,
    region_placer,
    request_path,
    routing_state,
)
from yuccapitch.gateway.http1 import messages as http_messages, server as http_server
from yuccapitch.node import tasks
from yuccapitch.node.routed import (
    adapter as routed_adapter,
    metrics,
    region_view,
    settings,
    timing,
)
from yuccapitch.protocol import (
    events,
    peers as inner_peers,
    subscription_messages as messages,
)

# Callers may use a cached answer of a look-up for three times its life.
CACHED_LIVES = 3
# Time kept back at the end of a stop for closing connections.
STOP_MARGIN_S = 0.5
STOP_CHECK_INTERVAL_S = 0.05


class EntryNode:
    """One running entry instance."""

    def __init__(
        self,
        given: settings.RoutedSettings,
        adapter: routed_adapter.Adapter,
        stack: contextlib.AsyncExitStack,
        on_failed: tasks.OnFailed,
    ) -> None:
        self._given = given
        self._adapter = adapter
        self._stack = stack
        self._on_failed = on_failed
        self._clock = coordinator.boot_time_s
        self._view = routing_state.RoutingState()
        self._is_stopping = False
        self._meters = metrics.Meters()
        self._links = inner_peers.Peers(given.instance_id, timing.LINK_TIMING)
        self._follower = leader_polling.LeaderPoller(
            self._links,
            given.seed_ids,
            self._request,
            self._on_answer,
            self._clock,
            given.link_bits_per_s,
        )
        self._region = region_view.RegionView(given, self._clock)
        self._dispatcher = self._region.dispatcher
        self._placer = region_placer.RegionPlacer(
            given.instance_id,
            self._links,
            self._dispatcher,
            self._region.find_endpoint,
            self._clock,
            given.link_bits_per_s,
        )
        self._links.on_lost = self._placer.mark_link_lost
        self._sender = endpoint_sender.Sender(adapter.header_names, self._clock)
        self._path = request_path.RequestPath(
            given.instance_id,
            adapter.header_names,
            self._view,
            self._placer,
            self._sender,
            given.retry_allowance,
            self._clock,
            self._meters,
        )
        self._server = http_server.Server(self._handle, self._clock, self._view.limits)

    async def start(self) -> result.Result[None, str]:
        """Serve callers."""
        given = self._given
        if given.callers is None:
            return result.Err("an entry instance needs an address for callers")
        await self._links.start(given.inner.host, given.inner.port)
        self._stack.push_async_callback(self._links.aclose)
        self._stack.callback(self._sender.close)
        tasks.start(self._follower.run(), self._stack, self._on_failed)
        tasks.start(self._tick(), self._stack, self._on_failed)
        await self._server.start(given.callers.host, given.callers.port)
        self._stack.push_async_callback(self._server.aclose)
        self._add_gauges()
        served = (
            (given.readiness, self._adapter.readiness_handler(self._is_ready)),
            (given.metrics, self._meters.handle),
        )
        for address, handler in served:
            if address is not None:
                listening = http_server.Server(
                    handler, self._clock, routes.CallerLimits
                )
                await listening.start(address.host, address.port)
                self._stack.push_async_callback(listening.aclose)
        return result.Ok(None)

    def reload(self, given: settings.RoutedSettings) -> None:
        """Use the seeds of changed settings."""
        self._given = given
        self._follower.set_seeds(given.seed_ids)

    async def drain(self) -> None:
        """Leave the look-ups, wait for cached answers, finish what was read."""
        started_at = self._clock()
        end_at = started_at + self._given.stop_grace_s - STOP_MARGIN_S
        self._is_stopping = True
        self._follower.wake()
        self._server.drain()
        self._path.stop(end_at - STOP_MARGIN_S)
        cached_s = CACHED_LIVES * self._given.answer_life_s
        await asyncio.sleep(min(cached_s, self._given.stop_grace_s / 2))
        self._server.stop_listening()
        self._server.close_idle()
        while self._server.requests_in_flight and self._clock() < end_at:
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        events.event(
            "entry.drain-finished",
            in_flight=self._server.requests_in_flight,
            took_ms=round((self._clock() - started_at) * 1000),
        )

    async def _handle(self, request: http_messages.Request) -> http_messages.Response:
        return await self._path.handle(request)

    def _is_ready(self) -> bool:
        return self._view.table is not None and not self._is_stopping

    def _add_gauges(self) -> None:
        view_, meters = self._view, self._meters
        meters.gauge(
            "revision",
            "Revision of the routes in use; -1 without any.",
            lambda: _revision(view_),
        )
        meters.gauge(
            "confirmed_seconds",
            "Time since the leader confirmed the state.",
            lambda: min(1e6, self._clock() - view_.confirmed_at),
        )
        meters.gauge(
            "endpoints", "Endpoints on the list.", lambda: len(self._region.endpoints)
        )
        meters.gauge(
            "requests_in_flight",
            "Requests read and not yet answered.",
            lambda: self._server.requests_in_flight,
        )
        meters.gauge(
            "caller_connections",
            "Open connections of callers.",
            lambda: self._server.connection_count,
        )
        meters.gauge(
            "endpoint_connects",
            "Connections opened to the endpoints that are listed.",
            lambda: self._sender.connect_count,
        )
        meters.gauge(
            "places_waiting",
            "Requests that wait for a place of this dispatcher.",
            self._dispatcher.waiting_count,
        )
        meters.gauge(
            "places_granted",
            "Places that this dispatcher has granted and not got back.",
            self._dispatcher.granted_count,
        )

    async def _tick(self) -> None:
        while True:
            has_work = self._placer.needs_tick
            await asyncio.sleep(
                timing.TICK_INTERVAL_S if has_work else timing.REST_INTERVAL_S
            )
            self._placer.tick()

    def _request(self, position: leader_polling.Position) -> messages.FollowRequest:
        given = self._given
        assert given.callers is not None
        return messages.FollowRequest(
            instance_id=given.instance_id,
            is_entry=True,
            region_id=given.region_id,
            failure_domain=given.failure_domain,
            http_host=given.callers.host,
            http_port=given.callers.port,
            is_ready=self._is_ready(),
            is_stopping=self._is_stopping,
            term=position.term,
            state_index=position.state_index,
            endpoints_version=position.endpoints_version,
            instances_version=position.instances_version,
            demands=self._region.demands(),
            link_bits_per_s=given.link_bits_per_s,
            dispatcher_id=self._placer.dispatcher_id or "",
            revision=_revision(self._view),
        )

    def _on_answer(self, answer: messages.FollowAnswer) -> None:
        self._view.confirmed_at = self._follower.confirmed_at
        is_changed = False
        if answer.state is not None and answer.state_index > self._view.state_index:
            is_changed = self._apply_state(answer.state, answer.state_index)
        if answer.endpoints is not None:
            self._region.set_endpoints(answer.endpoints, answer.endpoints_age_ms)
            is_changed = True
        elif answer.endpoint_changes is not None:
            self._region.change_endpoints(
                answer.endpoint_changes, answer.endpoints_age_ms
            )
            is_changed = True
        if is_changed:
            self._sender.close_unlisted(self._region.endpoints)
        self._view.instance_count = max(1, answer.entry_count)
        if answer.instances is not None:
            self._apply_instances(answer.instances, answer.dispatchers)
        if is_changed and self._view.table is not None:
            lent = self._region.refresh(self._view.table)
            for dispatcher_id, endpoint_ids in lent.items():
                leader_polling.set_address_from_id(self._links, dispatcher_id)
                self._placer.send_warm_objects(endpoint_ids, dispatcher_id)

    def _apply_state(self, state: messages.StateUpdate, index: int) -> bool:
        if state.compressed_content and state.revision > _revision(self._view):
            content = zlib.decompress(state.compressed_content)
            decoded = self._adapter.decode_routes(content)
            if isinstance(decoded, result.Err):
                events.event(
                    "routes.refused",
                    revision=state.revision,
                    reason=decoded.err_value,
                )
                return False
            self._view.table = decoded.ok_value
        self._view.state_index = index
        self._region.set_evacuated(state.evacuated_domains)
        events.event(
            "routes.applied",
            revision=state.revision,
            index=index,
            evacuated=sorted(state.evacuated_domains),
        )
        return True

    def _apply_instances(
        self,
        instances: tuple[messages.EntryInstance, ...],
        dispatchers: tuple[messages.RegionDispatcher, ...],
    ) -> None:
        given = self._given
        gone_ids = self._region.set_entries(instances)
        peers = [i for i in instances if i.region_id == given.region_id]
        for peer in peers:
            leader_polling.set_address_from_id(self._links, peer.instance_id)
        self._region.set_dispatchers(dispatchers)
        dispatcher_id = self._region.dispatcher_id
        if dispatcher_id is not None:
            leader_polling.set_address_from_id(self._links, dispatcher_id)
        is_own = dispatcher_id == given.instance_id
        share = 1.0 if is_own else 1 / max(1, len(peers))
        self._dispatcher.table.capacity_share = share
        self._placer.set_peers(ids.InstanceId(peer.instance_id) for peer in peers)
        self._placer.set_dispatcher(dispatcher_id)
        for gone_id in gone_ids:
            self._placer.remove_entry(ids.InstanceId(gone_id))


def _revision(state: routing_state.RoutingState) -> int:
    return orders.NO_REVISION if state.table is None else state.table.revision
