"""Lists of entry instances by home region, with the times since when they hold."""

from __future__ import annotations

import pydantic

from yuccapitch.catalogue import ids, model

KEY_LIFETIME_MS = 600_000
"""How long a request key is honoured after it was made."""
REPLACED_LIST_RETENTION_MS = 2 * KEY_LIFETIME_MS
"""How long a replaced list is kept: the key lifetime and as much again as margin."""


class Holder(pydantic.BaseModel):
    """An entry instance and where its peers reach it."""

    model_config = pydantic.ConfigDict(frozen=True)

    instance_id: ids.InstanceId
    failure_domain: ids.FailureDomainId
    host: str
    inner_port: int


class HolderList(pydantic.BaseModel):
    """The entry instances of a region from one version on."""

    model_config = pydantic.ConfigDict(frozen=True)

    region: ids.RegionId
    version: ids.Version
    since_ms: int
    replaced_ms: int | None = None
    """State time at which a later list took its place; None while in force."""
    holders: tuple[Holder, ...]


def update_holder_lists(
    lists: tuple[HolderList, ...],
    declaration: model.Declaration,
    version: ids.Version,
    time_ms: int,
) -> tuple[HolderList, ...]:
    """Return the lists once the declaration is accepted as the version."""
    holders_by_region = _holders_by_region(declaration)
    updated = []
    for item in lists:
        if item.replaced_ms is None:
            if holders_by_region.get(item.region) == item.holders:
                del holders_by_region[item.region]
            else:
                item = item.model_copy(update={"replaced_ms": time_ms})
        if item.replaced_ms is None or (
            time_ms - item.replaced_ms <= REPLACED_LIST_RETENTION_MS
        ):
            updated.append(item)
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
