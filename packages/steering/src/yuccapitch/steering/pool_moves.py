"""Moves of waiting requests to another pool of the same owner that has a free slot."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from yuccapitch.catalogue import model
from yuccapitch.steering import owners, pool as pool_module


@dataclasses.dataclass(frozen=True)
class PoolDecision:
    """A decision of one of the pools."""

    pool: owners.Pool
    decision: pool_module.Decision


def move_waiting(
    slot_pools_by_pool: Mapping[owners.Pool, pool_module.SlotPool], now: float
) -> tuple[PoolDecision, ...]:
    """Grant free slots to requests that wait in other pools of the group.

    The pools must be such that each request may use any of them, apart from the
    endpoints that it avoids: of one service and one region.
    """
    decisions: list[PoolDecision] = []
    for patience in (model.Patience.IMPATIENT, model.Patience.PATIENT):
        sources = [
            pool
            for pool, slot_pool in slot_pools_by_pool.items()
            if slot_pool.waiting_count(patience)
        ]
        for source in sources:
            for target in slot_pools_by_pool:
                if target != source:
                    decisions += _move(
                        slot_pools_by_pool, source, target, patience, now
                    )
    return tuple(decisions)


def _move(
    slot_pools_by_pool: Mapping[owners.Pool, pool_module.SlotPool],
    source: owners.Pool,
    target: owners.Pool,
    patience: model.Patience,
    now: float,
) -> list[PoolDecision]:
    source_pool, target_pool = slot_pools_by_pool[source], slot_pools_by_pool[target]
    decisions: list[PoolDecision] = []
    ended_ids: set[str] = set()
    for request in source_pool.waiting_requests(patience):
        if target_pool.free(now) <= 0:
            break
        if request.request_id in ended_ids or target_pool.avoids_all(request, now):
            continue
        granted = target_pool.grant_from_other_queue(request, now)
        decisions += [PoolDecision(target, decision) for decision in granted]
        if not any(decision.request == request for decision in granted):
            # The next requests of the class would get no slot either.
            break
        cancelled = source_pool.cancel(request.request_id, now)
        decisions += [PoolDecision(source, decision) for decision in cancelled]
        # Without this request the source may have granted slots to the next ones.
        ended_ids.update(decision.request.request_id for decision in cancelled)
    return decisions
