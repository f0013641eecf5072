"""The audit trail: hash-chained records and their offline verification."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Iterable, Iterator, Mapping

import pydantic

from yuccapitch.catalogue import ids, loading, signing

INITIAL_HASH = "0" * 64


class AuditRecord(pydantic.BaseModel):
    """Who changed what, why, when and with which outcome."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    sequence: int
    previous_hash: str
    time_ms: int
    owner: ids.OwnerId
    public_key: str
    change_id: ids.ChangeId
    base_version: ids.Version
    version: ids.Version | None
    """The version that the change became; None where it was not accepted."""
    outcome: str
    declaration_digest: str
    summary: tuple[str, ...]
    reason: str
    signature: str

    def to_bytes(self) -> bytes:
        """Return the canonical bytes, which are one line of an export."""
        return loading.canonical_json(self.model_dump(mode="json"))

    def hash(self) -> str:
        """Return the hash that the next record names."""
        return hashlib.sha256(self.to_bytes()).hexdigest()

    def signed_content(self) -> signing.SignedContent:
        """Return what the operator signed."""
        return signing.SignedContent(
            change_id=self.change_id,
            base_version=self.base_version,
            declaration_digest=self.declaration_digest,
            reason=self.reason,
            owner=self.owner,
            public_key=self.public_key,
        )


@dataclasses.dataclass(frozen=True)
class AuditHead:
    """The last record's sequence and hash, kept to notice a shortened trail."""

    sequence: int
    hash: str


@dataclasses.dataclass(frozen=True)
class AuditFinding:
    """What is wrong at one record."""

    sequence: int
    message: str

    def __str__(self) -> str:
        return f"record {self.sequence}: {self.message}"


@dataclasses.dataclass(frozen=True)
class TrustedKeys:
    """Owners' public keys, present and past; other owners' records go unchecked."""

    keys_by_owner: Mapping[ids.OwnerId, frozenset[str]]
    unsigned_allowed: bool = False


def verify_export(
    lines: Iterable[str], keys: TrustedKeys, head: AuditHead | None = None
) -> tuple[AuditFinding, ...]:
    """Return what is wrong with an exported trail; nothing where it is whole."""
    return tuple(_verify(lines, keys, head))


def read_head(lines: Iterable[str]) -> AuditHead:
    """Return the head of an export whose records are well-formed."""
    head = AuditHead(0, INITIAL_HASH)
    for line in lines:
        if line.strip():
            record = AuditRecord.model_validate_json(line)
            head = AuditHead(record.sequence, record.hash())
    return head


def _verify(
    lines: Iterable[str], keys: TrustedKeys, head: AuditHead | None
) -> Iterator[AuditFinding]:
    sequence, previous_hash, version = 0, INITIAL_HASH, 0
    time_ms = 0
    hash_at_head: str | None = INITIAL_HASH if head and head.sequence == 0 else None
    for line in lines:
        if not line.strip():
            continue
        expected = sequence + 1
        record = _parse_record(line)
        if record is None:
            yield AuditFinding(expected, "it is not a well-formed record")
            sequence, previous_hash = expected, ""
            continue
        if record.sequence > expected:
            yield AuditFinding(expected, f"missing: {record.sequence} follows instead")
        elif record.sequence < expected:
            yield AuditFinding(record.sequence, f"out of order: {expected} is due here")
        elif previous_hash and record.previous_hash != previous_hash:
            yield AuditFinding(
                max(record.sequence - 1, 1), "changed: the next record's hash differs"
            )
        if record.time_ms < time_ms:
            yield AuditFinding(record.sequence, "its time is before the one before it")
        yield from _verify_version(record, version)
        yield from _verify_signature(record, keys)
        if record.version is not None:
            version = record.version
        sequence, previous_hash = record.sequence, record.hash()
        time_ms = max(time_ms, record.time_ms)
        if head is not None and record.sequence == head.sequence:
            hash_at_head = previous_hash
    if head is not None and hash_at_head != head.hash:
        found = "missing" if hash_at_head is None else "changed"
        yield AuditFinding(head.sequence, f"{found}: the known head does not match")


def _parse_record(line: str) -> AuditRecord | None:
    try:
        record = AuditRecord.model_validate(json.loads(line))
    except ValueError:
        # Reported as a finding with its line.
        return None
    return record


def _verify_version(record: AuditRecord, version: int) -> Iterator[AuditFinding]:
    accepted = record.outcome == "accepted"
    if accepted != (record.version is not None):
        yield AuditFinding(record.sequence, "its outcome and version disagree")
    # The signature covers the base version, so that accepted records cannot be left
    # out or exchanged even by whoever recomputes every hash.
    if accepted and record.version != record.base_version + 1:
        yield AuditFinding(record.sequence, "its version does not follow its base")
    if record.version is not None and record.version != version + 1:
        yield AuditFinding(
            record.sequence, f"its version {record.version} follows version {version}"
        )


def _verify_signature(record: AuditRecord, keys: TrustedKeys) -> Iterator[AuditFinding]:
    if not record.signature:
        # A refused change without a signature proves nothing and harms nothing.
        if record.outcome == "accepted" and not keys.unsigned_allowed:
            yield AuditFinding(
                record.sequence, "it is not signed; --allow-unsigned accepts that"
            )
        return
    trusted = keys.keys_by_owner.get(record.owner)
    if trusted is not None and record.public_key not in trusted:
        if record.outcome == "accepted":
            yield AuditFinding(
                record.sequence, f"its key is not among the keys of {record.owner!r}"
            )
        return
    if record.outcome != "refused" and not signing.verify(
        record.signed_content(), record.signature
    ):
        yield AuditFinding(record.sequence, "changed: the signature does not match")
