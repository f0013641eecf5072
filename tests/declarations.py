"""Small declarations for tests that run processes."""

from __future__ import annotations

from typing import Any


def small(
    instances: dict[str, Any], ports_by_endpoint: dict[str, int], slots: int = 4
) -> dict[str, Any]:
    """Return one region with two failure domains and a service with three routes."""
    endpoints = {
        endpoint: {
            "owner": "north",
            "service": "shop",
            "failure_domain": f"domain-{1 + index % 2}",
            "host": "127.0.0.1",
            "port": port,
            "slots": slots,
            "connections": 40,
        }
        for index, (endpoint, port) in enumerate(ports_by_endpoint.items())
    }
    return {
        "owners": {"north": {}},
        "turns": {"first_month": "2026-01", "order": ["north"]},
        "regions": {"east": {"capacity": 100}},
        "failure_domains": {
            "domain-1": {"region": "east"},
            "domain-2": {"region": "east"},
        },
        "instances": instances,
        "services": {
            "shop": {"owner": "north", "answer_ttl_s": 1.0, "probe_path": "/probe"}
        },
        "endpoints": endpoints,
        "routes": {
            "browsing": _route("read-only", ["GET"], "/"),
            "orders": _route("at-most-once", ["POST"], "/orders"),
            "uploads": _route("kept-once", ["PUT"], "/uploads"),
        },
        "default_region": "east",
    }


def _route(request_class: str, methods: list[str], prefix: str) -> dict[str, Any]:
    return {
        "owner": "north",
        "service": "shop",
        "methods": methods,
        "path_prefix": prefix,
        "request_class": request_class,
        "limits": {
            "deadline_ms": 5000,
            "body_bytes": 4_000_000,
            "concurrency": 50,
        },
    }
