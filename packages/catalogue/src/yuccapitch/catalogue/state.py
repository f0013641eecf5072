"""The replicated state machine of the catalogue."""

from __future__ import annotations

import hashlib
import json
import zlib
from typing import TypeVar

import pydantic
import result

from yuccapitch.catalogue import (
    audit,
    authorization,
    changes,
    claim_holders,
    difference,
    ids,
    loading,
    model,
    signing,
    state_records,
    validation,
)

MAX_RETAINED_VERSIONS = 64
"""Number of versions whose declarations are retained for `history` and `diff`."""
MAX_VERSION_RECORDS = 10_000
OUTCOME_RETENTION_MS = 25 * 3600 * 1000
"""How long the outcome of a change id is retained: a day and a margin of one hour.

Ages are measured in state time, the latest time in any applied command.
"""
MAX_RETAINED_OUTCOMES = 20_000
INITIAL_VERSION = ids.Version(0)

RecordT = TypeVar("RecordT")


class CatalogueState:
    """State machine that applies commands in log order.

    Equal logs give equal states on every replica. `unsigned_allowed` enters the state
    only through the commands that `build_command` creates, so replicas with different
    settings cannot diverge.
    """

    def __init__(
        self,
        *,
        allow_unsigned: bool = False,
        max_retained_versions: int = MAX_RETAINED_VERSIONS,
        max_retained_outcomes: int = MAX_RETAINED_OUTCOMES,
    ) -> None:
        self._allow_unsigned = allow_unsigned
        self._max_retained_versions = max_retained_versions
        self._max_retained_outcomes = max_retained_outcomes
        self._reset()

    def _reset(self) -> None:
        self.version = INITIAL_VERSION
        self.applied_index = 0
        self.time_ms = 0
        self.declaration: model.Declaration | None = None
        self.digest = ""
        self.holder_lists: tuple[claim_holders.HolderList, ...] = ()
        self.audit_head = audit.AuditHead(0, audit.INITIAL_HASH)
        self._audit_lines: list[bytes] = []
        self._version_records: dict[ids.Version, state_records.VersionRecord] = {}
        self._packed_by_version: dict[ids.Version, bytes] = {}
        self._first_outcomes_by_id: dict[ids.ChangeId, state_records.FirstOutcome] = {}

    # Queries.

    def version_records(self) -> tuple[state_records.VersionRecord, ...]:
        """Return the records of the retained versions, oldest first."""
        return tuple(self._version_records.values())

    def version_record(
        self, version: ids.Version
    ) -> state_records.VersionRecord | None:
        """Return the record of a version, or None if it is not retained."""
        return self._version_records.get(version)

    def declaration_at(self, version: ids.Version) -> model.Declaration | None:
        """Return the declaration of a version, or None if it is not retained."""
        if version == self.version:
            return self.declaration
        packed = self._packed_by_version.get(version)
        if packed is None:
            return None
        return model.Declaration.model_validate_json(zlib.decompress(packed))

    def audit_lines(self, after: int = 0, limit: int | None = None) -> list[bytes]:
        """Return the encoded audit records after a sequence number."""
        start = max(after, 0)
        return self._audit_lines[start : None if limit is None else start + limit]

    def admit(self, change: changes.Change) -> result.Result[None, changes.Refused]:
        """Return whether the change may be appended to the log.

        Changes of unknown operators are not logged, so they use neither space in the
        audit trail nor change ids.
        """
        if change.change_id in self._first_outcomes_by_id:
            return result.Ok(None)
        content = change.signed_content()
        faults = self._authenticate(change, content, self._allow_unsigned)
        return (
            result.Err(changes.Refused.from_faults(faults))
            if faults
            else result.Ok(None)
        )

    def build_command(self, change: changes.Change, now_ms: int) -> bytes:
        """Return the log entry for a change, with the leader's time."""
        entry = changes.Command(
            change=change,
            time_ms=max(now_ms, self.time_ms),
            unsigned_allowed=self._allow_unsigned,
        )
        return entry.to_bytes()

    # Commands.

    def apply(
        self, index: int, command: bytes
    ) -> changes.Accepted | changes.Conflict | changes.Refused:
        """Apply one committed log entry and return its outcome."""
        self.applied_index = index
        try:
            parsed = changes.Command.model_validate_json(command)
        except pydantic.ValidationError as error:
            message = f"not understood: {error.errors(include_url=False)[0]['msg']}"
            fault = validation.Fault("command", message)
            return changes.Refused.from_faults((fault,))
        self.time_ms = max(self.time_ms, parsed.time_ms)
        self._drop_expired_outcomes()
        change = parsed.change
        canonical = loading.canonical_bytes(change.declaration)
        content = change.signed_content(hashlib.sha256(canonical).hexdigest())
        fingerprint = _fingerprint(content, change.signature)
        first_outcome = self._first_outcomes_by_id.get(change.change_id)
        if first_outcome is not None:
            if first_outcome.fingerprint == fingerprint:
                return first_outcome.outcome
            message = "this id was used for another change; take a new change id"
            return changes.Refused.from_faults(
                (validation.Fault("change_id", message),)
            )
        if len(self._first_outcomes_by_id) >= self._max_retained_outcomes:
            message = "too many changes in a day; wait until the oldest is forgotten"
            return changes.Refused.from_faults(
                (validation.Fault("change_id", message),)
            )
        previous = self.declaration
        outcome = self._decide(change, content, parsed.unsigned_allowed)
        if isinstance(outcome, changes.Accepted):
            self._accept(change, outcome.version, content, canonical)
        self._first_outcomes_by_id[change.change_id] = state_records.FirstOutcome(
            fingerprint=fingerprint, time_ms=self.time_ms, outcome=outcome
        )
        self._append_audit_record(change, content, previous, outcome)
        return outcome

    def _decide(
        self,
        change: changes.Change,
        content: signing.SignedContent,
        unsigned_allowed: bool,
    ) -> changes.Accepted | changes.Conflict | changes.Refused:
        faults = self._authenticate(change, content, unsigned_allowed)
        if not faults and change.base_version > self.version:
            message = f"version {change.base_version} does not exist yet; get the"
            message += f" current version {self.version} and base the change on it"
            faults = (validation.Fault("base_version", message),)
        if faults:
            return changes.Refused.from_faults(faults)
        if change.base_version < self.version:
            return self._build_conflict(change)
        faults = validation.validate(change.declaration, self.declaration)
        if not faults and self.declaration is not None:
            faults = authorization.check_permissions(
                self.declaration, change.declaration, change.owner, self.time_ms
            )
        if faults:
            return changes.Refused.from_faults(faults)
        return changes.Accepted(version=ids.Version(self.version + 1))

    def _authenticate(
        self,
        change: changes.Change,
        content: signing.SignedContent,
        unsigned_allowed: bool,
    ) -> tuple[validation.Fault, ...]:
        # The first declaration is authenticated with the keys that it declares, later
        # ones with the keys of the declaration in force.
        trusted = change.declaration if self.declaration is None else self.declaration
        owner = trusted.owners_by_id.get(change.owner)
        if owner is None:
            return (
                validation.Fault("owner", f"no owner {change.owner!r} is declared"),
            )
        if not change.signature:
            if unsigned_allowed and not owner.public_keys:
                return ()
            message = f"not signed; sign with a key of {change.owner!r} (--key FILE)"
            return (validation.Fault("signature", message),)
        if change.public_key not in owner.public_keys:
            message = f"the key is not declared for {change.owner!r}"
            return (validation.Fault("public_key", message),)
        if not signing.verify(content, change.signature):
            return (validation.Fault("signature", "does not match the change"),)
        return ()

    def _build_conflict(self, change: changes.Change) -> changes.Conflict:
        winner = self._version_records.get(ids.Version(change.base_version + 1))
        assert self.declaration is not None
        base = self.declaration_at(change.base_version)
        # If the base is no longer retained, compare the proposed declaration instead.
        entry_differences = (
            difference.compare(base, self.declaration)
            if base is not None or change.base_version == INITIAL_VERSION
            else difference.compare(change.declaration, self.declaration)
        )
        return changes.Conflict(
            current_version=self.version,
            winning_change_id=None if winner is None else winner.change_id,
            winning_owner=None if winner is None else winner.owner,
            differences=changes.summarize(entry_differences),
        )

    def _accept(
        self,
        change: changes.Change,
        version: ids.Version,
        content: signing.SignedContent,
        canonical: bytes,
    ) -> None:
        self.version = version
        self.declaration = change.declaration
        self.digest = content.declaration_digest
        self.holder_lists = claim_holders.update_holder_lists(
            self.holder_lists, change.declaration, version, self.time_ms
        )
        self._version_records[version] = state_records.VersionRecord(
            version=version,
            change_id=change.change_id,
            owner=change.owner,
            reason=change.reason,
            time_ms=self.time_ms,
            digest=self.digest,
            index=self.applied_index,
        )
        self._packed_by_version[version] = zlib.compress(canonical)
        _drop_oldest(self._version_records, MAX_VERSION_RECORDS)
        _drop_oldest(self._packed_by_version, self._max_retained_versions)

    def _append_audit_record(
        self,
        change: changes.Change,
        content: signing.SignedContent,
        previous: model.Declaration | None,
        outcome: changes.Accepted | changes.Conflict | changes.Refused,
    ) -> None:
        accepted = isinstance(outcome, changes.Accepted)
        entry_differences = (
            difference.compare(previous, change.declaration) if accepted else ()
        )
        summary = changes.summarize(entry_differences)
        if isinstance(outcome, changes.Refused):
            summary = tuple(str(fault) for fault in outcome.faults[:5])
        record = audit.AuditRecord(
            sequence=self.audit_head.sequence + 1,
            previous_hash=self.audit_head.hash,
            time_ms=self.time_ms,
            owner=change.owner,
            public_key=change.public_key,
            change_id=change.change_id,
            base_version=change.base_version,
            version=outcome.version if isinstance(outcome, changes.Accepted) else None,
            outcome=outcome.outcome,
            declaration_digest=content.declaration_digest,
            summary=summary,
            reason=change.reason,
            signature=change.signature,
        )
        self._audit_lines.append(record.to_bytes())
        self.audit_head = audit.AuditHead(record.sequence, record.hash())

    def _drop_expired_outcomes(self) -> None:
        # Outcomes are in log order and state time never decreases: the oldest is first.
        while self._first_outcomes_by_id:
            oldest = next(iter(self._first_outcomes_by_id))
            age_ms = self.time_ms - self._first_outcomes_by_id[oldest].time_ms
            if age_ms <= OUTCOME_RETENTION_MS:
                break
            del self._first_outcomes_by_id[oldest]

    # Snapshots.

    def snapshot(self) -> bytes:
        """Return the complete state as compressed bytes."""
        body = state_records.Snapshot(
            version=self.version,
            applied_index=self.applied_index,
            time_ms=self.time_ms,
            versions=self.version_records(),
            packed_by_version={
                version: packed.hex()
                for version, packed in self._packed_by_version.items()
            },
            first_outcomes_by_id=self._first_outcomes_by_id,
            holder_lists=self.holder_lists,
            audit_lines=tuple(line.decode("ascii") for line in self._audit_lines),
        )
        return zlib.compress(body.model_dump_json().encode())

    def restore(self, data: bytes) -> None:
        """Replace the complete state with that of a snapshot."""
        body = state_records.Snapshot.model_validate_json(zlib.decompress(data))
        self._reset()
        self.version = body.version
        self.applied_index = body.applied_index
        self.time_ms = body.time_ms
        self.holder_lists = body.holder_lists
        self._version_records = {record.version: record for record in body.versions}
        self._packed_by_version = {
            version: bytes.fromhex(packed)
            for version, packed in body.packed_by_version.items()
        }
        self._first_outcomes_by_id = dict(body.first_outcomes_by_id)
        self._audit_lines = [line.encode("ascii") for line in body.audit_lines]
        if self._audit_lines:
            last = self._audit_lines[-1]
            self.audit_head = audit.AuditHead(
                json.loads(last)["sequence"], hashlib.sha256(last).hexdigest()
            )
        packed = self._packed_by_version.get(self.version)
        if packed is not None:
            text = zlib.decompress(packed)
            self.declaration = model.Declaration.model_validate_json(text)
            self.digest = hashlib.sha256(text).hexdigest()


def _fingerprint(content: signing.SignedContent, signature: str) -> str:
    return hashlib.sha256(content.to_bytes() + signature.encode()).hexdigest()


def _drop_oldest(records: dict[ids.Version, RecordT], limit: int) -> None:
    while len(records) > limit:
        del records[next(iter(records))]
