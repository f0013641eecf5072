"""What an entry instance believes: routes, endpoints, evacuations, and their age."""

from __future__ import annotations

import dataclasses

from yuccapitch.catalogue import ids, routes
from yuccapitch.steering import retry_budget


@dataclasses.dataclass
class RoutingState:
    """The state that decides on requests; replaced part by part."""

    table: routes.RouteTable | None = None
    state_index: int = 0
    confirmed_at: float = float("-inf")
    """When the leader last confirmed that nothing is newer."""
    instance_count: int = 1
    """Entry instances that share the retry budget."""
    budgets_by_service_id: dict[ids.ServiceId, retry_budget.RetryBudget] = (
        dataclasses.field(default_factory=dict)
    )

    def limits(self) -> routes.CallerLimits:
        """Return the bounds on callers in force."""
        return routes.CallerLimits() if self.table is None else self.table.limits
