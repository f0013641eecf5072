"""Look-up of the entry instances that a client should use."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable

import result
from aiohttp import web

from yuccapitch.catalogue import ids
from yuccapitch.gateway import config_view, outcomes
from yuccapitch.steering import entry_choice, lookup_table

EntryViews = Callable[[ids.ServiceId], list[entry_choice.EntryView]]
Addresses = Callable[[ids.InstanceId], tuple[str, int]]


@dataclasses.dataclass(frozen=True)
class Lookup:
    """A look-up of the entry instances for a client of a service."""

    service: ids.ServiceId
    client: str


class LookupHandler:
    """Serves `GET /v1/entries` from data in memory."""

    def __init__(
        self,
        view: Callable[[], config_view.ConfigView | None],
        is_leased: Callable[[], bool],
        entries: EntryViews,
        addresses: Addresses,
        home_region: Callable[[ids.RegionId], ids.RegionId],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._is_leased = is_leased
        self._entries = entries
        self._addresses = addresses
        self._home_region = home_region
        self._clock = clock
        self._wall_clock = wall_clock

    async def handle(self, request: web.Request) -> web.Response:
        """Respond to a look-up."""
        view = self._view()
        if view is None or not self._is_leased():
            message = "the instance holds no configuration lease; ask another"
            return self._failure_response(outcomes.Failure(503, "no-lease", message))
        service = ids.ServiceId(request.query.get("service", ""))
        if service not in view.declaration.services_by_id:
            message = f"no service {service!r} is declared"
            return self._failure_response(
                outcomes.Failure(404, "unknown-service", message)
            )
        client = request.query.get("client") or request.remote or ""
        address = lookup_table.parse_address(client)
        if isinstance(address, result.Err):
            message = f"client must be an IP address, not {client!r}"
            return self._failure_response(
                outcomes.Failure(400, "malformed-client", message)
            )
        region = view.region_of_client(address.ok_value)
        return self._entries_response(view, service, client, region)

    def _entries_response(
        self,
        view: config_view.ConfigView,
        service: ids.ServiceId,
        client: str,
        region: ids.RegionId,
    ) -> web.Response:
        chosen = entry_choice.choose_entries(
            self._entries(service),
            view.regions_by_distance(region),
            client,
            self._clock(),
        )
        entries = []
        for entry in chosen:
            host, port = self._addresses(entry.instance_id)
            entry_fields = {"instance": entry.instance_id, "host": host, "port": port}
            entries.append({**entry_fields, "weight": round(entry.weight, 4)})
        key_time_ms = int(self._wall_clock() * 1000)
        body = {
            "service": service,
            "region": region,
            "version": view.version,
            "ttl_s": view.declaration.services_by_id[service].answer_ttl_s,
            "key_prefix": f"{self._home_region(region)}.{key_time_ms}.",
            "entries": entries,
        }
        headers = {outcomes.VERSION_HEADER: str(view.version)}
        return web.Response(
            text=json.dumps(body), content_type="application/json", headers=headers
        )

    def _failure_response(self, failure: outcomes.Failure) -> web.Response:
        view = self._view()
        return outcomes.failure_response(failure, 0 if view is None else view.version)
