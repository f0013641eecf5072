"""Replicated state of operators' orders: current routes and evacuated domains."""

from __future__ import annotations

import dataclasses
import enum

import result

from yuccapitch.protocol import (
    codec,
    events,
    subscription_messages as messages,
)


class OrderOutcome(enum.Enum):
    """Effect of a committed order on the state."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    SUPERSEDED = "superseded"


NO_REVISION = -1


class OrderState:
    """State machine of committed orders; the routes of the highest revision apply."""

    def __init__(self) -> None:
        """Create a state without routes or evacuations."""
        self._revision = NO_REVISION
        self._content = b""
        self._evacuated_domains: set[str] = set()
        self._evacuation_indexes_by_domain: dict[str, int] = {}
        self._index = 0

    @property
    def index(self) -> int:
        """Log index of the last order that changed the state."""
        return self._index

    @property
    def revision(self) -> int:
        """Revision of the current routes, ``NO_REVISION`` before the first."""
        return self._revision

    def evacuation_index(self, failure_domain: str) -> int:
        """Return the log index of the last order for a failure domain, 0 for none."""
        return self._evacuation_indexes_by_domain.get(failure_domain, 0)

    def apply(self, index: int, command: bytes) -> OrderOutcome:
        """Apply a committed order."""
        decoded = codec.decode(command)
        if isinstance(decoded, result.Err):
            raise AssertionError(
                f"committed order {index} cannot be decoded: {decoded.err_value.reason}"
            )
        order = decoded.ok_value
        match order:
            case messages.RouteDeclaration():
                outcome = self._declare(order)
                fields: dict[str, object] = {"revision": order.revision}
            case messages.EvacuationOrder():
                outcome = self._evacuate(index, order)
                fields = dataclasses.asdict(order)
            case _:
                raise AssertionError(
                    f"committed order {index} has the type {type(order).__name__}"
                )
        fields |= {"index": index, "held": self._revision}
        match outcome:
            case OrderOutcome.APPLIED:
                self._index = index
                events.event("order.applied", **fields)
            case OrderOutcome.UNCHANGED:
                events.event("order.unchanged", **fields)
            case OrderOutcome.SUPERSEDED:
                events.event("order.superseded", **fields)
        return outcome

    def message(self) -> messages.StateSnapshot:
        """Return the complete state as a message."""
        return messages.StateSnapshot(
            self._revision,
            self._content,
            tuple(sorted(self._evacuated_domains)),
            tuple(
                messages.EvacuationIndex(domain, index)
                for domain, index in sorted(self._evacuation_indexes_by_domain.items())
            ),
        )

    def snapshot(self) -> bytes:
        """Return the serialized state for a log snapshot."""
        index = self._index.to_bytes(8, "big")
        return index + codec.encode(self.message())

    def restore(self, data: bytes) -> None:
        """Replace the state by a serialized one."""
        decoded = codec.decode(data[8:])
        if isinstance(decoded, result.Err):
            raise AssertionError(
                f"snapshot of the orders cannot be decoded: {decoded.err_value.reason}"
            )
        state: messages.StateSnapshot = decoded.ok_value
        self._index = int.from_bytes(data[:8], "big")
        self._revision = state.revision
        self._content = state.content
        self._evacuated_domains = set(state.evacuated_domains)
        self._evacuation_indexes_by_domain = {
            order.failure_domain: order.index
            for order in state.evacuation_indexes or ()
        }

    def _declare(self, order: messages.RouteDeclaration) -> OrderOutcome:
        if order.revision <= self._revision:
            return OrderOutcome.UNCHANGED
        self._revision, self._content = order.revision, order.content
        return OrderOutcome.APPLIED

    def _evacuate(self, index: int, order: messages.EvacuationOrder) -> OrderOutcome:
        domain = order.failure_domain
        if (
            order.based_on is not None
            and self.evacuation_index(domain) > order.based_on
        ):
            # A delayed copy: its caller has sent the order again through another
            # instance, and may have given the opposite order since.
            return OrderOutcome.SUPERSEDED
        # An order that changes nothing is acknowledged too, so it supersedes as well.
        self._evacuation_indexes_by_domain[domain] = index
        if order.is_evacuated == (domain in self._evacuated_domains):
            return OrderOutcome.UNCHANGED
        if order.is_evacuated:
            self._evacuated_domains.add(domain)
        else:
            self._evacuated_domains.discard(domain)
        return OrderOutcome.APPLIED
