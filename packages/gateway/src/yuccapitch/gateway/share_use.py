"""Use of and demand for one shared limit at an entry instance."""

from __future__ import annotations

import math

from yuccapitch.catalogue import ids, model
from yuccapitch.gateway import admissions
from yuccapitch.steering import clock_drift, limiters, ramp, resources, share_holder

LinkIdsByRegions = dict[tuple[ids.RegionId, ids.RegionId], resources.ResourceId]

DEMAND_HEADROOM_FACTOR = 1.25
"""Factor on the measured demand, so that a share is ready for growing load."""
PATIENT_STARVATION_S = 5.0
"""Time since the first refusal after which a patient request may use reserved units.

An admitted patient request resets it.
"""

BASELINE_DEMAND_BY_KIND = {
    resources.LimiterKind.CONCURRENCY: 1,
    resources.LimiterKind.RATE: 1,
    resources.LimiterKind.BYTES: admissions.CHUNK_BYTES,
}
"""Demand of an idle entry, so that its first request is not refused."""
BASELINE_LIMIT_DIVISOR = 50
"""An idle entry demands at most a rate limit divided by this number.

The bound leaves the other units to busy entries.
"""


class ResourceUse:
    """Limiter of one resource and the recent demand for it."""

    def __init__(self, resource: resources.Resource, usable_at: float) -> None:
        self.limiter = limiters.create_limiter(resource)
        self.usable_at = usable_at
        self.ramp_state: ramp.RampState | None = None
        self.reported_demand = 0
        self._estimate = share_holder.DemandEstimate()
        self._refused_units = 0
        self._window_units = 0
        self._window_started_at = 0.0
        self._patient_refused_at: float | None = None

    @property
    def resource(self) -> resources.Resource:
        """The resource as currently declared."""
        return self.limiter.resource

    def update_resource(self, resource: resources.Resource, now: float) -> ResourceUse:
        """Apply a changed limit; a new window or kind needs a new limiter."""
        old = self.resource
        if (old.kind, old.window_s) == (resource.kind, resource.window_s):
            self.limiter.resource = resource
            return self
        # The new limiter does not know the units that the old one admitted, so it
        # admits nothing until the old window has passed.
        return ResourceUse(
            resource, now + old.window_s * clock_drift.CLOCK_DRIFT_FACTOR
        )

    def record_demand(self, units: int, is_admitted: bool, now: float) -> None:
        """Record the units that a request needed, whether it was admitted or not."""
        if self.limiter.is_windowed:
            if now >= self._window_started_at + self.resource.window_s:
                self._window_started_at = now
                self._window_units = 0
            self._window_units += units
            self._estimate.observe(self._window_units, now)
            return
        if not is_admitted:
            self._refused_units += units
        in_use = self.limiter.in_use(now)
        self._estimate.observe(in_use + self._refused_units, now)

    def record_patient_result(self, is_admitted: bool, now: float) -> None:
        """Record whether a patient request was admitted."""
        if is_admitted:
            self._patient_refused_at = None
        elif self._patient_refused_at is None:
            self._patient_refused_at = now

    def is_patient_starved(self, now: float) -> bool:
        """Whether patient requests were refused for so long that one must run."""
        refused_at = self._patient_refused_at
        return refused_at is not None and now >= refused_at + PATIENT_STARVATION_S

    def demand(self, has_baseline: bool, now: float) -> int:
        """Return the units to demand."""
        in_use = self.limiter.in_use(now)
        current_units = max(self._estimate.value(now), float(in_use))
        # A decayed demand of less than one unit counts as none.
        demand = (
            math.ceil(current_units * DEMAND_HEADROOM_FACTOR)
            if current_units >= 1
            else 0
        )
        return demand + (self._baseline_demand() if has_baseline else 0)

    def report_usage(self, has_baseline: bool, now: float) -> share_holder.Usage | None:
        """Return the usage to report, or None if there is nothing to demand."""
        if not self.limiter.is_windowed:
            self._estimate.observe(self.limiter.in_use(now), now)
        self._refused_units = 0
        self.reported_demand = self.demand(has_baseline, now)
        in_use = self.limiter.in_use(now)
        # A resource with a baseline is reported even without demand: idle shares
        # are spread over the entries that report it.
        if self.reported_demand == 0 and in_use == 0 and not has_baseline:
            return None
        return share_holder.Usage(self.reported_demand, in_use)

    def _baseline_demand(self) -> int:
        if not self.limiter.is_windowed:
            # Without a unit of its region, an entry is not ready. It then gets no
            # requests, so its measured demand would stay 0.
            return BASELINE_DEMAND_BY_KIND[self.resource.kind]
        max_demand = self.resource.limit // BASELINE_LIMIT_DIVISOR
        return min(BASELINE_DEMAND_BY_KIND[self.resource.kind], max_demand)


def link_ids_by_regions(declaration: model.Declaration) -> LinkIdsByRegions:
    """Return the link id by the pair of its source and target regions."""
    # Of several links between the same regions, the first one by ID is used.
    return {
        (link.source, link.target): resources.link_resource_id(link_id)
        for link_id, link in sorted(declaration.links_by_id.items(), reverse=True)
    }


def baseline_resource_ids(
    declaration: model.Declaration, region: ids.RegionId
) -> frozenset[resources.ResourceId]:
    """Return the resources that a region's entries demand even while idle."""
    links = link_ids_by_regions(declaration)
    resource_ids = {resources.region_resource_id(region)}
    for shift_id, shift in declaration.shifts_by_id.items():
        if shift.source == region:
            resource_ids.add(resources.shift_resource_id(shift_id))
            resource_ids.add(resources.region_resource_id(shift.target))
            if (shift.source, shift.target) in links:
                resource_ids.add(links[shift.source, shift.target])
    return frozenset(resource_ids)
