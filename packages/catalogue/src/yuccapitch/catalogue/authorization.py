"""Checks whether an owner may make the changes of a proposed declaration.

An entry that belongs to an owner may be changed only by this owner. Shared entries may
be changed only by the owner in turn; the turn passes on every UTC month. A route that
would take requests from a route of another owner also needs the turn.
"""

from __future__ import annotations

import datetime
from collections.abc import Iterator

from yuccapitch.catalogue import difference, ids, model, validation

MS_PER_S = 1000


def owner_in_turn(turns: model.Turns, time_ms: int) -> ids.OwnerId:
    """Return the owner who may change shared entries in the UTC month of the time."""
    moment = datetime.datetime.fromtimestamp(time_ms / MS_PER_S, datetime.UTC)
    first_year, first_month = (int(part) for part in turns.first_month.split("-"))
    months = (moment.year - first_year) * 12 + moment.month - first_month
    # Before the first month, it is the first owner's turn.
    return turns.order[max(months, 0) % len(turns.order)]


def check_permissions(
    before: model.Declaration,
    after: model.Declaration,
    owner: ids.OwnerId,
    time_ms: int,
) -> tuple[validation.Fault, ...]:
    """Return a fault for each difference that the owner may not make at that time.

    The declaration in force, not the proposed one, determines whose turn it is.
    """
    return tuple(_check_differences(before, after, owner, time_ms))


def _check_differences(
    before: model.Declaration,
    after: model.Declaration,
    owner: ids.OwnerId,
    time_ms: int,
) -> Iterator[validation.Fault]:
    in_turn = owner_in_turn(before.turns, time_ms)
    for item in difference.compare(before, after):
        path = f"{item.section}.{item.entry_id}" if item.entry_id else item.section
        if item.owner is None:
            if owner != in_turn:
                yield validation.Fault(
                    path,
                    f"{item.kind.value} by {owner!r}, but it is shared and this UTC"
                    f" month is {in_turn!r}'s; ask an operator of {in_turn!r} to apply",
                )
        elif item.owner != owner:
            yield validation.Fault(
                path,
                f"{item.kind.value} by {owner!r}, but it belongs to {item.owner!r};"
                f" ask an operator of {item.owner!r} to apply",
            )
        elif item.section == "routes" and owner != in_turn:
            yield from _check_route_overlap(
                before, after, ids.RouteId(item.entry_id), path
            )


def _check_route_overlap(
    before: model.Declaration,
    after: model.Declaration,
    route_id: ids.RouteId,
    path: str,
) -> Iterator[validation.Fault]:
    """Report each other owner's route that the route would take requests from."""
    route = after.routes_by_id.get(route_id)
    if route is None:
        return
    for other_id, other in before.routes_by_id.items():
        if (
            other.owner != route.owner
            and other.service == route.service
            and route.path_prefix.startswith(other.path_prefix)
            and set(other.methods) & set(route.methods)
        ):
            yield validation.Fault(
                path,
                f"it would take requests from {other_id!r} of {other.owner!r}; the"
                " owner whose month it is can add it",
            )
