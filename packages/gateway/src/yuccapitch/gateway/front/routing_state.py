"""Routing state of an entry instance, and when the leader last confirmed it."""

from __future__ import annotations

import dataclasses

from yuccapitch.catalogue import ids, routes
from yuccapitch.control import state_leases
from yuccapitch.steering import clock_drift, retry_budget

# Time after the acknowledgement of an order within which it has to be in force, unless
# the settings contain another.
DEFAULT_ORDER_APPLY_LIMIT_S = 2.5


def max_state_age_s(order_apply_limit_s: float) -> float:
    """Return the age at which a state is no longer used.

    An order is acknowledged when the last lease on the state before it has expired. An
    instance that has lost the leader uses that state for ``order_apply_limit_s`` more.
    """
    slowest_clock = 1 - clock_drift.MAX_CLOCK_DRIFT
    return state_leases.LEASE_DURATION_S + order_apply_limit_s * slowest_clock


@dataclasses.dataclass
class RoutingState:
    """State that routing decisions use; each field is updated on its own."""

    table: routes.RouteTable | None = None
    state_index: int = 0
    """Index of the last state of the leader that was applied."""
    confirmed_at: float = float("-inf")
    """Time at which the leader last confirmed that the state is current."""
    max_age_s: float = max_state_age_s(DEFAULT_ORDER_APPLY_LIMIT_S)
    """Time after the last confirmation for which requests are served."""
    instance_count: int = 1
    """Number of entry instances that share the retry budget."""
    budgets_by_service_id: dict[ids.ServiceId, retry_budget.RetryBudget] = (
        dataclasses.field(default_factory=dict)
    )

    def is_confirmed(self, now: float) -> bool:
        """Whether no order that this state lacks can have been acknowledged."""
        return now - self.confirmed_at <= state_leases.LEASE_DURATION_S

    def is_usable(self, now: float) -> bool:
        """Whether requests may be served by this state."""
        return self.table is not None and now - self.confirmed_at <= self.max_age_s

    def limits(self) -> routes.CallerLimits:
        """Return the limits on client requests in force."""
        return routes.CallerLimits() if self.table is None else self.table.limits
