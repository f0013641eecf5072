"""The behaviour of a fake endpoint, set at its start or through `POST /control`."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable

import pydantic


class State(enum.Enum):
    """The state that the endpoint reports."""

    SERVING = "serving"
    DRAINING = "draining"
    COLD = "cold"


class DelayDistribution(enum.Enum):
    """The distribution of service times."""

    CONSTANT = "constant"
    EXPONENTIAL = "exponential"
    UNIFORM = "uniform"


class Truncation(enum.Enum):
    """The way in which response bodies are truncated."""

    NONE = "none"
    LENGTH = "length"
    """Send fewer bytes than Content-Length announces."""
    CHUNKED = "chunked"
    """Send a chunked body without its last chunk."""


class Stall(enum.Enum):
    """The point at which an exchange stalls until the behaviour changes."""

    NONE = "none"
    HEAD = "head"
    """Before the first byte of the response."""
    BODY = "body"
    """After half of the response body."""


class Behaviour(pydantic.BaseModel):
    """All settings that can change at run time."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    slots: int = pydantic.Field(default=4, gt=0)
    delay: DelayDistribution = DelayDistribution.CONSTANT
    mean_s: float = pydantic.Field(default=0.0, ge=0)
    body_bytes: int = pydantic.Field(default=256, ge=0)
    shed_ratio: float = pydantic.Field(default=0.0, ge=0, le=1)
    shed_when_full: bool = False
    draining: bool = False
    truncation: Truncation = Truncation.NONE
    stall: Stall = Stall.NONE
    cold_requests: int = pydantic.Field(default=0, ge=0)
    """Number of slow requests before the endpoint is warm."""
    cold_factor: float = pydantic.Field(default=5.0, ge=1)
    probe_fails: bool = False
    report_in_flight: int | None = None
    """Reported instead of the actual number."""
    report_state: State | None = None
    """Reported instead of the actual state."""
    report_absent: bool = False
    """Send responses without a load report."""


DelayFunction = Callable[[random.Random, float], float]
DELAY_FUNCTIONS_BY_KIND: dict[DelayDistribution, DelayFunction] = {}


def register_delay_function(
    kind: DelayDistribution,
) -> Callable[[DelayFunction], DelayFunction]:
    """Register the function that samples a distribution of service times."""

    def register(function: DelayFunction) -> DelayFunction:
        DELAY_FUNCTIONS_BY_KIND[kind] = function
        return function

    return register


@register_delay_function(DelayDistribution.CONSTANT)
def constant_delay(rng: random.Random, mean_s: float) -> float:
    """Return the mean itself."""
    return mean_s


@register_delay_function(DelayDistribution.EXPONENTIAL)
def exponential_delay(rng: random.Random, mean_s: float) -> float:
    """Return an exponentially distributed time."""
    return rng.expovariate(1 / mean_s) if mean_s else 0.0


@register_delay_function(DelayDistribution.UNIFORM)
def uniform_delay(rng: random.Random, mean_s: float) -> float:
    """Return a uniformly distributed time between 0 and twice the mean."""
    return rng.uniform(0, 2 * mean_s)
