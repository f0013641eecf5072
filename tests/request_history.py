"""Checks a history of client requests against the journals of the endpoints."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Sequence

from tests import callers
from tests.fakes import endpoint as fake_endpoint, journal


def find_violations(
    history: Sequence[callers.Attempt], fakes: Iterable[fake_endpoint.FakeEndpoint]
) -> list[str]:
    """Return every violation of the delivery guarantees in the history."""
    executions_by_id: collections.Counter[str] = collections.Counter()
    violations = []
    for fake in fakes:
        for entry in fake.journal.entries:
            if entry.step is journal.Step.BEGIN:
                executions_by_id[entry.key] += 1
        if fake.watermark > fake.behaviour.slots:
            violations.append(
                f"{fake.endpoint_id} had {fake.watermark} requests in flight"
            )
    for attempt in history:
        executions = executions_by_id[attempt.request_id]
        if attempt.outcome == "answered" and not attempt.is_complete:
            violations.append(
                f"response is truncated or belongs to another request: {attempt}"
            )
        if attempt.outcome == "not-run" and attempt.key is not None and executions:
            violations.append(
                f"reported as not-run, but executed {executions} times: {attempt}"
            )
        if attempt.key is not None and executions > 1:
            violations.append(f"executed {executions} times: {attempt}")
        if attempt.outcome not in ("answered", "not-run", "unknown", "lost", "refused"):
            violations.append(f"no outcome: {attempt}")
        if attempt.outcome == "answered" and attempt.status == 200 and not executions:
            violations.append(f"answered, but never executed: {attempt}")
    return violations
