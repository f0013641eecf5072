"""An in-memory catalogue backend for tests."""

from __future__ import annotations

import time
from collections.abc import Callable

import result

from yuccapitch.catalogue import api, changes, ids, state as catalogue_state
from yuccapitch.control import operator_api


class MemoryBackend:
    """A backend that applies changes to the state without a replicated log."""

    def __init__(
        self,
        state: catalogue_state.CatalogueState,
        now: Callable[[], float] = time.time,
    ) -> None:
        self._state = state
        self._now = now
        self.leader: str | None = None
        """Address of the leader; None if this instance leads."""
        self.lost_responses = 0
        """Number of changes to apply whose responses are then lost."""
        self.lagging: tuple[ids.InstanceId, ...] = ()

    @property
    def state(self) -> catalogue_state.CatalogueState:
        """The catalogue state."""
        return self._state

    async def submit(self, change: changes.Change) -> result.Result[
        changes.Accepted | changes.Conflict | changes.Refused,
        operator_api.NotLeader | operator_api.Unavailable,
    ]:
        """Apply the change immediately."""
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
        """Return immediately, as there is no other replica."""
        if self.leader is not None:
            return result.Err(operator_api.NotLeader(self.leader))
        return result.Ok(None)

    def in_force(self, version: ids.Version) -> api.InForceBody:
        """Report the version as in force everywhere unless `lagging` has instances."""
        return api.InForceBody(
            version=version, everywhere=not self.lagging, lagging=self.lagging
        )

    def status(self) -> api.StatusBody:
        """Return the status of a group with one member."""
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
