"""What a request asks of the shared limits, and what it is given."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Sequence

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import limiters, shifts

CHUNK_BYTES = 64 * 1024
SMALL_CHUNK_BYTES = 8 * 1024
"""What is taken of a link's share on admission, and where a chunk does not fit."""
PACING_RETRY_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True)
class RequestAttributes:
    """A request that asks for admission."""

    service: ids.ServiceId
    home_region: ids.RegionId
    patience: model.Patience
    body_bytes: int
    """Announced length of the body; 0 if there is none or it is not announced."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request may not be served now; it took nothing."""

    retry_after_s: float
    code: str
    message: str


class Admitted:
    """Leave to serve a request in a region until it is released."""

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
        """Owner whose endpoints alone may take the request, if any."""
        self.pacer = pacer
        """Paces the body between regions; None inside a region."""
        self._acquired = list(acquired)

    def release(self) -> None:
        """Give back what the request took; a second call has no effect."""
        while self._acquired:
            limiter, admitted = self._acquired.pop()
            limiter.release(admitted)


class Pacer:
    """Holds back bytes of one body until the share of its link has room."""

    def __init__(
        self, acquire_bytes: Callable[[int, bool], int], prepaid_bytes: int
    ) -> None:
        self._acquire_bytes = acquire_bytes
        self._prepaid_bytes = prepaid_bytes

    async def wait(self, count: int) -> None:
        """Return once so many more bytes may be sent."""
        prepaid = min(count, self._prepaid_bytes)
        self._prepaid_bytes -= prepaid
        left = count - prepaid
        is_repeated = False
        while left > 0:
            acquired = self._acquire_bytes(min(left, CHUNK_BYTES), is_repeated)
            left -= acquired
            is_repeated = acquired == 0
            if is_repeated:
                await asyncio.sleep(PACING_RETRY_INTERVAL_S)
