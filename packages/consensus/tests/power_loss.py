"""Simulated power loss of a data folder, below the calls to the operating system.

Writes that were not synced are present, missing or torn, each independently of the
others. Writes may also find no space, after any part of their data. Names that were
created, renamed or removed without a sync of their folder are kept or lost
independently. Run as
``python -m packages.consensus.tests.power_loss FIRST_SEED COUNT``.
"""

from __future__ import annotations

import contextlib
import dataclasses
import errno
import io
import os
import pathlib
import random
import stat
import sys
import tempfile
import types
from collections.abc import Callable, Iterator
from unittest import mock

from yuccapitch.consensus import (
    core,
    disk,
    effects,
    files,
    log,
    membership,
    segments,
)
from yuccapitch.protocol import consensus_messages as messages

MAX_STEPS = 260
MAX_STEPS_AFTER_KILL = 12
MAX_SEGMENT_BYTES = 24 * 1024
PAYLOAD_SIZES = (20, 20, 300, 3_000, 9_000, 30_000)
# Share of the writes that find no space on a disk that is almost full.
NO_SPACE_RATE = 0.2
MEMBERS = membership.Membership((membership.Member("c0", "first", True),))


class PowerLoss(BaseException):
    """The process ends here, as the machine has lost power."""


@dataclasses.dataclass
class _Inode:
    synced: bytes = b""
    # Offset and data of each write that is not synced; None sets the length.
    writes: list[tuple[int, bytes | None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class _Link:
    name: str
    inode: _Inode


@dataclasses.dataclass
class _Unlink:
    name: str


@dataclasses.dataclass
class _Rename:
    name: str
    new_name: str
    inode: _Inode


class PowerSupply:
    """Counts the operations on one folder and fails at one of them."""

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self.folder = folder
        self.random = random.Random(seed)
        self.no_space_rate = 0.0
        self.steps_left = self.random.randint(1, MAX_STEPS)
        self.is_off = False
        self.fails_at_sync = False
        self.fails_at_folder_sync = False
        self.fails_after_unlinks: int | None = None
        self._inode_by_name: dict[str, _Inode] = {}
        self._inode_by_number: dict[int, _Inode] = {}
        self._synced_names: dict[str, _Inode] = {}
        self._pending: list[_Link | _Unlink | _Rename] = []

    @contextlib.contextmanager
    def connected(self) -> Iterator[None]:
        """Observe the operations of the log's modules."""
        real_unlink = pathlib.Path.unlink
        fake_os = types.SimpleNamespace(
            fsync=self._sync,
            fdatasync=self._sync,
            replace=self._replace,
            open=os.open,
            close=os.close,
            O_RDONLY=os.O_RDONLY,
            O_DIRECTORY=os.O_DIRECTORY,
        )

        def unlink(path, missing_ok=False):
            self._step()
            self._pending.append(_Unlink(path.name))
            del self._inode_by_name[path.name]
            real_unlink(path, missing_ok)
            if self.fails_after_unlinks is not None:
                self.fails_after_unlinks -= 1
                if self.fails_after_unlinks == 0:
                    self._fail()

        with contextlib.ExitStack() as stack:
            for module in (files, segments):
                stack.enter_context(mock.patch.object(module, "os", fake_os))
                patch = mock.patch.object(module, "open", self._open, create=True)
                stack.enter_context(patch)
            stack.enter_context(mock.patch.object(pathlib.Path, "unlink", unlink))
            yield

    def restore(self, folder: pathlib.Path) -> None:
        """Write to ``folder`` what the disk holds after the loss of power."""
        names = dict(self._synced_names)
        for change in self._pending:
            if self.random.random() < 0.5:
                _change_names(names, change)
        loses_all_writes = self.random.random() < 0.2
        for name, inode in names.items():
            data = bytearray(inode.synced)
            for offset, written in [] if loses_all_writes else inode.writes:
                _write(data, offset, self._tear(written))
            (folder / name).write_bytes(data)

    def restart_process(self) -> None:
        """Go on after the end of a process; the files are as it left them."""
        self.is_off = self.fails_at_sync = self.fails_at_folder_sync = False
        self.no_space_rate = 0.0
        self.steps_left = self.random.randint(1, MAX_STEPS_AFTER_KILL)

    def _tear(self, written: bytes | None) -> bytes | None:
        if written is None:
            return self.random.choice((None, b""))
        size = len(written)
        return written[: self.random.choice((0, size, self.random.randint(0, size)))]

    def _step(self) -> None:
        self.steps_left -= 1
        if self.steps_left <= 0:
            self._fail()

    def _fail(self) -> None:
        self.is_off = True
        raise PowerLoss

    def _open(self, path: pathlib.Path, mode: str):
        is_new = path.name not in self._inode_by_name
        raw = _RecordedFile(path, mode, self)
        if is_new:
            inode = self._inode_by_name[path.name] = _Inode()
            self._inode_by_number[os.fstat(raw.fileno()).st_ino] = inode
            self._pending.append(_Link(path.name, inode))
        raw.inode = self._inode_by_name[path.name]
        self._step()
        return io.BufferedWriter(raw)

    def _sync(self, descriptor: int) -> None:
        self._step()
        status = os.fstat(descriptor)
        is_folder = stat.S_ISDIR(status.st_mode)
        if self.fails_at_folder_sync if is_folder else self.fails_at_sync:
            self._fail()
        if is_folder:
            for change in self._pending:
                _change_names(self._synced_names, change)
            self._pending.clear()
            return
        inode = self._inode_by_number[status.st_ino]
        data = bytearray(inode.synced)
        for offset, written in inode.writes:
            _write(data, offset, written)
        inode.synced, inode.writes = bytes(data), []
        # A new file becomes durable with its own sync.
        for change in list(self._pending):
            if isinstance(change, _Link) and change.inode is inode:
                _change_names(self._synced_names, change)
                self._pending.remove(change)

    def _replace(self, path: pathlib.Path, new_path: pathlib.Path) -> None:
        self._step()
        inode = self._inode_by_name.pop(path.name)
        self._pending.append(_Rename(path.name, new_path.name, inode))
        self._inode_by_name[new_path.name] = inode
        os.replace(path, new_path)


class _RecordedFile(io.FileIO):
    """A file whose changes are recorded until they are synced."""

    inode: _Inode

    def __init__(self, path: pathlib.Path, mode: str, supply: PowerSupply) -> None:
        super().__init__(path, mode)
        self._supply = supply

    def write(self, data):
        if self._supply.is_off:
            return len(data)
        offset = os.fstat(self.fileno()).st_size
        rate = self._supply.no_space_rate
        is_full = bool(rate) and self._supply.random.random() < rate
        kept_size = self._supply.random.randint(0, len(data)) if is_full else len(data)
        written = super().write(data[:kept_size])
        self.inode.writes.append((offset, bytes(data[:written])))
        self._supply._step()
        if is_full:
            raise OSError(errno.ENOSPC, "no space")
        return written

    def truncate(self, size=None):
        size = super().truncate(size)
        self.inode.writes.append((size, None))
        self._supply._step()
        return size


@dataclasses.dataclass
class _State:
    """What a storage holds, by what was written to it."""

    hard_state: effects.HardState
    snapshot_index: int
    entry_by_index: dict[int, messages.LogEntry]

    def copy(self) -> _State:
        return dataclasses.replace(self, entry_by_index=dict(self.entry_by_index))

    def append(self, entry: messages.LogEntry) -> None:
        for index in [i for i in self.entry_by_index if i >= entry.index]:
            del self.entry_by_index[index]
        self.entry_by_index[entry.index] = entry

    def matches(self, hard_state, snapshot_index, entries) -> bool:
        expected = {i: e for i, e in self.entry_by_index.items() if i > snapshot_index}
        return (
            hard_state == self.hard_state
            and snapshot_index == self.snapshot_index
            and {e.index: e for e in entries} == expected
        )


class Writer:
    """Uses a storage as a replica does, and knows what it may hold."""

    storage: disk.DiskStorage

    def __init__(self, random_source: random.Random) -> None:
        self.random = random_source
        self.committed_index = 0
        # The states that the storage may hold after a loss of power: the one that was
        # synced last and those after each write since.
        self.possible = [_State(effects.HardState(0, None), 0, {})]

    def run(self, storage: disk.DiskStorage, on_recovered: Callable[[], None]) -> None:
        """Recover and write until the power is lost."""
        with contextlib.suppress(PowerLoss), contextlib.closing(storage):
            self.recover(storage)
            on_recovered()
            self._write()

    def recover(self, storage: disk.DiskStorage) -> None:
        """Load the storage; check that it holds a state that it may hold."""
        self.storage = storage
        loaded = storage.load()
        assert loaded.is_ok(), f"does not start: {loaded.err_value}"
        # A replica answers from what it has recovered, so that has to last.
        self.possible = [self._find_state(loaded.ok_value)]

    def _write(self) -> None:
        self._write_term()
        while True:
            draw = self.random.random()
            if draw < 0.1:
                self._write_term()
            if draw < 0.2 and self.committed_index > self.possible[-1].snapshot_index:
                self._write_snapshot()
            self._write_entries()
            self._retry(self.storage.sync)
            self.possible = self.possible[-1:]
            last_index = max(self.possible[-1].entry_by_index)
            self.committed_index = self.random.randint(self.committed_index, last_index)

    def _find_state(self, found: core.RecoveredState) -> _State:
        snapshot_index = found.snapshot.last_index if found.snapshot else 0
        matching = [
            state
            for state in self.possible
            if state.matches(found.hard_state, snapshot_index, found.entries)
        ]
        assert matching, "holds another state than the ones written"
        return matching[0]

    def _write_term(self) -> None:
        state = self._add_state()
        state.hard_state = effects.HardState(state.hard_state.term + 1, None)
        self._retry(self.storage.write_hard_state, state.hard_state)
        self.possible = [state]

    def _write_snapshot(self) -> None:
        state = self._add_state()
        state.snapshot_index = self.random.randint(
            state.snapshot_index + 1, self.committed_index
        )
        term = state.entry_by_index[state.snapshot_index].term
        snapshot = log.Snapshot(state.snapshot_index, term, MEMBERS, b"")
        self._retry(self.storage.write_snapshot, snapshot, True)
        self.possible = [state]

    def _write_entries(self) -> None:
        state = self.possible[-1]
        last_index = max(state.entry_by_index, default=0)
        # Entries that are not committed may be replaced.
        first = self.random.choice((last_index, last_index, self.committed_index)) + 1
        count = self.random.choice((1, 1, 2, 5))
        entries = tuple(
            messages.LogEntry(
                index,
                state.hard_state.term,
                messages.EntryKind.COMMAND.value,
                self.random.randbytes(self.random.choice(PAYLOAD_SIZES)),
            )
            for index in range(first, first + count)
        )
        for entry in entries:
            self._add_state().append(entry)
        self._retry(self.storage.write_entries, entries)

    def _retry(self, write, *arguments) -> None:
        while True:
            with contextlib.suppress(files.NoSpaceError):
                return write(*arguments)

    def _add_state(self) -> _State:
        self.possible.append(self.possible[-1].copy())
        return self.possible[-1]


def check(seed: int, no_space_rate: float = 0.0) -> None:
    """Lose power at a random operation; check what the storage holds after it.

    In half of the cases, the process is killed before, and the power is lost while or
    soon after its successor starts.
    """
    with tempfile.TemporaryDirectory() as name:
        before, after = pathlib.Path(name, "before"), pathlib.Path(name, "after")
        before.mkdir()
        after.mkdir()
        supply = PowerSupply(before, seed)
        writer = Writer(supply.random)

        def fill() -> None:
            supply.no_space_rate = no_space_rate

        is_killed_before = supply.random.random() < 0.5
        with supply.connected():
            writer.run(_open_disk(before), fill)
            if is_killed_before:
                supply.restart_process()
                writer.run(_open_disk(before), fill)
        supply.restore(after)
        with contextlib.closing(_open_disk(after)) as storage:
            writer.recover(storage)


def _open_disk(folder: pathlib.Path) -> disk.DiskStorage:
    return disk.DiskStorage(folder, lambda: "first", MAX_SEGMENT_BYTES)


def _change_names(names: dict[str, _Inode], change: _Link | _Unlink | _Rename) -> None:
    match change:
        case _Link(name, inode):
            names[name] = inode
        case _Unlink(name):
            names.pop(name, None)
        case _Rename(name, new_name, inode):
            names.pop(name, None)
            names[new_name] = inode


def _write(data: bytearray, offset: int, written: bytes | None) -> None:
    if written is None:
        del data[offset:]
    if not written:
        return
    data.extend(bytes(max(0, offset - len(data))))
    data[offset : offset + len(written)] = written


def main() -> None:
    """Check the seeds that the command line names and print those that fail."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed in range(first, first + count):
        for no_space_rate in (0.0, NO_SPACE_RATE):
            try:
                check(seed, no_space_rate)
            except AssertionError as error:
                failed += 1
                print(f"seed {seed}, rate {no_space_rate}: {error}", flush=True)
    print(f"{count} seeds with and without full disks, {failed} failed")


if __name__ == "__main__":
    main()
