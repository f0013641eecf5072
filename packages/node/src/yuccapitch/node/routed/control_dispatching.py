"""Lets a control instance grant the places of its region's requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import result

from yuccapitch.catalogue import ids, routes
from yuccapitch.control import fleet as control_fleet, leader_polling, orders
from yuccapitch.gateway.front import place_service
from yuccapitch.node.routed import (
    adapter as routed_adapter,
    region_view,
    settings,
    timing,
)
from yuccapitch.protocol import (
    events,
    peers as inner_peers,
    subscription_messages as messages,
)


class ControlDispatching:
    """Dispatches where the leader chose this control instance."""

    def __init__(
        self,
        given: settings.RoutedSettings,
        adapter: routed_adapter.Adapter,
        links: inner_peers.Peers,
        fleet: control_fleet.Fleet,
        state: orders.OrderState,
        clock: Callable[[], float],
    ) -> None:
        self._given = given
        self._adapter = adapter
        self._links = links
        self._fleet = fleet
        self._state = state
        self._clock = clock
        self._table: routes.RouteTable | None = None
        self._state_index = 0
        self._endpoints_version = -1
        self._instances_version = -1
        self._region = region_view.RegionView(given, clock)
        self._service = place_service.PlaceService(
            given.instance_id,
            links,
            self._region.dispatcher,
            self._region.find_endpoint,
            clock,
            self._prepare,
        )

    async def run(self) -> None:
        """Act on the passing of time until cancelled."""
        while True:
            self._follow_choice()
            if self._service.is_dispatcher:
                self._prepare()
                self._service.tick()
                await asyncio.sleep(timing.TICK_INTERVAL_S)
            else:
                await asyncio.sleep(timing.REST_INTERVAL_S)

    def demands(self) -> tuple[messages.ServiceDemand, ...]:
        """Return the slots that the requests of the dispatcher need."""
        if not self._service.is_dispatcher:
            return ()
        return self._region.demands()

    def waiting_count(self) -> int:
        """Return how many requests wait for a place."""
        return self._region.dispatcher.waiting_count()

    def granted_count(self) -> int:
        """Return how many requests have a place."""
        return self._region.dispatcher.granted_count()

    def _follow_choice(self) -> None:
        self._region.set_dispatchers(self._fleet.dispatchers)
        dispatcher_id = self._region.dispatcher_id
        if dispatcher_id == self._service.dispatcher_id:
            return
        events.event(
            "place.dispatcher-changed",
            dispatcher=dispatcher_id,
            former=self._service.dispatcher_id,
            held=0,
        )
        self._service.dispatcher_id = dispatcher_id

    def _prepare(self) -> bool:
        """Take in what changed; true if enough is known to grant places."""
        fleet, is_changed = self._fleet, False
        if self._state_index != self._state.index:
            self._state_index = self._state.index
            is_changed = self._apply_state(self._state.message())
        if self._endpoints_version != fleet.endpoints_version:
            self._endpoints_version = fleet.endpoints_version
            self._region.set_endpoints(fleet.endpoints, self._list_age_ms())
            is_changed = True
        if self._instances_version != fleet.instances_version:
            self._instances_version = fleet.instances_version
            self._apply_entries(fleet.instances)
        if is_changed and self._table is not None:
            lent = self._region.refresh(self._table)
            for dispatcher_id, endpoint_ids in lent.items():
                leader_polling.set_address_from_id(self._links, dispatcher_id)
                self._service.send_warm_objects(endpoint_ids, dispatcher_id)
        return self._table is not None and bool(self._region.endpoints)

    def _apply_state(self, state: messages.OrderSnapshot) -> bool:
        decoded = self._adapter.decode_routes(state.content)
        if isinstance(decoded, result.Err):
            events.event(
                "routes.refused", revision=state.revision, reason=decoded.err_value
            )
            return False
        self._table = decoded.ok_value
        self._region.set_evacuated(state.evacuated_domains)
        return True

    def _list_age_ms(self) -> int:
        read_at = self._fleet.endpoints_read_at
        return 0 if read_at is None else round((self._clock() - read_at) * 1000)

    def _apply_entries(self, instances: Sequence[messages.EntryInstance]) -> None:
        gone_ids = self._region.set_entries(instances)
        region_id = self._given.region_id
        peer_ids = [i.instance_id for i in instances if i.region_id == region_id]
        for peer_id in peer_ids:
            leader_polling.set_address_from_id(self._links, peer_id)
        self._service.set_peers(ids.InstanceId(peer_id) for peer_id in peer_ids)
        for gone_id in gone_ids:
            self._service.remove_entry(ids.InstanceId(gone_id))
