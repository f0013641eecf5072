"""Request and response bodies of the operator HTTP API, for the server and the CLI."""

from __future__ import annotations

import enum

import pydantic

from yuccapitch.catalogue import changes, difference, ids, model, state_records


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(frozen=True)


class ErrorCode(enum.Enum):
    """Reason why an operator's request failed."""

    NOT_LEADER = "not-leader"
    UNAVAILABLE = "unavailable"
    UNKNOWN_OUTCOME = "unknown-outcome"
    NOT_FOUND = "not-found"
    BAD_REQUEST = "bad-request"


class ErrorBody(_Body):
    """An error and the next step for the operator."""

    error: ErrorCode
    message: str
    next_step: str
    leader: str | None = None
    """Address of the leader to send the request to, `http://host:port`."""
    faults: tuple[changes.FaultBody, ...] = ()


class CatalogueBody(_Body):
    """A version of the catalogue; version 0 has no declaration."""

    version: ids.Version
    digest: str
    time_ms: int
    declaration: model.Declaration | None


class PlanRequest(_Body):
    """A declaration to compare with the current one."""

    declaration: model.Declaration
    owner: ids.OwnerId | None = None


class PlanBody(_Body):
    """Changes that a declaration would make and the owner who has the turn now."""

    version: ids.Version
    owner_in_turn: ids.OwnerId | None
    differences: tuple[difference.Difference, ...]
    faults: tuple[changes.FaultBody, ...] = ()
    """Reasons why the given owner may not apply the declaration; empty if it may."""


class ChangeBody(_Body):
    """The outcome of a change."""

    change_id: ids.ChangeId
    outcome: changes.ChangeOutcome


class VersionsBody(_Body):
    """The retained versions, newest first."""

    current_version: ids.Version
    versions: tuple[state_records.VersionRecord, ...]


class AuditBody(_Body):
    """A range of the audit trail, one encoded record per line."""

    head_sequence: int
    head_hash: str
    lines: tuple[str, ...]


class LeaseHolderStatus(_Body):
    """Configuration version and lease of one instance."""

    instance_id: ids.InstanceId
    version: ids.Version
    """Last version that the instance acknowledged."""
    lease_left_ms: int
    """Time for which it may still act on the version; 0 if its lease has expired."""


class InForceBody(_Body):
    """Whether a version is in force on every instance that acts on a configuration."""

    version: ids.Version
    everywhere: bool
    lagging: tuple[ids.InstanceId, ...] = ()
    """Instances with a live lease on an older version."""


class MemberStatus(_Body):
    """One member of the group that replicates the log."""

    instance_id: ids.InstanceId
    address: str = ""
    """HTTP address, `http://host:port`; empty if unknown."""
    identity: str = ""
    """Identity of its disk; a replaced disk has a new identity."""
    voter: bool = True
    match_index: int | None = None


class StatusBody(_Body):
    """State of the control plane as known to the queried instance."""

    instance_id: ids.InstanceId
    consensus_role: str
    leader: ids.InstanceId | None
    term: int
    version: ids.Version
    digest: str
    members: tuple[MemberStatus, ...] = ()
    holders: tuple[LeaseHolderStatus, ...] = ()
    in_force: InForceBody | None = None

    def leader_address(self) -> str | None:
        """Return the leader's HTTP address, or None if it is unknown."""
        for member in self.members:
            if member.instance_id == self.leader and member.address:
                return member.address
        return None
