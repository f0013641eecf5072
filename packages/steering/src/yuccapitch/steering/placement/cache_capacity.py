"""Learns how many objects an endpoint of a service keeps at hand."""

from __future__ import annotations

import dataclasses

# Assumed before anything is learned.
INITIAL_OBJECTS = 32.0
MIN_OBJECTS = 4.0
MAX_OBJECTS = 64.0
# Change by one request. Steady where hits and misses beyond the true limit are alike.
STEP_OBJECTS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class CachePrediction:
    """What a dispatcher knew of an object when it sent a request for it."""

    is_warm: bool
    """Whether the endpoint was taken to know the object."""
    reuse_distance: int = 0
    """Objects that the endpoint has served since."""
    was_evicted: bool = False
    """Whether the endpoint knew the object before others took its place."""


PREDICTED_MISS = CachePrediction(False)


class CacheCapacity:
    """Number of objects that an endpoint of one service keeps."""

    def __init__(self) -> None:
        self.objects = INITIAL_OBJECTS

    def observe(self, prediction: CachePrediction, was_cache_hit: bool) -> None:
        """Take in whether a request found its object."""
        if prediction.is_warm and not was_cache_hit and prediction.reuse_distance > 0:
            self.objects = max(MIN_OBJECTS, self.objects - STEP_OBJECTS)
        elif prediction.was_evicted and was_cache_hit:
            self.objects = min(MAX_OBJECTS, self.objects + STEP_OBJECTS)
