"""Limits of the servers beside the one for clients."""

from __future__ import annotations

from yuccapitch.catalogue import routes

# Twice the largest declaration that is accepted, so that the operator of one that is
# somewhat too large gets an error that says so.
MAX_ORDER_BYTES = 8 * 1024 * 1024
# Lookups, scrapes and readiness checks have no body.
MAX_QUERY_BYTES = 64 * 1024


def order_limits() -> routes.CallerLimits:
    """Return the limits on operators' requests."""
    return routes.CallerLimits(max_body_bytes=MAX_ORDER_BYTES)


def query_limits() -> routes.CallerLimits:
    """Return the limits on requests without a body."""
    return routes.CallerLimits(max_body_bytes=MAX_QUERY_BYTES)
