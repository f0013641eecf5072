"""Client of the configuration lease, used by entry instances."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Callable, Sequence

import reactivex
import result
from reactivex import subject

from yuccapitch.catalogue import claim_holders, ids, model
from yuccapitch.control import leases
from yuccapitch.protocol import (
    events,
    lease_messages,
    link,
    node_messages,
    peers as inner_peers,
    slot_messages,
)
from yuccapitch.steering import owners

RETRY_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Configuration that an entry instance uses while its lease is valid."""

    version: ids.Version
    declaration: model.Declaration | None
    holder_lists: tuple[claim_holders.HolderList, ...]
    live_by_id: dict[ids.InstanceId, node_messages.LiveInstance]
    owners_by_pool: dict[owners.Pool, ids.InstanceId]


EMPTY_CONFIGURATION = Configuration(ids.Version(0), None, (), {}, {})


@dataclasses.dataclass(frozen=True)
class InstanceDescription:
    """Identity and addresses that an instance sends with each lease request."""

    instance_id: str
    incarnation: int
    failure_domain: str
    http: inner_peers.Address
    inner: inner_peers.Address


@dataclasses.dataclass(frozen=True)
class PoolGrants:
    """Pools that this instance owns under a lease grant."""

    term: int
    grants: tuple[slot_messages.PoolGrant, ...]
    lease_until: float


class LeaseClient:
    """Renews the lease and publishes each new configuration."""

    def __init__(
        self,
        own: InstanceDescription,
        control_ids: Sequence[str],
        links: inner_peers.Peers,
        renew_interval_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._own = own
        self._control_ids = tuple(control_ids)
        self._links = links
        self._renew_interval_s = renew_interval_s
        self._clock = clock
        self._rng = rng
        self._leader_id = self._control_ids[0]
        self._live_sequence = 0
        self._sequence = 0
        self._applied_grant = 0
        self._term = 0
        self._wake = asyncio.Event()
        self._configurations: subject.BehaviorSubject[Configuration]
        self._configurations = subject.BehaviorSubject(EMPTY_CONFIGURATION)
        self.configuration = EMPTY_CONFIGURATION
        self.lease_until = float("-inf")
        self.is_ready = False
        self.is_stopping = False
        self.is_stop_propagated = False
        self.in_flight: Callable[[], int] = lambda: 0
        self.build_share_renewal: Callable[[float], lease_messages.ShareRenewal | None]
        self.build_share_renewal = lambda now: None
        self.apply_share_answer: Callable[[lease_messages.ShareResponse, float], bool]
        self.apply_share_answer = lambda answer, now: False
        self.build_pool_reports: Callable[[float], tuple[slot_messages.PoolReport, ...]]
        self.build_pool_reports = lambda now: ()
        self.apply_pool_grants: Callable[[PoolGrants], bool] = lambda grants: False
        links.handle(node_messages.RenewalNotice, self._on_notice)

    @property
    def configurations(self) -> reactivex.Observable[Configuration]:
        """The current configuration and each later one as it is applied."""
        return self._configurations

    def is_leased(self, now: float) -> bool:
        """Return whether the instance may accept new requests."""
        return now < self.lease_until and self.configuration.version > 0

    def wake(self) -> None:
        """Renew the lease without waiting for the interval."""
        self._wake.set()

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        was_leased = False
        while True:
            self._wake.clear()
            renewed = await self._renew()
            is_leased = self.is_leased(self._clock())
            if was_leased and not is_leased:
                events.event("entry.lease-lapsed", version=self.configuration.version)
            if is_leased and not was_leased:
                events.event("entry.lease-granted", version=self.configuration.version)
            was_leased = is_leased
            delay_s = self._renew_interval_s if renewed else RETRY_DELAY_S
            try:
                async with asyncio.timeout(delay_s * self._rng.uniform(0.9, 1.0)):
                    await self._wake.wait()
            except TimeoutError:
                # The interval has passed without an early wake-up.
                continue

    async def _renew(self) -> bool:
        sent_at = self._clock()
        reply = await self._links.request(
            self._leader_id, self._build_request(sent_at), self._renew_interval_s
        )
        match reply:
            case result.Ok(node_messages.LeaseGrant() as grant):
                self._apply_grant(grant, sent_at)
                return True
            case result.Ok(node_messages.LeaseRefusal(leader_id, reason)):
                self._leader_id = self._next_leader(leader_id)
                events.event("entry.lease-refused", reason=reason)
            case result.Err(link.LinkError(fault, _)):
                self._leader_id = self._next_leader("")
                events.event("entry.lease-refused", reason=fault.value)
        return False

    def _build_request(self, now: float) -> node_messages.LeaseRequest:
        own = self._own
        self._sequence += 1
        return node_messages.LeaseRequest(
            instance_id=own.instance_id,
            incarnation=own.incarnation,
            version=self.configuration.version,
            is_ready=self.is_ready,
            is_stopping=self.is_stopping,
            http_host=own.http.host,
            http_port=own.http.port,
            inner_host=own.inner.host,
            inner_port=own.inner.port,
            failure_domain=own.failure_domain,
            in_flight=self.in_flight(),
            live_sequence=self._live_sequence,
            shares=self.build_share_renewal(now),
            sequence=self._sequence,
            applied_term=self._term,
            applied_grant=self._applied_grant,
            pools=self.build_pool_reports(now),
        )

    def _apply_grant(self, grant: node_messages.LeaseGrant, sent_at: float) -> None:
        current = self.configuration
        if grant.version < current.version:
            # A confirmed leader has every accepted version, so no grant is older.
            raise AssertionError(
                f"lease granted on version {grant.version},"
                f" older than the applied version {current.version}"
            )
        if grant.term < self._term:
            return
        if grant.term > self._term:
            self._term = grant.term
            self._applied_grant = 0
        if grant.number <= self._applied_grant:
            return
        self._applied_grant = grant.number
        changed = grant.version > current.version or grant.live_instances is not None
        if grant.version > current.version:
            assert grant.declaration is not None and grant.holder_lists is not None
            current = dataclasses.replace(
                current,
                version=ids.Version(grant.version),
                declaration=model.Declaration.model_validate_json(grant.declaration),
                holder_lists=leases.parse_holder_lists(grant.holder_lists),
            )
        if grant.live_instances is not None:
            live_by_id = {
                ids.InstanceId(live.instance_id): live for live in grant.live_instances
            }
            current = dataclasses.replace(
                current,
                live_by_id=live_by_id,
                owners_by_pool=_owners_by_pool(grant.pool_owners or ()),
            )
            self._live_sequence = grant.live_sequence
        if changed:
            is_new_version = current.version > self.configuration.version
            self._publish(current)
            if is_new_version:
                # The next request acknowledges the version. Without waiting for it, the
                # leader can report the version as in force earlier.
                self.wake()
        self.is_stop_propagated = grant.is_stop_propagated
        self.lease_until = max(self.lease_until, sent_at + grant.duration_s)
        if grant.shares is not None and self.apply_share_answer(grant.shares, sent_at):
            self.wake()
        grants = PoolGrants(grant.term, grant.pools, self.lease_until)
        if self.apply_pool_grants(grants):
            self.wake()

    def _publish(self, configuration: Configuration) -> None:
        self.configuration = configuration
        for instance_id, live in configuration.live_by_id.items():
            if instance_id != self._own.instance_id:
                address = inner_peers.Address(live.inner_host, live.inner_port)
                self._links.set_address(instance_id, address)
        events.event(
            "entry.version-applied",
            version=configuration.version,
            live=len(configuration.live_by_id),
        )
        self._configurations.on_next(configuration)

    def _next_leader(self, hint: str) -> str:
        if hint in self._control_ids:
            return hint
        position = self._control_ids.index(self._leader_id)
        return self._control_ids[(position + 1) % len(self._control_ids)]

    def _on_notice(self, peer_id: str, notice: node_messages.RenewalNotice) -> None:
        if (
            notice.version > self.configuration.version
            or notice.live_sequence > self._live_sequence
        ):
            self.wake()


def _owners_by_pool(
    messages: Sequence[slot_messages.PoolOwner],
) -> dict[owners.Pool, ids.InstanceId]:
    return {
        owners.Pool(
            ids.ServiceId(message.service), ids.FailureDomainId(message.failure_domain)
        ): ids.InstanceId(message.instance_id)
        for message in messages
    }
