"""Policies that select the endpoint of a pool for a request."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Sequence

from yuccapitch.catalogue import ids, model

SLOW_THRESHOLD = 2.0
"""Slowness from which an endpoint serves mainly patient work."""
SLOW_TRIAL_PROBABILITY = 1 / 256
"""Probability of sending a request to a slow endpoint to measure it again."""
SCORE_JITTER = 0.1
DEFAULT_POLICY = "measured-slots"


@dataclasses.dataclass(frozen=True)
class Candidate:
    """State of an endpoint at the time of the selection."""

    endpoint_id: ids.EndpointId
    slots: int
    free: int
    slowness: float = 1.0
    doubtful: bool = False


@dataclasses.dataclass(frozen=True)
class RequestProfile:
    """Properties of a request that affect the selection."""

    patience: model.Patience
    expected_service_s: float
    """Service time at an endpoint of typical speed."""
    expected_wait_s: float = 0.0
    """Wait until an endpoint of typical speed has a free slot."""
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
    profile: RequestProfile,
    rng: random.Random,
    policy: str = DEFAULT_POLICY,
) -> ids.EndpointId | None:
    """Return the endpoint that a policy selects, or None if the request should wait."""
    return POLICIES_BY_NAME[policy](candidates, profile, rng)


@register("random")
def choose_random(
    candidates: Sequence[Candidate], profile: RequestProfile, rng: random.Random
) -> ids.EndpointId | None:
    """Choose any endpoint, regardless of its load."""
    if not candidates:
        return None
    return rng.choice(candidates).endpoint_id


@register("power-of-two")
def choose_power_of_two(
    candidates: Sequence[Candidate], profile: RequestProfile, rng: random.Random
) -> ids.EndpointId | None:
    """Choose the less loaded of two random endpoints."""
    eligible = _eligible(candidates, profile)
    if not eligible:
        return None
    pair = rng.sample(eligible, min(2, len(eligible)))
    return min(pair, key=_utilization).endpoint_id


@register("least-outstanding")
def choose_least_outstanding(
    candidates: Sequence[Candidate], profile: RequestProfile, rng: random.Random
) -> ids.EndpointId | None:
    """Choose the endpoint with the smallest fraction of its slots in use."""
    eligible = _eligible(candidates, profile)
    if not eligible:
        return None
    return min(eligible, key=lambda c: (_utilization(c), rng.random())).endpoint_id


@register(DEFAULT_POLICY)
def choose_measured_slots(
    candidates: Sequence[Candidate], profile: RequestProfile, rng: random.Random
) -> ids.EndpointId | None:
    """Choose a free slot by measured service time, or wait for a faster one."""
    free = [c for c in _eligible(candidates, profile) if c.free > 0]
    if not free:
        return None
    typical = [c for c in free if c.slowness < SLOW_THRESHOLD and not c.doubtful]
    slow = [c for c in free if c.slowness >= SLOW_THRESHOLD and not c.doubtful]
    if profile.patience is model.Patience.PATIENT and slow:
        # Patient work uses slow endpoints, which keeps fast slots free for other work.
        return rng.choice(slow).endpoint_id
    if slow and rng.random() < SLOW_TRIAL_PROBABILITY:
        return rng.choice(slow).endpoint_id
    if typical:
        return min(
            typical,
            key=lambda c: (1 + _utilization(c)) * c.slowness * _jitter(rng),
        ).endpoint_id
    fastest = min(free, key=lambda c: (c.doubtful, c.slowness))
    extra_service_s = (fastest.slowness - 1.0) * profile.expected_service_s
    if fastest.doubtful or profile.expected_wait_s < extra_service_s:
        return None
    return fastest.endpoint_id


def _eligible(
    candidates: Sequence[Candidate], profile: RequestProfile
) -> list[Candidate]:
    return [c for c in candidates if c.endpoint_id not in profile.avoided]


def _utilization(candidate: Candidate) -> float:
    return (candidate.slots - candidate.free) / max(1, candidate.slots)


def _jitter(rng: random.Random) -> float:
    return 1.0 + SCORE_JITTER * rng.random()
