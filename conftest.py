from __future__ import annotations

import gc
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


@pytest.fixture
def logged() -> Iterator[list[dict[str, object]]]:
    """Yield the list of events that the test logs."""
    messages: list[dict[str, object]] = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


@pytest.fixture
def without_garbage_collector() -> Iterator[None]:
    """Let nothing be freed but by the end of the last reference."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()
