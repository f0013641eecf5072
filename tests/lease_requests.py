"""Lease requests for tests."""

from __future__ import annotations

from yuccapitch.protocol import lease_messages, node_messages


def lease_request(
    name: str,
    sequence: int,
    failure_domain: str,
    *,
    version: int = 0,
    live_sequence: int = 0,
    is_stopping: bool = False,
    shares: lease_messages.ShareRenewal | None = None,
) -> node_messages.LeaseRequest:
    """Return the lease request of a ready entry instance without pools."""
    return node_messages.LeaseRequest(
        instance_id=name,
        incarnation=1,
        version=version,
        is_ready=True,
        is_stopping=is_stopping,
        http_host="127.0.0.1",
        http_port=1,
        inner_host="127.0.0.1",
        inner_port=2,
        failure_domain=failure_domain,
        in_flight=0,
        live_sequence=live_sequence,
        shares=shares,
        sequence=sequence,
        applied_term=0,
        applied_grant=0,
        pools=(),
    )
