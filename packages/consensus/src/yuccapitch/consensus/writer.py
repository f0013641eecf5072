"""Thread that writes to a replica's storage, so that the event loop doesn't wait.

The thread decides nothing. It performs one batch of writes at a time, in order; what is
requested meanwhile forms the next batch.
"""

from __future__ import annotations

import asyncio
import dataclasses
import queue
import threading
from collections.abc import Callable, Sequence

from yuccapitch.consensus import effects, files, storage as consensus_storage

# Pause before a write that found no space is tried again.
RETRY_PAUSE_S = 0.25
# Time that closing waits for the disk, as a process has to end within its grace.
# Nothing that was answered rests on what is still unwritten then.
CLOSE_TIMEOUT_S = 0.5

Write = effects.PersistHardState | effects.PersistEntries | effects.PersistSnapshot


def select_writes(batch: Sequence[Write]) -> list[Write]:
    """Return the writes of a batch that have to be performed.

    Only the last term and vote of a batch count, as nothing is sent before its end.
    They are written first: a term that is raised too early is always safe.
    """
    hard_states = [w for w in batch if isinstance(w, effects.PersistHardState)]
    others = [w for w in batch if not isinstance(w, effects.PersistHardState)]
    return [*hard_states[-1:], *others]


@dataclasses.dataclass(frozen=True)
class Written:
    """Outcome of a batch that is durable."""

    count: int
    duration_s: float
    """Duration without the pauses for lack of space."""


class Writer:
    """Performs the writes of one replica; its callbacks run on the event loop."""

    def __init__(
        self,
        storage: consensus_storage.Storage,
        clock: Callable[[], float],
        on_written: Callable[[Written], None],
        on_failed: Callable[[Exception], None],
        on_no_space: Callable[[OSError], None],
    ) -> None:
        """Initialize; ``start`` starts the thread."""
        self._storage = storage
        self._clock = clock
        self._on_written = on_written
        self._on_failed = on_failed
        self._on_no_space = on_no_space
        self._queued: list[Write] = []
        self._is_busy = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._batches: queue.SimpleQueue[list[Write] | None] = queue.SimpleQueue()
        self._closing = threading.Event()
        self._loop: asyncio.AbstractEventLoop
        self._ended: asyncio.Future[None]

    def start(self) -> None:
        """Start the thread."""
        self._loop = asyncio.get_running_loop()
        self._ended = self._loop.create_future()
        # The process has to end even if the disk no longer answers.
        threading.Thread(target=self._run, name="log-writer", daemon=True).start()

    def write(self, writes: Sequence[Write]) -> None:
        """Add writes to the next batch."""
        self._queued.extend(writes)
        self._start_batch()

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until all writes are durable, at most for a time."""
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        except TimeoutError:
            return

    async def aclose(self) -> None:
        """End the thread, which closes the storage; don't wait long for the disk."""
        ends_at = self._loop.time() + CLOSE_TIMEOUT_S
        await self.wait_idle(CLOSE_TIMEOUT_S)
        self._closing.set()
        self._batches.put(None)
        timeout_s = max(0.0, ends_at - self._loop.time())
        await asyncio.wait({self._ended}, timeout=timeout_s)

    def _start_batch(self) -> None:
        if self._is_busy or not self._queued:
            return
        batch, self._queued = self._queued, []
        self._is_busy = True
        self._idle.clear()
        self._batches.put(batch)

    def _end_batch(self, outcome: Written | Exception) -> None:
        if isinstance(outcome, Exception):
            # The contents of the disk are unknown, so nothing further is written.
            self._idle.set()
            self._on_failed(outcome)
            return
        self._is_busy = False
        self._start_batch()
        # This may request further writes.
        self._on_written(outcome)
        if not self._is_busy:
            self._idle.set()

    def _end(self) -> None:
        if not self._ended.done():
            self._ended.set_result(None)

    # On the thread.

    def _run(self) -> None:
        while (batch := self._batches.get()) is not None:
            self._report(self._end_batch, self._try_batch(batch))
        self._storage.close()
        self._report(self._end)

    def _try_batch(self, batch: list[Write]) -> Written | Exception:
        try:
            return self._perform_batch(batch)
        except Exception as error:
            # Without an outcome, the replica would wait for ever.
            return error

    def _perform_batch(self, batch: list[Write]) -> Written | Exception:
        started_at = self._clock()
        paused_s = 0.0
        steps = [self._bind(write) for write in select_writes(batch)]
        for step in (*steps, self._storage.sync):
            while True:
                try:
                    step()
                    break
                except files.NoSpaceError as error:
                    self._report(self._on_no_space, error)
                    paused_at = self._clock()
                    if self._closing.wait(RETRY_PAUSE_S):
                        return error
                    paused_s += self._clock() - paused_at
                except Exception as error:
                    return error
        return Written(len(batch), self._clock() - started_at - paused_s)

    def _bind(self, write: Write) -> Callable[[], None]:
        match write:
            case effects.PersistHardState(hard_state):
                return lambda: self._storage.write_hard_state(hard_state)
            case effects.PersistEntries(entries):
                return lambda: self._storage.write_entries(entries)
            case effects.PersistSnapshot(snapshot, keeps_suffix):
                return lambda: self._storage.write_snapshot(snapshot, keeps_suffix)

    def _report(self, callback: Callable[..., None], *arguments: object) -> None:
        try:
            self._loop.call_soon_threadsafe(callback, *arguments)
        except RuntimeError:
            # The event loop is closed: nobody waits for this any more.
            return
