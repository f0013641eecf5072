"""Adapter for designs in which owners give out the slots of endpoints."""

from __future__ import annotations

import random
from collections.abc import Callable

from bench.steering import designs, grains, world as world_module
from yuccapitch.catalogue import ids, model
from yuccapitch.steering import (
    entry_choice,
    health,
    owners,
    pool,
    pool_choice,
    pool_directory,
    retry,
    retry_budget,
    slots,
)

COUNT_INTERVAL_S = 0.1
TICK_S = 0.02
NEVER_S = 60.0
PEER_LOSS_S = 1.0
SERVICE = ids.ServiceId("service")
RETRY_ENDS_BY_WORD = {
    "failed": retry.AttemptEnd.BROKEN,
    "shed": retry.AttemptEnd.SHED,
}
ENDS_BY_WORD = {
    "answered": health.ExchangeOutcome.ANSWERED,
    "shed": health.ExchangeOutcome.SHED,
    "failed": health.ExchangeOutcome.FAILED,
    "expired": health.ExchangeOutcome.TIMED_OUT,
}


class Slotted:
    """Owned slots: the grain of ownership, lending or forwarding are options."""

    def __init__(
        self, world: world_module.World, spec: designs.Spec, report_delay_s: float
    ) -> None:
        self.world = world
        self.spec = spec
        self.count_delay_s = report_delay_s
        self.rng = random.Random(world.rng.random())
        self.terms = 0
        self.remote = 0
        self.dispatches: dict[tuple, object] = {}
        self.pools_by_owner: dict[ids.InstanceId, pool.SlotPool] = {}
        self.owners_by_endpoint: dict[ids.EndpointId, ids.InstanceId] = {}
        self.directories_by_id = {
            e.instance_id: pool_directory.PoolDirectory(e.instance_id)
            for e in world.entries
        }
        self.counts = 0
        self.requests_by_id: dict[str, tuple] = {}
        self.budgets_by_id = {
            e.instance_id: retry_budget.RetryBudget() for e in world.entries
        }
        self._assign(())
        world.after(0.0, self._count)
        world.after(0.0, self._tick)

    def lose_entry(self, entry: world_module.Entry) -> None:
        """Let an entry instance die; its slots move when its lease has lapsed."""
        entry.alive = False
        now = self.world.now
        self.world.after(PEER_LOSS_S, self.lose_links, entry.instance_id)
        self.world.after(self.spec.lease_s, self._take_over, now + self.spec.lease_s)

    def lose_links(self, instance_id: ids.InstanceId) -> None:
        """Let every entry instance notice that links to one are gone."""
        for directory in self.directories_by_id.values():
            directory.mark_link_lost(instance_id)

    def submit(self, request: world_module.Request) -> None:
        """Let a caller send its request to the entry a look-up named."""
        entry = self._entry(request)
        if entry is None:
            return
        delay = world_module.CLIENT_S
        if entry.place.region != request.region:
            delay += world_module.BETWEEN_REGIONS_S
        self.world.after(delay, self._arrive, entry, request, delay)

    def _entry(self, request: world_module.Request) -> world_module.Entry | None:
        alive = [e for e in self.world.entries if e.alive]
        if not alive:
            return None
        local = [e for e in alive if e.place.region == request.region] or alive
        if not self.spec.steer:
            return self.rng.choice(local)
        views = [self._entry_view(e) for e in local]
        regions = sorted({e.place.region for e in local})
        self.rng.shuffle(regions)
        client = f"c{request.number}"
        lines = entry_choice.choose_entries(views, regions, client, self.world.now)
        return self.world.entries_by_id[lines[0].instance_id]

    def _entry_view(self, entry: world_module.Entry) -> entry_choice.EntryView:
        owned = self.pools_by_owner.get(entry.instance_id)
        return entry_choice.EntryView(
            entry.instance_id,
            entry.place.region,
            entry.place.failure_domain,
            entry_choice.EntryState.SERVING,
            0 if owned is None else owned.usable_slots(),
            0.0,
            self.world.now,
        )

    def _arrive(
        self,
        entry: world_module.Entry,
        request: world_module.Request,
        to_client_s: float,
        avoided: frozenset[ids.EndpointId] = frozenset(),
    ) -> None:
        if not entry.alive:
            return
        now = self.world.now
        view = pool_choice.choose_pool(
            self._views(entry), request.patience, self.world.setting.mean_s, now
        )
        if view is None:
            return
        request.attempts += 1
        if request.attempts == 1:
            self.budgets_by_id[entry.instance_id].record_first_attempt()
        request_id = f"{request.number}.{request.attempts}"
        owner_region = self.world.entries_by_id[view.owner].place.region
        lend = self.spec.remote == "lend" or (
            self.spec.remote == "mixed" and owner_region == entry.place.region
        )
        holder = entry.instance_id if lend else view.owner
        patience = request.patience
        ask = pool.SlotRequest(
            request_id,
            holder,
            patience if self.spec.classes else model.Patience.IMPATIENT,
            patience.value,
            request.deadline - to_client_s if self.spec.deadlines else now + NEVER_S,
            self.spec.recall
            and request.attempts == 1
            and patience is model.Patience.PATIENT,
            avoided,
        )
        self.remote += view.distance_s > 0
        self.requests_by_id[request_id] = (entry, request, to_client_s, view.pool)
        self.directories_by_id[entry.instance_id].record_sent(view.pool)
        self.world.after(view.distance_s, self._asked, view.owner, ask)

    def _views(self, entry: world_module.Entry) -> tuple[pool_choice.PoolView, ...]:
        region = entry.place.region
        regions = world_module.REGIONS if self.spec.overflow else (region,)
        owner = entry.instance_id
        own = {_pool(owner): p for o, p in self.pools_by_owner.items() if o == owner}
        directory = self.directories_by_id[owner]
        return directory.views(SERVICE, regions, own, self.world.now)

    def _asked(self, owner: ids.InstanceId, ask: pool.SlotRequest) -> None:
        if not self.world.entries_by_id[owner].alive:
            return
        self._tell(owner, self.pools_by_owner[owner].request_slot(ask, self.world.now))

    def _tell(
        self, owner: ids.InstanceId, decisions: tuple[pool.Decision, ...]
    ) -> None:
        for decision in decisions:
            match decision:
                case pool.Granted(ask, hold):
                    holder = self.world.entries_by_id[ask.holder]
                    self.world.after(
                        self._between(owner, ask.holder),
                        self._dispatch,
                        holder,
                        owner,
                        ask,
                        hold,
                    )
                case pool.Refused(ask, _, _):
                    self._close(ask.request_id)
                case pool.Preempted(ask, hold):
                    self._recall(owner, ask, hold)

    def _recall(
        self, owner: ids.InstanceId, ask: pool.SlotRequest, hold: slots.Hold
    ) -> None:
        known = self.requests_by_id.get(ask.request_id)
        if known is None:
            return
        endpoint = self.world.endpoints_by_id[hold.endpoint_id]
        holder = self.world.entries_by_id[ask.holder]
        delay = self._between(owner, ask.holder)
        delay += self.world.delay(holder.place, endpoint.place)
        self.world.after(delay, endpoint.cancel, known[1])

    def _dispatch(
        self,
        holder: world_module.Entry,
        owner: ids.InstanceId,
        ask: pool.SlotRequest,
        hold: slots.Hold,
    ) -> None:
        if not holder.alive:
            return
        entry, request, to_client_s, _ = self.requests_by_id[ask.request_id]
        endpoint = self.world.endpoints_by_id[hold.endpoint_id]
        started_at = self.world.now

        def reply(word: str) -> None:
            self.world.after(
                self._between(holder.instance_id, owner),
                self._released,
                owner,
                hold,
                ENDS_BY_WORD.get(word),
                self.world.now - started_at,
            )
            self._close(ask.request_id)
            if word == "cancelled" and entry.alive:
                self._arrive(entry, request, to_client_s)
            if word in ("failed", "shed") and entry.alive:
                end = RETRY_ENDS_BY_WORD[word]
                self._retry(entry, request, to_client_s, hold.endpoint_id, end)
            if word == "answered" and entry.alive:
                back = self._between(holder.instance_id, entry.instance_id)
                self.world.finish(request, to_client_s + back)

        self.world.send_to_endpoint(
            holder, endpoint, request, reply, hold.work_deadline
        )

    def _retry(
        self,
        entry: world_module.Entry,
        request: world_module.Request,
        to_client_s: float,
        endpoint_id: ids.EndpointId,
        end: retry.AttemptEnd,
    ) -> None:
        attempt = retry.Attempt(
            request.attempts,
            model.RequestClass.READ_ONLY,
            end,
            request.deadline,
            self.world.setting.impatient_s,
        )
        budget = self.budgets_by_id[entry.instance_id]
        if retry.decide_retry(attempt, budget, 1, self.world.now).is_ok():
            self._arrive(entry, request, to_client_s, frozenset({endpoint_id}))

    def _released(
        self,
        owner: ids.InstanceId,
        hold: slots.Hold,
        end: health.ExchangeOutcome | None,
        service_s: float,
    ) -> None:
        if not self.world.entries_by_id[owner].alive:
            return
        owned = self.pools_by_owner.get(owner)
        if owned is None:
            return
        now = self.world.now
        self._tell(owner, owned.release(hold.term, hold.number, end, service_s, now))

    def _close(self, request_id: str) -> None:
        known = self.requests_by_id.pop(request_id, None)
        if known is not None:
            entry, _, _, asked = known
            self.directories_by_id[entry.instance_id].record_ended(asked)

    def _between(self, a: ids.InstanceId, b: ids.InstanceId) -> float:
        if a == b:
            return 0.0
        entries_by_id = self.world.entries_by_id
        return self.world.delay(entries_by_id[a].place, entries_by_id[b].place)

    def _count(self) -> None:
        self.counts += 1
        for owner, owned in self.pools_by_owner.items():
            if not self.world.entries_by_id[owner].alive:
                continue
            counts = pool_directory.current_counts(owned, self.counts, self.world.now)
            for instance_id in self.directories_by_id:
                if instance_id == owner:
                    continue
                late_s = self._between(owner, instance_id) + self.count_delay_s
                call = self.directories_by_id[instance_id].update_counts
                self.world.after(late_s, self._counted, call, owner, counts, late_s)
        self.world.after(COUNT_INTERVAL_S, self._count)

    def _counted(
        self,
        hear: Callable[..., None],
        owner: ids.InstanceId,
        counts: pool_directory.PoolCounts,
        late_s: float,
    ) -> None:
        hear(owner, {_pool(owner): counts}, self.world.now, late_s)

    def _tick(self) -> None:
        for owner, owned in list(self.pools_by_owner.items()):
            if self.world.entries_by_id[owner].alive:
                self._tell(owner, owned.tick(self.world.now))
        self.world.after(TICK_S, self._tick)

    def _take_over(self, lease_end: float) -> None:
        setting = self.world.setting
        quarantines = slots.quarantines_after_owner_loss(
            setting.slots,
            lease_end=lease_end,
            longest_deadline_s=setting.patient_deadline_s,
        )
        for owner in list(self.pools_by_owner):
            if self.world.entries_by_id[owner].alive:
                continue
            del self.pools_by_owner[owner]
        self._assign(quarantines)

    def _assign(self, quarantines: tuple[slots.Quarantine, ...]) -> None:
        wanted = grains.GRAINS_BY_NAME[self.spec.grain](self.world)
        for endpoint in self.world.endpoints:
            endpoint_id = endpoint.endpoint_id
            owner = wanted[endpoint_id]
            if owner is None or self.owners_by_endpoint.get(endpoint_id) == owner:
                continue
            former = self.owners_by_endpoint.get(endpoint_id)
            if former in self.pools_by_owner:
                continue
            self.owners_by_endpoint[endpoint_id] = owner
            if owner not in self.pools_by_owner:
                self.pools_by_owner[owner] = self._new_pool()
            self.pools_by_owner[owner].table.add_endpoint(
                endpoint_id, endpoint.slots, quarantines
            )
        for owned in self.pools_by_owner.values():
            owned.tick(self.world.now)
        for entry in self.world.entries:
            directory = self.directories_by_id[entry.instance_id]
            directory.set_pools(self._known_pools(entry), self.world.now)

    def _known_pools(self, entry: world_module.Entry) -> list[pool_directory.KnownPool]:
        return [
            pool_directory.KnownPool(
                _pool(owner),
                self.world.entries_by_id[owner].place.region,
                owner,
                owned.usable_slots(),
                self._between(owner, entry.instance_id),
            )
            for owner, owned in self.pools_by_owner.items()
        ]

    def _new_pool(self) -> pool.SlotPool:
        self.terms += 1
        table = slots.SlotTable(
            term=self.terms,
            lease_until=float("inf"),
            longest_deadline_s=self.world.setting.patient_deadline_s,
        )
        view = health.HealthView(3 if self.spec.doubt else 10**9)
        made = pool.SlotPool(table, view, random.Random(self.rng.random()))
        if not self.spec.shed_limits:
            made.shed_limits.recovery_s = 1e-9
        return made


def _pool(owner: ids.InstanceId) -> owners.Pool:
    return owners.Pool(SERVICE, ids.FailureDomainId(owner))
