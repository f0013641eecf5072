"""Setup of the control role: replicated log, catalogue and its service."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import secrets
from collections.abc import Callable

import result

from yuccapitch.catalogue import ids, state as catalogue_state
from yuccapitch.consensus import (
    core as consensus_core,
    disk,
    replica as consensus_replica,
    state as core_state,
    storage as consensus_storage,
)
from yuccapitch.control import service
from yuccapitch.node import settings_table
from yuccapitch.protocol import (
    consensus_messages,
    events,
    peers as inner_peers,
    registry,
)

IDENTITY_BYTES = 16
LOG_FOLDER = "log"


@dataclasses.dataclass(frozen=True)
class ControlRole:
    """The running control role of one instance."""

    control: service.ControlService
    replica: consensus_replica.Replica


async def start(
    settings: settings_table.Settings,
    links: inner_peers.Peers,
    clock: Callable[[], float],
    rng: random.Random,
    stack: contextlib.AsyncExitStack,
) -> result.Result[ControlRole, consensus_storage.StorageError]:
    """Recover the log from the data folder and join the consensus group."""
    storage = disk.DiskStorage(
        settings.data_dir / LOG_FOLDER, lambda: secrets.token_hex(IDENTITY_BYTES)
    )
    recovered = storage.load()
    if isinstance(recovered, result.Err):
        storage.close()
        return recovered
    events.event(
        "log.recovered",
        entries=len(recovered.ok_value.entries),
        term=recovered.ok_value.hard_state.term,
    )
    state = catalogue_state.CatalogueState(allow_unsigned=bool(settings.allow_unsigned))
    control = service.ControlService(
        settings.instance_id,
        state,
        links,
        _HttpAddresses(state),
        settings.lease_duration_s,
        clock,
    )
    core = consensus_core.Core(
        _core_settings(settings), recovered.ok_value, rng, clock()
    )
    replica = consensus_replica.Replica(
        core,
        storage,
        lambda peer_id, message: _send(links, peer_id, message),
        service.NotifyingState(state, control.on_version),
        clock,
        on_effect=control.on_effect,
    )
    control.attach(replica)
    for message_type in _consensus_types():
        links.handle(message_type, replica.receive)
    await replica.start()
    stack.push_async_callback(replica.aclose)
    return result.Ok(ControlRole(control, replica))


class _HttpAddresses:
    """Lookup of the HTTP address of a control instance in the catalogue."""

    def __init__(self, state: catalogue_state.CatalogueState) -> None:
        self._state = state

    def __call__(self, instance_id: str) -> str | None:
        """Return the URL of an instance, or None if it is not declared."""
        if self._state.declaration is None:
            return None
        instances_by_id = self._state.declaration.instances_by_id
        instance = instances_by_id.get(ids.InstanceId(instance_id))
        if instance is None:
            return None
        return f"http://{instance.host}:{instance.http_port}"


def _core_settings(settings: settings_table.Settings) -> consensus_core.Settings:
    member_ids = [peer.instance_id for peer in settings.control_peers]
    own_id = settings.instance_id
    return consensus_core.Settings(
        instance_id=own_id,
        peer_ids=tuple(peer_id for peer_id in member_ids if peer_id != own_id),
        is_founder=not member_ids or member_ids[0] == own_id,
        timing=core_state.Timing(
            heartbeat_interval_s=settings.heartbeat_interval_s,
            min_election_timeout_s=settings.election_timeout_s,
            max_election_timeout_s=2 * settings.election_timeout_s,
        ),
    )


def _send(links: inner_peers.Peers, peer_id: str, message: object) -> None:
    # The consensus protocol tolerates lost messages, so a message is dropped when
    # there is no link to the peer.
    links.send(peer_id, message)


def _consensus_types() -> list[type]:
    module = consensus_messages.__name__
    return [cls for cls in registry.NUMBERS_BY_TYPE if cls.__module__ == module]
