"""Tests of the selection of a region's dispatcher."""

from __future__ import annotations

import pytest

from yuccapitch.control import dispatcher_choice

ENTRY, CONTROL, LEADER, SLOW_ENTRY = dispatcher_choice.CandidateRank


def candidate(
    name: str, rank: dispatcher_choice.CandidateRank, joined_at: float = 0.0
) -> dispatcher_choice.Candidate:
    return dispatcher_choice.Candidate(name, "north", rank, joined_at)


def choose(former: str | None, *candidates: dispatcher_choice.Candidate) -> str:
    by_region = {} if former is None else {"north": former}
    return dispatcher_choice.choose(candidates, by_region, 10.0)["north"]


def test_choose_prefers_an_entry_whose_link_is_fast():
    # Entry instances continue to grant places after a loss of all control instances.
    assert choose(None, candidate("c", CONTROL), candidate("e", ENTRY)) == "e"


def test_choose_prefers_a_control_instance_to_an_entry_on_a_slow_link():
    candidates = [
        candidate("e", SLOW_ENTRY),
        candidate("l", LEADER),
        candidate("c", CONTROL),
    ]
    assert choose(None, *candidates) == "c"
    assert choose(None, *candidates[:2]) == "l"
    assert choose(None, *candidates[:1]) == "e"


@pytest.mark.parametrize("standing", dispatcher_choice.CandidateRank)
def test_choose_keeps_a_dispatcher_of_equal_rank(standing):
    candidates = [candidate("a", standing, 9.0), candidate("b", standing, 1.0)]
    assert choose("a", *candidates) == "a"
    assert choose("b", *candidates) == "b"


def test_choose_replaces_an_instance_that_became_leader():
    assert choose("a", candidate("a", LEADER), candidate("b", CONTROL)) == "b"


def test_choose_waits_until_the_better_candidate_has_warmed_up():
    entry, control = candidate("e", SLOW_ENTRY), candidate("c", CONTROL, 9.5)
    assert choose("e", entry, control) == "e"
    # No candidate has warmed up when the whole system starts, so the rank decides.
    assert choose("e", candidate("e", SLOW_ENTRY, 9.4), control) == "c"


def test_choose_omits_a_region_without_candidates():
    assert dispatcher_choice.choose([], {"north": "a"}, 10.0) == {}
