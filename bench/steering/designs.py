"""Specifications of the designs, and the adapter for those without owners."""

from __future__ import annotations

import dataclasses
import math
import random

import result

from bench.steering import simulation
from yuccapitch.catalogue import ids, model
from yuccapitch.steering import endpoint_choice, retry, retry_budget

REPORT_INTERVAL_S = 0.25
BASELINE_ATTEMPTS = 4


@dataclasses.dataclass(frozen=True)
class DesignSpec:
    """Options that define a design."""

    label: str
    kind: str = "slots"
    policy: str = endpoint_choice.DEFAULT_POLICY
    owner_rule: str = "domain"
    remote: str = "lend"
    """Who sends a request whose slot another instance owns: the entry ("lend"),
    the owner ("forward"), or the entry only within its region ("mixed")."""
    steer_entries: bool = True
    lease_s: float = 4.0
    use_patience_classes: bool = True
    allow_preemption: bool = True
    allow_cross_region: bool = True
    pass_deadlines: bool = True
    detect_failures: bool = True
    limit_retries: bool = True
    shed_limits: bool = True


class UncoordinatedDesign:
    """A design in which entry instances do not coordinate their choices."""

    def __init__(
        self, sim: simulation.Simulation, spec: DesignSpec, report_delay_s: float
    ) -> None:
        self.sim = sim
        self.spec = spec
        self.report_delay_s = report_delay_s
        self.rng = random.Random(sim.rng.random())
        self.remote = 0
        self.is_baseline = spec.kind == "baseline"
        self.budgets_by_entry = {
            e: retry_budget.RetryBudget(0.1 if spec.limit_retries else 10.0)
            for e in sim.entries
        }
        self.sheds_by_entry = {e: retry.RecentSheds() for e in sim.entries}
        self.in_flight_by_pair: dict[tuple, int] = {}
        self.reports_by_id: dict[ids.EndpointId, int] = {}
        if not self.is_baseline:
            sim.after(0.0, self._report)

    def _report(self) -> None:
        counts = {e.endpoint_id: e.reported_in_flight for e in self.sim.endpoints}
        self.sim.after(self.report_delay_s, self.reports_by_id.update, counts)
        self.sim.after(REPORT_INTERVAL_S, self._report)

    def submit(self, request: simulation.Request) -> None:
        """Send a client's request to a random entry instance, preferring local ones."""
        entry = self._entry(request)
        if entry is None:
            return
        delay = simulation.CLIENT_DELAY_S
        if entry.location.region != request.region:
            delay += simulation.BETWEEN_REGIONS_DELAY_S
        self.sim.after(delay, self._attempt, entry, request, delay)

    def _entry(self, request: simulation.Request) -> simulation.Entry | None:
        alive = [e for e in self.sim.entries if e.alive]
        local = [e for e in alive if e.location.region == request.region]
        return self.rng.choice(local or alive) if alive else None

    def _attempt(
        self,
        entry: simulation.Entry,
        request: simulation.Request,
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
        self.in_flight_by_pair[pair] = self.in_flight_by_pair.get(pair, 0) + 1
        is_open = [True]

        def reply(end: str) -> None:
            if is_open[0]:
                self.in_flight_by_pair[pair] -= 1
                is_open[0] = False
            if end == "answered":
                self.sim.complete(request, to_client_s)
            elif end in ("shed", "failed"):
                self._retry(entry, request, endpoint, number, to_client_s)

        def time_out() -> None:
            if is_open[0]:
                self.in_flight_by_pair[pair] -= 1
                is_open[0] = False
                if not request.done:
                    self._retry(entry, request, endpoint, number, to_client_s)

        if self.is_baseline:
            left_s = (request.deadline - request.sent_at) / BASELINE_ATTEMPTS
            self.sim.after(left_s, time_out)
            deadline = math.inf
        else:
            deadline = request.deadline
        self.sim.send_to_endpoint(entry, endpoint, request, reply, deadline)

    def _retry(
        self,
        entry: simulation.Entry,
        request: simulation.Request,
        endpoint: simulation.Endpoint,
        number: int,
        to_client_s: float,
    ) -> None:
        if self.is_baseline:
            if number < BASELINE_ATTEMPTS and number == request.attempts:
                self._attempt(entry, request, to_client_s)
            return
        now = self.sim.now
        self.sheds_by_entry[entry].record(endpoint.endpoint_id, now)
        attempt = retry.Attempt(
            number,
            model.RequestClass.READ_ONLY,
            retry.AttemptEnd.SHED,
            request.deadline,
            self.sim.setting.impatient_s,
        )
        decision = retry.decide_retry(attempt, self.budgets_by_entry[entry], 1, now)
        if isinstance(decision, result.Ok):
            self._attempt(entry, request, to_client_s)

    def _endpoint(self, entry: simulation.Entry) -> simulation.Endpoint | None:
        region = entry.location.region
        candidates = []
        for endpoint in self.sim.endpoints:
            if endpoint.location.region != region or not endpoint.alive:
                continue
            endpoint_id = endpoint.endpoint_id
            in_flight = self.in_flight_by_pair.get((entry, endpoint_id), 0)
            used = in_flight
            if self.spec.policy == "power-of-two":
                used = max(in_flight, self.reports_by_id.get(endpoint_id, 0))
            candidates.append(
                endpoint_choice.Candidate(
                    endpoint_id, endpoint.slots, endpoint.slots - used
                )
            )
        excluded_ids: frozenset[ids.EndpointId] = frozenset()
        if not self.is_baseline:
            excluded_ids = self.sheds_by_entry[entry].endpoints_to_avoid(self.sim.now)
        if len(excluded_ids) >= len(candidates):
            excluded_ids = frozenset()
        profile = endpoint_choice.RequestProfile(
            model.Patience.IMPATIENT, 0.02, 0.0, excluded_ids
        )
        chosen = endpoint_choice.choose(candidates, profile, self.rng, self.spec.policy)
        return None if chosen is None else self.sim.endpoints_by_id[chosen]
