"""The entry's leased shares of limits, and the admission of requests by them."""

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

IMPATIENT_RESERVE = 0.2
"""Part of a region's share that patient work may not take."""
WAKE_INTERVAL_S = 0.1


@dataclasses.dataclass
class _Part:
    """Units of one resource that a request needs."""

    use: share_use.ResourceUse
    limit: int
    units: int


class Shares:
    """Holds the entry's shares and admits requests by them."""

    def __init__(
        self,
        own_id: str,
        incarnation: int,
        own_region: ids.RegionId,
        wake: Callable[[], None],
        clock: Callable[[], float],
        lease_duration_s: float = ledger.LEASE_DURATION_S,
    ) -> None:
        self._own_region = own_region
        self._wake = wake
        self._clock = clock
        self._holder = share_holder.ShareHolder(own_id, incarnation, lease_duration_s)
        self._declaration: model.Declaration | None = None
        self._uses_by_id: dict[resources.ResourceId, share_use.ResourceUse] = {}
        self._standing: frozenset[resources.ResourceId] = frozenset()
        self._links_by_ends: share_use.LinksByEnds = {}
        self._restored_ramps = ramp.RecoveryRamps()
        self._woken_at = float("-inf")
        self._is_held = False

    def declare(self, declaration: model.Declaration, now: float) -> None:
        """Take the limits of a configuration that came into force here."""
        self._declaration = declaration
        uses_by_id = {}
        for resource_id, resource in resources.resources_by_id(declaration).items():
            use = self._uses_by_id.get(resource_id)
            if use is None:
                uses_by_id[resource_id] = share_use.ResourceUse(resource, now)
            else:
                uses_by_id[resource_id] = use.declare(resource, now)
        self._uses_by_id = uses_by_id
        self._links_by_ends = share_use.links_by_ends(declaration)
        self._standing = share_use.standing_ids(declaration, self._own_region)

    def renewal(self, now: float) -> lease_messages.ShareRenewal | None:
        """Make the next renewal, to be sent at once."""
        if self._declaration is None:
            return None
        if self._is_held and now >= self._holder.expires_at:
            events.event("share.lapsed", term=self._holder.epoch)
            self._is_held = False
        usage_by_id = {}
        for resource_id, use in self._uses_by_id.items():
            usage = use.usage(resource_id in self._standing, now)
            if usage is not None:
                usage_by_id[resource_id] = usage
        return self._holder.next_renewal(usage_by_id, now)

    def on_answer(self, answer: lease_messages.ShareAnswer, now: float) -> bool:
        """Apply the grantor's answer; true if the entry should renew at once."""
        applied = self._holder.apply(answer, now)
        if isinstance(applied, result.Err):
            return False
        if (
            applied.ok_value is not share_holder.AppliedChange.EPOCH
            and not self._is_held
        ):
            self._is_held = True
            shares = ",".join(f"{g.resource_id}={g.share}" for g in answer.grants)
            events.event("share.granted", term=answer.epoch, shares=shares)
        return applied.ok_value is not share_holder.AppliedChange.SHARES

    def share(self, resource_id: resources.ResourceId, now: float) -> int:
        """Units of a resource that this entry may use now."""
        return self._holder.share(resource_id, now)

    def in_use(self, resource_id: resources.ResourceId, now: float) -> int:
        """Units of a resource that this entry's requests hold now."""
        use = self._uses_by_id.get(resource_id)
        return 0 if use is None else use.limiter.in_use(now)

    def read_shares(self) -> list[tuple[tuple[str], float]]:
        """Read the gauge of what is leased."""
        now = self._clock()
        return [((item,), self.share(item, now)) for item in self._uses_by_id]

    def read_used(self) -> list[tuple[tuple[str], float]]:
        """Read the gauge of what requests in flight use."""
        now = self._clock()
        return [
            ((item,), use.limiter.in_use(now))
            for item, use in self._uses_by_id.items()
            if not use.limiter.is_windowed
        ]

    def observe_link(
        self, target: ids.RegionId, signal: limiters.LinkMeasurement, now: float
    ) -> None:
        """Take loss and delay seen on the link to a region."""
        link_id = self._links_by_ends.get((self._own_region, target))
        use = None if link_id is None else self._uses_by_id.get(link_id)
        if use is not None and isinstance(use.limiter, limiters.BytesLimiter):
            use.limiter.observe(signal, now)

    def admit(
        self,
        wanted: admissions.Wanted,
        states_by_region: Mapping[ids.RegionId, shifts.RegionState],
        now: float,
        draw: float,
    ) -> admissions.Admitted | admissions.NotRun:
        """Choose the region that serves a request and take its units."""
        if self._declaration is None:
            return admissions.NotRun(
                shifts.RETRY_AFTER_S, "no-lease", "no limits are known yet"
            )
        taken_by_shift: dict[ids.ShiftId, list[tuple[_Part, limiters.Admitted]]] = {}

        def admit_shift(shift_id: ids.ShiftId) -> limiters.Admission:
            taken = self._take(self._shift_parts(shift_id, wanted, now), now)
            if isinstance(taken, result.Err):
                return taken
            taken_by_shift[shift_id] = taken.ok_value
            shift_resource = resources.shift_resource_id(shift_id)
            self._warm(shift_resource, now)
            return result.Ok(limiters.Admitted(shift_resource, 1))

        states_by_region = self._with_own_room(states_by_region, wanted, now)
        is_held_back = self._is_held_back(wanted, states_by_region, now)
        if is_held_back:
            home = states_by_region[wanted.home_region]
            states_by_region[wanted.home_region] = dataclasses.replace(
                home, has_capacity=False
            )
        route = shifts.route(
            wanted.service,
            wanted.home_region,
            self._declaration.shifts_by_id,
            states_by_region,
            admit_shift,
            draw,
        )
        if is_held_back and isinstance(route, shifts.NotRun):
            # Work for cold endpoints is better than none.
            return self._stay(wanted, now)
        match route:
            case shifts.UseShift():
                taken = taken_by_shift[route.shift_id]
                return self._admitted(wanted, route.target, route, taken, now)
            case shifts.NotRun():
                return self._refused(wanted, route, now)
            case shifts.ServeAtHome():
                return self._stay(wanted, now)

    def _is_held_back(
        self,
        wanted: admissions.Wanted,
        states_by_region: Mapping[ids.RegionId, shifts.RegionState],
        now: float,
    ) -> bool:
        place = (wanted.service, wanted.home_region)
        home = states_by_region.get(wanted.home_region)
        if home is None or not home.is_usable:
            self._restored_ramps.mark_unavailable(place, now)
            return False
        return not self._restored_ramps.should_admit(place, now)

    def _stay(
        self, wanted: admissions.Wanted, now: float
    ) -> admissions.Admitted | admissions.NotRun:
        taken = self._take(self._region_parts(wanted.home_region, wanted, now), now)
        if isinstance(taken, result.Err):
            refused = taken.err_value
            message = f"this instance's share of {refused.resource_id} has no room"
            return admissions.NotRun(refused.retry_after_s, "no-share", message)
        return self._admitted(wanted, wanted.home_region, None, taken.ok_value, now)

    def _admitted(
        self,
        wanted: admissions.Wanted,
        region: ids.RegionId,
        route: shifts.UseShift | None,
        taken: Sequence[tuple[_Part, limiters.Admitted]],
        now: float,
    ) -> admissions.Admitted:
        use = self._uses_by_id[resources.region_resource_id(region)]
        if wanted.patience is model.Patience.PATIENT:
            use.note_patient(True, now)
        limits = [(part.use.limiter, admitted) for part, admitted in taken]
        return admissions.Admitted(region, route, limits, self._pacer(region, wanted))

    def _refused(
        self, wanted: admissions.Wanted, route: shifts.NotRun, now: float
    ) -> admissions.NotRun:
        use = self._uses_by_id.get(resources.region_resource_id(wanted.home_region))
        if use is not None and route.refusal is shifts.Refusal.CAPACITY:
            self._note([_Part(use, 0, 1)], False, now)
            if wanted.patience is model.Patience.PATIENT:
                use.note_patient(False, now)
        code = f"no-region-{route.refusal.name.lower().replace('_', '-')}"
        return admissions.NotRun(route.retry_after_s, code, route.refusal.value)

    def _with_own_room(
        self,
        states_by_region: Mapping[ids.RegionId, shifts.RegionState],
        wanted: admissions.Wanted,
        now: float,
    ) -> dict[ids.RegionId, shifts.RegionState]:
        return {
            region: dataclasses.replace(
                state,
                has_capacity=state.has_capacity
                and self._has_room(region, wanted.patience, now),
            )
            for region, state in states_by_region.items()
        }

    def _has_room(
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
        if patience is model.Patience.IMPATIENT or use.is_patient_due(now):
            return share
        reserve = math.ceil(share * IMPATIENT_RESERVE)
        # A share of one unit has no reserve, or patient work would never run.
        return share - min(reserve, max(0, share - 1))

    def _region_parts(
        self, region: ids.RegionId, wanted: admissions.Wanted, now: float
    ) -> list[_Part]:
        use = self._uses_by_id[resources.region_resource_id(region)]
        parts = [_Part(use, self._region_limit(use, wanted.patience, now), 1)]
        link_id = self._links_by_ends.get((self._own_region, region))
        units = min(wanted.body_bytes, admissions.SMALL_CHUNK_BYTES)
        if link_id is not None and units > 0:
            share = self._holder.share(link_id, now)
            parts.append(_Part(self._uses_by_id[link_id], share, units))
        return parts

    def _shift_parts(
        self, shift_id: ids.ShiftId, wanted: admissions.Wanted, now: float
    ) -> list[_Part]:
        assert self._declaration is not None, "a shift is declared"
        target = self._declaration.shifts_by_id[shift_id].target
        use = self._uses_by_id[resources.shift_resource_id(shift_id)]
        share = self._holder.share(use.resource.resource_id, now)
        allowance = ramp.allowance(use.warmth, share, now)
        return [*self._region_parts(target, wanted, now), _Part(use, allowance, 1)]

    def _take(
        self, parts: Sequence[_Part], now: float
    ) -> result.Result[list[tuple[_Part, limiters.Admitted]], limiters.Refused]:
        requests = [
            limiters.AdmissionRequest(
                part.use.limiter,
                part.limit if now >= part.use.opens_at else 0,
                part.units,
            )
            for part in parts
        ]
        taken = limiters.admit_all(requests, now)
        if isinstance(taken, result.Err):
            full_id = taken.err_value.resource_id
            full = [part for part in parts if part.use.resource.resource_id == full_id]
            self._note(full, False, now)
            return taken
        self._note(parts, True, now)
        admitted_by_id = {units.resource_id: units for units in taken.ok_value}
        return result.Ok(
            [(part, admitted_by_id[part.use.resource.resource_id]) for part in parts]
        )

    def _note(self, parts: Sequence[_Part], is_admitted: bool, now: float) -> None:
        for part in parts:
            part.use.note(part.units, is_admitted, now)
            resource_id = part.use.resource.resource_id
            is_grown = (
                part.use.demand(resource_id in self._standing, now)
                > part.use.reported_demand
            )
            # A renewal that reports no more than the last one gains nothing.
            if not is_admitted and is_grown:
                self._renew_soon(now)

    def _renew_soon(self, now: float) -> None:
        if now >= self._woken_at + WAKE_INTERVAL_S:
            self._woken_at = now
            self._wake()

    def _warm(self, resource_id: resources.ResourceId, now: float) -> None:
        use = self._uses_by_id[resource_id]
        use.warmth = ramp.record_load(use.warmth, now)

    def _pacer(
        self, region: ids.RegionId, wanted: admissions.Wanted
    ) -> admissions.Pacer | None:
        link_id = self._links_by_ends.get((self._own_region, region))
        if link_id is None:
            return None
        prepaid = min(wanted.body_bytes, admissions.SMALL_CHUNK_BYTES)
        return admissions.Pacer(
            lambda units, is_repeated: self._take_bytes(link_id, units, is_repeated),
            prepaid,
        )

    def _take_bytes(
        self, link_id: resources.ResourceId, units: int, is_repeated: bool
    ) -> int:
        now = self._clock()
        use = self._uses_by_id.get(link_id)
        if use is None:
            # The link is no longer declared, and with it its limit.
            return units
        share = self._holder.share(link_id, now) if now >= use.opens_at else 0
        for count in (units, min(units, admissions.SMALL_CHUNK_BYTES)):
            if use.limiter.admit(share, count, now).is_ok():
                self._note([_Part(use, share, count)], True, now)
                return count
        if not is_repeated:
            self._note([_Part(use, share, units)], False, now)
        return 0
