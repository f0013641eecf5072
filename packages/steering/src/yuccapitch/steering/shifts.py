"""Choice of the region that serves a request: the home region or a shift target."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Mapping

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import limiters

RETRY_AFTER_S = 1.0


class Refusal(enum.Enum):
    """Reason why no region serves the request."""

    NO_SHIFT = "home region is not usable and no shift is"
    CAP = "home region is not usable and every shift is at its cap"
    CAPACITY = "home region is at its capacity and no shift has room"


@dataclasses.dataclass(frozen=True)
class RegionState:
    """State of one region for one service."""

    live_endpoint_owners: frozenset[ids.OwnerId]
    has_capacity: bool
    drained: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether the region may serve requests."""
        return bool(self.live_endpoint_owners) and not self.drained


@dataclasses.dataclass(frozen=True)
class ServeAtHome:
    """The home region serves the request."""


@dataclasses.dataclass(frozen=True)
class UseShift:
    """The target region of a shift serves the request.

    It uses the endpoints of the owner that the shift names.
    """

    shift_id: ids.ShiftId
    target: ids.RegionId
    endpoint_owner: ids.OwnerId
    admitted: limiters.Admitted


@dataclasses.dataclass(frozen=True)
class NotRun:
    """No region can serve the request now."""

    retry_after_s: float
    refusal: Refusal


Route = ServeAtHome | UseShift | NotRun


def drained_regions(drains_by_id: Mapping[str, model.Drain]) -> frozenset[ids.RegionId]:
    """Return the regions that are being drained."""
    return frozenset(
        ids.RegionId(drain.target)
        for drain in drains_by_id.values()
        if drain.kind is model.DrainKind.REGION
    )


def route(
    service_id: ids.ServiceId,
    home: ids.RegionId,
    shifts_by_id: Mapping[ids.ShiftId, model.Shift],
    states_by_region: Mapping[ids.RegionId, RegionState],
    admit: Callable[[ids.ShiftId], limiters.Admission],
    draw: float,
) -> Route:
    """Choose the region for one request.

    `draw` is a uniform random number in [0, 1), compared with the shift fractions.
    """
    usable_by_id = {
        shift_id: shift
        for shift_id, shift in sorted(shifts_by_id.items())
        if (shift.service, shift.source) == (service_id, home)
        and _is_usable(shift, states_by_region.get(shift.target))
    }
    state = states_by_region.get(home)
    if state is None or not state.is_usable:
        refusal = Refusal.CAP if usable_by_id else Refusal.NO_SHIFT
        return _route_by_any_shift(usable_by_id, admit, draw, refusal)
    if not state.has_capacity:
        return _route_by_any_shift(usable_by_id, admit, draw, Refusal.CAPACITY)
    return _route_by_fraction(usable_by_id, admit, draw)


def _is_usable(shift: model.Shift, state: RegionState | None) -> bool:
    return (
        state is not None
        and state.is_usable
        and state.has_capacity
        and shift.endpoint_owner in state.live_endpoint_owners
    )


def _route_by_fraction(
    usable_by_id: Mapping[ids.ShiftId, model.Shift],
    admit: Callable[[ids.ShiftId], limiters.Admission],
    draw: float,
) -> Route:
    threshold = 0.0
    for shift_id, shift in usable_by_id.items():
        threshold += shift.fraction
        if draw < threshold:
            admission = admit(shift_id)
            if admission.is_ok():
                return _use_shift(shift_id, shift, admission.unwrap())
            return ServeAtHome()
    return ServeAtHome()


def _route_by_any_shift(
    usable_by_id: Mapping[ids.ShiftId, model.Shift],
    admit: Callable[[ids.ShiftId], limiters.Admission],
    draw: float,
    refusal: Refusal,
) -> Route:
    ordered = list(usable_by_id)
    offset = int(draw * len(ordered))
    waits_s = []
    for shift_id in ordered[offset:] + ordered[:offset]:
        admission = admit(shift_id)
        if admission.is_ok():
            return _use_shift(shift_id, usable_by_id[shift_id], admission.unwrap())
        waits_s.append(admission.unwrap_err().retry_after_s)
    return NotRun(min(waits_s, default=RETRY_AFTER_S), refusal)


def _use_shift(
    shift_id: ids.ShiftId, shift: model.Shift, admitted: limiters.Admitted
) -> UseShift:
    return UseShift(shift_id, shift.target, shift.endpoint_owner, admitted)
