"""Short runs of the soak test, and tests of its checks."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import types

import pytest

from tests.soak import (
    callers,
    deployment,
    endpoints,
    faults,
    history,
    operator,
    pipelining,
    run,
)

SIGHUP_DURING_IMPORT = "SIGHUP ended a process that was still importing modules"
SETTINGS_DURING_WRITE = "a process read its settings file while it was being written"
# Faults that were added after these seeds were found; drawing from all of them would
# inject others than those that caused the violations.
LATER_FAULTS = {
    "replace_control",
    "kill_everything_and_lose_a_disk",
    "repeat_refusals",
    "limit_endpoints",
    "stop_beside_held_requests",
    "stop_beside_silent_links",
}
# Seeds that caused a violation, each with its cause, and the default seed.
REGRESSION_SEEDS = {
    20261204: "no failure",
    540815866: SIGHUP_DURING_IMPORT,
    343411476: SIGHUP_DURING_IMPORT,
    459155830: SIGHUP_DURING_IMPORT,
    834672320: SIGHUP_DURING_IMPORT,
    67705928: SIGHUP_DURING_IMPORT,
    476417562: SIGHUP_DURING_IMPORT,
    674041778: SIGHUP_DURING_IMPORT,
    874358358: SETTINGS_DURING_WRITE,
    33741540: SETTINGS_DURING_WRITE,
    990515772: "the injected torn write was not a prefix of a valid record",
}


@pytest.mark.processes
@pytest.mark.timeout(300)
@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
async def test_soak_reports_no_violations(seed: int, tmp_path: pathlib.Path):
    names = tuple(sorted(faults.FAULTS_BY_NAME.keys() - LATER_FAULTS))
    plan = run.Plan(seed, 6.0, controls=3, entries=3, callers=4, fault_names=names)
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    assert report.served > 0


# Guards against a group of control instances that can't elect a leader once some were
# replaced at other addresses and all have lost power.
@pytest.mark.processes
@pytest.mark.timeout(300)
async def test_soak_replaces_control_instances(tmp_path: pathlib.Path):
    names = ("replace_control", "kill_everything_and_lose_a_disk", "change_routes")
    plan = run.Plan(
        1, 30.0, entries=2, callers=2, concurrent_faults=1, fault_names=names
    )
    report = await run.run(plan, tmp_path)
    assert report.violations == []


# Guards against endpoints that get more than the limit that they name, and against
# their earlier refusals that are taken for those of other requests.
@pytest.mark.processes
@pytest.mark.timeout(300)
async def test_soak_keeps_to_the_limits_of_endpoints(tmp_path: pathlib.Path):
    names = ("limit_endpoints", "repeat_refusals", "change_routes", "slow_endpoints")
    plan = run.Plan(
        1, 20.0, 3, entries=3, callers=30, fault_names=names, checks_rate_limits=True
    )
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    assert report.checks_by_guarantee["limits of endpoints are kept"] > 0


# Guards against responses that are lost in a planned stop because an earlier request of
# their connection is still in progress at its end.
@pytest.mark.processes
@pytest.mark.timeout(300)
async def test_soak_answers_whole_requests_in_planned_stops(tmp_path: pathlib.Path):
    names = ("stop_beside_held_requests", "change_routes", "slow_endpoints")
    plan = run.Plan(1, 16.0, controls=3, entries=3, callers=4, fault_names=names)
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    guarantee = "whole requests are answered in a planned stop"
    assert report.checks_by_guarantee[guarantee] > 0


# Guards against requests without an answer where decisions are lost with their links,
# beside a change of the routes and a stopping instance to which clients keep coming.
@pytest.mark.processes
@pytest.mark.timeout(300)
async def test_soak_answers_whole_requests_beside_silent_links(tmp_path: pathlib.Path):
    names = ("stop_beside_silent_links", "stop_beside_held_requests", "silence_links")
    plan = run.Plan(1, 10.0, controls=3, entries=3, callers=20, fault_names=names)
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    guarantee = "whole requests are answered in a planned stop"
    assert report.checks_by_guarantee[guarantee] > 0


def attempt(kind: str) -> history.Attempt:
    return history.Attempt("1", kind, "10.0.0.1:80", 0.0)


@pytest.mark.parametrize(
    ("revision", "status", "delay_s", "holds"),
    [
        (4, 200, 3.0, False),
        (4, 200, 1.0, True),
        (4, 503, 3.0, True),
        (5, 404, 3.0, False),
        (5, 404, 1.0, True),
        (5, 503, 3.0, True),
        (5, 200, 3.0, True),
    ],
)
def test_prober_detects_answers_by_an_older_revision(revision, status, delay_s, holds):
    observations = history.History()
    acknowledged = operator.Acknowledgement(5, 100.0)
    config_operator = types.SimpleNamespace(revision=5)
    prober = callers.Prober(None, config_operator, observations)
    probe = history.Attempt("1", "safe", "10.0.0.1:80", 100.0 + delay_s, status=status)
    prober._check_in_force(acknowledged, probe, revision)
    assert (observations.violations == []) is holds


# Guards against damage that no crash causes: two truncated records in a row, from two
# overlapping faults (seed 118290989), with which a process refuses to start.
def test_torn_record_is_appended_once_until_the_process_has_written(tmp_path):
    segment = tmp_path / "disk" / "log-1.segment"
    segment.parent.mkdir()
    segment.write_bytes(b"synced")
    instance = deployment.Instance("c", "control", "127.0.0.1", "z", tmp_path, [], "")
    rng = random.Random(1)
    instance.append_torn_record(rng)
    size = segment.stat().st_size
    assert size > len(b"synced")
    instance.append_torn_record(rng)
    assert segment.stat().st_size == size
    segment.write_bytes(b"synced and recovered")
    instance.append_torn_record(rng)
    assert segment.stat().st_size > len(b"synced and recovered")


def test_history_detects_repeated_execution():
    observations, repeated = history.History(), attempt("unsafe")
    observations.record_start(repeated)
    observations.record_execution("1", "e1")
    observations.record_execution("1", "e2")
    assert [v.guarantee for v in observations.violations] == ["at most once"]


@pytest.mark.parametrize("status", sorted(history.NOT_EXECUTED_STATUSES))
def test_history_detects_execution_of_rejected_requests(status):
    before, after = history.History(), history.History()
    for observations in (before, after):
        observations.record_start(attempt("upload"))
    before.record_execution("1", "e1")
    before.record_end(before.attempts_by_id["1"], status, 1.0)
    after.record_end(after.attempts_by_id["1"], status, 1.0)
    after.record_execution("1", "e1")
    assert [v.guarantee for v in before.violations] == [
        "not-executed responses are correct"
    ]
    assert [v.guarantee for v in after.violations] == [
        "not-executed responses are correct"
    ]


def test_history_detects_execution_of_unknown_requests():
    observations = history.History()
    observations.record_execution("unknown", "e1")
    assert [v.guarantee for v in observations.violations] == [
        "executed requests were sent"
    ]


def test_history_allows_repeated_execution_of_reads():
    observations, read = history.History(), attempt("safe")
    observations.record_start(read)
    observations.record_execution("1", "e1")
    observations.record_execution("1", "e2")
    observations.record_end(read, 503, 1.0)
    assert observations.violations == []


STOP = (2.0, signal.SIGTERM)
AT_WORK, NOT_EXECUTED, NOT_SENT = "at work", "not executed", "not sent"


@pytest.mark.parametrize(
    ("signals", "status", "answered_at", "holds"),
    [
        ([STOP], None, 3.0, False),
        ([STOP], None, 1.0, False),
        ([STOP, (3.0, signal.SIGHUP)], None, 3.0, False),
        ([STOP, (9.0, signal.SIGKILL)], None, 3.0, False),
        ([STOP, (7.0, signal.SIGKILL)], None, 3.0, True),
        ([(1.0, signal.SIGSTOP), STOP], None, 3.0, True),
        ([STOP], 504, 3.0, True),
        ([STOP], None, 7.9, True),
        ([STOP], None, AT_WORK, True),
        ([STOP], None, NOT_EXECUTED, False),
        ([STOP], 503, NOT_EXECUTED, True),
        ([STOP], None, NOT_SENT, True),
        ([(9.0, signal.SIGTERM)], None, 3.0, True),
    ],
)
def test_history_detects_requests_lost_in_planned_stops(
    signals, status, answered_at, holds
):
    entry = deployment.Instance(
        "e", "entry", "10.0.0.1", "z", pathlib.Path(), [], "",
        processes=[deployment.Process(0.0, signals), deployment.Process(8.5)],
    )  # fmt: skip
    observations = history.History()
    address = f"{entry.ip}:{deployment.CALLERS_PORT}"
    is_sent = answered_at != NOT_SENT
    lost = history.Attempt("1", "safe", address, 1.0, is_sent_whole=is_sent)
    observations.record_start(lost)
    if answered_at not in (NOT_EXECUTED, NOT_SENT):
        observations.record_execution("1", "e1")
    if isinstance(answered_at, float):
        observations.record_answer("1", answered_at)
    observations.record_end(lost, status, 8.0)
    observations.check_planned_stops([entry])
    assert (observations.violations == []) is holds


@pytest.mark.parametrize(
    ("attempt_id", "is_whole", "connection", "goes_on", "violated"),
    [
        ("l-e-1", True, "keep-alive", True, []),
        ("l-e-1", True, "Close", False, []),
        ("l-e-2", True, "keep-alive", False, ["responses come in order"]),
        ("l-e-1", False, "keep-alive", True, ["complete responses"]),
    ],
)
async def test_pipelining_caller_checks_responses(
    attempt_id, is_whole, connection, goes_on, violated
):
    entry = types.SimpleNamespace(name="e", ip="10.0.0.1")
    observations = history.History()
    caller = pipelining.PipeliningCaller(entry, observations, random.Random(1))
    target = caller.next_request().split()[1].decode()
    caller.next_request()
    content = endpoints.response_body("l-e-1", target, b"")[: None if is_whole else -1]
    reader = asyncio.StreamReader()
    reader.feed_data(
        f"HTTP/1.1 200 OK\r\nattempt-id: {attempt_id}\r\nConnection: {connection}\r\n"
        f"content-length: {len(content)}\r\n\r\n".encode()
    )
    reader.feed_data(content)
    assert await caller.receive(reader) is goes_on
    assert [v.guarantee for v in observations.violations] == violated
