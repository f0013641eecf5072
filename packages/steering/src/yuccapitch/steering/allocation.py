"""Which region's requests each endpoint takes, by the demand of the regions.

An endpoint is used by one region at a time, so that its slots need no agreement
between regions for each request. A region short of slots borrows whole endpoints.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from yuccapitch.protocol import subscription_messages as messages

# Use of its slots that a region is given slots for. Above it requests begin to wait: a
# slot is held a little longer than the work takes, and arrivals come in bunches.
TARGET_UTILIZATION = 0.5
# Demand, as a part of all slots, below which there is no traffic to judge by.
IDLE_UTILIZATION = 0.02
# A slot in another region is also held while requests are on their way.
BORROWED_SLOT_EFFICIENCY = 0.75

SlotDemands = Mapping[tuple[str, str], float]
"""Slots needed, by service and region."""


def assign_serving_regions(
    records: Iterable[messages.EndpointRecord],
    former_by_id: Mapping[str, messages.EndpointRecord],
    demands: SlotDemands,
    weights_by_region: Mapping[str, int],
) -> tuple[messages.EndpointRecord, ...]:
    """Return the records with the regions that they serve.

    Each record comes with its own region. At most one endpoint a service and region
    moves in a call, so that the callers' requests change regions slowly. Before there
    is traffic, ``weights_by_region`` tells how much of it is expected.
    """
    own_regions_by_id: dict[str, str] = {}
    records_by_service: dict[str, list[messages.EndpointRecord]]
    records_by_service = collections.defaultdict(list)
    for record in records:
        own_regions_by_id[record.endpoint_id] = record.serving_region_id
        former = former_by_id.get(record.endpoint_id)
        if former is not None and former.failure_domain == record.failure_domain:
            region_id = former.serving_region_id
            record = dataclasses.replace(record, serving_region_id=region_id)
        records_by_service[record.service_id].append(record)
    assigned: list[messages.EndpointRecord] = []
    for service_id, group in records_by_service.items():
        needs = {
            region_id: slots
            for (service, region_id), slots in demands.items()
            if service == service_id
        }
        service = _ServiceAssignment(group, own_regions_by_id)
        total_slots = sum(record.slots for record in group)
        if sum(needs.values()) > IDLE_UTILIZATION * total_slots:
            service.rebalance(needs)
        elif sum(weights_by_region.values()) > 0:
            unit = TARGET_UTILIZATION * total_slots / sum(weights_by_region.values())
            expected = {r: unit * weight for r, weight in weights_by_region.items()}
            for _ in group:
                service.rebalance(expected)
        assigned += service.records
    return tuple(assigned)


class _ServiceAssignment:
    """The endpoints of one service, while they are assigned."""

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

    def rebalance(self, needs: Mapping[str, float]) -> None:
        """Lend or return one endpoint for each region where that is due."""
        own = self._slots_by_region(self._own_regions_by_id)
        targets = _target_slots(needs, own)
        for region_id in sorted(needs, key=lambda r: -targets.get(r, 0.0)):
            wanted = max(0.0, targets[region_id] - own.get(region_id, 0))
            wanted /= BORROWED_SLOT_EFFICIENCY
            borrowed = self._borrowed_endpoints(region_id)
            slots = sum(record.slots for record in borrowed)
            if borrowed and slots - borrowed[-1].slots / 2 > wanted:
                self._assign(borrowed[-1], self._own_region(borrowed[-1]))
                continue
            lent = self._find_lendable(region_id, targets)
            if lent is not None and slots + lent.slots / 2 < wanted:
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
        """Return an endpoint of the region that has most slots to spare."""
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
    needs: Mapping[str, float], own: Mapping[str, int]
) -> dict[str, float]:
    """Return the slots that each region should have."""
    total_slots = sum(own.values())
    total_need = sum(needs.values())
    if total_need > TARGET_UTILIZATION * total_slots:
        # Too few for all: every region gets the same part of its need.
        return {r: total_slots * need / total_need for r, need in needs.items()}
    return {region_id: need / TARGET_UTILIZATION for region_id, need in needs.items()}
