"""Control instance: replicated log, operator requests and client lookups."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets

import result

from yuccapitch.consensus import (
    core as consensus_core,
    disk,
    replica as consensus_replica,
    state as core_state,
)
from yuccapitch.control import coordinator, leader_polling, orders
from yuccapitch.gateway.http1 import memory_budget, server as http_server
from yuccapitch.node import loop_monitor, tasks
from yuccapitch.node.routed import (
    adapter as routed_adapter,
    control_dispatching,
    entry_directory,
    metrics,
    server_limits,
    settings,
    sync_monitor,
    timing,
)
from yuccapitch.protocol import (
    consensus_messages,
    events,
    peers as inner_peers,
    registry,
    subscription_messages as messages,
)

IDENTITY_BYTES = 16
LOG_FOLDER = "log"
# Log entries between snapshots; an entry can be up to 100 KB large.
SNAPSHOT_INTERVAL_ENTRIES = 100
LEADER_CHECK_INTERVAL_S = 0.2
# Time for the leader to learn of the shutdown: a round trip between regions plus
# processing time.
STOP_NOTICE_S = 0.25
# Time after that within which orders in progress are answered: for the longest order
# and the delivery of its response. A leader that stops leads until it ends, so
# that one slow client must not hold it up for the whole grace.
MAX_FINISH_S = 2 * coordinator.FORWARD_TIMEOUT_S
# A follower starts an election only after three missed heartbeats plus a round trip
# between regions of 0.11 s. The timeout is not longer because entry instances that
# start have no routing state until there is a leader.
ELECTION_TIMING = core_state.Timing(
    heartbeat_interval_s=0.15, min_election_timeout_s=0.6, max_election_timeout_s=1.0
)


class ControlNode:
    """One running control instance."""

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
        self._links = inner_peers.Peers(
            node_settings.instance_id,
            timing.LINK_TIMING,
            budget=server_limits.inner_budget(),
        )
        self.metrics = metrics.RoutedMetrics()
        self._state = orders.OrderState()
        self._coordinator = coordinator.Coordinator(
            node_settings.instance_id,
            self._state,
            self._links,
            adapter.endpoint_source(),
            self._clock,
        )
        self._leader_poller = leader_polling.LeaderPoller(
            self._links,
            node_settings.seed_ids,
            self._build_poll_request,
            self._on_poll_response,
            self._clock,
        )
        self._dispatching = control_dispatching.ControlDispatching(
            node_settings,
            adapter,
            self._links,
            self._coordinator.fleet,
            self._state,
            self._clock,
        )
        self._replica: consensus_replica.Replica
        self._sync_monitor = sync_monitor.SyncMonitor()
        self._is_stopping = False
        self._servers: list[http_server.Server] = []

    async def start(self) -> result.Result[None, str]:
        """Recover the log, join the consensus group and start the servers."""
        node_settings = self._node_settings
        if node_settings.data_dir is None:
            return result.Err("a control instance requires a data folder")
        storage = disk.DiskStorage(
            node_settings.data_dir / LOG_FOLDER,
            lambda: secrets.token_hex(IDENTITY_BYTES),
        )
        recovered = storage.load()
        if isinstance(recovered, result.Err):
            storage.close()
            return result.Err(str(recovered.err_value))
        events.event(
            "log.recovered",
            entries=len(recovered.ok_value.entries),
            term=recovered.ok_value.hard_state.term,
            identity=recovered.ok_value.identity,
        )
        self._replica = consensus_replica.Replica(
            self._create_core(recovered.ok_value),
            storage,
            self._send,
            self._state,
            self._clock,
            snapshot_interval_entries=SNAPSHOT_INTERVAL_ENTRIES,
            on_effect=self._coordinator.on_effect,
            may_join=lambda instance_id: True,
            on_sync=self._sync_monitor.observe,
            on_no_space=self._sync_monitor.on_no_space,
        )
        self._coordinator.attach(
            self._replica,
            lambda: self._build_poll_request(self._leader_poller.position),
        )
        for message_type in registry.NUMBERS_BY_TYPE:
            if message_type.__module__ == consensus_messages.__name__:
                self._links.handle(message_type, self._replica.receive)
        await self._links.start(
            node_settings.inner_address.host, node_settings.inner_address.port
        )
        self._stack.push_async_callback(self._links.aclose)
        await self._replica.start()
        self._stack.push_async_callback(self._replica.aclose)
        tasks.start(self._replica.wait_stopped(), self._stack, self._on_failed)
        # A reading that fails leaves the list in use, whose age the followers know.
        tasks.start_optional(self._coordinator.run_endpoint_updates, self._stack)
        for run in (self._coordinator.run, self._poll_leader, self._dispatching.run):
            tasks.start_needed(run, self._stack, self._on_failed)
        self._add_gauges()
        await self._listen()
        return result.Ok(None)

    def reload(self, node_settings: settings.RoutedSettings) -> None:
        """Apply the settings that can change at runtime, such as the seeds."""
        self._node_settings = self._node_settings.reload(node_settings)
        self._leader_poller.set_seeds(node_settings.seed_ids)
        self._replica.core.add_join_targets(node_settings.seed_ids)

    async def drain(
        self, stopped_at: float, loop_lag_s: float = 0.0, signal_age_s: float = 0.0
    ) -> None:
        """Stop serving and let another control instance take over.

        Requests that were read, such as orders on their way to a quorum, are answered.
        They are due long before the grace ends, also if the event loop is late.
        """
        signalled_at = stopped_at - loop_monitor.signal_delay_s(signal_age_s)
        grace_ends_at = signalled_at + self._node_settings.stop_grace_s
        ends_at = min(
            grace_ends_at - timing.EXIT_MARGIN_S,
            stopped_at + STOP_NOTICE_S + MAX_FINISH_S,
        )
        self._is_stopping = True
        self._leader_poller.wake()
        for server in self._servers:
            server.drain()
        await asyncio.sleep(STOP_NOTICE_S)
        await asyncio.gather(*(server.finish(ends_at) for server in self._servers))
        events.event(
            "control.drain-finished",
            in_flight=sum(server.requests_in_flight for server in self._servers),
            took_ms=round((self._clock() - stopped_at) * 1000),
        )

    def _create_core(
        self, recovered: consensus_core.RecoveredState
    ) -> consensus_core.Core:
        node_settings = self._node_settings
        seeds = sorted(node_settings.seed_ids)
        core = consensus_core.Core(
            consensus_core.Settings(
                instance_id=node_settings.instance_id,
                peer_ids=tuple(i for i in seeds if i != node_settings.instance_id),
                # Only the first seed founds the group; the group admits the others.
                is_founder=node_settings.is_bootstrap
                and bool(seeds)
                and seeds[0] == node_settings.instance_id,
                timing=ELECTION_TIMING,
                started_at_s=node_settings.started_at_s,
            ),
            recovered,
            random.Random(),
            self._clock(),
        )
        return core

    async def _listen(self) -> None:
        node_settings, adapter = self._node_settings, self._adapter
        directory = entry_directory.EntryDirectory(
            self._coordinator.fleet, node_settings.lookup_ttl_s
        )
        order_budget = memory_budget.MemoryBudget(
            memory_budget.buffered_bytes(node_settings.memory_limit_bytes)
        )
        query_budget = server_limits.query_budget()
        listeners = (
            (
                node_settings.operator_address,
                adapter.operator_handler(self._coordinator),
                server_limits.order_limits,
                order_budget,
            ),
            (
                node_settings.lookup_address,
                adapter.lookup_handler(directory),
                server_limits.query_limits,
                query_budget,
            ),
            (
                node_settings.metrics_address,
                self.metrics.handle,
                server_limits.query_limits,
                query_budget,
            ),
        )
        for address, handler, limits, budget in listeners:
            if address is None:
                continue
            server = http_server.Server(handler, self._clock, limits, budget)
            await server.start(address.host, address.port)
            self._stack.push_async_callback(server.aclose)
            self._servers.append(server)

    def _add_gauges(self) -> None:
        routed_metrics, replica = self.metrics, self._replica
        fleet = self._coordinator.fleet
        routed_metrics.add_gauge(
            "is_leader", "1 if confirmed.", lambda: float(self._coordinator.is_leader)
        )
        routed_metrics.add_gauge("term", "Term of the log.", lambda: replica.core.term)
        routed_metrics.add_gauge(
            "applied_index", "Last applied entry.", lambda: replica.applied_index
        )
        monitor = self._sync_monitor
        routed_metrics.add_gauge(
            "log_sync_seconds",
            "Duration of the last write to the log's disk, with its syncs.",
            lambda: monitor.last_s,
        )
        routed_metrics.add_gauge(
            "log_sync_longest_seconds",
            "Longest write to the log's disk since the start.",
            lambda: monitor.longest_s,
        )
        routed_metrics.add_gauge(
            "voters",
            "Control instances that vote.",
            lambda: len(replica.core.members.voters()),
        )
        routed_metrics.add_gauge(
            "revision", "Revision of the routes.", lambda: self._state.revision
        )
        routed_metrics.add_gauge(
            "instances_behind",
            "Entry instances that may act on an older state; 0 unless leading.",
            lambda: float(len(self._coordinator.instances_behind())),
        )
        routed_metrics.add_gauge(
            "places_waiting",
            "Requests that wait for a place of this dispatcher.",
            self._dispatching.waiting_count,
        )
        routed_metrics.add_gauge(
            "places_granted",
            "Places that this dispatcher has granted and not got back.",
            self._dispatching.granted_count,
        )
        routed_metrics.add_gauge(
            "endpoints_rate_limited",
            "Endpoints that name a limit of their request rate.",
            self._dispatching.rate_limited_count,
        )
        routed_metrics.add_gauge(
            "entries", "Entry instances known.", lambda: len(fleet.instances)
        )
        routed_metrics.add_gauge(
            "endpoints", "Endpoints listed.", lambda: len(fleet.endpoints_by_id)
        )

    async def _poll_leader(self) -> None:
        while True:
            if self._coordinator.is_leader:
                await asyncio.sleep(LEADER_CHECK_INTERVAL_S)
            else:
                delay_s = await self._leader_poller.poll()
                self._replica.core.add_join_targets(self._leader_poller.control_ids)
                if self._leader_poller.leader_id is not None:
                    self._replica.core.add_join_targets([self._leader_poller.leader_id])
                await self._leader_poller.wait_for_next_poll(delay_s)

    def _build_poll_request(
        self, position: leader_polling.Position
    ) -> messages.PollRequest:
        node_settings = self._node_settings
        return messages.PollRequest(
            instance_id=node_settings.instance_id,
            is_entry=False,
            region_id=node_settings.region_id,
            failure_domain=node_settings.failure_domain,
            http_host=node_settings.inner_address.host,
            http_port=node_settings.inner_address.port,
            is_ready=True,
            is_stopping=self._is_stopping,
            term=position.term,
            # Higher than any log index, so that the leader sends no state updates: this
            # instance receives the state through the replicated log.
            state_index=1 << 62,
            endpoints_version=position.endpoints_version,
            instances_version=position.instances_version,
            demands=self._dispatching.demands(),
            link_bits_per_s=node_settings.link_bits_per_s,
            dispatcher_id="",
            revision=self._state.revision,
        )

    def _on_poll_response(self, response: messages.PollResponse) -> None:
        if not self._coordinator.is_leader:
            self._coordinator.fleet.apply_leader_answer(response, self._clock())

    def _send(self, peer_id: str, message: consensus_messages.Message) -> None:
        leader_polling.set_address_from_id(self._links, peer_id)
        self._links.send(peer_id, message)
