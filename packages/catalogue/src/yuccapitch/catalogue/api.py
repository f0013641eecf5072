"""Bodies of the operator HTTP interface, used by the server and the command line."""

from __future__ import annotations

import enum

import pydantic

from yuccapitch.catalogue import changes, difference, ids, model, state_records


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(frozen=True)


class ErrorCode(enum.Enum):
    """Why an operator's request has no answer."""

    NOT_LEADER = "not-leader"
    UNAVAILABLE = "unavailable"
    UNKNOWN_OUTCOME = "unknown-outcome"
    NOT_FOUND = "not-found"
    BAD_REQUEST = "bad-request"


class ErrorBody(_Body):
    """An error and what to do next."""

    error: ErrorCode
    message: str
    next_step: str
    leader: str | None = None
    """Address of the instance to ask instead, `http://host:port`."""
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
    """What a declaration would change and who may apply it now."""

    version: ids.Version
    owner_in_turn: ids.OwnerId | None
    differences: tuple[difference.Difference, ...]
    faults: tuple[changes.FaultBody, ...] = ()
    """Why the given owner may not apply it; empty where it may."""


class ChangeBody(_Body):
    """The outcome of a change."""

    change_id: ids.ChangeId
    outcome: changes.ChangeOutcome


class VersionsBody(_Body):
    """The kept versions, newest first."""

    current_version: ids.Version
    versions: tuple[state_records.VersionRecord, ...]


class AuditBody(_Body):
    """A part of the audit trail: one encoded record a line."""

    head_sequence: int
    head_hash: str
    lines: tuple[str, ...]


class LeaseHolderStatus(_Body):
    """What one instance that holds the configuration acts on."""

    instance_id: ids.InstanceId
    version: ids.Version
    """Last version that the instance acknowledged."""
    lease_left_ms: int
    """How long it may still act on it; 0 where its lease has lapsed."""


class InForceBody(_Body):
    """Whether a version is in force on every instance that acts."""

    version: ids.Version
    everywhere: bool
    lagging: tuple[ids.InstanceId, ...] = ()
    """Instances with a live lease on an older version."""


class MemberStatus(_Body):
    """One member of the replicated log."""

    instance_id: ids.InstanceId
    address: str = ""
    """HTTP address, `http://host:port`; empty where it is not known."""
    identity: str = ""
    """Identity of its disk; a replaced disk comes back under a new one."""
    voter: bool = True
    match_index: int | None = None


class StatusBody(_Body):
    """What the asked instance knows of the control plane."""

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
        """Return the leader's HTTP address, if it is known."""
        for member in self.members:
            if member.instance_id == self.leader and member.address:
                return member.address
        return None
