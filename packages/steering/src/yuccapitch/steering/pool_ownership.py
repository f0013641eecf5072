"""Ownership of slot pools by entry instances, as recorded by the control leader.

A pool has one owner at a time. It moves to another instance only after the former
owner has acknowledged that it stopped, or after its lease has expired.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from yuccapitch.catalogue import ids
from yuccapitch.protocol import slot_messages
from yuccapitch.steering import clock_drift, owners

ADOPTED_GRANT = 0
"""Grant number of pools granted by an earlier leader and reported by their owner."""


@dataclasses.dataclass(frozen=True, order=True)
class OwnerKey:
    """One incarnation of an entry instance."""

    instance_id: ids.InstanceId
    incarnation: int


@dataclasses.dataclass
class _Ownership:
    key: OwnerKey
    expires_at: float
    first_grant: int
    """Number of the first grant with the pool; ADOPTED_GRANT if it was reported."""
    revoking_grant: int | None = None
    """Number of the first grant that no longer included the pool."""
    former_lease_ended_at: float | None = None
    """Latest end of the lease of a former owner that did not hand the pool over."""
    held: tuple[slot_messages.HeldSlot, ...] = ()

    def has_stopped(self, applied_grant: int) -> bool:
        """Return whether an owner has applied the grant that revoked its pool."""
        return self.revoking_grant is not None and applied_grant >= self.revoking_grant


@dataclasses.dataclass(frozen=True)
class _Vacancy:
    """A pool without an owner."""

    available_at: float
    former_lease_ended_at: float | None
    held: tuple[slot_messages.HeldSlot, ...] = ()
    released_at: float = 0.0


class PoolOwnership:
    """Ownership of pools during one term of the leader."""

    def __init__(
        self, now: float, lease_duration_s: float, is_first_term: bool
    ) -> None:
        self._is_first_term = is_first_term
        self._assigned_by_pool: dict[owners.Pool, OwnerKey] | None = None
        self._lease_duration_s = lease_duration_s
        # Owners from an earlier leader's term become known when they report. The
        # leases of those that do not report have expired by this time.
        self._adoption_ends_at = (
            now + lease_duration_s * clock_drift.CLOCK_DRIFT_FACTOR**2
        )
        self._regions_by_pool: dict[owners.Pool, ids.RegionId] = {}
        self._ownerships_by_pool: dict[owners.Pool, _Ownership] = {}
        self._vacancies_by_pool: dict[owners.Pool, _Vacancy] = {}
        self._locations_by_key: dict[OwnerKey, owners.Location] = {}
        self._stopping: set[OwnerKey] = set()

    def set_pools(
        self, regions_by_pool: Mapping[owners.Pool, ids.RegionId], now: float
    ) -> None:
        """Set the pools of an accepted declaration."""
        self._assigned_by_pool = None
        self._regions_by_pool = dict(regions_by_pool)
        for pool in regions_by_pool:
            if pool not in self._ownerships_by_pool:
                self._vacancies_by_pool.setdefault(pool, self._new_vacancy(now))

    def add_instance(
        self, key: OwnerKey, location: owners.Location, is_stopping: bool = False
    ) -> None:
        """Allow an instance to own pools; a stopping one only if there is no other."""
        was_stopping = key in self._stopping
        if self._locations_by_key.get(key) == location and was_stopping == is_stopping:
            return
        self._locations_by_key[key] = location
        self._stopping.discard(key)
        if is_stopping:
            self._stopping.add(key)
        self._assigned_by_pool = None

    def remove_instance(self, key: OwnerKey) -> None:
        """Stop granting pools to an instance and revoke those that it owns."""
        self._stopping.discard(key)
        if self._locations_by_key.pop(key, None) is not None:
            self._assigned_by_pool = None

    def expire_leases(self, now: float) -> None:
        """Vacate the pools of owners whose lease has expired."""
        for pool, ownership in list(self._ownerships_by_pool.items()):
            if ownership.expires_at <= now:
                del self._ownerships_by_pool[pool]
                self._vacancies_by_pool[pool] = _Vacancy(now, ownership.expires_at)

    def apply_report(
        self,
        key: OwnerKey,
        owned: Iterable[owners.Pool],
        released: Mapping[owners.Pool, tuple[slot_messages.HeldSlot, ...]],
        applied_grant: int,
        now: float,
    ) -> None:
        """Apply an instance's report of the pools it owns and has released."""
        reported = set(owned)
        for pool in reported:
            if pool not in self._ownerships_by_pool and now < self._adoption_ends_at:
                self._vacancies_by_pool.pop(pool, None)
                self._ownerships_by_pool[pool] = _Ownership(
                    key, now + self._lease_s(), ADOPTED_GRANT
                )
        for pool, ownership in list(self._ownerships_by_pool.items()):
            if ownership.key != key or pool in reported:
                continue
            if ownership.first_grant == ADOPTED_GRANT:
                # The pool was adopted from an outdated report: the instance no longer
                # lists it. It stays vacant until the lease has expired.
                del self._ownerships_by_pool[pool]
                self._vacancies_by_pool[pool] = _Vacancy(
                    ownership.expires_at, ownership.expires_at
                )
            elif ownership.has_stopped(applied_grant):
                del self._ownerships_by_pool[pool]
                self._vacancies_by_pool[pool] = _Vacancy(
                    now, None, released.get(pool, ()), now
                )

    def grant_pools(
        self, key: OwnerKey, number: int, now: float
    ) -> tuple[slot_messages.PoolGrant, ...]:
        """Return the pools that an instance owns until its lease expires.

        Vacant pools assigned to the instance are granted to it.
        """
        assignment = self._assigned_owners()
        for pool, vacancy in list(self._vacancies_by_pool.items()):
            is_assigned = assignment.get(pool) == key and pool in self._regions_by_pool
            if is_assigned and now >= vacancy.available_at:
                del self._vacancies_by_pool[pool]
                self._ownerships_by_pool[pool] = _Ownership(
                    key,
                    now + self._lease_s(),
                    number,
                    former_lease_ended_at=vacancy.former_lease_ended_at,
                    held=_subtract_age(vacancy.held, now - vacancy.released_at),
                )
        grants = []
        for pool, ownership in sorted(self._ownerships_by_pool.items()):
            if ownership.key != key:
                continue
            if assignment.get(pool) != key or ownership.revoking_grant is not None:
                ownership.revoking_grant = ownership.revoking_grant or number
                continue
            ownership.expires_at = now + self._lease_s()
            grants.append(_grant_message(pool, ownership, now))
        return tuple(grants)

    def owners_by_pool(self) -> dict[owners.Pool, ids.InstanceId]:
        """Return the current owner of each pool that has one."""
        return {
            pool: ownership.key.instance_id
            for pool, ownership in self._ownerships_by_pool.items()
            if ownership.revoking_grant is None
        }

    def _new_vacancy(self, now: float) -> _Vacancy:
        if self._is_first_term:
            return _Vacancy(now, None)
        # Until the adoption period ends, the pool may have an owner from an earlier
        # leader's term that has not reported yet.
        return _Vacancy(max(now, self._adoption_ends_at), self._adoption_ends_at)

    def _assigned_owners(self) -> dict[owners.Pool, OwnerKey]:
        if self._assigned_by_pool is None:
            self._assigned_by_pool = self._assign()
        return self._assigned_by_pool

    def _assign(self) -> dict[owners.Pool, OwnerKey]:
        keys = sorted(self._locations_by_key)
        staying = [key for key in keys if key not in self._stopping]
        return self._assign_among(keys) | self._assign_among(staying)

    def _assign_among(self, keys: Sequence[OwnerKey]) -> dict[owners.Pool, OwnerKey]:
        keys_by_id = {key.instance_id: key for key in keys}
        locations_by_id = {
            instance_id: self._locations_by_key[key]
            for instance_id, key in keys_by_id.items()
        }
        assigned = owners.assign_pools(self._regions_by_pool, locations_by_id)
        return {pool: keys_by_id[owner] for pool, owner in assigned.items()}

    def _lease_s(self) -> float:
        return self._lease_duration_s * clock_drift.CLOCK_DRIFT_FACTOR


def _subtract_age(
    held: Sequence[slot_messages.HeldSlot], age_s: float
) -> tuple[slot_messages.HeldSlot, ...]:
    age_ms = int(age_s * 1000)
    return tuple(
        dataclasses.replace(slot, remaining_ms=slot.remaining_ms - age_ms)
        for slot in held
        if slot.remaining_ms > age_ms
    )


def _grant_message(
    pool: owners.Pool, ownership: _Ownership, now: float
) -> slot_messages.PoolGrant:
    expired_ms_ago = None
    if ownership.former_lease_ended_at is not None:
        expired_ms_ago = int((now - ownership.former_lease_ended_at) * 1000)
    return slot_messages.PoolGrant(
        pool.service,
        pool.failure_domain,
        ownership.first_grant,
        expired_ms_ago,
        ownership.held,
    )
