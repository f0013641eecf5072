"""Assignment of endpoints to the regions whose requests they serve.

An endpoint serves one region at a time, so that regions need not coordinate for each
request. A region with too few slots borrows whole endpoints from other regions.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from yuccapitch.protocol import subscription_messages as messages

# Fraction of a region's slots that its demand should occupy. Above it requests start to
# queue: a slot is held slightly longer than the work takes, and arrivals are bursty.
TARGET_UTILIZATION = 0.5
# Total demand, as a fraction of all slots, below which it is too low to act on; the
# traffic weights of the regions are used instead.
IDLE_UTILIZATION = 0.02
# Capacity of a borrowed slot relative to a local one: it is also held while requests
# and responses travel between the regions.
BORROWED_SLOT_EFFICIENCY = 0.75
# Fraction of a service's endpoints that each region may borrow or return in one call,
# though at least one: a service of hundreds of endpoints has to follow its traffic as
# fast as one of twenty. How fast requests move is bounded by the spillover share.
MAX_MOVED_FRACTION = 0.04

SlotDemands = Mapping[tuple[str, str], float]
"""Required slots by service ID and region ID."""


def assign_serving_regions(
    records: Iterable[messages.EndpointRecord],
    previous_by_id: Mapping[str, messages.EndpointRecord],
    demands: SlotDemands,
    weights_by_region: Mapping[str, int],
) -> tuple[messages.EndpointRecord, ...]:
    """Return the endpoint records with updated serving regions.

    The serving region of each given record is the region where the endpoint runs. A
    call reassigns few endpoints for each service and region, so that traffic moves
    between regions gradually. While there is no traffic, the expected demand follows
    ``weights_by_region``.
    """
    own_regions_by_id: dict[str, str] = {}
    records_by_service: dict[str, list[messages.EndpointRecord]]
    records_by_service = collections.defaultdict(list)
    for record in records:
        own_regions_by_id[record.endpoint_id] = record.serving_region_id
        previous = previous_by_id.get(record.endpoint_id)
        if previous is not None and previous.failure_domain == record.failure_domain:
            region_id = previous.serving_region_id
            record = dataclasses.replace(record, serving_region_id=region_id)
        records_by_service[record.service_id].append(record)
    assigned: list[messages.EndpointRecord] = []
    for service_id, service_records in records_by_service.items():
        demand_by_region = {
            region_id: slots
            for (service, region_id), slots in demands.items()
            if service == service_id
        }
        service = _ServiceAssignment(service_records, own_regions_by_id)
        total_slots = sum(record.slots for record in service_records)
        if sum(demand_by_region.values()) > IDLE_UTILIZATION * total_slots:
            steps = max(1, int(MAX_MOVED_FRACTION * len(service_records)))
            service.rebalance_repeatedly(demand_by_region, steps)
        elif sum(weights_by_region.values()) > 0:
            unit = TARGET_UTILIZATION * total_slots / sum(weights_by_region.values())
            expected = {r: unit * weight for r, weight in weights_by_region.items()}
            service.rebalance_repeatedly(expected, len(service_records))
        assigned += service.records
    return tuple(assigned)


class _ServiceAssignment:
    """Assignment of the endpoints of one service."""

    def __init__(
        self,
        records: Sequence[messages.EndpointRecord],
        own_regions_by_id: Mapping[str, str],
    ) -> None:
        self._records_by_id = {record.endpoint_id: record for record in records}
        self._own_regions_by_id = own_regions_by_id

    @property
    def records(self) -> list[messages.EndpointRecord]:
        return list(self._records_by_id.values())

    def rebalance_repeatedly(
        self, demand_by_region: Mapping[str, float], steps: int
    ) -> None:
        """Rebalance up to ``steps`` times, while endpoints are reassigned."""
        for _ in range(steps):
            former = dict(self._records_by_id)
            self.rebalance(demand_by_region)
            if self._records_by_id == former:
                return

    def rebalance(self, demand_by_region: Mapping[str, float]) -> None:
        """Lend or return at most one endpoint for each region, as demand requires."""
        own_slots = self._slots_by_region(self._own_regions_by_id)
        targets = _target_slots(demand_by_region, own_slots)
        for region_id in sorted(demand_by_region, key=lambda r: -targets.get(r, 0.0)):
            slots_to_borrow = max(0.0, targets[region_id] - own_slots.get(region_id, 0))
            slots_to_borrow /= BORROWED_SLOT_EFFICIENCY
            borrowed = self._borrowed_endpoints(region_id)
            slots = sum(record.slots for record in borrowed)
            if borrowed and slots - borrowed[-1].slots / 2 > slots_to_borrow:
                self._assign(borrowed[-1], self._own_region(borrowed[-1]))
                continue
            lent = self._find_lendable(region_id, targets)
            if lent is not None and slots + lent.slots / 2 < slots_to_borrow:
                self._assign(lent, region_id)

    def _slots_by_region(self, regions_by_id: Mapping[str, str]) -> dict[str, int]:
        slots: dict[str, int] = collections.defaultdict(int)
        for record in self._records_by_id.values():
            if not record.is_leaving:
                slots[regions_by_id[record.endpoint_id]] += record.slots
        return slots

    def _borrowed_endpoints(self, region_id: str) -> list[messages.EndpointRecord]:
        return sorted(
            (
                record
                for record in self._records_by_id.values()
                if record.serving_region_id == region_id
                and self._own_region(record) != region_id
            ),
            key=lambda record: record.endpoint_id,
        )

    def _find_lendable(
        self, region_id: str, targets: Mapping[str, float]
    ) -> messages.EndpointRecord | None:
        """Return an endpoint that the region with the most spare slots can lend.

        Its slots must all be spare, and it must serve its own region.
        """
        spare = {
            owner: slots - targets.get(owner, 0.0)
            for owner, slots in self._serving_slots().items()
            if owner != region_id
        }
        if not spare:
            return None
        owner = max(spare, key=lambda r: (spare[r], r))
        candidates = [
            record
            for record in self._records_by_id.values()
            if record.serving_region_id == owner == self._own_region(record)
            and not record.is_leaving
            and record.slots <= spare[owner]
        ]
        return min(candidates, key=lambda r: r.endpoint_id, default=None)

    def _serving_slots(self) -> dict[str, int]:
        return self._slots_by_region(
            {i: r.serving_region_id for i, r in self._records_by_id.items()}
        )

    def _own_region(self, record: messages.EndpointRecord) -> str:
        return self._own_regions_by_id[record.endpoint_id]

    def _assign(self, record: messages.EndpointRecord, region_id: str) -> None:
        self._records_by_id[record.endpoint_id] = dataclasses.replace(
            record, serving_region_id=region_id
        )


def _target_slots(
    demand_by_region: Mapping[str, float], own_slots: Mapping[str, int]
) -> dict[str, float]:
    """Return the target number of slots for each region."""
    total_slots = sum(own_slots.values())
    total_demand = sum(demand_by_region.values())
    if total_demand > TARGET_UTILIZATION * total_slots:
        # Not enough slots for all: every region gets the same fraction of its demand.
        return {
            r: total_slots * demand / total_demand
            for r, demand in demand_by_region.items()
        }
    return {
        region_id: demand / TARGET_UTILIZATION
        for region_id, demand in demand_by_region.items()
    }
