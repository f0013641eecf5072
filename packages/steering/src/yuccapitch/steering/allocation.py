"""Which region's requests each endpoint takes, by the demand of the regions.

An endpoint is used by one region at a time, so that its slots need no agreement
between regions for each request.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from yuccapitch.protocol import subscription_messages as messages


def assign(
    records: Iterable[messages.EndpointRecord],
    former_by_id: Mapping[str, messages.EndpointRecord],
    demands: Mapping[tuple[str, str], float],
) -> tuple[messages.EndpointRecord, ...]:
    """Return the records with the regions that they serve."""
    kept = []
    for record in records:
        former = former_by_id.get(record.endpoint_id)
        if former is not None and former.failure_domain == record.failure_domain:
            record = dataclasses.replace(
                record, serving_region_id=former.serving_region_id
            )
        kept.append(record)
    return tuple(kept)
