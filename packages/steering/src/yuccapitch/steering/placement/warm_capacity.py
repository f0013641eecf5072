"""Learns how many objects an endpoint of a service keeps at hand."""

from __future__ import annotations

import dataclasses

# Assumed before anything is learned.
INITIAL_OBJECTS = 32.0
MIN_OBJECTS = 4.0
MAX_OBJECTS = 64.0
# Change by one request. Steady where hits and misses beyond the true limit are alike.
STEP = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Visit:
    """What a dispatcher knew of an object when it sent a request for it."""

    is_warm: bool
    """Whether the endpoint was taken to know the object."""
    depth: int = 0
    """Objects that the endpoint has served since."""
    was_dropped: bool = False
    """Whether the endpoint knew the object before others took its place."""


COLD_VISIT = Visit(False)


class WarmCapacity:
    """Number of objects that an endpoint of one service keeps."""

    def __init__(self) -> None:
        self.objects = INITIAL_OBJECTS

    def observe(self, visit: Visit, had_object: bool) -> None:
        """Take in whether a request found its object."""
        if visit.is_warm and not had_object and visit.depth > 0:
            self.objects = max(MIN_OBJECTS, self.objects - STEP)
        elif visit.was_dropped and had_object:
            self.objects = min(MAX_OBJECTS, self.objects + STEP)
