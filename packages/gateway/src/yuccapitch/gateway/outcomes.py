"""Outcomes of requests and the error responses that report them to clients."""

from __future__ import annotations

import dataclasses
import enum
import json
import math

from aiohttp import web

OUTCOME_HEADER = "Yuccapitch-Outcome"
VERSION_HEADER = "Yuccapitch-Config-Version"


class Outcome(enum.Enum):
    """Whether a request ran, as reported to its client."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Failure:
    """The failure of a request without a complete response of an endpoint."""

    status: int
    code: str
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None


def failure_response(failure: Failure, version: int) -> web.Response:
    """Return the error response that reports a failure to the client."""
    headers = {
        OUTCOME_HEADER: failure.outcome.value,
        VERSION_HEADER: str(version),
    }
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    body = json.dumps({"error": failure.code, "message": failure.message})
    return web.Response(
        status=failure.status,
        text=body,
        content_type="application/json",
        headers=headers,
    )


def with_unknown_outcome(failure: Failure) -> Failure:
    """Return a failure with the outcome of a request that may have run."""
    return dataclasses.replace(failure, outcome=Outcome.UNKNOWN, retry_after_s=None)


def parse_error_code(body: bytes) -> str:
    """Return the code in the body of an error response."""
    try:
        code = json.loads(body)["error"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return "no-answer"
    return code if isinstance(code, str) else "no-answer"
