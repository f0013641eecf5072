"""What callers, operators and endpoints saw in a run, and which promises broke."""

from __future__ import annotations

import collections
import dataclasses

# Statuses by which an instance promises that a request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True)
class Violation:
    """One promise that did not hold."""

    guarantee: str
    detail: str


@dataclasses.dataclass
class Attempt:
    """One try of a caller, under an id of its own."""

    attempt_id: str
    kind: str
    entry: str
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    """None if the connection ended without an answer."""
    detail: str = ""


class History:
    """Gathers observations; checks are made as soon as they can be."""

    def __init__(self) -> None:
        self.attempts_by_id: dict[str, Attempt] = {}
        self.runs_by_attempt_id: collections.Counter[str] = collections.Counter()
        self.checks_by_guarantee: collections.Counter[str] = collections.Counter()
        self.violations: list[Violation] = []

    def check(self, guarantee: str, holds: bool, detail: str) -> None:
        """Count a check, and keep what does not hold."""
        self.checks_by_guarantee[guarantee] += 1
        if not holds:
            self.violations.append(Violation(guarantee, detail))

    def record_start(self, attempt: Attempt) -> None:
        """Note an attempt before it is sent."""
        self.attempts_by_id[attempt.attempt_id] = attempt

    def record_execution(self, attempt_id: str, endpoint_id: str) -> None:
        """Note that an endpoint began to work on an attempt."""
        self.runs_by_attempt_id[attempt_id] += 1
        attempt = self.attempts_by_id.get(attempt_id)
        self.check("asked for", attempt is not None, f"{attempt_id} at {endpoint_id}")
        if attempt is None or attempt.kind == "safe":
            return
        count = self.runs_by_attempt_id[attempt_id]
        self.check("at most once", count == 1, f"{attempt} ran {count} times")
        is_denied = attempt.status in NOT_EXECUTED_STATUSES
        self.check("not run is true", not is_denied, f"{attempt} ran afterwards")

    def record_end(self, attempt: Attempt, status: int | None, now: float) -> None:
        """Note how an attempt ended for its caller."""
        attempt.status, attempt.ended_at = status, now
        if status in NOT_EXECUTED_STATUSES and attempt.kind != "safe":
            has_run = self.runs_by_attempt_id[attempt.attempt_id] > 0
            self.check("not run is true", not has_run, f"{attempt} had run")

    def served(self) -> int:
        """Return how many attempts got a success."""
        return sum(a.status == 200 for a in self.attempts_by_id.values())
