"""Short runs of the soak test, and tests of its checks."""

from __future__ import annotations

import asyncio
import concurrent.futures
import contextlib
import errno
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import types

import pytest

from tests import ports
from tests.soak import (
    callers,
    clients,
    deployment,
    endpoints,
    faults,
    history,
    invalid_answers,
    losses,
    memory,
    operator,
    pipelining,
    run,
    site,
    stepped_clock,
)
from yuccapitch.platform import node_file

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
    "stop_in_series",
    "change_in_series",
    "exchange_seeds",
    "step_clock",
    "fill_disk",
    "reset_endpoint_connections",
    "garble_answers",
    "read_late",
    "respond_without_end",
    "break_off",
    "answer_with_invalid_status",
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
    assert report.checks_by_guarantee[losses.STOP] > 0


# Guards against requests without an answer where decisions are lost with their links,
# beside a change of the routes and a stopping instance to which clients keep coming.
@pytest.mark.processes
@pytest.mark.timeout(300)
async def test_soak_answers_whole_requests_beside_silent_links(tmp_path: pathlib.Path):
    names = ("stop_beside_silent_links", "stop_beside_held_requests", "silence_links")
    plan = run.Plan(1, 10.0, controls=3, entries=3, callers=20, fault_names=names)
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    assert report.checks_by_guarantee[losses.DISRUPTED_STOP] > 0


# Guards against requests that are lost where stops, reloads and changes overlap, while
# clients keep using connections of instances that stop, and others keep reconnecting.
@pytest.mark.processes
@pytest.mark.timeout(300)
async def test_soak_answers_whole_requests_beside_planned_work(tmp_path: pathlib.Path):
    names = ("stop_in_series", "change_in_series", "stop_beside_held_requests")
    plan = run.Plan(
        1, 12.0, 3, entries=4, callers=8, fault_names=names, clinging_callers=4
    )
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    for guarantee in (losses.STOP, losses.RELOAD, losses.CHANGE, losses.KEPT):
        assert report.checks_by_guarantee[guarantee] > 0


# Guards against requests that are lost where all seeds are exchanged while instances
# stop, and against instances that follow the former seeds.
@pytest.mark.processes
@pytest.mark.timeout(300)
async def test_soak_answers_whole_requests_beside_exchanged_seeds(
    tmp_path: pathlib.Path,
):
    names = ("exchange_seeds", "change_routes", "stop_control")
    plan = run.Plan(1, 12.0, controls=6, entries=3, callers=4, fault_names=names)
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    assert report.faults_by_name["exchange_seeds"] > 1


# Guards against requests that are lost, and leases that end, at a step of the time of
# day; and against a check of the voters that such a step misleads.
@pytest.mark.processes
@pytest.mark.timeout(300)
async def test_soak_answers_whole_requests_beside_steps_of_the_time_of_day(
    tmp_path: pathlib.Path,
):
    names = ("step_clock", "stop_in_series", "change_routes", "lose_disk")
    plan = run.Plan(1, 12.0, controls=3, entries=3, callers=4, fault_names=names)
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    assert report.faults_by_name["step_clock"] > 1


# Guards against instances that end themselves, over requests that they have passed on,
# because nothing takes what they log.
@pytest.mark.processes
@pytest.mark.timeout(300)
async def test_soak_loses_nothing_beside_full_logs(tmp_path: pathlib.Path):
    its_site = site.SITES_BY_PROFILE["full-logs"]
    plan = run.Plan(
        1, 20.0, 3, entries=5, callers=12, concurrent_faults=2, clinging_callers=9,
        fault_names=site.PLANNED_FAULTS, site=its_site,
    )  # fmt: skip
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    for guarantee in (losses.STOP, losses.RELOAD, losses.CHANGE, losses.KEPT):
        assert report.checks_by_guarantee[guarantee] > 0


# Guards against uploads that a stopping instance fails while their endpoint is at work,
# since the kernel ends the connection to an endpoint that reads the body late.
@pytest.mark.processes
@pytest.mark.timeout(300)
async def test_soak_answers_uploads_that_endpoints_read_late(tmp_path: pathlib.Path):
    names = ("read_late", "stop_in_series")
    plan = run.Plan(1, 10.0, controls=3, entries=4, callers=12, fault_names=names)
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    assert report.checks_by_guarantee[losses.REPLACED] > 0
    assert report.faults_by_name["read_late"] > 1


# Guards against instances that bytes without end from endpoints end, together with the
# requests of others; parts of answers that count as whole; and a wait for what follows
# a status without a meaning.
@pytest.mark.processes
@pytest.mark.timeout(300)
async def test_soak_answers_beside_invalid_answers_of_endpoints(
    tmp_path: pathlib.Path,
):
    names = ("respond_without_end", "break_off", "answer_with_invalid_status")
    plan = run.Plan(
        1, 12.0, controls=3, entries=2, callers=16, fault_names=names,
        clinging_callers=8,
    )  # fmt: skip
    report = await run.run(plan, tmp_path)
    assert report.violations == []
    assert report.checks_by_guarantee[losses.INVALID] > 0
    for name in names:
        assert report.faults_by_name[name] > 0


# Guards against an injected full disk that takes writes, or that stays full.
async def test_instance_fills_its_disk_for_a_time(tmp_path: pathlib.Path):
    instance = deployment.Instance("c", "control", "", "z", tmp_path, [], "")
    path = tmp_path / "file"
    program = f"import sys\nfor _ in sys.stdin:\n with open({str(path)!r}, 'ab') as f:"
    program += "\n  try: f.write(b'1'); f.flush(); print('ok', flush=True)"
    program += "\n  except OSError as e: print(e.errno, flush=True); f.raw.close()"
    with subprocess.Popen(
        [sys.executable, "-S", "-c", program],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as popen:
        instance.popen = popen
        for full_s, expected in ((0.0, "ok"), (9.0, str(errno.EFBIG)), (0.0, "ok")):
            instance.disk_full_until = time.monotonic() + full_s
            instance.limit_files()
            popen.stdin.write(b"\n")
            popen.stdin.flush()
            assert popen.stdout.readline().decode().strip() == expected
        popen.kill()


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
    prober = callers.Prober(None, config_operator, observations, clients.LoopMonitor())
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


STOP, RELOAD = (2.0, signal.SIGTERM), (2.0, signal.SIGHUP)
AT_WORK, NOT_EXECUTED, NOT_SENT = "at work", "not executed", "not sent"


def entry_with(signals) -> deployment.Instance:
    return deployment.Instance(
        "e", "entry", "10.0.0.1", "z", pathlib.Path(), [], "",
        processes=[deployment.Process(-9.0, signals), deployment.Process(9.5)],
    )  # fmt: skip


def record(observations, entry, id_="1", arrives=True, answered_at=None, **fields):
    """Record a request on a kept connection that is cut at 2.5 s, a second after it."""
    address = f"{entry.ip}:{deployment.CALLERS_PORT}"
    values = {"sent_at": 1.5, "ended_at": 2.5, "is_sent_whole": True, "is_cut": True}
    values |= {"is_kept": True, "time_limit_s": 4.0} | fields
    sent_at, ended_at, status = (
        values["sent_at"],
        values["ended_at"],
        values.pop("status", None),
    )
    values = {"whole_at": sent_at, "seen_open_at": ended_at} | values
    lost = history.Attempt(id_, "safe", address, **values)
    observations.record_start(lost)
    if arrives:
        observations.record_arrival(id_)
        observations.record_execution(id_, "e1")
    if answered_at is not None:
        observations.record_answer(id_, answered_at)
    observations.record_end(lost, status, ended_at)
    return lost


def violated(observations, entry, **surroundings) -> set[str]:
    losses.check(observations, losses.Surroundings([entry], **surroundings))
    return {violation.guarantee for violation in observations.violations}


# Guards against a check that asks less than before where other instances are disrupted.
@pytest.mark.parametrize("is_disrupted", [False, True])
@pytest.mark.parametrize(
    ("signals", "status", "answered_at", "holds"),
    [
        ([STOP], None, 3.0, False),
        ([STOP], None, 1.0, False),
        ([STOP, (3.0, signal.SIGHUP)], None, 3.0, False),
        ([STOP, (9.0, signal.SIGKILL)], None, 3.0, False),
        ([STOP, (7.0, signal.SIGKILL)], None, 3.0, True),
        ([(1.0, signal.SIGSTOP), STOP], None, 3.0, True),
        ([STOP, (2.5, signal.SIGCONT)], None, 3.0, False),
        ([STOP], 504, 3.0, True),
        ([STOP], None, 7.9, True),
        ([STOP], None, AT_WORK, True),
        ([STOP], None, NOT_EXECUTED, False),
        ([STOP], 503, NOT_EXECUTED, True),
        ([STOP], None, NOT_SENT, True),
        ([(9.0, signal.SIGTERM)], None, 3.0, True),
    ],
)
def test_losses_detects_requests_lost_in_stops_beside_disruptions(
    signals, status, answered_at, holds, is_disrupted
):
    entry, observations = entry_with(signals), history.History()
    record(
        observations,
        entry,
        arrives=answered_at not in (NOT_EXECUTED, NOT_SENT),
        answered_at=answered_at if isinstance(answered_at, float) else None,
        status=status,
        sent_at=1.0,
        ended_at=8.0,
        is_sent_whole=answered_at != NOT_SENT,
    )
    disruptions = [(0.0, 8.0)] if is_disrupted else []
    assert violated(observations, entry, link_disruptions=disruptions) == (
        set() if holds else {losses.DISRUPTED_STOP}
    )


# Guards against a response that counts as lost because the client was late to read it
# (seed 772451071: answered within 0.14 s, and the clients stood still for 5 s).
@pytest.mark.parametrize(("seen_open_at", "holds"), [(3.9, True), (4.1, False)])
def test_losses_counts_the_time_in_which_the_client_saw_the_connection_open(
    seen_open_at, holds
):
    entry, observations = entry_with([STOP]), history.History()
    record(
        observations,
        entry,
        arrives=True,
        answered_at=3.0,
        status=None,
        sent_at=1.0,
        ended_at=8.0,
        seen_open_at=seen_open_at,
        is_sent_whole=True,
    )
    found = violated(observations, entry, link_disruptions=[(0.0, 8.0)])
    assert found == (set() if holds else {losses.DISRUPTED_STOP})


@pytest.mark.parametrize(
    ("fields", "holds"),
    [
        ({}, False),
        ({"status": 503, "arrives": False}, True),
        # Passed on to an endpoint: owed an answer whenever the connection ends.
        ({"sent_at": 2.49}, False),
        ({"sent_at": 2.49, "is_behind": True}, False),
        ({"answered_at": 2.49}, False),
        ({"ended_at": 2.1, "time_limit_s": 0.5}, True),
        ({"is_cut": False}, True),
        # Not passed on: owed an answer later than the slack.
        ({"sent_at": 2.25, "arrives": False}, False),
        ({"sent_at": 2.35, "arrives": False}, True),
        ({"arrives": False, "is_sent_whole": False}, True),
        ({"arrives": False, "is_behind": True}, True),
        ({"arrives": False, "is_behind_close": True}, True),
        ({"is_behind_close": True}, False),
        ({"arrives": False, "whole_at": 2.35}, True),
        # The client may have been late to see the end, by a time that it measured.
        ({"arrives": False, "seen_open_at": 1.65}, True),
        ({"arrives": False, "seen_open_at": 1.75}, False),
        # Until a second after the grace.
        ({"sent_at": 8.6, "ended_at": 8.9}, False),
        ({"sent_at": 8.6, "ended_at": 9.1}, True),
        # At work in the last sixth of the grace, sent early in the stop.
        ({"sent_at": 4.9, "ended_at": 7.1}, True),
        ({"sent_at": 4.9, "ended_at": 6.9}, False),
        ({"sent_at": 5.1, "ended_at": 7.1}, False),
        ({"sent_at": 4.9, "ended_at": 7.1, "answered_at": 6.9}, False),
        ({"sent_at": 4.9, "ended_at": 7.1, "arrives": False}, False),
    ],
)
def test_losses_detects_requests_lost_in_planned_stops(fields, holds):
    entry, observations = entry_with([STOP]), history.History()
    record(observations, entry, **fields)
    assert (losses.STOP not in violated(observations, entry)) is holds


# Guards against requests behind an announced close that count as lost because a starved
# instance announced it over a second after they were sent (7186381, seed 401).
@pytest.mark.parametrize(
    ("fields", "holds"),
    [
        ({"is_behind": True}, False),
        ({"is_behind": True, "is_behind_close": True}, True),
        ({"is_behind_close": True, "arrives": True, "answered_at": 2.0}, False),
    ],
)
def test_losses_excuses_requests_behind_an_announced_close(fields, holds):
    entry, observations = entry_with([STOP]), history.History()
    record(observations, entry, **({"arrives": False, "ended_at": 4.0} | fields))
    found = violated(observations, entry, link_disruptions=[(0.0, 4.0)])
    assert found == (set() if holds else {losses.DISRUPTED_STOP})


def test_losses_excuses_requests_that_an_endpoint_broke_off():
    entry, observations = entry_with([STOP]), history.History()
    record(observations, entry)
    observations.record_broken_off("1")
    assert violated(observations, entry) == set()


@pytest.mark.parametrize(
    ("fields", "holds"),
    [
        ({"status": 502}, False),
        ({"status": 408}, False),
        ({"status": 502, "is_from_endpoint": True}, True),
        ({"status": 502, "answered_at": 2.4}, True),
        ({"status": 503, "arrives": False}, True),
        ({"status": 504, "time_limit_s": 1.0}, True),
        ({"status": 502, "sent_at": 4.9, "ended_at": 7.1}, True),
    ],
)
def test_losses_detects_answers_in_place_of_work_in_progress(fields, holds):
    entry, observations = entry_with([STOP]), history.History()
    record(observations, entry, is_cut=False, **fields)
    assert (losses.REPLACED not in violated(observations, entry)) is holds


# Only what is unplanned, on the instance, on the links or in the group, is an excuse.
@pytest.mark.parametrize(
    ("signals", "control_signals", "links", "holds"),
    [
        ([STOP], [(-2.0, signal.SIGKILL)], [], True),
        ([STOP], [(-3.0, signal.SIGKILL)], [], False),
        ([STOP], [(1.0, signal.SIGTERM)], [], False),
        ([STOP], [(1.0, signal.SIGTERM), (7.0, signal.SIGKILL)], [], False),
        ([STOP], [], [(-9.0, -2.0)], True),
        ([STOP], [], [(-9.0, -3.0)], False),
        ([STOP], [], [(2.6, 9.0)], False),
        ([(-4.0, signal.SIGSTOP), (-2.0, signal.SIGCONT), STOP], [], [], True),
        ([(-4.0, signal.SIGSTOP), (-3.0, signal.SIGCONT), STOP], [], [], False),
        ([(-2.0, signal.SIGCONT), STOP], [], [], False),
    ],
)
def test_losses_excuses_unplanned_disruptions(signals, control_signals, links, holds):
    entry, observations = entry_with(signals), history.History()
    record(observations, entry)
    control = entry_with(control_signals)
    found = violated(observations, entry, controls=[control], link_disruptions=links)
    assert (losses.STOP not in found) is holds


@pytest.mark.parametrize(
    ("fields", "holds"),
    [
        ({}, False),
        ({"sent_at": 2.25, "arrives": False}, False),
        ({"sent_at": 2.35, "arrives": False}, True),
        ({"sent_at": 4.4, "ended_at": 6.0}, False),
        ({"sent_at": 4.6, "ended_at": 6.0}, True),
        ({"sent_at": 1.0, "ended_at": 1.9}, True),
        ({"status": 503, "arrives": False}, True),
    ],
)
def test_losses_detects_requests_lost_beside_reloads(fields, holds):
    entry, observations = entry_with([RELOAD]), history.History()
    record(observations, entry, **fields)
    assert (losses.RELOAD not in violated(observations, entry)) is holds


@pytest.mark.parametrize(
    ("fields", "others", "holds"),
    [
        ({}, {"status": 200}, False),
        ({"sent_at": 2.25, "arrives": False}, {"status": 200}, False),
        ({"sent_at": 2.35, "arrives": False}, {"status": 200}, True),
        ({"status": 200}, {"status": 200}, True),
        ({"sent_at": 6.2, "ended_at": 6.4}, {"status": 200}, False),
        ({"sent_at": 6.2, "ended_at": 6.6}, {"status": 200}, True),
        # Most of its time was used.
        ({"time_limit_s": 1.4}, {"status": 200}, True),
        ({"time_limit_s": 1.5}, {"status": 200}, False),
        # It loses as many at other times.
        ({}, {}, True),
    ],
)
def test_losses_detects_requests_lost_beside_changes(fields, others, holds):
    entry, observations = entry_with([]), history.History()
    for number in range(10):
        record(observations, entry, f"{number}", **fields)
        other = {"sent_at": 7.0, "ended_at": 8.0} | others
        record(observations, entry, f"other-{number}", **other)
    changes = [operator.Change(2.0, 3.0)]
    found = violated(observations, entry, changes=changes)
    assert (losses.CHANGE not in found) is holds


@pytest.mark.parametrize(
    ("fields", "count", "holds"),
    [
        ({}, 4, False),
        ({}, 3, True),
        ({"is_kept": False}, 4, True),
        ({"arrives": False}, 4, True),
        ({"time_limit_s": 0.5}, 4, False),
        ({"status": 502}, 4, True),
    ],
)
def test_losses_detects_lost_requests_of_kept_connections(fields, count, holds):
    entry, observations = entry_with([]), history.History()
    for number in range(count):
        record(observations, entry, f"{number}", **fields)
    assert violated(observations, entry) == (set() if holds else {losses.KEPT})


@pytest.mark.parametrize(
    ("signals", "control_signals", "holds"),
    [
        ([RELOAD], [], False),
        ([(-2.0, signal.SIGTERM)], [], True),
        ([], [(-2.0, signal.SIGTERM)], True),
        ([], [(-3.0, signal.SIGTERM)], False),
        ([], [(-2.0, signal.SIGCONT)], False),
        ([], [(-2.0, signal.SIGKILL)], True),
    ],
)
def test_losses_asks_for_kept_connections_of_instances_in_touch(
    signals, control_signals, holds
):
    entry, observations = entry_with(signals), history.History()
    for number in range(4):
        record(observations, entry, f"{number}")
    found = violated(observations, entry, controls=[entry_with(control_signals)])
    assert (losses.KEPT not in found) is holds


VOTERS_CHANGED = (
    "time={} level=info event=consensus.voters-changed voters=['127.0.1.1:7700']"
    " learners=[]\n"
)


# Guards against a group that counts as incomplete, or as complete again, because the
# time of day of an instance was stepped (seed 89 of shared/incident-lost-3.md).
@pytest.mark.parametrize("step", [-1, 1])
def test_deployment_finds_replaced_data_beside_steps_of_the_time_of_day(tmp_path, step):
    cluster = deployment.Deployment(tmp_path, 1, 1)
    control = cluster.instances_by_name["control-1"]
    control.ip = "127.0.1.1"
    control.folder.mkdir()
    day = 7 + step
    control.log_path.write_text(
        "é is two bytes\n" + VOTERS_CHANGED.format("2026-12-07T00:00:00Z")
    )
    sizes = cluster.log_sizes()
    assert not cluster.has_replaced_lost_data(sizes)
    with control.log_path.open("a") as log:
        log.write(VOTERS_CHANGED.format(f"2026-12-{day:02}T00:00:00Z"))
    assert cluster.has_replaced_lost_data(sizes)


# Guards against a stepped clock that steps nothing.
def test_stepped_clock_steps_only_the_time_of_day(tmp_path, monkeypatch):
    for name in ("time", "time_ns", "clock_gettime", "clock_gettime_ns"):
        monkeypatch.setattr(time, name, getattr(time, name))
    path = stepped_clock.offset_path(tmp_path)
    before, boot = time.time(), time.clock_gettime(time.CLOCK_BOOTTIME)
    stepped_clock._step(path)
    assert 0 <= time.time() - before < 60
    path.write_text("600.0")
    assert 600 <= time.time() - before < 660
    assert 600 <= time.time_ns() / 1e9 - before < 660
    assert 600 <= time.clock_gettime(time.CLOCK_REALTIME) - before < 660
    assert 0 <= time.clock_gettime(time.CLOCK_BOOTTIME) - boot < 60


# Guards against instances that end themselves, start anew every few seconds, and are
# excused by that: they count as running all the while.
@pytest.mark.parametrize("follows_own_end", [False, True])
@pytest.mark.parametrize("is_entry", [False, True])
def test_losses_excuses_no_starts_after_own_ends(follows_own_end, is_entry):
    entry, control = entry_with([]), entry_with([])
    restarted, calm = (entry, control) if is_entry else (control, entry)
    restarted.processes[1].follows_own_end = follows_own_end
    del calm.processes[1]
    observations = history.History()
    for number in range(4):
        record(observations, entry, f"{number}", sent_at=12.0, ended_at=13.0)
    found = violated(observations, entry, controls=[control])
    assert (losses.KEPT in found) is follows_own_end


# Guards against a starved process that SIGHUP ends before its interpreter has started,
# and which counts as one that exits on its own (seed 301 beside busy processes).
def test_deployment_tells_whether_a_process_handles_sighup():
    program = "import signal, sys, time; signal.signal(1, signal.SIG_IGN)\n"
    program += "print(flush=True)\nif sys.argv[1:]: signal.signal(1, signal.SIG_DFL)\n"
    program += "while time.process_time() < 1.2: pass\nprint(flush=True); time.sleep(9)"
    for arguments in ([], ["unhandled"]):
        with subprocess.Popen(
            [sys.executable, "-S", "-c", program, *arguments], stdout=subprocess.PIPE
        ) as popen:
            before = deployment._is_starved_at_start(popen.pid)
            popen.stdout.readline()
            popen.stdout.readline()
            after = deployment._is_starved_at_start(popen.pid)
            popen.kill()
        assert (before, after) == (True, False)


# Guards against observations that are late by as much as the loop of the clients is.
async def test_loop_monitor_measures_lag():
    monitor = clients.LoopMonitor()
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(monitor.run())
    await asyncio.sleep(0.1)
    assert loop.time() - monitor.seen_open_at(loop.time()) < 0.1
    before = loop.time()
    time.sleep(0.3)
    assert monitor.seen_open_at(loop.time()) <= before
    await asyncio.sleep(0.01)
    assert monitor.max_lag_s > 0.2
    task.cancel()


# Guards against lost requests whose connection may have been a new one or a kept one.
async def test_client_counts_requests_on_its_connection():
    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    for keeps, counts in ((True, [0, 1, 2]), (False, [0, 0, 0])):
        async with clients.Pool(clients.LoopMonitor(), keeps) as pool:
            for count in counts:
                sent = history.Attempt("1", "safe", f"{host}:{port}", 0.0)
                message = clients.message("GET", "/", {}, b"")
                assert await pool.request(sent, message, 9.0) == (200, b"ok")
                assert sent.answered_before == count
        await asyncio.sleep(0.05)
    server.close()


# Guards against clients whose observations are inexact: a request that is sent whole,
# and a connection that is closed by the instance, after a time that is measured.
@pytest.mark.parametrize("sends_all", [False, True])
async def test_client_observes_connections_that_are_cut(sends_all):
    async def cut(reader, writer):
        await reader.read(1)
        await asyncio.sleep(0.3)
        writer.transport.abort()

    server = await asyncio.start_server(cut, "127.0.0.1", 0, limit=1)
    host, port = server.sockets[0].getsockname()
    monitor = clients.LoopMonitor()
    task = asyncio.create_task(monitor.run())
    lost = history.Attempt("1", "upload", f"{host}:{port}", 0.0)
    body = b"" if sends_all else bytes(1 << 26)
    async with server, clients.Pool(monitor) as pool:
        message = clients.message("POST", "/", {}, body)
        assert await pool.request(lost, message, 9.0) == (None, b"")
    task.cancel()
    assert lost.is_cut and lost.is_kept
    assert lost.is_sent_whole is sends_all
    if sends_all:
        assert lost.seen_open_at - lost.whole_at > 0.2


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
    caller = pipelining.PipeliningCaller(
        entry, observations, random.Random(1), clients.LoopMonitor()
    )
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


GROWING_PROGRAM = """
import sys
used = b"1" * int(sys.argv[1])
del used
print(flush=True)
sys.stdin.read()
"""


# Guards against a memory limit that nothing enforces, or that a peak between two
# samples passes, and against an end for memory that excuses lost requests.
@pytest.mark.parametrize(("used_mb", "is_killed"), [(20, False), (80, True)])
def test_memory_watcher_kills_above_the_limit(tmp_path, used_mb, is_killed):
    entry = deployment.Instance("e-7", "entry", "", "z", tmp_path, [], "")
    watcher = memory.Watcher([entry], 60)
    with subprocess.Popen(
        [sys.executable, "-S", "-c", GROWING_PROGRAM, f"{used_mb * 1_000_000}"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as popen:
        popen.stdout.readline()
        entry.popen, entry.processes = popen, [deployment.Process(1.0)]
        for _ in range(2):
            watcher.check(entry, memory.unread_bytes_by_inode())
        popen.stdin.close()
        assert popen.wait() == (-signal.SIGKILL if is_killed else 0)
    assert used_mb <= watcher.peak_mb_by_role["entry"] < used_mb + 20
    assert ["e-7" in end for end in watcher.ends] == [True] * is_killed
    assert entry.processes[0].disrupted_at() == []


NOT_READING_PROGRAM = """
import socket, sys
listener = socket.create_server(("127.0.0.1", 0), backlog=99)
print(listener.getsockname()[1], flush=True)
accepted = [listener.accept() for _ in range(int(sys.argv[1]))]
print(flush=True)
sys.stdin.read()
"""


# Guards against a limit that leaves out what the kernel holds for a process.
def test_memory_watcher_counts_unread_bytes(tmp_path):
    count, size = 50, 40_000
    entry = deployment.Instance("e-7", "entry", "", "z", tmp_path, [], "")
    with (
        subprocess.Popen(
            [sys.executable, "-S", "-c", NOT_READING_PROGRAM, f"{count}"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as popen,
        contextlib.ExitStack() as stack,
    ):
        address = ("127.0.0.1", int(popen.stdout.readline()))
        entry.popen, entry.processes = popen, [deployment.Process(1.0)]
        for _ in range(count):
            sock = stack.enter_context(socket.create_connection(address, 9.0))
            sock.sendall(bytes(size))
        popen.stdout.readline()
        watcher = memory.Watcher([entry], 1000)
        end_at = time.monotonic() + 9
        while watcher.peak_mb_by_role["entry unread"] < count * size / 1e6:
            assert time.monotonic() < end_at
            watcher.check(entry, memory.unread_bytes_by_inode())
        peaks_mb = watcher.peak_mb_by_role
        assert peaks_mb["entry unread"] == count * size / 1e6
        assert watcher.ends == []
        limit_mb = (peaks_mb["entry"] + peaks_mb["entry with unread"]) / 2
        assert limit_mb > peaks_mb["entry"]
        watcher = memory.Watcher([entry], limit_mb)
        watcher.check(entry, memory.unread_bytes_by_inode())
        assert popen.wait(9) == -signal.SIGKILL
    assert "2 MB unread" in watcher.ends[0]


# Guards against an end for memory that counts as that of an expected signal, and one
# that is reported twice.
@pytest.mark.parametrize("is_expected", [False, True])
@pytest.mark.parametrize("is_over", [False, True])
async def test_deployment_counts_ends_for_memory_as_own_ends(
    tmp_path, is_expected, is_over
):
    cluster = deployment.Deployment(tmp_path, 0, 1)
    entry = cluster.instances_by_name["entry-1"]
    started = asyncio.get_running_loop().create_future()
    entry.start = started.set_result
    entry.starts, entry.is_exit_expected = 1, is_expected
    entry.processes = [deployment.Process(1.0, is_over_memory_limit=is_over)]
    entry.popen = subprocess.Popen([sys.executable, "-S", "-c", ""])
    entry.popen.wait()
    task = asyncio.create_task(cluster.supervise())
    assert await started is (is_over or not is_expected)
    task.cancel()
    is_reported = not is_over and not is_expected
    assert len(cluster.unexpected_exits) == is_reported


def test_instance_writes_its_memory_limit(tmp_path):
    entry = deployment.Instance(
        "e", "entry", "127.0.0.1", "north-a", tmp_path, ["127.0.0.2:8146"],
        "127.0.0.3", memory_limit_mb=123,
    )  # fmt: skip
    entry.write_settings()
    node_settings = node_file.read(tmp_path / "local.toml").unwrap()
    assert node_settings.routed.memory_limit_bytes == 123_000_000


@pytest.mark.parametrize(
    ("status", "content", "found"),
    [
        (200, b"whole", set()),
        (200, b"who", {history.WHOLE}),
        (204, b"", {history.WHOLE}),
        (299, b"whole", {history.WHOLE}),
        (None, b"", set()),
        (404, b"", set()),
        (502, b"who", set()),
        (0, b"", {history.VALID_STATUS}),
        (99, b"whole", {history.VALID_STATUS}),
        (199, b"", {history.VALID_STATUS}),
        (600, b"", {history.VALID_STATUS}),
        (999, b"whole", {history.VALID_STATUS}),
    ],
)
def test_history_detects_responses_that_are_not_whole(status, content, found):
    observations = history.History()
    observations.check_response(attempt("safe"), status, content, b"whole")
    assert {v.guarantee for v in observations.violations} == found


@pytest.mark.parametrize(
    ("is_status", "fields", "holds"),
    [
        (True, {"status": 502}, True),
        (True, {"status": 504}, False),
        (True, {"is_cut": False}, False),
        (True, {}, False),
        (False, {}, False),
        (False, {"status": 502}, True),
        # Bytes still come in.
        (False, {"status": 504}, True),
        # Sent shortly before the end of the request's time.
        (True, {"status": 504, "time_limit_s": 1.5}, True),
        (True, {"status": 504, "time_limit_s": 1.6}, False),
        # Not ended when the run does.
        (True, {"is_cut": False, "ended_at": 0.0}, True),
        # Another endpoint may take until then.
        (True, {"status": 504, "kind": "safe"}, True),
    ],
)
@pytest.mark.parametrize("is_disrupted", [False, True])
def test_losses_detects_invalid_answers_that_do_not_fail(
    is_status, fields, holds, is_disrupted
):
    entry, observations = entry_with([]), history.History()
    fields = {"kind": "upload"} | fields
    kind = fields.pop("kind")
    record(observations, entry, **fields).kind = kind
    observations.record_invalid_answer("1", 2.0, is_status)
    disruptions = [(0.0, 8.0)] if is_disrupted else []
    found = violated(observations, entry, link_disruptions=disruptions)
    assert (losses.INVALID not in found) is (holds or is_disrupted)


INVALID_ANSWERS = [
    pytest.param(group, answer, id=f"{group}-{number}")
    for group, answers in invalid_answers.ANSWERS_BY_GROUP.items()
    for number, answer in enumerate(answers)
]


# Guards against faulty answers that nobody gets, and that go on once they are closed.
@pytest.mark.parametrize(("group", "answer"), INVALID_ANSWERS)
async def test_endpoint_answers_invalidly(group, answer):
    observations = history.History()
    endpoint = endpoints.Endpoint(
        "i", "tienda", "z", "127.0.0.1", ports.free_ports(1)[0], observations,
        random.Random(1),
    )  # fmt: skip
    observations.record_start(attempt("upload"))
    await endpoint.start()
    endpoint.invalid_answers, endpoint.invalid_interval = (answer,), 2
    endpoint.is_broken_off = group == invalid_answers.BROKEN_OFF
    headers = {"Host": "h", "Attempt-Id": "1", "Expect-Instance": endpoint.instance_id}
    body = bytes(endpoints.LARGE_UPLOAD_BYTES)
    reader, writer = await asyncio.open_connection("127.0.0.1", endpoint.port)
    # The first of two is answered as usual.
    writer.write(clients.message("POST", "/photo/1", headers, b"1"))
    assert (await clients.read_response(reader))[0] == 200
    writer.write(clients.message("POST", "/photo/1", headers, body))
    received = b""
    with contextlib.suppress(ConnectionError):
        while len(received) < 5_000_000:
            async with asyncio.timeout(20):
                data = await reader.read(1 << 16)
            received += data
            if not data or group == invalid_answers.INVALID_STATUS:
                break
    assert (len(received) >= 5_000_000) is (group == invalid_answers.WITHOUT_END)
    assert observations.invalid_answers_by_attempt_id["1"].is_status is (
        group == invalid_answers.INVALID_STATUS
    )
    if group == invalid_answers.INVALID_STATUS:
        assert int(received.split()[1]) not in range(100, 600)
    writer.transport.abort()
    await endpoint.stop()
    for executor in (endpoint._executor, endpoint._unpaced_executor):
        executor.shutdown(wait=True)


# Guards against bytes without end that come at another rate than the one drawn: all at
# once after a pause, or as fast as the caller takes them.
def test_flow_spreads_writes_by_its_rate():
    flow = invalid_answers.Flow(1e6, 1100)
    due_at = 10.0
    for _ in range(100):
        due_at = flow.next_due_at(due_at, due_at, 1000)
    assert due_at == pytest.approx(10.1)
    made_up = flow.next_due_at(due_at, due_at + 5.0, 1000)
    assert made_up == pytest.approx(due_at + 5.001 - invalid_answers.MAX_LATE_S)
    assert invalid_answers.Flow(None, 1100).next_due_at(10.0, 11.0, 1000) == 11.0


# Guards against bytes without end behind one status only, and against a sender that
# outlives its caller by the pause after a large write.
@pytest.mark.parametrize(
    ("rate", "write_size"), [(1e6, 1100), (1e6, 1 << 20), (None, 1 << 14)]
)
@pytest.mark.parametrize("status", invalid_answers.STATUSES)
async def test_endless_answer_ends_with_its_caller(rate, write_size, status):
    draws = iter((status, rate, write_size))
    rng = types.SimpleNamespace(choice=lambda values: next(draws))
    answer = invalid_answers.ANSWERS_BY_GROUP[invalid_answers.WITHOUT_END][0]
    pools = [concurrent.futures.ThreadPoolExecutor(1) for _ in range(2)]
    answered = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        await answer(invalid_answers.Exchange(writer.transport, b"", *pools, rng))
        writer.transport.abort()
        answered.set_result(None)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    async with asyncio.timeout(9):
        assert (await reader.readexactly(13)) == b"HTTP/1.1 %d " % status
        assert len(await reader.readexactly(write_size)) == write_size
        writer.transport.abort()
        await answered
    server.close()
    for pool in pools:
        pool.shutdown(wait=True)
