"""Discrete-event simulation of network delays, entry instances and endpoints."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import math
import random
from collections.abc import Callable

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import owners

SAME_DOMAIN_DELAY_S = 0.00025
BETWEEN_REGIONS_DELAY_S = 0.055
CLIENT_DELAY_S = 0.003
CONNECT_DELAY_S = 0.001
COLD_REQUESTS = 150
REGIONS = ("r1", "r2", "r3")


@dataclasses.dataclass(frozen=True)
class Setting:
    """Sizes and assumed workload of one service in one deployment."""

    name: str
    endpoints: int
    slots: int
    entries: int
    between_domains_s: float
    patient_part: float
    impatient_s: float = 0.02
    patient_s: float = 0.06
    impatient_deadline_s: float = 0.5
    patient_deadline_s: float = 5.0

    @property
    def mean_s(self) -> float:
        """Return the mean service time over patient and impatient requests."""
        patient_s = self.patient_part * self.patient_s
        return patient_s + (1 - self.patient_part) * self.impatient_s


SETTINGS_BY_NAME = {
    setting.name: setting
    for setting in (
        Setting("batch", 20, 4, 11, 0.003, 0.2),
        Setting("pigment", 14, 5, 11, 0.003, 0.5),
        Setting("storefront", 18, 7, 10, 0.005, 0.1),
        Setting("artwork", 12, 7, 10, 0.005, 0.5),
    )
}


@dataclasses.dataclass(eq=False)
class Request:
    """A client's request and its outcome."""

    number: int
    region: ids.RegionId
    patience: model.Patience
    sent_at: float
    deadline: float
    base_service_s: float
    finished_at: float = math.inf
    done: bool = False
    attempts: int = 0


@dataclasses.dataclass(eq=False)
class Entry:
    """A simulated entry instance."""

    instance_id: ids.InstanceId
    location: owners.Location
    alive: bool = True


class Simulation:
    """The event queue and the simulated instances, endpoints and requests."""

    def __init__(self, setting: Setting, seed: int, shape: float) -> None:
        self.setting = setting
        self.rng = random.Random(seed)
        self.shape = shape
        self.now = 0.0
        self.requests: list[Request] = []
        self.capacity_factor = 1.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = 0
        self._idle_connections: collections.Counter = collections.Counter()
        domains = [
            owners.Location(ids.RegionId(r), ids.FailureDomainId(f"{r}{d}"))
            for d in "ab"
            for r in REGIONS
        ]
        self.entries = [
            Entry(ids.InstanceId(f"e{i:02}"), domains[i % 6])
            for i in range(setting.entries)
        ]
        self.endpoints = [
            Endpoint(self, ids.EndpointId(f"b{i:02}"), domains[i % 6], setting.slots)
            for i in range(setting.endpoints)
        ]
        self.endpoints_by_id = {e.endpoint_id: e for e in self.endpoints}
        self.entries_by_id = {e.instance_id: e for e in self.entries}

    def at(self, time: float, call: Callable[..., None], *args: object) -> None:
        """Schedule a call at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, call, args))

    def after(self, delay: float, call: Callable[..., None], *args: object) -> None:
        """Schedule a call after a delay."""
        self.at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Process the events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = until

    def delay(self, a: owners.Location, b: owners.Location) -> float:
        """Return the one-way network delay between two locations."""
        if a.region != b.region:
            return BETWEEN_REGIONS_DELAY_S
        if a.failure_domain != b.failure_domain:
            return self.setting.between_domains_s
        return SAME_DOMAIN_DELAY_S

    def draw_service_s(self, patience: model.Patience) -> float:
        """Draw the service time of a request."""
        impatient = patience is model.Patience.IMPATIENT
        mean = self.setting.impatient_s if impatient else self.setting.patient_s
        return self.rng.gammavariate(self.shape, mean / self.shape)

    def send_to_endpoint(
        self,
        entry: Entry,
        endpoint: Endpoint,
        request: Request,
        reply: Callable[[str], None],
        deadline: float,
    ) -> None:
        """Send a request; the reply is delivered only if the entry is still alive."""
        pair = (entry.instance_id, endpoint.endpoint_id)
        delay = self.delay(entry.location, endpoint.location)
        if self._idle_connections[pair] > 0:
            self._idle_connections[pair] -= 1
            connect = 0.0
        else:
            connect = CONNECT_DELAY_S + 2 * delay

        def deliver_reply(end: str) -> None:
            self._idle_connections[pair] += 1
            if entry.alive:
                reply(end)

        def respond(end: str) -> None:
            self.after(delay, deliver_reply, end)

        self.after(connect + delay, endpoint.receive, request, respond, deadline)

    def complete(self, request: Request, to_client_s: float = CLIENT_DELAY_S) -> None:
        """Record when the complete response reaches the client."""
        if not request.done:
            request.done = True
            request.finished_at = self.now + to_client_s


class Endpoint:
    """An endpoint with slots and a bounded queue; it sheds when the queue is full."""

    def __init__(
        self,
        sim: Simulation,
        endpoint_id: ids.EndpointId,
        location: owners.Location,
        slots: int,
    ) -> None:
        self.sim = sim
        self.endpoint_id = endpoint_id
        self.location = location
        self.slots = slots
        self.queue_limit = 4 * slots
        self.slow_factor = 1.0
        self.cold_requests_left = 0
        self.alive = True
        self.false_reports = False
        self.broken = False
        self.max_accepted: int | None = None
        self.running = 0
        self.arrivals_over_slots = 0
        self.peak_in_flight = 0
        self._queue: collections.deque = collections.deque()
        self._respond_by_request: dict[Request, Callable[[str], None]] = {}

    @property
    def in_flight(self) -> int:
        """The number of requests that are running or queued."""
        return self.running + len(self._queue)

    @property
    def reported_in_flight(self) -> int:
        """The number of requests that the endpoint reports, possibly false."""
        return 0 if self.false_reports else self.in_flight

    def receive(
        self, request: Request, respond: Callable[[str], None], deadline: float
    ) -> None:
        """Accept a request, or fail or shed it."""
        if not self.alive:
            return
        if self.broken:
            respond("failed")
            return
        if self.max_accepted is not None and self.in_flight >= self.max_accepted:
            respond("shed")
            return
        if self.in_flight >= self.slots:
            self.arrivals_over_slots += 1
        if len(self._queue) >= self.queue_limit:
            respond("shed")
            return
        self._queue.append((request, respond, deadline))
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self.running < self.slots:
            request, respond, deadline = self._queue.popleft()
            if deadline <= self.sim.now:
                respond("expired")
                continue
            service_s = request.base_service_s * self.slow_factor
            service_s /= self.sim.capacity_factor
            if self.cold_requests_left > 0:
                service_s *= 1.0 + 3.0 * self.cold_requests_left / COLD_REQUESTS
                self.cold_requests_left -= 1
            self.running += 1
            self._respond_by_request[request] = respond
            left_s = deadline - self.sim.now
            end = "answered" if service_s <= left_s else "expired"
            self.sim.after(
                min(service_s, left_s), self._finish_request, request, respond, end
            )

    def cancel(self, request: Request) -> None:
        """Stop a running request whose exchange was closed."""
        respond = self._respond_by_request.get(request)
        if respond is not None:
            self._finish_request(request, respond, "cancelled")

    def _finish_request(
        self, request: Request, respond: Callable[[str], None], end: str
    ) -> None:
        if self._respond_by_request.get(request) is not respond:
            return
        del self._respond_by_request[request]
        self.running -= 1
        if self.alive:
            respond(end)
            self._start_queued()
