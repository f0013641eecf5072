"""Observations of clients, operators and endpoints, and violated guarantees."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from tests.soak import deployment

# Statuses that guarantee that a request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Delay with which a busy run may see that a connection has ended.
END_DELAY_S = 1.0


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


class History:
    """Observations of a run, checked as soon as they are recorded."""

    def __init__(self) -> None:
        self.attempts_by_id: dict[str, Attempt] = {}
        self.executions_by_attempt_id: collections.Counter[str] = collections.Counter()
        self.answered_at_by_attempt_id: dict[str, float] = {}
        """Times at which an endpoint had first sent its whole response."""
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

    def check_planned_stops(self, entries: Iterable[deployment.Instance]) -> None:
        """Check that whole requests got an answer from processes that were stopping.

        Excused are those whose endpoint was still at work, and those that ended just
        after the response of their endpoint, or just after they were sent.
        """
        entries_by_address = {f"{e.ip}:{deployment.CALLERS_PORT}": e for e in entries}
        for attempt in self.attempts_by_id.values():
            process = entries_by_address[attempt.entry].process_at(attempt.sent_at)
            is_executed = self.executions_by_attempt_id[attempt.attempt_id] > 0
            # A whole request that no endpoint got is owed a refusal.
            owes_refusal = attempt.is_sent_whole and not is_executed
            due_at = self.answered_at_by_attempt_id.get(
                attempt.attempt_id, attempt.sent_at if owes_refusal else float("inf")
            )
            is_due = attempt.ended_at - due_at > END_DELAY_S
            if is_due and process.is_stopping(attempt.ended_at):
                self.check(
                    "whole requests are answered in a planned stop",
                    attempt.status is not None,
                    f"{attempt}, due from {due_at}, executed: {is_executed}",
                )

    def served(self) -> int:
        """Return the number of successful attempts."""
        return sum(a.status == 200 for a in self.attempts_by_id.values())
