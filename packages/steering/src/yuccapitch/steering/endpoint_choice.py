"""Policies that choose an endpoint for a request among those of a pool."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Sequence

from yuccapitch.catalogue import ids, model

SLOW_THRESHOLD = 2.0
"""Slowness from which an endpoint is kept for work that gains by it."""
SLOW_TRIAL_PROBABILITY = 1 / 256
"""Chance that a request is sent to a slow endpoint to measure it again."""
SCORE_JITTER = 0.1
DEFAULT_POLICY = "measured-slots"


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint as seen when a request is to be sent."""

    endpoint_id: ids.EndpointId
    slots: int
    free: int
    slowness: float = 1.0
    doubtful: bool = False


@dataclasses.dataclass(frozen=True)
class RequestProfile:
    """What matters of the request to the choice."""

    patience: model.Patience
    expected_service_s: float
    """Service time at an ordinary endpoint."""
    expected_wait_s: float = 0.0
    """Wait until an ordinary endpoint has a free slot."""
    avoided: frozenset[ids.EndpointId] = frozenset()


Policy = Callable[
    [Sequence[Candidate], RequestProfile, random.Random], "ids.EndpointId | None"
]
POLICIES_BY_NAME: dict[str, Policy] = {}


def register(name: str) -> Callable[[Policy], Policy]:
    """Register a policy under a name."""

    def add(policy: Policy) -> Policy:
        if name in POLICIES_BY_NAME:
            raise ValueError(f"endpoint policy {name!r} is registered twice")
        POLICIES_BY_NAME[name] = policy
        return policy

    return add


def choose(
    candidates: Sequence[Candidate],
    need: RequestProfile,
    rng: random.Random,
    policy: str = DEFAULT_POLICY,
) -> ids.EndpointId | None:
    """Choose an endpoint, or none if waiting is better."""
    return POLICIES_BY_NAME[policy](candidates, need, rng)


@register("random")
def choose_random(
    candidates: Sequence[Candidate], need: RequestProfile, rng: random.Random
) -> ids.EndpointId | None:
    """Choose any endpoint, with no regard to its load."""
    if not candidates:
        return None
    return rng.choice(candidates).endpoint_id


@register("power-of-two")
def choose_power_of_two(
    candidates: Sequence[Candidate], need: RequestProfile, rng: random.Random
) -> ids.EndpointId | None:
    """Choose the less loaded of two random endpoints."""
    allowed = _eligible(candidates, need)
    if not allowed:
        return None
    pair = rng.sample(allowed, min(2, len(allowed)))
    return min(pair, key=_utilization).endpoint_id


@register("least-outstanding")
def choose_least_outstanding(
    candidates: Sequence[Candidate], need: RequestProfile, rng: random.Random
) -> ids.EndpointId | None:
    """Choose the endpoint with the smallest part of its slots in use."""
    allowed = _eligible(candidates, need)
    if not allowed:
        return None
    return min(allowed, key=lambda c: (_utilization(c), rng.random())).endpoint_id


@register(DEFAULT_POLICY)
def choose_measured_slots(
    candidates: Sequence[Candidate], need: RequestProfile, rng: random.Random
) -> ids.EndpointId | None:
    """Choose a free slot by measured service time, or wait for a faster one."""
    free = [c for c in _eligible(candidates, need) if c.free > 0]
    if not free:
        return None
    ordinary = [c for c in free if c.slowness < SLOW_THRESHOLD and not c.doubtful]
    slow = [c for c in free if c.slowness >= SLOW_THRESHOLD and not c.doubtful]
    if need.patience is model.Patience.PATIENT and slow:
        # Patient work takes the slow slots, which leaves others the fast ones.
        return rng.choice(slow).endpoint_id
    if slow and rng.random() < SLOW_TRIAL_PROBABILITY:
        return rng.choice(slow).endpoint_id
    if ordinary:
        return min(
            ordinary,
            key=lambda c: (1 + _utilization(c)) * c.slowness * _jitter(rng),
        ).endpoint_id
    quickest = min(free, key=lambda c: (c.doubtful, c.slowness))
    extra_s = (quickest.slowness - 1.0) * need.expected_service_s
    if quickest.doubtful or need.expected_wait_s < extra_s:
        return None
    return quickest.endpoint_id


def _eligible(candidates: Sequence[Candidate], need: RequestProfile) -> list[Candidate]:
    return [c for c in candidates if c.endpoint_id not in need.avoided]


def _utilization(candidate: Candidate) -> float:
    return (candidate.slots - candidate.free) / max(1, candidate.slots)


def _jitter(rng: random.Random) -> float:
    return 1.0 + SCORE_JITTER * rng.random()
