"""Places that an entry instance has given back to its region's dispatcher.

Giving back is a one-way message, which is lost with the link that it is sent on. The
dispatcher would then count the place as taken until the deadline of its request.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

from yuccapitch.catalogue import ids
from yuccapitch.protocol import peers as inner_peers, place_messages as messages
from yuccapitch.steering.placement import model

# Messages sent this long before a link is lost may be lost with it: longer than the
# time without data after which either end closes the link.
LOST_WITH_LINK_S = 5.0
# Places to give back again at most. Those beyond are reclaimed by their deadlines.
MAX_ATTEMPTS = 1024


class PlaceReturns:
    """Gives back places, once more if the message may have been lost."""

    def __init__(
        self, links: inner_peers.Peers, find_dispatcher: Callable[[], str | None]
    ) -> None:
        """Create an instance; ``find_dispatcher`` returns the current dispatcher."""
        self._links = links
        self._find_dispatcher = find_dispatcher
        self._sent: collections.deque[tuple[float, model.AttemptId]]
        self._sent = collections.deque(maxlen=MAX_ATTEMPTS)
        self._unsent_ids: collections.deque[model.AttemptId]
        self._unsent_ids = collections.deque(maxlen=MAX_ATTEMPTS)

    def send(
        self,
        dispatcher_id: ids.InstanceId,
        message: messages.PlaceRelease | messages.PlaceCancel,
        now: float,
    ) -> None:
        """Give back a place, or one that the dispatcher may still grant."""
        is_sent = self._links.send(dispatcher_id, message)
        if dispatcher_id != self._find_dispatcher():
            # A former dispatcher, whose grants have no effect.
            return
        attempt_id = model.AttemptId(message.attempt_id)
        if is_sent:
            self._sent.append((now, attempt_id))
        else:
            self._unsent_ids.append(attempt_id)

    def mark_link_lost(self, now: float) -> None:
        """Give the latest places back again, as soon as there is a link."""
        self._unsent_ids.extend(
            attempt_id
            for sent_at, attempt_id in self._sent
            if now - sent_at <= LOST_WITH_LINK_S
        )
        self._sent.clear()

    def retry(self, is_in_use: Callable[[model.AttemptId], bool], now: float) -> None:
        """Give back what is unsent, except for requests that have asked again."""
        dispatcher_id = self._find_dispatcher()
        while self._unsent_ids and dispatcher_id is not None:
            attempt_id = self._unsent_ids[0]
            if not is_in_use(attempt_id):
                # Not a release: how long the place was in use is no longer known.
                cancel = messages.PlaceCancel(attempt_id)
                # Without a link, this opens one for the next retry.
                if not self._links.send(dispatcher_id, cancel):
                    return
                self._sent.append((now, attempt_id))
            self._unsent_ids.popleft()

    def clear(self) -> None:
        """Forget everything; another dispatcher knows only the places in use."""
        self._sent.clear()
        self._unsent_ids.clear()
