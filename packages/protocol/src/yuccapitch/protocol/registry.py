"""The registry of inner message types, filled by a decorator."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

Message = TypeVar("Message")

TYPES_BY_NUMBER: dict[int, type] = {}
NUMBERS_BY_TYPE: dict[type, int] = {}


def message(number: int) -> Callable[[type[Message]], type[Message]]:
    """Register a message dataclass under its number on the wire."""

    def register(cls: type[Message]) -> type[Message]:
        if number in TYPES_BY_NUMBER:
            raise ValueError(f"message number {number} is taken")
        TYPES_BY_NUMBER[number] = cls
        NUMBERS_BY_TYPE[cls] = number
        return cls

    return register
