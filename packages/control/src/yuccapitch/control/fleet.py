"""State of the fleet: endpoints listed by the platform, instances and dispatchers."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator

from yuccapitch.control import dispatcher_choice, endpoint_history
from yuccapitch.protocol import events, subscription_messages as messages

# A dispatcher that entry instances report as in use must send a heartbeat within this
# time, which is four poll intervals.
UNCONFIRMED_DISPATCHER_TIMEOUT_S = 2.0
# A link is slow if a body of 60 KB, a usual upload, delays the data queued behind it by
# more than 25 ms.
SLOW_LINK_BITS_PER_S = 20_000_000.0


@dataclasses.dataclass
class _TrackedEntry:
    instance: messages.EntryInstance
    last_seen_at: float
    joined_at: float


@dataclasses.dataclass
class _TrackedControl:
    region_id: str
    last_seen_at: float
    joined_at: float


@dataclasses.dataclass(frozen=True)
class _UnconfirmedDispatcher:
    """Dispatcher that entry instances use, but that has sent no heartbeat yet."""

    region_id: str
    expires_at: float


class Fleet:
    """Endpoints and instances; a version number counts the changes of each."""

    def __init__(self) -> None:
        self.endpoints_by_id: dict[str, messages.EndpointRecord] = {}
        self.endpoints_version = 0
        self.endpoints_read_at: float | None = None
        self.endpoints_reading = 0
        """Counts the readings that differ, if only in the remaining warm-up time."""
        self.instances_version = 0
        self.dispatcher_ids_by_region: dict[str, str] = {}
        self._entries_by_id: dict[str, _TrackedEntry] = {}
        self._sorted_instances: tuple[int, tuple[messages.EntryInstance, ...]] = (
            -1,
            (),
        )
        self._controls_by_id: dict[str, _TrackedControl] = {}
        self._unconfirmed_by_id: dict[str, _UnconfirmedDispatcher] = {}
        self._history = endpoint_history.EndpointHistory()
        self._leader_id = ""
        self._demands_by_instance_id: dict[str, tuple[messages.ServiceDemand, ...]] = {}

    @property
    def instances(self) -> tuple[messages.EntryInstance, ...]:
        """The entry instances, sorted by id."""
        # Every change counts the version up. The leader reads this at each poll.
        version, instances = self._sorted_instances
        if version != self.instances_version:
            tracked = sorted(self._entries_by_id.items())
            instances = tuple(entry.instance for _, entry in tracked)
            self._sorted_instances = (self.instances_version, instances)
        return instances

    @property
    def dispatchers(self) -> tuple[messages.RegionDispatcher, ...]:
        """The dispatchers, sorted by region."""
        return tuple(
            messages.RegionDispatcher(region_id, instance_id)
            for region_id, instance_id in sorted(self.dispatcher_ids_by_region.items())
        )

    @property
    def endpoints(self) -> tuple[messages.EndpointRecord, ...]:
        """The endpoints, sorted by id."""
        return tuple(record for _, record in sorted(self.endpoints_by_id.items()))

    def demands(self) -> dict[tuple[str, str], float]:
        """Return the slots needed per service and region, summed over dispatchers."""
        total: dict[tuple[str, str], float] = {}
        for demands in self._demands_by_instance_id.values():
            for demand in demands:
                key = (demand.service_id, demand.region_id)
                total[key] = total.get(key, 0.0) + demand.busy_slots
        return total

    def record_entry_heartbeat(self, request: messages.PollRequest, now: float) -> bool:
        """Record an entry instance's heartbeat; return whether the fleet changed."""
        if request.is_stopping:
            return self._remove_entry(request.instance_id, "stopping", now)
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
        known = self._entries_by_id.get(request.instance_id)
        joined_at = now if known is None else known.joined_at
        self._entries_by_id[request.instance_id] = _TrackedEntry(
            instance, now, joined_at
        )
        if known is not None and known.instance == instance:
            return False
        if known is None:
            events.event(
                "fleet.entry-joined",
                entry=request.instance_id,
                domain=request.failure_domain,
            )
        if request.dispatcher_id:
            self._add_unconfirmed_dispatcher(
                request.region_id, request.dispatcher_id, now
            )
        self._choose_dispatchers(now)
        self.instances_version += 1
        return True

    def record_control_heartbeat(
        self, request: messages.PollRequest, now: float
    ) -> bool:
        """Record a control instance's heartbeat; return whether dispatchers changed."""
        instance_id = request.instance_id
        if request.is_stopping:
            return self._remove_control(instance_id, now)
        self._demands_by_instance_id[instance_id] = request.demands
        known = self._controls_by_id.get(instance_id)
        joined_at = now if known is None else known.joined_at
        self._controls_by_id[instance_id] = _TrackedControl(
            request.region_id, now, joined_at
        )
        return self._choose_dispatchers(now)

    def expire(self, now: float, silence_s: float) -> bool:
        """Remove instances without a heartbeat for ``silence_s``.

        Return whether the fleet changed.
        """
        is_changed = False
        for instance_id, tracked in list(self._entries_by_id.items()):
            if now - tracked.last_seen_at > silence_s:
                is_changed |= self._remove_entry(instance_id, "silent", now)
        for instance_id, control in list(self._controls_by_id.items()):
            if now - control.last_seen_at > silence_s:
                is_changed |= self._remove_control(instance_id, now)
        return is_changed

    def update_endpoints(
        self, records: Iterable[messages.EndpointRecord], now: float
    ) -> bool:
        """Replace the endpoints by the platform's list.

        Return whether anything changed but a remaining warm-up time that decreased.
        """
        self.endpoints_read_at = now
        listed_by_id = {record.endpoint_id: record for record in records}
        former_by_id = self.endpoints_by_id
        is_changed = listed_by_id.keys() != former_by_id.keys() or any(
            endpoint_history.is_changed(former_by_id[endpoint_id], record)
            for endpoint_id, record in listed_by_id.items()
        )
        if is_changed:
            _log_endpoint_changes(former_by_id, listed_by_id)
            self.endpoints_version += 1
            self._history.add(self.endpoints_version, former_by_id, listed_by_id)
        if listed_by_id != former_by_id:
            self.endpoints_reading += 1
        # Those told later of a record get the warm-up time that is left by then.
        self.endpoints_by_id = listed_by_id
        return is_changed

    def endpoint_changes(self, version: int) -> messages.EndpointChanges | None:
        """Return the changes after a version, or None if the full list is needed."""
        changes = self._history.changes_since(version, self.endpoints_version)
        if changes is None:
            return None
        current = (self.endpoints_by_id[r.endpoint_id] for r in changes.changed)
        return messages.EndpointChanges(tuple(current), changes.removed_ids)

    def apply_leader_answer(self, answer: messages.PollResponse, now: float) -> None:
        """Copy the leader's endpoints, instances and dispatchers.

        This instance answers from the copy, and starts from it when it becomes leader.
        """
        if answer.endpoints_age_ms >= 0:
            self._count_down_to(now - answer.endpoints_age_ms / 1000)
        if answer.endpoints is not None:
            if answer.endpoints_age_ms >= 0:
                self.endpoints_read_at = now - answer.endpoints_age_ms / 1000
            self.endpoints_by_id = {e.endpoint_id: e for e in answer.endpoints}
            self.endpoints_version += 1
        elif answer.endpoint_changes is not None:
            self.endpoints_by_id = endpoint_history.apply(
                self.endpoints_by_id, answer.endpoint_changes
            )
            self.endpoints_version += 1
        if answer.instances is not None:
            former = self._entries_by_id
            self._entries_by_id = {}
            for instance in answer.instances:
                known = former.get(instance.instance_id)
                joined_at = now if known is None else known.joined_at
                tracked = _TrackedEntry(instance, now, joined_at)
                self._entries_by_id[instance.instance_id] = tracked
            self.dispatcher_ids_by_region = {
                dispatcher.region_id: dispatcher.instance_id
                for dispatcher in answer.dispatchers
            }
            self.instances_version += 1

    def begin_leadership(self, own_id: str, now: float) -> None:
        """Restart the heartbeat timeout of every known instance for a new leader."""
        self._leader_id = own_id
        for tracked in self._entries_by_id.values():
            tracked.last_seen_at = now
        self._controls_by_id = {}
        self._unconfirmed_by_id = {}
        for region_id, instance_id in self.dispatcher_ids_by_region.items():
            self._add_unconfirmed_dispatcher(region_id, instance_id, now)
        self._demands_by_instance_id.clear()
        self._history.clear()
        self.instances_version += 1
        self.endpoints_version += 1
        self.endpoints_reading += 1

    def _count_down_to(self, read_at: float) -> None:
        """Reduce the remaining warm-up times to those at a later reading.

        The time of a reading varies by how long an answer took. What an answer that was
        late has counted down isn't counted again.
        """
        if self.endpoints_read_at is None:
            self.endpoints_read_at = read_at
        elapsed_s = read_at - self.endpoints_read_at
        if elapsed_s > 0:
            self.endpoints_by_id = endpoint_history.count_down(
                self.endpoints_by_id, round(elapsed_s * 1000)
            )
            self.endpoints_read_at = read_at

    def _remove_entry(self, instance_id: str, reason: str, now: float) -> bool:
        self._unconfirmed_by_id.pop(instance_id, None)
        self._demands_by_instance_id.pop(instance_id, None)
        if self._entries_by_id.pop(instance_id, None) is None:
            return False
        events.event("fleet.entry-lost", entry=instance_id, reason=reason)
        self._choose_dispatchers(now)
        self.instances_version += 1
        return True

    def _add_unconfirmed_dispatcher(
        self, region_id: str, instance_id: str, now: float
    ) -> None:
        """Keep a dispatcher that is in use until its heartbeat is due."""
        if region_id in self.dispatcher_ids_by_region:
            known_id = self.dispatcher_ids_by_region[region_id]
            if known_id != instance_id:
                return
        self.dispatcher_ids_by_region[region_id] = instance_id
        unconfirmed = _UnconfirmedDispatcher(
            region_id, now + UNCONFIRMED_DISPATCHER_TIMEOUT_S
        )
        self._unconfirmed_by_id.setdefault(instance_id, unconfirmed)

    def _remove_control(self, instance_id: str, now: float) -> bool:
        self._demands_by_instance_id.pop(instance_id, None)
        self._controls_by_id.pop(instance_id, None)
        self._unconfirmed_by_id.pop(instance_id, None)
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
        rank = dispatcher_choice.CandidateRank
        for instance_id, unconfirmed in self._unconfirmed_by_id.items():
            is_tracked = instance_id in {**self._entries_by_id, **self._controls_by_id}
            if now < unconfirmed.expires_at and not is_tracked:
                yield dispatcher_choice.Candidate(
                    instance_id, unconfirmed.region_id, rank.ENTRY, 0.0
                )
        for instance_id, tracked in self._entries_by_id.items():
            if tracked.instance.is_ready:
                yield dispatcher_choice.Candidate(
                    instance_id,
                    tracked.instance.region_id,
                    (rank.SLOW_ENTRY if tracked.instance.has_slow_link else rank.ENTRY),
                    tracked.joined_at,
                )
        for instance_id, control in self._controls_by_id.items():
            yield dispatcher_choice.Candidate(
                instance_id,
                control.region_id,
                (rank.LEADER if instance_id == self._leader_id else rank.CONTROL),
                control.joined_at,
            )


def _log_endpoint_changes(
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
        region_id = listed[endpoint_id].serving_region_id
        if region_id != former[endpoint_id].serving_region_id:
            events.event("endpoint.lent", endpoint=endpoint_id, region=region_id)
        if listed[endpoint_id].is_leaving and not former[endpoint_id].is_leaving:
            events.event("endpoint.leaving", endpoint=endpoint_id)
