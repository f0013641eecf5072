"""Measures how cost grows with size: `python -m bench.slopes [NAME ...]`.

Runs the production code at several sizes and prints each measurement, a least-squares
line through them and its value at the planned size. Times are processor time.
"""

from __future__ import annotations

import argparse
import dataclasses
import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Any

import numpy

from yuccapitch.catalogue import changes, ids, loading, model, state as catalogue_state
from yuccapitch.control import leases
from yuccapitch.gateway import config_view
from yuccapitch.protocol import claim_messages, codec, node_messages, slot_messages
from yuccapitch.steering import (
    claims,
    lookup_codec,
    lookup_table,
    owners,
    resources,
    share_holder,
)

SEED = 20261204
LEASE_DURATION_S = 4.0
START_S = 1000.0
ROUNDS = 5
WARM_UP_ROUNDS = 8
"""Renewals after which the assignment of pools no longer changes."""
REGIONS = 18
DOMAINS = 36
SERVICES = 6
HOLDER_SIZES = (100, 200, 400, 800)
PLANNED_HOLDERS = 2000
ENDPOINT_SIZES = (216, 432, 864, 1728)
PLANNED_ENDPOINTS = 2100
BLOCK_SIZES = (2_000, 4_000, 8_000, 16_000)
TABLE_SIZES = (20_000, 40_000, 80_000)
PLANNED_BLOCKS = 2_400_000
OWNED_POOL_SIZES = (1, 2, 4)
POOL_SIZES = (10, 20, 40, 80)
PLANNED_POOLS = 210
RECORD_SIZES = (20_000, 40_000, 80_000)
PLANNED_RECORDS = claims.MAX_RECORDS

Measure = Callable[[int], dict[str, float]]


@dataclasses.dataclass(frozen=True)
class Slope:
    """A measurement, its sizes, and the planned size to extrapolate to."""

    measure: Measure
    unit: str
    sizes: tuple[int, ...]
    planned: int


slopes_by_name: dict[str, Slope] = {}


def slope(
    unit: str, sizes: tuple[int, ...], planned: int
) -> Callable[[Measure], Measure]:
    """Register a function that takes the measurement at one size."""

    def register(measure: Measure) -> Measure:
        name = measure.__name__.strip("_").replace("_", "-")
        slopes_by_name[name] = Slope(measure, unit, sizes, planned)
        return measure

    return register


@slope("holders", HOLDER_SIZES, PLANNED_HOLDERS)
def _leases(count: int) -> dict[str, float]:
    """Lease renewals at the leader, and the size of a grant with all live instances."""
    term = _create_leases(_build_declaration(count, SERVICES * DOMAINS))
    holders = [_Holder(number) for number in range(count)]
    now = START_S
    for _ in range(WARM_UP_ROUNDS):
        for holder in holders:
            holder.renew(term, now)
        now += 1
    full = holders[0].renew(term, now, live_sequence=0)
    rounds_s = []
    for _ in range(ROUNDS):
        now += 1
        started_at = time.process_time()
        for holder in holders:
            holder.renew(term, now)
        rounds_s.append(time.process_time() - started_at)
    return {
        "renewal_us": min(rounds_s) / count * 1e6,
        "live_list_grant_bytes": len(codec.encode(full)),
    }


@slope("owned pools", OWNED_POOL_SIZES, 1)
def _renewal_bytes(count: int) -> dict[str, float]:
    """Size of a steady-state renewal by the number of pools that the holder owns."""
    holder = _Holder(0)
    term = _create_leases(_build_declaration(DOMAINS, count * DOMAINS))
    for number in range(WARM_UP_ROUNDS):
        grant = holder.renew(term, START_S + number)
    pool_grants = [slot_messages.PoolGrant("service-1", "d1", 1, None, ())] * count
    reports = [slot_messages.PoolReport("service-1", "d1", True, ())] * count
    request = holder.request(START_S + WARM_UP_ROUNDS, None)
    return {
        "grant_bytes": len(
            codec.encode(dataclasses.replace(grant, pools=tuple(pool_grants)))
        ),
        "request_bytes": len(
            codec.encode(dataclasses.replace(request, pools=tuple(reports)))
        ),
    }


@slope("endpoints", ENDPOINT_SIZES, PLANNED_ENDPOINTS)
def _config_view(count: int) -> dict[str, float]:
    """Parsing and indexing a new version at an entry instance."""
    declaration = _build_declaration(200, count)
    data = loading.canonical_bytes(declaration)
    parse_s = _min_cpu_s(lambda: model.Declaration.model_validate_json(data))

    def index() -> None:
        view = config_view.ConfigView(ids.Version(1), declaration)
        for service in declaration.services_by_id:
            view.pools_of(service)

    return {
        "declaration_bytes": len(data),
        "parse_ms": parse_s * 1000,
        "index_ms": _min_cpu_s(index) * 1000,
    }


@slope("client blocks", BLOCK_SIZES, PLANNED_BLOCKS)
def _declared_blocks(count: int) -> dict[str, float]:
    """Client blocks that are part of the declaration."""
    blocks = {f"{n >> 8}.{n & 255}.0.0/16": f"r{n % REGIONS}" for n in range(count)}
    declaration = _build_declaration(8, DOMAINS, blocks)
    data = loading.canonical_bytes(declaration)
    parse_s = _min_cpu_s(lambda: model.Declaration.model_validate_json(data))
    return {"declaration_bytes": len(data), "parse_ms": parse_s * 1000}


@slope("client blocks", TABLE_SIZES, PLANNED_BLOCKS)
def _lookup_table(count: int) -> dict[str, float]:
    """The look-up table: compact size, memory, building and decoding."""
    rng = random.Random(SEED)
    regions = tuple(ids.RegionId(f"r{number}") for number in range(REGIONS))
    blocks = [
        (f"{n >> 16}.{n >> 8 & 255}.{n & 255}.0/24", rng.choice(regions))
        for n in rng.sample(range(1 << 24), count)
    ]
    started_at = time.process_time()
    table = lookup_table.build(blocks, regions).unwrap()
    build_s = time.process_time() - started_at
    data = lookup_codec.encode_table(table)
    decode_s = _min_cpu_s(lambda: lookup_codec.decode_table(data).unwrap())
    return {
        "compact_bytes": len(data),
        "array_bytes": table.size_bytes,
        "build_ms": build_s * 1000,
        "decode_ms": decode_s * 1000,
    }


@slope("pools", POOL_SIZES, PLANNED_POOLS)
def _pool_loads(count: int) -> dict[str, float]:
    """The message in which an owner sends the counts of its pools."""
    pools = tuple(
        slot_messages.PoolLoad(f"service-{number}", "d1", 1, 40, 20, 3, 1)
        for number in range(count)
    )
    message = slot_messages.PoolLoads("entry-1", 1000, "0" * 32, pools)
    encode_s = _min_cpu_s(lambda: codec.encode(message))
    data = codec.encode(message)
    decode_s = _min_cpu_s(lambda: codec.decode(data).unwrap())
    return {
        "message_bytes": len(data),
        "encode_us": encode_s * 1e6,
        "decode_us": decode_s * 1e6,
    }


@slope("holders", HOLDER_SIZES, PLANNED_HOLDERS)
def _assign_pools(count: int) -> dict[str, float]:
    """Reassigning all pools, as after each lost or restarted instance."""
    regions_by_pool = {
        owners.Pool(ids.ServiceId(f"s{service}"), ids.FailureDomainId(f"d{domain}")): (
            ids.RegionId(f"r{domain % REGIONS}")
        )
        for service in range(SERVICES)
        for domain in range(DOMAINS)
    }
    locations = {
        ids.InstanceId(f"e{number}"): owners.Location(
            ids.RegionId(f"r{number % REGIONS}"),
            ids.FailureDomainId(f"d{number % DOMAINS}"),
        )
        for number in range(count)
    }
    elapsed_s = _min_cpu_s(lambda: owners.assign_pools(regions_by_pool, locations))
    return {"assign_ms": elapsed_s * 1000}


@slope("records", RECORD_SIZES, PLANNED_RECORDS)
def _claim_records(count: int) -> dict[str, float]:
    """Memory and time of a claim holder, with responses that have no bodies."""
    messages = [
        claim_messages.ClaimRequest(
            f"r1.{1_000_000_000 + number}.{number:016d}", 1, f"e1.{number:016d}"
        )
        for number in range(count)
    ]
    now = 1_000_000 + count / 1000
    holder = claims.ClaimHolder("h", 1_000_000 - 100)
    started_at = time.process_time()
    for message in messages:
        holder.on_claim(message, now)
    elapsed_s = time.process_time() - started_at
    tracemalloc.start()
    holder = claims.ClaimHolder("h", 1_000_000 - 100)
    for message in messages:
        holder.on_claim(message, now)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"memory_mb": size / 1e6, "claim_us": elapsed_s / count * 1e6}


class _Holder:
    """An entry instance that renews its lease."""

    def __init__(self, number: int) -> None:
        self.name = f"e{number}"
        self.region = f"r{number % REGIONS}"
        self.domain = f"d{number % DOMAINS}"
        self.shares = share_holder.ShareHolder(self.name, 1)
        self.grant: node_messages.LeaseGrant | None = None
        self.sequence = 0

    def renew(
        self, term: leases.TermLeases, now: float, live_sequence: int | None = None
    ) -> node_messages.LeaseGrant:
        """Renew once, apply the grant and return it."""
        grant = term.renew(self.request(now, live_sequence), now).unwrap()
        if grant.shares is not None:
            self.shares.apply(grant.shares, now)
        self.grant = grant
        return grant

    def request(
        self, now: float, live_sequence: int | None
    ) -> node_messages.LeaseRequest:
        """Return the next request; a live sequence of 0 requests the full list."""
        self.sequence += 1
        grant = self.grant
        resource_id = resources.region_resource_id(ids.RegionId(self.region))
        known = grant.live_sequence if grant else 0
        return node_messages.LeaseRequest(
            instance_id=self.name,
            incarnation=1,
            version=grant.version if grant else 0,
            is_ready=True,
            is_stopping=False,
            http_host="127.0.0.1",
            http_port=8080,
            inner_host="127.0.0.1",
            inner_port=7080,
            failure_domain=self.domain,
            in_flight=3,
            live_sequence=known if live_sequence is None else live_sequence,
            shares=self.shares.next_renewal({resource_id: share_holder.Usage(3)}, now),
            sequence=self.sequence,
            applied_term=grant.term if grant else 0,
            applied_grant=grant.number if grant else 0,
            pools=tuple(
                slot_messages.PoolReport(pool.service, pool.failure_domain, True, ())
                for pool in (grant.pools if grant else ())
            ),
        )


def _create_leases(declaration: model.Declaration) -> leases.TermLeases:
    state = catalogue_state.CatalogueState(allow_unsigned=True)
    term = leases.TermLeases(1, state, START_S - 100, LEASE_DURATION_S)
    change = changes.Change(
        change_id=ids.ChangeId("first"),
        base_version=ids.Version(0),
        declaration=declaration,
        owner=ids.OwnerId("o"),
    )
    state.apply(1, state.build_command(change, 1_796_000_000_000))
    assert state.version == 1
    term.apply_new_version(START_S - 100)
    return term


def _build_declaration(
    instances: int, endpoints: int, blocks: dict[str, str] | None = None
) -> model.Declaration:
    data: dict[str, Any] = {
        "owners": {"o": {}},
        "turns": {"first_month": "2026-01", "order": ["o"]},
        "regions": {f"r{n}": {"capacity": 10_000} for n in range(REGIONS)},
        "failure_domains": {f"d{n}": {"region": f"r{n % REGIONS}"} for n in range(36)},
        "instances": {
            f"e{n}": {
                "failure_domain": f"d{n % DOMAINS}",
                "host": "127.0.0.1",
                "http_port": 10_000 + n,
                "inner_port": 20_000 + n,
            }
            for n in range(instances)
        },
        "services": {f"s{n}": {"owner": "o"} for n in range(SERVICES)},
        "endpoints": {
            f"p{n}": {
                "owner": "o",
                "service": f"s{n // DOMAINS % SERVICES}",
                "failure_domain": f"d{n % DOMAINS}",
                "host": "127.0.0.1",
                "port": 30_000 + n,
                "slots": 4,
                "connections": 400,
            }
            for n in range(endpoints)
        },
        "routes": {
            f"t{n}": {
                "owner": "o",
                "service": f"s{n}",
                "methods": ["GET"],
                "path_prefix": "/",
                "request_class": "read-only",
                "limits": {"deadline_ms": 1000, "body_bytes": 1000, "concurrency": 4},
            }
            for n in range(SERVICES)
        },
        "client_blocks": blocks or {},
        "default_region": "r0",
    }
    return loading.load_object(data).unwrap()


def _min_cpu_s(action: Callable[[], object]) -> float:
    """Return the processor time of one run, the minimum of several."""
    times = []
    for _ in range(ROUNDS):
        gc.collect()
        started_at = time.process_time()
        action()
        times.append(time.process_time() - started_at)
    return min(times)


def print_slope(name: str) -> None:
    """Take the measurement at each size and print the fit."""
    item = slopes_by_name[name]
    print(f"\n{name}: {item.measure.__doc__}")
    values_by_metric: dict[str, list[float]] = {}
    for size in item.sizes:
        for metric, value in item.measure(size).items():
            values_by_metric.setdefault(metric, []).append(value)
    for metric, values in values_by_metric.items():
        gradient, intercept = numpy.polyfit(item.sizes, values, 1)
        fitted = numpy.polyval((gradient, intercept), item.sizes)
        total_sum = float(numpy.sum((numpy.array(values) - numpy.mean(values)) ** 2))
        residual_sum = float(numpy.sum((numpy.array(values) - fitted) ** 2))
        r2 = 1.0 - residual_sum / total_sum if total_sum else 1.0
        pairs = zip(item.sizes, values)
        line = _join(f"{size}:{value:.4g}" for size, value in pairs)
        planned = intercept + gradient * item.planned
        print(f"  {metric}  {line}")
        print(
            f"    = {intercept:.4g} + {gradient:.4g} * {item.unit} (r2 {r2:.3f});"
            f" extrapolated to {item.planned}: {planned:.4g}"
        )


def _join(parts: Iterable[str]) -> str:
    return "  ".join(parts)


def main() -> None:
    """Print the named slopes, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME")
    names = parser.parse_args().names or sorted(slopes_by_name)
    for name in names:
        if name not in slopes_by_name:
            parser.error(f"unknown slope {name!r}; available: {_join(slopes_by_name)}")
        print_slope(name)


if __name__ == "__main__":
    main()
