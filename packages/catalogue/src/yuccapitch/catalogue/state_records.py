"""Records of the catalogue's state, as stored in its snapshots."""

from __future__ import annotations

import pydantic

from yuccapitch.catalogue import changes, claim_holders, ids


class _Record(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class VersionRecord(_Record):
    """The change that created a version."""

    version: ids.Version
    change_id: ids.ChangeId
    owner: ids.OwnerId
    reason: str
    time_ms: int
    digest: str
    index: int
    """Log index of the change."""


class FirstOutcome(_Record):
    """The outcome of the first change with a change id."""

    fingerprint: str
    """Digest of the change, which distinguishes a resend from another change."""
    time_ms: int
    outcome: changes.ChangeOutcome


class Snapshot(_Record):
    """A snapshot of the complete state."""

    version: ids.Version
    applied_index: int
    time_ms: int
    versions: tuple[VersionRecord, ...]
    packed_by_version: dict[ids.Version, str]
    """Compressed canonical declarations in hexadecimal."""
    first_outcomes_by_id: dict[ids.ChangeId, FirstOutcome]
    holder_lists: tuple[claim_holders.HolderList, ...]
    audit_lines: tuple[str, ...]
