"""Estimate of how many objects an endpoint of a service holds in its cache."""

from __future__ import annotations

import dataclasses

# Assumed before the first observation.
INITIAL_OBJECTS = 32.0
MIN_OBJECTS = 4.0
MAX_OBJECTS = 64.0
# Adjustment per wrong prediction. The estimate is stable when hits of objects that are
# assumed to be evicted are as frequent as misses of objects assumed to be cached.
STEP_OBJECTS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class CachePrediction:
    """Expected cache state of an object when a request for it is sent."""

    is_warm: bool
    """Whether the object is expected to be in the endpoint's cache."""
    reuse_distance: int = 0
    """Number of other objects that the endpoint has served since this one."""
    was_evicted: bool = False
    """Whether the object was cached and is assumed to be evicted."""


PREDICTED_MISS = CachePrediction(False)


class CacheCapacity:
    """Estimated number of objects that each endpoint of a service caches."""

    def __init__(self) -> None:
        self.objects = INITIAL_OBJECTS

    def observe(self, prediction: CachePrediction, was_cache_hit: bool) -> None:
        """Adjust the estimate if the prediction was wrong."""
        if prediction.is_warm and not was_cache_hit and prediction.reuse_distance > 0:
            self.objects = max(MIN_OBJECTS, self.objects - STEP_OBJECTS)
        elif prediction.was_evicted and was_cache_hit:
            self.objects = min(MAX_OBJECTS, self.objects + STEP_OBJECTS)
