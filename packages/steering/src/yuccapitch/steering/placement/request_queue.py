"""Queue of the requests that wait for a slot of one service, most urgent first."""

from __future__ import annotations

import bisect
import dataclasses
import enum
from collections.abc import Iterable

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import model


class RegionScope(enum.Enum):
    """Regions whose endpoints may serve a queued request."""

    LOCAL_REGION = "local region"
    REMOTE_REGIONS = "remote regions"
    ANY = "any"


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A request that waits for a slot."""

    request: model.PlacementRequest
    is_late: bool
    """Whether the latency objective can no longer be met."""
    duration_s: float
    """Expected duration."""
    latest_start_at: float
    """Time after which the request is no longer worth starting."""
    accepts_cold_at: float
    """Time from which an endpoint that does not cache the object is accepted."""
    region_scope: RegionScope

    @property
    def order(self) -> tuple[bool, int]:
        """Sort key: requests that can meet their objective first, then by rank."""
        return self.is_late, self.request.rank


class RequestQueue:
    """Requests ordered by urgency, then by arrival."""

    def __init__(self) -> None:
        self._items: list[QueuedRequest] = []
        # Summed up as requests come and go: a new one is refused by its expected wait,
        # and hundreds wait in front of it under overload.
        self._work_by_order: dict[tuple[bool, int], _Work] = {}

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._items)

    def attempt_ids(self) -> set[model.AttemptId]:
        """Return the ids of the queued requests."""
        return {item.request.attempt_id for item in self._items}

    def add(self, item: QueuedRequest) -> None:
        """Insert a request after those of the same urgency."""
        index = bisect.bisect_right(self._items, item.order, key=_order)
        self._items.insert(index, item)
        work = self._work_by_order.setdefault(item.order, _Work())
        work.count += 1
        work.duration_s += item.duration_s

    def first(self, count: int) -> list[QueuedRequest]:
        """Return up to ``count`` of the most urgent requests."""
        return self._items[:count]

    def expired(self, now: float) -> list[QueuedRequest]:
        """Return the requests whose latest start time has passed."""
        return [item for item in self._items if now > item.latest_start_at]

    def expected_wait_s(
        self, rank: int, is_late: bool, slots: float, duration_s: float
    ) -> float:
        """Return the expected wait of a new request while all slots are in use."""
        work_s = sum(
            work.duration_s
            for order, work in self._work_by_order.items()
            if order <= (is_late, rank)
        )
        # With all slots in use, one becomes free after about ``duration_s / slots``.
        return (work_s + duration_s) / slots

    def remove(self, attempt_id: model.AttemptId) -> bool:
        """Remove a request and return whether it was queued."""
        for index, item in enumerate(self._items):
            if item.request.attempt_id == attempt_id:
                del self._items[index]
                self._subtract(item)
                return True
        return False

    def remove_requests_of(self, entry_id: ids.InstanceId) -> None:
        """Remove all requests of an entry instance."""
        for item in self._items:
            if item.request.entry_id == entry_id:
                self._subtract(item)
        self._items = _without(self._items, entry_id)

    def _subtract(self, item: QueuedRequest) -> None:
        work = self._work_by_order[item.order]
        work.count -= 1
        # Without requests there is no work, whatever the rounding has left.
        work.duration_s = work.duration_s - item.duration_s if work.count else 0.0


@dataclasses.dataclass(slots=True)
class _Work:
    """The queued requests of one urgency."""

    count: int = 0
    duration_s: float = 0.0


def _order(item: QueuedRequest) -> tuple[bool, int]:
    return item.order


def _without(
    items: Iterable[QueuedRequest], entry_id: ids.InstanceId
) -> list[QueuedRequest]:
    return [item for item in items if item.request.entry_id != entry_id]
