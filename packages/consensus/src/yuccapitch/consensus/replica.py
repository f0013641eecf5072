"""Runs one replica on an asyncio loop: performs the core's effects, in order."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import typing
from collections.abc import Callable

import result

from yuccapitch.consensus import (
    core as consensus_core,
    effects,
    leader,
    membership,
    membership_changer,
    storage as consensus_storage,
)
from yuccapitch.protocol import consensus_messages as messages

TICK_INTERVAL_S = 0.05
SNAPSHOT_INTERVAL_ENTRIES = 10_000


class StateMachine(typing.Protocol):
    """What the committed commands act on."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its outcome."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


@dataclasses.dataclass(frozen=True)
class NotLeader:
    """The command was not taken; ``leader_id`` is the instance to ask, if known."""

    leader_id: str | None


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """Leadership was lost before the outcome was known; it may still be committed."""

    leader_id: str | None


ProposeError = NotLeader | OutcomeUnknown

SendMessage = Callable[[str, messages.Message], None]


@dataclasses.dataclass
class _PendingProposal:
    term: int
    future: asyncio.Future[result.Result[object, ProposeError]]


@dataclasses.dataclass
class _PendingRead:
    future: asyncio.Future[result.Result[int, NotLeader]]
    index: int | None = None


class Replica:
    """One member of the replicated log."""

    def __init__(
        self,
        core: consensus_core.Core,
        storage: consensus_storage.Storage,
        send: SendMessage,
        state_machine: StateMachine,
        clock: Callable[[], float],
        snapshot_interval_entries: int = SNAPSHOT_INTERVAL_ENTRIES,
        on_effect: Callable[[effects.Effect], None] | None = None,
        may_join: Callable[[str], bool] | None = None,
    ) -> None:
        """Take over a core and the storage it was recovered from.

        ``admits`` tells which instances may join; by default those in the settings.
        """
        self._core = core
        self._storage = storage
        self._send = send
        self._state_machine = state_machine
        self._clock = clock
        self._snapshot_interval_entries = snapshot_interval_entries
        self._on_effect = on_effect
        self._may_join = may_join or (lambda instance_id: instance_id in core.peer_ids)
        self._applied_index = 0
        self._snapshot_index = 0
        self._proposals_by_index: dict[int, _PendingProposal] = {}
        self._pending_reads_by_token: dict[int, _PendingRead] = {}
        self._next_token = 0
        self._is_flush_scheduled = False
        self._is_closed = False
        self._membership_changer = membership_changer.MembershipChanger(self)
        self._exit_stack = contextlib.AsyncExitStack()
        self._stopped: asyncio.Future[None]

    @property
    def core(self) -> consensus_core.Core:
        """The core, for reading."""
        return self._core

    @property
    def leader_id(self) -> str | None:
        """The instance that leads, as far as known."""
        return self._core.leader_id

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads its term."""
        return self._core.role is effects.Role.LEADER

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied to the state machine."""
        return self._applied_index

    @property
    def leader_lease_expires_at(self) -> float:
        """The time, on this replica's clock, before which no other can lead."""
        return self._core.leader_lease_expires_at()

    async def start(self) -> None:
        """Restore the state machine and take part in the group."""
        self._exit_stack.callback(self._storage.close)
        self._stopped = asyncio.get_running_loop().create_future()
        self._flush()
        self._core.tick(self._clock())
        self._flush()
        self._exit_stack.push_async_callback(self._membership_changer.aclose)
        task = asyncio.create_task(self._run_ticks())
        self._exit_stack.push_async_callback(_cancel, task)

    def receive(self, peer_id: str, message: messages.Message) -> None:
        """Take in a message from an instance."""
        if not self._is_closed:
            self._core.receive(peer_id, message, self._clock())
            self._schedule_flush()

    async def propose(self, command: bytes) -> result.Result[object, ProposeError]:
        """Return what applying the command returned, once it is committed."""
        index = None if self._is_closed else self._core.propose(command)
        if index is None:
            return result.Err(NotLeader(self.leader_id))
        future: asyncio.Future[result.Result[object, ProposeError]]
        future = asyncio.get_running_loop().create_future()
        self._proposals_by_index[index] = _PendingProposal(self._core.term, future)
        self._schedule_flush()
        return await future

    async def read_barrier(self) -> result.Result[int, NotLeader]:
        """Return once everything committed before the call is applied here."""
        self._next_token += 1
        token = self._next_token
        if self._is_closed or not self._core.read_barrier(token):
            return result.Err(NotLeader(self.leader_id))
        barrier = _PendingRead(asyncio.get_running_loop().create_future())
        self._pending_reads_by_token[token] = barrier
        self._schedule_flush()
        return await barrier.future

    async def add_member(
        self, instance_id: str, identity: str
    ) -> result.Result[None, leader.ChangeError]:
        """Admit an identity: replace the instance's old one, catch up, then vote."""
        return await self._membership_changer.add(instance_id, identity)

    async def remove_member(
        self, instance_id: str
    ) -> result.Result[None, leader.ChangeError]:
        """Remove an instance from the group."""
        return await self._membership_changer.remove(instance_id)

    def change_members(
        self, members: membership.Membership
    ) -> result.Result[int, leader.ChangeError]:
        """Append one membership entry; most callers want ``add_member``."""
        outcome = self._core.change_members(members)
        self._schedule_flush()
        return outcome

    async def aclose(self) -> None:
        """Stop taking part; pending calls learn that their outcome is unknown."""
        self._flush()
        self._is_closed = True
        self._fail_pending()
        if not self._stopped.done():
            self._stopped.set_result(None)
        await self._exit_stack.aclose()

    async def wait_stopped(self) -> None:
        """Return once closed; raise what broke the replica, such as a failed sync."""
        await asyncio.shield(self._stopped)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._core.tick(self._clock())
            self._flush()

    def _schedule_flush(self) -> None:
        # Everything that arrives in one turn of the loop shares one sync.
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self._is_closed:
            return
        try:
            taken = self._core.take_effects(self._clock())
            if self._persist(taken):
                self._storage.sync()
            for effect in taken:
                self._execute(effect)
            self._take_snapshot_if_due()
        except Exception as error:
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        # What the disk holds is no longer known, so that nothing may be answered.
        self._is_closed = True
        self._fail_pending()
        if not self._stopped.done():
            self._stopped.set_exception(error)

    def _persist(self, taken: list[effects.Effect]) -> bool:
        wrote = False
        for effect in taken:
            match effect:
                case effects.PersistHardState(hard_state):
                    self._storage.write_hard_state(hard_state)
                case effects.PersistEntries(entries):
                    self._storage.write_entries(entries)
                case effects.PersistSnapshot(snapshot, keeps_suffix):
                    self._storage.write_snapshot(snapshot, keeps_suffix)
                case _:
                    continue
            wrote = True
        return wrote

    def _execute(self, effect: effects.Effect) -> None:
        match effect:
            case effects.Send(peer_id, message):
                self._send(peer_id, message)
            case effects.Apply(entries):
                for entry in entries:
                    self._apply(entry)
                self._complete_reads()
            case effects.Restore(snapshot):
                self._state_machine.restore(snapshot.data)
                self._applied_index = snapshot.last_index
                self._snapshot_index = snapshot.last_index
            case effects.BarrierReached(token, index):
                if token in self._pending_reads_by_token:
                    self._pending_reads_by_token[token].index = index
                self._complete_reads()
            case effects.RoleChanged(effects.Role.LEADER):
                self._admit_learners()
            case effects.RoleChanged():
                self._fail_pending()
            case effects.JoinRequested(instance_id, identity):
                if self._may_join(instance_id):
                    self._membership_changer.add_in_background(instance_id, identity)
        if self._on_effect and not isinstance(effect, effects.Send):
            self._on_effect(effect)

    def _admit_learners(self) -> None:
        # The leader that admitted them may be gone before they were promoted.
        for member in self._core.members.members:
            if not member.is_voter:
                self._membership_changer.add_in_background(
                    member.instance_id, member.identity
                )

    def _apply(self, entry: messages.LogEntry) -> None:
        outcome: object = None
        if entry.kind == messages.EntryKind.COMMAND:
            outcome = self._state_machine.apply(entry.index, entry.payload)
        self._applied_index = entry.index
        proposal = self._proposals_by_index.pop(entry.index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term == entry.term:
            proposal.future.set_result(result.Ok(outcome))
        else:
            proposal.future.set_result(result.Err(OutcomeUnknown(self.leader_id)))

    def _complete_reads(self) -> None:
        for token, barrier in list(self._pending_reads_by_token.items()):
            if barrier.index is not None and barrier.index <= self._applied_index:
                del self._pending_reads_by_token[token]
                if not barrier.future.done():
                    barrier.future.set_result(result.Ok(self._applied_index))

    def _fail_pending(self) -> None:
        leader_id = None if self.is_leader else self.leader_id
        for proposal in self._proposals_by_index.values():
            if not proposal.future.done():
                proposal.future.set_result(result.Err(OutcomeUnknown(leader_id)))
        for barrier in self._pending_reads_by_token.values():
            if not barrier.future.done():
                barrier.future.set_result(result.Err(NotLeader(leader_id)))
        self._proposals_by_index.clear()
        self._pending_reads_by_token.clear()

    def _take_snapshot_if_due(self) -> None:
        index = self._applied_index
        if index - self._snapshot_index < self._snapshot_interval_entries:
            return
        self._core.compact(index, self._state_machine.snapshot())
        self._snapshot_index = index
        self._flush()


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
