from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator

import pytest

from yuccapitch.catalogue import claim_holders, ids, model
from yuccapitch.gateway import claim_members, claim_service
from yuccapitch.protocol import claim_messages, link, node_messages, peers
from yuccapitch.steering import claim_attempt, claim_keys, claim_placement

STARTED_AT = 1000.0
DEFAULT_REMAINING_S = 20.0
TIMING = link.LinkTiming(heartbeat_interval_s=0.05, timeout_s=2.0)
EAST = ids.RegionId("east")
WEST = ids.RegionId("west")
DOMAINS_BY_ID = {"a": "east-1", "b": "east-2", "c": "east-1", "w": "west-1"}
UNIQUE_NUMBERS = itertools.count(1)


class Cluster:
    """Four instances in one process, connected by loopback links."""

    def __init__(self) -> None:
        self.wall_s = STARTED_AT
        self.clock_step_s = 0.0
        """By how much the time of day of all instances is off."""
        self.is_leased = True
        self.links_by_id: dict[str, peers.Peers] = {}
        self.addresses_by_id: dict[str, peers.Address] = {}
        self.claims_by_id: dict[str, claim_service.ClaimService] = {}
        self.lists: tuple[claim_holders.HolderList, ...] = ()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        for instance in DOMAINS_BY_ID:
            links = peers.Peers(instance, TIMING)
            stack.push_async_callback(links.aclose)
            self.links_by_id[instance] = links
            self.addresses_by_id[instance] = await links.start("127.0.0.1", 0)
        self.lists = (
            self.holder_list(EAST, "a", "b", "c"),
            self.holder_list(WEST, "w"),
        )
        for instance in DOMAINS_BY_ID:
            self.restart(instance)
            stack.push_async_callback(self.claims_by_id[instance].aclose)
        self.wall_s += 100.0

    def holder_list(
        self, region: ids.RegionId, *instances: str, since_s: float = 0.0
    ) -> claim_holders.HolderList:
        holders = tuple(
            claim_holders.Holder(
                instance_id=ids.InstanceId(instance),
                failure_domain=ids.FailureDomainId(DOMAINS_BY_ID[instance]),
                host=self.addresses_by_id[instance].host,
                inner_port=self.addresses_by_id[instance].port,
            )
            for instance in instances
        )
        return claim_holders.HolderList(
            region=region,
            version=ids.Version(1),
            since_ms=int(since_s),
            holders=holders,
        )

    def restart(self, instance: str) -> None:
        """Replace the claim service, as a restart of the process does."""
        restarted = claim_service.ClaimService(
            ids.InstanceId(instance),
            next(UNIQUE_NUMBERS),
            self.links_by_id[instance],
            lambda: self.is_leased,
            self.clock,
            lambda: self.wall_s + self.clock_step_s,
        )
        restarted.configure(None, self.lists, {})
        self.claims_by_id[instance] = restarted

    def clock(self) -> float:
        """Return a steady time, on which ``wall_s`` passes as well."""
        return time.monotonic() + self.wall_s - STARTED_AT

    def configure_lists(self, *lists: claim_holders.HolderList) -> None:
        self.lists = lists
        for service in self.claims_by_id.values():
            service.configure(None, lists, {})

    def key(self) -> claim_keys.Key:
        text = f"east.{int(self.wall_s * 1000)}.{next(UNIQUE_NUMBERS):016d}"
        return claim_keys.parse(text, self.wall_s).unwrap()

    def holders(self, key: claim_keys.Key) -> tuple[ids.InstanceId, ...]:
        (holder_ids,) = claim_placement.holder_lists(
            key, claim_members.merge_holder_lists(self.lists)
        )
        return holder_ids

    async def claim(
        self,
        instance: str,
        key: claim_keys.Key,
        attempt: int = 1,
        remaining_s: float = DEFAULT_REMAINING_S,
    ) -> claim_service.ClaimOutcome:
        deadline = self.clock() + remaining_s
        return await self.claims_by_id[instance].claim(key, attempt, deadline)


@pytest.fixture
async def cluster() -> AsyncIterator[Cluster]:
    async with contextlib.AsyncExitStack() as stack:
        started = Cluster()
        await started.start(stack)
        yield started


async def claim_permit(
    cluster: Cluster, instance: str, key: claim_keys.Key, attempt: int = 1
) -> claim_service.DispatchPermit:
    claimed = await cluster.claim(instance, key, attempt)
    assert isinstance(claimed, claim_service.DispatchPermit)
    return claimed


async def test_claim_of_a_duplicate_returns_the_stored_response(
    cluster: Cluster,
) -> None:
    key = cluster.key()
    permit = await claim_permit(cluster, "a", key)
    duplicate = asyncio.create_task(cluster.claim("b", key))
    await asyncio.sleep(0)
    permit.complete(201, "text/plain", b"kept")
    answer = claim_messages.StoredResponse(201, "text/plain", b"kept")
    state = claim_messages.RecordState.DONE
    assert await duplicate == claim_attempt.AlreadyDispatched(state, answer)
    assert await cluster.claim("w", key, 2) == await duplicate


async def test_concurrent_claims_permit_at_most_one_dispatch(cluster: Cluster) -> None:
    for _ in range(5):
        key = cluster.key()
        claimed = await asyncio.gather(
            *(
                cluster.claim(instance, key, remaining_s=0.5)
                for instance in DOMAINS_BY_ID
            )
        )
        is_permitted = [
            isinstance(item, claim_service.DispatchPermit) for item in claimed
        ]
        assert sum(is_permitted) <= 1
        assert claim_attempt.Voided() not in claimed or not any(is_permitted)


async def test_oversized_response_is_stored_without_its_body(
    cluster: Cluster,
) -> None:
    key = cluster.key()
    (await claim_permit(cluster, "a", key)).complete(200, "image/png", b"x" * 100_000)
    replayed = await cluster.claim("a", key)
    assert isinstance(replayed, claim_attempt.AlreadyDispatched)
    assert replayed.answer == claim_messages.StoredResponse(200, "image/png", None)


async def test_void_prevents_the_attempt_but_not_the_next(
    cluster: Cluster,
) -> None:
    key = cluster.key()
    assert await cluster.claims_by_id["b"].void(key, 1) == claim_attempt.Voided()
    assert await cluster.claim("a", key) == claim_attempt.Voided()
    await claim_permit(cluster, "a", key, 2)


async def test_claims_void_of_dispatched_attempt_is_refused(cluster: Cluster) -> None:
    key = cluster.key()
    await claim_permit(cluster, "a", key)
    voided = await cluster.claims_by_id["b"].void(key, 1)
    state = claim_messages.RecordState.CLAIMED
    assert voided == claim_attempt.AlreadyDispatched(state, None)


async def test_claims_voided_dispatch_allows_the_next_attempt(cluster: Cluster) -> None:
    key = cluster.key()
    permit = await claim_permit(cluster, "a", key)
    assert await permit.void_after_dispatch() == claim_attempt.Voided()
    assert await cluster.claim("b", key) == claim_attempt.Voided()
    await claim_permit(cluster, "b", key, 2)


async def test_claim_does_not_wait_for_the_slowest_holder(cluster: Cluster) -> None:
    key = cluster.key()
    holders = cluster.holders(key)
    claimant = holders[0]

    async def wait_forever(peer_id: str, message: claim_messages.ClaimRequest) -> None:
        await asyncio.Event().wait()

    cluster.links_by_id[holders[2]].handle(claim_messages.ClaimRequest, wait_forever)
    requested_peers: list[str] = []
    request = cluster.links_by_id[claimant].request

    async def record(peer_id: str, message: object, timeout_s: float) -> object:
        requested_peers.append(peer_id)
        return await request(peer_id, message, timeout_s)

    cluster.links_by_id[claimant].request = record  # type: ignore[method-assign]
    await claim_permit(cluster, claimant, key)
    assert sorted(requested_peers) == sorted(holders[1:])


async def test_claims_restarted_holders_abstain_for_older_keys(
    cluster: Cluster,
) -> None:
    key = cluster.key()
    await claim_permit(cluster, "a", key)
    for holder in cluster.holders(key):
        cluster.restart(holder)
    claimed = await cluster.claim("b", key, remaining_s=0.2)
    assert claimed == claim_attempt.Undecided()
    cluster.wall_s += 10.0
    await claim_permit(cluster, "b", cluster.key())


# Guards against a request that runs twice because its holders were restarted while
# their time of day was behind, so that they took its key for one of after their start.
@pytest.mark.parametrize("step_s", [-600.0, -2.4])
async def test_claims_holders_abstain_for_older_keys_after_a_step_of_the_clock(
    cluster: Cluster, step_s: float
) -> None:
    key = cluster.key()
    await claim_permit(cluster, "a", key)
    cluster.clock_step_s = step_s
    for holder in cluster.holders(key):
        cluster.restart(holder)
    cluster.clock_step_s = 0.0
    claimed = await cluster.claim("b", key, remaining_s=0.2)
    assert claimed == claim_attempt.Undecided()
    cluster.wall_s += 10.0
    await claim_permit(cluster, "b", cluster.key())


async def test_claims_duplicate_is_refused_despite_one_restarted_holder(
    cluster: Cluster,
) -> None:
    key = cluster.key()
    holders = cluster.holders(key)
    await claim_permit(cluster, holders[0], key)
    cluster.restart(holders[0])
    claimed = await cluster.claim(holders[1], key, remaining_s=0.2)
    state = claim_messages.RecordState.CLAIMED
    assert claimed == claim_attempt.AlreadyDispatched(state, None)


async def test_claim_needs_majorities_of_old_and_new_members(cluster: Cluster) -> None:
    replaced = cluster.holder_list(EAST, "a", "b").model_copy(
        update={"replaced_ms": int(cluster.wall_s * 1000)}
    )
    current = cluster.holder_list(EAST, "c", "w").model_copy(
        update={"since_ms": int(cluster.wall_s * 1000)}
    )
    cluster.configure_lists(replaced, current)
    await claim_permit(cluster, "c", cluster.key())
    await cluster.links_by_id["a"].aclose()
    claimed = await cluster.claim("c", cluster.key(), remaining_s=0.2)
    assert claimed == claim_attempt.Undecided()
    # The replaced list no longer decides about later keys.
    cluster.wall_s += claim_placement.MEMBER_LIST_OVERLAP_S + 1.0
    await claim_permit(cluster, "c", cluster.key())


async def test_duplicate_of_a_killed_claimant_is_not_dispatched(
    cluster: Cluster,
) -> None:
    key = cluster.key()
    await claim_permit(cluster, "a", key)
    await cluster.links_by_id["a"].aclose()
    claimed = await cluster.claim("b", key, remaining_s=0.2)
    state = claim_messages.RecordState.CLAIMED
    assert claimed == claim_attempt.AlreadyDispatched(state, None)


async def test_claims_without_lease_are_undecided(cluster: Cluster) -> None:
    cluster.is_leased = False
    assert await cluster.claim("a", cluster.key()) == claim_attempt.Undecided()
    voided = await cluster.claims_by_id["a"].void(cluster.key(), 1)
    assert voided == claim_attempt.Undecided()


async def test_claims_home_region_follows_live_holders(cluster: Cluster) -> None:
    declaration = model.Declaration.model_validate(
        {
            "owners": {"north": {}},
            "turns": {"first_month": "2026-01", "order": ["north"]},
            "regions": {"east": {"capacity": 1}, "west": {"capacity": 1}},
            "failure_domains": {
                domain: {"region": domain.split("-")[0]}
                for domain in DOMAINS_BY_ID.values()
            },
            "instances": {
                instance: {
                    "failure_domain": domain,
                    "host": "127.0.0.1",
                    "http_port": 1,
                    "inner_port": 2,
                }
                for instance, domain in DOMAINS_BY_ID.items()
            },
            "default_region": "east",
        }
    )
    claims = cluster.claims_by_id["a"]
    live = {ids.InstanceId(name): live_instance(name) for name in "abw"}
    claims.configure(declaration, cluster.lists, live)
    assert claims.home_region(WEST) == EAST
    live[ids.InstanceId("b")] = live_instance("b", is_ready=False)
    claims.configure(declaration, cluster.lists, live)
    assert claims.home_region(WEST) == WEST


def live_instance(name: str, is_ready: bool = True) -> node_messages.LiveInstance:
    return node_messages.LiveInstance(
        instance_id=name,
        incarnation=1,
        http_host="127.0.0.1",
        http_port=1,
        inner_host="127.0.0.1",
        inner_port=2,
        failure_domain=DOMAINS_BY_ID[name],
        is_ready=is_ready,
        is_stopping=False,
    )


def test_claims_voting_starts_after_the_clock_skew() -> None:
    wall_s = STARTED_AT
    claims = claim_service.ClaimService(
        ids.InstanceId("a"),
        1,
        peers.Peers("a", TIMING),
        lambda: True,
        time.monotonic,
        lambda: wall_s,
    )
    assert not claims.can_vote
    wall_s += claim_keys.CLOCK_SKEW_S
    assert claims.can_vote


def test_member_lists_span_every_change_of_a_region() -> None:
    def holder_list(
        region: str, instance: str, since_ms: int, replaced_ms: int | None
    ) -> claim_holders.HolderList:
        holder = claim_holders.Holder(
            instance_id=ids.InstanceId(instance),
            failure_domain=ids.FailureDomainId(f"{region}-1"),
            host="127.0.0.1",
            inner_port=2,
        )
        return claim_holders.HolderList(
            region=ids.RegionId(region),
            version=ids.Version(1),
            since_ms=since_ms,
            replaced_ms=replaced_ms,
            holders=(holder,),
        )

    spans = claim_members.merge_holder_lists(
        (
            holder_list("east", "a", 1000, 3000),
            holder_list("west", "w", 1000, None),
            holder_list("east", "b", 3000, None),
        )
    )
    listed = [
        ({member.instance_id for member in span.members}, span.superseded_at)
        for span in spans
    ]
    assert listed == [({"a", "w"}, 3.0), ({"b", "w"}, None)]
