"""Formatting of times for output."""

from __future__ import annotations

import datetime

MS_PER_S = 1000


def to_text(time_ms: int) -> str:
    """Format a Unix time in UTC with a resolution of one second."""
    moment = datetime.datetime.fromtimestamp(time_ms / MS_PER_S, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
