"""Admission of requests under the shared limits."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Sequence

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import limiters, shifts

CHUNK_BYTES = 64 * 1024
SMALL_CHUNK_BYTES = 8 * 1024
"""Bytes acquired from a link's share on admission, or if a full chunk does not fit."""
PACING_RETRY_INTERVAL_S = 0.02
"""Time between attempts to acquire bytes while the share of the link is used up."""


@dataclasses.dataclass(frozen=True)
class RequestAttributes:
    """Attributes of a request that determine its admission."""

    service: ids.ServiceId
    home_region: ids.RegionId
    patience: model.Patience
    body_bytes: int
    """Announced length of the body; 0 without a body or an announced length."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """A refused request, which holds no units and may be retried later."""

    retry_after_s: float
    code: str
    message: str


class Admitted:
    """Permission to serve a request in a region until it is released."""

    def __init__(
        self,
        region: ids.RegionId,
        route: shifts.UseShift | None,
        acquired: Sequence[tuple[limiters.Limiter, limiters.Admitted]],
        pacer: Pacer | None,
    ) -> None:
        self.region = region
        self.shift_id = None if route is None else route.shift_id
        self.endpoint_owner = None if route is None else route.endpoint_owner
        """The only owner whose endpoints may serve the request; None for any owner."""
        self.pacer = pacer
        """Paces the body between regions; None inside a region."""
        self._acquired = list(acquired)

    def release(self) -> None:
        """Return the acquired units to their limiters; a second call has no effect."""
        while self._acquired:
            limiter, admitted = self._acquired.pop()
            limiter.release(admitted)


class Pacer:
    """Delays the bytes of one body until the share of its link has capacity."""

    def __init__(
        self, acquire_bytes: Callable[[int, bool], int], prepaid_bytes: int
    ) -> None:
        self._acquire_bytes = acquire_bytes
        """Returns how many of the requested bytes may be sent now.

        The flag says that the previous call for the same bytes returned 0.
        """
        self._prepaid_bytes = prepaid_bytes
        """Bytes that were acquired from the share when the request was admitted."""

    async def wait(self, count: int) -> None:
        """Wait until `count` more bytes may be sent."""
        prepaid = min(count, self._prepaid_bytes)
        self._prepaid_bytes -= prepaid
        remaining = count - prepaid
        is_repeated = False
        while remaining > 0:
            acquired = self._acquire_bytes(min(remaining, CHUNK_BYTES), is_repeated)
            remaining -= acquired
            is_repeated = acquired == 0
            if is_repeated:
                await asyncio.sleep(PACING_RETRY_INTERVAL_S)
