"""Sites that runs imitate: failure domains, endpoints, traffic and disruptions."""

from __future__ import annotations

import dataclasses

PLANNED_FAULTS = ("stop_in_turn", "stop_in_series", "change_in_series", "reload") * 3


@dataclasses.dataclass(frozen=True)
class Site:
    """A site, and how its clients behave."""

    regions_by_zone: dict[str, str]
    services: tuple[str, ...]
    work_s_by_path: dict[str, float]
    deadline_s_by_path: dict[str, float]
    clinging_ways: tuple[tuple[bool, float], ...]
    slots: int = 4
    probe_interval_s: float = 0.2
    repeats_once: bool = False
    leaving_fraction: float = 0.0
    faults: tuple[str, ...] = ()
    full_log_roles: tuple[str, ...] = ()


SMALL = Site(
    {"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"},
    ("tienda", "taller") * 6,
    {"/safe/": 0.09, "/order/": 0.09, "/photo/": 0.09, "/long/": 0.09},
    {"/safe/": 4.0, "/order/": 4.0, "/photo/": 4.0},
    # The last pause is about as long as a connection may be idle in a planned stop.
    ((False, 0.15), (False, 0.15), (True, 0.15), (True, 1.1)),
)
LARGE = Site(
    SMALL.regions_by_zone | {"east-a": "east", "east-b": "east"},
    ("tienda", "taller") * 12 + ("tienda",) * 6,
    {"/safe/": 0.64, "/order/": 0.84, "/photo/": 0.76, "/long/": 2.56},
    {"/safe/": 3.0, "/order/": 4.0, "/photo/": 4.0},
    # The last pause is up to four fifths of the idle limit.
    ((False, 0.15), (True, 0.5), (True, 1.1), (True, 4.0)) * 2 + ((True, 10.0),),
    9, 1.0, True, 0.04,
)  # fmt: skip
SITES_BY_PROFILE = {
    profile: dataclasses.replace(LARGE, faults=faults, full_log_roles=roles)
    for profile, faults, roles in (
        ("planned", (), ()),
        ("full-logs", (), ("entry", "control")),
        ("full-disks", ("fill_disk",), ()),
        ("resets", ("reset_links", "reset_endpoint_connections"), ()),
        ("answers", ("spoil_answers", "garble_answers"), ()),
    )
}
