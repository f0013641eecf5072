"""Changes of the catalogue, the log entries that contain them, and their outcomes."""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic

from yuccapitch.catalogue import difference, ids, loading, model, signing, validation

MAX_REASON_CHARS = 500
MAX_TIME_MS = 4_102_444_800_000
"""The year 2100; a later time means that the leader's clock is wrong."""


class _Record(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Change(_Record):
    """A complete declaration that an operator proposes to replace a version."""

    change_id: ids.ChangeId = pydantic.Field(min_length=1, max_length=100)
    base_version: ids.Version = pydantic.Field(ge=0, lt=2**53)
    declaration: model.Declaration
    owner: ids.OwnerId = pydantic.Field(min_length=1, max_length=64)
    public_key: str = pydantic.Field(default="", max_length=64)
    signature: str = pydantic.Field(default="", max_length=128)
    reason: str = pydantic.Field(default="", max_length=MAX_REASON_CHARS)

    def signed_content(self, digest: str | None = None) -> signing.SignedContent:
        """Return the content to sign; a given declaration digest is not recomputed."""
        return signing.SignedContent(
            change_id=self.change_id,
            base_version=self.base_version,
            declaration_digest=digest or loading.digest(self.declaration),
            reason=self.reason,
            owner=self.owner,
            public_key=self.public_key,
        )

    def with_signature(self, private_key: str) -> Change:
        """Return a copy of the change that is signed with the private key."""
        public_key = signing.derive_public_key(private_key)
        change = self.model_copy(update={"public_key": public_key})
        signature = signing.sign(private_key, change.signed_content())
        return change.model_copy(update={"signature": signature})


class Command(_Record):
    """A change with the leader's time and whether unsigned changes are allowed."""

    change: Change
    time_ms: int = pydantic.Field(ge=0, lt=MAX_TIME_MS)
    unsigned_allowed: bool = False

    def to_bytes(self) -> bytes:
        """Return the encoding that is stored in the log."""
        change = self.change.model_dump(mode="json", exclude={"declaration"})
        change["declaration"] = loading.to_plain(self.change.declaration)
        return loading.canonical_json(
            {
                "change": change,
                "time_ms": self.time_ms,
                "unsigned_allowed": self.unsigned_allowed,
            }
        )


class FaultBody(_Record):
    """One fault, as contained in outcomes."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class Accepted(_Record):
    """The change created a version."""

    outcome: Literal["accepted"] = "accepted"
    version: ids.Version


class Conflict(_Record):
    """Another change of the same base version was accepted first."""

    outcome: Literal["conflict"] = "conflict"
    current_version: ids.Version
    winning_change_id: ids.ChangeId | None
    """The first change accepted on the same base; None if no longer retained."""
    winning_owner: ids.OwnerId | None = None
    differences: tuple[str, ...] = ()
    """Differences between the base version and the current version."""


class Refused(_Record):
    """The change is invalid or not permitted."""

    outcome: Literal["refused"] = "refused"
    faults: tuple[FaultBody, ...]

    @classmethod
    def from_faults(cls, faults: tuple[validation.Fault, ...]) -> Refused:
        """Return a refusal with the faults."""
        return cls(
            faults=tuple(
                FaultBody(path=fault.path, message=fault.message) for fault in faults
            )
        )


ChangeOutcome = Annotated[
    Accepted | Conflict | Refused, pydantic.Field(discriminator="outcome")
]
outcome_adapter: pydantic.TypeAdapter[Accepted | Conflict | Refused] = (
    pydantic.TypeAdapter(ChangeOutcome)
)

MAX_SUMMARY_LINES = 40


def summarize(items: tuple[difference.Difference, ...]) -> tuple[str, ...]:
    """Return one line per difference, limited to `MAX_SUMMARY_LINES` and a count."""
    lines = tuple(str(item)[:300] for item in items[:MAX_SUMMARY_LINES])
    omitted = len(items) - len(lines)
    return (*lines, f"and {omitted} more") if omitted else lines
