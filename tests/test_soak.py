"""A short run of the soak, and what its checks are worth."""

from __future__ import annotations

import pathlib

import pytest

from tests.soak import history, run

HANGUP = "SIGHUP ended a process whose imports were not over"
# Seeds that a promise broke on, each with its cause, and the seed of every run.
REGRESSION_SEEDS = {
    20261204: "no failure",
    540815866: HANGUP,
    343411476: HANGUP,
    459155830: HANGUP,
    834672320: HANGUP,
    67705928: HANGUP,
    476417562: HANGUP,
    674041778: HANGUP,
    990515772: "the soak's own torn write was no first part of a record",
}


@pytest.mark.processes
@pytest.mark.timeout(300)
@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
async def test_soak_keeps_the_promises(seed: int, tmp_path: pathlib.Path):
    plan = run.Plan(seed, seconds=6.0, controls=3, entries=3, callers=4)
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    assert report.served > 0


def attempt(kind: str) -> history.Attempt:
    return history.Attempt("1", kind, "10.0.0.1:80", 0.0)


def test_history_finds_what_ran_twice():
    observations, twice = history.History(), attempt("unsafe")
    observations.record_start(twice)
    observations.record_execution("1", "e1")
    observations.record_execution("1", "e2")
    assert [v.guarantee for v in observations.violations] == ["at most once"]


@pytest.mark.parametrize("status", sorted(history.NOT_EXECUTED_STATUSES))
def test_history_finds_what_was_denied_and_ran(status):
    before, after = history.History(), history.History()
    for observations in (before, after):
        observations.record_start(attempt("upload"))
    before.record_execution("1", "e1")
    before.record_end(before.attempts_by_id["1"], status, 1.0)
    after.record_end(after.attempts_by_id["1"], status, 1.0)
    after.record_execution("1", "e1")
    assert [v.guarantee for v in before.violations] == ["not run is true"]
    assert [v.guarantee for v in after.violations] == ["not run is true"]


def test_history_finds_what_nobody_asked_for():
    observations = history.History()
    observations.record_execution("unknown", "e1")
    assert [v.guarantee for v in observations.violations] == ["asked for"]


def test_history_lets_a_read_run_again():
    observations, read = history.History(), attempt("safe")
    observations.record_start(read)
    observations.record_execution("1", "e1")
    observations.record_execution("1", "e2")
    observations.record_end(read, 503, 1.0)
    assert observations.violations == []
