"""Membership of the group and the rule for changing it."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterable

# With at most one changed voter, every majority before the change shares a replica with
# every majority after it.
MAX_VOTER_CHANGES = 1


@dataclasses.dataclass(frozen=True)
class Member:
    """One replica: the instance it runs on and the identity of its disk."""

    instance_id: str
    identity: str
    is_voter: bool


@dataclasses.dataclass(frozen=True)
class Membership:
    """All members of the group at one index of the log."""

    members: tuple[Member, ...] = ()

    def voters(self) -> frozenset[str]:
        """Return the identities of the voters."""
        return frozenset(m.identity for m in self.members if m.is_voter)

    def find(self, identity: str) -> Member | None:
        """Return the member with this identity, if any."""
        return next((m for m in self.members if m.identity == identity), None)

    def find_instance(self, instance_id: str) -> Member | None:
        """Return the member on this instance, if any."""
        return next((m for m in self.members if m.instance_id == instance_id), None)

    def is_quorum(self, identities: Iterable[str]) -> bool:
        """Return whether these identities include a majority of the voters."""
        voters = self.voters()
        return bool(voters) and 2 * len(voters.intersection(identities)) > len(voters)

    def with_learner(self, instance_id: str, identity: str) -> Membership:
        """Return a copy in which the instance is a learner with this identity."""
        learner = Member(instance_id, identity, is_voter=False)
        return Membership((*self.without(instance_id).members, learner))

    def with_voter(self, identity: str) -> Membership:
        """Return a copy in which the member with this identity is a voter."""
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
        """Return whether one log entry may replace the earlier membership with this."""
        changed = self.voters() ^ earlier.voters()
        return bool(self.voters()) and len(changed) <= MAX_VOTER_CHANGES


def encode(membership: Membership) -> bytes:
    """Encode a membership as the payload of a log entry."""
    fields = [(m.instance_id, m.identity, m.is_voter) for m in membership.members]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(payload: bytes) -> Membership:
    """Decode the payload of a membership entry."""
    return Membership(tuple(Member(*fields) for fields in json.loads(payload)))
