"""Holder side of leased shares."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Mapping

import result

from yuccapitch.protocol import lease_messages
from yuccapitch.steering import ledger, resources

DEMAND_HALF_LIFE_S = 2.0


@dataclasses.dataclass(frozen=True)
class Usage:
    """Units of one resource that a holder uses and demands."""

    demand: int
    in_use: int = 0


class AppliedChange(enum.Enum):
    """Change that an applied answer made."""

    SHARES = "shares"
    REDUCED = "reduced"
    """A share shrank; the holder should renew at once to release units to others."""
    EPOCH = "epoch"
    """A new leader term began; the holder should renew again at once."""


class IgnoreReason(enum.Enum):
    """Reason why an answer was not applied."""

    OTHER_HOLDER = "other-holder"
    EARLIER_TERM = "earlier-term"
    UNKNOWN_RENEWAL = "unknown-renewal"
    OLDER_GRANT = "older-grant"
    LAPSED = "lapsed"


class ShareHolder:
    """Shares of one holder by resource, usable until the lease expires."""

    def __init__(
        self,
        holder_id: str,
        incarnation: int,
        lease_duration_s: float = ledger.LEASE_DURATION_S,
    ) -> None:
        self.holder_id = holder_id
        self.incarnation = incarnation
        self.lease_duration_s = lease_duration_s
        self.epoch = 0
        self.expires_at = 0.0
        self._renewal_seq = 0
        self._grant_seq = 0
        self._grants_by_resource: dict[
            resources.ResourceId, lease_messages.ShareGrant
        ] = {}
        self._sent_at_by_seq: dict[int, float] = {}

    def next_renewal(
        self, usage_by_resource: Mapping[resources.ResourceId, Usage], now: float
    ) -> lease_messages.ShareRenewal:
        """Return the next renewal, to be sent at once; its lease starts now."""
        self._renewal_seq += 1
        self._drop_expired_renewals(now)
        self._sent_at_by_seq[self._renewal_seq] = now
        resource_ids = sorted({*usage_by_resource, *self._grants_by_resource})
        return lease_messages.ShareRenewal(
            holder_id=self.holder_id,
            incarnation=self.incarnation,
            renewal_seq=self._renewal_seq,
            epoch=self.epoch,
            grant_seq=self._grant_seq,
            reports=tuple(
                self._report(resource_id, usage_by_resource.get(resource_id), now)
                for resource_id in resource_ids
            ),
        )

    def apply(
        self, answer: lease_messages.ShareResponse, now: float
    ) -> result.Result[AppliedChange, IgnoreReason]:
        """Apply an answer unless a later grant or term has superseded it."""
        if (answer.holder_id, answer.incarnation) != (
            self.holder_id,
            self.incarnation,
        ):
            return result.Err(IgnoreReason.OTHER_HOLDER)
        if answer.epoch < self.epoch:
            return result.Err(IgnoreReason.EARLIER_TERM)
        if answer.epoch > self.epoch:
            # The shares stay usable until they expire. The next renewal reports them to
            # the new leader. They cannot change before that, because answers of earlier
            # terms are ignored from now on.
            self.epoch = answer.epoch
            self._grant_seq = 0
            return result.Ok(AppliedChange.EPOCH)
        if answer.grant_seq <= self._grant_seq:
            return result.Err(IgnoreReason.OLDER_GRANT)
        sent_at = self._sent_at_by_seq.get(answer.renewal_seq)
        if sent_at is None:
            return result.Err(IgnoreReason.UNKNOWN_RENEWAL)
        if sent_at + self.lease_duration_s <= now:
            return result.Err(IgnoreReason.LAPSED)
        self._grant_seq = answer.grant_seq
        self.expires_at = sent_at + self.lease_duration_s
        granted = {
            resources.ResourceId(grant.resource_id): grant for grant in answer.grants
        }
        is_reduced = any(
            resource_id not in granted or granted[resource_id].share < held.share
            for resource_id, held in self._grants_by_resource.items()
        )
        self._grants_by_resource = granted
        return result.Ok(AppliedChange.REDUCED if is_reduced else AppliedChange.SHARES)

    def share(self, resource_id: resources.ResourceId, now: float) -> int:
        """Return the units of the resource that may be used now."""
        grant = self._grants_by_resource.get(resource_id)
        if grant is None or now >= self.expires_at:
            return 0
        return grant.share

    def limit(self, resource_id: resources.ResourceId) -> int | None:
        """Return the effective limit in the last applied grant."""
        grant = self._grants_by_resource.get(resource_id)
        return None if grant is None else grant.limit

    def _report(
        self, resource_id: resources.ResourceId, usage: Usage | None, now: float
    ) -> lease_messages.ShareReport:
        known_usage = usage or Usage(demand=0)
        held = max(self.share(resource_id, now), known_usage.in_use)
        demand = max(known_usage.demand, known_usage.in_use)
        return lease_messages.ShareReport(resource_id, held, demand)

    def _drop_expired_renewals(self, now: float) -> None:
        self._sent_at_by_seq = {
            seq: sent_at
            for seq, sent_at in self._sent_at_by_seq.items()
            if sent_at + self.lease_duration_s > now
        }


class DemandEstimate:
    """Peak of the recent demand, with exponential decay."""

    def __init__(self, half_life_s: float = DEMAND_HALF_LIFE_S) -> None:
        self._half_life_s = half_life_s
        self._peak = 0.0
        self._peak_at = 0.0

    def observe(self, units: int, now: float) -> None:
        """Record the units that were used or refused now."""
        self._peak = max(float(units), self.value(now))
        self._peak_at = now

    def value(self, now: float) -> float:
        """Return the estimated demand at the given time."""
        age_s = max(0.0, now - self._peak_at)
        return self._peak * math.pow(0.5, age_s / self._half_life_s)
