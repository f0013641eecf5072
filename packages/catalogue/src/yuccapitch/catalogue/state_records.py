"""Records that the catalogue's state keeps and its snapshot carries."""

from __future__ import annotations

import pydantic

from yuccapitch.catalogue import changes, claim_holders, ids


class _Record(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class VersionRecord(_Record):
    """Which change made a version."""

    version: ids.Version
    change_id: ids.ChangeId
    owner: ids.OwnerId
    reason: str
    time_ms: int
    digest: str
    index: int
    """Position of the change in the log."""


class FirstOutcome(_Record):
    """What a change id led to when it was first applied."""

    fingerprint: str
    """Digest of the change's content, to tell a resend from another change."""
    time_ms: int
    outcome: changes.ChangeOutcome


class Snapshot(_Record):
    """The whole state."""

    version: ids.Version
    applied_index: int
    time_ms: int
    versions: tuple[VersionRecord, ...]
    packed_by_version: dict[ids.Version, str]
    """Compressed canonical declarations, hexadecimal."""
    first_outcomes_by_id: dict[ids.ChangeId, FirstOutcome]
    holder_lists: tuple[claim_holders.HolderList, ...]
    audit_lines: tuple[str, ...]
