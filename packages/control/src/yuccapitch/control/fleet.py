"""What is known of the fleet: endpoints of the platform's list, entry instances."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from yuccapitch.protocol import events, subscription_messages as messages

# Silence after which an entry instance is no longer named: four polls.
ENTRY_SILENCE_S = 2.0


# Time after which an instance that joined knows enough to dispatch.
SETTLED_AFTER_S = 3.0


@dataclasses.dataclass
class _Heard:
    instance: messages.EntryInstance
    at: float
    joined_at: float


class Fleet:
    """Endpoints and entry instances, each with a version that rises."""

    def __init__(self) -> None:
        self.endpoints_by_id: dict[str, messages.EndpointRecord] = {}
        self.endpoints_version = 0
        self.endpoints_read_at: float | None = None
        self.instances_version = 0
        self._heard_by_id: dict[str, _Heard] = {}
        self._dispatchers_by_region: dict[str, str] = {}
        self._demands_by_entry_id: dict[str, tuple[messages.ServiceDemand, ...]] = {}

    @property
    def instances(self) -> tuple[messages.EntryInstance, ...]:
        """The entry instances in the order of their ids."""
        heard = sorted(self._heard_by_id.items())
        dispatchers = set(self._dispatchers_by_region.values())
        return tuple(
            dataclasses.replace(item.instance, is_dispatcher=instance_id in dispatchers)
            for instance_id, item in heard
        )

    @property
    def endpoints(self) -> tuple[messages.EndpointRecord, ...]:
        """The endpoints in the order of their ids."""
        return tuple(record for _, record in sorted(self.endpoints_by_id.items()))

    def demands(self) -> dict[tuple[str, str], float]:
        """Return the slots needed, by service and region, over all dispatchers."""
        total: dict[tuple[str, str], float] = {}
        for demands in self._demands_by_entry_id.values():
            for demand in demands:
                key = (demand.service_id, demand.region_id)
                total[key] = total.get(key, 0.0) + demand.busy_slots
        return total

    def hear(self, request: messages.FollowRequest, now: float) -> bool:
        """Take in an entry instance's sign of life; true if that changed anything."""
        if request.is_stopping:
            return self._forget(request.instance_id, "stopping", now)
        instance = messages.EntryInstance(
            request.instance_id,
            request.region_id,
            request.failure_domain,
            request.http_host,
            request.http_port,
            request.is_ready,
            is_dispatcher=False,
        )
        self._demands_by_entry_id[request.instance_id] = request.demands
        known = self._heard_by_id.get(request.instance_id)
        joined_at = now if known is None else known.joined_at
        self._heard_by_id[request.instance_id] = _Heard(instance, now, joined_at)
        if known is not None and _without_role(known.instance) == instance:
            return False
        if known is None:
            events.event(
                "fleet.entry-joined",
                entry=request.instance_id,
                domain=request.failure_domain,
            )
        self._choose_dispatchers(now)
        self.instances_version += 1
        return True

    def expire(self, now: float) -> bool:
        """Drop the entry instances that fell silent; true if there were any."""
        silent = [
            instance_id
            for instance_id, heard in self._heard_by_id.items()
            if now - heard.at > ENTRY_SILENCE_S
        ]
        for instance_id in silent:
            self._forget(instance_id, "silent", now)
        return bool(silent)

    def list_endpoints(
        self, records: Iterable[messages.EndpointRecord], now: float
    ) -> bool:
        """Take in the platform's list; true if anything but the time changed."""
        self.endpoints_read_at = now
        listed_by_id = {record.endpoint_id: record for record in records}
        is_changed = _comparable(listed_by_id) != _comparable(self.endpoints_by_id)
        if is_changed:
            _log_difference(self.endpoints_by_id, listed_by_id)
            self.endpoints_version += 1
            self.endpoints_by_id = listed_by_id
        return is_changed

    def adopt(self, answer: messages.FollowAnswer, now: float) -> None:
        """Take over what the leader says, to answer from it or to follow it."""
        if answer.endpoints is not None:
            self.endpoints_by_id = {e.endpoint_id: e for e in answer.endpoints}
            self.endpoints_version += 1
        if answer.endpoints_age_ms >= 0:
            self.endpoints_read_at = now - answer.endpoints_age_ms / 1000
        if answer.instances is not None:
            former = self._heard_by_id
            self._heard_by_id = {}
            for instance in answer.instances:
                known = former.get(instance.instance_id)
                joined_at = now if known is None else known.joined_at
                heard = _Heard(instance, now, joined_at)
                self._heard_by_id[instance.instance_id] = heard
            self._dispatchers_by_region = {
                instance.region_id: instance.instance_id
                for instance in answer.instances
                if instance.is_dispatcher
            }
            self.instances_version += 1

    def begin_lead(self, now: float) -> None:
        """Give every known entry instance the time to make itself known here."""
        for heard in self._heard_by_id.values():
            heard.at = now
        self._demands_by_entry_id.clear()
        self.instances_version += 1
        self.endpoints_version += 1

    def _forget(self, instance_id: str, reason: str, now: float) -> bool:
        self._demands_by_entry_id.pop(instance_id, None)
        if self._heard_by_id.pop(instance_id, None) is None:
            return False
        events.event("fleet.entry-lost", entry=instance_id, reason=reason)
        self._choose_dispatchers(now)
        self.instances_version += 1
        return True

    def _choose_dispatchers(self, now: float) -> None:
        # Kept as long as it lives: a new one has to learn what the former knew.
        for region_id, dispatcher_id in list(self._dispatchers_by_region.items()):
            if dispatcher_id not in self._heard_by_id:
                del self._dispatchers_by_region[region_id]
        # Instances that are stopped and started in turn are next to stop in the order
        # of their joining.
        latest_first = sorted(
            self._heard_by_id.items(),
            key=lambda item: (
                now - item[1].joined_at < SETTLED_AFTER_S,
                -item[1].joined_at,
                item[0],
            ),
        )
        for instance_id, heard in latest_first:
            if heard.instance.is_ready:
                region_id = heard.instance.region_id
                self._dispatchers_by_region.setdefault(region_id, instance_id)


def _without_role(instance: messages.EntryInstance) -> messages.EntryInstance:
    return dataclasses.replace(instance, is_dispatcher=False)


def _comparable(
    records_by_id: dict[str, messages.EndpointRecord],
) -> dict[str, messages.EndpointRecord]:
    # The time that an endpoint stays cold shrinks with each reading.
    return {
        endpoint_id: dataclasses.replace(record, cold_left_ms=0)
        for endpoint_id, record in records_by_id.items()
    }


def _log_difference(
    former: dict[str, messages.EndpointRecord],
    listed: dict[str, messages.EndpointRecord],
) -> None:
    for endpoint_id in listed.keys() - former.keys():
        record = listed[endpoint_id]
        events.event(
            "endpoint.listed",
            endpoint=endpoint_id,
            service=record.service_id,
            address=f"{record.host}:{record.port}",
            domain=record.failure_domain,
            cold_left_ms=record.cold_left_ms,
        )
    for endpoint_id in former.keys() - listed.keys():
        events.event("endpoint.unlisted", endpoint=endpoint_id)
    for endpoint_id in former.keys() & listed.keys():
        serving = listed[endpoint_id].serving_region_id
        if serving != former[endpoint_id].serving_region_id:
            events.event("endpoint.lent", endpoint=endpoint_id, region=serving)
        if listed[endpoint_id].is_leaving and not former[endpoint_id].is_leaving:
            events.event("endpoint.leaving", endpoint=endpoint_id)
