"""A small declaration with two owners, and changes to it."""

from __future__ import annotations

import datetime
from typing import Any

from yuccapitch.catalogue import changes, ids, loading, model, signing

PRIVATE_KEYS_BY_OWNER = {"amber": "11" * 32, "birch": "22" * 32}
DECEMBER_MS = (
    int(datetime.datetime(2026, 12, 1, tzinfo=datetime.UTC).timestamp()) * 1000
)


def plain() -> dict[str, Any]:
    """Return the declaration as plain data; in December 2026 it is birch's turn."""
    limits = {"deadline_ms": 1000, "body_bytes": 1000, "concurrency": 4}
    return {
        "owners": {
            owner: {"public_keys": [signing.derive_public_key(key)]}
            for owner, key in PRIVATE_KEYS_BY_OWNER.items()
        },
        "turns": {"first_month": "2026-11", "order": ["amber", "birch"]},
        "regions": {"north": {"capacity": 50}, "south": {"capacity": 50}},
        "failure_domains": {"n1": {"region": "north"}, "s1": {"region": "south"}},
        "links": {
            "n-s": {
                "source": "north",
                "target": "south",
                "mbit_per_s": 100,
                "delay_ms": 55,
            }
        },
        "instances": {
            "e1": {
                "failure_domain": "n1",
                "host": "127.0.0.1",
                "http_port": 8001,
                "inner_port": 8002,
            }
        },
        "services": {"bins": {"owner": "amber"}, "photos": {"owner": "birch"}},
        "endpoints": {
            "bins-1": {
                "owner": "amber",
                "service": "bins",
                "failure_domain": "n1",
                "host": "127.0.0.1",
                "port": 9001,
                "slots": 4,
                "connections": 400,
            }
        },
        "routes": {
            "lookup": {
                "owner": "amber",
                "service": "bins",
                "methods": ["GET"],
                "path_prefix": "/",
                "request_class": "read-only",
                "limits": limits,
            }
        },
        "shifts": {
            "s": {
                "service": "bins",
                "source": "north",
                "target": "south",
                "endpoint_owner": "birch",
                "cap_per_s": 10,
            }
        },
        "client_blocks": {"10.0.0.0/8": "north", "11.0.0.0/8": "south"},
        "default_region": "north",
    }


def declaration(**sections: object) -> model.Declaration:
    """Return the declaration with some sections replaced."""
    return loading.load_object({**plain(), **sections}).unwrap()


def change(
    change_id: str,
    base: int,
    declared: model.Declaration,
    owner: str = "amber",
    reason: str = "test",
) -> changes.Change:
    """Return a signed change."""
    return changes.Change(
        change_id=ids.ChangeId(change_id),
        base_version=ids.Version(base),
        declaration=declared,
        owner=ids.OwnerId(owner),
        reason=reason,
    ).with_signature(PRIVATE_KEYS_BY_OWNER[owner])


def command(item: changes.Change, time_ms: int = DECEMBER_MS) -> bytes:
    """Return the encoded log entry of a change."""
    return changes.Command(change=item, time_ms=time_ms).to_bytes()
