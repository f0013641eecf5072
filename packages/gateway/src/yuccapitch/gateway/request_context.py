"""A request on its way through an instance, and how its way may end."""

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
    """A request that was admitted, with what its attempts need."""

    request: web.Request
    parsed: request_parsing.ParsedRequest
    view: config_view.ConfigView
    body: request_body.RequestBody
    region: ids.RegionId
    """The region that serves it."""
    endpoint_owner: ids.OwnerId | None
    tried_pools: set[owners.Pool] = dataclasses.field(default_factory=set)
    """Pools that gave no slot to the request, or whose endpoint shed it."""
    has_response: bool = False
    """Whether an endpoint answered it, be it before its body was whole."""
    on_response: Callable[[exchange.ReceivedResponse], None] = lambda answer: None
    """Called with an answer before the caller gets any of it."""

    def allows_endpoint(self, endpoint_id: ids.EndpointId) -> bool:
        """Whether the request may go to the endpoint."""
        if self.endpoint_owner is None:
            return True
        endpoint = self.view.declaration.endpoints_by_id.get(endpoint_id)
        return endpoint is not None and endpoint.owner == self.endpoint_owner


@dataclasses.dataclass(frozen=True)
class Delivered:
    """The caller got an endpoint's answer."""

    response: web.StreamResponse


@dataclasses.dataclass(frozen=True)
class Failed:
    """An attempt without an answer, and whether another may be made."""

    failure: outcomes.Failure
    end: retry.AttemptEnd | None
    """None if another attempt has no use."""


AttemptResult = Delivered | Failed
