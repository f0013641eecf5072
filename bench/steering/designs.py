"""Adapters that let each design decide within the stand-in world."""

from __future__ import annotations

import dataclasses
import math
import random

import result

from bench.steering import world as world_module
from yuccapitch.catalogue import ids, model
from yuccapitch.steering import endpoint_choice, retry, retry_budget

REPORT_INTERVAL_S = 0.25
BASELINE_ATTEMPTS = 4


@dataclasses.dataclass(frozen=True)
class Spec:
    """What makes up a design."""

    label: str
    kind: str = "slots"
    policy: str = endpoint_choice.DEFAULT_POLICY
    grain: str = "domain"
    remote: str = "lend"
    steer: bool = True
    lease_s: float = 4.0
    classes: bool = True
    recall: bool = True
    overflow: bool = True
    deadlines: bool = True
    doubt: bool = True
    budget: bool = True
    shed_limits: bool = True


class Unshared:
    """Designs in which entries do not coordinate: baseline and power of two."""

    def __init__(
        self, world: world_module.World, spec: Spec, report_delay_s: float
    ) -> None:
        self.world = world
        self.spec = spec
        self.report_delay_s = report_delay_s
        self.rng = random.Random(world.rng.random())
        self.remote = 0
        self.baseline = spec.kind == "baseline"
        self.budgets_by_entry = {
            e: retry_budget.RetryBudget(0.1 if spec.budget else 10.0)
            for e in world.entries
        }
        self.sheds_by_entry = {e: retry.RecentSheds() for e in world.entries}
        self.own_by_pair: dict[tuple, int] = {}
        self.reports_by_id: dict[ids.EndpointId, int] = {}
        if not self.baseline:
            world.after(0.0, self._report)

    def _report(self) -> None:
        counts = {e.endpoint_id: e.reported_in_flight for e in self.world.endpoints}
        self.world.after(self.report_delay_s, self.reports_by_id.update, counts)
        self.world.after(REPORT_INTERVAL_S, self._report)

    def submit(self, request: world_module.Request) -> None:
        """Let a caller send its request."""
        entry = self._entry(request)
        if entry is None:
            return
        delay = world_module.CLIENT_S
        if entry.place.region != request.region:
            delay += world_module.BETWEEN_REGIONS_S
        self.world.after(delay, self._attempt, entry, request, delay)

    def _entry(self, request: world_module.Request) -> world_module.Entry | None:
        alive = [e for e in self.world.entries if e.alive]
        local = [e for e in alive if e.place.region == request.region]
        return self.rng.choice(local or alive) if alive else None

    def _attempt(
        self,
        entry: world_module.Entry,
        request: world_module.Request,
        to_client_s: float,
    ) -> None:
        if not entry.alive or request.done:
            return
        request.attempts += 1
        number = request.attempts
        if number == 1:
            self.budgets_by_entry[entry].record_first_attempt()
        endpoint = self._endpoint(entry)
        if endpoint is None:
            return
        pair = (entry, endpoint.endpoint_id)
        self.own_by_pair[pair] = self.own_by_pair.get(pair, 0) + 1
        open_attempt = [True]

        def reply(end: str) -> None:
            if open_attempt[0]:
                self.own_by_pair[pair] -= 1
                open_attempt[0] = False
            if end == "answered":
                self.world.finish(request, to_client_s)
            elif end in ("shed", "failed"):
                self._retry(entry, request, endpoint, number, to_client_s)

        def time_out() -> None:
            if open_attempt[0]:
                self.own_by_pair[pair] -= 1
                open_attempt[0] = False
                if not request.done:
                    self._retry(entry, request, endpoint, number, to_client_s)

        if self.baseline:
            left_s = (request.deadline - request.sent_at) / BASELINE_ATTEMPTS
            self.world.after(left_s, time_out)
            deadline = math.inf
        else:
            deadline = request.deadline
        self.world.send_to_endpoint(entry, endpoint, request, reply, deadline)

    def _retry(
        self,
        entry: world_module.Entry,
        request: world_module.Request,
        endpoint: world_module.Endpoint,
        number: int,
        to_client_s: float,
    ) -> None:
        if self.baseline:
            if number < BASELINE_ATTEMPTS and number == request.attempts:
                self._attempt(entry, request, to_client_s)
            return
        now = self.world.now
        self.sheds_by_entry[entry].record(endpoint.endpoint_id, now)
        attempt = retry.Attempt(
            number,
            model.RequestClass.READ_ONLY,
            retry.AttemptEnd.SHED,
            request.deadline,
            self.world.setting.impatient_s,
        )
        decided = retry.decide_retry(attempt, self.budgets_by_entry[entry], 1, now)
        if isinstance(decided, result.Ok):
            self._attempt(entry, request, to_client_s)

    def _endpoint(self, entry: world_module.Entry) -> world_module.Endpoint | None:
        region = entry.place.region
        candidates = []
        for endpoint in self.world.endpoints:
            if endpoint.place.region != region or not endpoint.alive:
                continue
            endpoint_id = endpoint.endpoint_id
            own = self.own_by_pair.get((entry, endpoint_id), 0)
            used = own
            if self.spec.policy == "power-of-two":
                used = max(own, self.reports_by_id.get(endpoint_id, 0))
            candidates.append(
                endpoint_choice.Candidate(
                    endpoint_id, endpoint.slots, endpoint.slots - used
                )
            )
        avoided: frozenset[ids.EndpointId] = frozenset()
        if not self.baseline:
            avoided = self.sheds_by_entry[entry].endpoints_to_avoid(self.world.now)
        if len(avoided) >= len(candidates):
            avoided = frozenset()
        need = endpoint_choice.RequestProfile(
            model.Patience.IMPATIENT, 0.02, 0.0, avoided
        )
        chosen = endpoint_choice.choose(candidates, need, self.rng, self.spec.policy)
        return None if chosen is None else self.world.endpoints_by_id[chosen]
