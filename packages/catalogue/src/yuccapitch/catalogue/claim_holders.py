"""Lists of the entry instances that hold claims of idempotency keys.

Each home region has one list in force. A list that was replaced is retained while a key
created under it may still be accepted.
"""

from __future__ import annotations

import pydantic

from yuccapitch.catalogue import ids, model

KEY_LIFETIME_MS = 600_000
"""How long an idempotency key is accepted after its creation."""
REPLACED_LIST_RETENTION_MS = 2 * KEY_LIFETIME_MS
"""How long a replaced list is retained: the key lifetime plus an equal margin."""


class Holder(pydantic.BaseModel):
    """An entry instance and the address at which its peers connect to it."""

    model_config = pydantic.ConfigDict(frozen=True)

    instance_id: ids.InstanceId
    failure_domain: ids.FailureDomainId
    host: str
    inner_port: int


class HolderList(pydantic.BaseModel):
    """The entry instances of a region, valid from one version on."""

    model_config = pydantic.ConfigDict(frozen=True)

    region: ids.RegionId
    version: ids.Version
    since_ms: int
    replaced_ms: int | None = None
    """State time at which a later list replaced it; None while it is in force."""
    holders: tuple[Holder, ...]


def update_holder_lists(
    lists: tuple[HolderList, ...],
    declaration: model.Declaration,
    version: ids.Version,
    time_ms: int,
) -> tuple[HolderList, ...]:
    """Return the lists after the declaration has been accepted as the version."""
    holders_by_region = _holders_by_region(declaration)
    updated = []
    for holder_list in lists:
        if holder_list.replaced_ms is None:
            if holders_by_region.get(holder_list.region) == holder_list.holders:
                del holders_by_region[holder_list.region]
            else:
                holder_list = holder_list.model_copy(update={"replaced_ms": time_ms})
        if holder_list.replaced_ms is None or (
            time_ms - holder_list.replaced_ms <= REPLACED_LIST_RETENTION_MS
        ):
            updated.append(holder_list)
    updated.extend(
        HolderList(region=region, version=version, since_ms=time_ms, holders=holders)
        for region, holders in holders_by_region.items()
    )
    return tuple(updated)


def _holders_by_region(
    declaration: model.Declaration,
) -> dict[ids.RegionId, tuple[Holder, ...]]:
    holders_by_region: dict[ids.RegionId, tuple[Holder, ...]] = {
        region: () for region in sorted(declaration.regions_by_id)
    }
    for instance_id, instance in sorted(declaration.instances_by_id.items()):
        if model.Role.ENTRY not in instance.roles:
            continue
        domain = declaration.failure_domains_by_id[instance.failure_domain]
        holders_by_region[domain.region] += (
            Holder(
                instance_id=instance_id,
                failure_domain=instance.failure_domain,
                host=instance.host,
                inner_port=instance.inner_port,
            ),
        )
    return holders_by_region
