"""Runs a control instance: its part of the log, operators' calls, look-ups."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets

import result

from yuccapitch.catalogue import routes
from yuccapitch.consensus import (
    core as consensus_core,
    disk,
    replica as consensus_replica,
    state as core_state,
)
from yuccapitch.control import coordinator, leader_polling, orders
from yuccapitch.gateway.http1 import server as http_server
from yuccapitch.node import tasks
from yuccapitch.node.routed import (
    adapter as routed_adapter,
    control_dispatching,
    directory,
    metrics,
    settings,
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
# Entries after which the log is replaced by a snapshot; one may be 100 KB large.
SNAPSHOT_INTERVAL_ENTRIES = 100
LEADER_REST_S = 0.2
# Time for the leader to hear of a stop: a round trip between regions, and its work.
STOP_NOTICE_S = 0.25
# A follower misses three heartbeats and a round trip between regions of 0.11 s before
# it stands; entry instances that start know nothing until there is a leader.
TIMING = core_state.Timing(
    heartbeat_interval_s=0.15, min_election_timeout_s=0.6, max_election_timeout_s=1.0
)


class ControlNode:
    """One running control instance."""

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
        self._links = inner_peers.Peers(given.instance_id, timing.LINK_TIMING)
        self._meters = metrics.Meters()
        self._state = orders.OrderState()
        self._coordinator = coordinator.Coordinator(
            given.instance_id,
            self._state,
            self._links,
            adapter.endpoint_source(),
            self._clock,
        )
        self._follower = leader_polling.LeaderPoller(
            self._links, given.seed_ids, self._request, self._on_answer, self._clock
        )
        self._dispatching = control_dispatching.ControlDispatching(
            given,
            adapter,
            self._links,
            self._coordinator.fleet,
            self._state,
            self._clock,
        )
        self._replica: consensus_replica.Replica
        self._is_stopping = False
        self._servers: list[http_server.Server] = []

    async def start(self) -> result.Result[None, str]:
        """Recover the log and serve."""
        given = self._given
        if given.data_dir is None:
            return result.Err("a control instance needs a data folder")
        storage = disk.DiskStorage(
            given.data_dir / LOG_FOLDER, lambda: secrets.token_hex(IDENTITY_BYTES)
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
            self._core(recovered.ok_value),
            storage,
            self._send,
            self._state,
            self._clock,
            snapshot_interval_entries=SNAPSHOT_INTERVAL_ENTRIES,
            on_effect=self._coordinator.on_effect,
            may_join=lambda instance_id: True,
        )
        self._coordinator.attach(
            self._replica, lambda: self._request(self._follower.position)
        )
        for message_type in registry.NUMBERS_BY_TYPE:
            if message_type.__module__ == consensus_messages.__name__:
                self._links.handle(message_type, self._replica.receive)
        await self._links.start(given.inner.host, given.inner.port)
        self._stack.push_async_callback(self._links.aclose)
        await self._replica.start()
        self._stack.push_async_callback(self._replica.aclose)
        tasks.start(self._replica.wait_stopped(), self._stack, self._on_failed)
        tasks.start(self._coordinator.run(), self._stack, self._on_failed)
        tasks.start(
            self._coordinator.run_endpoint_updates(), self._stack, self._on_failed
        )
        tasks.start(self._follow(), self._stack, self._on_failed)
        tasks.start(self._dispatching.run(), self._stack, self._on_failed)
        self._add_gauges()
        await self._listen()
        return result.Ok(None)

    def reload(self, given: settings.RoutedSettings) -> None:
        """Use the seeds of changed settings."""
        self._given = given
        self._follower.set_seeds(given.seed_ids)
        self._replica.core.add_join_targets(given.seed_ids)

    async def drain(self) -> None:
        """Stop serving; another control instance takes over."""
        self._is_stopping = True
        self._follower.wake()
        for listening in self._servers:
            listening.drain()
            listening.close_idle()
        await asyncio.sleep(STOP_NOTICE_S)

    def _core(self, recovered: consensus_core.RecoveredState) -> consensus_core.Core:
        given = self._given
        seeds = sorted(given.seed_ids)
        core = consensus_core.Core(
            consensus_core.Settings(
                instance_id=given.instance_id,
                peer_ids=tuple(i for i in seeds if i != given.instance_id),
                # One instance founds the group; the others are admitted to it.
                is_founder=given.is_first_start
                and bool(seeds)
                and seeds[0] == given.instance_id,
                timing=TIMING,
                started_at_s=given.started_at_s,
            ),
            recovered,
            random.Random(),
            self._clock(),
        )
        return core

    async def _listen(self) -> None:
        given, adapter = self._given, self._adapter
        names = directory.Directory(self._coordinator.fleet, given.answer_life_s)
        served = (
            (given.operators, adapter.operator_handler(self._coordinator)),
            (given.lookups, adapter.lookup_handler(names)),
            (given.metrics, self._meters.handle),
        )
        for address, handler in served:
            if address is None:
                continue
            listening = http_server.Server(handler, self._clock, routes.CallerLimits)
            await listening.start(address.host, address.port)
            self._stack.push_async_callback(listening.aclose)
            self._servers.append(listening)

    def _add_gauges(self) -> None:
        meters, replica = self._meters, self._replica
        fleet = self._coordinator.fleet
        meters.gauge(
            "is_leader", "1 if confirmed.", lambda: float(self._coordinator.is_leader)
        )
        meters.gauge("term", "Term of the log.", lambda: replica.core.term)
        meters.gauge(
            "applied_index", "Last applied entry.", lambda: replica.applied_index
        )
        meters.gauge(
            "voters",
            "Control instances that vote.",
            lambda: len(replica.core.members.voters()),
        )
        meters.gauge(
            "revision", "Revision of the routes.", lambda: self._state.revision
        )
        meters.gauge(
            "places_waiting",
            "Requests that wait for a place of this dispatcher.",
            self._dispatching.waiting_count,
        )
        meters.gauge(
            "places_granted",
            "Places that this dispatcher has granted and not got back.",
            self._dispatching.granted_count,
        )
        meters.gauge("entries", "Entry instances known.", lambda: len(fleet.instances))
        meters.gauge(
            "endpoints", "Endpoints listed.", lambda: len(fleet.endpoints_by_id)
        )

    async def _follow(self) -> None:
        while True:
            if self._coordinator.is_leader:
                await asyncio.sleep(LEADER_REST_S)
            else:
                delay_s = await self._follower.poll()
                self._replica.core.add_join_targets(self._follower.control_ids)
                if self._follower.leader_id is not None:
                    self._replica.core.add_join_targets([self._follower.leader_id])
                await self._follower.wait_for_next_poll(delay_s)

    def _request(self, position: leader_polling.Position) -> messages.FollowRequest:
        given = self._given
        return messages.FollowRequest(
            instance_id=given.instance_id,
            is_entry=False,
            region_id=given.region_id,
            failure_domain=given.failure_domain,
            http_host=given.inner.host,
            http_port=given.inner.port,
            is_ready=True,
            is_stopping=self._is_stopping,
            term=position.term,
            # The state itself comes by the log.
            state_index=1 << 62,
            endpoints_version=position.endpoints_version,
            instances_version=position.instances_version,
            demands=self._dispatching.demands(),
            link_bits_per_s=given.link_bits_per_s,
            dispatcher_id="",
            revision=self._state.revision,
        )

    def _on_answer(self, answer: messages.FollowAnswer) -> None:
        if not self._coordinator.is_leader:
            self._coordinator.fleet.apply_leader_answer(answer, self._clock())

    def _send(self, peer_id: str, message: consensus_messages.Message) -> None:
        leader_polling.set_address_from_id(self._links, peer_id)
        self._links.send(peer_id, message)
