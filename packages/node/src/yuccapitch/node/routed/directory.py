"""Answers callers that ask which entry instances to use."""

from __future__ import annotations

from yuccapitch.control import fleet as control_fleet
from yuccapitch.protocol import subscription_messages as messages
from yuccapitch.steering import entry_locality


class Directory:
    """Names entry instances out of what is known of the fleet."""

    def __init__(self, fleet: control_fleet.Fleet, answer_life_s: float) -> None:
        self._fleet = fleet
        self.answer_life_s = answer_life_s

    def lookup(
        self, region_id: str, failure_domain: str
    ) -> list[messages.EntryInstance]:
        """Return the instances for a caller; empty if none is known."""
        return entry_locality.select_entries(
            self._fleet.instances, region_id, failure_domain
        )
