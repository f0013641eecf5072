"""What is known of the fleet: endpoints of the platform's list, and instances."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator

from yuccapitch.control import dispatcher_choice, endpoint_history
from yuccapitch.protocol import events, subscription_messages as messages

# Time in which a dispatcher that others use must be heard: four polls.
PRESUMED_S = 2.0
# Links on which a body of 60 KB, a usual upload, delays what is behind it by more than
# 25 ms are slow.
SLOW_LINK_BITS_PER_S = 20_000_000.0


@dataclasses.dataclass
class _Heard:
    instance: messages.EntryInstance
    at: float
    joined_at: float


@dataclasses.dataclass
class _Control:
    region_id: str
    at: float
    joined_at: float


@dataclasses.dataclass(frozen=True)
class _Presumed:
    """A dispatcher that others use, and that was not heard yet."""

    region_id: str
    until: float


class Fleet:
    """Endpoints and instances, each group with a version that rises."""

    def __init__(self) -> None:
        self.endpoints_by_id: dict[str, messages.EndpointRecord] = {}
        self.endpoints_version = 0
        self.endpoints_read_at: float | None = None
        self.instances_version = 0
        self.dispatcher_ids_by_region: dict[str, str] = {}
        self._heard_by_id: dict[str, _Heard] = {}
        self._controls_by_id: dict[str, _Control] = {}
        self._presumed_by_id: dict[str, _Presumed] = {}
        self._history = endpoint_history.EndpointHistory()
        self._leader_id = ""
        self._demands_by_instance_id: dict[str, tuple[messages.ServiceDemand, ...]] = {}

    @property
    def instances(self) -> tuple[messages.EntryInstance, ...]:
        """The entry instances in the order of their ids."""
        return tuple(heard.instance for _, heard in sorted(self._heard_by_id.items()))

    @property
    def dispatchers(self) -> tuple[messages.RegionDispatcher, ...]:
        """The dispatchers in the order of their regions."""
        return tuple(
            messages.RegionDispatcher(region_id, instance_id)
            for region_id, instance_id in sorted(self.dispatcher_ids_by_region.items())
        )

    @property
    def endpoints(self) -> tuple[messages.EndpointRecord, ...]:
        """The endpoints in the order of their ids."""
        return tuple(record for _, record in sorted(self.endpoints_by_id.items()))

    def demands(self) -> dict[tuple[str, str], float]:
        """Return the slots needed, by service and region, over all dispatchers."""
        total: dict[tuple[str, str], float] = {}
        for demands in self._demands_by_instance_id.values():
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
            request.link_bits_per_s < SLOW_LINK_BITS_PER_S,
        )
        self._demands_by_instance_id[request.instance_id] = request.demands
        known = self._heard_by_id.get(request.instance_id)
        joined_at = now if known is None else known.joined_at
        self._heard_by_id[request.instance_id] = _Heard(instance, now, joined_at)
        if known is not None and known.instance == instance:
            return False
        if known is None:
            events.event(
                "fleet.entry-joined",
                entry=request.instance_id,
                domain=request.failure_domain,
            )
        if request.dispatcher_id:
            self._presume(request.region_id, request.dispatcher_id, now)
        self._choose_dispatchers(now)
        self.instances_version += 1
        return True

    def hear_control(self, request: messages.FollowRequest, now: float) -> bool:
        """Take in a control instance's sign of life; true if that changed anything."""
        instance_id = request.instance_id
        if request.is_stopping:
            return self._forget_control(instance_id, now)
        self._demands_by_instance_id[instance_id] = request.demands
        known = self._controls_by_id.get(instance_id)
        joined_at = now if known is None else known.joined_at
        self._controls_by_id[instance_id] = _Control(request.region_id, now, joined_at)
        return self._choose_dispatchers(now)

    def expire(self, now: float, silence_s: float) -> bool:
        """Drop the instances silent for so long; true if that changed anything."""
        is_changed = False
        for instance_id, heard in list(self._heard_by_id.items()):
            if now - heard.at > silence_s:
                is_changed |= self._forget(instance_id, "silent", now)
        for instance_id, control in list(self._controls_by_id.items()):
            if now - control.at > silence_s:
                is_changed |= self._forget_control(instance_id, now)
        return is_changed

    def list_endpoints(
        self, records: Iterable[messages.EndpointRecord], now: float
    ) -> bool:
        """Take in the platform's list; true if anything but the time changed."""
        self.endpoints_read_at = now
        listed_by_id = {record.endpoint_id: record for record in records}
        comparable = endpoint_history.comparable
        is_changed = comparable(listed_by_id) != comparable(self.endpoints_by_id)
        if is_changed:
            _log_difference(self.endpoints_by_id, listed_by_id)
            self.endpoints_version += 1
            self._history.add(
                self.endpoints_version, self.endpoints_by_id, listed_by_id
            )
            self.endpoints_by_id = listed_by_id
        return is_changed

    def endpoint_changes(self, version: int) -> messages.EndpointChanges | None:
        """Return what changed since a version; None if that is not known."""
        return self._history.since(version, self.endpoints_version)

    def adopt(self, answer: messages.FollowAnswer, now: float) -> None:
        """Take over what the leader says, to answer from it or to follow it."""
        if answer.endpoints is not None:
            self.endpoints_by_id = {e.endpoint_id: e for e in answer.endpoints}
            self.endpoints_version += 1
        elif answer.endpoint_changes is not None:
            self.endpoints_by_id = endpoint_history.apply(
                self.endpoints_by_id, answer.endpoint_changes
            )
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
            self.dispatcher_ids_by_region = {
                dispatcher.region_id: dispatcher.instance_id
                for dispatcher in answer.dispatchers
            }
            self.instances_version += 1

    def begin_lead(self, own_id: str, now: float) -> None:
        """Give every known instance the time to make itself known here."""
        self._leader_id = own_id
        for heard in self._heard_by_id.values():
            heard.at = now
        self._controls_by_id = {}
        self._presumed_by_id = {}
        for region_id, instance_id in self.dispatcher_ids_by_region.items():
            self._presume(region_id, instance_id, now)
        self._demands_by_instance_id.clear()
        self._history.clear()
        self.instances_version += 1
        self.endpoints_version += 1

    def _forget(self, instance_id: str, reason: str, now: float) -> bool:
        self._presumed_by_id.pop(instance_id, None)
        self._demands_by_instance_id.pop(instance_id, None)
        if self._heard_by_id.pop(instance_id, None) is None:
            return False
        events.event("fleet.entry-lost", entry=instance_id, reason=reason)
        self._choose_dispatchers(now)
        self.instances_version += 1
        return True

    def _presume(self, region_id: str, instance_id: str, now: float) -> None:
        """Keep a dispatcher that is in use until it had time to be heard."""
        if region_id in self.dispatcher_ids_by_region:
            known_id = self.dispatcher_ids_by_region[region_id]
            if known_id != instance_id:
                return
        self.dispatcher_ids_by_region[region_id] = instance_id
        presumed = _Presumed(region_id, now + PRESUMED_S)
        self._presumed_by_id.setdefault(instance_id, presumed)

    def _forget_control(self, instance_id: str, now: float) -> bool:
        self._demands_by_instance_id.pop(instance_id, None)
        self._controls_by_id.pop(instance_id, None)
        self._presumed_by_id.pop(instance_id, None)
        return self._choose_dispatchers(now)

    def _choose_dispatchers(self, now: float) -> bool:
        chosen = dispatcher_choice.choose(
            self._candidates(now), self.dispatcher_ids_by_region, now
        )
        if chosen == self.dispatcher_ids_by_region:
            return False
        events.event("fleet.dispatchers-chosen", dispatchers=chosen)
        self.dispatcher_ids_by_region = chosen
        self.instances_version += 1
        return True

    def _candidates(self, now: float) -> Iterator[dispatcher_choice.Candidate]:
        standing = dispatcher_choice.Standing
        for instance_id, presumed in self._presumed_by_id.items():
            is_heard = instance_id in {**self._heard_by_id, **self._controls_by_id}
            if now < presumed.until and not is_heard:
                yield dispatcher_choice.Candidate(
                    instance_id, presumed.region_id, standing.ENTRY, 0.0
                )
        for instance_id, heard in self._heard_by_id.items():
            if heard.instance.is_ready:
                yield dispatcher_choice.Candidate(
                    instance_id,
                    heard.instance.region_id,
                    (
                        standing.SLOW_ENTRY
                        if heard.instance.has_slow_link
                        else standing.ENTRY
                    ),
                    heard.joined_at,
                )
        for instance_id, control in self._controls_by_id.items():
            yield dispatcher_choice.Candidate(
                instance_id,
                control.region_id,
                (
                    standing.LEADER
                    if instance_id == self._leader_id
                    else standing.CONTROL
                ),
                control.joined_at,
            )


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
