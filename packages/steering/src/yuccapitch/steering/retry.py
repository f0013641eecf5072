"""Retry decisions: idempotency, attempt limit, deadline and retry budget."""

from __future__ import annotations

import dataclasses
import enum

import result

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import retry_budget

MAX_ATTEMPTS = 3
SHED_AVOIDANCE_S = 1.0
"""Time during which an endpoint that shed a request gets no retries."""


class AttemptEnd(enum.Enum):
    """How an unanswered attempt ended."""

    NOT_SENT = "not-sent"
    SHED = "shed"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"


class NoRetryReason(enum.Enum):
    """Reason why a request is not retried."""

    MAY_HAVE_RUN = "may-have-run"
    BUDGET_SPENT = "budget-spent"
    DEADLINE = "deadline"
    ATTEMPTS = "attempts"
    NO_OTHER_ENDPOINT = "no-other-endpoint"


@dataclasses.dataclass(frozen=True)
class Attempt:
    """The last attempt of a request, which failed."""

    number: int
    request_class: model.RequestClass
    end: AttemptEnd
    deadline: float
    expected_service_s: float


class RecentSheds:
    """Endpoints that shed a request recently."""

    def __init__(self) -> None:
        self._shed_at_by_id: dict[ids.EndpointId, float] = {}

    def record(self, endpoint_id: ids.EndpointId, now: float) -> None:
        """Record that the endpoint shed a request."""
        self._shed_at_by_id[endpoint_id] = now

    def endpoints_to_avoid(self, now: float) -> frozenset[ids.EndpointId]:
        """Return the endpoints that should get no retries now."""
        return frozenset(self.avoided_until_by_id(now))

    def avoided_until_by_id(self, now: float) -> dict[ids.EndpointId, float]:
        """Return until when each endpoint that shed recently is avoided."""
        self._shed_at_by_id = {
            endpoint_id: shed_at
            for endpoint_id, shed_at in self._shed_at_by_id.items()
            if now - shed_at < SHED_AVOIDANCE_S
        }
        return {
            endpoint_id: shed_at + SHED_AVOIDANCE_S
            for endpoint_id, shed_at in self._shed_at_by_id.items()
        }


def is_safe_to_retry(request_class: model.RequestClass, end: AttemptEnd) -> bool:
    """Return whether a retry cannot execute an unsafe request twice.

    For a kept-once request this rule is not enough: its retry also needs the claim of
    its idempotency key.
    """
    if end in (AttemptEnd.NOT_SENT, AttemptEnd.SHED):
        return True
    return request_class is model.RequestClass.READ_ONLY


def decide_retry(
    attempt: Attempt, budget: retry_budget.RetryBudget, other_endpoints: int, now: float
) -> result.Result[int, NoRetryReason]:
    """Return the number of the next attempt, or why the request is not retried.

    The budget is charged last, so that a retry refused for another reason is free.
    """
    if not is_safe_to_retry(attempt.request_class, attempt.end):
        return result.Err(NoRetryReason.MAY_HAVE_RUN)
    if attempt.number >= MAX_ATTEMPTS:
        return result.Err(NoRetryReason.ATTEMPTS)
    if now + attempt.expected_service_s >= attempt.deadline:
        return result.Err(NoRetryReason.DEADLINE)
    if other_endpoints <= 0:
        return result.Err(NoRetryReason.NO_OTHER_ENDPOINT)
    if not budget.spend():
        return result.Err(NoRetryReason.BUDGET_SPENT)
    return result.Ok(attempt.number + 1)
