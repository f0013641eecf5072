"""The state of a request in an instance and the results of its attempts."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from aiohttp import web

from yuccapitch.catalogue import ids
from yuccapitch.gateway import (
    config_view,
    exchange,
    outcomes,
    request_body,
    request_parsing,
)
from yuccapitch.steering import owners, retry


@dataclasses.dataclass
class RequestContext:
    """An admitted request with the data that its attempts need."""

    request: web.Request
    parsed: request_parsing.ParsedRequest
    view: config_view.ConfigView
    body: request_body.RequestBody
    region: ids.RegionId
    """The region that serves the request."""
    endpoint_owner: ids.OwnerId | None
    tried_pools: set[owners.Pool] = dataclasses.field(default_factory=set)
    """Pools that granted no slot to the request or whose endpoint shed it."""
    has_response: bool = False
    """Whether an endpoint responded, even if the response body is incomplete."""
    on_response: Callable[[exchange.ReceivedResponse], None] = lambda received: None
    """Called with a response before any of it is sent to the client."""

    def allows_endpoint(self, endpoint_id: ids.EndpointId) -> bool:
        """Whether the request may be sent to the endpoint."""
        if self.endpoint_owner is None:
            return True
        endpoint = self.view.declaration.endpoints_by_id.get(endpoint_id)
        return endpoint is not None and endpoint.owner == self.endpoint_owner


@dataclasses.dataclass(frozen=True)
class Delivered:
    """An attempt whose response was relayed to the client."""

    response: web.StreamResponse


@dataclasses.dataclass(frozen=True)
class Failed:
    """An attempt without a usable response."""

    failure: outcomes.Failure
    end: retry.AttemptEnd | None
    """How the attempt ended; None if a retry would be useless."""


AttemptResult = Delivered | Failed
