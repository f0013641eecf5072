"""Admits and removes instances, one membership entry at a time."""

from __future__ import annotations

import asyncio
import contextlib
import typing
from collections.abc import Callable

import result

from yuccapitch.consensus import core as consensus_core, leadership, membership

RETRY_INTERVAL_S = 0.1

# What a later try may overcome while this replica still leads.
_TRANSIENT = (
    leadership.ChangeError.TERM_NOT_COMMITTED,
    leadership.ChangeError.CHANGE_PENDING,
    leadership.ChangeError.NOT_CAUGHT_UP,
)

_Change = Callable[[membership.Membership], membership.Membership | None]


class Group(typing.Protocol):
    """What admission needs of the replica."""

    @property
    def core(self) -> consensus_core.Core:
        """The core, for reading."""

    def change_members(
        self, members: membership.Membership
    ) -> result.Result[int, leadership.ChangeError]:
        """Append one membership entry."""


class Admission:
    """Runs the membership changes that this replica was asked for while it leads."""

    def __init__(self, group: Group) -> None:
        """Work on behalf of this replica."""
        self._group = group
        self._tasks_by_identity: dict[str, asyncio.Task[object]] = {}

    def request(self, instance_id: str, identity: str) -> None:
        """Start to admit an identity that asked for it, unless one is on its way."""
        if identity not in self._tasks_by_identity:
            task = asyncio.create_task(self.add(instance_id, identity))
            self._tasks_by_identity[identity] = task
            task.add_done_callback(lambda _: self._tasks_by_identity.pop(identity))

    async def add(
        self, instance_id: str, identity: str
    ) -> result.Result[None, leadership.ChangeError]:
        """Make the identity a learner in place of any old one, then a voter."""

        def as_learner(members: membership.Membership) -> membership.Membership:
            if members.find(identity):
                return members
            return members.with_learner(instance_id, identity)

        def as_voter(members: membership.Membership) -> membership.Membership | None:
            return members.with_voter(identity) if members.find(identity) else None

        outcome = await self._change(as_learner)
        if outcome.is_err():
            return outcome
        return await self._change(as_voter)

    async def remove(
        self, instance_id: str
    ) -> result.Result[None, leadership.ChangeError]:
        """Remove the instance."""
        return await self._change(lambda members: members.without(instance_id))

    async def aclose(self) -> None:
        """Cancel the changes on their way."""
        for task in list(self._tasks_by_identity.values()):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _change(
        self, change: _Change
    ) -> result.Result[None, leadership.ChangeError]:
        """Try until the change is committed or this replica no longer leads."""
        term = self._group.core.term
        was_appended = False
        while True:
            own_core = self._group.core
            if own_core.term != term:
                return result.Err(leadership.ChangeError.NOT_LEADER)
            wanted = change(own_core.members)
            if wanted is None:
                return result.Err(leadership.ChangeError.SUPERSEDED)
            is_settled = own_core.log.membership_index <= own_core.commit_index
            if wanted == own_core.members and is_settled:
                return result.Ok(None)
            if was_appended and wanted != own_core.members:
                return result.Err(leadership.ChangeError.SUPERSEDED)
            outcome = self._group.change_members(wanted)
            if isinstance(outcome, result.Err):
                if outcome.err_value not in _TRANSIENT:
                    return outcome
            else:
                was_appended = True
            await asyncio.sleep(RETRY_INTERVAL_S)
