"""Endpoints that may serve a request."""

from __future__ import annotations

import dataclasses

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import endpoint_state

States = list[endpoint_state.EndpointState]


@dataclasses.dataclass(frozen=True, slots=True)
class EligibleEndpoints:
    """The endpoints that may serve a request, by where they are."""

    all: States
    local: States
    """Those in the region of the dispatcher."""
    remote: States
    endpoint_ids: frozenset[ids.EndpointId]
