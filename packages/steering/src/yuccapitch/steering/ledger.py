"""Allocation of shared limits as leased shares, run by the control leader."""

from __future__ import annotations

import collections
import dataclasses
import typing
from collections.abc import Iterable, Mapping

import result

from yuccapitch.protocol import lease_messages
from yuccapitch.steering import clock_drift, fair_shares, resources

LEASE_DURATION_S = 4.0
ROTATION_INTERVAL_S = 10.0
"""Interval at which units that do not divide evenly go to other holders."""


class HolderKey(typing.NamedTuple):
    """Identity of one run of a holder process."""

    holder_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class StaleRenewal:
    """A renewal that arrived after a later one of the same holder."""

    renewal_seq: int
    seen_seq: int


@dataclasses.dataclass(frozen=True)
class LaterTerm:
    """A renewal for a later leader term than that of the ledger."""

    epoch: int
    ledger_epoch: int


@dataclasses.dataclass(frozen=True)
class LimitInForce:
    """The declared limit and the limit that holders may still be using."""

    declared: int
    in_force: int
    is_recovered: bool
    """False while shares granted in earlier terms may be unknown."""


@dataclasses.dataclass
class _Lease:
    grant_seq: int
    expires_at: float
    shares_by_resource: dict[resources.ResourceId, int]


class _ShareUse(typing.NamedTuple):
    """Units that count as outstanding until `ends_at`."""

    resource_id: resources.ResourceId
    share: int
    ends_at: float


@dataclasses.dataclass
class _Holder:
    renewal_seq: int
    leases: list[_Lease] = dataclasses.field(default_factory=list)
    past_uses: list[_ShareUse] = dataclasses.field(default_factory=list)
    demand_by_resource: dict[resources.ResourceId, int] = dataclasses.field(
        default_factory=dict
    )
    outstanding_by_resource: dict[resources.ResourceId, int] = dataclasses.field(
        default_factory=dict
    )
    recount_at: float = 0.0
    """Time of the next recount: the earliest end of a lease or of a share use."""
    expires_at: float = 0.0


class Ledger:
    """Divides limits into leased shares whose sum never exceeds the limit.

    Before an answer is sent, the leader must confirm with a quorum that its term is
    still the latest, in a round that started after the answer was created.
    """

    def __init__(
        self,
        epoch: int,
        resources_by_id: Mapping[resources.ResourceId, resources.Resource],
        now: float,
        lease_duration_s: float = LEASE_DURATION_S,
        is_first_term: bool = False,
    ) -> None:
        self.epoch = epoch
        self._is_first_term = is_first_term
        self.lease_duration_s = lease_duration_s
        self._resources_by_id = dict(resources_by_id)
        self._started_at = now
        self._grant_seq = 0
        self._holders_by_key: dict[HolderKey, _Holder] = {}
        self._outstanding_by_resource: collections.Counter[resources.ResourceId] = (
            collections.Counter()
        )

    def update_resources(
        self, resources_by_id: Mapping[resources.ResourceId, resources.Resource]
    ) -> None:
        """Replace the limits by those of a newly accepted declaration."""
        self._resources_by_id = dict(resources_by_id)
        for holder in self._holders_by_key.values():
            holder.recount_at = 0.0

    def renew(
        self, renewal: lease_messages.ShareRenewal, now: float
    ) -> result.Result[lease_messages.ShareResponse, StaleRenewal | LaterTerm]:
        """Renew the lease of a holder and return its shares."""
        if renewal.epoch > self.epoch:
            return result.Err(LaterTerm(renewal.epoch, self.epoch))
        if renewal.epoch < self.epoch:
            # The reported shares may have shrunk since the report was sent: the holder
            # applies answers of the earlier term until it has joined this one. Only
            # reports that it sends after that are used; this answer makes it join.
            return result.Ok(self._answer(renewal, 0, ()))
        self._recount_expired(now)
        key = HolderKey(renewal.holder_id, renewal.incarnation)
        holder = self._holders_by_key.get(key)
        if holder is None:
            holder = self._add_holder(key, renewal, now)
        elif renewal.renewal_seq <= holder.renewal_seq:
            return result.Err(StaleRenewal(renewal.renewal_seq, holder.renewal_seq))
        else:
            self._acknowledge(holder, renewal, now)
        holder.renewal_seq = renewal.renewal_seq
        holder.demand_by_resource = {
            resources.ResourceId(report.resource_id): report.demand
            for report in renewal.reports
        }
        self._recount(holder, now)
        answer = self._grant(key, holder, renewal, now)
        self._recount(holder, now)
        return result.Ok(answer)

    def limit_in_force(
        self, resource_id: resources.ResourceId, now: float
    ) -> LimitInForce:
        """Return the declared and the effective value of a limit."""
        self._recount_expired(now)
        return self._limit_in_force(self._resources_by_id[resource_id], now)

    def outstanding(self, resource_id: resources.ResourceId, now: float) -> int:
        """Return the total units that holders may be using."""
        self._recount_expired(now)
        return self._outstanding_by_resource[resource_id]

    def _add_holder(
        self, key: HolderKey, renewal: lease_messages.ShareRenewal, now: float
    ) -> _Holder:
        # Shares of earlier terms have expired by the end of the recovery period. If one
        # is first reported after that, the report is a delayed message.
        reported = {
            resource.resource_id: report.held
            for report in renewal.reports
            if (resource := self._resource(report)) is not None
            and self._is_recovering(resource, now)
        }
        holder = _Holder(renewal.renewal_seq)
        holder.leases.append(_Lease(0, self._expiry_time(now), reported))
        self._holders_by_key[key] = holder
        return holder

    def _acknowledge(
        self, holder: _Holder, renewal: lease_messages.ShareRenewal, now: float
    ) -> None:
        replaced = [
            lease for lease in holder.leases if lease.grant_seq < renewal.grant_seq
        ]
        holder.leases = [
            lease for lease in holder.leases if lease.grant_seq >= renewal.grant_seq
        ]
        for lease in replaced:
            for resource_id, share in lease.shares_by_resource.items():
                window_s = self._window_s(resource_id)
                if window_s > 0 and share > 0:
                    ends_at = now + window_s * clock_drift.CLOCK_DRIFT_FACTOR**2
                    holder.past_uses.append(_ShareUse(resource_id, share, ends_at))
        for lease in holder.leases:
            if lease.grant_seq == renewal.grant_seq:
                # Requests in flight can exceed a reduced share until they end.
                for report in renewal.reports:
                    resource_id = resources.ResourceId(report.resource_id)
                    lease.shares_by_resource[resource_id] = report.held

    def _grant(
        self,
        key: HolderKey,
        holder: _Holder,
        renewal: lease_messages.ShareRenewal,
        now: float,
    ) -> lease_messages.ShareResponse:
        self._grant_seq += 1
        shares_by_resource: dict[resources.ResourceId, int] = {}
        grants = []
        for report in renewal.reports:
            resource_id = resources.ResourceId(report.resource_id)
            resource = self._resource(report)
            share = 0 if resource is None else self._share(key, resource, now)
            shares_by_resource[resource_id] = share
            limit = 0
            if resource is not None:
                limit = self._limit_in_force(resource, now).in_force
            grants.append(lease_messages.ShareGrant(resource_id, share, limit))
        holder.leases.append(
            _Lease(self._grant_seq, self._expiry_time(now), shares_by_resource)
        )
        return self._answer(renewal, self._grant_seq, tuple(grants))

    def _share(self, key: HolderKey, resource: resources.Resource, now: float) -> int:
        resource_id = resource.resource_id
        own_outstanding = self._holders_by_key[key].outstanding_by_resource.get(
            resource_id, 0
        )
        total_outstanding = self._outstanding_by_resource[resource_id]
        if self._is_recovering(resource, now) and total_outstanding <= resource.limit:
            return own_outstanding
        target = self._targets_by_holder(resource, now).get(key, 0)
        if self._is_recovering(resource, now):
            return min(target, own_outstanding)
        # A share grows only by units that no holder may be using; it may always shrink.
        return min(
            target,
            max(
                own_outstanding, resource.limit - (total_outstanding - own_outstanding)
            ),
        )

    def _targets_by_holder(
        self, resource: resources.Resource, now: float
    ) -> dict[HolderKey, int]:
        demand_by_holder = {
            key: holder.demand_by_resource[resource.resource_id]
            for key, holder in self._holders_by_key.items()
            if resource.resource_id in holder.demand_by_resource
            and holder.expires_at > now
        }
        rotation = int(now / ROTATION_INTERVAL_S)
        return fair_shares.fair_shares(resource.limit, demand_by_holder, rotation)

    def _limit_in_force(self, resource: resources.Resource, now: float) -> LimitInForce:
        return LimitInForce(
            declared=resource.limit,
            in_force=max(
                resource.limit, self._outstanding_by_resource[resource.resource_id]
            ),
            is_recovered=not self._is_recovering(resource, now),
        )

    def _recount_expired(self, now: float) -> None:
        ended = [
            key
            for key, holder in self._holders_by_key.items()
            if holder.recount_at <= now
        ]
        for key in ended:
            holder = self._holders_by_key[key]
            self._recount(holder, now)
            if not holder.leases and not holder.past_uses:
                del self._holders_by_key[key]

    def _recount(self, holder: _Holder, now: float) -> None:
        uses = [use for use in holder.past_uses if use.ends_at > now]
        holder.past_uses = list(uses)
        live_leases = []
        for lease in holder.leases:
            live = [use for use in self._leased_uses(lease) if use.ends_at > now]
            if live or lease.expires_at > now:
                live_leases.append(lease)
            uses.extend(live)
        holder.leases = live_leases
        holder.expires_at = max(
            (lease.expires_at for lease in live_leases), default=0.0
        )
        ends = [use.ends_at for use in uses]
        ends += [lease.expires_at for lease in live_leases if lease.expires_at > now]
        holder.recount_at = min(ends, default=now)
        self._outstanding_by_resource.subtract(holder.outstanding_by_resource)
        holder.outstanding_by_resource = _largest_shares(uses)
        self._outstanding_by_resource.update(holder.outstanding_by_resource)

    def _leased_uses(self, lease: _Lease) -> list[_ShareUse]:
        return [
            _ShareUse(
                resource_id,
                share,
                lease.expires_at
                + self._linger_s(resource_id) * clock_drift.CLOCK_DRIFT_FACTOR,
            )
            for resource_id, share in lease.shares_by_resource.items()
            if share > 0
        ]

    def _is_recovering(self, resource: resources.Resource, now: float) -> bool:
        if self._is_first_term:
            # No earlier leader can have granted shares.
            return False
        recovery_s = (
            self.lease_duration_s + resource.linger_s
        ) * clock_drift.CLOCK_DRIFT_FACTOR**2
        return now < self._started_at + recovery_s

    def _resource(
        self, report: lease_messages.ShareReport
    ) -> resources.Resource | None:
        return self._resources_by_id.get(resources.ResourceId(report.resource_id))

    def _expiry_time(self, now: float) -> float:
        return now + self.lease_duration_s * clock_drift.CLOCK_DRIFT_FACTOR

    def _window_s(self, resource_id: resources.ResourceId) -> float:
        resource = self._resources_by_id.get(resource_id)
        return 0.0 if resource is None else resource.window_s

    def _linger_s(self, resource_id: resources.ResourceId) -> float:
        resource = self._resources_by_id.get(resource_id)
        return 0.0 if resource is None else resource.linger_s

    def _answer(
        self,
        renewal: lease_messages.ShareRenewal,
        grant_seq: int,
        grants: tuple[lease_messages.ShareGrant, ...],
    ) -> lease_messages.ShareResponse:
        return lease_messages.ShareResponse(
            holder_id=renewal.holder_id,
            incarnation=renewal.incarnation,
            renewal_seq=renewal.renewal_seq,
            epoch=self.epoch,
            grant_seq=grant_seq,
            grants=grants,
        )


def _largest_shares(uses: Iterable[_ShareUse]) -> dict[resources.ResourceId, int]:
    largest: dict[resources.ResourceId, int] = {}
    for use in uses:
        if use.share > largest.get(use.resource_id, 0):
            largest[use.resource_id] = use.share
    return largest
