"""Times as people read them."""

from __future__ import annotations

import datetime

MS_PER_S = 1000


def to_text(time_ms: int) -> str:
    """Return the UTC time to the second."""
    moment = datetime.datetime.fromtimestamp(time_ms / MS_PER_S, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
