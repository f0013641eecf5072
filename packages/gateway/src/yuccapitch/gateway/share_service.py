"""Shares of limits leased to an entry instance, and admission of requests by them."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Mapping, Sequence

import result

from yuccapitch.catalogue import ids, model
from yuccapitch.gateway import admissions, share_use
from yuccapitch.protocol import events, lease_messages
from yuccapitch.steering import (
    ledger,
    limiters,
    ramp,
    resources,
    share_holder,
    shifts,
)

IMPATIENT_RESERVE_FRACTION = 0.2
"""Fraction of a region's share that patient requests may not use."""
MIN_RENEWAL_REQUEST_INTERVAL_S = 0.1


@dataclasses.dataclass
class _RequiredUnits:
    """Units of one resource that a request needs, and the limit that applies."""

    use: share_use.ResourceUse
    limit: int
    units: int


class ShareService:
    """Holds the shares of an entry instance and admits requests by them."""

    def __init__(
        self,
        own_id: str,
        incarnation: int,
        own_region: ids.RegionId,
        request_renewal: Callable[[], None],
        clock: Callable[[], float],
        lease_duration_s: float = ledger.LEASE_DURATION_S,
    ) -> None:
        self._own_region = own_region
        self._request_renewal = request_renewal
        self._clock = clock
        self._holder = share_holder.ShareHolder(own_id, incarnation, lease_duration_s)
        self._declaration: model.Declaration | None = None
        self._uses_by_id: dict[resources.ResourceId, share_use.ResourceUse] = {}
        self._baseline_ids: frozenset[resources.ResourceId] = frozenset()
        self._link_ids_by_regions: share_use.LinkIdsByRegions = {}
        self._recovery_ramps = ramp.RecoveryRamps()
        self._renewal_requested_at = float("-inf")
        self._has_shares = False

    def update_resources(self, declaration: model.Declaration, now: float) -> None:
        """Apply the limits of a configuration that is now in force here."""
        self._declaration = declaration
        uses_by_id = {}
        for resource_id, resource in resources.resources_by_id(declaration).items():
            use = self._uses_by_id.get(resource_id)
            if use is None:
                uses_by_id[resource_id] = share_use.ResourceUse(resource, now)
            else:
                uses_by_id[resource_id] = use.update_resource(resource, now)
        self._uses_by_id = uses_by_id
        self._link_ids_by_regions = share_use.link_ids_by_regions(declaration)
        self._baseline_ids = share_use.baseline_resource_ids(
            declaration, self._own_region
        )

    def next_renewal(self, now: float) -> lease_messages.ShareRenewal | None:
        """Return the next renewal, to be sent at once."""
        if self._declaration is None:
            return None
        if self._has_shares and now >= self._holder.expires_at:
            events.event("share.lapsed", term=self._holder.epoch)
            self._has_shares = False
        usage_by_id = {}
        for resource_id, use in self._uses_by_id.items():
            usage = use.report_usage(resource_id in self._baseline_ids, now)
            if usage is not None:
                usage_by_id[resource_id] = usage
        return self._holder.next_renewal(usage_by_id, now)

    def apply_answer(self, answer: lease_messages.ShareResponse, now: float) -> bool:
        """Apply the grantor's response and return whether to renew again at once."""
        applied = self._holder.apply(answer, now)
        if isinstance(applied, result.Err):
            return False
        if (
            applied.ok_value is not share_holder.AppliedChange.EPOCH
            and not self._has_shares
        ):
            self._has_shares = True
            shares = ",".join(f"{g.resource_id}={g.share}" for g in answer.grants)
            events.event("share.granted", term=answer.epoch, shares=shares)
        return applied.ok_value is not share_holder.AppliedChange.SHARES

    def share(self, resource_id: resources.ResourceId, now: float) -> int:
        """Return the units of a resource that this entry may use now."""
        return self._holder.share(resource_id, now)

    def in_use(self, resource_id: resources.ResourceId, now: float) -> int:
        """Return the units of a resource that this entry's requests hold now."""
        use = self._uses_by_id.get(resource_id)
        return 0 if use is None else use.limiter.in_use(now)

    def read_share_gauge(self) -> list[tuple[tuple[str], float]]:
        """Return the gauge values of the leased shares."""
        now = self._clock()
        return [((item,), self.share(item, now)) for item in self._uses_by_id]

    def read_used_gauge(self) -> list[tuple[tuple[str], float]]:
        """Return the gauge values of the units used by requests in flight."""
        now = self._clock()
        return [
            ((item,), use.limiter.in_use(now))
            for item, use in self._uses_by_id.items()
            if not use.limiter.is_windowed
        ]

    def observe_link(
        self, target: ids.RegionId, measurement: limiters.LinkMeasurement, now: float
    ) -> None:
        """Record loss and delay measured on the link to a region."""
        link_id = self._link_ids_by_regions.get((self._own_region, target))
        use = None if link_id is None else self._uses_by_id.get(link_id)
        if use is not None and isinstance(use.limiter, limiters.BytesLimiter):
            use.limiter.observe(measurement, now)

    def admit(
        self,
        request: admissions.RequestAttributes,
        states_by_region: Mapping[ids.RegionId, shifts.RegionState],
        now: float,
        draw: float,
    ) -> admissions.Admitted | admissions.Refused:
        """Choose the region that serves a request and acquire the required units.

        `draw` is a uniform random number in [0, 1), compared with shift fractions.
        """
        if self._declaration is None:
            return admissions.Refused(
                shifts.RETRY_AFTER_S, "no-lease", "no limits are known yet"
            )
        acquired_by_shift: dict[
            ids.ShiftId, list[tuple[_RequiredUnits, limiters.Admitted]]
        ] = {}

        def admit_shift(shift_id: ids.ShiftId) -> limiters.Admission:
            acquired = self._acquire(self._shift_units(shift_id, request, now), now)
            if isinstance(acquired, result.Err):
                return acquired
            acquired_by_shift[shift_id] = acquired.ok_value
            shift_resource = resources.shift_resource_id(shift_id)
            self._record_ramp_load(shift_resource, now)
            return result.Ok(limiters.Admitted(shift_resource, 1))

        states_by_region = self._with_local_capacity(states_by_region, request, now)
        is_ramp_limited = self._is_ramp_limited(request, states_by_region, now)
        if is_ramp_limited:
            home = states_by_region[request.home_region]
            states_by_region[request.home_region] = dataclasses.replace(
                home, has_capacity=False
            )
        route = shifts.route(
            request.service,
            request.home_region,
            self._declaration.shifts_by_id,
            states_by_region,
            admit_shift,
            draw,
        )
        if is_ramp_limited and isinstance(route, shifts.NotRun):
            # No shift takes the request. Serving it on cold endpoints, above the ramp
            # of the recovered region, is better than refusing it.
            return self._admit_at_home(request, now)
        match route:
            case shifts.UseShift():
                acquired = acquired_by_shift[route.shift_id]
                return self._create_admitted(
                    request, route.target, route, acquired, now
                )
            case shifts.NotRun():
                return self._create_refused(request, route, now)
            case shifts.ServeAtHome():
                return self._admit_at_home(request, now)

    def _is_ramp_limited(
        self,
        request: admissions.RequestAttributes,
        states_by_region: Mapping[ids.RegionId, shifts.RegionState],
        now: float,
    ) -> bool:
        service_region = (request.service, request.home_region)
        home = states_by_region.get(request.home_region)
        if home is None or not home.is_usable:
            self._recovery_ramps.mark_unavailable(service_region, now)
            return False
        return not self._recovery_ramps.should_admit(service_region, now)

    def _admit_at_home(
        self, request: admissions.RequestAttributes, now: float
    ) -> admissions.Admitted | admissions.Refused:
        acquired = self._acquire(
            self._region_units(request.home_region, request, now), now
        )
        if isinstance(acquired, result.Err):
            refused = acquired.err_value
            message = f"this instance's share of {refused.resource_id} has no room"
            return admissions.Refused(refused.retry_after_s, "no-share", message)
        return self._create_admitted(
            request, request.home_region, None, acquired.ok_value, now
        )

    def _create_admitted(
        self,
        request: admissions.RequestAttributes,
        region: ids.RegionId,
        route: shifts.UseShift | None,
        acquired: Sequence[tuple[_RequiredUnits, limiters.Admitted]],
        now: float,
    ) -> admissions.Admitted:
        use = self._uses_by_id[resources.region_resource_id(region)]
        if request.patience is model.Patience.PATIENT:
            use.record_patient_result(True, now)
        limits = [(required.use.limiter, admitted) for required, admitted in acquired]
        return admissions.Admitted(region, route, limits, self._pacer(region, request))

    def _create_refused(
        self, request: admissions.RequestAttributes, route: shifts.NotRun, now: float
    ) -> admissions.Refused:
        use = self._uses_by_id.get(resources.region_resource_id(request.home_region))
        if use is not None and route.refusal is shifts.Refusal.CAPACITY:
            self._record_demand([_RequiredUnits(use, 0, 1)], False, now)
            if request.patience is model.Patience.PATIENT:
                use.record_patient_result(False, now)
        code = f"no-region-{route.refusal.name.lower().replace('_', '-')}"
        return admissions.Refused(route.retry_after_s, code, route.refusal.value)

    def _with_local_capacity(
        self,
        states_by_region: Mapping[ids.RegionId, shifts.RegionState],
        request: admissions.RequestAttributes,
        now: float,
    ) -> dict[ids.RegionId, shifts.RegionState]:
        return {
            region: dataclasses.replace(
                state,
                has_capacity=state.has_capacity
                and self._has_capacity(region, request.patience, now),
            )
            for region, state in states_by_region.items()
        }

    def _has_capacity(
        self, region: ids.RegionId, patience: model.Patience, now: float
    ) -> bool:
        use = self._uses_by_id.get(resources.region_resource_id(region))
        if use is None:
            return False
        return use.limiter.in_use(now) < self._region_limit(use, patience, now)

    def _region_limit(
        self, use: share_use.ResourceUse, patience: model.Patience, now: float
    ) -> int:
        share = self._holder.share(use.resource.resource_id, now)
        if patience is model.Patience.IMPATIENT or use.is_patient_starved(now):
            return share
        reserve = math.ceil(share * IMPATIENT_RESERVE_FRACTION)
        # Patient requests may always use at least one unit, even if it is the only one.
        return share - min(reserve, max(0, share - 1))

    def _region_units(
        self, region: ids.RegionId, request: admissions.RequestAttributes, now: float
    ) -> list[_RequiredUnits]:
        use = self._uses_by_id[resources.region_resource_id(region)]
        required_units = [
            _RequiredUnits(use, self._region_limit(use, request.patience, now), 1)
        ]
        link_id = self._link_ids_by_regions.get((self._own_region, region))
        units = min(request.body_bytes, admissions.SMALL_CHUNK_BYTES)
        if link_id is not None and units > 0:
            share = self._holder.share(link_id, now)
            required_units.append(
                _RequiredUnits(self._uses_by_id[link_id], share, units)
            )
        return required_units

    def _shift_units(
        self, shift_id: ids.ShiftId, request: admissions.RequestAttributes, now: float
    ) -> list[_RequiredUnits]:
        assert self._declaration is not None, "a shift is declared"
        target = self._declaration.shifts_by_id[shift_id].target
        use = self._uses_by_id[resources.shift_resource_id(shift_id)]
        share = self._holder.share(use.resource.resource_id, now)
        allowance = ramp.allowance(use.ramp_state, share, now)
        return [
            *self._region_units(target, request, now),
            _RequiredUnits(use, allowance, 1),
        ]

    def _acquire(
        self, required_units: Sequence[_RequiredUnits], now: float
    ) -> result.Result[
        list[tuple[_RequiredUnits, limiters.Admitted]], limiters.Refused
    ]:
        requests = [
            limiters.AdmissionRequest(
                required.use.limiter,
                required.limit if now >= required.use.usable_at else 0,
                required.units,
            )
            for required in required_units
        ]
        acquired = limiters.admit_all(requests, now)
        if isinstance(acquired, result.Err):
            exhausted_id = acquired.err_value.resource_id
            exhausted = [
                required
                for required in required_units
                if required.use.resource.resource_id == exhausted_id
            ]
            self._record_demand(exhausted, False, now)
            return acquired
        self._record_demand(required_units, True, now)
        admitted_by_id = {units.resource_id: units for units in acquired.ok_value}
        return result.Ok(
            [
                (required, admitted_by_id[required.use.resource.resource_id])
                for required in required_units
            ]
        )

    def _record_demand(
        self, required_units: Sequence[_RequiredUnits], is_admitted: bool, now: float
    ) -> None:
        for required in required_units:
            required.use.record_demand(required.units, is_admitted, now)
            resource_id = required.use.resource.resource_id
            exceeds_reported = (
                required.use.demand(resource_id in self._baseline_ids, now)
                > required.use.reported_demand
            )
            # A renewal that reports no larger demand than the last one has no use.
            if not is_admitted and exceeds_reported:
                self._request_renewal_soon(now)

    def _request_renewal_soon(self, now: float) -> None:
        if now >= self._renewal_requested_at + MIN_RENEWAL_REQUEST_INTERVAL_S:
            self._renewal_requested_at = now
            self._request_renewal()

    def _record_ramp_load(self, resource_id: resources.ResourceId, now: float) -> None:
        use = self._uses_by_id[resource_id]
        use.ramp_state = ramp.record_load(use.ramp_state, now)

    def _pacer(
        self, region: ids.RegionId, request: admissions.RequestAttributes
    ) -> admissions.Pacer | None:
        link_id = self._link_ids_by_regions.get((self._own_region, region))
        if link_id is None:
            return None
        prepaid = min(request.body_bytes, admissions.SMALL_CHUNK_BYTES)
        return admissions.Pacer(
            lambda units, is_repeated: self._acquire_bytes(link_id, units, is_repeated),
            prepaid,
        )

    def _acquire_bytes(
        self, link_id: resources.ResourceId, units: int, is_repeated: bool
    ) -> int:
        now = self._clock()
        use = self._uses_by_id.get(link_id)
        if use is None:
            # The link is no longer declared and therefore has no limit.
            return units
        share = self._holder.share(link_id, now) if now >= use.usable_at else 0
        for count in (units, min(units, admissions.SMALL_CHUNK_BYTES)):
            if use.limiter.admit(share, count, now).is_ok():
                self._record_demand([_RequiredUnits(use, share, count)], True, now)
                return count
        if not is_repeated:
            self._record_demand([_RequiredUnits(use, share, units)], False, now)
        return 0
