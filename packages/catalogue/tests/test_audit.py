from __future__ import annotations

import json

import hypothesis
import pytest
from hypothesis import strategies

from tests import catalogue_sample
from yuccapitch.catalogue import audit, ids, loading, signing, state

KEYS = audit.TrustedKeys(
    {
        ids.OwnerId(owner): frozenset({signing.derive_public_key(key)})
        for owner, key in catalogue_sample.PRIVATE_KEYS_BY_OWNER.items()
    }
)
RECORD_COUNT = 6


@pytest.fixture(scope="module")
def lines() -> list[str]:
    catalogue = state.CatalogueState()
    for version in range(RECORD_COUNT - 1):
        data = catalogue_sample.plain()
        data["endpoints"]["bins-1"]["slots"] = version + 1
        declared = loading.load_object(data).unwrap()
        item = catalogue_sample.change(f"change-{version}", version, declared)
        catalogue.apply(version + 1, catalogue_sample.command(item))
    late = catalogue_sample.change("late", 1, catalogue_sample.declaration())
    catalogue.apply(RECORD_COUNT, catalogue_sample.command(late))
    return [line.decode() for line in catalogue.audit_lines()]


def test_verify_intact_trail_finds_nothing(lines: list[str]) -> None:
    assert audit.verify_export(lines, KEYS, audit.read_head(lines)) == ()


@hypothesis.given(
    position=strategies.integers(0, RECORD_COUNT - 1),
    field=strategies.sampled_from(["reason", "time_ms", "summary", "owner", "outcome"]),
)
@hypothesis.settings(deadline=None)
def test_verify_names_changed_record(
    lines: list[str], position: int, field: str
) -> None:
    record = json.loads(lines[position])
    record[field] = {"time_ms": 1, "summary": ["x"]}.get(field, "forged")
    forged = [*lines]
    forged[position] = json.dumps(record)
    found = audit.verify_export(forged, KEYS, audit.read_head(lines))
    assert position + 1 in {item.sequence for item in found}


@hypothesis.given(position=strategies.integers(0, RECORD_COUNT - 1))
@hypothesis.settings(deadline=None)
def test_verify_names_dropped_record(lines: list[str], position: int) -> None:
    shortened = lines[:position] + lines[position + 1 :]
    found = audit.verify_export(shortened, KEYS, audit.read_head(lines))
    assert position + 1 in {item.sequence for item in found}


@hypothesis.given(position=strategies.integers(0, RECORD_COUNT - 2))
@hypothesis.settings(deadline=None)
def test_verify_names_reordered_record(lines: list[str], position: int) -> None:
    swapped = [*lines]
    swapped[position : position + 2] = reversed(swapped[position : position + 2])
    found = audit.verify_export(swapped, KEYS, audit.read_head(lines))
    assert position + 1 in {item.sequence for item in found}


def test_verify_reports_removed_record_despite_recomputed_hashes(
    lines: list[str],
) -> None:
    rebuilt: list[str] = []
    head = audit.AuditHead(0, audit.INITIAL_HASH)
    for line in lines[:2] + lines[3:]:
        record = audit.AuditRecord.model_validate_json(line).model_copy(
            update={"sequence": head.sequence + 1, "previous_hash": head.hash}
        )
        rebuilt.append(record.to_bytes().decode())
        head = audit.AuditHead(record.sequence, record.hash())
    assert 3 in {item.sequence for item in audit.verify_export(rebuilt, KEYS)}


def test_verify_reports_accepted_records_with_untrusted_key(lines: list[str]) -> None:
    other = audit.TrustedKeys({ids.OwnerId("amber"): frozenset({"00" * 32})})
    found = audit.verify_export(lines, other)
    assert {item.sequence for item in found} == set(range(1, RECORD_COUNT))


def test_verify_unsigned_record_needs_unsigned_allowed() -> None:
    catalogue = state.CatalogueState(allow_unsigned=True)
    declared = catalogue_sample.declaration(owners={"amber": {}, "birch": {}})
    signed = catalogue_sample.change("first", 0, declared)
    unsigned = signed.model_copy(update={"public_key": "", "signature": ""})
    catalogue.apply(1, catalogue.build_command(unsigned, 0))
    trail = [line.decode() for line in catalogue.audit_lines()]
    assert [item.sequence for item in audit.verify_export(trail, KEYS)] == [1]
    lenient = audit.TrustedKeys(KEYS.keys_by_owner, unsigned_allowed=True)
    assert audit.verify_export(trail, lenient) == ()
