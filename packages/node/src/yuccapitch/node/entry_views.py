"""State and load of the entry instances, as input of lookup decisions."""

from __future__ import annotations

from yuccapitch.catalogue import ids, model
from yuccapitch.control import lease_client
from yuccapitch.gateway import config_view, pool_load_exchange
from yuccapitch.steering import entry_choice


def build_entry_views(
    view: config_view.ConfigView,
    configuration: lease_client.Configuration,
    service: ids.ServiceId,
    load_exchange: pool_load_exchange.PoolLoadExchange,
    now: float,
) -> list[entry_choice.EntryView]:
    """Return every declared entry instance with its state and load."""
    drained = {
        drain.target
        for drain in view.declaration.drains_by_id.values()
        if drain.kind is model.DrainKind.INSTANCE
    }
    loads_by_owner = load_exchange.loads_by_owner(service, now)
    views = []
    for instance_id, instance in view.declaration.instances_by_id.items():
        if model.Role.ENTRY not in instance.roles:
            continue
        load = loads_by_owner.get(instance_id, pool_load_exchange.NO_LOAD)
        state = _state(configuration, instance_id, instance_id in drained)
        views.append(
            entry_choice.EntryView(
                instance_id,
                view.region_of_domain(instance.failure_domain),
                instance.failure_domain,
                state,
                load.slots,
                load.used_fraction,
                load.counted_at,
            )
        )
    return views


def _state(
    configuration: lease_client.Configuration,
    instance_id: ids.InstanceId,
    is_drained: bool,
) -> entry_choice.EntryState:
    live = configuration.live_by_id.get(instance_id)
    if live is None:
        return entry_choice.EntryState.DEAD
    if live.is_stopping or is_drained:
        return entry_choice.EntryState.STOPPING
    if not live.is_ready:
        return entry_choice.EntryState.UNLEASED
    return entry_choice.EntryState.SERVING
