"""Adapter for designs in which owners grant the slots of endpoints."""

from __future__ import annotations

import random
from collections.abc import Callable

from bench.steering import designs, ownership, simulation
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
TICK_INTERVAL_S = 0.02
NO_DEADLINE_S = 60.0
LINK_LOSS_DETECTION_S = 1.0
SERVICE = ids.ServiceId("service")
RETRY_ENDS_BY_OUTCOME = {
    "failed": retry.AttemptEnd.BROKEN,
    "shed": retry.AttemptEnd.SHED,
}
OUTCOMES_BY_NAME = {
    "answered": health.ExchangeOutcome.ANSWERED,
    "shed": health.ExchangeOutcome.SHED,
    "failed": health.ExchangeOutcome.FAILED,
    "expired": health.ExchangeOutcome.TIMED_OUT,
}


class SlotDesign:
    """A design in which each endpoint has an owner that grants its slots.

    The specification selects the ownership rule and whether an owner grants a slot
    to the requesting entry ("lend") or sends the request itself ("forward").
    """

    def __init__(
        self,
        sim: simulation.Simulation,
        spec: designs.DesignSpec,
        report_delay_s: float,
    ) -> None:
        self.sim = sim
        self.spec = spec
        self.count_delay_s = report_delay_s
        self.rng = random.Random(sim.rng.random())
        self.last_term = 0
        self.remote = 0
        self.dispatches: dict[tuple, object] = {}
        self.pools_by_owner: dict[ids.InstanceId, pool.SlotPool] = {}
        self.owners_by_endpoint: dict[ids.EndpointId, ids.InstanceId] = {}
        self.directories_by_id = {
            e.instance_id: pool_directory.PoolDirectory(e.instance_id)
            for e in sim.entries
        }
        self.count_sequence = 0
        self.requests_by_id: dict[str, tuple] = {}
        self.budgets_by_id = {
            e.instance_id: retry_budget.RetryBudget() for e in sim.entries
        }
        self._assign_endpoints(())
        sim.after(0.0, self._send_counts)
        sim.after(0.0, self._tick)

    def fail_entry(self, entry: simulation.Entry) -> None:
        """Stop an entry instance; its slots are reassigned when its lease expires."""
        entry.alive = False
        now = self.sim.now
        self.sim.after(LINK_LOSS_DETECTION_S, self.mark_links_lost, entry.instance_id)
        self.sim.after(self.spec.lease_s, self._reassign_slots, now + self.spec.lease_s)

    def mark_links_lost(self, instance_id: ids.InstanceId) -> None:
        """Mark the links of all entry instances to a failed one as lost."""
        for directory in self.directories_by_id.values():
            directory.mark_link_lost(instance_id)

    def submit(self, request: simulation.Request) -> None:
        """Send a client's request to the entry instance that the look-up returned."""
        entry = self._entry(request)
        if entry is None:
            return
        delay = simulation.CLIENT_DELAY_S
        if entry.location.region != request.region:
            delay += simulation.BETWEEN_REGIONS_DELAY_S
        self.sim.after(delay, self._arrive, entry, request, delay)

    def _entry(self, request: simulation.Request) -> simulation.Entry | None:
        alive = [e for e in self.sim.entries if e.alive]
        if not alive:
            return None
        local = [e for e in alive if e.location.region == request.region] or alive
        if not self.spec.steer_entries:
            return self.rng.choice(local)
        views = [self._entry_view(e) for e in local]
        regions = sorted({e.location.region for e in local})
        self.rng.shuffle(regions)
        client = f"c{request.number}"
        lines = entry_choice.choose_entries(views, regions, client, self.sim.now)
        return self.sim.entries_by_id[lines[0].instance_id]

    def _entry_view(self, entry: simulation.Entry) -> entry_choice.EntryView:
        owned = self.pools_by_owner.get(entry.instance_id)
        return entry_choice.EntryView(
            entry.instance_id,
            entry.location.region,
            entry.location.failure_domain,
            entry_choice.EntryState.SERVING,
            0 if owned is None else owned.usable_slots(),
            0.0,
            self.sim.now,
        )

    def _arrive(
        self,
        entry: simulation.Entry,
        request: simulation.Request,
        to_client_s: float,
        excluded_ids: frozenset[ids.EndpointId] = frozenset(),
    ) -> None:
        if not entry.alive:
            return
        now = self.sim.now
        view = pool_choice.choose_pool(
            self._views(entry), request.patience, self.sim.setting.mean_s, now
        )
        if view is None:
            return
        request.attempts += 1
        if request.attempts == 1:
            self.budgets_by_id[entry.instance_id].record_first_attempt()
        request_id = f"{request.number}.{request.attempts}"
        owner_region = self.sim.entries_by_id[view.owner].location.region
        grants_to_entry = self.spec.remote == "lend" or (
            self.spec.remote == "mixed" and owner_region == entry.location.region
        )
        holder = entry.instance_id if grants_to_entry else view.owner
        patience = request.patience
        ask = pool.SlotRequest(
            request_id,
            holder,
            patience if self.spec.use_patience_classes else model.Patience.IMPATIENT,
            patience.value,
            (
                request.deadline - to_client_s
                if self.spec.pass_deadlines
                else now + NO_DEADLINE_S
            ),
            self.spec.allow_preemption
            and request.attempts == 1
            and patience is model.Patience.PATIENT,
            excluded_ids,
        )
        self.remote += view.distance_s > 0
        self.requests_by_id[request_id] = (entry, request, to_client_s, view.pool)
        self.directories_by_id[entry.instance_id].record_sent(view.pool)
        self.sim.after(view.distance_s, self._on_slot_request, view.owner, ask)

    def _views(self, entry: simulation.Entry) -> tuple[pool_choice.PoolView, ...]:
        region = entry.location.region
        regions = simulation.REGIONS if self.spec.allow_cross_region else (region,)
        owner = entry.instance_id
        own = {_pool(owner): p for o, p in self.pools_by_owner.items() if o == owner}
        directory = self.directories_by_id[owner]
        return directory.views(SERVICE, regions, own, self.sim.now)

    def _on_slot_request(self, owner: ids.InstanceId, ask: pool.SlotRequest) -> None:
        if not self.sim.entries_by_id[owner].alive:
            return
        self._apply_decisions(
            owner, self.pools_by_owner[owner].request_slot(ask, self.sim.now)
        )

    def _apply_decisions(
        self, owner: ids.InstanceId, decisions: tuple[pool.Decision, ...]
    ) -> None:
        for decision in decisions:
            match decision:
                case pool.Granted(ask, hold):
                    holder = self.sim.entries_by_id[ask.holder]
                    self.sim.after(
                        self._delay_between(owner, ask.holder),
                        self._dispatch,
                        holder,
                        owner,
                        ask,
                        hold,
                    )
                case pool.Refused(ask, _, _):
                    self._close_request(ask.request_id)
                case pool.Preempted(ask, hold):
                    self._preempt(owner, ask, hold)

    def _preempt(
        self, owner: ids.InstanceId, ask: pool.SlotRequest, hold: slots.Hold
    ) -> None:
        context = self.requests_by_id.get(ask.request_id)
        if context is None:
            return
        endpoint = self.sim.endpoints_by_id[hold.endpoint_id]
        holder = self.sim.entries_by_id[ask.holder]
        delay = self._delay_between(owner, ask.holder)
        delay += self.sim.delay(holder.location, endpoint.location)
        self.sim.after(delay, endpoint.cancel, context[1])

    def _dispatch(
        self,
        holder: simulation.Entry,
        owner: ids.InstanceId,
        ask: pool.SlotRequest,
        hold: slots.Hold,
    ) -> None:
        if not holder.alive:
            return
        entry, request, to_client_s, _ = self.requests_by_id[ask.request_id]
        endpoint = self.sim.endpoints_by_id[hold.endpoint_id]
        started_at = self.sim.now

        def reply(outcome: str) -> None:
            self.sim.after(
                self._delay_between(holder.instance_id, owner),
                self._on_release,
                owner,
                hold,
                OUTCOMES_BY_NAME.get(outcome),
                self.sim.now - started_at,
            )
            self._close_request(ask.request_id)
            if outcome == "cancelled" and entry.alive:
                self._arrive(entry, request, to_client_s)
            if outcome in ("failed", "shed") and entry.alive:
                end = RETRY_ENDS_BY_OUTCOME[outcome]
                self._retry(entry, request, to_client_s, hold.endpoint_id, end)
            if outcome == "answered" and entry.alive:
                back = self._delay_between(holder.instance_id, entry.instance_id)
                self.sim.complete(request, to_client_s + back)

        self.sim.send_to_endpoint(holder, endpoint, request, reply, hold.work_deadline)

    def _retry(
        self,
        entry: simulation.Entry,
        request: simulation.Request,
        to_client_s: float,
        endpoint_id: ids.EndpointId,
        end: retry.AttemptEnd,
    ) -> None:
        attempt = retry.Attempt(
            request.attempts,
            model.RequestClass.READ_ONLY,
            end,
            request.deadline,
            self.sim.setting.impatient_s,
        )
        budget = self.budgets_by_id[entry.instance_id]
        if retry.decide_retry(attempt, budget, 1, self.sim.now).is_ok():
            self._arrive(entry, request, to_client_s, frozenset({endpoint_id}))

    def _on_release(
        self,
        owner: ids.InstanceId,
        hold: slots.Hold,
        end: health.ExchangeOutcome | None,
        service_s: float,
    ) -> None:
        if not self.sim.entries_by_id[owner].alive:
            return
        owned = self.pools_by_owner.get(owner)
        if owned is None:
            return
        now = self.sim.now
        self._apply_decisions(
            owner, owned.release(hold.term, hold.number, end, service_s, now)
        )

    def _close_request(self, request_id: str) -> None:
        context = self.requests_by_id.pop(request_id, None)
        if context is not None:
            entry, _, _, asked = context
            self.directories_by_id[entry.instance_id].record_ended(asked)

    def _delay_between(self, a: ids.InstanceId, b: ids.InstanceId) -> float:
        if a == b:
            return 0.0
        entries_by_id = self.sim.entries_by_id
        return self.sim.delay(entries_by_id[a].location, entries_by_id[b].location)

    def _send_counts(self) -> None:
        self.count_sequence += 1
        for owner, owned in self.pools_by_owner.items():
            if not self.sim.entries_by_id[owner].alive:
                continue
            counts = pool_directory.current_counts(
                owned, self.count_sequence, self.sim.now
            )
            for instance_id in self.directories_by_id:
                if instance_id == owner:
                    continue
                delay_s = self._delay_between(owner, instance_id) + self.count_delay_s
                call = self.directories_by_id[instance_id].update_counts
                self.sim.after(delay_s, self._on_counts, call, owner, counts, delay_s)
        self.sim.after(COUNT_INTERVAL_S, self._send_counts)

    def _on_counts(
        self,
        update: Callable[..., None],
        owner: ids.InstanceId,
        counts: pool_directory.PoolCounts,
        delay_s: float,
    ) -> None:
        update(owner, {_pool(owner): counts}, self.sim.now, delay_s)

    def _tick(self) -> None:
        for owner, owned in list(self.pools_by_owner.items()):
            if self.sim.entries_by_id[owner].alive:
                self._apply_decisions(owner, owned.tick(self.sim.now))
        self.sim.after(TICK_INTERVAL_S, self._tick)

    def _reassign_slots(self, lease_end: float) -> None:
        setting = self.sim.setting
        quarantines = slots.quarantines_after_owner_loss(
            setting.slots,
            lease_end=lease_end,
            longest_deadline_s=setting.patient_deadline_s,
        )
        for owner in list(self.pools_by_owner):
            if self.sim.entries_by_id[owner].alive:
                continue
            del self.pools_by_owner[owner]
        self._assign_endpoints(quarantines)

    def _assign_endpoints(self, quarantines: tuple[slots.Quarantine, ...]) -> None:
        assigned_owners = ownership.RULES_BY_NAME[self.spec.owner_rule](self.sim)
        for endpoint in self.sim.endpoints:
            endpoint_id = endpoint.endpoint_id
            owner = assigned_owners[endpoint_id]
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
            owned.tick(self.sim.now)
        for entry in self.sim.entries:
            directory = self.directories_by_id[entry.instance_id]
            directory.set_pools(self._known_pools(entry), self.sim.now)

    def _known_pools(self, entry: simulation.Entry) -> list[pool_directory.KnownPool]:
        return [
            pool_directory.KnownPool(
                _pool(owner),
                self.sim.entries_by_id[owner].location.region,
                owner,
                owned.usable_slots(),
                self._delay_between(owner, entry.instance_id),
            )
            for owner, owned in self.pools_by_owner.items()
        ]

    def _new_pool(self) -> pool.SlotPool:
        self.last_term += 1
        table = slots.SlotTable(
            term=self.last_term,
            lease_until=float("inf"),
            longest_deadline_s=self.sim.setting.patient_deadline_s,
        )
        view = health.HealthView(3 if self.spec.detect_failures else 10**9)
        slot_pool = pool.SlotPool(table, view, random.Random(self.rng.random()))
        if not self.spec.shed_limits:
            slot_pool.shed_limits.recovery_s = 1e-9
        return slot_pool


def _pool(owner: ids.InstanceId) -> owners.Pool:
    return owners.Pool(SERVICE, ids.FailureDomainId(owner))
