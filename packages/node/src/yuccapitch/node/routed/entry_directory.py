"""Selection of the entry instances for client lookups."""

from __future__ import annotations

from yuccapitch.control import fleet as control_fleet
from yuccapitch.protocol import subscription_messages as messages
from yuccapitch.steering import entry_locality


class EntryDirectory:
    """Directory of the fleet's entry instances."""

    def __init__(self, fleet: control_fleet.Fleet, lookup_ttl_s: float) -> None:
        self._fleet = fleet
        self.lookup_ttl_s = lookup_ttl_s

    def find_instances(
        self, region_id: str, failure_domain: str
    ) -> list[messages.EntryInstance]:
        """Return the instances that a client should use; empty if none is known."""
        return entry_locality.select_entries(
            self._fleet.instances, region_id, failure_domain
        )
