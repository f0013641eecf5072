"""Names of the headers that callers, instances and endpoints exchange."""

from __future__ import annotations

import dataclasses

from yuccapitch.steering.placement import model

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Header names in lower case, as a deployment has them."""

    request_id: bytes
    deadline_ms: bytes
    object_key: bytes
    endpoint_signature: bytes
    """Signature by which an endpoint's answer is known."""
    expected_endpoint: bytes
    load_report: bytes
    not_run: bytes
    """Present on an answer that says that the request did not run."""


def parse_load_report(value: bytes | None) -> model.Load | None:
    """Return a load report of three numbers, None if there is no readable one."""
    if value is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in value.split(b","))
    except ValueError:
        # A wrong report is as good as none: own counts go before reports.
        return None
    return model.Load(running, waiting, slots)


def parse_deadline_s(value: bytes | None) -> float | None:
    """Return the time that the caller will wait, None if it states none."""
    if value is None or not value.strip().isdigit():
        return None
    return int(value) / MS_PER_S
