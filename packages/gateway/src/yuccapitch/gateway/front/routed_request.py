"""A client's request on its way through an entry instance."""

from __future__ import annotations

import dataclasses

from yuccapitch.catalogue import ids, routes
from yuccapitch.gateway.http1 import messages


@dataclasses.dataclass(slots=True)
class RoutedRequest:
    """Request in progress whose route is known."""

    request: messages.Request
    request_id: str
    route: routes.Route
    service_id: ids.ServiceId
    objective_at: float
    deadline_at: float
    excluded_endpoint_ids: frozenset[ids.EndpointId] = frozenset()
    sends: int = 0
    unreachable_count: int = 0
    may_have_executed: bool = False
    fallback_response: messages.Response | None = None
    """An endpoint's failure response, returned if no retry gets a better one."""
