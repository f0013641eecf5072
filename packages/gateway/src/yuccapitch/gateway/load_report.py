"""Parses load reports of endpoints and instance lists of the platform."""

from __future__ import annotations

import enum
from typing import Any

import pydantic
import result

MAX_REPORT_CHARS = 500
MAX_PLATFORM_INSTANCES = 16_384
"""Limit on the instances in a platform's list, which take far more than its bytes."""


class State(enum.Enum):
    """State that an endpoint reports of itself."""

    SERVING = "serving"
    COLD = "cold"
    DRAINING = "draining"


class Report(pydantic.BaseModel):
    """An endpoint's load report; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(frozen=True)

    in_flight: int = pydantic.Field(default=0, ge=0)
    slots: int = pydantic.Field(default=0, ge=0)
    state: State = State.SERVING
    started_ms: int = pydantic.Field(default=0, ge=0, lt=2**53)
    """Unix time at which the endpoint's process started; 0 if not reported."""


class PlatformState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class PlatformInstance(pydantic.BaseModel):
    """An instance in the platform's list."""

    id: str
    state: PlatformState


class PlatformList(pydantic.BaseModel):
    """The platform's list of instances at one time."""

    as_of_unix_ms: int = pydantic.Field(ge=0, lt=2**53)
    instances: tuple[PlatformInstance, ...] = pydantic.Field(
        max_length=MAX_PLATFORM_INSTANCES
    )


def parse_header(text: str) -> result.Result[Report, str]:
    """Parse the report in a `Yuccapitch-Load` header."""
    if len(text) > MAX_REPORT_CHARS:
        return result.Err("the load report is too long")
    pairs = [part.partition("=") for part in text.split(";") if part.strip()]
    return from_json({name.strip(): value.strip() for name, _, value in pairs})


def from_json(body: Any) -> result.Result[Report, str]:
    """Validate the report in the JSON response to a probe."""
    try:
        return result.Ok(Report.model_validate(body))
    except pydantic.ValidationError as error:
        return result.Err(str(error.errors(include_url=False)[0]["msg"]))


def parse_platform_list(text: bytes) -> result.Result[PlatformList, str]:
    """Parse the platform's list of instances."""
    try:
        return result.Ok(PlatformList.model_validate_json(text))
    except pydantic.ValidationError as error:
        return result.Err(str(error.errors(include_url=False)[0]["msg"]))
