"""The members of the replicated log, and the rule by which they change."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterable

# Up to this difference every two majorities have a replica in common.
MAX_VOTER_CHANGES = 1


@dataclasses.dataclass(frozen=True)
class Member:
    """One replica: the instance it runs on and the identity of its disk."""

    instance_id: str
    identity: str
    is_voter: bool


@dataclasses.dataclass(frozen=True)
class Membership:
    """All members at one point of the log."""

    members: tuple[Member, ...] = ()

    def voters(self) -> frozenset[str]:
        """Return the identities that vote."""
        return frozenset(m.identity for m in self.members if m.is_voter)

    def find(self, identity: str) -> Member | None:
        """Return the member with this identity."""
        return next((m for m in self.members if m.identity == identity), None)

    def find_instance(self, instance_id: str) -> Member | None:
        """Return the member that runs on this instance."""
        return next((m for m in self.members if m.instance_id == instance_id), None)

    def is_quorum(self, identities: Iterable[str]) -> bool:
        """Tell whether these identities hold a majority of the voters."""
        voters = self.voters()
        return bool(voters) and 2 * len(voters.intersection(identities)) > len(voters)

    def with_learner(self, instance_id: str, identity: str) -> Membership:
        """Return a copy in which the instance is a learner with this identity."""
        learner = Member(instance_id, identity, is_voter=False)
        return Membership((*self.without(instance_id).members, learner))

    def with_voter(self, identity: str) -> Membership:
        """Return a copy in which the learner with this identity votes."""
        return Membership(
            tuple(
                dataclasses.replace(m, is_voter=m.is_voter or m.identity == identity)
                for m in self.members
            )
        )

    def without(self, instance_id: str) -> Membership:
        """Return a copy without the instance."""
        return Membership(
            tuple(m for m in self.members if m.instance_id != instance_id)
        )

    def can_replace(self, earlier: Membership) -> bool:
        """Tell whether one log entry may lead from the earlier membership here."""
        changed = self.voters() ^ earlier.voters()
        return bool(self.voters()) and len(changed) <= MAX_VOTER_CHANGES


def encode(membership: Membership) -> bytes:
    """Return the payload of a membership entry."""
    fields = [(m.instance_id, m.identity, m.is_voter) for m in membership.members]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(payload: bytes) -> Membership:
    """Return the membership that a payload describes."""
    return Membership(tuple(Member(*fields) for fields in json.loads(payload)))
