from __future__ import annotations

import random

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import (
    health,
    owners,
    pool,
    pool_choice,
    pool_directory,
    slots,
)

R1 = ids.RegionId("r1")
R2 = ids.RegionId("r2")
SERVICE = ids.ServiceId("s")
NEAR = owners.Pool(SERVICE, ids.FailureDomainId("r1a"))
FAR = owners.Pool(SERVICE, ids.FailureDomainId("r1b"))
OTHER = owners.Pool(SERVICE, ids.FailureDomainId("r2a"))
E1, E2, E3 = (ids.InstanceId(f"e{number}") for number in (1, 2, 3))


def _directory() -> pool_directory.PoolDirectory:
    directory = pool_directory.PoolDirectory(E1)
    directory.set_pools(
        [
            pool_directory.KnownPool(NEAR, R1, E1, 4, 0.0),
            pool_directory.KnownPool(FAR, R1, E2, 8, 0.003),
            pool_directory.KnownPool(OTHER, R2, E3, 8, 0.055),
        ],
        0.0,
    )
    return directory


def _own_pool() -> pool.SlotPool:
    table = slots.SlotTable(term=1, lease_until=10.0, longest_deadline_s=5.0)
    table.add_endpoint(ids.EndpointId("b1"), 4)
    own = pool.SlotPool(table, health.HealthView(), random.Random(1))
    own.tick(0.0)
    return own


def _far(directory: pool_directory.PoolDirectory) -> pool_choice.PoolView:
    views = directory.views(SERVICE, {R1}, {NEAR: _own_pool()}, 0.2)
    return next(view for view in views if view.pool == FAR)


def test_directory_lists_pools_before_any_counts() -> None:
    views = _directory().views(SERVICE, {R1}, {NEAR: _own_pool()}, 0.2)
    assert [(v.pool, v.slots, v.free) for v in views] == [(NEAR, 4, 4), (FAR, 8, 0)]


def test_directory_ignores_older_counts() -> None:
    directory = _directory()
    newer = pool_directory.PoolCounts(2, 1, 8, 5, 0, 0)
    older = pool_directory.PoolCounts(1, 1, 8, 0, 9, 9)
    directory.update_counts(E2, {FAR: newer}, 0.1)
    directory.update_counts(E2, {FAR: older}, 0.2)
    assert _far(directory).free == 5


def test_directory_drops_counts_of_former_owner() -> None:
    directory = _directory()
    directory.update_counts(E2, {FAR: pool_directory.PoolCounts(1, 1, 8, 5, 0, 0)}, 0.1)
    directory.set_pools([pool_directory.KnownPool(FAR, R1, E3, 8, 0.003)], 0.2)
    directory.update_counts(E2, {FAR: pool_directory.PoolCounts(2, 1, 8, 6, 0, 0)}, 0.2)
    assert _far(directory).free == 0


def test_directory_tracks_outstanding_requests_and_lost_links() -> None:
    directory = _directory()
    directory.record_sent(FAR)
    directory.record_sent(FAR)
    directory.record_ended(FAR)
    directory.mark_link_lost(E2)
    view = _far(directory)
    assert (view.outstanding, view.heard_at) == (1, float("-inf"))


def test_directory_prefers_local_pool_before_any_counts() -> None:
    views = _directory().views(SERVICE, {R1, R2}, {NEAR: _own_pool()}, 0.2)
    chosen = pool_choice.choose_pool(views, model.Patience.IMPATIENT, 0.02, 0.2)
    assert chosen is not None and chosen.owner == E1


def test_directory_knows_whether_local_pool_takes_requests() -> None:
    own = _own_pool()
    own.set_closed_endpoints([ids.EndpointId("b1")])
    views = [
        next(
            view
            for view in _directory().views(SERVICE, {R1}, {NEAR: own_pool}, 0.2)
            if view.pool == NEAR
        )
        for own_pool in (_own_pool(), own)
    ]
    assert [view.is_open for view in views] == [True, False]
