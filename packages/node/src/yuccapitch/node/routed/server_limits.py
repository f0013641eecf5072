"""Limits on what is read from others than clients and endpoints."""

from __future__ import annotations

from yuccapitch.catalogue import routes
from yuccapitch.gateway.http1 import memory_budget
from yuccapitch.protocol import receive_budget

# Twice the largest declaration that is accepted, so that the operator of one that is
# somewhat too large gets an error that says so.
MAX_ORDER_BYTES = 8 * 1024 * 1024
# Lookups, scrapes and readiness checks have no body.
MAX_QUERY_BYTES = 64 * 1024
# All lookups, scrapes and readiness checks of a process together, with their responses.
MAX_QUERIES_BYTES = 4 * 1024 * 1024
# Largest message of another instance, above that with the largest declaration, and all
# such messages together.
MAX_MESSAGE_BYTES = MAX_ORDER_BYTES
MAX_RECEIVED_BYTES = 2 * MAX_MESSAGE_BYTES


def order_limits() -> routes.CallerLimits:
    """Return the limits on operators' requests."""
    return routes.CallerLimits(max_body_bytes=MAX_ORDER_BYTES)


def query_limits() -> routes.CallerLimits:
    """Return the limits on requests without a body."""
    return routes.CallerLimits(max_body_bytes=MAX_QUERY_BYTES)


def query_budget() -> memory_budget.MemoryBudget:
    """Return the budget of lookups, scrapes and readiness checks.

    They are answered also while other messages take all that these may: an instance
    that refuses its readiness checks counts as failed.
    """
    return memory_budget.MemoryBudget(MAX_QUERIES_BYTES)


def inner_budget() -> receive_budget.ReceiveBudget:
    """Return the budget of the messages of other instances."""
    return receive_budget.ReceiveBudget(MAX_RECEIVED_BYTES, MAX_MESSAGE_BYTES)
