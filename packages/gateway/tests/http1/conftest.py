from __future__ import annotations

from collections.abc import Iterator

import eliot
import pytest


@pytest.fixture
def logged() -> Iterator[list[dict[str, object]]]:
    """Yield the list of events that the test logs."""
    messages: list[dict[str, object]] = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)
