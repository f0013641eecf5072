"""Whether the end of a peer's side of a connection completes a response."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

from yuccapitch.gateway.http1 import peer_state
from yuccapitch.protocol import events

# Interval at which a connection is checked for the acknowledgement of what was sent,
# which the kernel doesn't report as an event.
SENT_CHECK_INTERVAL_S = 0.01
# Time in which an endpoint that gives up on a response resets the connection after it
# has ended its side.
RESET_DELAY_S = 0.02


class Decision(enum.Enum):
    """What the end of the peer's side says of a response without a length."""

    PENDING = "pending"
    COMPLETE = "complete"
    LOST = "lost"


class ResponseEnd:
    """Checks for a reset behind the end that delimits a response (RFC 9112, section 8).

    A peer that breaks off may end its side first, and reset the connection when it
    closes it over bytes that it hasn't read. The response is complete once the peer's
    kernel has acknowledged the whole request and no reset has followed for
    ``settle_s``. The deadline of the request bounds the wait.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        on_decided: Callable[[Decision], None],
        is_request_written: Callable[[], bool] = lambda: True,
    ) -> None:
        """Call ``on_decided`` once, with what isn't ``PENDING``, after ``start``.

        ``is_request_written`` tells whether the transport was given the whole request.
        """
        self._transport = transport
        self._on_decided = on_decided
        self._is_request_written = is_request_written
        self._ended_at = 0.0
        self._sent_since: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check until the decision; the transport has to stay open meanwhile."""
        self._ended_at = asyncio.get_running_loop().time()
        self._check()

    def cancel(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def decide(self, now: float) -> Decision:
        """Return what the kernel knows at ``now``, in seconds of a steady clock."""
        if self._transport.is_closing() or peer_state.is_lost(self._transport):
            return Decision.LOST
        is_written = self._is_request_written()
        if not is_written or peer_state.unacknowledged_bytes(self._transport):
            self._sent_since = None
            return Decision.PENDING
        if self._sent_since is None:
            self._sent_since = now
        if now - self._sent_since < settle_s(peer_state.round_trip(self._transport)):
            return Decision.PENDING
        return Decision.COMPLETE

    def _check(self) -> None:
        self._timer = None
        loop = asyncio.get_running_loop()
        decision = self.decide(loop.time())
        if decision is Decision.PENDING:
            self._timer = loop.call_later(SENT_CHECK_INTERVAL_S, self._check)
            return
        events.event(
            "endpoint.response-ended",
            peer=peer_state.peer_name(self._transport),
            decision=decision,
            waited_ms=round((loop.time() - self._ended_at) * 1000),
        )
        self._on_decided(decision)


def settle_s(round_trip: peer_state.RoundTrip) -> float:
    """Return for how long a reset may still arrive after the peer's end.

    It takes the same path, so that it arrives later by what the delay varies.
    """
    return RESET_DELAY_S + round_trip.one_way_variation_s
