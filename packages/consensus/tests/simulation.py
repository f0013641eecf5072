"""Simulated group of cores with slow in-memory disks, a fake network, skewed clocks.

Every step checks the safety properties of Raft and of the leader lease.
"""

from __future__ import annotations

import dataclasses
import random

from yuccapitch.consensus import core, effects, log, state, storage, writer
from yuccapitch.protocol import consensus_messages as messages

STEP_S = 0.05
TIMING = state.Timing()
SNAPSHOT_INTERVAL_ENTRIES = 12


@dataclasses.dataclass
class Faults:
    """Deliberate bugs of a replica, to test that the checks detect them."""

    sends_before_sync: bool = False
    keeps_identity_of_lost_disk: bool = False


@dataclasses.dataclass
class Node:
    """One instance: its disk, its clock and, while it is running, its core."""

    instance_id: str
    disk: storage.MemoryStorage
    rate: float
    clock_offset_s: float
    core: core.Core | None = None
    generation: int = 1
    history_hash: int = 0
    stopped_at: float = 0.0
    applied_index: int = 0
    snapshot_index: int = 0
    crashes_in_next_flush: bool = False
    queued: list[writer.Write] = dataclasses.field(default_factory=list)
    batch: list[writer.Write] = dataclasses.field(default_factory=list)
    batch_started_at: float = 0.0
    batch_ends_at: float = 0.0
    durable_count: int = 0
    is_disk_stalled: bool = False
    proposals: dict[int, int] = dataclasses.field(default_factory=dict)
    barriers: dict[int, int] = dataclasses.field(default_factory=dict)

    def to_local_time(self, now):
        return self.clock_offset_s + now * self.rate

    def to_true_time(self, local_time):
        return (local_time - self.clock_offset_s) / self.rate


class Cluster:
    """A group of instances; every action checks the invariants."""

    def __init__(self, size=3, seed=0, rates=None, faults=None):
        self.now = 0.0
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        self.max_delay_s = 0.02
        self.loss = 0.0
        self.duplication = 0.0
        # Each batch of writes takes a time of its own up to this one.
        self.max_sync_s = 0.0
        self.blocked_links = set()
        self.in_flight = []
        self.entry_by_index = {}
        self.history_hash_by_index = {0: 0}
        self.acknowledged_index = 0
        self.leader_by_term = {}
        self.acknowledger_by_term = {}
        self.lease_end_by_identity = {}
        self.lost_identities = set()
        self.added_count = 0
        self.next_command = 0
        self.next_token = 0
        instance_ids = [f"c{n}" for n in range(size)]
        rates = rates or [1.0] * size
        self.nodes = {
            instance_id: Node(
                instance_id,
                storage.MemoryStorage(f"{instance_id}-1"),
                rates[n],
                100.0 * n,
            )
            for n, instance_id in enumerate(instance_ids)
        }
        for instance_id in instance_ids:
            self.start(instance_id)

    # Actions.

    def start(self, instance_id):
        node = self.nodes[instance_id]
        peers = tuple(i for i in self.nodes if i != instance_id)
        # The process may have started as early as the previous one ended.
        own_settings = core.Settings(
            instance_id,
            peers,
            instance_id == "c0",
            TIMING,
            node.to_local_time(node.stopped_at),
        )
        node.history_hash = node.applied_index = node.snapshot_index = 0
        node.proposals, node.barriers = {}, {}
        node.queued, node.batch, node.durable_count = [], [], 0
        node.core = core.Core(
            own_settings,
            node.disk.load().unwrap(),
            random.Random(self.random.random()),
            node.to_local_time(self.now),
        )
        self.flush(node)

    def kill(self, instance_id):
        """Stop an instance; a batch under way leaves its beginning, up to any point."""
        node = self.nodes[instance_id]
        node.core = None
        node.stopped_at = self.now
        node.disk.crash()
        self._write_torn(node, writer.select_writes(node.batch))
        node.queued, node.batch = [], []

    def lose_power(self, lost_disk_ids=()):
        """Stop all instances at once; some of them lose their disks.

        Each of the others may have been writing what it had last received. Of that, the
        disk keeps the beginning, up to any point.
        """
        for instance_id in lost_disk_ids:
            self.lose_disk(instance_id)
        for node in self.nodes.values():
            if node.core is not None:
                self._tear_writes(node)
                self.kill(node.instance_id)
        self.in_flight = []

    def _tear_writes(self, node):
        node.disk.crash()
        for _, sender_id, receiver_id, message in sorted(
            self.in_flight, key=lambda item: item[0]
        ):
            is_blocked = (sender_id, receiver_id) in self.blocked_links
            if receiver_id == node.instance_id and not is_blocked:
                if self.random.random() < 0.5:
                    local_time = node.to_local_time(self.now)
                    node.core.receive(sender_id, message, local_time)
        node.queued += _select_writes(
            node.core.take_effects(node.to_local_time(self.now))
        )
        self._write_torn(node, [*node.batch, *node.queued])
        node.queued, node.batch = [], []

    def _write_torn(self, node, writes):
        for effect in writes:
            is_torn = self.random.random() < 0.5
            if isinstance(effect, effects.PersistEntries) and is_torn:
                kept_count = self.random.randint(0, len(effect.entries))
                if kept_count:
                    node.disk.write_entries(effect.entries[:kept_count])
                break
            if is_torn:
                break
            self._persist(node, effect)
        node.disk.sync()

    def stall_disk(self, instance_id):
        """Let no further write of an instance end, until ``resume_disk``."""
        self.nodes[instance_id].is_disk_stalled = True

    def resume_disk(self, instance_id):
        node = self.nodes[instance_id]
        node.is_disk_stalled = False
        node.batch_ends_at = min(node.batch_ends_at, self.now)

    def can_lose_disk(self, instance_id):
        """Return whether a quorum survives in each membership that may take effect."""
        return self.can_lose_disks([instance_id])

    def can_lose_disks(self, instance_ids):
        """Return whether a quorum survives the loss of several disks."""
        identities = {self.nodes[i].disk.identity for i in instance_ids}
        lost = self.lost_identities | identities
        return all(
            members.is_quorum(members.voters() - lost)
            for members in self._memberships()
        )

    def lose_disk(self, instance_id):
        node = self.nodes[instance_id]
        self.kill(instance_id)
        node.generation += 1
        identity = f"{instance_id}-{node.generation}"
        self.lost_identities.add(node.disk.identity)
        if self.faults.keeps_identity_of_lost_disk:
            identity = node.disk.identity
        node.disk = storage.MemoryStorage(identity)

    def replace(self, instance_id):
        """Remove an instance for good; start an empty one at another address."""
        self.remove(instance_id)
        return self.add()

    def remove(self, instance_id):
        """Stop an instance that never comes back."""
        self.kill(instance_id)
        self.lost_identities.add(self.nodes.pop(instance_id).disk.identity)

    def add(self):
        """Start an empty instance at a new address and return its ID."""
        self.added_count += 1
        instance_id = f"a{self.added_count}"
        disk = storage.MemoryStorage(f"{instance_id}-1")
        rate = self.random.uniform(0.95, 1.05)
        self.nodes[instance_id] = Node(
            instance_id, disk, rate, 50.0, stopped_at=self.now
        )
        self.start(instance_id)
        return instance_id

    def propose(self, instance_id):
        """Propose a command at one instance, whether or not it is the leader."""
        node = self.nodes[instance_id]
        if node.core is None:
            return None
        self.next_command += 1
        index = node.core.propose(b"%d" % self.next_command)
        if index is not None:
            node.proposals[index] = node.core.term
            self.flush(node)
        return index

    def read(self, instance_id):
        """Start a read that must see every entry acknowledged before it."""
        node = self.nodes[instance_id]
        self.next_token += 1
        if node.core is not None and node.core.read_barrier(self.next_token):
            node.barriers[self.next_token] = self.acknowledged_index
            self.flush(node)

    def run(self, duration_s, step_s=STEP_S):
        """Advance the simulated time in steps."""
        end_at = self.now + duration_s
        while self.now < end_at:
            self.now += step_s
            self._deliver_due()
            for node in self.nodes.values():
                if node.batch and node.batch_ends_at <= self.now:
                    self._end_batch(node)
                if node.core is not None:
                    self._admit_learners(node)
                    node.core.tick(node.to_local_time(self.now))
                    self.flush(node)

    def tick(self, instance_id):
        """Expire the election timeout of one instance and tick it."""
        node = self.nodes[instance_id]
        node.core._state.election_deadline = node.to_local_time(self.now)
        node.core.tick(node.to_local_time(self.now))
        self.flush(node)

    def deliver_between(self, *instance_ids, times=1):
        """Deliver the messages in flight between these instances; drop all others."""
        for _ in range(times):
            due, self.in_flight = self.in_flight, []
            for item in due:
                if item[1] in instance_ids and item[2] in instance_ids:
                    self._deliver(*item[1:])

    def elect(self, instance_id, *voter_ids):
        """Make one instance the leader with the votes of the given others."""
        # The first attempt may only raise its term to that of the others.
        for _ in range(2):
            if instance_id not in self.leaders():
                self.in_flight = []
                self.tick(instance_id)
                self.deliver_between(instance_id, *voter_ids, times=4)

    def heal(self):
        """End all faults."""
        self.max_delay_s, self.loss, self.duplication = 0.02, 0.0, 0.0
        self.max_sync_s = 0.0
        self.blocked_links.clear()
        for instance_id, node in self.nodes.items():
            node.crashes_in_next_flush = False
            self.resume_disk(instance_id)
            if node.core is None:
                self.start(instance_id)

    def leaders(self):
        return [
            i
            for i, n in self.nodes.items()
            if n.core is not None and n.core.role is effects.Role.LEADER
        ]

    def has_converged(self):
        """Return whether all instances vote and have applied the acknowledged entries.

        There must be exactly one leader.
        """
        leaders = self.leaders()
        if len(leaders) != 1:
            return False
        members = self.nodes[leaders[0]].core.members
        voters = {node.disk.identity for node in self.nodes.values()}
        min_applied_index = min(node.applied_index for node in self.nodes.values())
        all_vote = members.voters() == voters and len(members.members) == len(voters)
        return all_vote and min_applied_index >= self.acknowledged_index

    # Effects.

    def flush(self, node):
        pending_effects = node.core.take_effects(node.to_local_time(self.now))
        node.queued += _select_writes(pending_effects)
        if self.faults.sends_before_sync:
            pending_effects += self._pretend_durable(node, bool(pending_effects))
        self._send_all(node, pending_effects)
        if node.crashes_in_next_flush and pending_effects:
            node.crashes_in_next_flush = False
            self.kill(node.instance_id)
            return
        for effect in pending_effects:
            self._perform(node, effect)
        self._check_lease(node)
        self._take_snapshot_if_due(node)
        self._start_batch(node)

    def _start_batch(self, node):
        if node.core is None or node.batch or not node.queued:
            return
        node.batch, node.queued = node.queued, []
        duration_s = 0.0
        if self.max_sync_s and self.random.random() < 0.7:
            duration_s = self.random.uniform(0.0, self.max_sync_s)
        if node.is_disk_stalled:
            duration_s = float("inf")
        node.batch_started_at = self.now
        node.batch_ends_at = self.now + duration_s
        if not duration_s:
            self._end_batch(node)

    def _end_batch(self, node):
        batch, node.batch = node.batch, []
        for effect in writer.select_writes(batch):
            self._persist(node, effect)
        node.disk.sync()
        self._report_durable(node, len(batch), self.now - node.batch_started_at)
        self.flush(node)

    def _report_durable(self, node, count, duration_s):
        node.durable_count += count
        local_time = node.to_local_time(self.now)
        node.core.on_durable(node.durable_count, duration_s, local_time)

    def _pretend_durable(self, node, has_effects):
        """Report writes as durable that are synced only when there are further ones."""
        if has_effects:
            node.disk.sync()
        released = []
        while node.queued:
            writes, node.queued = node.queued, []
            for effect in writes:
                self._persist(node, effect)
            self._report_durable(node, len(writes), 0.0)
            further = node.core.take_effects(node.to_local_time(self.now))
            node.queued += _select_writes(further)
            released += further
        return released

    def _persist(self, node, effect):
        match effect:
            case effects.PersistHardState(hard_state):
                node.disk.write_hard_state(hard_state)
            case effects.PersistEntries(entries):
                node.disk.write_entries(entries)
            case effects.PersistSnapshot(snapshot, keeps_suffix):
                node.disk.write_snapshot(snapshot, keeps_suffix)

    def _send_all(self, node, pending_effects):
        for effect in pending_effects:
            if not isinstance(effect, effects.Send):
                continue
            copies = 2 if self.random.random() < self.duplication else 1
            for _ in range(copies):
                if self.random.random() >= self.loss:
                    due_at = self.now + self.random.uniform(0.001, self.max_delay_s)
                    item = (due_at, node.instance_id, effect.peer_id, effect.message)
                    self.in_flight.append(item)

    def _perform(self, node, effect):
        match effect:
            case effects.Apply(entries):
                for entry in entries:
                    self._apply(node, entry)
            case effects.Restore(snapshot):
                self._restore(node, snapshot)
            case effects.RoleChanged(effects.Role.LEADER, term, _):
                self._check_new_leader(node, term)
            case effects.RoleChanged():
                node.proposals, node.barriers = {}, {}
            case effects.BarrierReached(token, index):
                if token in node.barriers:
                    assert index >= node.barriers.pop(
                        token
                    ), "a read missed an acknowledged entry"
            case effects.JoinRequested(instance_id, identity):
                members = node.core.members.with_learner(instance_id, identity)
                node.core.change_members(members)

    def _admit_learners(self, node):
        for member in node.core.members.members:
            if not member.is_voter and node.core.role is effects.Role.LEADER:
                node.core.change_members(node.core.members.with_voter(member.identity))

    def _apply(self, node, entry):
        assert entry.index == node.applied_index + 1
        node.applied_index = entry.index
        node.history_hash = hash((node.history_hash, entry))
        known = self.entry_by_index.setdefault(entry.index, entry)
        assert known == entry, f"index {entry.index} was committed as {known}"
        self.history_hash_by_index.setdefault(entry.index, node.history_hash)
        assert self.history_hash_by_index[entry.index] == node.history_hash
        if node.proposals.pop(entry.index, None) == entry.term:
            self._acknowledge(node, entry)

    def _restore(self, node, snapshot):
        node.applied_index = node.snapshot_index = snapshot.last_index
        node.history_hash = int(snapshot.data)
        assert self.history_hash_by_index[snapshot.last_index] == node.history_hash

    def _take_snapshot_if_due(self, node):
        due_index = node.snapshot_index + SNAPSHOT_INTERVAL_ENTRIES
        if node.core is None or node.applied_index < due_index:
            return
        node.snapshot_index = node.applied_index
        node.core.compact(node.applied_index, str(node.history_hash).encode())
        self.flush(node)

    # Checks.

    def _acknowledge(self, node, entry):
        self.acknowledged_index = max(self.acknowledged_index, entry.index)
        identity = self._incarnation_id(node)
        known = self.acknowledger_by_term.setdefault(entry.term, identity)
        assert (
            known == identity
        ), f"{known} and {identity} both acknowledge entries of term {entry.term}"

    def _check_new_leader(self, node, term):
        identity = self._incarnation_id(node)
        known = self.leader_by_term.setdefault(term, identity)
        assert known == identity, f"{known} and {identity} both lead term {term}"
        for other, end_at in self.lease_end_by_identity.items():
            has_ended = other == identity or end_at <= self.now
            assert has_ended, f"{identity} became leader during the lease of {other}"

    def _check_lease(self, node):
        if node.core is None:
            return
        lease_end = node.core.leader_lease_expires_at()
        if lease_end > node.to_local_time(self.now):
            identity = self._incarnation_id(node)
            self.lease_end_by_identity[identity] = node.to_true_time(lease_end)

    def _incarnation_id(self, node):
        return f"{node.instance_id}/{node.generation}"

    def _memberships(self):
        """Yield the latest committed membership and all later ones in any log."""
        known = [(i, e) for i, e in self.entry_by_index.items() if _sets_members(e)]
        committed_index = max((i for i, _ in known), default=0)
        for node in self.nodes.values():
            recovered = node.disk.load().unwrap()
            disk_log = log.Log(recovered.snapshot)
            for entry in recovered.entries:
                disk_log.append(entry)
                if _sets_members(entry) and entry.index >= committed_index:
                    yield disk_log.members
            if disk_log.membership_index >= committed_index:
                yield disk_log.members
            # Entries may be on their way to the disk, and to others.
            if node.core and node.core.log.membership_index >= committed_index:
                yield node.core.members

    def _deliver_due(self):
        due = sorted(
            (item for item in self.in_flight if item[0] <= self.now),
            key=lambda item: item[0],
        )
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        for item in due:
            self._deliver(*item[1:])

    def _deliver(self, sender_id, receiver_id, message):
        node = self.nodes.get(receiver_id)
        if node is None or node.core is None:
            return
        if (sender_id, receiver_id) in self.blocked_links:
            return
        node.core.receive(sender_id, message, node.to_local_time(self.now))
        self.flush(node)


def _select_writes(pending_effects):
    return [e for e in pending_effects if isinstance(e, writer.Write)]


def _sets_members(entry):
    return entry.kind == messages.EntryKind.MEMBERSHIP
