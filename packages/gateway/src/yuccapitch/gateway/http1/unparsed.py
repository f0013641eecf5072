"""Received bytes of a connection that wait for the requests before them."""

from __future__ import annotations

END_OF_HEAD = b"\r\n\r\n"


class UnparsedBytes:
    """Bytes that are taken in parts, each with a limited number of requests.

    The parser passes on all requests of the bytes that it gets, and one read of the
    transport may hold thousands.
    """

    def __init__(self) -> None:
        self._data = b""
        self._start = 0

    def __len__(self) -> int:
        return len(self._data) - self._start

    @property
    def memory_bytes(self) -> int:
        """Memory that they take, which is freed once all are taken."""
        return len(self._data)

    @property
    def has_end_of_head(self) -> bool:
        """Whether a request may end in these bytes."""
        return self._data.find(END_OF_HEAD, self._start) >= 0

    def append(self, data: bytes) -> None:
        """Add bytes that were received."""
        self._data = self._data[self._start :] + data if len(self) else data
        self._start = 0

    def clear(self) -> None:
        """Discard all bytes."""
        self._data, self._start = b"", 0

    def take(self, max_heads: int, min_bytes: int) -> memoryview:
        """Remove and return the bytes up to the end of that many heads.

        As many as ``min_bytes`` are taken, if there are, whatever they hold.
        """
        least_end = min(len(self._data), self._start + min_bytes)
        end = max(self._find_end(max_heads), least_end)
        part = memoryview(self._data)[self._start : end]
        self._start = end
        if not len(self):
            self.clear()
        return part

    def _find_end(self, max_heads: int) -> int:
        end = self._start
        for _ in range(max_heads):
            position = self._data.find(END_OF_HEAD, end)
            if position < 0:
                return len(self._data)
            end = position + len(END_OF_HEAD)
        return end
