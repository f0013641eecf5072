"""Audit trail of hash-chained records and its offline verification."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Iterable, Iterator, Mapping

import pydantic

from yuccapitch.catalogue import ids, loading, signing

INITIAL_HASH = "0" * 64


class AuditRecord(pydantic.BaseModel):
    """A proposed change: who proposed what, when and why, and its outcome."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    sequence: int
    previous_hash: str
    time_ms: int
    owner: ids.OwnerId
    public_key: str
    change_id: ids.ChangeId
    base_version: ids.Version
    version: ids.Version | None
    """Version that the change created; None if it was not accepted."""
    outcome: str
    declaration_digest: str
    summary: tuple[str, ...]
    reason: str
    signature: str

    def to_bytes(self) -> bytes:
        """Return the canonical encoding, which is one line of an export."""
        return loading.canonical_json(self.model_dump(mode="json"))

    def hash(self) -> str:
        """Return the hash that the next record contains as its previous hash."""
        return hashlib.sha256(self.to_bytes()).hexdigest()

    def signed_content(self) -> signing.SignedContent:
        """Return the content that the operator signed."""
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
    """Sequence number and hash of the last record, to detect a truncated trail."""

    sequence: int
    hash: str


@dataclasses.dataclass(frozen=True)
class AuditFinding:
    """A problem found at one record."""

    sequence: int
    message: str

    def __str__(self) -> str:
        return f"record {self.sequence}: {self.message}"


@dataclasses.dataclass(frozen=True)
class TrustedKeys:
    """Current and former public keys by owner; unlisted owners may use any key."""

    keys_by_owner: Mapping[ids.OwnerId, frozenset[str]]
    unsigned_allowed: bool = False


def verify_export(
    lines: Iterable[str], keys: TrustedKeys, head: AuditHead | None = None
) -> tuple[AuditFinding, ...]:
    """Return the problems found in an exported trail; empty if it is intact."""
    return tuple(_verify(lines, keys, head))


def read_head(lines: Iterable[str]) -> AuditHead:
    """Return the head of an export whose records are all well-formed."""
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
            yield AuditFinding(expected, "not a well-formed record")
            # Its hash is unknown, so the next record is not checked against it.
            sequence, previous_hash = expected, ""
            continue
        if record.sequence > expected:
            yield AuditFinding(expected, f"missing; record {record.sequence} follows")
        elif record.sequence < expected:
            yield AuditFinding(
                record.sequence, f"out of order; expected record {expected}"
            )
        elif previous_hash and record.previous_hash != previous_hash:
            yield AuditFinding(
                max(record.sequence - 1, 1),
                "changed: its hash is not the next record's previous hash",
            )
        if record.time_ms < time_ms:
            yield AuditFinding(
                record.sequence, "its time is earlier than the previous record's"
            )
        yield from _verify_version(record, version)
        yield from _verify_signature(record, keys)
        if record.version is not None:
            version = record.version
        sequence, previous_hash = record.sequence, record.hash()
        time_ms = max(time_ms, record.time_ms)
        if head is not None and record.sequence == head.sequence:
            hash_at_head = previous_hash
    if head is not None and hash_at_head != head.hash:
        problem = "missing" if hash_at_head is None else "changed"
        yield AuditFinding(
            head.sequence, f"{problem}: the trail does not match the known head"
        )


def _parse_record(line: str) -> AuditRecord | None:
    try:
        record = AuditRecord.model_validate(json.loads(line))
    except ValueError:
        # The caller reports the malformed record as a finding.
        return None
    return record


def _verify_version(record: AuditRecord, version: int) -> Iterator[AuditFinding]:
    accepted = record.outcome == "accepted"
    if accepted != (record.version is not None):
        yield AuditFinding(
            record.sequence, "its outcome and its version are inconsistent"
        )
    # The signature covers the base version, so accepted records cannot be removed or
    # replaced, even by someone who recomputes every hash.
    if accepted and record.version != record.base_version + 1:
        yield AuditFinding(
            record.sequence, "its version is not the one after its base version"
        )
    if record.version is not None and record.version != version + 1:
        yield AuditFinding(
            record.sequence,
            f"its version {record.version} comes after version {version}",
        )


def _verify_signature(record: AuditRecord, keys: TrustedKeys) -> Iterator[AuditFinding]:
    if not record.signature:
        # An unsigned record does not prove who proposed the change. That matters only
        # for accepted changes, as others have no effect.
        if record.outcome == "accepted" and not keys.unsigned_allowed:
            yield AuditFinding(
                record.sequence, "not signed; pass --allow-unsigned to accept it"
            )
        return
    trusted = keys.keys_by_owner.get(record.owner)
    if trusted is not None and record.public_key not in trusted:
        if record.outcome == "accepted":
            yield AuditFinding(
                record.sequence, f"its key is not a trusted key of {record.owner!r}"
            )
        return
    # A change may have been refused because of its invalid signature.
    if record.outcome != "refused" and not signing.verify(
        record.signed_content(), record.signature
    ):
        yield AuditFinding(record.sequence, "changed: the signature does not match")
