"""Tests of reading the platform's list page by page, in simulated time."""

from __future__ import annotations

import asyncio
import contextlib
import json
import types
import urllib.parse
from collections.abc import Callable

import pytest

from tests import simulated_time
from yuccapitch.control import coordinator, orders
from yuccapitch.gateway.http1 import messages
from yuccapitch.platform import endpoint_list

# Round trip between regions, and page length of the platform.
ROUND_TRIP_S = 0.11
PAGE_LENGTH = 50
# Time in which a request may still reach an endpoint that is listed as leaving.
DRAIN_S = 3.0
# Time for a change to reach the entry instances after the leader knows it: twice a
# round trip.
PUSH_S = 2 * ROUND_TRIP_S
REGIONS = {
    f"{region}-{letter}": region
    for region in ("north", "middle", "south")
    for letter in "abc"
}
DOMAINS = tuple(REGIONS)
COLUMNS = ["id", "service", "address", "zone", "slots", "state", "born"]
LARGE = 813


class FakePlatform:
    """The platform's list, whose calls each take a round trip of simulated time."""

    def __init__(self, endpoint_count: int, domains: tuple[str, ...] = DOMAINS) -> None:
        self.rows = [
            [f"i-{n}", "orders", "10.0.0.9:80", domains[n % len(domains)], 4, "ready"]
            + [1]
            for n in range(endpoint_count)
        ]
        self.call_times: list[float] = []
        self.queries: list[dict[str, str]] = []
        self.pending_count = 0
        self.status_by_zone: dict[str | None, int] = {}
        self.ignores_zone = False

    def set_state(self, endpoint_id: str, state: str) -> None:
        """Change the state of one endpoint in the list."""
        for row in self.rows:
            if row[0] == endpoint_id:
                row[5] = state

    async def exchange(self, data: bytes) -> messages.Response:
        """Answer a call with the page as it is after half of the round trip."""
        target = data.split(b" ")[1].decode()
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
        self.call_times.append(asyncio.get_running_loop().time())
        self.queries.append(query)
        self.pending_count += 1
        try:
            await asyncio.sleep(ROUND_TRIP_S / 2)
            response = self._respond(query)
            await asyncio.sleep(ROUND_TRIP_S / 2)
        finally:
            self.pending_count -= 1
        return response

    def _respond(self, query: dict[str, str]) -> messages.Response:
        zone = query.get("zone")
        status = self.status_by_zone.get(zone, 200)
        selects_all = zone is None or self.ignores_zone
        rows = [list(row) for row in self.rows if selects_all or row[3] == zone]
        start = int(query.get("pageToken", "0"))
        end = start + PAGE_LENGTH
        page = {
            "instances": {"columns": COLUMNS, "rows": rows[start:end]},
            "nextToken": str(end) if end < len(rows) else None,
        }
        return messages.Response(status, [], json.dumps(page).encode())


class Leader:
    """Coordinator of a leader that reads a fake platform in the loop's time."""

    def __init__(self, platform: FakePlatform, **reader_settings: float) -> None:
        clock = asyncio.get_running_loop().time
        reader = endpoint_list.EndpointListReader(
            ("127.0.0.1", 1), REGIONS, clock, **reader_settings
        )
        reader._exchange = platform.exchange  # type: ignore[method-assign]
        links = types.SimpleNamespace(
            handle=lambda message_type, handler: None, send=lambda peer, message: True
        )
        self.coordinator = coordinator.Coordinator(
            "10.0.0.1:7000", orders.OrderState(), links, reader, clock  # type: ignore
        )
        self.replica = types.SimpleNamespace(
            core=types.SimpleNamespace(term=3, members=types.SimpleNamespace()),
            is_leader=True,
        )
        self.coordinator.attach(self.replica, lambda: None)  # type: ignore
        self.clock = clock

    @property
    def endpoints_by_id(self):
        return self.coordinator.fleet.endpoints_by_id

    async def read(self) -> float:
        """Read the list once and return the simulated time that it takes."""
        started_at = self.clock()
        await self.coordinator._update_endpoints()
        return self.clock() - started_at

    @contextlib.asynccontextmanager
    async def running(self):
        """Read the list again and again, until the end of the context."""
        task = asyncio.create_task(self.coordinator.run_endpoint_updates())
        yield task
        task.cancel()
        await asyncio.wait([task])

    async def wait_until(self, is_reached: Callable[[], bool]) -> None:
        given_up_at = self.clock() + 60.0
        while not is_reached():
            assert self.clock() < given_up_at
            await asyncio.sleep(0.01)


# Guards against requests that reach an endpoint more than 3 s after the platform's list
# shows it as leaving.
def test_reading_takes_the_round_trips_of_the_largest_domain():
    async def measure():
        leader = Leader(FakePlatform(LARGE))
        await leader.read()
        assert len(leader.endpoints_by_id) == LARGE
        duration_s = await leader.read()
        assert len(leader.endpoints_by_id) == LARGE
        return duration_s

    largest_domain_pages = -(-LARGE // len(DOMAINS) // PAGE_LENGTH)
    expected_s = pytest.approx(largest_domain_pages * ROUND_TRIP_S)
    assert simulated_time.run(measure()) == expected_s


@pytest.mark.parametrize("endpoint_count", [60, 400, 500, LARGE, 1600])
def test_leaving_endpoint_is_known_within_the_drain_time(endpoint_count):
    async def measure():
        platform = FakePlatform(endpoint_count)
        leader = Leader(platform)
        longest_s = 0.0
        async with leader.running():
            # The changes happen at many times within a reading.
            for n in range(40):
                endpoint_id = f"i-{n}"
                await asyncio.sleep(4.0 + 0.07 * n)
                platform.set_state(endpoint_id, "draining")
                listed_at = leader.clock()
                await leader.wait_until(
                    lambda: leader.endpoints_by_id[endpoint_id].is_leaving
                )
                longest_s = max(longest_s, leader.clock() - listed_at)
        return longest_s

    assert simulated_time.run(measure()) <= DRAIN_S - PUSH_S


def test_calls_per_second_stay_about_the_same():
    async def count():
        platform = FakePlatform(LARGE)
        leader = Leader(platform)
        async with leader.running():
            await asyncio.sleep(100.0)
        return len(platform.call_times)

    # Whole readings from another region are 17 round trips long.
    assert simulated_time.run(count()) / 100.0 <= 1.4 / ROUND_TRIP_S


def test_small_list_is_read_whole():
    async def collect():
        platform = FakePlatform(190)
        leader = Leader(platform)
        async with leader.running():
            await asyncio.sleep(20.0)
        return platform

    platform = simulated_time.run(collect())
    assert all("zone" not in query for query in platform.queries)
    assert len(platform.queries) == pytest.approx(4 * 20, abs=4)


def test_list_that_shrinks_is_read_whole_again():
    async def collect():
        platform = FakePlatform(LARGE)
        leader = Leader(platform)
        async with leader.running():
            await asyncio.sleep(10.0)
            assert "zone" in platform.queries[-1]
            del platform.rows[60:]
            await asyncio.sleep(10.0)
            assert "zone" not in platform.queries[-1]
            return len(leader.endpoints_by_id)

    assert simulated_time.run(collect()) == 60


def test_new_leader_reads_a_long_list_by_domain_at_once():
    async def measure():
        platform = FakePlatform(LARGE)
        former, leader = Leader(platform), Leader(platform)
        await former.read()
        leader.coordinator.fleet.endpoints_by_id = dict(former.endpoints_by_id)
        return await leader.read()

    assert simulated_time.run(measure()) == pytest.approx(2 * ROUND_TRIP_S)


def test_long_list_is_read_whole_near_the_call_rate():
    async def collect():
        platform = FakePlatform(LARGE)
        leader = Leader(platform, max_calls_per_s=40.0)
        async with leader.running():
            await asyncio.sleep(10.0)
        return platform.queries

    assert all("zone" not in query for query in simulated_time.run(collect()))


@pytest.mark.parametrize("max_calls_per_s", [20.0, 40.0, 60.0, 1000.0])
@pytest.mark.parametrize("endpoint_count", [500, LARGE, 1600])
def test_calls_within_any_second_stay_within_the_rate(endpoint_count, max_calls_per_s):
    async def collect():
        platform = FakePlatform(endpoint_count)
        leader = Leader(platform, max_calls_per_s=max_calls_per_s)
        async with leader.running():
            await asyncio.sleep(30.0)
        return platform.call_times

    times = simulated_time.run(collect())
    for start in times:
        assert sum(start <= time < start + 1.0 for time in times) <= max_calls_per_s


def test_failed_domain_keeps_the_list_and_its_age():
    async def check():
        platform = FakePlatform(LARGE)
        leader = Leader(platform)
        await leader.read()
        await leader.read()
        fleet = leader.coordinator.fleet
        version, read_at = fleet.endpoints_version, fleet.endpoints_read_at
        platform.status_by_zone["middle-b"] = 429
        platform.set_state("i-0", "draining")
        await leader.read()
        assert len(leader.endpoints_by_id) == LARGE
        assert fleet.endpoints_version == version
        assert fleet.endpoints_read_at == read_at
        platform.status_by_zone.clear()
        started_at = leader.clock()
        await leader.read()
        assert leader.endpoints_by_id["i-0"].is_leaving
        assert fleet.endpoints_version == version + 1
        assert fleet.endpoints_read_at == started_at

    simulated_time.run(check())


def test_domain_that_keeps_failing_does_not_stop_the_reading():
    async def check():
        platform = FakePlatform(LARGE)
        leader = Leader(platform)
        async with leader.running():
            await asyncio.sleep(10.0)
            platform.status_by_zone["middle-b"] = 400
            platform.set_state("i-0", "draining")
            await asyncio.sleep(10.0)
            assert leader.endpoints_by_id["i-0"].is_leaving

    simulated_time.run(check())


def test_endpoint_that_moves_to_another_domain_is_kept_as_started_last():
    async def check():
        platform = FakePlatform(LARGE)
        leader = Leader(platform)
        await leader.read()
        # It was moved between the readings, and the list shows it in both places.
        moved = [*platform.rows[0][:3], DOMAINS[-1], 4, "ready", 2]
        platform.rows.append(moved)
        await leader.read()
        assert leader.endpoints_by_id["i-0"].failure_domain == DOMAINS[-1]
        assert len(leader.endpoints_by_id) == LARGE
        del platform.rows[0]
        await leader.read()
        assert leader.endpoints_by_id["i-0"].failure_domain == DOMAINS[-1]
        assert len(leader.endpoints_by_id) == LARGE

    simulated_time.run(check())


def test_both_ways_of_reading_return_the_same_endpoints():
    async def check():
        platform = FakePlatform(LARGE)
        # An endpoint outside the failure domains of the settings is used by neither.
        platform.rows[7][3] = "elsewhere"
        platform.rows[9][4] = "many"
        leader = Leader(platform)
        await leader.read()
        whole = dict(leader.endpoints_by_id)
        await leader.read()
        assert "zone" in platform.queries[-1]
        assert leader.endpoints_by_id == whole
        assert len(whole) == LARGE - 2

    simulated_time.run(check())


def test_platform_that_ignores_the_domain_is_read_whole():
    async def check():
        platform = FakePlatform(LARGE)
        platform.ignores_zone = True
        leader = Leader(platform)
        await leader.read()
        await leader.read()
        assert "zone" in platform.queries[-1]
        calls = len(platform.queries)
        await leader.read()
        assert len(platform.queries) == calls + 17
        assert len(leader.endpoints_by_id) == LARGE

    simulated_time.run(check())


def test_stop_ends_the_readings_of_all_domains():
    async def check():
        platform = FakePlatform(LARGE)
        leader = Leader(platform)
        async with leader.running() as task:
            await asyncio.sleep(10.0)
            await leader.wait_until(lambda: platform.pending_count == len(DOMAINS))
            task.cancel()
            await asyncio.wait([task])
            assert task.cancelled()
            assert platform.pending_count == 0
            calls = len(platform.queries)
            await asyncio.sleep(5.0)
            assert len(platform.queries) == calls

    simulated_time.run(check())


def test_list_read_by_a_former_leader_is_not_applied():
    async def check():
        platform = FakePlatform(LARGE)
        leader = Leader(platform)
        await leader.read()
        platform.set_state("i-0", "draining")
        reading = asyncio.create_task(leader.read())
        await asyncio.sleep(ROUND_TRIP_S)
        leader.replica.is_leader = False
        await reading
        assert not leader.endpoints_by_id["i-0"].is_leaving

    simulated_time.run(check())
