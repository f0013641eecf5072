"""Apportionment of an endpoint's limits among the instances of a region."""

from __future__ import annotations

import builders
import hypothesis
import pytest
from hypothesis import strategies

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import apportionment

COUNTS = strategies.integers(1, 80)
NAMES = strategies.text("abcdef0123456789.:", min_size=1, max_size=12)


def shares_of_all(count: int, name: str) -> list[apportionment.Share]:
    peer_ids = builders.instance_ids(count)
    endpoint_id = ids.EndpointId(name)
    return [
        apportionment.Apportionment(instance_id, peer_ids).share(endpoint_id)
        for instance_id in peer_ids
    ]


@hypothesis.given(COUNTS, NAMES)
def test_each_rank_belongs_to_one_instance(count, name):
    ranks = [share.rank for share in shares_of_all(count, name)]
    assert sorted(ranks) == list(range(count))


@hypothesis.given(COUNTS, NAMES, strategies.integers(0, 500))
def test_shares_of_a_count_add_up_to_it_and_differ_by_one_at_most(count, name, limit):
    counts = [share.of_count(limit) for share in shares_of_all(count, name)]
    assert sum(counts) == limit
    assert max(counts) - min(counts) <= 1


@hypothesis.given(COUNTS, NAMES, strategies.floats(0.0, 500.0))
def test_shares_of_a_rate_add_up_to_the_part_of_those_that_place_alone(
    count, name, rate_per_s
):
    fractions = [share.of_rate(rate_per_s) for share in shares_of_all(count, name)]
    expected = pytest.approx(apportionment.SELF_PLACED_RATE_FRACTION)
    assert sum(fractions) == expected


@hypothesis.given(COUNTS, NAMES, strategies.floats(0.0, 500.0))
def test_each_user_of_a_rate_has_a_request_a_second_unless_it_is_alone(
    count, name, rate_per_s
):
    fractions = [share.of_rate(rate_per_s) for share in shares_of_all(count, name)]
    users = [fraction for fraction in fractions if fraction]
    assert users
    least_per_s = apportionment.MIN_RATE_PER_INSTANCE_S - 1e-6
    assert len(users) == 1 or min(users) * rate_per_s >= least_per_s


@hypothesis.given(strategies.floats(0.0, 500.0))
def test_instance_that_places_for_all_uses_the_whole_rate(rate_per_s):
    assert apportionment.WHOLE.of_rate(rate_per_s) == 1.0


@hypothesis.given(strategies.integers(2, 80), NAMES)
def test_instance_that_leaves_keeps_the_order_of_the_others(count, name):
    endpoint_id = ids.EndpointId(name)
    *peer_ids, leaving_id = builders.instance_ids(count)

    def order(instance_ids: list[ids.InstanceId]) -> list[ids.InstanceId]:
        ranks = {
            i: apportionment.Apportionment(i, instance_ids).share(endpoint_id).rank
            for i in peer_ids
        }
        return sorted(peer_ids, key=lambda i: ranks[i])

    assert order([*peer_ids, leaving_id]) == order(peer_ids)


def test_endpoints_are_spread_over_the_instances():
    count, endpoint_count = 10, 1000
    first_counts = [0] * count
    for number in range(endpoint_count):
        ranks = [s.rank for s in shares_of_all(count, f"10.1.{number}.1:80")]
        first_counts[ranks.index(0)] += 1
    average = endpoint_count / count
    assert max(first_counts) < 1.5 * average
    assert min(first_counts) > 0.5 * average
