"""Routing state of an entry instance, and when the leader last confirmed it."""

from __future__ import annotations

import dataclasses

from yuccapitch.catalogue import ids, routes
from yuccapitch.steering import retry_budget


@dataclasses.dataclass
class RoutingState:
    """State that routing decisions use; each field is updated on its own."""

    table: routes.RouteTable | None = None
    state_index: int = 0
    """Index of the last state of the leader that was applied."""
    confirmed_at: float = float("-inf")
    """Time at which the leader last confirmed that the state is current."""
    instance_count: int = 1
    """Number of entry instances that share the retry budget."""
    budgets_by_service_id: dict[ids.ServiceId, retry_budget.RetryBudget] = (
        dataclasses.field(default_factory=dict)
    )

    def limits(self) -> routes.CallerLimits:
        """Return the limits on client requests in force."""
        return routes.CallerLimits() if self.table is None else self.table.limits
