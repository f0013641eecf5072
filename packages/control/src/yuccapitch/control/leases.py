"""Configuration leases: the leader's record of the version each instance uses."""

from __future__ import annotations

import dataclasses

import pydantic
import result

from yuccapitch.catalogue import (
    api,
    claim_holders,
    ids,
    loading,
    model,
    state as catalogue_state,
)
from yuccapitch.protocol import node_messages, slot_messages
from yuccapitch.steering import clock_drift, ledger, owners, pool_ownership, resources

SEQUENCE_NUMBERS_PER_TERM = 2**32
_HOLDER_LISTS = pydantic.TypeAdapter(tuple[claim_holders.HolderList, ...])


@dataclasses.dataclass
class _Holder:
    instance: node_messages.LiveInstance
    version: ids.Version
    """Latest version that the holder acknowledged."""
    sequence: int
    live_sequence: int
    """Number of the latest list of live instances that the holder acknowledged."""
    stopping_since: int | None
    """Number of the first list that marks the holder as stopping."""
    expires_at_by_version: dict[ids.Version, float]
    """When the last lease on each version expires.

    Versions older than the acknowledged one are dropped.
    """

    @property
    def expires_at(self) -> float:
        """Return when the last granted lease expires."""
        return max(self.expires_at_by_version.values())

    def supersedes(self, request: node_messages.LeaseRequest) -> bool:
        """Return whether this request or a later one was already answered."""
        return (self.instance.incarnation, self.sequence) >= (
            request.incarnation,
            request.sequence,
        )

    def may_use_older_than(self, version: ids.Version, now: float) -> bool:
        """Return whether the holder may use a version older than the given one."""
        return self.version < version and any(
            granted < version and now < expires_at
            for granted, expires_at in self.expires_at_by_version.items()
        )


@dataclasses.dataclass(frozen=True)
class LeaseRefused:
    """Reason why no lease is granted."""

    reason: str


class TermLeases:
    """Leases granted by one leader in one term.

    A lease starts for its holder when the request is sent and for the leader when it is
    granted, so the holder stops using it first. Leases of earlier leaders may be in use
    by unknown holders until the longest possible lease of an earlier term has expired.
    """

    def __init__(
        self,
        term: int,
        state: catalogue_state.CatalogueState,
        now: float,
        lease_duration_s: float,
    ) -> None:
        self.term = term
        self._state = state
        self._lease_duration_s = lease_duration_s
        self._earlier_leases_expire_at = (
            now + lease_duration_s * clock_drift.CLOCK_DRIFT_FACTOR**2
        )
        self._holders_by_id: dict[ids.InstanceId, _Holder] = {}
        self._live_sequence = 1
        self._grant_number = 0
        self._owners_by_pool: dict[owners.Pool, ids.InstanceId] = {}
        self._ledger = ledger.Ledger(
            term,
            self._resources_by_id(),
            now,
            lease_duration_s,
            is_first_term=state.version == 0,
        )
        self._ownership = pool_ownership.PoolOwnership(
            now, lease_duration_s, is_first_term=state.version == 0
        )
        self._ownership.set_pools(self._regions_by_pool(), now)

    def apply_new_version(self, now: float) -> None:
        """Apply the limits and pools of a newly accepted version."""
        self._ledger.update_resources(self._resources_by_id())
        self._ownership.set_pools(self._regions_by_pool(), now)
        self._live_sequence += 1

    def renew(
        self, request: node_messages.LeaseRequest, now: float
    ) -> result.Result[node_messages.LeaseGrant, LeaseRefused]:
        """Grant a lease on the current version."""
        instance_id = ids.InstanceId(request.instance_id)
        if not self._is_declared(instance_id):
            reason = f"the catalogue declares no entry instance {instance_id!r}"
            return result.Err(LeaseRefused(reason))
        known = self._holders_by_id.get(instance_id)
        if known is not None and known.supersedes(request):
            return result.Err(LeaseRefused("a later request has overtaken this one"))
        self._expire_leases(now)
        self._record_holder(instance_id, request, now)
        self._grant_number += 1
        pools = self._renew_pools(request, now)
        has_version = request.version == self._state.version
        has_live_list = request.live_sequence == self.live_sequence
        shares = None
        if request.shares is not None:
            renewed = self._ledger.renew(request.shares, now)
            shares = renewed.ok() if isinstance(renewed, result.Ok) else None
        grant = node_messages.LeaseGrant(
            term=self.term,
            version=self._state.version,
            duration_s=self._lease_duration_s,
            declaration=None if has_version else self._declaration_bytes(),
            holder_lists=None if has_version else self._holder_list_bytes(),
            live_sequence=self.live_sequence,
            live_instances=None if has_live_list else self._live_instances(),
            shares=shares,
            number=self._grant_number,
            pools=pools,
            pool_owners=None if has_live_list else self._pool_owners(),
            is_stop_propagated=self._is_stop_propagated(instance_id, now),
        )
        return result.Ok(grant)

    @property
    def live_sequence(self) -> int:
        """Version number of the list of live instances and pool owners."""
        # Unique across terms, so that no holder keeps a list of an earlier leader.
        return self.term * SEQUENCE_NUMBERS_PER_TERM + self._live_sequence

    def statuses(self, now: float) -> tuple[api.LeaseHolderStatus, ...]:
        """Return each holder's version and remaining lease time."""
        return tuple(
            api.LeaseHolderStatus(
                instance_id=instance_id,
                version=holder.version,
                lease_left_ms=max(0, round((holder.expires_at - now) * 1000)),
            )
            for instance_id, holder in sorted(self._holders_by_id.items())
        )

    def in_force(self, version: ids.Version, now: float) -> api.InForceBody:
        """Return whether no instance may still use an older version."""
        lagging = {
            instance_id
            for instance_id, holder in self._holders_by_id.items()
            if holder.may_use_older_than(version, now)
        }
        if now < self._earlier_leases_expire_at:
            lagging |= self._entry_ids() - set(self._holders_by_id)
        is_accepted = version <= self._state.version
        return api.InForceBody(
            version=version,
            everywhere=is_accepted and not lagging,
            lagging=tuple(sorted(lagging)),
        )

    def live_holder_ids(self, now: float) -> tuple[ids.InstanceId, ...]:
        """Return the holders whose leases have not expired."""
        return tuple(
            instance_id
            for instance_id, holder in self._holders_by_id.items()
            if now < holder.expires_at
        )

    def _record_holder(
        self,
        instance_id: ids.InstanceId,
        request: node_messages.LeaseRequest,
        now: float,
    ) -> None:
        instance = node_messages.LiveInstance(
            instance_id=request.instance_id,
            incarnation=request.incarnation,
            http_host=request.http_host,
            http_port=request.http_port,
            inner_host=request.inner_host,
            inner_port=request.inner_port,
            failure_domain=request.failure_domain,
            is_ready=request.is_ready,
            is_stopping=request.is_stopping,
        )
        known = self._holders_by_id.get(instance_id)
        if known is None or known.instance != instance:
            self._live_sequence += 1
        expires_at = now + self._lease_duration_s * clock_drift.CLOCK_DRIFT_FACTOR
        expires_at_by_version = {} if known is None else known.expires_at_by_version
        expires_at_by_version = {
            version: expires_at
            for version, expires_at in expires_at_by_version.items()
            if version >= request.version
        }
        expires_at_by_version[self._state.version] = expires_at
        self._holders_by_id[instance_id] = _Holder(
            instance,
            ids.Version(request.version),
            request.sequence,
            request.live_sequence,
            self._stopping_since(known, request),
            expires_at_by_version,
        )

    def _stopping_since(
        self, known: _Holder | None, request: node_messages.LeaseRequest
    ) -> int | None:
        if not request.is_stopping:
            return None
        if known is not None and known.stopping_since is not None:
            return known.stopping_since
        return self.live_sequence

    def _is_stop_propagated(self, instance_id: ids.InstanceId, now: float) -> bool:
        stopping_since = self._holders_by_id[instance_id].stopping_since
        # Holders of leases from earlier terms may still be unknown and may not have
        # learned of the stop.
        if stopping_since is None or now < self._earlier_leases_expire_at:
            return False
        return all(
            other.live_sequence >= stopping_since or other.expires_at <= now
            for other_id, other in self._holders_by_id.items()
            if other_id != instance_id
        )

    def _expire_leases(self, now: float) -> None:
        expired_ids = [
            instance_id
            for instance_id, holder in self._holders_by_id.items()
            if holder.expires_at <= now
        ]
        for instance_id in expired_ids:
            instance = self._holders_by_id.pop(instance_id).instance
            key = pool_ownership.OwnerKey(instance_id, instance.incarnation)
            self._ownership.remove_instance(key)
            self._live_sequence += 1

    def _renew_pools(
        self, request: node_messages.LeaseRequest, now: float
    ) -> tuple[slot_messages.PoolGrant, ...]:
        key = pool_ownership.OwnerKey(
            ids.InstanceId(request.instance_id), request.incarnation
        )
        self._ownership.expire_leases(now)
        released = {
            _pool(report): report.held
            for report in request.pools
            if not report.is_owned
        }
        owned = [_pool(report) for report in request.pools if report.is_owned]
        is_same_term = request.applied_term == self.term
        applied_grant = request.applied_grant if is_same_term else 0
        self._ownership.apply_report(key, owned, released, applied_grant, now)
        location = self._location(request.failure_domain)
        if location is None:
            self._ownership.remove_instance(key)
        else:
            self._ownership.add_instance(key, location, request.is_stopping)
        grants = self._ownership.grant_pools(key, self._grant_number, now)
        owners_by_pool = self._ownership.owners_by_pool()
        if owners_by_pool != self._owners_by_pool:
            self._owners_by_pool = owners_by_pool
            self._live_sequence += 1
        return grants

    def _location(self, failure_domain: str) -> owners.Location | None:
        if self._state.declaration is None:
            return None
        domain_id = ids.FailureDomainId(failure_domain)
        domain = self._state.declaration.failure_domains_by_id.get(domain_id)
        return None if domain is None else owners.Location(domain.region, domain_id)

    def _regions_by_pool(self) -> dict[owners.Pool, ids.RegionId]:
        declaration = self._state.declaration
        if declaration is None:
            return {}
        return {
            owners.Pool(endpoint.service, endpoint.failure_domain): (
                declaration.failure_domains_by_id[endpoint.failure_domain].region
            )
            for endpoint in declaration.endpoints_by_id.values()
        }

    def _pool_owners(self) -> tuple[slot_messages.PoolOwner, ...]:
        return tuple(
            slot_messages.PoolOwner(pool.service, pool.failure_domain, owner)
            for pool, owner in sorted(self._owners_by_pool.items())
        )

    def _live_instances(self) -> tuple[node_messages.LiveInstance, ...]:
        return tuple(
            holder.instance for _, holder in sorted(self._holders_by_id.items())
        )

    def _is_declared(self, instance_id: ids.InstanceId) -> bool:
        return self._state.declaration is None or instance_id in self._entry_ids()

    def _entry_ids(self) -> set[ids.InstanceId]:
        if self._state.declaration is None:
            return set()
        return {
            instance_id
            for instance_id, instance in self._state.declaration.instances_by_id.items()
            if model.Role.ENTRY in instance.roles
        }

    def _resources_by_id(self) -> dict[resources.ResourceId, resources.Resource]:
        if self._state.declaration is None:
            return {}
        return resources.resources_by_id(self._state.declaration)

    def _declaration_bytes(self) -> bytes | None:
        if self._state.declaration is None:
            return None
        return loading.canonical_bytes(self._state.declaration)

    def _holder_list_bytes(self) -> bytes:
        return _HOLDER_LISTS.dump_json(self._state.holder_lists)


def _pool(report: slot_messages.PoolReport) -> owners.Pool:
    return owners.Pool(
        ids.ServiceId(report.service), ids.FailureDomainId(report.failure_domain)
    )


def parse_holder_lists(data: bytes) -> tuple[claim_holders.HolderList, ...]:
    """Parse the holder lists of a lease grant."""
    return _HOLDER_LISTS.validate_json(data)
