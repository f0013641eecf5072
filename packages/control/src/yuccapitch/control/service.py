"""Control role: serves the replicated catalogue and grants leases."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import result

from yuccapitch.catalogue import api, changes, ids, state as catalogue_state, validation
from yuccapitch.consensus import effects, replica as consensus_replica
from yuccapitch.control import leases, operator_api
from yuccapitch.protocol import events, frames, node_messages, peers as inner_peers

MS_PER_S = 1000
# Largest command, which has to fit into a frame to the other control instances.
MAX_COMMAND_BYTES = frames.MAX_PAYLOAD_BYTES - 1024 * 1024
# Time limit for a change to be committed. Disks that are full or stalled hold it up.
COMMIT_TIMEOUT_S = 5.0

HttpAddress = Callable[[str], str | None]
"""Returns the HTTP address of a control instance, or None if it is unknown."""


class NotifyingState:
    """Catalogue state that calls ``on_version`` after each change of version."""

    def __init__(
        self, state: catalogue_state.CatalogueState, on_version: Callable[[], None]
    ) -> None:
        self.state = state
        self._on_version = on_version

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command."""
        before = self.state.version
        outcome = self.state.apply(index, command)
        if self.state.version != before:
            self._on_version()
        return outcome

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replace the state by a serialized one."""
        self.state.restore(data)
        self._on_version()


class ControlService:
    """Catalogue changes, reads and leases of one control instance."""

    def __init__(
        self,
        instance_id: str,
        state: catalogue_state.CatalogueState,
        links: inner_peers.Peers,
        http_address: HttpAddress,
        lease_duration_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._instance_id = instance_id
        self._state = state
        self._links = links
        self._http_address = http_address
        self._lease_duration_s = lease_duration_s
        self._clock = clock
        self._term_leases: leases.TermLeases | None = None
        self._replica: consensus_replica.Replica
        links.handle(node_messages.LeaseRequest, self.renew_lease)

    def attach(self, replica: consensus_replica.Replica) -> None:
        """Set the replica of the catalogue log."""
        self._replica = replica

    @property
    def state(self) -> catalogue_state.CatalogueState:
        """Return the state that this instance has applied."""
        return self._state

    async def submit(self, change: changes.Change) -> result.Result[
        changes.Accepted | changes.Conflict | changes.Refused,
        operator_api.NotLeader | operator_api.Unavailable,
    ]:
        """Commit the change and return its outcome."""
        barrier = await self.read_barrier()
        if isinstance(barrier, result.Err):
            return barrier
        admitted = self._state.admit(change)
        if isinstance(admitted, result.Err):
            return result.Ok(admitted.err_value)
        command = self._state.build_command(change, int(time.time() * MS_PER_S))
        if len(command) > MAX_COMMAND_BYTES:
            message = f"{len(command)} bytes with its defaults, the limit is"
            message += f" {MAX_COMMAND_BYTES}; send a smaller declaration"
            fault = validation.Fault("declaration", message)
            refused = changes.Refused.from_faults((fault,))
            _log_outcome(change, refused)
            return result.Ok(refused)
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                proposed = await self._replica.propose(command)
        except TimeoutError:
            message = f"the change was not committed in {COMMIT_TIMEOUT_S:g} s"
            return result.Err(operator_api.Unavailable(message, True))
        match proposed:
            case result.Ok(outcome):
                assert isinstance(
                    outcome, changes.Accepted | changes.Conflict | changes.Refused
                )
                _log_outcome(change, outcome)
                return result.Ok(outcome)
            case result.Err(consensus_replica.NotLeader(leader_id)):
                return result.Err(self._not_leader(leader_id))
            case _:
                message = "leadership was lost before the change was committed"
                return result.Err(operator_api.Unavailable(message, True))

    async def read_barrier(
        self,
    ) -> result.Result[None, operator_api.NotLeader | operator_api.Unavailable]:
        """Wait until the state includes every change accepted before the call."""
        barrier = await self._replica.read_barrier()
        if isinstance(barrier, result.Err):
            return result.Err(self._not_leader(barrier.err_value.leader_id))
        return result.Ok(None)

    def in_force(self, version: ids.Version) -> api.InForceBody:
        """Return whether every active instance uses the version or a later one."""
        if self._term_leases is None:
            return api.InForceBody(version=version, everywhere=False)
        return self._term_leases.in_force(version, self._clock())

    def status(self) -> api.StatusBody:
        """Return the control plane's status as this instance sees it."""
        core = self._replica.core
        now = self._clock()
        term_leases = self._term_leases
        return api.StatusBody(
            instance_id=ids.InstanceId(self._instance_id),
            consensus_role=core.role.value,
            leader=core.leader_id,
            term=core.term,
            version=self._state.version,
            digest=self._state.digest,
            members=tuple(
                api.MemberStatus(
                    instance_id=ids.InstanceId(member.instance_id),
                    address=self._http_address(member.instance_id) or "",
                    identity=member.identity,
                    voter=member.is_voter,
                )
                for member in core.members.members
            ),
            holders=() if term_leases is None else term_leases.statuses(now),
            in_force=(
                None
                if term_leases is None
                else term_leases.in_force(self._state.version, now)
            ),
        )

    def on_version(self) -> None:
        """Apply a newly accepted version and notify the lease holders."""
        events.event("entry.version-applied", version=self._state.version)
        if self._term_leases is None:
            return
        self._term_leases.apply_new_version(self._clock())
        self._notify_holders(self._term_leases)

    def on_effect(self, effect: effects.Effect) -> None:
        """Discard the leases of the term when leadership is lost."""
        if isinstance(effect, effects.RoleChanged):
            if effect.role is not effects.Role.LEADER:
                self._term_leases = None

    async def renew_lease(
        self, peer_id: str, request: node_messages.LeaseRequest
    ) -> node_messages.LeaseGrant | node_messages.LeaseRefusal:
        """Grant a lease if this instance is the confirmed leader."""
        if request.instance_id != peer_id:
            return node_messages.LeaseRefusal("", "the request is not the peer's own")
        if self._term_leases is None and self._replica.is_leader:
            await self._begin_term()
        term_leases = self._term_leases
        now = self._clock()
        # Until the confirmation expires, no other instance can become leader and grant
        # conflicting leases.
        if term_leases is None or now >= self._replica.leader_lease_expires_at:
            leader_id = self._replica.leader_id or ""
            return node_messages.LeaseRefusal(leader_id, "not the confirmed leader")
        self._links.set_address(
            peer_id, inner_peers.Address(request.inner_host, request.inner_port)
        )
        former_sequence = term_leases.live_sequence
        renewed = term_leases.renew(request, now)
        if term_leases.live_sequence != former_sequence:
            self._notify_holders(term_leases)
        if isinstance(renewed, result.Err):
            return node_messages.LeaseRefusal("", renewed.err_value.reason)
        return renewed.ok_value

    def _notify_holders(self, term_leases: leases.TermLeases) -> None:
        notice = node_messages.RenewalNotice(
            self._state.version, term_leases.live_sequence
        )
        for instance_id in term_leases.live_holder_ids(self._clock()):
            self._links.send(instance_id, notice)

    async def _begin_term(self) -> None:
        # The barrier ensures that the state includes the entries of earlier leaders.
        barrier = await self._replica.read_barrier()
        term = self._replica.core.term
        is_new = self._term_leases is None or self._term_leases.term != term
        if isinstance(barrier, result.Ok) and self._replica.is_leader and is_new:
            self._term_leases = leases.TermLeases(
                term, self._state, self._clock(), self._lease_duration_s
            )

    def _not_leader(self, leader_id: str | None) -> operator_api.NotLeader:
        if leader_id is None or leader_id == self._instance_id:
            return operator_api.NotLeader(None)
        return operator_api.NotLeader(self._http_address(leader_id))


def _log_outcome(change: changes.Change, outcome: object) -> None:
    if isinstance(outcome, changes.Accepted):
        events.event(
            "change.accepted", change_id=change.change_id, version=outcome.version
        )
    else:
        events.event(
            "change.refused", change_id=change.change_id, outcome=repr(outcome)
        )
