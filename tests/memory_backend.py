"""A catalogue backend of a single process without a log."""

from __future__ import annotations

import time
from collections.abc import Callable

import result

from yuccapitch.catalogue import api, changes, ids, state as catalogue_state
from yuccapitch.control import operator_api


class MemoryBackend:
    """Applies changes to the state directly."""

    def __init__(
        self,
        state: catalogue_state.CatalogueState,
        now: Callable[[], float] = time.time,
    ) -> None:
        self._state = state
        self._now = now
        self.leader: str | None = None
        """Address of another instance that leads; None where this one does."""
        self.lost_responses = 0
        """How many changes are applied with their answers lost."""
        self.lagging: tuple[ids.InstanceId, ...] = ()

    @property
    def state(self) -> catalogue_state.CatalogueState:
        """Return the state."""
        return self._state

    async def submit(self, change: changes.Change) -> result.Result[
        changes.Accepted | changes.Conflict | changes.Refused,
        operator_api.NotLeader | operator_api.Unavailable,
    ]:
        """Apply the change at once."""
        if self.leader is not None:
            return result.Err(operator_api.NotLeader(self.leader))
        admitted = self._state.admit(change)
        if isinstance(admitted, result.Err):
            return result.Ok(admitted.err_value)
        command = self._state.build_command(change, int(self._now() * 1000))
        outcome = self._state.apply(self._state.applied_index + 1, command)
        if self.lost_responses:
            self.lost_responses -= 1
            return result.Err(operator_api.Unavailable("answer lost", True))
        return result.Ok(outcome)

    async def read_barrier(
        self,
    ) -> result.Result[None, operator_api.NotLeader | operator_api.Unavailable]:
        """Return at once."""
        if self.leader is not None:
            return result.Err(operator_api.NotLeader(self.leader))
        return result.Ok(None)

    def in_force(self, version: ids.Version) -> api.InForceBody:
        """Return what `lagging` says."""
        return api.InForceBody(
            version=version, everywhere=not self.lagging, lagging=self.lagging
        )

    def status(self) -> api.StatusBody:
        """Return a status of one member."""
        instance = ids.InstanceId("follower" if self.leader else "leader")
        leader = ids.InstanceId("leader")
        return api.StatusBody(
            instance_id=instance,
            consensus_role=instance,
            leader=leader,
            term=1,
            version=self._state.version,
            digest=self._state.digest,
            members=(api.MemberStatus(instance_id=leader, address=self.leader or ""),),
        )
