"""What endpoints have told this instance about themselves in their responses."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import model

# Longest pause that is kept to. A longer one is more likely a faulty value, which would
# take an endpoint out of use until it restarts.
MAX_PAUSE_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Pause:
    endpoint: model.Endpoint
    ends_at: float


class EndpointNotices:
    """Endpoints that have announced their leaving or asked this instance for a pause.

    A leaving endpoint is used again only once the platform lists it with a later
    incarnation, because a process that has begun to stop does not change its mind. A
    pause concerns this instance alone and ends by time.
    """

    def __init__(self) -> None:
        """Create a record without notices."""
        self._leaving_incarnations_by_id: dict[ids.EndpointId, int] = {}
        self._pauses_by_id: dict[ids.EndpointId, _Pause] = {}
        self.leaving_version = 0
        """Counts the announcements, for those who keep what follows from them."""

    def update(self, endpoints: Iterable[model.Endpoint]) -> None:
        """Forget the pauses of endpoints that the list names as restarted."""
        if not self._pauses_by_id:
            return
        for endpoint in endpoints:
            pause = self._pauses_by_id.get(endpoint.endpoint_id)
            if pause is not None and pause.endpoint.incarnation != endpoint.incarnation:
                del self._pauses_by_id[endpoint.endpoint_id]

    def record_leaving(self, endpoint: model.Endpoint) -> bool:
        """Record that an endpoint is leaving; return whether this is news."""
        if self.is_leaving(endpoint):
            return False
        # A lower incarnation than the one that was announced is leaving already.
        self._leaving_incarnations_by_id[endpoint.endpoint_id] = endpoint.incarnation
        self.leaving_version += 1
        return True

    def record_pause(
        self, endpoint: model.Endpoint, duration_s: float, now: float
    ) -> bool:
        """Record that an endpoint wants no requests for ``duration_s``.

        A pause never shortens an earlier one. Return whether the end moved.
        """
        pause = _Pause(endpoint, now + min(MAX_PAUSE_S, duration_s))
        known = self._pauses_by_id.get(endpoint.endpoint_id)
        if known is not None and known.ends_at >= pause.ends_at:
            return False
        self._pauses_by_id[endpoint.endpoint_id] = pause
        return pause.ends_at > now

    def is_leaving(self, endpoint: model.Endpoint) -> bool:
        """Return whether an endpoint has announced that it is leaving."""
        announced = self._leaving_incarnations_by_id.get(endpoint.endpoint_id)
        return announced is not None and announced >= endpoint.incarnation

    def may_send(self, endpoint: model.Endpoint, now: float) -> bool:
        """Return whether this instance may send a request to an endpoint now."""
        pause = self._pauses_by_id.get(endpoint.endpoint_id)
        is_paused = pause is not None and now < pause.ends_at
        return not is_paused and not self.is_leaving(endpoint)

    def paused_ids(
        self, service_id: ids.ServiceId, now: float
    ) -> frozenset[ids.EndpointId]:
        """Return the endpoints of a service that get no requests of this instance."""
        return frozenset(p.endpoint.endpoint_id for p in self._pauses(service_id, now))

    def first_pause_ends_in_s(
        self, service_id: ids.ServiceId, now: float
    ) -> float | None:
        """Return the time until the first paused endpoint of a service may be used."""
        ends = [pause.ends_at - now for pause in self._pauses(service_id, now)]
        return min(ends, default=None)

    def _pauses(self, service_id: ids.ServiceId, now: float) -> list[_Pause]:
        for endpoint_id, pause in list(self._pauses_by_id.items()):
            if now >= pause.ends_at:
                del self._pauses_by_id[endpoint_id]
        pauses = self._pauses_by_id.values()
        return [p for p in pauses if p.endpoint.service_id == service_id]
