"""Checks a history of callers against the journals of the endpoints."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Sequence

from tests import callers
from tests.fakes import endpoint as fake_endpoint, journal


def find_violations(
    history: Sequence[callers.Attempt], fakes: Iterable[fake_endpoint.FakeEndpoint]
) -> list[str]:
    """Return every promise that the history breaks."""
    begins: collections.Counter[str] = collections.Counter()
    found = []
    for fake in fakes:
        for entry in fake.journal.entries:
            if entry.step is journal.Step.BEGIN:
                begins[entry.key] += 1
        if fake.watermark > fake.behaviour.slots:
            found.append(f"{fake.endpoint_id} had {fake.watermark} requests in flight")
    for event in history:
        runs = begins[event.request_id]
        if event.outcome == "answered" and not event.is_complete:
            found.append(f"answer is not whole or not its own: {event}")
        if event.outcome == "not-run" and event.key is not None and runs:
            found.append(f"not-run, but it ran {runs} times: {event}")
        if event.key is not None and runs > 1:
            found.append(f"ran {runs} times: {event}")
        if event.outcome not in ("answered", "not-run", "unknown", "lost", "refused"):
            found.append(f"no outcome: {event}")
        if event.outcome == "answered" and event.status == 200 and not runs:
            found.append(f"answered, but never ran: {event}")
    return found
