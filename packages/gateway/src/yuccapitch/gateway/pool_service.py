"""Slot pools that this instance owns, and the directory of all pools."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import random
from collections.abc import Callable, Iterable

import result

from yuccapitch.catalogue import ids, model
from yuccapitch.control import lease_client
from yuccapitch.gateway import config_view
from yuccapitch.protocol import slot_messages
from yuccapitch.steering import (
    health,
    owners,
    pool as pool_module,
    pool_choice,
    pool_directory,
    pool_moves,
    pool_ownership,
    queue,
    slots,
)

TICK_INTERVAL_S = 0.05
REVOKED_POOL_DRAIN_S = 1.0
"""Maximum time for which a revoked pool is kept for its running requests to end."""
RELEASE_REPORT_DURATION_S = 10.0
"""Time for which the slots still held in a released pool are reported."""
DEFAULT_DELAY_S = 0.1
"""One-way delay assumed if this instance or the owner is not declared."""


@dataclasses.dataclass
class Slot:
    """A slot that a request holds until it is released."""

    pool: owners.Pool
    """The pool of the slot; another one than requested if the request was moved."""
    endpoint_id: ids.EndpointId
    term: int
    number: int
    deadline: float
    preempt: Callable[[], object] | None = None
    """Called when an impatient request needs the slot."""


AcquireResult = result.Result[Slot, pool_module.Refused]


@dataclasses.dataclass(frozen=True)
class _HeldSlot:
    endpoint_id: ids.EndpointId
    until: float


@dataclasses.dataclass(frozen=True)
class _ReleasedPool:
    held: tuple[_HeldSlot, ...]
    until: float
    """Time from which the release is no longer reported."""


class PoolService:
    """Grants slots of the owned pools and keeps the counts for choosing a pool."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        health_view: health.HealthView,
        is_closed: Callable[[ids.EndpointId], bool],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._instance_id = instance_id
        self._health_view = health_view
        self._is_closed = is_closed
        self._clock = clock
        self._rng = rng
        self._view: config_view.ConfigView | None = None
        self._terms = itertools.count(1)
        self._lease_until = float("-inf")
        self._pools: dict[owners.Pool, pool_module.SlotPool] = {}
        self._released_by_pool: dict[owners.Pool, _ReleasedPool] = {}
        self._futures_by_request_id: dict[str, asyncio.Future[AcquireResult]] = {}
        self._slots_by_request_id: dict[str, Slot] = {}
        self._revoked_at_by_pool: dict[owners.Pool, float] = {}
        self.directory = pool_directory.PoolDirectory(instance_id)
        self.on_pools_released: Callable[[], None] = lambda: None
        """Called when pools were released, so that the leader is notified at once."""

    @property
    def owned_pools(self) -> dict[owners.Pool, pool_module.SlotPool]:
        """Slot pools that this instance owns."""
        return self._pools

    def configure(
        self,
        view: config_view.ConfigView,
        configuration: lease_client.Configuration,
        now: float,
    ) -> None:
        """Apply a configuration or a change of the pools' owners."""
        self._view = view
        for pool, slot_pool in self._pools.items():
            self._update_endpoints(pool, slot_pool, now)
        known_pools = [
            pool_directory.KnownPool(
                pool,
                view.region_of_domain(pool.failure_domain),
                owner,
                sum(endpoint.slots for endpoint in view.pool_endpoints(pool).values()),
                self._one_way_delay_s(pool, owner),
            )
            for pool, owner in configuration.owners_by_pool.items()
            if view.pool_endpoints(pool)
        ]
        self.directory.set_pools(known_pools, now)

    def apply_grants(self, granted: lease_client.PoolGrants) -> bool:
        """Add the granted pools and revoke the others.

        Return whether pools were released, which is to be reported at once.
        """
        now = self._clock()
        self._lease_until = max(self._lease_until, granted.lease_until)
        grants_by_pool = {
            owners.Pool(
                ids.ServiceId(grant.service), ids.FailureDomainId(grant.failure_domain)
            ): grant
            for grant in granted.grants
        }
        for pool in self._pools:
            if pool not in grants_by_pool:
                self._revoked_at_by_pool.setdefault(pool, now)
        for pool, grant in grants_by_pool.items():
            if pool in self._pools:
                self._revoked_at_by_pool.pop(pool, None)
                self._pools[pool].table.renew(granted.lease_until)
            elif grant.number != pool_ownership.ADOPTED_GRANT:
                self._add_pool(pool, grant, granted.lease_until, now)
        return self._release_revoked_pools(now)

    def build_reports(self, now: float) -> tuple[slot_messages.PoolReport, ...]:
        """Return reports of the owned pools and of those released recently."""
        if now >= self._lease_until:
            # After the lease another instance may own the pools. It quarantines their
            # slots by the end of the lease, so held slots need not be reported.
            for pool in list(self._pools):
                self._release_pool(pool, now)
            self._released_by_pool.clear()
        owned = [
            slot_messages.PoolReport(pool.service, pool.failure_domain, True, ())
            for pool in self._pools
        ]
        for pool, released in list(self._released_by_pool.items()):
            if now >= released.until:
                del self._released_by_pool[pool]
                continue
            remaining = tuple(
                slot_messages.HeldSlot(
                    item.endpoint_id, int((item.until - now) * 1000) + 1
                )
                for item in released.held
                if item.until > now
            )
            owned.append(
                slot_messages.PoolReport(
                    pool.service, pool.failure_domain, False, remaining
                )
            )
        return tuple(owned)

    def find_idle_pool(
        self, service: ids.ServiceId, region: ids.RegionId, now: float
    ) -> pool_choice.PoolView | None:
        """Return an owned pool with a free slot.

        No other pool is preferable: the request is neither forwarded nor queued.
        """
        assert self._view is not None
        for pool, slot_pool in self._pools.items():
            if pool.service != service:
                continue
            if self._view.region_of_domain(pool.failure_domain) != region:
                continue
            if slot_pool.free(now) > 0:
                # Only the pool and its owner are used. The other values stand for a
                # local pool with one free slot and no waiting requests.
                return pool_choice.PoolView(
                    pool, self._instance_id, 0.0, 1, 1, 0, 0, now, now
                )
        return None

    def find_endpoint(self, slot: Slot) -> model.Endpoint | None:
        """Return the endpoint of a slot as declared now, if it still is."""
        assert self._view is not None
        return self._view.pool_endpoints(slot.pool).get(slot.endpoint_id)

    async def acquire(
        self, pool: owners.Pool, slot_request: pool_module.SlotRequest
    ) -> AcquireResult:
        """Wait until a slot is granted or refused.

        A request that waits in the queue of the pool may be moved to another owned
        pool of the same service and region.
        """
        slot_pool = self._pools.get(pool)
        if slot_pool is None:
            return result.Err(_pool_moved_refusal(slot_request))
        future: asyncio.Future[AcquireResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures_by_request_id[slot_request.request_id] = future
        self._apply_decisions(pool, slot_pool.request_slot(slot_request, self._clock()))
        try:
            return await future
        except asyncio.CancelledError:
            slot = self._slots_by_request_id.get(slot_request.request_id)
            if slot is not None:
                # The slot was granted just as the caller was cancelled.
                self.release(slot.pool, slot_request.request_id, None, 0.0)
            else:
                self._apply_decisions(
                    pool,
                    slot_pool.cancel(slot_request.request_id, self._clock()),
                )
            raise
        finally:
            self._futures_by_request_id.pop(slot_request.request_id, None)

    def release(
        self,
        pool: owners.Pool,
        request_id: str,
        outcome: health.ExchangeOutcome | None,
        service_s: float,
    ) -> None:
        """Release a slot and record the outcome of its exchange."""
        slot = self._slots_by_request_id.pop(request_id, None)
        slot_pool = self._pools.get(pool)
        if slot is None or slot_pool is None:
            return
        self._apply_decisions(
            pool,
            slot_pool.release(
                slot.term, slot.number, outcome, service_s, self._clock()
            ),
        )

    def tick(self) -> None:
        """Run the time-dependent decisions of the pools and release revoked ones."""
        now = self._clock()
        for pool, slot_pool in self._pools.items():
            is_revoked = pool in self._revoked_at_by_pool
            slot_pool.set_closed_endpoints(
                endpoint_id
                for endpoint_id in slot_pool.table.endpoint_ids
                if is_revoked or self._is_closed(endpoint_id)
            )
            self._apply_decisions(pool, slot_pool.tick(now))
        self._move_waiting(now)
        if self._release_revoked_pools(now):
            self.on_pools_released()

    def _add_pool(
        self,
        pool: owners.Pool,
        grant: slot_messages.PoolGrant,
        lease_until: float,
        now: float,
    ) -> None:
        assert self._view is not None
        table = slots.SlotTable(
            term=next(self._terms),
            lease_until=lease_until,
            longest_deadline_s=self._view.longest_deadline_s(pool.service),
        )
        slot_pool = pool_module.SlotPool(table, self._health_view, self._rng)
        self._pools[pool] = slot_pool
        self._released_by_pool.pop(pool, None)
        for endpoint_id, endpoint in self._view.pool_endpoints(pool).items():
            quarantines = self._quarantines(pool, endpoint_id, endpoint, grant, now)
            self._apply_decisions(
                pool,
                slot_pool.own_endpoint(endpoint_id, endpoint.slots, quarantines, now),
            )

    def _quarantines(
        self,
        pool: owners.Pool,
        endpoint_id: ids.EndpointId,
        endpoint: model.Endpoint,
        grant: slot_messages.PoolGrant,
        now: float,
    ) -> tuple[slots.Quarantine, ...]:
        assert self._view is not None
        if grant.expired_ms_ago is not None:
            return slots.quarantines_after_owner_loss(
                endpoint.slots,
                lease_end=now - grant.expired_ms_ago / 1000,
                longest_deadline_s=self._view.longest_deadline_s(pool.service),
            )
        return tuple(
            slots.Quarantine(1, now + held.remaining_ms / 1000)
            for held in grant.held
            if held.endpoint == endpoint_id
        )

    def _update_endpoints(
        self, pool: owners.Pool, slot_pool: pool_module.SlotPool, now: float
    ) -> None:
        assert self._view is not None
        endpoints_by_id = self._view.pool_endpoints(pool)
        for endpoint_id in set(slot_pool.table.endpoint_ids) - set(endpoints_by_id):
            slot_pool.release_endpoint(endpoint_id, now)
        for endpoint_id, endpoint in endpoints_by_id.items():
            self._apply_decisions(
                pool,
                slot_pool.own_endpoint(endpoint_id, endpoint.slots, (), now),
            )

    def _release_revoked_pools(self, now: float) -> bool:
        """Release the revoked pools that are due and return whether there were any."""
        is_any_released = False
        for pool, revoked_at in list(self._revoked_at_by_pool.items()):
            slot_pool = self._pools.get(pool)
            # The next owner must quarantine each slot that is still held until
            # its work must have ended, so requests get a short time to finish.
            is_due = (
                slot_pool is None
                or not slot_pool.running
                or now >= revoked_at + REVOKED_POOL_DRAIN_S
            )
            if is_due:
                is_any_released = True
                del self._revoked_at_by_pool[pool]
                if slot_pool is not None:
                    self._release_pool(pool, now)
        return is_any_released

    def _release_pool(self, pool: owners.Pool, now: float) -> None:
        slot_pool = self._pools.pop(pool)
        held = []
        for endpoint_id in slot_pool.table.endpoint_ids:
            for quarantine in slot_pool.release_endpoint(endpoint_id, now):
                held += [_HeldSlot(endpoint_id, quarantine.until)] * quarantine.slots
        self._released_by_pool[pool] = _ReleasedPool(
            tuple(held), now + RELEASE_REPORT_DURATION_S
        )
        # Waiting requests are refused so that they try another pool.
        for slot_request in slot_pool.pop_waiting():
            self._resolve(
                slot_request.request_id, result.Err(_pool_moved_refusal(slot_request))
            )

    def _move_waiting(self, now: float) -> None:
        """Move requests out of the queues of pools while others have free slots."""
        if self._view is None or len(self._pools) < 2:
            return
        groups: collections.defaultdict[
            tuple[ids.ServiceId, ids.RegionId],
            dict[owners.Pool, pool_module.SlotPool],
        ] = collections.defaultdict(dict)
        for pool, slot_pool in self._pools.items():
            # The failure domain of a pool without endpoints may be undeclared.
            if self._view.pool_endpoints(pool):
                region = self._view.region_of_domain(pool.failure_domain)
                groups[pool.service, region][pool] = slot_pool
        for slot_pools_by_pool in groups.values():
            for moved in pool_moves.move_waiting(slot_pools_by_pool, now):
                self._apply_decisions(moved.pool, (moved.decision,))

    def _apply_decisions(
        self, pool: owners.Pool, decisions: Iterable[pool_module.Decision]
    ) -> None:
        for decision in decisions:
            request_id = decision.request.request_id
            match decision:
                case pool_module.Granted(_, hold):
                    slot = Slot(
                        pool,
                        hold.endpoint_id,
                        hold.term,
                        hold.number,
                        hold.work_deadline,
                    )
                    self._slots_by_request_id[request_id] = slot
                    self._resolve(request_id, result.Ok(slot))
                case pool_module.Refused():
                    self._resolve(request_id, result.Err(decision))
                case pool_module.Preempted():
                    held = self._slots_by_request_id.get(request_id)
                    if held is not None and held.preempt is not None:
                        held.preempt()

    def _resolve(self, request_id: str, acquired: AcquireResult) -> None:
        future = self._futures_by_request_id.pop(request_id, None)
        if future is not None and not future.done():
            future.set_result(acquired)

    def _one_way_delay_s(self, pool: owners.Pool, owner: ids.InstanceId) -> float:
        assert self._view is not None
        if owner == self._instance_id:
            return 0.0
        local = self._view.declaration.instances_by_id.get(self._instance_id)
        remote = self._view.declaration.instances_by_id.get(owner)
        if local is None or remote is None:
            return DEFAULT_DELAY_S
        return self._view.delay_s(local.failure_domain, remote.failure_domain)


def _pool_moved_refusal(slot_request: pool_module.SlotRequest) -> pool_module.Refused:
    return pool_module.Refused(
        slot_request, queue.ShedReason.POOL_MOVED, pool_module.MIN_RETRY_AFTER_S
    )
