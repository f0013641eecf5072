"""Observations of clients, operators and endpoints, and violated guarantees."""

from __future__ import annotations

import collections
import dataclasses

# Statuses that guarantee that a request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
VALID_STATUS, WHOLE = "statuses are valid", "complete responses"


@dataclasses.dataclass(frozen=True)
class Violation:
    """One violation of a guarantee."""

    guarantee: str
    detail: str


@dataclasses.dataclass
class Attempt:
    """One attempt of a client, with a unique id."""

    attempt_id: str
    kind: str
    entry: str
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    """None if the connection ended before a response."""
    detail: str = ""
    is_sent_whole: bool = False
    """Whether the whole request is known to have been sent on an open connection."""
    whole_at: float = 0.0
    """When the last byte was sent, of a request that was sent whole."""
    is_cut: bool = False
    """Whether the instance ended the connection before the response."""
    seen_open_at: float = 0.0
    """When a connection that was cut was open, by the client's last look at it."""
    is_kept: bool = False
    """Whether the connection stays open after the response."""
    answered_before: int | None = None
    """Requests that were answered on its connection; None if that isn't counted."""
    is_behind: bool = False
    """Whether it was sent behind an unanswered request."""
    is_behind_close: bool = False
    """Whether a response before it announced the close of the connection."""
    time_limit_s: float = float("inf")
    """The shorter of its deadline and its route's timeout."""
    is_from_endpoint: bool = False
    """Whether the response is that of an endpoint."""

    @property
    def cut_from(self) -> float:
        """When the connection can have ended at the earliest."""
        return self.seen_open_at if self.is_cut else self.ended_at


@dataclasses.dataclass(frozen=True)
class InvalidAnswer:
    """What an endpoint answered an attempt with, if not with a valid response."""

    sent_at: float
    is_status: bool
    """Whether it is whole but for its status, so that nothing follows it."""


class History:
    """Observations of a run, checked as soon as they are recorded."""

    def __init__(self) -> None:
        self.attempts_by_id: dict[str, Attempt] = {}
        self.executions_by_attempt_id: collections.Counter[str] = collections.Counter()
        self.answered_at_by_attempt_id: dict[str, float] = {}
        """Times at which an endpoint had first sent its whole response."""
        self.arrived_ids: set[str] = set()
        """Attempts that were passed on to an endpoint, executed or not."""
        self.broken_off_ids: set[str] = set()
        """Attempts that an endpoint broke off, or whose response it spoilt."""
        self.invalid_answers_by_attempt_id: dict[str, InvalidAnswer] = {}
        """The last invalid answer to each attempt that had any."""
        self.checks_by_guarantee: collections.Counter[str] = collections.Counter()
        self.violations: list[Violation] = []

    def check(self, guarantee: str, holds: bool, detail: str) -> None:
        """Count a check and record a violation if it fails."""
        self.checks_by_guarantee[guarantee] += 1
        if not holds:
            self.violations.append(Violation(guarantee, detail))

    def record_start(self, attempt: Attempt) -> None:
        """Record an attempt before it is sent."""
        self.attempts_by_id[attempt.attempt_id] = attempt

    def record_execution(self, attempt_id: str, endpoint_id: str) -> None:
        """Record that an endpoint started to execute an attempt."""
        self.executions_by_attempt_id[attempt_id] += 1
        attempt = self.attempts_by_id.get(attempt_id)
        self.check(
            "executed requests were sent",
            attempt is not None,
            f"{attempt_id} at {endpoint_id}",
        )
        if attempt is None or attempt.kind == "safe":
            return
        count = self.executions_by_attempt_id[attempt_id]
        self.check("at most once", count == 1, f"{attempt} executed {count} times")
        is_rejected = attempt.status in NOT_EXECUTED_STATUSES
        self.check(
            "not-executed responses are correct",
            not is_rejected,
            f"{attempt} was executed after the response",
        )

    def record_arrival(self, attempt_id: str) -> None:
        """Record that an attempt was passed on to an endpoint."""
        self.arrived_ids.add(attempt_id)

    def record_broken_off(self, attempt_id: str) -> None:
        """Record that an endpoint ended an attempt without a whole response."""
        self.broken_off_ids.add(attempt_id)

    def record_invalid_answer(
        self, attempt_id: str, now: float, is_status: bool
    ) -> None:
        """Record that an endpoint begins an invalid answer to an attempt."""
        self.invalid_answers_by_attempt_id[attempt_id] = InvalidAnswer(now, is_status)
        self.record_broken_off(attempt_id)

    def record_answer(self, attempt_id: str, now: float) -> None:
        """Record that an endpoint has sent its whole response to an attempt."""
        self.answered_at_by_attempt_id.setdefault(attempt_id, now)

    def record_end(self, attempt: Attempt, status: int | None, now: float) -> None:
        """Record the outcome of an attempt for its client."""
        attempt.status, attempt.ended_at = status, now
        if status in NOT_EXECUTED_STATUSES and attempt.kind != "safe":
            was_executed = self.executions_by_attempt_id[attempt.attempt_id] > 0
            self.check(
                "not-executed responses are correct",
                not was_executed,
                f"{attempt} was executed before the response",
            )

    def check_response(
        self, attempt: Attempt, status: int | None, content: bytes, expected: bytes
    ) -> None:
        """Check that a response has a status, and that a success is a whole one."""
        if status is None:
            return
        self.check(VALID_STATUS, 200 <= status < 600, f"{attempt} got {status}")
        if 200 <= status < 300:
            holds = status == 200 and content == expected
            detail = (
                f"{attempt} got {status} and {len(content)} bytes: {content[:99]!r}"
            )
            self.check(WHOLE, holds, detail)

    def served(self) -> int:
        """Return the number of successful attempts."""
        return sum(a.status == 200 for a in self.attempts_by_id.values())
