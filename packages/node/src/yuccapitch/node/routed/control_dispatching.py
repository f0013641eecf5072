"""Placement dispatching by a control instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import result

from yuccapitch.catalogue import ids, routes
from yuccapitch.control import fleet as control_fleet, leader_polling, orders
from yuccapitch.gateway.front import place_service
from yuccapitch.node.routed import (
    adapter as routed_adapter,
    dispatcher_inputs,
    settings,
    timing,
)
from yuccapitch.protocol import (
    events,
    peers as inner_peers,
    subscription_messages as messages,
)


class ControlDispatching:
    """Dispatcher of a region, active while the leader selects this instance."""

    def __init__(
        self,
        node_settings: settings.RoutedSettings,
        adapter: routed_adapter.Adapter,
        links: inner_peers.Peers,
        fleet: control_fleet.Fleet,
        state: orders.OrderState,
        clock: Callable[[], float],
    ) -> None:
        self._node_settings = node_settings
        self._adapter = adapter
        self._links = links
        self._fleet = fleet
        self._state = state
        self._clock = clock
        self._route_table: routes.RouteTable | None = None
        self._state_index = 0
        self._endpoints_version = -1
        self._instances_version = -1
        self._dispatcher_inputs = dispatcher_inputs.DispatcherInputs(
            node_settings, clock
        )
        self._service = place_service.PlaceService(
            node_settings.instance_id,
            links,
            self._dispatcher_inputs.dispatcher,
            self._dispatcher_inputs.find_endpoint,
            clock,
            self._apply_changes,
        )

    async def run(self) -> None:
        """Apply changes and run the periodic work of the dispatcher until cancelled."""
        while True:
            self._update_dispatcher()
            if self._service.is_dispatcher:
                self._apply_changes()
                self._service.tick()
                await asyncio.sleep(timing.TICK_INTERVAL_S)
            else:
                await asyncio.sleep(timing.IDLE_TICK_INTERVAL_S)

    def demands(self) -> tuple[messages.ServiceDemand, ...]:
        """Return the slots that the dispatcher's requests need, per service."""
        if not self._service.is_dispatcher:
            return ()
        return self._dispatcher_inputs.service_demands()

    def waiting_count(self) -> int:
        """Return the number of requests that wait for a place."""
        return self._dispatcher_inputs.dispatcher.waiting_count()

    def granted_count(self) -> int:
        """Return the number of requests that have a place."""
        return self._dispatcher_inputs.dispatcher.granted_count()

    def rate_limited_count(self) -> int:
        """Return the number of endpoints that name a limit of their request rate."""
        return self._dispatcher_inputs.dispatcher.rate_limited_count()

    def _update_dispatcher(self) -> None:
        self._dispatcher_inputs.set_dispatchers(self._fleet.dispatchers)
        dispatcher_id = self._dispatcher_inputs.dispatcher_id
        if dispatcher_id == self._service.dispatcher_id:
            return
        events.event(
            "place.dispatcher-changed",
            dispatcher=dispatcher_id,
            former=self._service.dispatcher_id,
            held=0,
        )
        self._service.dispatcher_id = dispatcher_id

    def _apply_changes(self) -> bool:
        """Apply changed state; return whether it suffices to grant places."""
        fleet, is_changed = self._fleet, False
        if self._state_index != self._state.index:
            self._state_index = self._state.index
            self._apply_state(self._state.message())
            is_changed = True
        if self._endpoints_version != fleet.endpoints_version:
            self._endpoints_version = fleet.endpoints_version
            self._dispatcher_inputs.set_endpoints(fleet.endpoints, self._list_age_ms())
            is_changed = True
        if self._instances_version != fleet.instances_version:
            self._instances_version = fleet.instances_version
            self._apply_entries(fleet.instances)
        if is_changed and self._route_table is not None:
            reassigned = self._dispatcher_inputs.update_dispatcher(self._route_table)
            for dispatcher_id, endpoint_ids in reassigned.items():
                leader_polling.set_address_from_id(self._links, dispatcher_id)
                self._service.send_warm_objects(endpoint_ids, dispatcher_id)
        return self._route_table is not None and bool(self._dispatcher_inputs.endpoints)

    def _apply_state(self, state: messages.StateSnapshot) -> None:
        # Evacuations hold even if the routes are of a release that cannot be read here.
        self._dispatcher_inputs.set_evacuated_domains(state.evacuated_domains)
        decoded = self._adapter.decode_routes(state.content)
        if isinstance(decoded, result.Err):
            events.event(
                "routes.refused", revision=state.revision, reason=decoded.err_value
            )
            return
        self._route_table = decoded.ok_value

    def _list_age_ms(self) -> int:
        read_at = self._fleet.endpoints_read_at
        return 0 if read_at is None else round((self._clock() - read_at) * 1000)

    def _apply_entries(self, instances: Sequence[messages.EntryInstance]) -> None:
        removed_ids = self._dispatcher_inputs.set_entries(instances)
        region_id = self._node_settings.region_id
        peer_ids = [i.instance_id for i in instances if i.region_id == region_id]
        for peer_id in peer_ids:
            leader_polling.set_address_from_id(self._links, peer_id)
        self._service.set_peers(ids.InstanceId(peer_id) for peer_id in peer_ids)
        for removed_id in removed_ids:
            self._service.remove_entry(ids.InstanceId(removed_id))
