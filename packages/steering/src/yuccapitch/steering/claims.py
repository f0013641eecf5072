"""Holder side of the claim protocol: one record for each key."""

from __future__ import annotations

import dataclasses

import sortedcontainers

from yuccapitch.protocol import claim_messages
from yuccapitch.steering import claim_keys

RECORD_RETENTION_MARGIN_S = 30.0
MAX_RECORDS = 500_000
MAX_BODY_BYTES = 16 * 1024
MAX_TOTAL_BODY_BYTES = 32 * 1024 * 1024

_State = claim_messages.RecordState
_Verdict = claim_messages.Verdict


@dataclasses.dataclass(frozen=True)
class Record:
    """Recorded state of a key."""

    state: claim_messages.RecordState
    attempt: int
    claimant: str
    answer: claim_messages.StoredResponse | None = None


_NO_RECORD = Record(_State.NONE, 0, "")


class ClaimHolder:
    """Votes on claims by records in memory.

    `now` is a wall clock time; if it steps backwards, the latest time seen is used.
    """

    def __init__(
        self,
        holder_id: str,
        started_at: float,
        max_records: int = MAX_RECORDS,
        max_total_body_bytes: int = MAX_TOTAL_BODY_BYTES,
    ) -> None:
        self.holder_id = holder_id
        self._max_records = max_records
        self._max_total_body_bytes = max_total_body_bytes
        # The holder abstains on keys created up to this time: it may have voted on them
        # before a restart, which loses its records.
        self._abstain_until = started_at + claim_keys.CLOCK_SKEW_S
        self._latest_now = started_at
        self._records_by_key: dict[str, Record] = {}
        self._keys_by_time: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self._total_body_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_key)

    def record_start(self, started_at: float) -> None:
        """Record when the holder started, by the present time of day.

        It is later than at the start if the clock was behind then and was set since.
        """
        self._abstain_until = max(
            self._abstain_until, started_at + claim_keys.CLOCK_SKEW_S
        )

    def on_claim(
        self, message: claim_messages.ClaimRequest, now: float
    ) -> claim_messages.ClaimReply:
        """Grant the claim unless another one may have been granted."""
        rejection = self._key_rejection(message.key, now)
        record = self._records_by_key.get(message.key, _NO_RECORD)
        if record.state is _State.DONE and rejection is _Verdict.ABSTAINED:
            return self._reply(message, _Verdict.REFUSED, record)
        if rejection is not None:
            return self._reply(message, rejection, _NO_RECORD)
        granted = Record(_State.CLAIMED, message.attempt, message.claimant)
        if record == granted:
            return self._reply(message, _Verdict.GRANTED, record)
        is_newer = record.state is _State.VOID and record.attempt < message.attempt
        if record.state is not _State.NONE and not is_newer:
            return self._reply(message, _Verdict.REFUSED, record)
        return self._store(message, granted, _Verdict.GRANTED)

    def on_void(
        self, message: claim_messages.VoidRequest, now: float
    ) -> claim_messages.ClaimReply:
        """Void the attempt unless another claimant may have dispatched the request."""
        rejection = self._key_rejection(message.key, now)
        if rejection is not None:
            return self._reply(message, rejection, _NO_RECORD)
        record = self._records_by_key.get(message.key, _NO_RECORD)
        if record.state is _State.VOID and record.attempt >= message.attempt:
            return self._reply(message, _Verdict.VOIDED, record)
        own_claim = (message.attempt, message.claimant)
        is_other_claim = (record.attempt, record.claimant) != own_claim
        if record.state is _State.CLAIMED and is_other_claim:
            return self._reply(message, _Verdict.REFUSED, record)
        if record.state is _State.DONE:
            return self._reply(message, _Verdict.REFUSED, record)
        voided = Record(_State.VOID, message.attempt, message.claimant)
        return self._store(message, voided, _Verdict.VOIDED)

    def on_done(
        self, message: claim_messages.CompletionNotice, now: float
    ) -> claim_messages.ClaimReply:
        """Record the response to an executed request in place of a claim or void."""
        rejection = self._key_rejection(message.key, now)
        if rejection is not None and rejection is not _Verdict.ABSTAINED:
            return self._reply(message, rejection, _NO_RECORD)
        record = self._records_by_key.get(message.key, _NO_RECORD)
        if record.state is _State.DONE:
            return self._reply(message, _Verdict.GRANTED, record)
        answer = self._limit_body(message.response)
        done = Record(_State.DONE, message.attempt, message.claimant, answer)
        return self._store(message, done, _Verdict.GRANTED)

    def _key_rejection(self, text: str, now: float) -> claim_messages.Verdict | None:
        self._latest_now = max(self._latest_now, now)
        self._drop_expired()
        parsed = claim_keys.parse(text, self._latest_now)
        if parsed.is_err():
            if isinstance(parsed.unwrap_err(), claim_keys.ExpiredKey):
                return _Verdict.EXPIRED
            return _Verdict.MALFORMED
        if parsed.unwrap().time_s <= self._abstain_until:
            return _Verdict.ABSTAINED
        return None

    def _store(
        self,
        message: (
            claim_messages.ClaimRequest
            | claim_messages.VoidRequest
            | claim_messages.CompletionNotice
        ),
        record: Record,
        verdict: claim_messages.Verdict,
    ) -> claim_messages.ClaimReply:
        if message.key not in self._records_by_key:
            if len(self._records_by_key) >= self._max_records:
                # Evicting an older record could let its key be executed twice.
                return self._reply(message, _Verdict.FULL, _NO_RECORD)
            key = claim_keys.parse(message.key, self._latest_now).unwrap()
            self._keys_by_time.add((key.time_s, message.key))
        self._records_by_key[message.key] = record
        self._total_body_bytes += _body_bytes(record)
        return self._reply(message, verdict, record)

    def _limit_body(
        self, answer: claim_messages.StoredResponse
    ) -> claim_messages.StoredResponse:
        size = len(answer.body or b"")
        if size <= MAX_BODY_BYTES and (
            self._total_body_bytes + size <= self._max_total_body_bytes
        ):
            return answer
        return dataclasses.replace(answer, body=None)

    def _drop_expired(self) -> None:
        retention_s = claim_keys.KEY_LIFETIME_S + RECORD_RETENTION_MARGIN_S
        dropped_before = self._latest_now - retention_s
        while self._keys_by_time and self._keys_by_time[0][0] < dropped_before:
            _, key = self._keys_by_time.pop(0)
            self._total_body_bytes -= _body_bytes(self._records_by_key.pop(key))

    def _reply(
        self,
        message: (
            claim_messages.ClaimRequest
            | claim_messages.VoidRequest
            | claim_messages.CompletionNotice
        ),
        verdict: claim_messages.Verdict,
        record: Record,
    ) -> claim_messages.ClaimReply:
        return claim_messages.ClaimReply(
            key=message.key,
            attempt=message.attempt,
            claimant=message.claimant,
            holder_id=self.holder_id,
            verdict=verdict.value,
            record_state=record.state.value,
            record_attempt=record.attempt,
            record_claimant=record.claimant,
            response=record.answer,
        )


def _body_bytes(record: Record) -> int:
    if record.answer is None or record.answer.body is None:
        return 0
    return len(record.answer.body)
