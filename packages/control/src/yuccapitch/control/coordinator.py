"""Control instance logic outside the replicated log.

Commits operators' orders, reads the list of endpoints from the platform and answers the
polls of followers, which are the entry instances and the other control instances.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import time
import typing
import zlib
from collections.abc import Awaitable, Callable

import result

from yuccapitch.consensus import effects, replica as consensus_replica
from yuccapitch.control import (
    compressed_lists,
    endpoint_reading,
    fleet as control_fleet,
    leader_polling,
    orders,
    state_leases,
)
from yuccapitch.protocol import (
    codec,
    events,
    peers as inner_peers,
    subscription_messages as messages,
)
from yuccapitch.steering import allocation

# Upper bound on the polls of all followers together, so that the leader's load stays
# bounded as the fleet grows. The poll interval grows with the number of followers.
MAX_POLLS_PER_S = 200.0
POLL_INTERVAL_S = 0.5
# A follower that sent no poll for this time is considered lost. The minimum tolerates a
# few lost polls; the multiple of the poll interval tolerates a lost packet in a large
# fleet, which polls less often.
MIN_SILENCE_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_POLLS = 2.5
# Time limit for a read, forwarding, or an order to be in force. It is below the timeout
# of one second after which a client stops waiting for this instance.
FORWARD_TIMEOUT_S = 0.85
LEADER_CHECK_INTERVAL_S = 0.1
# Shortest time between two notices of changed instances. In a start of hundreds of
# instances, a notice for each that joins would make all others poll each time.
INSTANCE_NOTICE_INTERVAL_S = 0.5
ALLOCATION_INTERVAL_S = 2.0
# A leader that starts without an endpoint list knows no former allocation. For this
# time after its first read of the list, it allocates the endpoints by the number of
# entry instances per region that have sent a heartbeat.
ALLOCATION_WARM_UP_S = 3.0
# How long the answer to a poll is delayed while no leader is known; well below the
# timeout of the poll.
ELECTION_WAIT_S = 0.3
ELECTION_CHECK_INTERVAL_S = 0.02
# Instances named in a log line that may concern the whole fleet.
MAX_LOGGED_INSTANCES = 5
MAX_LOGGED_ORDER_CHARS = 100
# Interval at which an election that fails again in the same way is logged.
FAILED_ELECTION_LOG_INTERVAL_S = 5.0


PollReply = messages.PollResponse | messages.PollRefusal
Order = messages.RouteDeclaration | messages.EvacuationOrder


@dataclasses.dataclass(frozen=True)
class _Superseded:
    """A later order for the same failure domain was committed before."""

    index: int
    """Log index of that order."""


_SubmitError = _Superseded | str


class Coordinator:
    """Leader duties of a control instance: order commits, polls and endpoint list."""

    def __init__(
        self,
        instance_id: str,
        state: orders.OrderState,
        links: inner_peers.Peers,
        source: endpoint_reading.EndpointSource,
        clock: Callable[[], float],
    ) -> None:
        self._instance_id = instance_id
        self._state = state
        self._links = links
        self._endpoint_reader = endpoint_reading.EndpointReader(source)
        self._clock = clock
        self._replica: consensus_replica.Replica
        self._build_heartbeat: Callable[[], messages.PollRequest]
        self._leadership_term: int | None = None
        self._has_list_read_failed = False
        self._compressed_routes = (orders.NO_REVISION, b"")
        # Term and state index that the followers were sent last.
        self._pushed: tuple[int, int] = (0, 0)
        self._compressed_lists = compressed_lists.CompressedLists()
        self._has_unnoticed_change = False
        self._noticed_at = float("-inf")
        self._noticed_dispatchers: tuple[messages.RegionDispatcher, ...] = ()
        self._allocated_at = float("-inf")
        self._warm_up_until = float("-inf")
        self.fleet = control_fleet.Fleet()
        self.leases = state_leases.StateLeases()
        self._leases_changed = asyncio.Event()
        self._last_polls_by_id: dict[str, messages.PollRequest] = {}
        self._logged_election: tuple[object, float] = ((), float("-inf"))
        links.handle(messages.PollRequest, self._on_poll)
        links.handle(messages.StateApplied, self._on_state_applied)
        links.handle(messages.SubmitRequest, self._on_submit)
        links.handle(messages.ReadRequest, self._on_read)

    def attach(
        self,
        replica: consensus_replica.Replica,
        heartbeat: Callable[[], messages.PollRequest],
    ) -> None:
        """Set the replica of the order log and the builder of this node's heartbeat."""
        self._replica = replica
        self._build_heartbeat = heartbeat

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads and its state is the latest committed one."""
        replica = self._replica
        has_applied_all = replica.applied_index >= replica.core.commit_index
        return self._clock() < replica.leader_lease_expires_at and has_applied_all

    def on_effect(self, effect: effects.Effect) -> None:
        """React to changes of leadership and members and to applied orders."""
        match effect:
            case effects.RoleChanged(role, term, leader_id):
                if role is effects.Role.LEADER:
                    events.event("consensus.leader-elected", term=term)
                elif role is effects.Role.FOLLOWER:
                    events.event(
                        "consensus.leader-changed", term=term, leader=leader_id
                    )
                if role is not effects.Role.LEADER:
                    self._leadership_term = None
            case effects.Apply() | effects.Restore():
                self._push_state()
            case effects.MembersChanged(index, members):
                events.event(
                    "consensus.voters-changed",
                    index=index,
                    voters=[m.instance_id for m in members.members if m.is_voter],
                    learners=[m.instance_id for m in members.members if not m.is_voter],
                )
            case effects.MemberRemoved(instance_id, identity, silent_s):
                events.event(
                    "consensus.member-removed",
                    member=instance_id,
                    identity=identity,
                    silent_ms=round(silent_s * 1000),
                )
            case effects.ElectionFailed():
                self._log_failed_election(effect, self._clock())
            case effects.JoinRequested(instance_id, identity):
                events.event(
                    "consensus.members-changed",
                    joining=instance_id,
                    identity=identity,
                    members=[m.instance_id for m in self._replica.core.members.members],
                )
            case _:
                return

    async def run(self) -> None:
        """Expire unresponsive instances while leading, until cancelled."""
        while True:
            await asyncio.sleep(LEADER_CHECK_INTERVAL_S)
            now = self._clock()
            if not self.is_leader:
                continue
            self._ensure_leadership_begun(now)
            self.leases.expire(now)
            # The leader polls nobody, so it records its own heartbeat here.
            is_changed = self.fleet.record_control_heartbeat(
                self._build_heartbeat(), now
            )
            silence_s = max(
                MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_POLLS * self._poll_interval_s()
            )
            self._has_unnoticed_change |= self.fleet.expire(now, silence_s)
            self._has_unnoticed_change |= is_changed
            self._notify_of_instances(now)

    async def run_endpoint_updates(self) -> None:
        """Read the platform's endpoint list periodically while leading."""
        while True:
            await asyncio.sleep(ELECTION_CHECK_INTERVAL_S)
            # An elected leader reads the list before its leadership is confirmed:
            # requests cannot be served before both are done.
            if not self._replica.is_leader:
                self._endpoint_reader.end_leadership()
            elif self._endpoint_reader.is_due(self._clock()):
                await self._update_endpoints()

    async def submit(
        self, order: Order, is_awaited: Callable[[], bool]
    ) -> result.Result[None, str]:
        """Commit an order and wait until it is in force, forwarding it to the leader.

        An error does not mean that the order was not committed. It can be sent again
        and is acknowledged once it is in force. ``is_awaited`` returns whether the
        caller still waits for the order; otherwise, the caller may have given a later
        one through another instance, so nothing is proposed on its behalf.
        """
        deadline = self._clock() + FORWARD_TIMEOUT_S
        if isinstance(order, messages.EvacuationOrder):
            known_index = self._state.evacuation_index(order.failure_domain)
            order = dataclasses.replace(order, based_on=known_index)
        while is_awaited():
            outcome = await self._submit_once(codec.encode(order), deadline)
            if isinstance(outcome, result.Ok):
                return outcome
            error = outcome.err_value
            if not isinstance(error, _Superseded):
                return result.Err(error)
            if self._clock() >= deadline:
                return result.Err("other orders for the failure domain came before")
            # This instance didn't know the latest order. If the caller still waits
            # after the leader has told of it, the caller's order is the later one.
            assert isinstance(order, messages.EvacuationOrder)
            order = dataclasses.replace(order, based_on=error.index)
        events.event("order.abandoned", order=repr(order)[:MAX_LOGGED_ORDER_CHARS])
        return result.Err("the caller has left")

    async def read(self) -> result.Result[messages.StateSnapshot, str]:
        """Return the latest order state, confirmed by a quorum (linearizable read)."""
        if self._replica.is_leader:
            return await self._read_locally()
        deadline = self._clock() + FORWARD_TIMEOUT_S
        reply = await self._request_leader(messages.ReadRequest(), deadline)
        if isinstance(reply, result.Err):
            return reply
        answer = reply.ok_value
        if isinstance(answer, messages.ReadResponse) and answer.state is not None:
            return result.Ok(answer.state)
        return result.Err("the leader could not confirm its state")

    async def _submit_once(
        self, command: bytes, deadline: float
    ) -> result.Result[None, _SubmitError]:
        if self._replica.is_leader:
            return await self._commit(command, deadline)
        reply = await self._request_leader(messages.SubmitRequest(command), deadline)
        if isinstance(reply, result.Err):
            return result.Err(reply.err_value)
        answer = reply.ok_value
        if not isinstance(answer, messages.SubmitResponse):
            return result.Err("the leader gave no answer")
        if answer.is_committed:
            return result.Ok(None)
        if answer.superseded_by is not None:
            return result.Err(_Superseded(answer.superseded_by))
        return result.Err(answer.detail)

    async def _commit(
        self, command: bytes, deadline: float
    ) -> result.Result[None, _SubmitError]:
        """Commit an order and wait until it is in force."""
        now = self._clock()
        if self.is_leader:
            # The leases of an earlier leader are on the state before this order.
            self._ensure_leadership_begun(now)
        if not self._is_held(command):
            committed = await self._propose(command)
            if isinstance(committed, result.Err):
                return committed
        in_force = await self._wait_in_force(self._state.index, deadline)
        return in_force.map_err(lambda detail: detail)

    def _is_held(self, command: bytes) -> bool:
        """Whether the routes in use have a declaration's revision or a later one."""
        decoded = codec.decode(command)
        order = decoded.ok_value if isinstance(decoded, result.Ok) else None
        return (
            isinstance(order, messages.RouteDeclaration)
            and order.revision <= self._state.revision
        )

    async def _propose(self, command: bytes) -> result.Result[None, _SubmitError]:
        started_at = self._clock()
        try:
            async with asyncio.timeout(FORWARD_TIMEOUT_S):
                outcome = await self._replica.propose(command)
        except TimeoutError:
            outcome = None
        if isinstance(outcome, result.Ok):
            if outcome.ok_value is orders.OrderOutcome.SUPERSEDED:
                return result.Err(self._find_superseding(command))
            return result.Ok(None)
        detail = (
            "no quorum in time" if outcome is None else _error_text(outcome.err_value)
        )
        waited_ms = round((self._clock() - started_at) * 1000)
        events.event("order.failed", reason=detail, waited_ms=waited_ms)
        return result.Err(detail)

    def _find_superseding(self, command: bytes) -> _Superseded:
        order: messages.EvacuationOrder = codec.decode(command).unwrap()
        return _Superseded(self._state.evacuation_index(order.failure_domain))

    async def _wait_in_force(
        self, state_index: int, deadline: float
    ) -> result.Result[None, str]:
        """Wait until no entry instance acts on a state older than ``state_index``."""
        while True:
            now = self._clock()
            if not self._replica.is_leader:
                return result.Err("leadership was lost")
            self._ensure_leadership_begun(now)
            in_force_at = self.leases.in_force_at(state_index, now)
            if in_force_at <= now:
                return result.Ok(None)
            if now >= deadline:
                self._log_instances_behind(state_index, in_force_at, now)
                return result.Err("committed, but not in force everywhere yet")
            self._leases_changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(in_force_at, deadline) - now):
                    await self._leases_changed.wait()

    def instances_behind(self) -> list[str]:
        """Return the entry instances that may act on an older state."""
        return self.leases.holders_behind(self._state.index, self._clock())

    def _log_failed_election(self, failed: effects.ElectionFailed, now: float) -> None:
        # A group without a quorum holds several elections a second.
        answers = (failed.granted_ids, failed.denied_ids, failed.silent_ids)
        last_answers, logged_at = self._logged_election
        is_repeated = answers == last_answers
        if is_repeated and now - logged_at < FAILED_ELECTION_LOG_INTERVAL_S:
            return
        self._logged_election = (answers, now)
        events.event(
            "consensus.election-failed",
            term=failed.term,
            voters=failed.voter_count,
            granted=failed.granted_ids,
            denied=failed.denied_ids,
            silent=failed.silent_ids,
        )

    def _log_instances_behind(
        self, state_index: int, in_force_at: float, now: float
    ) -> None:
        behind = self.leases.holders_behind(state_index, now)
        events.event(
            "order.behind",
            index=state_index,
            instances=len(behind),
            names=behind[:MAX_LOGGED_INSTANCES],
            in_force_in_ms=round((in_force_at - now) * 1000),
        )

    async def _read_locally(self) -> result.Result[messages.StateSnapshot, str]:
        try:
            async with asyncio.timeout(FORWARD_TIMEOUT_S):
                barrier = await self._replica.read_barrier()
        except TimeoutError:
            return result.Err("no quorum in time")
        if isinstance(barrier, result.Err):
            return result.Err("leadership was lost")
        return result.Ok(self._state.message())

    async def _request_leader(
        self, message: object, deadline: float
    ) -> result.Result[typing.Any, str]:
        leader_id = self._replica.leader_id
        while leader_id in (None, self._instance_id):
            if self._clock() + LEADER_CHECK_INTERVAL_S > deadline:
                return result.Err("no leader is known")
            await asyncio.sleep(LEADER_CHECK_INTERVAL_S)
            leader_id = self._replica.leader_id
        assert leader_id is not None
        leader_polling.set_address_from_id(self._links, leader_id)
        remaining_s = deadline - self._clock()
        reply = await self._links.request(leader_id, message, remaining_s)
        if isinstance(reply, result.Err):
            return result.Err(f"the leader {leader_id}: {reply.err_value.code.value}")
        return result.Ok(reply.ok_value)

    async def _on_submit(
        self, peer_id: str, request: messages.SubmitRequest
    ) -> messages.SubmitResponse:
        if not self._replica.is_leader:
            return messages.SubmitResponse(False, "not the leader")
        deadline = self._clock() + FORWARD_TIMEOUT_S
        outcome = await self._commit(request.command, deadline)
        if isinstance(outcome, result.Err):
            error = outcome.err_value
            if isinstance(error, _Superseded):
                return messages.SubmitResponse(False, "superseded", error.index)
            return messages.SubmitResponse(False, error)
        return messages.SubmitResponse(True, "")

    async def _on_read(
        self, peer_id: str, request: messages.ReadRequest
    ) -> messages.ReadResponse:
        if not self._replica.is_leader:
            return messages.ReadResponse(None)
        outcome = await self._read_locally()
        return messages.ReadResponse(
            outcome.ok_value if isinstance(outcome, result.Ok) else None
        )

    def _on_poll(
        self, peer_id: str, request: messages.PollRequest
    ) -> PollReply | Awaitable[PollReply]:
        if self.is_leader or self._other_leader_id() is not None:
            return self._reply(peer_id, request)
        return self._reply_when_leader_known(peer_id, request)

    async def _reply_when_leader_known(
        self, peer_id: str, request: messages.PollRequest
    ) -> PollReply:
        # After a loss of all control instances, every entry instance polls before a
        # leader is elected. Delaying the answer saves them rounds of retries.
        if request.is_entry:
            # Lookups are answered from these heartbeats until a leader is known.
            self.fleet.record_entry_heartbeat(request, self._clock())
        wait_until = self._clock() + ELECTION_WAIT_S
        while self._clock() < wait_until:
            await asyncio.sleep(ELECTION_CHECK_INTERVAL_S)
            if self.is_leader or self._other_leader_id() is not None:
                break
        return self._reply(peer_id, request)

    def _reply(self, peer_id: str, request: messages.PollRequest) -> PollReply:
        now = self._clock()
        if not self.is_leader:
            if request.is_entry:
                self.fleet.record_entry_heartbeat(request, now)
            return messages.PollRefusal(self._other_leader_id() or "")
        self._ensure_leadership_begun(now)
        leader_polling.set_address_from_id(self._links, peer_id)
        self._last_polls_by_id[peer_id] = request
        record_heartbeat = (
            self.fleet.record_entry_heartbeat
            if request.is_entry
            else self.fleet.record_control_heartbeat
        )
        if record_heartbeat(request, now):
            self._has_unnoticed_change = True
            self._notify_of_instances(now)
        if request.is_entry:
            self.leases.grant(
                request.instance_id, request.state_index, self._state.index, now
            )
            self._leases_changed.set()
        return self._build_answer(request, now)

    def _on_state_applied(self, peer_id: str, message: messages.StateApplied) -> None:
        self.leases.record_applied(peer_id, message.state_index)
        self._leases_changed.set()

    def _other_leader_id(self) -> str | None:
        leader_id = self._replica.leader_id
        return None if leader_id == self._instance_id else leader_id

    def _build_answer(
        self, request: messages.PollRequest, now: float
    ) -> messages.PollResponse:
        term = self._replica.core.term
        fleet = self.fleet
        is_same_term = request.term == term
        has_instances = (
            is_same_term and request.instances_version == fleet.instances_version
        )
        needs_endpoints, changes = self._endpoints_for(request, is_same_term)
        read_at = fleet.endpoints_read_at
        return messages.PollResponse(
            term=term,
            state_index=self._state.index,
            state=self._state_for(request),
            endpoints_version=fleet.endpoints_version,
            endpoints=None,
            endpoints_age_ms=-1 if read_at is None else round((now - read_at) * 1000),
            instances_version=fleet.instances_version,
            instances=None,
            control_ids=tuple(
                m.instance_id for m in self._replica.core.members.members
            ),
            poll_interval_ms=round(self._poll_interval_s() * 1000),
            dispatchers=() if has_instances else fleet.dispatchers,
            endpoint_changes=changes,
            entry_count=len(fleet.instances),
            compressed_endpoints=(
                self._compress_endpoints() if needs_endpoints else b""
            ),
            compressed_instances=(
                b"" if has_instances else self._compress_instances(request)
            ),
        )

    def _compress_endpoints(self) -> bytes:
        return self._compressed_lists.get(
            messages.EndpointList,
            self.fleet.endpoints_reading,
            lambda: messages.EndpointList(self.fleet.endpoints),
        )

    def _compress_instances(self, request: messages.PollRequest) -> bytes:
        region_id = request.region_id if request.is_entry else None
        return self._compressed_lists.get(
            (messages.InstanceList, region_id),
            self.fleet.instances_version,
            lambda: messages.InstanceList(
                _visible_instances(self.fleet.instances, region_id)
            ),
        )

    def _state_for(self, request: messages.PollRequest) -> messages.StateUpdate | None:
        if request.state_index >= self._state.index:
            return None
        state = self._state.message()
        content = b""
        if request.revision != state.revision:
            content = self._compress_routes(state)
        return messages.StateUpdate(state.revision, content, state.evacuated_domains)

    def _compress_routes(self, state: messages.StateSnapshot) -> bytes:
        revision, content = self._compressed_routes
        if revision != state.revision:
            content = zlib.compress(state.content)
            self._compressed_routes = (state.revision, content)
        return content

    def _endpoints_for(
        self, request: messages.PollRequest, is_same_term: bool
    ) -> tuple[bool, messages.EndpointChanges | None]:
        """Return whether the whole list is needed, or the changes that suffice."""
        fleet = self.fleet
        if fleet.endpoints_read_at is None:
            return False, None
        if is_same_term and request.endpoints_version == fleet.endpoints_version:
            return False, None
        changes = None
        if is_same_term:
            changes = fleet.endpoint_changes(request.endpoints_version)
        return changes is None, changes

    def _poll_interval_s(self) -> float:
        followers = len(self.fleet.instances) + len(self._replica.core.members.members)
        return max(POLL_INTERVAL_S, followers / MAX_POLLS_PER_S)

    def _ensure_leadership_begun(self, now: float) -> None:
        term = self._replica.core.term
        if self._leadership_term != term:
            self._leadership_term = term
            self.fleet.begin_leadership(self._instance_id, now)
            self.leases.begin_leadership(self._state.index, now)
            self._last_polls_by_id.clear()
            self._compressed_lists.clear()
            # The followers still poll the leader before, or search one.
            self._has_unnoticed_change = True

    def _notify_of_instances(self, now: float) -> None:
        """Ask every follower to poll if instances or dispatchers have changed."""
        dispatchers = self.fleet.dispatchers
        is_due = (
            now - self._noticed_at >= INSTANCE_NOTICE_INTERVAL_S
            # Requests wait for a dispatcher that is gone.
            or dispatchers != self._noticed_dispatchers
        )
        if not self._has_unnoticed_change or not is_due:
            return
        self._has_unnoticed_change = False
        self._noticed_at, self._noticed_dispatchers = now, dispatchers
        if self._leadership_term is not None:
            notice = messages.PollNotice(self._leadership_term)
            for follower_id in self._follower_ids():
                self._links.send(follower_id, notice)

    def _push_state(self) -> None:
        """Send every follower the state if it has changed.

        Most log entries of a start change the members of the group only.
        """
        if self._leadership_term is None:
            return
        current = (self._leadership_term, self._state.index)
        if current != self._pushed:
            self._pushed = current
            self._push_changes()

    def _push_changes(self) -> None:
        """Send every follower what has changed since its last poll.

        On a busy link, a poll would delay it by a round trip. A follower that has not
        polled this leader yet is asked to poll.
        """
        if self._leadership_term is None:
            return
        now = self._clock()
        for follower_id in self._follower_ids():
            message: object = messages.PollNotice(self._leadership_term)
            if follower_id in self._last_polls_by_id:
                request = self._last_polls_by_id[follower_id]
                message = self._build_answer(request, now)
            self._links.send(follower_id, message)

    def _follower_ids(self) -> list[str]:
        member_ids = [m.instance_id for m in self._replica.core.members.members]
        return [
            *(instance.instance_id for instance in self.fleet.instances),
            *(i for i in member_ids if i != self._instance_id),
        ]

    async def _update_endpoints(self) -> None:
        # A change during the reading may be missing from the pages read before it.
        read_at = self._clock()
        known_count = len(self.fleet.endpoints_by_id)
        outcome = await self._endpoint_reader.read(known_count, read_at)
        now = self._clock()
        if isinstance(outcome, result.Err):
            if not self._has_list_read_failed:
                events.event("list.read-failed", reason=outcome.err_value)
            self._has_list_read_failed = True
            return
        if self._has_list_read_failed:
            events.event("list.read-again", endpoints=len(outcome.ok_value))
        self._has_list_read_failed = False
        if not self._replica.is_leader:
            return
        records = self._allocate(outcome.ok_value, now)
        if self.fleet.update_endpoints(records, read_at):
            self._push_changes()

    def _allocate(
        self, records: tuple[messages.EndpointRecord, ...], now: float
    ) -> tuple[messages.EndpointRecord, ...]:
        if self.fleet.endpoints_read_at is None:
            self._warm_up_until = now + ALLOCATION_WARM_UP_S
        weights = collections.Counter(i.region_id for i in self.fleet.instances)
        if now < self._warm_up_until:
            # The former allocation is unknown, and some instances may not have sent a
            # heartbeat yet, so every update allocates all endpoints again.
            return allocation.assign_serving_regions(records, {}, {}, weights)
        former = self.fleet.endpoints_by_id
        if now - self._allocated_at < ALLOCATION_INTERVAL_S:
            return allocation.assign_serving_regions(records, former, {}, {})
        self._allocated_at = now
        return allocation.assign_serving_regions(
            records, former, self.fleet.demands(), weights
        )


def _error_text(error: consensus_replica.ProposeError) -> str:
    # Operators and other instances receive this text, so it stays the same when the
    # classes are renamed.
    match error:
        case consensus_replica.NotLeader(leader_id):
            return f"NotLeader(leader_id={leader_id!r})"
        case consensus_replica.OutcomeUnknown(leader_id):
            return f"Unknown(leader_id={leader_id!r})"


def _visible_instances(
    instances: tuple[messages.EntryInstance, ...], region_id: str | None
) -> tuple[messages.EntryInstance, ...]:
    """Return the instances of one region, or of all regions if it is None."""
    if region_id is None:
        return instances
    return tuple(i for i in instances if i.region_id == region_id)


def boot_time_s() -> float:
    """Return the time since boot, including the time the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
