"""Asyncio driver of one replica: performs the effects of its core.

The writes are performed in order by a thread; all else happens on the event loop, which
never waits for the disk.
"""

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
    writer as consensus_writer,
)
from yuccapitch.protocol import consensus_messages as messages

TICK_INTERVAL_S = 0.05
# Time that the start waits for its writes; with a slower disk they complete later.
START_TIMEOUT_S = 1.0
SNAPSHOT_INTERVAL_ENTRIES = 10_000
# Bytes of applied entries after which a snapshot is taken even if they are few.
SNAPSHOT_INTERVAL_BYTES = 8 * 1024 * 1024


class StateMachine(typing.Protocol):
    """State machine to which committed commands are applied."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the serialized state."""

    def restore(self, data: bytes) -> None:
        """Replace the state with a serialized one."""


@dataclasses.dataclass(frozen=True)
class NotLeader:
    """This replica is not the leader; ``leader_id`` is the leader, if known."""

    leader_id: str | None


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """Leadership was lost before the outcome was known; the entry may still commit."""

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
    """One member of the group that replicates the log."""

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
        on_sync: Callable[[float], None] | None = None,
        on_no_space: Callable[[OSError], None] | None = None,
    ) -> None:
        """Initialize with a core and the storage from which it was recovered.

        ``may_join`` returns whether an instance may join the group; by default the
        instances listed in the settings may. ``on_sync`` is called with the duration
        of each write to the storage, with its syncs, and ``on_no_space`` with the error
        of a write that is tried again.
        """
        self._core = core
        self._send = send
        self._state_machine = state_machine
        self._clock = clock
        self._snapshot_interval_entries = snapshot_interval_entries
        self._on_effect = on_effect
        self._may_join = may_join or (lambda instance_id: instance_id in core.peer_ids)
        self._on_sync = on_sync or (lambda duration_s: None)
        self._writer = consensus_writer.Writer(
            storage,
            clock,
            self._on_written,
            self._fail,
            on_no_space or (lambda error: None),
        )
        self._durable_count = 0
        self._applied_index = 0
        self._snapshot_index = 0
        self._bytes_since_snapshot = 0
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
        """The core, for read access."""
        return self._core

    @property
    def leader_id(self) -> str | None:
        """The instance of the current leader, if known."""
        return self._core.leader_id

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader of its current term."""
        return self._core.role is effects.Role.LEADER

    @property
    def applied_index(self) -> int:
        """The index of the last entry applied to the state machine."""
        return self._applied_index

    @property
    def leader_lease_expires_at(self) -> float:
        """The end of the leader lease on this replica's clock.

        No other replica can become leader before that time. Minus infinity if this
        replica holds no lease.
        """
        return self._core.leader_lease_expires_at()

    async def start(self) -> None:
        """Restore the state machine and start to take part in the group."""
        self._stopped = asyncio.get_running_loop().create_future()
        self._writer.start()
        self._exit_stack.push_async_callback(self._writer.aclose)
        self._flush()
        self._core.tick(self._clock())
        self._flush()
        self._exit_stack.push_async_callback(self._membership_changer.aclose)
        task = asyncio.create_task(self._run_ticks())
        self._exit_stack.push_async_callback(_cancel, task)
        # The only member of a group leads once its vote and first entry are durable.
        await self._writer.wait_idle(START_TIMEOUT_S)

    def receive(self, peer_id: str, message: messages.Message) -> None:
        """Process a message from an instance."""
        if not self._is_closed:
            self._core.receive(peer_id, message, self._clock())
            self._schedule_flush()

    async def propose(self, command: bytes) -> result.Result[object, ProposeError]:
        """Replicate a command; return its result once it is committed and applied."""
        index = None if self._is_closed else self._core.propose(command)
        if index is None:
            return result.Err(NotLeader(self.leader_id))
        future: asyncio.Future[result.Result[object, ProposeError]]
        future = asyncio.get_running_loop().create_future()
        self._proposals_by_index[index] = _PendingProposal(self._core.term, future)
        self._schedule_flush()
        return await future

    async def read_barrier(self) -> result.Result[int, NotLeader]:
        """Wait until everything committed before the call is applied here.

        Return the index of the last applied entry.
        """
        self._next_token += 1
        token = self._next_token
        if self._is_closed or not self._core.read_barrier(token):
            return result.Err(NotLeader(self.leader_id))
        pending_read = _PendingRead(asyncio.get_running_loop().create_future())
        self._pending_reads_by_token[token] = pending_read
        self._schedule_flush()
        return await pending_read.future

    async def add_member(
        self, instance_id: str, identity: str
    ) -> result.Result[None, leader.ChangeError]:
        """Add an identity in place of the instance's previous one.

        It joins as a learner and becomes a voter once it has caught up.
        """
        return await self._membership_changer.add(instance_id, identity)

    async def remove_member(
        self, instance_id: str
    ) -> result.Result[None, leader.ChangeError]:
        """Remove an instance from the group."""
        return await self._membership_changer.remove(instance_id)

    def change_members(
        self, members: membership.Membership
    ) -> result.Result[int, leader.ChangeError]:
        """Append one membership entry; prefer ``add_member`` and ``remove_member``."""
        outcome = self._core.change_members(members)
        self._schedule_flush()
        return outcome

    async def aclose(self) -> None:
        """Stop the replica and fail its pending calls.

        Pending proposals return ``OutcomeUnknown``, pending reads ``NotLeader``.
        """
        self._flush()
        self._is_closed = True
        self._fail_pending()
        if not self._stopped.done():
            self._stopped.set_result(None)
        await self._exit_stack.aclose()

    async def wait_stopped(self) -> None:
        """Wait until the replica is closed.

        Raise the error that made it fail, such as a failed sync.
        """
        await asyncio.shield(self._stopped)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._core.tick(self._clock())
            self._flush()

    def _schedule_flush(self) -> None:
        # All messages and calls of one event loop iteration share one sync.
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self._is_closed:
            return
        try:
            pending_effects = self._core.take_effects(self._clock())
            self._writer.write(
                [e for e in pending_effects if isinstance(e, consensus_writer.Write)]
            )
            for effect in pending_effects:
                self._execute(effect)
            self._take_snapshot_if_due()
        except Exception as error:
            self._fail(error)

    def _on_written(self, written: consensus_writer.Written) -> None:
        self._durable_count += written.count
        if self._is_closed:
            return
        try:
            self._core.on_durable(
                self._durable_count, written.duration_s, self._clock()
            )
        except Exception as error:
            self._fail(error)
        self._flush()
        # Last, since it only reports.
        self._on_sync(written.duration_s)

    def _fail(self, error: Exception) -> None:
        # The contents of the disk are no longer known, so no message may be answered.
        self._is_closed = True
        self._fail_pending()
        if not self._stopped.done():
            self._stopped.set_exception(error)

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
                self._bytes_since_snapshot = 0
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
        # The leader that added them may have failed before it promoted them.
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
        self._bytes_since_snapshot += len(entry.payload)
        proposal = self._proposals_by_index.pop(entry.index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term == entry.term:
            proposal.future.set_result(result.Ok(outcome))
        else:
            proposal.future.set_result(result.Err(OutcomeUnknown(self.leader_id)))

    def _complete_reads(self) -> None:
        for token, pending_read in list(self._pending_reads_by_token.items()):
            if (
                pending_read.index is not None
                and pending_read.index <= self._applied_index
            ):
                del self._pending_reads_by_token[token]
                if not pending_read.future.done():
                    pending_read.future.set_result(result.Ok(self._applied_index))

    def _fail_pending(self) -> None:
        leader_id = None if self.is_leader else self.leader_id
        for proposal in self._proposals_by_index.values():
            if not proposal.future.done():
                proposal.future.set_result(result.Err(OutcomeUnknown(leader_id)))
        for pending_read in self._pending_reads_by_token.values():
            if not pending_read.future.done():
                pending_read.future.set_result(result.Err(NotLeader(leader_id)))
        self._proposals_by_index.clear()
        self._pending_reads_by_token.clear()

    def _take_snapshot_if_due(self) -> None:
        index = self._applied_index
        entry_count = index - self._snapshot_index
        is_due_by_bytes = self._bytes_since_snapshot >= SNAPSHOT_INTERVAL_BYTES
        if entry_count < self._snapshot_interval_entries and not is_due_by_bytes:
            return
        self._core.compact(index, self._state_machine.snapshot())
        self._snapshot_index = index
        self._bytes_since_snapshot = 0
        self._flush()


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
