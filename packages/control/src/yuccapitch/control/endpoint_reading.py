"""Decides whether the platform's list is read whole or by failure domain, and when.

The pages of a reading follow each other, a round trip each. A long list is therefore
read by failure domain: one reading for each, beside each other. This takes as many
round trips as the largest failure domain has pages, and a few more pages.
"""

from __future__ import annotations

import asyncio
import typing
from collections.abc import Iterable, Mapping

import result

from yuccapitch.catalogue import ids
from yuccapitch.protocol import events, subscription_messages as messages

READING_INTERVAL_S = 1.0
# Longest interval of readings by failure domain. With the reading itself and the way to
# the followers, a change is known before requests must no longer reach an endpoint that
# is leaving, 3 s after the list shows it.
MAX_READING_INTERVAL_S = 2.0
# Calls to the platform have a price. A list read whole from another region takes about
# as many pages per second.
PAGES_PER_S = 12.0
# A list of so many pages is read whole, however few failure domains there are.
FEW_PAGES = 4
# Number of endpoints per page that is assumed before the first reading.
ASSUMED_PAGE_LENGTH = 50
# Number of failed readings by failure domain after which the list is read whole once.
MAX_FAILED_READINGS = 3
# Part of the platform's call rate that readings by failure domain may use. During a
# change of leadership two leaders may read.
MAX_RATE_FRACTION = 0.5
# Fraction of endpoints of other failure domains above which the platform is taken to
# return the whole list for each failure domain.
MAX_FOREIGN_FRACTION = 0.5

Records = tuple[messages.EndpointRecord, ...]


class ListReading(typing.NamedTuple):
    """Endpoints of a list in its order, and the number of pages they were read from."""

    records: Records
    page_count: int


ReadingOutcome = result.Result[ListReading, str]


class EndpointSource(typing.Protocol):
    """Source of the platform's list of endpoints."""

    @property
    def failure_domains(self) -> tuple[ids.FailureDomainId, ...]:
        """All failure domains whose endpoints the source returns."""

    @property
    def max_calls_per_s(self) -> float:
        """Rate of page reads that the platform accepts from all instances together."""

    async def read(
        self, failure_domain: ids.FailureDomainId | None = None
    ) -> ReadingOutcome:
        """Return the endpoints of one or all failure domains, or why it failed."""


class EndpointReader:
    """Reads the whole list of endpoints, in the way that its length calls for."""

    def __init__(self, source: EndpointSource) -> None:
        self._source = source
        self._has_read = False
        self._reads_by_domain = False
        self._is_filter_ignored = False
        self._failure_count = 0
        self._next_at = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether it is time for the next reading."""
        return now >= self._next_at

    def end_leadership(self) -> None:
        """Make the next reading due at once, and forget the length of the list."""
        self._has_read = False
        self._next_at = float("-inf")

    async def read(self, known_count: int, now: float) -> result.Result[Records, str]:
        """Return all endpoints, or why the list cannot be read.

        ``known_count`` is the number of endpoints known from an earlier leader. The
        reading fails if that of one failure domain does, and the next one is due as
        early as for a short list.
        """
        self._next_at = now + READING_INTERVAL_S
        if not self._has_read:
            self._choose_way(-(-known_count // ASSUMED_PAGE_LENGTH), False)
        if not self._reads_by_domain:
            outcome = await self._source.read()
            if isinstance(outcome, result.Err):
                return outcome
            records, page_count = outcome.ok_value
            self._choose_way(page_count, False)
            return result.Ok(records)
        outcomes_by_domain = await self._read_domains()
        failures = [
            f"{domain}: {outcome.err_value}"
            for domain, outcome in outcomes_by_domain.items()
            if isinstance(outcome, result.Err)
        ]
        if failures:
            self._failure_count += 1
            if self._failure_count >= MAX_FAILED_READINGS:
                self._reads_by_domain, self._failure_count = False, 0
            return result.Err("; ".join(failures))
        self._failure_count = 0
        readings_by_domain = {
            domain: outcome.unwrap() for domain, outcome in outcomes_by_domain.items()
        }
        page_count = sum(r.page_count for r in readings_by_domain.values())
        self._next_at = now + interval_s(page_count)
        if is_filter_ignored(readings_by_domain):
            self._is_filter_ignored = True
            events.event("list.filter-ignored", pages=page_count)
        self._choose_way(page_count, True)
        return result.Ok(merge(r.records for r in readings_by_domain.values()))

    async def _read_domains(self) -> dict[ids.FailureDomainId, ReadingOutcome]:
        """Read all failure domains beside each other; cancelling ends all readings."""
        async with asyncio.TaskGroup() as group:
            tasks_by_domain = {
                domain: group.create_task(self._source.read(domain))
                for domain in self._source.failure_domains
            }
        return {domain: task.result() for domain, task in tasks_by_domain.items()}

    def _choose_way(self, page_count: int, was_by_domain: bool) -> None:
        self._has_read = True
        self._reads_by_domain = not self._is_filter_ignored and reads_by_domain(
            page_count,
            was_by_domain,
            len(self._source.failure_domains),
            self._source.max_calls_per_s,
        )


def reads_by_domain(
    page_count: int, was_by_domain: bool, domain_count: int, max_calls_per_s: float
) -> bool:
    """Return whether to read by failure domain after a reading of so many pages.

    A reading by failure domain has at least the pages of the whole list, and at most
    one for each failure domain more. Hence both ways of reading the same list lead to
    the same decision, except near the call rate, where one whole reading is kept to.
    """
    if domain_count < 2 or page_count <= max(domain_count, FEW_PAGES):
        return False
    expected_count = page_count if was_by_domain else page_count + domain_count
    return expected_count <= MAX_RATE_FRACTION * max_calls_per_s


def interval_s(page_count: int) -> float:
    """Return the time between the starts of readings by failure domain."""
    return min(
        max(page_count / PAGES_PER_S, READING_INTERVAL_S), MAX_READING_INTERVAL_S
    )


def is_filter_ignored(
    readings_by_domain: Mapping[ids.FailureDomainId, ListReading],
) -> bool:
    """Return whether most endpoints are of another failure domain than asked for."""
    total_count = sum(len(r.records) for r in readings_by_domain.values())
    foreign_count = sum(
        record.failure_domain != domain
        for domain, reading in readings_by_domain.items()
        for record in reading.records
    )
    return foreign_count > MAX_FOREIGN_FRACTION * total_count


def merge(lists: Iterable[Records]) -> Records:
    """Return the endpoints of several lists; of the same id, the one started last.

    An endpoint that starts again in another failure domain may be in both lists.
    """
    merged_by_id: dict[str, messages.EndpointRecord] = {}
    for records in lists:
        for record in records:
            known = merged_by_id.get(record.endpoint_id)
            if known is None or record.incarnation > known.incarnation:
                merged_by_id[record.endpoint_id] = record
    return tuple(merged_by_id.values())
