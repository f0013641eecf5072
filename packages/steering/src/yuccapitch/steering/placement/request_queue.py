"""Requests that wait for a place at one service, the most urgent first."""

from __future__ import annotations

import bisect
import dataclasses
import enum
import itertools
from collections.abc import Iterable

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import model


class RegionScope(enum.Enum):
    """Which endpoints a request waits for."""

    LOCAL_REGION = "own region"
    REMOTE_REGIONS = "other regions"
    ANY = "any"


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A request that waits."""

    request: model.PlacementRequest
    is_late: bool
    """Whether its objective is missed already."""
    duration_s: float
    latest_start_at: float
    """Time after which it is no longer worth to begin."""
    accepts_cold_at: float
    """Time from which it takes an endpoint that does not know its object."""
    region_scope: RegionScope

    @property
    def order(self) -> tuple[bool, int]:
        """Urgency: what can still be in time first, then by rank."""
        return self.is_late, self.request.rank


class RequestQueue:
    """Items in order of urgency, then of arrival."""

    def __init__(self) -> None:
        self._items: list[QueuedRequest] = []

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._items)

    def add(self, item: QueuedRequest) -> None:
        """Put an item behind those of its urgency."""
        index = bisect.bisect_right(self._items, item.order, key=_order)
        self._items.insert(index, item)

    def first(self, count: int) -> list[QueuedRequest]:
        """Return the most urgent items."""
        return self._items[:count]

    def expired(self, now: float) -> list[QueuedRequest]:
        """Return the items whose time to begin has passed."""
        return [item for item in self._items if now > item.latest_start_at]

    def expected_wait_s(
        self, rank: int, is_late: bool, slots: int, duration_s: float
    ) -> float:
        """Return the wait of a new item, if all slots are in use."""
        ahead = itertools.takewhile(
            lambda item: item.order <= (is_late, rank), self._items
        )
        work_s = sum(item.duration_s for item in ahead)
        # The first slot comes free within a part of a duration.
        return (work_s + duration_s) / slots

    def remove(self, attempt_id: model.AttemptId) -> bool:
        """Remove an item; false if there is none."""
        for index, item in enumerate(self._items):
            if item.request.attempt_id == attempt_id:
                del self._items[index]
                return True
        return False

    def remove_requests_of(self, entry_id: ids.InstanceId) -> None:
        """Remove the items of an entry instance."""
        self._items = _without(self._items, entry_id)


def _order(item: QueuedRequest) -> tuple[bool, int]:
    return item.order


def _without(
    items: Iterable[QueuedRequest], entry_id: ids.InstanceId
) -> list[QueuedRequest]:
    return [item for item in items if item.request.entry_id != entry_id]
