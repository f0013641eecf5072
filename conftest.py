from __future__ import annotations

from collections.abc import Iterator

import eliot
import pytest


@pytest.fixture(autouse=True)
def discard_logs() -> Iterator[None]:
    """Discard log messages, which eliot would buffer for the next destination."""

    def discard(message: object) -> None:
        return None

    eliot.add_destinations(discard)
    yield
    eliot.remove_destination(discard)
