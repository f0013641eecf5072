"""An entry's use of one shared limit and its demand for it."""

from __future__ import annotations

import math

from yuccapitch.catalogue import ids, model
from yuccapitch.gateway import admissions
from yuccapitch.steering import ledger, limiters, ramp, resources, share_holder

LinksByEnds = dict[tuple[ids.RegionId, ids.RegionId], resources.ResourceId]

DEMAND_HEADROOM_FACTOR = 1.25
"""Factor on the demand seen, so that a growing load finds its share waiting."""
PATIENT_STARVATION_S = 5.0
"""Refusal time after which one patient request may take reserved units."""

BASELINE_DEMAND_BY_KIND = {
    resources.LimiterKind.CONCURRENCY: 1,
    resources.LimiterKind.RATE: 1,
    resources.LimiterKind.BYTES: admissions.CHUNK_BYTES,
}
"""What an idle entry asks for, so that its first request is not refused."""
BASELINE_LIMIT_DIVISOR = 50
"""An idle entry keeps at most one such part of a rate from busy ones."""


class ResourceUse:
    """The limiter of one resource with what was lately wanted of it."""

    def __init__(self, resource: resources.Resource, usable_at: float) -> None:
        self.limiter = limiters.create_limiter(resource)
        self.usable_at = usable_at
        self.ramp_state: ramp.RampState | None = None
        self.reported_demand = 0
        self._estimate = share_holder.DemandEstimate()
        self._refused_units = 0
        self._window_units = 0
        self._window_at = 0.0
        self._patient_refused_at: float | None = None

    @property
    def resource(self) -> resources.Resource:
        """The resource as it is declared now."""
        return self.limiter.resource

    def update_resource(self, resource: resources.Resource, now: float) -> ResourceUse:
        """Take a changed limit; another window or kind needs another limiter."""
        old = self.resource
        if (old.kind, old.window_s) == (resource.kind, resource.window_s):
            self.limiter.resource = resource
            return self
        # What the old limiter admitted is not known to the new one.
        return ResourceUse(resource, now + old.window_s * ledger.CLOCK_DRIFT_FACTOR)

    def record_demand(self, units: int, is_admitted: bool, now: float) -> None:
        """Take units that a request wanted, whether it got them or not."""
        if self.limiter.is_windowed:
            if now >= self._window_at + self.resource.window_s:
                self._window_at = now
                self._window_units = 0
            self._window_units += units
            self._estimate.observe(self._window_units, now)
            return
        if not is_admitted:
            self._refused_units += units
        in_use = self.limiter.in_use(now)
        self._estimate.observe(in_use + self._refused_units, now)

    def record_patient_result(self, is_admitted: bool, now: float) -> None:
        """Take what became of a patient request."""
        if is_admitted:
            self._patient_refused_at = None
        elif self._patient_refused_at is None:
            self._patient_refused_at = now

    def is_patient_starved(self, now: float) -> bool:
        """Whether patient requests were refused for so long that one must run."""
        refused_at = self._patient_refused_at
        return refused_at is not None and now >= refused_at + PATIENT_STARVATION_S

    def demand(self, has_baseline: bool, now: float) -> int:
        """Units to ask for."""
        in_use = self.limiter.in_use(now)
        wanted = max(self._estimate.value(now), float(in_use))
        # The last fraction of a decayed demand asks for nothing.
        demand = math.ceil(wanted * DEMAND_HEADROOM_FACTOR) if wanted >= 1 else 0
        return demand + (self._baseline_demand() if has_baseline else 0)

    def report_usage(self, has_baseline: bool, now: float) -> share_holder.Usage | None:
        """Return what to report, or None where there is nothing to ask for."""
        if not self.limiter.is_windowed:
            self._estimate.observe(self.limiter.in_use(now), now)
        self._refused_units = 0
        self.reported_demand = self.demand(has_baseline, now)
        in_use = self.limiter.in_use(now)
        # A standing resource is reported without demand too: idle shares are
        # spread over the entries that report it.
        if self.reported_demand == 0 and in_use == 0 and not has_baseline:
            return None
        return share_holder.Usage(self.reported_demand, in_use)

    def _baseline_demand(self) -> int:
        if not self.limiter.is_windowed:
            # Without a unit of its region an entry is not ready, so that no
            # caller is sent to it and its demand never shows.
            return BASELINE_DEMAND_BY_KIND[self.resource.kind]
        limit = self.resource.limit // BASELINE_LIMIT_DIVISOR
        return min(BASELINE_DEMAND_BY_KIND[self.resource.kind], limit)


def links_by_ends(declaration: model.Declaration) -> LinksByEnds:
    """Return the link from each region to each other one that has one."""
    # Of several links with the same ends the first by id counts.
    return {
        (link.source, link.target): resources.link_resource_id(link_id)
        for link_id, link in sorted(declaration.links_by_id.items(), reverse=True)
    }


def baseline_resource_ids(
    declaration: model.Declaration, region: ids.RegionId
) -> frozenset[resources.ResourceId]:
    """Return what a region's entries ask for while they are idle, too."""
    links = links_by_ends(declaration)
    resource_ids = {resources.region_resource_id(region)}
    for shift_id, shift in declaration.shifts_by_id.items():
        if shift.source == region:
            resource_ids.add(resources.shift_resource_id(shift_id))
            resource_ids.add(resources.region_resource_id(shift.target))
            if (shift.source, shift.target) in links:
                resource_ids.add(links[shift.source, shift.target])
    return frozenset(resource_ids)
