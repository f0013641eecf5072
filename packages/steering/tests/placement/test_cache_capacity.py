"""Estimated cache capacity of endpoints, derived from request durations.

If the estimate does not follow the real cache size, requests are sent to endpoints that
have evicted their object, or away from endpoints that still have it.
"""

from __future__ import annotations

import collections
import random

import builders
import pytest

from yuccapitch.steering.placement import model

WARM_S, COLD_S = 0.3, 1.0


class Cache:
    """Endpoint with an LRU cache of ``size`` objects."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._keys: collections.OrderedDict[str, None] = collections.OrderedDict()

    def serve(self, key: str) -> float:
        duration_s = WARM_S if key in self._keys else COLD_S
        self._keys[key] = None
        self._keys.move_to_end(key)
        while len(self._keys) > self._size:
            self._keys.popitem(last=False)
        return duration_s


def serve_requests(dispatcher, caches, key_count, rng, count, now):
    """Serve requests one at a time; return the miss ratio and the end time."""
    misses = 0
    for number in range(count):
        request = builders.request(number, str(rng.randrange(key_count)), now)
        granted = dispatcher.place(request, now)
        assert isinstance(granted, model.Granted)
        took_s = caches[granted.endpoint.endpoint_id].serve(request.object_id)
        misses += took_s == COLD_S
        dispatcher.release(
            granted.attempt_id, model.Outcome.ANSWERED, None, None, now + took_s
        )
        now += 0.02
    return misses / count, now


@pytest.mark.parametrize("size", [10, 50])
def test_cache_capacity_is_estimated_from_durations(size):
    names = [f"e{n}" for n in range(8)]
    dispatcher = builders.make_dispatcher(
        *(builders.endpoint(n, slots=90) for n in names)
    )
    caches = {n: Cache(size) for n in names}
    rng = random.Random(3)
    serve_requests(dispatcher, caches, 8 * 60, rng, 6000, 0.0)
    estimated = dispatcher.table.cache_capacity(builders.SERVICE).objects
    assert size * 0.6 <= estimated <= size * 1.3


def test_requests_hit_the_cache_when_endpoints_cache_few_objects():
    names = [f"e{n}" for n in range(8)]
    dispatcher = builders.make_dispatcher(
        *(builders.endpoint(n, slots=90) for n in names)
    )
    caches = {n: Cache(10) for n in names}
    rng = random.Random(3)
    _, now = serve_requests(dispatcher, caches, 64, rng, 3000, 0.0)
    miss_ratio, _ = serve_requests(dispatcher, caches, 64, rng, 1000, now)
    assert miss_ratio < 0.2


def test_slow_endpoint_is_not_mistaken_for_one_with_a_small_cache():
    dispatcher = builders.make_dispatcher(builders.endpoint("e1", slots=9))
    now, key = 0.0, "7"
    for number in range(60):
        granted = dispatcher.place(builders.request(number, key, now), now)
        took_s = COLD_S if number == 0 else WARM_S
        slowdown = 4.0 if number > 20 else 1.0
        now += took_s * slowdown
        dispatcher.release(granted.attempt_id, model.Outcome.ANSWERED, None, None, now)
    state = dispatcher.table.states_by_id[granted.endpoint.endpoint_id]
    assert state.slowness > 3.0
    assert dispatcher.table.cache_capacity(builders.SERVICE).objects == 32.0
