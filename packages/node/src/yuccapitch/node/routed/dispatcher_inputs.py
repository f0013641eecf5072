"""Inputs of a region's dispatcher: endpoints, entry instances and evacuations."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from yuccapitch.catalogue import ids, routes
from yuccapitch.node.routed import settings
from yuccapitch.protocol import events, subscription_messages as messages
from yuccapitch.steering.placement import dispatcher, model


class DispatcherInputs:
    """The state that the leader publishes, applied to a region's dispatcher."""

    def __init__(
        self, node_settings: settings.RoutedSettings, clock: Callable[[], float]
    ) -> None:
        self._node_settings = node_settings
        self._clock = clock
        self._endpoints_by_id: dict[ids.EndpointId, model.Endpoint] = {}
        self._domains_by_entry_id: dict[str, ids.FailureDomainId] = {}
        self._evacuated_domains: frozenset[ids.FailureDomainId] = frozenset()
        self._dispatcher_ids_by_region: dict[ids.RegionId, ids.InstanceId] = {}
        self.list_read_at = float("-inf")
        """Time of the leader's last reading that gave the list of endpoints in use."""
        self.dispatcher = dispatcher.Dispatcher(
            node_settings.region_id, self._domain_of_entry, random.Random()
        )

    @property
    def endpoints(self) -> list[model.Endpoint]:
        """All endpoints in the platform's list."""
        return list(self._endpoints_by_id.values())

    def find_endpoint(self, endpoint_id: ids.EndpointId) -> model.Endpoint | None:
        """Return an endpoint by id, or None if it is not in the list."""
        return self._endpoints_by_id.get(endpoint_id)

    @property
    def evacuated_domains(self) -> frozenset[ids.FailureDomainId]:
        """The evacuated failure domains."""
        return self._evacuated_domains

    def set_evacuated_domains(self, domains: Iterable[str]) -> None:
        """Set the evacuated failure domains."""
        self._evacuated_domains = frozenset(
            ids.FailureDomainId(domain) for domain in domains
        )

    def set_endpoints(
        self, records: Iterable[messages.EndpointRecord], age_ms: int
    ) -> None:
        """Replace the endpoints by the platform's list, read ``age_ms`` ago."""
        self._endpoints_by_id = {}
        self._update_endpoints(records, age_ms)

    def apply_endpoint_changes(
        self, changes: messages.EndpointChanges, age_ms: int
    ) -> None:
        """Apply changes of the platform's list, read ``age_ms`` ago."""
        for endpoint_id in changes.removed_ids:
            self._endpoints_by_id.pop(ids.EndpointId(endpoint_id), None)
        self._update_endpoints(changes.changed, age_ms)

    def confirm_list(self, age_ms: int) -> None:
        """Record that the list in use is the one that the leader read last."""
        self.list_read_at = self._clock() - age_ms / 1000

    def set_entries(self, entries: Iterable[messages.EntryInstance]) -> set[str]:
        """Replace the entry instances; return the ids of those that were removed."""
        previous_ids = set(self._domains_by_entry_id)
        self._domains_by_entry_id = {
            entry.instance_id: ids.FailureDomainId(entry.failure_domain)
            for entry in entries
        }
        return previous_ids - set(self._domains_by_entry_id)

    def set_dispatchers(self, dispatchers: Iterable[messages.RegionDispatcher]) -> None:
        """Set the dispatchers of all regions."""
        self._dispatcher_ids_by_region = {
            ids.RegionId(dispatcher.region_id): ids.InstanceId(dispatcher.instance_id)
            for dispatcher in dispatchers
        }

    @property
    def dispatcher_id(self) -> ids.InstanceId | None:
        """Id of the dispatcher of the local region."""
        return self._dispatcher_ids_by_region.get(self._node_settings.region_id)

    def update_dispatcher(
        self, table: routes.RouteTable
    ) -> dict[ids.InstanceId, list[ids.EndpointId]]:
        """Apply the current inputs to the dispatcher.

        Returns the endpoints that were reassigned to other regions, grouped by their
        new dispatcher.
        """
        reassigned = self.dispatcher.table.update(
            self._endpoints_by_id.values(),
            table.services_by_id,
            self._evacuated_domains,
            self._clock(),
        )
        reassigned_by_dispatcher: dict[ids.InstanceId, list[ids.EndpointId]] = {}
        for endpoint_id in reassigned:
            region_id = self._endpoints_by_id[endpoint_id].serving_region_id
            dispatcher_id = self._dispatcher_ids_by_region.get(region_id)
            if dispatcher_id is not None:
                reassigned_by_dispatcher.setdefault(dispatcher_id, []).append(
                    endpoint_id
                )
        return reassigned_by_dispatcher

    def service_demands(self) -> tuple[messages.ServiceDemand, ...]:
        """Return the slots that the dispatcher's requests need, per service."""
        return tuple(
            messages.ServiceDemand(service_id, self._node_settings.region_id, slots)
            for service_id, slots in self.dispatcher.estimates.demands(
                self._clock()
            ).items()
        )

    def _update_endpoints(
        self, records: Iterable[messages.EndpointRecord], age_ms: int
    ) -> None:
        self.confirm_list(age_ms)
        region_by_domain = self._node_settings.region_by_domain
        for record in records:
            endpoint = _create_endpoint(record, region_by_domain, age_ms)
            self._endpoints_by_id[endpoint.endpoint_id] = endpoint
        events.event(
            "endpoints.applied",
            count=len(self._endpoints_by_id),
            leaving=sum(e.is_leaving for e in self._endpoints_by_id.values()),
            cold=sum(e.cold_left_s > 0 for e in self._endpoints_by_id.values()),
            age_ms=age_ms,
        )

    def _domain_of_entry(self, entry_id: ids.InstanceId) -> ids.FailureDomainId | None:
        if entry_id == self._node_settings.instance_id:
            return self._node_settings.failure_domain
        return self._domains_by_entry_id.get(entry_id)


def _create_endpoint(
    record: messages.EndpointRecord,
    region_by_domain: settings.RegionsByDomain,
    age_ms: int,
) -> model.Endpoint:
    domain = ids.FailureDomainId(record.failure_domain)
    # A failure domain without a declared region forms a region of its own.
    region = region_by_domain.get(domain, ids.RegionId(domain))
    return model.Endpoint(
        ids.EndpointId(record.endpoint_id),
        ids.ServiceId(record.service_id),
        record.host,
        record.port,
        domain,
        region,
        record.slots,
        record.is_leaving,
        max(0, record.cold_left_ms - max(0, age_ms)) / 1000,
        record.incarnation,
        ids.RegionId(record.serving_region_id or region),
    )
