from __future__ import annotations

from collections.abc import Iterator

import eliot
import pytest


@pytest.fixture(autouse=True)
def discard_logs() -> Iterator[None]:
    """Take what the tests log; eliot would hand it to the next test that listens."""

    def discard(message: object) -> None:
        return None

    eliot.add_destinations(discard)
    yield
    eliot.remove_destination(discard)
