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


NO_REVISION = -1


class OrderState:
    """State machine of committed orders; the routes of the highest revision apply."""

    def __init__(self) -> None:
        """Create a state without routes or evacuations."""
        self._revision = NO_REVISION
        self._content = b""
        self._evacuated_domains: set[str] = set()
        self._index = 0

    @property
    def index(self) -> int:
        """Log index of the last order that changed the state."""
        return self._index

    @property
    def revision(self) -> int:
        """Revision of the current routes, ``NO_REVISION`` before the first."""
        return self._revision

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
                changed = self._declare(order)
                fields: dict[str, object] = {"revision": order.revision}
            case messages.EvacuationOrder():
                changed = self._evacuate(order)
                fields = dataclasses.asdict(order)
            case _:
                raise AssertionError(
                    f"committed order {index} has the type {type(order).__name__}"
                )
        if not changed:
            events.event("order.unchanged", index=index, held=self._revision, **fields)
            return OrderOutcome.UNCHANGED
        self._index = index
        events.event("order.applied", index=index, held=self._revision, **fields)
        return OrderOutcome.APPLIED

    def message(self) -> messages.StateSnapshot:
        """Return the complete state as a message."""
        return messages.StateSnapshot(
            self._revision, self._content, tuple(sorted(self._evacuated_domains))
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

    def _declare(self, order: messages.RouteDeclaration) -> bool:
        if order.revision <= self._revision:
            return False
        self._revision, self._content = order.revision, order.content
        return True

    def _evacuate(self, order: messages.EvacuationOrder) -> bool:
        if order.is_evacuated == (order.failure_domain in self._evacuated_domains):
            return False
        if order.is_evacuated:
            self._evacuated_domains.add(order.failure_domain)
        else:
            self._evacuated_domains.discard(order.failure_domain)
        return True
