"""Adds and removes members, one membership entry at a time."""

from __future__ import annotations

import asyncio
import contextlib
import typing
from collections.abc import Callable

import result

from yuccapitch.consensus import core as consensus_core, leader, membership

RETRY_INTERVAL_S = 0.1

# Errors that may clear while this replica remains leader, so the change is retried.
_RETRYABLE_ERRORS = (
    leader.ChangeError.TERM_NOT_COMMITTED,
    leader.ChangeError.CHANGE_PENDING,
    leader.ChangeError.NOT_CAUGHT_UP,
)

_MembershipChange = Callable[[membership.Membership], membership.Membership | None]


class ReplicaHandle(typing.Protocol):
    """The part of the replica that membership changes need."""

    @property
    def core(self) -> consensus_core.Core:
        """The core, for read access."""

    def change_members(
        self, members: membership.Membership
    ) -> result.Result[int, leader.ChangeError]:
        """Append one membership entry to the log."""


class MembershipChanger:
    """Runs membership changes on the leader until they are committed."""

    def __init__(self, replica: ReplicaHandle) -> None:
        """Initialize with the replica whose group changes."""
        self._replica = replica
        self._tasks_by_identity: dict[str, asyncio.Task[object]] = {}

    def add_in_background(self, instance_id: str, identity: str) -> None:
        """Start to add the identity unless a task for it is already running."""
        if identity not in self._tasks_by_identity:
            task = asyncio.create_task(self.add(instance_id, identity))
            self._tasks_by_identity[identity] = task
            task.add_done_callback(lambda _: self._tasks_by_identity.pop(identity))

    async def add(
        self, instance_id: str, identity: str
    ) -> result.Result[None, leader.ChangeError]:
        """Add the identity as a learner, then promote it to a voter.

        The learner replaces any earlier identity of the same instance.
        """

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

    async def remove(self, instance_id: str) -> result.Result[None, leader.ChangeError]:
        """Remove the instance from the group."""
        return await self._change(lambda members: members.without(instance_id))

    async def aclose(self) -> None:
        """Cancel the changes in progress."""
        for task in list(self._tasks_by_identity.values()):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _change(
        self, change: _MembershipChange
    ) -> result.Result[None, leader.ChangeError]:
        """Retry until the change is committed or this replica stops leading."""
        term = self._replica.core.term
        was_appended = False
        while True:
            own_core = self._replica.core
            if own_core.term != term:
                return result.Err(leader.ChangeError.NOT_LEADER)
            new_members = change(own_core.members)
            if new_members is None:
                return result.Err(leader.ChangeError.SUPERSEDED)
            is_committed = own_core.log.membership_index <= own_core.commit_index
            if new_members == own_core.members and is_committed:
                return result.Ok(None)
            # A later change has undone this one since it was appended.
            if was_appended and new_members != own_core.members:
                return result.Err(leader.ChangeError.SUPERSEDED)
            outcome = self._replica.change_members(new_members)
            if isinstance(outcome, result.Err):
                if outcome.err_value not in _RETRYABLE_ERRORS:
                    return outcome
            else:
                was_appended = True
            await asyncio.sleep(RETRY_INTERVAL_S)
