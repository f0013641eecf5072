"""Checks that whole requests are answered beside planned work, and at any time."""

from __future__ import annotations

import dataclasses
import signal

from tests.soak import deployment, history, operator

# A request that is not read may be lost within this time after its last byte.
LOSS_SLACK_S = 0.2
# Delay with which a busy run may see that a connection has ended; it counts for what
# ends beside disruptions, where no more is asked.
END_DELAY_S = 1.0
CONTACT_WINDOW_S = 4.0
AFTER_GRACE_S = 1.0
AFTER_CHANGE_S = deployment.ORDER_APPLY_LIMIT_S + 1.0
# A request may be lost at the end of a stop if it was sent early in the stop and its
# endpoint worked on into the last part of the grace.
EARLY_IN_STOP_S = 3.0
LAST_PART_OF_GRACE_S = deployment.STOP_GRACE_S / 6
# Losses are ascribed to changes if they are so much more frequent beside them.
CHANGE_LOSS_RATIO = 3.0
CHANGE_TIME_USED = 0.7
ALLOWED_KEPT_LOSSES = 3
TIMEOUT_STATUS = 504

STOP, REPLACED, RELOAD, CHANGE, KEPT, DISRUPTED_STOP, INVALID = (
    "whole requests are answered in a planned stop",
    "a planned stop breaks off no work of endpoints",
    "whole requests are answered beside a reload",
    "whole requests are answered beside a change",
    "requests of kept connections are answered at any time",
    "whole requests are answered in a planned stop beside disruptions",
    "invalid answers of endpoints become failures in time",
)


@dataclasses.dataclass
class Surroundings:
    """What was done to the instances in a run."""

    entries: list[deployment.Instance]
    controls: list[deployment.Instance] = dataclasses.field(default_factory=list)
    changes: list[operator.Change] = dataclasses.field(default_factory=list)
    link_disruptions: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    """Starts and ends of faults of the links between instances."""


def check(observations: history.History, surroundings: Surroundings) -> None:
    """Check the attempts of a run that has ended."""
    checker = _Checker(observations, surroundings)
    for attempt in observations.attempts_by_id.values():
        checker.check_stop(attempt)
        checker.check_stop_beside_disruptions(attempt)
        checker.check_reload(attempt)
        checker.check_invalid_answer(attempt)
    checker.check_changes()
    checker.check_kept_connections()


class _Checker:
    def __init__(
        self, observations: history.History, surroundings: Surroundings
    ) -> None:
        self._observations = observations
        self._surroundings = surroundings
        self._entries_by_address = {
            f"{entry.ip}:{deployment.CALLERS_PORT}": entry
            for entry in surroundings.entries
        }
        self._disruptions_by_address = {}
        self._events_by_address = {}
        for address, entry in self._entries_by_address.items():
            processes = [
                process
                for instance in [entry, *surroundings.controls]
                for process in instance.processes
            ]
            self._disruptions_by_address[address] = surroundings.link_disruptions + [
                (at, at) for process in processes for at in process.disrupted_at()
            ]
            self._events_by_address[address] = surroundings.link_disruptions + [
                (at, at) for process in processes for at in _events(process)
            ]

    def check_stop(self, attempt: history.Attempt) -> None:
        process = self._process(attempt)
        last_s = deployment.STOP_GRACE_S + AFTER_GRACE_S
        is_beside = (
            process.stopped_at <= attempt.ended_at
            and attempt.cut_from <= process.stopped_at + last_s
        )
        if is_beside and self._is_calm(attempt):
            self._check(STOP, not self._is_lost(attempt), attempt)
            self._check(REPLACED, not self._is_answer_replaced(attempt), attempt)

    def check_stop_beside_disruptions(self, attempt: history.Attempt) -> None:
        """Check what is asked of a stop even where other instances are disrupted."""
        is_arrived = self._is_arrived(attempt)
        is_executed = self._observations.executions_by_attempt_id[attempt.attempt_id]
        owes_refusal = attempt.is_sent_whole and not is_executed
        due_at = self._observations.answered_at_by_attempt_id.get(
            attempt.attempt_id, attempt.whole_at if owes_refusal else float("inf")
        )
        # A client whose own event loop is late reads a response only after its timeout.
        is_answered = attempt.status is not None
        open_until = attempt.ended_at if is_answered else attempt.seen_open_at
        is_due = open_until - due_at > END_DELAY_S
        if is_due and self._process(attempt).is_stopping(attempt.ended_at):
            # What was sent behind an announced close counts as not read, however late
            # the announcement came.
            is_excused = attempt.is_behind_close and not is_arrived
            holds = attempt.status is not None or is_excused
            self._check(
                DISRUPTED_STOP, holds, attempt, f"due from {due_at}, {is_arrived=}"
            )

    def check_reload(self, attempt: history.Attempt) -> None:
        """Check requests sent shortly after a reload at most, and cut after it."""
        is_beside = any(
            number is signal.SIGHUP
            and at <= attempt.ended_at
            and attempt.sent_at <= at + deployment.ORDER_APPLY_LIMIT_S
            for at, number in self._process(attempt).signals
        )
        if is_beside and self._is_calm(attempt):
            self._check(RELOAD, not self._is_lost(attempt), attempt)

    def check_invalid_answer(self, attempt: history.Attempt) -> None:
        """Check that the caller of an invalid answer gets another one.

        Behind an invalid status, nothing is left to wait for.
        """
        answers = self._observations.invalid_answers_by_attempt_id
        answer = answers.get(attempt.attempt_id)
        if answer is None or not self._is_in_touch(attempt):
            return
        is_cut = attempt.status is None and attempt.is_cut
        time_left_s = attempt.sent_at + attempt.time_limit_s - answer.sent_at
        is_waited_for = (
            answer.is_status
            # Some requests are under way when the run ends.
            and attempt.ended_at > 0
            # Others may be sent to another endpoint, which takes its own time.
            and attempt.kind != "safe"
            and time_left_s > END_DELAY_S
            and attempt.status in (None, TIMEOUT_STATUS)
        )
        self._check(INVALID, not (is_cut or is_waited_for), attempt, f"{answer}")

    def check_changes(self) -> None:
        """Compare how often an instance loses requests beside changes and otherwise."""
        for entry in self._surroundings.entries:
            attempts = [a for a in self._calm_attempts() if self._entry(a) is entry]
            beside = [a for a in attempts if self._is_beside_change(a)]
            others = [a for a in attempts if not self._is_beside_change(a)]
            others_lost = sum(map(self._is_lost, others))
            lost = [
                a
                for a in beside
                if self._is_lost(a)
                and a.ended_at - a.sent_at < CHANGE_TIME_USED * a.time_limit_s
            ]
            # Both sides times both numbers of attempts.
            is_ascribed = not others_lost or (
                len(lost) * len(others) > CHANGE_LOSS_RATIO * others_lost * len(beside)
            )
            for attempt in beside:
                is_lost = is_ascribed and attempt in lost
                self._check(CHANGE, not is_lost, attempt)

    def check_kept_connections(self) -> None:
        kept = [
            a
            for a in self._observations.attempts_by_id.values()
            if a.is_kept and self._is_arrived(a) and self._is_in_touch(a)
        ]
        # At any time, also a close after the deadline or the timeout counts.
        spoilt = self._observations.broken_off_ids
        cut = [a for a in kept if a.status is None and a.is_cut]
        lost = [a for a in cut if a.attempt_id not in spoilt]
        self._observations.checks_by_guarantee[KEPT] += len(kept)
        if len(lost) > ALLOWED_KEPT_LOSSES:
            detail = f"{len(lost)} lost: {lost}"
            self._observations.check(KEPT, False, detail)

    def _check(
        self, guarantee: str, holds: bool, attempt: history.Attempt, note: str = ""
    ) -> None:
        is_arrived = self._is_arrived(attempt)
        detail = "" if holds else f"{attempt}, passed on: {is_arrived} {note}"
        self._observations.check(guarantee, holds, detail)

    def _is_lost(self, attempt: history.Attempt) -> bool:
        """Whether an answer is owed that the client did not get."""
        is_unanswered = attempt.status is None and attempt.is_cut
        if not (is_unanswered and attempt.is_sent_whole) or self._is_excused(attempt):
            return False
        if self._is_arrived(attempt):
            return True
        is_late = attempt.seen_open_at - attempt.whole_at > LOSS_SLACK_S
        return is_late and not (attempt.is_behind or attempt.is_behind_close)

    def _is_answer_replaced(self, attempt: history.Attempt) -> bool:
        """Whether an instance failed a request at which an endpoint was at work."""
        id_ = attempt.attempt_id
        return (
            attempt.status is not None
            and attempt.status >= 400
            and not attempt.is_from_endpoint
            and self._observations.executions_by_attempt_id[id_] > 0
            and id_ not in self._observations.answered_at_by_attempt_id
            and not self._is_excused(attempt)
        )

    def _is_excused(self, attempt: history.Attempt) -> bool:
        return (
            attempt.ended_at - attempt.sent_at >= attempt.time_limit_s
            or attempt.attempt_id in self._observations.broken_off_ids
            or self._is_at_work_late(attempt)
        )

    def _is_at_work_late(self, attempt: history.Attempt) -> bool:
        """Whether the endpoint was at work near the end of a grace."""
        stopped_at = self._process(attempt).stopped_at
        last_part_at = stopped_at + deployment.STOP_GRACE_S - LAST_PART_OF_GRACE_S
        answered_at = self._observations.answered_at_by_attempt_id.get(
            attempt.attempt_id, float("inf")
        )
        return (
            attempt.sent_at <= stopped_at + EARLY_IN_STOP_S
            and self._is_arrived(attempt)
            and min(attempt.ended_at, answered_at) >= last_part_at
        )

    def _is_calm(self, attempt: history.Attempt) -> bool:
        """Whether nothing unplanned happened from shortly before until its end."""
        return not _overlaps(attempt, self._disruptions_by_address[attempt.entry])

    def _is_in_touch(self, attempt: history.Attempt) -> bool:
        """Whether its instance ran and reached a stable group, undisturbed."""
        return not _overlaps(attempt, self._events_by_address[attempt.entry])

    def _is_beside_change(self, attempt: history.Attempt) -> bool:
        return any(
            change.sent_at <= attempt.ended_at
            and attempt.cut_from <= change.ended_at + AFTER_CHANGE_S
            for change in self._surroundings.changes
        )

    def _calm_attempts(self) -> list[history.Attempt]:
        attempts = self._observations.attempts_by_id.values()
        return [a for a in attempts if self._is_calm(a)]

    def _is_arrived(self, attempt: history.Attempt) -> bool:
        return attempt.attempt_id in self._observations.arrived_ids

    def _entry(self, attempt: history.Attempt) -> deployment.Instance:
        return self._entries_by_address[attempt.entry]

    def _process(self, attempt: history.Attempt) -> deployment.Process:
        return self._entry(attempt).process_at(attempt.sent_at)


def _events(process: deployment.Process) -> list[float]:
    """Return when a process was started, stopped, killed or suspended.

    An instance whose process exits on its own counts as running all the while.
    """
    starts = [] if process.follows_own_end else [process.started_at]
    stops = [at for at, number in process.signals if number is signal.SIGTERM]
    kills = [at for at, number in process.signals if number is signal.SIGKILL]
    return [*starts, *stops, *kills, *process.disrupted_at()]


def _overlaps(attempt: history.Attempt, periods: list[tuple[float, float]]) -> bool:
    first = attempt.sent_at - CONTACT_WINDOW_S
    return any(start <= attempt.ended_at and end >= first for start, end in periods)
